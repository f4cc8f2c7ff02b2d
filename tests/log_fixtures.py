"""Fixtures of the decision log's tests: a log on a clock of the test's own."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
import os
import time
from unittest import mock

from pimentocross.cli.log_lines import LogLine, read_lines
from pimentocross.observe.decisions import DecisionLog

# What a process may write, as the pages for operators say, bytes a second.
MAX_BYTES_PER_SECOND = 60_000
INTERVAL = 0.1


class LogHarness:
    """Standard output and the time, of one log.

    Attributes:
        log: The log.
        now: Present time.
        stuck: Whether nobody reads.
    """

    def __init__(self) -> None:
        """Starts a log that writes here."""
        self.now = 1_000.0
        self.reader_stalled = False
        self._written: list[bytes] = []
        with self._patched():
            self.log = DecisionLog()
        self.log.enabled = True
        self.log.source = "edge-dune-hall-2"

    @property
    def size(self) -> int:
        """Bytes written."""
        return sum(len(chunk) for chunk in self._written)

    def lines(self) -> list[LogLine]:
        """Returns what was written, as it is read afterwards."""
        return read_lines(b"".join(self._written).decode())

    def counts(self) -> Counter[str]:
        """Returns how many decisions of each kind can be read afterwards."""
        return Counter(line.kind for line in self.lines())

    def note(self, kind: str, **fields: object) -> None:
        """Notes a decision."""
        with self._patched():
            self.log.note(kind, fields)

    def note_runs(self, kind: str, count: int, **fields: object) -> None:
        """Notes as many decisions about runs."""
        with self._patched():
            for number in range(count):
                named: dict[str, object] = {
                    "task": ["18812166d86bb028", 0, 1, number],
                    "run": 1,
                    "worker": f"i-74b00fad{number:02x}",
                }
                self.log.note(kind, named | fields)

    def tick(self) -> None:
        """Lets the log write, as it does ten times a second."""
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
