"""The decision log: decisions as JSON lines on standard output.

Logging never blocks: lines are queued in bounded memory, and a task writes them
when the pipe accepts them. Decisions beyond the limits of the queue or the rate
are dropped before they are encoded; their number by kind is logged as soon as
the queue is empty. Rare kinds take precedence over bulk ones, and several
decisions of one kind are packed into one line.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
import itertools
import os
import time
from typing import Final

import msgspec
import trio

from pimentocross.observe.shares import KindBuffer, TokenBucket, fits_in_queue
from pimentocross.observe.tables import MIN_TABLE_ROWS, TimedDecision, pack

# Maximum bytes in the output queue, about 4,000 decisions, besides one burst.
_MAX_BUFFERED_BYTES: Final = 300_000
# Maximum bytes that a process writes per second; bursts are twice as large.
_MAX_BYTES_PER_SECOND: Final = 60_000
# Bytes of the newest lines that a process keeps to serve on request: about two
# minutes of a busy owner, and a hundredth of an entry VM's memory.
_MAX_RECENT_BYTES: Final = 3_000_000
_FLUSH_INTERVAL: Final = 0.1
# Minimum seconds between two lines that report dropped decisions.
_DROP_REPORT_INTERVAL: Final = 1.0
# Path at which a process serves its newest lines, next to its metrics.
DECISIONS_PATH: Final = "/decisions"
_STDOUT: Final = 1
_MAX_CHUNK_BYTES: Final = 4_096
# Maximum rows of a table. A run's row takes about 60 bytes, so a larger table
# would not fit into a chunk and would be encoded in vain.
_MAX_ROWS: Final = 60
# Maximum number of buffers, one for each kind and ending. Beyond it, all
# endings of a kind share one buffer.
_MAX_BUFFERS: Final = 500
# Field with the ending of a run. Each ending has its own buffer, as ordinary
# endings are frequent and those that explain a lost run are rare.
_END_FIELD: Final = "how"
_encode: Final = msgspec.json.Encoder().encode


class DecisionLog:
    """Buffers decisions and writes them as lines.

    Attributes:
        counts: Number of decisions by kind, written or not.
    """

    def __init__(self) -> None:
        """Initializes an empty log that is disabled."""
        self.enabled = False
        self.source = ""
        self.counts: Counter[str] = Counter()
        self._reported_drops: Counter[str] = Counter()
        self._reported_at = float("-inf")
        self._buffers: dict[object, KindBuffer] = {}
        # Buffers with decisions that are not encoded yet.
        self._unencoded: list[KindBuffer] = []
        self._output_queue: deque[tuple[bytes, KindBuffer]] = deque()
        self._queued_bytes = 0
        self._recent: deque[bytes] = deque()
        self._recent_bytes = 0
        self._bucket = TokenBucket(
            _MAX_BYTES_PER_SECOND, 2.0 * _MAX_BYTES_PER_SECOND, time.monotonic()
        )

    def note(self, kind: str, fields: dict[str, object]) -> None:
        """Adds a decision, or counts it as dropped beyond the limits.

        The fields are encoded later, so they must not be modified.
        """
        buffer = self._buffers.get((kind, fields.get(_END_FIELD)))
        if buffer is None:
            buffer = self._make_buffer(kind, fields)
        now = time.monotonic()
        # Checked first, as most decisions are refused under overload.
        if now < buffer.refused_until or not self._may_add(buffer, now):
            buffer.dropped += 1
            return
        if not buffer.pending:
            self._unencoded.append(buffer)
        buffer.pending.append((time.time(), fields))

    @property
    def dropped(self) -> Counter[str]:
        """Number of decisions dropped since the start, by kind."""
        dropped: Counter[str] = Counter()
        for buffer in self._buffers.values():
            if buffer.dropped:
                dropped[buffer.kind] += buffer.dropped
        return dropped

    def recent(self) -> bytes:
        """Returns the newest lines, including those not written yet."""
        self._encode_pending()
        return b"".join(self._recent)

    def newest(self) -> dict[str, object]:
        """Returns the newest queued line, without its time."""
        self._encode_pending()
        line: dict[str, object] = msgspec.json.decode(self._output_queue[-1][0])
        del line["t"]
        return line

    def flush(self) -> None:
        """Writes queued lines as long as the pipe accepts them."""
        if not self._output_queue:
            self._report_dropped(time.monotonic())
        self._encode_pending()
        while self._output_queue:
            chunk = self._pop_chunk()
            try:
                written = os.write(_STDOUT, chunk)
            except BlockingIOError:
                written = 0
            if written < len(chunk):
                self._put_back(chunk[written:])
                return

    def _make_buffer(self, kind: str, fields: dict[str, object]) -> KindBuffer:
        key = (kind, fields.get(_END_FIELD))
        if len(self._buffers) >= _MAX_BUFFERS:
            key = (kind, None)
        return self._buffers.setdefault(key, KindBuffer(kind))

    def _may_add(self, buffer: KindBuffer, now: float) -> bool:
        has_space = fits_in_queue(
            buffer, self._queued_bytes, _MAX_BUFFERED_BYTES
        )
        return has_space and self._bucket.reserve(buffer, now)

    def _report_dropped(self, now: float) -> None:
        """Logs the decisions dropped since the last report, if it is due."""
        if now - self._reported_at < _DROP_REPORT_INTERVAL:
            return
        dropped = self.dropped
        if new_drops := dropped - self._reported_drops:
            self._reported_drops, self._reported_at = dropped, now
            self.note("lines_dropped", {"by_kind": dict(new_drops)})

    def _encode_pending(self) -> None:
        """Encodes and queues the pending decisions of all buffers."""
        buffers, self._unencoded = self._unencoded, []
        now = time.monotonic()
        for buffer in buffers:
            pending, buffer.pending = buffer.pending, []
            reserved = buffer.line_bytes
            for _, group in itertools.groupby(pending, lambda n: n[1].keys()):
                for line, count in self._encode_lines(buffer.kind, list(group)):
                    self._queue_line(line, count, buffer, reserved, now)

    def _queue_line(
        self,
        line: bytes,
        count: int,
        buffer: KindBuffer,
        reserved: float,
        now: float,
    ) -> None:
        """Queues a line of `count` decisions, or drops it if it is too long."""
        size = len(line) if len(line) <= _MAX_CHUNK_BYTES else 0
        fits = self._bucket.settle(buffer, reserved * count, size, now)
        if not fits or not size:
            buffer.dropped += count
            return
        buffer.update_line_bytes(size / count)
        buffer.queued_bytes += size
        self._queued_bytes += size
        self._output_queue.append((line, buffer))
        self._add_recent(line)

    def _encode_lines(
        self, kind: str, pending: Sequence[TimedDecision]
    ) -> Iterator[tuple[bytes, int]]:
        """Yields encoded lines, each with its number of decisions."""
        if len(pending) < MIN_TABLE_ROWS:
            for at, fields in pending:
                yield self._encode_line(kind, at, fields), 1
            return
        if len(pending) <= _MAX_ROWS:
            line = self._encode_line(kind, pending[0][0], pack(pending))
            if len(line) <= _MAX_CHUNK_BYTES:
                yield line, len(pending)
                return
        half = len(pending) // 2
        yield from self._encode_lines(kind, pending[:half])
        yield from self._encode_lines(kind, pending[half:])

    def _encode_line(
        self, kind: str, at: float, fields: dict[str, object]
    ) -> bytes:
        # Fields of the decision must not replace those of the source.
        source = {"t": round(at, 3), "vm": self.source, "is": kind}
        return _encode(source | fields | source) + b"\n"

    def _add_recent(self, line: bytes) -> None:
        self._recent.append(line)
        self._recent_bytes += len(line)
        while self._recent_bytes > _MAX_RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft())

    def _pop_chunk(self) -> bytes:
        lines = [self._pop_line()]
        size = len(lines[0])
        while (
            self._output_queue
            and size + len(self._output_queue[0][0]) <= _MAX_CHUNK_BYTES
        ):
            lines.append(self._pop_line())
            size += len(lines[-1])
        return b"".join(lines)

    def _pop_line(self) -> bytes:
        line, buffer = self._output_queue.popleft()
        buffer.queued_bytes -= len(line)
        self._queued_bytes -= len(line)
        return line

    def _put_back(self, chunk: bytes) -> None:
        # The chunk may hold several kinds, so no kind's buffer is charged.
        buffer = KindBuffer("")
        buffer.queued_bytes = len(chunk)
        self._queued_bytes += len(chunk)
        self._output_queue.appendleft((chunk, buffer))


_log = DecisionLog()


def enable(source: str) -> None:
    """Enables the log; `source` names this process in each line."""
    os.set_blocking(_STDOUT, False)
    _log.enabled = True
    _log.source = source


def note(kind: str, **fields: object) -> None:
    """Logs a decision with the inputs that decided it and the outcome."""
    _log.counts[kind] += 1
    if _log.enabled:
        _log.note(kind, fields)


def counts() -> Counter[str]:
    """Returns the number of decisions by kind, written or not."""
    return _log.counts


def dropped() -> Counter[str]:
    """Returns the number of dropped decisions by kind since the start."""
    return _log.dropped


def recent() -> bytes:
    """Returns the newest lines of this process as bytes."""
    return _log.recent()


async def write_lines(on_wake: Callable[[float], None]) -> None:
    """Writes queued lines periodically until cancelled.

    Args:
        on_wake: Called with the seconds by which each timer fired late. A
            separate timer for this would use as much CPU time again.
    """
    try:
        while True:
            start = trio.current_time()
            await trio.sleep(_FLUSH_INTERVAL)
            on_wake(trio.current_time() - start - _FLUSH_INTERVAL)
            _log.flush()
    finally:
        _log.flush()
