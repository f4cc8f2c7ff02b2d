"""Records for the next owner which starts may have been sent more than once.

Failure pattern: an owner is killed before it records that a start was answered.
The worker lists the run or its end to the next owner. If the start was sent
once, that settles it. If it was sent again, the worker may still carry out the
other order.
"""

import trio

from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.worker import RunKey
from pimentocross.work import records
from pimentocross.work.records import ResentStartsRecord
from pimentocross.work.state import Run, Task


class ResentStarts:
    """Starts that may have been sent more than once, and their record.

    The record of a former owner is valid only if no other owner followed it,
    since an owner of a former version resends starts without a record.
    """

    def __init__(
        self, epoch: int, former_epoch: int | None, ledger: Ledger
    ) -> None:
        """Initializes the record of this owner.

        Args:
            epoch: The epoch of this owner.
            former_epoch: The epoch of the owner before, None if unknown.
            ledger: Writes the record.
        """
        self._epoch = epoch
        self._former_epoch = former_epoch
        self._ledger = ledger
        self._record = LazyRecord(records.RESENT_STARTS, self._encode)
        self._former: ResentStartsRecord | None = None
        self._runs: dict[RunKey, Run] = {}
        self._stored_events: dict[RunKey, trio.Event] = {}

    def restore(self, value: bytes) -> None:
        """Restores the record of a former owner.

        Raises:
            RecordError: The record has an unknown format.
        """
        self._former = records.decode_resent_starts(value)

    def begin(self) -> None:
        """Writes the first record. All runs must have been adopted."""
        self._ledger.put(self._record)

    def was_sent_at_most_once(self, task: Task, run: Run) -> bool:
        """Returns whether a former owner surely sent a start once at most."""
        former = self._former
        if former is None or former.epoch != self._former_epoch:
            return False
        return (task.name, run.number) not in former.runs

    def adopt(self, task: Task, run: Run) -> None:
        """Adds a former owner's run whose start may have been sent again."""
        self._runs[task, run.number] = run

    def note(self, task: Task, run: Run) -> trio.Event:
        """Records that a start is about to be sent again.

        Returns:
            An event that is set once the record is stored. The start must not
            be sent before.
        """
        key = (task, run.number)
        if key not in self._stored_events:
            self._runs[key] = run
            self._stored_events[key] = self._ledger.put(self._record).stored
        return self._stored_events[key]

    def _encode(self) -> bytes:
        for key, run in list(self._runs.items()):
            task, number = key
            if task.runs.get(number) is not run:
                del self._runs[key]
                self._stored_events.pop(key, None)
        rows = tuple((task.name, number) for task, number in self._runs)
        return records.encode_resent_starts(self._epoch, rows)
