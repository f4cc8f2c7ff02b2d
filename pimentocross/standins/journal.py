"""What workers and services really did, noted by themselves for checks."""

from collections.abc import Iterable
from enum import StrEnum
import time
from typing import IO, NamedTuple

import msgspec
import trio


class JournalEvent(StrEnum):
    """What happened."""

    STARTED = "started"
    ENDED = "ended"
    SERVED = "served"


class JournalEntry(NamedTuple):
    """One event, on the machine's monotonic clock.

    Attributes:
        at: Seconds; of a lapsed task, when its lease ended.
        machine: Name of the worker or target.
        process: Id of its process.
        event: What happened.
        kind: The task's kind, or "request".
        subject: The task's id, or the request's key.
        attempt: Which try, or the request's method.
        detail: How a task ended, or which service answered.
        load: Processors and memory in use after the event.
    """

    at: float
    machine: str
    process: str
    event: JournalEvent
    kind: str
    subject: str
    attempt: str
    detail: str
    load: tuple[float, int]


class Journal:
    """Entries in memory, and in a file if there is one."""

    def __init__(self, file: IO[bytes] | None = None) -> None:
        """Takes a file opened for appending bytes, unbuffered."""
        self.entries: list[JournalEntry] = []
        self._file = file

    def note(self, entry: JournalEntry) -> None:
        """Adds an entry whose time is on trio's clock."""
        if self._file is None:
            self.entries.append(entry)
            return
        # trio's clock has another origin in each process.
        shift = time.monotonic() - trio.current_time()
        shifted = entry._replace(at=entry.at + shift)
        self._file.write(msgspec.json.encode(shifted) + b"\n")


def read_journal(lines: Iterable[bytes]) -> list[JournalEntry]:
    """Reads entries back; a torn last line is passed over."""
    entries = []
    for line in lines:
        if line.endswith(b"\n"):
            entries.append(msgspec.json.decode(line, type=JournalEntry))
    return entries
