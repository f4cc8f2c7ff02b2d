"""Worker lives with recorded runs that the directory doesn't list.

Their address is unknown, so they can't be called. Their runs are kept until
the lease has surely ended, or until another life of the same VM is listed.
"""

from collections.abc import Callable, Collection, Iterator

import trio

from pimentocross.contracts.worker_link import WorkerDialer, WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.endings import log_lost_runs, log_waiting_runs
from pimentocross.owner.life_numbers import LifeNumbers
from pimentocross.owner.worker import Worker
from pimentocross.work.spec import NO_SIZE
from pimentocross.work.state import Job


class AbsentWorkers:
    """The unlisted worker lives that may still run something."""

    def __init__(
        self,
        numbers: LifeNumbers,
        dialer: WorkerDialer,
        leases_until: Callable[[int, int], float],
    ) -> None:
        """Initializes an empty set.

        Args:
            numbers: Tells which life has a number.
            dialer: Makes links to workers.
            leases_until: Returns until when leases of others may last, by the
                number of a life and when it was born.
        """
        self._numbers = numbers
        self._dialer = dialer
        self._leases_until = leases_until
        self._by_number: dict[int, Worker] = {}

    def __iter__(self) -> Iterator[Worker]:
        """Yields the lives; some may be removed meanwhile."""
        yield from list(self._by_number.values())

    def add(self, number: int) -> Worker:
        """Adds the life with a number."""
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
        worker.former_leases_until = self._leases_until(number, known.born)
        worker.barred = True
        self._by_number[number] = worker
        note("worker_absent", worker=known.id, number=number)
        return worker

    def remove(self, number: int) -> Worker | None:
        """Removes and returns the life with a number, if it is here."""
        return self._by_number.pop(number, None)

    def end_lives(self, machines: Collection[str], parts: OwnerContext) -> None:
        """Drops the lives on which nothing can run any more, with their runs.

        Args:
            machines: VMs of which a life is listed.
            parts: State shared by the owner's parts.
        """
        now = trio.current_time()
        for worker in self:
            replaced = bool(worker.life.machine) and (
                worker.life.machine in machines
            )
            if now > worker.former_leases_until or replaced:
                self._end_life(worker, parts, replaced=replaced)

    def log_waits(self) -> None:
        """Logs the tasks that wait for leases to end, and for how long."""
        for worker in self:
            log_waiting_runs(worker)

    def _end_life(
        self, worker: Worker, parts: OwnerContext, *, replaced: bool
    ) -> None:
        del self._by_number[worker.number]
        self._numbers.forget(worker.number)
        if replaced:
            parts.late_starts.note_replaced(worker)
            parts.crashes.note_replaced(worker)
            parts.lives.note_replaced(worker)
        else:
            parts.crashes.note_absent(worker)
        log_lost_runs(worker, "never listed")
        jobs: dict[Job, None] = {}
        for task, run in list(worker.runs):
            parts.late_starts.drop(task, run, worker)
            jobs[task.step.job] = None
        for job in jobs:
            parts.book.changed(job)
        parts.wake()
