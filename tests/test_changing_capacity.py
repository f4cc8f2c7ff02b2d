"""Workers whose capacity shrinks and grows while they run."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import random
from typing import NamedTuple

import trio

from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    LASTS,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
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

# An owner in touch knows of a change within this, in seconds: the bound that
# deployments set, and one report of a worker.
_KNOWN_WITHIN = 4.5
_UNGUARDED = CONFIG._replace(
    services={"stock": ServicePool("stock", False, 64, False)}
)


class _Change(NamedTuple):
    at: float
    capacity: Size


class _Cell:
    """Workers that don't guard their capacity, and what it was when."""

    def __init__(self, workers: int) -> None:
        self.hall = WorkerHall()
        self.changes: dict[str, list[_Change]] = {}
        for number in range(workers):
            listed = life(number)
            self.changes[listed.id] = [_Change(0.0, WORKER_CAPACITY)]
            self.hall.add(
                TaskWorkerStandin(
                    listed, _plan, self.hall.journal, guarded=False
                )
            )

    def change(self, worker: TaskWorkerStandin, share: float) -> None:
        """Has a worker carry a share of what it did at first."""
        room = Size(*(int(part * share) for part in WORKER_CAPACITY))
        worker.life = worker.life._replace(capacity=room)
        change = _Change(trio.current_time(), room)
        self.changes[worker.life.id].append(change)

    def find_overloads(self) -> list[RunEvent]:
        """Returns starts beyond what a worker had carried of late."""
        committed: Counter[str] = Counter()
        found = []
        for event in sorted(
            self.hall.journal, key=lambda e: (e.at, e.what == "start")
        ):
            if event.what == "start":
                committed[event.worker] += SMALL.cpu
                most = self._most(event.worker, event.at)
                if committed[event.worker] > most:
                    found.append(event)
            elif not event.what.startswith("noted"):
                committed[event.worker] -= SMALL.cpu
        return found

    def _most(self, worker: str, at: float) -> int:
        before = [c for c in self.changes[worker] if c.at <= at]
        recent = [c for c in before if c.at > at - _KNOWN_WITHIN]
        former = before[-len(recent) - 1 :][:1]
        return max(c.capacity.cpu for c in former + recent)


def _plan(name: TaskName) -> TaskPlan:
    lasts = name.job.startswith("last")
    return TaskPlan(LASTS if lasts else 1.0, SMALL)


@asynccontextmanager
async def _owned(cell: _Cell, store: StoreStandin) -> AsyncIterator[Owner]:
    owner = make_owner(store, cell.hall, 1, config=_UNGUARDED)
    async with running(owner):
        yield owner


async def _vary(cell: _Cell, draw: random.Random) -> None:
    while True:
        await trio.sleep(draw.uniform(0.2, 1.0))
        worker = draw.choice(list(cell.hall.workers.values()))
        cell.change(worker, draw.choice([0.25, 0.5, 0.75, 1.0]))


async def _play(seed: int) -> None:
    draw = random.Random(seed)
    cell = _Cell(6)
    jobs = [f"job{number}" for number in range(120)]
    async with _owned(cell, StoreStandin(seed)) as owner:
        await owner.job_api.submit(
            "last", QUEUE, spec(StepSpec(12, SMALL, lasting=True))
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_vary, cell, draw)
            for job in jobs:
                await owner.job_api.submit(job, QUEUE, chain(3, 2))
                await trio.sleep(draw.uniform(0.0, 0.4))
            nursery.cancel_scope.cancel()
        for worker in cell.hall.workers.values():
            cell.change(worker, 1.0)
        await wait_until(
            lambda: all(
                owner.job_api.state(job).state is JobState.COMPLETED
                for job in jobs
            )
        )
        await wait_until(lambda: _lasting_now(cell.hall) == 12)
    assert not cell.find_overloads(), (seed, cell.find_overloads()[:3])
    assert not find_overlapping_starts(cell.hall.journal)
    assert not find_starts_after_success(cell.hall.journal)


def _lasting_now(hall: WorkerHall) -> int:
    ends: Counter[str] = Counter()
    for event in hall.journal:
        if event.task.job == "last" and not event.what.startswith("noted"):
            ends["start" if event.what == "start" else "end"] += 1
    return ends["start"] - ends["end"]


def test_no_start_overloads_a_worker_whose_capacity_changes() -> None:
    for seed in range(5):
        run_virtual(lambda s=seed: _play(s), seed)  # type: ignore[misc]


async def test_starts_that_waited_for_the_store_overload_no_worker() -> None:
    # The second step is decided on while the store is away, on room that has
    # gone once its record is stored.
    store, cell = StoreStandin(), _Cell(1)
    worker = next(iter(cell.hall.workers.values()))
    async with _owned(cell, store) as owner:
        await owner.job_api.submit("job", QUEUE, chain(8, 2))
        await wait_until(lambda: count(cell.hall.journal, "start") == 8)
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
    worker = next(iter(cell.hall.workers.values()))
    async with _owned(cell, store) as owner:
        cell.hall.directory_away = True
        await trio.sleep(1)
        cell.change(worker, 0.25)
        await trio.sleep(_KNOWN_WITHIN)
        await owner.job_api.submit("job", QUEUE, chain(8, 1))
        await trio.sleep(3)
        assert not cell.find_overloads()
        cell.hall.directory_away = False
        await wait_until(
            lambda: owner.job_api.state("job").state is JobState.COMPLETED
        )
    assert not cell.find_overloads()
