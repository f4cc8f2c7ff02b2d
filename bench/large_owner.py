"""Measures the CPU time that a large cell's owner spends on I/O.

There are 246 workers with 25 runs each and about 400 starts and ends a second.
All calls go over loopback, in the platform's wire format, to stand-ins in
another process. The thread's CPU time is split by trio task. Placement is left
out: waiting tasks are assigned to the workers round-robin.
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
    best_effort_job,
    quick_job,
    serving_job,
)
from bench.wire_parts import make_owner_context, measure_calls, print_call_costs
from pimentocross.contracts.worker_link import Ending, WorkerLife
from pimentocross.contracts.zones import AllZonesOpen
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.roster import Roster, RosterParts
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.witnesses import Witnesses
from pimentocross.owner.worker import Worker
from pimentocross.platform import __main__ as process
from pimentocross.platform.store import StoreClient
from pimentocross.platform.workers import HttpWorkerDialer
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import Run, Task

_WORKERS: Final = 246
# Jobs of fourteen tasks each that run during the whole measurement: serving
# jobs, and best-effort jobs that take longer than the measurement.
_SERVING_JOBS: Final = 80
_LONG_BEST_EFFORT_JOBS: Final = 330
_SECONDS: Final = 8.0
# Best-effort jobs have forty tasks, quick jobs ten.
_BEST_EFFORT_JOBS_PER_SECOND: Final = 9.5
_QUICK_JOBS_PER_SECOND: Final = 5.8
_PASS_INTERVAL: Final = 0.01
_MS_PER_SECOND: Final = 1000.0
_ENDED_JOB_RETENTION: Final = 150.0


class _Directory:
    def __init__(self, listed: list[WorkerLife]) -> None:
        self._listed = listed

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns all workers."""
        await trio.lowlevel.checkpoint()
        return self._listed


class _OwnerWithoutPlacement:
    """The parts of an owner that do I/O, without placement."""

    def __init__(self, store: StoreClient, addresses: str) -> None:
        self.ledger = Ledger(store, "jobs", "owner", 1)
        self.book = JobRegistry(self.ledger, _ENDED_JOB_RETENTION)
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
            NextLives(1, self.ledger, OwnerTerms(), has_formers=False),
            Witnesses(1, self.ledger),
            lambda: CONFIG,
            AllZonesOpen(),
        )
        self.listings = 0
        self.listed_runs = 0
        self.ended = 0
        self.owner_context = make_owner_context(
            self.book, self.ledger, self._on_ending, self._on_listed
        )

    def _on_ending(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        self.ended += 1
        self.learned.on_ending(worker, task, run, ending)

    def _on_listed(self, worker: Worker) -> None:
        self.listings += 1
        self.listed_runs += len(worker.runs)
        self.learned.on_listed(worker)

    async def place_round_robin(self, orders: Orders) -> None:
        """Assigns waiting tasks to the workers in turn until cancelled."""
        workers: Iterator[Worker] = itertools.cycle(list(self.roster.workers()))
        while True:
            await trio.sleep(_PASS_INTERVAL)
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
        """Records placements and sends their start orders."""
        batch = self.ledger.barrier()
        for job in {p.task.step.job: None for p in placements}:
            batch = self.book.changed(job)
        orders.start(placements, batch)


class RunCost(NamedTuple):
    """Costs in milliseconds of the owner thread's CPU time.

    Attributes:
        run: Cost of a run from its placement to its recorded end, without the
            placement decision.
        by_task: Cost of a run by the trio task that caused it.
        listings: Listings received per run.
        runs: Mean number of runs in a listing.
        rate: Runs ended per second.
    """

    run: float
    by_task: dict[str, float]
    listings: float
    runs: float
    rate: float


async def measure_runs(workers_at: str, store_at: str) -> RunCost:
    """Returns the cost of a run with all workers and jobs."""
    cell = _OwnerWithoutPlacement(StoreClient(store_at), workers_at)
    await cell.ledger.open()
    async with trio.open_nursery() as nursery:
        orders = Orders(nursery, cell.owner_context, lambda *_: None)
        cell.roster.open(
            RosterParts(nursery, cell.owner_context, orders, lambda _: None)
        )
        await cell.roster.poll()
        nursery.start_soon(cell.ledger.run)
        nursery.start_soon(cell.roster.follow)
        await trio.sleep(1.0)
        nursery.start_soon(cell.place_round_robin, orders)
        await _submit_long_jobs(cell)
        await _submit_jobs(cell, 2.0, "first")
        listings, listed_runs, ended = (
            cell.listings,
            cell.listed_runs,
            cell.ended,
        )
        timed = TimeByTask()
        trio.lowlevel.add_instrument(timed)
        await _submit_jobs(cell, _SECONDS, "second")
        trio.lowlevel.remove_instrument(timed)
        nursery.cancel_scope.cancel()
    runs = cell.ended - ended
    listed = cell.listings - listings
    by_task = {
        name: used / runs * _MS_PER_SECOND
        for name, used in sorted(timed.used.items(), key=lambda item: -item[1])
        if "bench" not in name and used / runs * _MS_PER_SECOND >= 0.001
    }
    return RunCost(
        sum(by_task.values()),
        by_task,
        listed / runs,
        (cell.listed_runs - listed_runs) / listed,
        runs / _SECONDS,
    )


async def _submit_long_jobs(cell: _OwnerWithoutPlacement) -> None:
    for number in range(_SERVING_JOBS):
        cell.book.accept(f"last{number}", QUEUE, serving_job(number))
        await trio.sleep(_PASS_INTERVAL)
    for number in range(_LONG_BEST_EFFORT_JOBS):
        step = best_effort_job(number).steps[0]._replace(width=14)
        spec = JobSpec("", (step,))
        cell.book.accept(f"lastfill{number}", QUEUE, spec)
        await trio.sleep(_PASS_INTERVAL)


async def _submit_jobs(
    cell: _OwnerWithoutPlacement, seconds: float, prefix: str
) -> None:
    began = trio.current_time()
    best_effort = quick = 0
    while (passed := trio.current_time() - began) < seconds:
        while best_effort < passed * _BEST_EFFORT_JOBS_PER_SECOND:
            job = f"{prefix}-fill-5c0e7a21d94b36f8-{best_effort}"
            cell.book.accept(job, QUEUE, best_effort_job(best_effort))
            best_effort += 1
        while quick < passed * _QUICK_JOBS_PER_SECOND:
            job = f"{prefix}-quick-5c0e7a21d94b36f8-{quick}"
            cell.book.accept(job, QUEUE, quick_job())
            quick += 1
        await trio.sleep(0.02)


def main() -> int:
    """Prints the costs in milliseconds of the owner thread's CPU time."""
    process.configure_collector()
    print_call_costs()
    with wire_workers.serve_standins(_WORKERS) as addresses:
        for name, cost in trio.run(measure_calls, addresses[0]).items():
            print(f"{name}: {cost:.3f} ms")
        run_cost = trio.run(measure_runs, *addresses)
    print(
        f"one run, {_WORKERS} workers of {run_cost.runs:.1f} runs,"
        f" {run_cost.rate:.0f} ends a second,"
        f" {run_cost.listings:.2f} listings for each: {run_cost.run:.3f} ms"
    )
    for name, cost in run_cost.by_task.items():
        print(f"  {cost:.3f} {name}")
    return 0
