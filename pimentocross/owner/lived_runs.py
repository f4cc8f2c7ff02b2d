"""Records how long the runs of tasks that may crash workers have lived.

Failure pattern: owners follow one another while a task that has crashed workers
is isolated. Each owner counts the lifetime of the run from its own first
listing and so sees a few seconds only. Without a record for the next owner, the
isolation never ends and the worker gets no other work.
"""

from collections.abc import Callable, Iterable, Iterator

import trio

from pimentocross.owner import const
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.worker import Worker
from pimentocross.work import records
from pimentocross.work.records import LivedRunRow
from pimentocross.work.state import Run, Task


class LivedRuns:
    """Lifetimes of runs whose tasks have crashed workers, and their record."""

    def __init__(
        self, ledger: Ledger, workers: Callable[[], Iterable[Worker]]
    ) -> None:
        """Initializes the record.

        Args:
            ledger: Writes the record.
            workers: Returns the workers in use.
        """
        self._ledger = ledger
        self._workers = workers
        self._record = LazyRecord(records.LIVED_RUNS, self._encode)
        self._former: tuple[LivedRunRow, ...] = ()
        self._has_recorded_rows = False

    def restore(self, value: bytes) -> None:
        """Restores the record of a former owner.

        Raises:
            RecordError: The record has an unknown format.
        """
        self._former = records.decode_lived_runs(value)
        self._has_recorded_rows = bool(self._former)

    def adopt(self, runs: Iterable[tuple[Task, Run]]) -> None:
        """Adds the lifetimes that former owners saw to the restored runs."""
        if not self._former:
            return
        lived = {(r.task, r.run, r.worker): r.lived for r in self._former}
        for task, run in runs:
            key = (task.name, run.number, run.worker)
            run.lived_before = lived.get(key, 0.0)

    async def follow(self) -> None:
        """Updates the record periodically until cancelled."""
        while True:
            await trio.sleep(const.ROSTER_INTERVAL)
            if self._has_recorded_rows or any(self._rows()):
                self._ledger.put_with_next(self._record)

    def _rows(self) -> Iterator[LivedRunRow]:
        for worker in self._workers():
            for key in worker.suspects:
                task, number = key
                lived = worker.lived(worker.runs[key])
                if lived > 0:
                    yield LivedRunRow(
                        task.name, number, worker.number, round(lived, 3)
                    )

    def _encode(self) -> bytes | None:
        rows = tuple(self._rows())
        self._has_recorded_rows = bool(rows)
        return records.encode_lived_runs(rows) if rows else None
