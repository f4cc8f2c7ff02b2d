"""Tells the next owner which starts may have been sent more than once.

Failure pattern: an owner is killed before it records that a start was answered.
The next one is listed the run or its end. That settles a start that was sent
once; of one that was sent again, another order may be carried out yet.
"""

import trio

from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.worker import RunKey
from pimentocross.work import records
from pimentocross.work.records import RepeatsRecord
from pimentocross.work.state import Run, Task


class Repeats:
    """Starts that may have been sent more than once, and their record.

    What a former owner has recorded holds only if no other has owned since: one
    of a former version repeats starts without a record.
    """

    def __init__(
        self, epoch: int, former_epoch: int | None, ledger: Ledger
    ) -> None:
        """Takes who owns, who owned last if that is known, and the ledger."""
        self._epoch = epoch
        self._former_epoch = former_epoch
        self._ledger = ledger
        self._record = LazyRecord(records.REPEATS, self._encode)
        self._former: RepeatsRecord | None = None
        self._runs: dict[RunKey, Run] = {}
        self._stored: dict[RunKey, trio.Event] = {}

    def restore(self, value: bytes) -> None:
        """Takes in what a former owner has recorded.

        Raises:
            RecordError: It is of another form.
        """
        self._former = records.decode_repeats(value)

    def begin(self) -> None:
        """Has the first record written, now that all runs are adopted."""
        self._ledger.put(self._record)

    def were_sent_once(self, task: Task, run: Run) -> bool:
        """True if a former owner surely sent a start once at most."""
        former = self._former
        if former is None or former.epoch != self._former_epoch:
            return False
        return (task.name, run.number) not in former.runs

    def adopt(self, task: Task, run: Run) -> None:
        """Takes over a run whose start may have been sent again."""
        self._runs[task, run.number] = run

    def note(self, task: Task, run: Run) -> trio.Event:
        """Notes that a start is to be sent again.

        Returns:
            Set once that is stored; nothing may be sent before.
        """
        key = (task, run.number)
        if key not in self._stored:
            self._runs[key] = run
            self._stored[key] = self._ledger.put(self._record).stored
        return self._stored[key]

    def _encode(self) -> bytes:
        for key, run in list(self._runs.items()):
            task, number = key
            if task.runs.get(number) is not run:
                del self._runs[key]
                self._stored.pop(key, None)
        rows = tuple((task.name, number) for task, number in self._runs)
        return records.encode_repeats(self._epoch, rows)
