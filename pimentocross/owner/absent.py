"""Worker lives that runs were recorded on and that the directory doesn't list.

Nobody can ask them. What may run there is waited for until its lease has surely
ended, or until another life is listed with its machine.
"""

from collections.abc import Collection, Iterator

import trio

from pimentocross.contracts.worker_link import WorkerDialer, WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.endings import note_lost
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.late_starts import clear_late_starts
from pimentocross.owner.life_numbers import LifeNumbers
from pimentocross.owner.worker import Worker
from pimentocross.work.spec import NO_SIZE
from pimentocross.work.state import Job


class AbsentWorkers:
    """Those lives, by number."""

    def __init__(
        self,
        numbers: LifeNumbers,
        dialer: WorkerDialer,
        former_leases: FormerLeases,
    ) -> None:
        """Takes whose lives they are and what bounds leases there."""
        self._numbers = numbers
        self._dialer = dialer
        self._former_leases = former_leases
        self._by_number: dict[int, Worker] = {}

    def __iter__(self) -> Iterator[Worker]:
        """Yields them; some may be taken out meanwhile."""
        yield from list(self._by_number.values())

    def add(self, number: int) -> Worker:
        """Takes in the life of a number."""
        known = self._numbers.find(number)
        life = WorkerLife(
            id=known.id,
            machine=known.machine,
            service="",
            address="",
            zone="",
            labels=(),
            capacity=NO_SIZE,
            draining=False,
            remaining=0.0,
            born=known.born,
        )
        worker = Worker(life, number, self._dialer.link(life))
        worker.blind_until = self._former_leases.until(number)
        worker.barred = True
        self._by_number[number] = worker
        note("worker_absent", worker=known.id, number=number)
        return worker

    def take_out(self, number: int) -> Worker | None:
        """Takes out the life of a number, if it is one of them."""
        return self._by_number.pop(number, None)

    def bury(self, machines: Collection[str], parts: OwnerContext) -> None:
        """Gives those up on which nothing can run any more.

        Args:
            machines: Those of which a life is listed.
            parts: What the owner's parts share.
        """
        now = trio.current_time()
        for worker in self:
            replaced = bool(worker.life.machine) and (
                worker.life.machine in machines
            )
            if now > worker.blind_until or replaced:
                self._bury(worker, parts, replaced=replaced)

    def note_waits(self) -> None:
        """Logs the tasks that wait for them, and for how long."""
        for worker in self:
            left = worker.blind_until - trio.current_time()
            for task, run in worker.runs:
                note(
                    "run_waits",
                    task=task.name,
                    run=run,
                    worker=worker.life.id,
                    seconds=round(left, 3),
                )

    def _bury(
        self, worker: Worker, parts: OwnerContext, *, replaced: bool
    ) -> None:
        del self._by_number[worker.number]
        self._numbers.forget(worker.number)
        if replaced:
            clear_late_starts(worker)
            parts.crashes.note_replaced(worker)
        else:
            parts.crashes.note_absent(worker)
        note_lost(worker, "never listed")
        jobs: dict[Job, None] = {}
        for task, run in list(worker.runs):
            parts.late_starts.drop(task, run, worker)
            jobs[task.step.job] = None
        for job in jobs:
            parts.book.changed(job)
        parts.wake()
