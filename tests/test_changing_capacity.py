"""Starts don't exceed the capacity of workers that shrink and grow."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import random
from typing import NamedTuple

import trio

from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.queue import ServicePool
from pimentocross.work.spec import Size, StepSpec, TaskName
from pimentocross.work.state import JobState
from tests import run_virtual
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    SMALL,
    WORKER_CAPACITY,
    chain,
    count,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    make_owner,
    running,
    spec,
    wait_until,
)

# Seconds within which a connected owner knows of a change of capacity: the
# bound set by deployments plus one report interval of a worker.
_MAX_CAPACITY_AGE = 4.5
_UNGUARDED = CONFIG._replace(
    services={"stock": ServicePool("stock", False, 64, False)}
)


class _CapacityChange(NamedTuple):
    at: float
    capacity: Size


class _Cell:
    """Workers that don't enforce their capacity, and its changes over time."""

    def __init__(self, workers: int) -> None:
        self.worker_pool = WorkerPool()
        self.changes: dict[str, list[_CapacityChange]] = {}
        for number in range(workers):
            listed = life(number)
            self.changes[listed.id] = [_CapacityChange(0.0, WORKER_CAPACITY)]
            self.worker_pool.add(
                TaskWorkerStandin(
                    listed,
                    _plan,
                    self.worker_pool.journal,
                    enforces_capacity=False,
                )
            )

    def change(self, worker: TaskWorkerStandin, share: float) -> None:
        """Sets a worker's capacity to a share of its initial capacity."""
        room = Size(*(int(part * share) for part in WORKER_CAPACITY))
        worker.life = worker.life._replace(capacity=room)
        change = _CapacityChange(trio.current_time(), room)
        self.changes[worker.life.id].append(change)

    def find_overloads(self) -> list[RunEvent]:
        """Returns starts beyond the recent maximum of a worker's capacity."""
        committed: Counter[str] = Counter()
        found = []
        for event in sorted(
            self.worker_pool.journal, key=lambda e: (e.at, e.what == "start")
        ):
            if event.what == "start":
                committed[event.worker] += SMALL.cpu
                most = self._max_recent_capacity(event.worker, event.at)
                if committed[event.worker] > most:
                    found.append(event)
            elif not event.what.startswith("noted"):
                committed[event.worker] -= SMALL.cpu
        return found

    def _max_recent_capacity(self, worker: str, at: float) -> int:
        before = [c for c in self.changes[worker] if c.at <= at]
        recent = [c for c in before if c.at > at - _MAX_CAPACITY_AGE]
        former = before[-len(recent) - 1 :][:1]
        return max(c.capacity.cpu for c in former + recent)


def _plan(name: TaskName) -> TaskPlan:
    lasts = name.job.startswith("last")
    return TaskPlan(RUNS_FOREVER if lasts else 1.0, SMALL)


@asynccontextmanager
async def _owned(cell: _Cell, store: StoreStandin) -> AsyncIterator[Owner]:
    owner = make_owner(store, cell.worker_pool, 1, config=_UNGUARDED)
    async with running(owner):
        yield owner


async def _vary_capacities(cell: _Cell, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.uniform(0.2, 1.0))
        worker = rng.choice(list(cell.worker_pool.workers.values()))
        cell.change(worker, rng.choice([0.25, 0.5, 0.75, 1.0]))


async def _run_history(seed: int) -> None:
    rng = random.Random(seed)
    cell = _Cell(6)
    jobs = [f"job{number}" for number in range(120)]
    async with _owned(cell, StoreStandin(seed)) as owner:
        await owner.job_api.submit(
            "last", QUEUE, spec(StepSpec(12, SMALL, lasting=True))
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_vary_capacities, cell, rng)
            for job in jobs:
                await owner.job_api.submit(job, QUEUE, chain(3, 2))
                await trio.sleep(rng.uniform(0.0, 0.4))
            nursery.cancel_scope.cancel()
        for worker in cell.worker_pool.workers.values():
            cell.change(worker, 1.0)
        await wait_until(
            lambda: all(
                owner.job_api.state(job).state is JobState.COMPLETED
                for job in jobs
            )
        )
        await wait_until(lambda: _count_running_lasting(cell.worker_pool) == 12)
    assert not cell.find_overloads(), (seed, cell.find_overloads()[:3])
    assert not find_overlapping_starts(cell.worker_pool.journal)
    assert not find_starts_after_success(cell.worker_pool.journal)


def _count_running_lasting(worker_pool: WorkerPool) -> int:
    ends: Counter[str] = Counter()
    for event in worker_pool.journal:
        if event.task.job == "last" and not event.what.startswith("noted"):
            ends["start" if event.what == "start" else "end"] += 1
    return ends["start"] - ends["end"]


def test_no_start_overloads_a_worker_whose_capacity_changes() -> None:
    for seed in range(5):
        run_virtual(lambda s=seed: _run_history(s), seed)  # type: ignore[misc]


async def test_starts_that_waited_for_the_store_overload_no_worker() -> None:
    # The second step is placed while the store is unavailable, on capacity that
    # is gone once the record of the decision is stored.
    store, cell = StoreStandin(), _Cell(1)
    worker = next(iter(cell.worker_pool.workers.values()))
    async with _owned(cell, store) as owner:
        await owner.job_api.submit("job", QUEUE, chain(8, 2))
        await wait_until(lambda: count(cell.worker_pool.journal, "start") == 8)
        store.faults.away = True
        await trio.sleep(2)
        cell.change(worker, 0.5)
        await trio.sleep(6)
        store.faults.away = False
        await wait_until(
            lambda: owner.job_api.state("job").state is JobState.COMPLETED
        )
    assert not cell.find_overloads()


async def test_workers_of_a_directory_out_of_sight_are_not_filled_up() -> None:
    store, cell = StoreStandin(), _Cell(1)
    worker = next(iter(cell.worker_pool.workers.values()))
    async with _owned(cell, store) as owner:
        cell.worker_pool.directory_away = True
        await trio.sleep(1)
        cell.change(worker, 0.25)
        await trio.sleep(_MAX_CAPACITY_AGE)
        await owner.job_api.submit("job", QUEUE, chain(8, 1))
        await trio.sleep(3)
        assert not cell.find_overloads()
        cell.worker_pool.directory_away = False
        await wait_until(
            lambda: owner.job_api.state("job").state is JobState.COMPLETED
        )
    assert not cell.find_overloads()
