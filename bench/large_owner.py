"""What the owner of a large cell pays for its input and output.

246 workers with 25 runs each, about 400 starts and ends a second, all calls
over loopback in the platform's wire form to stand-ins in another process. The
thread's time is told apart by task, and no decisions are made: each task that
waits goes to the next worker in turn.
"""

from collections.abc import Iterator
import itertools
import time
from typing import Final, NamedTuple

import trio

from bench import wire_workers
from bench.large_jobs import (
    CONFIG,
    QUEUE,
    TimeByTask,
    filling_job,
    lasting_job,
    quick_job,
)
from bench.wire_parts import make_parts, measure_calls, print_parts
from pimentocross.contracts.worker_link import Ending, WorkerLife
from pimentocross.contracts.zones import AllZonesOpen
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.roster import Roster, RosterParts
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.platform import __main__ as process
from pimentocross.platform.store import StoreClient
from pimentocross.platform.workers import HttpWorkerDialer
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import Run, Task

_WORKERS: Final = 246
# Jobs of fourteen tasks that stay: of those that serve, and beside them such
# that fill and take longer than the measurement.
_SERVING_JOBS: Final = 80
_STAYING_JOBS: Final = 330
_SECONDS: Final = 8.0
# Jobs a second of forty tasks that fill, and of ten short ones.
_FILLING_RATE: Final = 9.5
_QUICK_RATE: Final = 5.8
_PASS: Final = 0.01
_MS: Final = 1000.0
_KEPT: Final = 150.0


class _Directory:
    def __init__(self, listed: list[WorkerLife]) -> None:
        self._listed = listed

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns all."""
        await trio.lowlevel.checkpoint()
        return self._listed


class _Cell:
    """An owner's parts, without those that decide."""

    def __init__(self, store: StoreClient, addresses: str) -> None:
        self.ledger = Ledger(store, "jobs", "owner", 1)
        self.book = JobRegistry(self.ledger, _KEPT)
        self.learned = LearnedEstimates()
        former_leases = FormerLeases(
            1, (), OwnerTerms(), self.ledger, quiet=True
        )
        former_leases.begin()
        self.roster = Roster(
            _Directory(wire_workers.lives(_WORKERS, addresses)),
            HttpWorkerDialer(),
            self.ledger,
            former_leases,
            lambda: CONFIG,
            AllZonesOpen(),
        )
        self.holds = 0
        self.entries = 0
        self.ended = 0
        self.parts = make_parts(
            self.book, self.ledger, self._judge, self._on_listed
        )

    def _judge(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        self.ended += 1
        self.learned.on_ending(worker, task, run, ending)

    def _on_listed(self, worker: Worker) -> None:
        self.holds += 1
        self.entries += len(worker.runs)
        self.learned.on_listed(worker)

    async def place_for_ever(self, orders: Orders) -> None:
        """Sends what waits to the next worker in turn."""
        workers: Iterator[Worker] = itertools.cycle(list(self.roster.workers()))
        while True:
            await trio.sleep(_PASS)
            placements = []
            for step in self.book.ready_steps(time.time()):
                for task in list(step.waiting()):
                    worker = next(workers)
                    now = trio.current_time()
                    run = Run(task.last_run + 1, worker.number, now)
                    task.add_run(run)
                    worker.add(task, run)
                    placements.append(Placement(task, run, worker))
            if placements:
                self.send(placements, orders)

    def send(self, placements: list[Placement], orders: Orders) -> None:
        """Records decisions and has them carried out."""
        batch = self.ledger.barrier()
        for job in {p.task.step.job: None for p in placements}:
            batch = self.book.changed(job)
        orders.start(placements, batch)


class LargeCost(NamedTuple):
    """Milliseconds of the owner's thread.

    Attributes:
        run: From decision to recorded end, without deciding.
        by_task: The same by what took it.
        holds: Listings for one run.
        runs: Runs on a worker.
        rate: Ends a second.
    """

    run: float
    by_task: dict[str, float]
    holds: float
    runs: float
    rate: float


async def measure_runs(workers_at: str, store_at: str) -> LargeCost:
    """Returns what a run costs at full size."""
    cell = _Cell(StoreClient(store_at), workers_at)
    await cell.ledger.open()
    async with trio.open_nursery() as nursery:
        orders = Orders(nursery, cell.parts, lambda *_: None)
        cell.roster.open(
            RosterParts(nursery, cell.parts, orders, lambda _: None)
        )
        await cell.roster.poll()
        nursery.start_soon(cell.ledger.run)
        nursery.start_soon(cell.roster.follow)
        await trio.sleep(1.0)
        nursery.start_soon(cell.place_for_ever, orders)
        await _bring_staying(cell)
        await _bring_jobs(cell, 2.0, "first")
        holds, entries, ended = cell.holds, cell.entries, cell.ended
        timed = TimeByTask()
        trio.lowlevel.add_instrument(timed)
        await _bring_jobs(cell, _SECONDS, "second")
        trio.lowlevel.remove_instrument(timed)
        nursery.cancel_scope.cancel()
    runs = cell.ended - ended
    listed = cell.holds - holds
    by_task = {
        name: used / runs * _MS
        for name, used in sorted(timed.used.items(), key=lambda item: -item[1])
        if "bench" not in name and used / runs * _MS >= 0.001
    }
    return LargeCost(
        sum(by_task.values()),
        by_task,
        listed / runs,
        (cell.entries - entries) / listed,
        runs / _SECONDS,
    )


async def _bring_staying(cell: _Cell) -> None:
    for number in range(_SERVING_JOBS):
        cell.book.accept(f"last{number}", QUEUE, lasting_job(number))
        await trio.sleep(_PASS)
    for number in range(_STAYING_JOBS):
        step = filling_job(number).steps[0]._replace(width=14)
        spec = JobSpec("", (step,))
        cell.book.accept(f"lastfill{number}", QUEUE, spec)
        await trio.sleep(_PASS)


async def _bring_jobs(cell: _Cell, seconds: float, prefix: str) -> None:
    began = trio.current_time()
    filling = quick = 0
    while (passed := trio.current_time() - began) < seconds:
        while filling < passed * _FILLING_RATE:
            job = f"{prefix}-fill-5c0e7a21d94b36f8-{filling}"
            cell.book.accept(job, QUEUE, filling_job(filling))
            filling += 1
        while quick < passed * _QUICK_RATE:
            job = f"{prefix}-quick-5c0e7a21d94b36f8-{quick}"
            cell.book.accept(job, QUEUE, quick_job())
            quick += 1
        await trio.sleep(0.02)


def main() -> int:
    """Prints the costs, all in milliseconds of the owner's thread."""
    process.configure_collector()
    print_parts()
    with wire_workers.serving(_WORKERS) as addresses:
        for name, cost in trio.run(measure_calls, addresses[0]).items():
            print(f"{name}: {cost:.3f} ms")
        whole = trio.run(measure_runs, *addresses)
    print(
        f"one run, {_WORKERS} workers of {whole.runs:.1f} runs,"
        f" {whole.rate:.0f} ends a second, {whole.holds:.2f} listings for"
        f" each: {whole.run:.3f} ms"
    )
    for name, cost in whole.by_task.items():
        print(f"  {cost:.3f} {name}")
    return 0
