"""Fixtures for tests of the decision log: a log with a simulated clock."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
import os
import time
from unittest import mock

from pimentocross.cli.log_lines import LogLine, read_lines
from pimentocross.observe.decisions import DecisionLog

# Maximum bytes per second that a process writes, as documented for operators.
MAX_BYTES_PER_SECOND = 60_000
INTERVAL = 0.1


class LogHarness:
    """A decision log with simulated standard output and time.

    Attributes:
        log: The decision log.
        now: Simulated time in seconds.
        reader_stalled: Whether nobody reads the output.
    """

    def __init__(self) -> None:
        """Initializes an enabled log that writes to this harness."""
        self.now = 1_000.0
        self.reader_stalled = False
        self._written: list[bytes] = []
        with self._patched():
            self.log = DecisionLog()
        self.log.enabled = True
        self.log.source = "edge-dune-hall-2"

    @property
    def size(self) -> int:
        """Number of bytes written."""
        return sum(len(chunk) for chunk in self._written)

    def lines(self) -> list[LogLine]:
        """Returns the written lines, as the log reader decodes them."""
        return read_lines(b"".join(self._written).decode())

    def counts(self) -> Counter[str]:
        """Returns the number of written decisions by kind."""
        return Counter(line.kind for line in self.lines())

    def note(self, kind: str, **fields: object) -> None:
        """Logs a decision."""
        with self._patched():
            self.log.note(kind, fields)

    def note_runs(self, kind: str, count: int, **fields: object) -> None:
        """Logs `count` decisions about runs."""
        with self._patched():
            for number in range(count):
                named: dict[str, object] = {
                    "task": ["18812166d86bb028", 0, 1, number],
                    "run": 1,
                    "worker": f"i-74b00fad{number:02x}",
                }
                self.log.note(kind, named | fields)

    def tick(self) -> None:
        """Flushes the log and advances the time by one flush interval."""
        with self._patched():
            self.log.flush()
        self.now += INTERVAL

    @contextmanager
    def _patched(self) -> Iterator[None]:
        with (
            mock.patch.object(time, "monotonic", lambda: self.now),
            mock.patch.object(time, "time", lambda: self.now),
            mock.patch.object(os, "write", self._write),
        ):
            yield

    def _write(self, _: int, chunk: bytes) -> int:
        if self.reader_stalled:
            raise BlockingIOError
        self._written.append(bytes(chunk))
        return len(chunk)
