"""Tells the next owner how long runs have lived that may crash their workers.

Failure pattern: owners follow one another while a task is isolated under which
workers have crashed. Each saw its run live for a few seconds only, counted from
its own first listing, so that the worker stays closed to all else for good.
"""

from collections.abc import Callable, Iterable, Iterator

import trio

from pimentocross.owner import const
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.worker import Worker
from pimentocross.work import records
from pimentocross.work.records import LivedRow
from pimentocross.work.state import Run, Task


class LivedRuns:
    """The record of how long such runs have lived."""

    def __init__(
        self, ledger: Ledger, workers: Callable[[], Iterable[Worker]]
    ) -> None:
        """Takes where to record, and what returns the workers in use."""
        self._ledger = ledger
        self._workers = workers
        self._record = LazyRecord(records.LIVED, self._encode)
        self._former: tuple[LivedRow, ...] = ()
        self._has_told_rows = False

    def restore(self, value: bytes) -> None:
        """Takes in what a former owner has recorded.

        Raises:
            RecordError: It is of another form.
        """
        self._former = records.decode_lived(value)
        self._has_told_rows = bool(self._former)

    def adopt(self, runs: Iterable[tuple[Task, Run]]) -> None:
        """Credits restored runs with what former owners saw of them."""
        if not self._former:
            return
        lived = {(r.task, r.run, r.worker): r.lived for r in self._former}
        for task, run in runs:
            key = (task.name, run.number, run.worker)
            run.lived_before = lived.get(key, 0.0)

    async def follow(self) -> None:
        """Keeps the record up to date for ever."""
        while True:
            await trio.sleep(const.ROSTER_INTERVAL)
            if self._has_told_rows or any(self._rows()):
                self._ledger.put_with_next(self._record)

    def _rows(self) -> Iterator[LivedRow]:
        for worker in self._workers():
            for key in worker.suspects:
                task, number = key
                lived = worker.lived(worker.runs[key])
                if lived > 0:
                    yield LivedRow(
                        task.name, number, worker.number, round(lived, 3)
                    )

    def _encode(self) -> bytes | None:
        rows = tuple(self._rows())
        self._has_told_rows = bool(rows)
        return records.encode_lived(rows) if rows else None
