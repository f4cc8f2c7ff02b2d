"""Remembers which workers have ended of late, also for the next owner.

A crash tells little of a task while workers go for other reasons as well. An
owner that has just come would take the next such crash for the first.
"""

from collections import deque
from typing import Final, NamedTuple

import trio

from pimentocross.owner import wall
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.work import records
from pimentocross.work.crash_history import OUTAGE_SPAN
from pimentocross.work.records import EndRow

# Enough to tell an outage, however large the cell.
_RECORDED_MOST: Final = 64


class WorkerEnd(NamedTuple):
    """An end of a worker.

    Attributes:
        at: When it went, as far as can be told, monotonic.
        rack: The worker's.
        explained: Whether something had just started on it.
    """

    at: float
    rack: str
    explained: bool


class WorkerEnds:
    """Ends of workers within `OUTAGE_SPAN`."""

    def __init__(self, ledger: Ledger) -> None:
        """Takes where they are recorded."""
        self._ledger = ledger
        self._record = LazyRecord(records.ENDS, self._encode)
        self._ends: deque[WorkerEnd] = deque()

    def restore(self, value: bytes) -> None:
        """Takes in what a former owner has recorded.

        Raises:
            RecordError: It is of another form.
        """
        now = trio.current_time()
        for row in records.decode_ends(value):
            # Clocks of VMs differ.
            at = min(now + row.at - wall.now(), now)
            self._ends.append(WorkerEnd(at, row.rack, row.explained))

    def note(self, end: WorkerEnd) -> None:
        """Notes that a worker has ended."""
        self._ends.append(end)
        self._ledger.put(self._record)

    def recent(self) -> list[WorkerEnd]:
        """Returns those of late."""
        before = trio.current_time() - OUTAGE_SPAN
        while self._ends and self._ends[0].at < before:
            self._ends.popleft()
        return list(self._ends)

    def _encode(self) -> bytes:
        ahead = wall.now() - trio.current_time()
        return records.encode_ends(
            [
                EndRow(round(end.at + ahead, 3), end.rack, end.explained)
                for end in self.recent()[-_RECORDED_MOST:]
            ]
        )
