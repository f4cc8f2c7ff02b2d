"""The decision log: JSON lines for decisions, on standard output.

Writing never blocks: lines wait in a bounded buffer that a task empties while
the pipe takes them. What is beyond the buffer or the rate is counted by kind
before it is encoded, and the counts are written as soon as there is room. Rare
kinds go before bulk ones, and decisions of one kind share lines.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
import itertools
import os
import time
from typing import Final

import msgspec
import trio

from pimentocross.observe.shares import Allowance, Share, leaves_room
from pimentocross.observe.tables import TABLE_LEAST, Noted, pack

# At most this much waits, about 4,000 decisions, besides one burst.
_WAITING_BYTES: Final = 300_000
# Ceiling of what a process writes, bytes a second; bursts of twice as much.
_BYTES_PER_SECOND: Final = 60_000
# What is kept of the newest lines for whoever asks the live process: about two
# minutes of a busy owner, a hundredth of what an entry VM has.
_RECENT_BYTES: Final = 3_000_000
_FLUSH_INTERVAL: Final = 0.1
# Seconds between two lines that tell what was dropped.
_DROPPED_INTERVAL: Final = 1.0
# Where a process serves its newest lines, beside its metrics.
DECISIONS_PATH: Final = "/decisions"
_STDOUT: Final = 1
_PIPE_CHUNK: Final = 4_096
# A run's row takes about 60 bytes, so that as many fit into a chunk; more
# would be encoded in vain.
_ROWS_MOST: Final = 60
# Kinds, and ends told apart; beyond this many the ends of a kind share.
_SHARES_MOST: Final = 500
# By this field ends of runs differ. Ordinary ones are bulk, and those that
# explain a lost run are rare.
_END: Final = "how"
_encode: Final = msgspec.json.Encoder().encode


class DecisionLog:
    """Lines that wait to be written.

    Attributes:
        counts: Decisions by kind, written or not.
    """

    def __init__(self) -> None:
        """Starts empty and off."""
        self.enabled = False
        self.source = ""
        self.counts: Counter[str] = Counter()
        self._told: Counter[str] = Counter()
        self._told_at = float("-inf")
        self._shares: dict[object, Share] = {}
        # Those with decisions that aren't encoded yet.
        self._busy: list[Share] = []
        self._waiting: deque[tuple[bytes, Share]] = deque()
        self._waiting_bytes = 0
        self._recent: deque[bytes] = deque()
        self._recent_bytes = 0
        self._allowance = Allowance(
            _BYTES_PER_SECOND, 2.0 * _BYTES_PER_SECOND, time.monotonic()
        )

    def note(self, kind: str, fields: dict[str, object]) -> None:
        """Adds a decision, or counts it if there are too many.

        Its fields are encoded later and may not change.
        """
        share = self._shares.get((kind, fields.get(_END)))
        if share is None:
            share = self._make_share(kind, fields)
        now = time.monotonic()
        # Under a flood a refusal is the usual case, so it comes first.
        if now < share.refused_until or not self._admits(share, now):
            share.dropped += 1
            return
        if not share.noted:
            self._busy.append(share)
        share.noted.append((time.time(), fields))

    @property
    def dropped(self) -> Counter[str]:
        """Those that were not written, by kind, since the start."""
        dropped: Counter[str] = Counter()
        for share in self._shares.values():
            if share.dropped:
                dropped[share.kind] += share.dropped
        return dropped

    def recent(self) -> bytes:
        """Returns the newest lines, whether written or not yet."""
        self._encode_noted()
        return b"".join(self._recent)

    def newest(self) -> dict[str, object]:
        """Returns the newest line that waits, without its time."""
        self._encode_noted()
        line: dict[str, object] = msgspec.json.decode(self._waiting[-1][0])
        del line["t"]
        return line

    def flush(self) -> None:
        """Writes what the pipe takes without blocking."""
        if not self._waiting:
            self._tell_dropped(time.monotonic())
        self._encode_noted()
        while self._waiting:
            chunk = self._take_chunk()
            try:
                written = os.write(_STDOUT, chunk)
            except BlockingIOError:
                written = 0
            if written < len(chunk):
                self._put_back(chunk[written:])
                return

    def _make_share(self, kind: str, fields: dict[str, object]) -> Share:
        key = (kind, fields.get(_END))
        if len(self._shares) >= _SHARES_MOST:
            key = (kind, None)
        return self._shares.setdefault(key, Share(kind))

    def _admits(self, share: Share, now: float) -> bool:
        room = leaves_room(share, self._waiting_bytes, _WAITING_BYTES)
        return room and self._allowance.take(share, now)

    def _tell_dropped(self, now: float) -> None:
        """Notes now and then what was dropped since it was last told."""
        if now - self._told_at < _DROPPED_INTERVAL:
            return
        dropped = self.dropped
        if more := dropped - self._told:
            self._told, self._told_at = dropped, now
            self.note("lines_dropped", {"by_kind": dict(more)})

    def _encode_noted(self) -> None:
        """Makes lines of what was noted since the last time."""
        busy, self._busy = self._busy, []
        now = time.monotonic()
        for share in busy:
            noted, share.noted = share.noted, []
            asked = share.size
            for _, alike in itertools.groupby(noted, lambda n: n[1].keys()):
                for line, count in self._lines(share.kind, list(alike)):
                    self._add(line, count, share, asked, now)

    def _add(
        self, line: bytes, count: int, share: Share, asked: float, now: float
    ) -> None:
        """Has a line of some decisions written if it fits."""
        size = len(line) if len(line) <= _PIPE_CHUNK else 0
        fits = self._allowance.settle(share, asked * count, size, now)
        if not fits or not size:
            share.dropped += count
            return
        share.learn(size / count)
        share.waiting += size
        self._waiting_bytes += size
        self._waiting.append((line, share))
        self._keep(line)

    def _lines(
        self, kind: str, noted: Sequence[Noted]
    ) -> Iterator[tuple[bytes, int]]:
        """Yields lines, and how many decisions each holds."""
        if len(noted) < TABLE_LEAST:
            for at, fields in noted:
                yield self._line(kind, at, fields), 1
            return
        if len(noted) <= _ROWS_MOST:
            line = self._line(kind, noted[0][0], pack(noted))
            if len(line) <= _PIPE_CHUNK:
                yield line, len(noted)
                return
        half = len(noted) // 2
        yield from self._lines(kind, noted[:half])
        yield from self._lines(kind, noted[half:])

    def _line(self, kind: str, at: float, fields: dict[str, object]) -> bytes:
        # No field may hide who wrote the line.
        source = {"t": round(at, 3), "vm": self.source, "is": kind}
        return _encode(source | fields | source) + b"\n"

    def _keep(self, line: bytes) -> None:
        self._recent.append(line)
        self._recent_bytes += len(line)
        while self._recent_bytes > _RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft())

    def _take_chunk(self) -> bytes:
        lines = [self._take_line()]
        size = len(lines[0])
        while self._waiting and size + len(self._waiting[0][0]) <= _PIPE_CHUNK:
            lines.append(self._take_line())
            size += len(lines[-1])
        return b"".join(lines)

    def _take_line(self) -> bytes:
        line, share = self._waiting.popleft()
        share.waiting -= len(line)
        self._waiting_bytes -= len(line)
        return line

    def _put_back(self, chunk: bytes) -> None:
        # Of several kinds: at most a chunk that counts as none's.
        share = Share("")
        share.waiting = len(chunk)
        self._waiting_bytes += len(chunk)
        self._waiting.appendleft((chunk, share))


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
    """Returns decisions that were not written, by kind, since the start."""
    return _log.dropped


def recent() -> bytes:
    """Returns the newest lines of this process."""
    return _log.recent()


async def write_lines(on_woken: Callable[[float], None]) -> None:
    """Writes lines for ever.

    Args:
        on_woken: Is told each time how many seconds late the timer fired: one
            of its own would cost as much processor time again.
    """
    try:
        while True:
            began = trio.current_time()
            await trio.sleep(_FLUSH_INTERVAL)
            on_woken(trio.current_time() - began - _FLUSH_INTERVAL)
            _log.flush()
    finally:
        _log.flush()
