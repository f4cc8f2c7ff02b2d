"""Journal of what workers and services executed, for later checks."""

from collections.abc import Iterable
from enum import StrEnum
import time
from typing import IO, NamedTuple

import msgspec
import trio


class JournalEvent(StrEnum):
    """Kind of a journal entry."""

    STARTED = "started"
    ENDED = "ended"
    SERVED = "served"


class JournalEntry(NamedTuple):
    """One event, timed on the monotonic clock of the VM.

    Attributes:
        at: Time in seconds. A task that lapsed has the end of its lease here.
        machine: Name of the worker or target.
        process: Id of the process of the worker or target.
        event: Kind of the event.
        kind: The task's kind, or "request".
        subject: The task's id, or the request's key.
        attempt: The task's attempt, or the request's method.
        detail: State in which a task ended, or name of the service.
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
    """Stores entries in a file if one is given, otherwise in memory."""

    def __init__(self, file: IO[bytes] | None = None) -> None:
        """Initializes the journal.

        Args:
            file: Unbuffered binary file opened for appending.
        """
        self.entries: list[JournalEntry] = []
        self._file = file

    def note(self, entry: JournalEntry) -> None:
        """Appends an entry whose time is on trio's clock."""
        if self._file is None:
            self.entries.append(entry)
            return
        # The origin of trio's clock differs between processes.
        shift = time.monotonic() - trio.current_time()
        shifted = entry._replace(at=entry.at + shift)
        self._file.write(msgspec.json.encode(shifted) + b"\n")


def read_journal(lines: Iterable[bytes]) -> list[JournalEntry]:
    """Parses journal lines; skips lines that were not written completely."""
    entries = []
    for line in lines:
        if line.endswith(b"\n"):
            entries.append(msgspec.json.decode(line, type=JournalEntry))
    return entries
