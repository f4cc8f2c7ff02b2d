"""Records the recent ends of workers, also for the next owner.

A crash says little about a task while workers also end for other reasons. A new
owner without this record would take the next such crash for the first one.
"""

from collections import deque
from typing import Final, NamedTuple

import trio

from pimentocross.owner import wall
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.work import records
from pimentocross.work.crash_history import OUTAGE_WINDOW
from pimentocross.work.records import WorkerEndRow

# Enough to detect an outage in a cell of any size.
_RECORDED_ENDS_MOST: Final = 64


class WorkerEnd(NamedTuple):
    """The end of a worker.

    Attributes:
        at: Estimated time of the end, monotonic seconds.
        rack: Rack of the worker.
        explained: Whether a run had only just started on it.
    """

    at: float
    rack: str
    explained: bool


class WorkerEnds:
    """Ends of workers within the last `OUTAGE_WINDOW` seconds."""

    def __init__(self, ledger: Ledger) -> None:
        """Initializes an empty list that is recorded in the ledger."""
        self._ledger = ledger
        self._record = LazyRecord(records.WORKER_ENDS, self._encode)
        self._ends: deque[WorkerEnd] = deque()

    def restore(self, value: bytes) -> None:
        """Restores the ends that a former owner recorded.

        Raises:
            RecordError: The record has an unexpected format.
        """
        now = trio.current_time()
        for row in records.decode_worker_ends(value):
            # Clocks of VMs differ: an end must not lie in the future.
            at = min(now + row.at - wall.now(), now)
            self._ends.append(WorkerEnd(at, row.rack, row.explained))

    def note(self, end: WorkerEnd) -> None:
        """Adds and records the end of a worker."""
        self._ends.append(end)
        self._ledger.put(self._record)

    def recent(self) -> list[WorkerEnd]:
        """Returns the ends within the last `OUTAGE_WINDOW` seconds."""
        before = trio.current_time() - OUTAGE_WINDOW
        while self._ends and self._ends[0].at < before:
            self._ends.popleft()
        return list(self._ends)

    def _encode(self) -> bytes:
        wall_offset = wall.now() - trio.current_time()
        return records.encode_worker_ends(
            [
                WorkerEndRow(
                    round(end.at + wall_offset, 3), end.rack, end.explained
                )
                for end in self.recent()[-_RECORDED_ENDS_MOST:]
            ]
        )
