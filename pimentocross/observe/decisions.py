"""The decision log: one JSON line for each decision, on standard output.

Writing never blocks: lines wait in a bounded buffer that a task empties while
the pipe takes them. Lines beyond the buffer or the rate are counted by kind,
and the counts are written as soon as there is room.
"""

from collections import Counter, deque
import os
import time
from typing import Final

import msgspec
import trio

# At most this many lines wait; a line has about 200 bytes.
_WAITING_MOST: Final = 4_000
# Ceiling of what a process writes, bytes a second; bursts of twice as much.
_BYTES_PER_SECOND: Final = 60_000
# What is kept of the newest lines for whoever asks the live process: about two
# minutes of a busy owner, a hundredth of what an entry VM has.
_RECENT_BYTES: Final = 3_000_000
_FLUSH_INTERVAL: Final = 0.1
# Where a process serves its newest lines, beside its metrics.
DECISIONS_PATH: Final = "/decisions"
_STDOUT: Final = 1
_PIPE_CHUNK: Final = 4_096
_encode: Final = msgspec.json.Encoder().encode


class DecisionLog:
    """Lines that wait to be written.

    Attributes:
        counts: Decisions by kind, written or not.
        dropped: Lines that were not written, by kind.
    """

    def __init__(self) -> None:
        """Starts empty and off."""
        self.enabled = False
        self.source = ""
        self.counts: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self._waiting: deque[bytes] = deque()
        self._recent: deque[bytes] = deque()
        self._recent_bytes = 0
        self._allowance = 2.0 * _BYTES_PER_SECOND
        self._refilled_at = time.monotonic()

    def note(self, kind: str, fields: dict[str, object]) -> None:
        """Adds a line, or counts it if there are too many."""
        # No field may hide who wrote the line.
        source = {"t": round(time.time(), 3), "vm": self.source, "is": kind}
        line = _encode(source | fields | source)
        if len(line) >= _PIPE_CHUNK or len(self._waiting) >= _WAITING_MOST:
            self.dropped[kind] += 1
            return
        if not self._afford(len(line)):
            self.dropped[kind] += 1
            return
        self._waiting.append(line + b"\n")
        self._keep(line + b"\n")

    def recent(self) -> bytes:
        """Returns the newest lines, whether written or not yet."""
        return b"".join(self._recent)

    def _keep(self, line: bytes) -> None:
        self._recent.append(line)
        self._recent_bytes += len(line)
        while self._recent_bytes > _RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft())

    def newest(self) -> dict[str, object]:
        """Returns the newest line that waits, without its time."""
        line: dict[str, object] = msgspec.json.decode(self._waiting[-1])
        del line["t"]
        return line

    def flush(self) -> None:
        """Writes what the pipe takes without blocking."""
        if self.dropped and not self._waiting and self._afford(0):
            counts = dict(self.dropped)
            self.dropped.clear()
            self.note("lines_dropped", {"by_kind": counts})
        while self._waiting:
            chunk = self._take_chunk()
            try:
                written = os.write(_STDOUT, chunk)
            except BlockingIOError:
                written = 0
            if written < len(chunk):
                self._waiting.appendleft(chunk[written:])
                return

    def _take_chunk(self) -> bytes:
        lines = [self._waiting.popleft()]
        size = len(lines[0])
        while self._waiting and size + len(self._waiting[0]) <= _PIPE_CHUNK:
            lines.append(self._waiting.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def _afford(self, size: int) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * _BYTES_PER_SECOND
        self._allowance = min(self._allowance + refill, 2.0 * _BYTES_PER_SECOND)
        self._refilled_at = now
        if self._allowance < size:
            return False
        self._allowance -= size
        return True


_log = DecisionLog()


def enable(source: str) -> None:
    """Turns the log on; `source` names this process in each line."""
    os.set_blocking(_STDOUT, False)
    _log.enabled = True
    _log.source = source


def note(kind: str, **fields: object) -> None:
    """Logs a decision with the inputs that decided it and the outcome."""
    _log.counts[kind] += 1
    if _log.enabled:
        _log.note(kind, fields)


def counts() -> Counter[str]:
    """Returns how many decisions of each kind there were."""
    return _log.counts


def dropped() -> Counter[str]:
    """Returns the lines that were not written, by kind."""
    return _log.dropped


def recent() -> bytes:
    """Returns the newest lines of this process."""
    return _log.recent()


async def write_lines() -> None:
    """Writes lines for ever."""
    try:
        while True:
            await trio.sleep(_FLUSH_INTERVAL)
            _log.flush()
    finally:
        _log.flush()
