"""Tests a large cell whose workers crash, restart and change capacity."""

from collections import Counter
import random

import trio

from bench.large_jobs import best_effort_job, quick_job, serving_job
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskWorkerStandin
from pimentocross.work.spec import Size
from pimentocross.work.state import JobState
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    crashed_twice_under,
    find_crash_loops,
    find_overlapping_starts,
    find_starts_after_success,
    running,
)
from tests.slow_vm import (
    CAPACITY,
    ChargingClock,
    LargeWorkerPool,
    make_large_worker_pool,
    plan_of,
    run_on_slow_vm,
)

_WORKERS = 246
_LASTING_JOBS = 60
_CRASHING_JOBS = 20
_SECONDS = 12.0
# All waiting jobs have ended this long after the last submission.
_SETTLING_SECONDS = 6.0
_JOBS_PER_SECOND = 6
# Rates of restarts under the same id and of capacity changes.
_RESTARTS_PER_SECOND = 1
_CHANGES_PER_SECOND = 5
_DOWNTIME_RANGE = (0.5, 3.0)


class _FaultInjector:
    """Restarts crashed workers and others, and changes their capacity."""

    def __init__(
        self, clock: ChargingClock, worker_pool: LargeWorkerPool
    ) -> None:
        self._clock = clock
        self._workers = list(worker_pool.workers.values())
        self._random = random.Random(1)
        self._restart_at: dict[TaskWorkerStandin, float] = {}

    async def run(self) -> None:
        step = 0.05
        while True:
            await trio.sleep(step)
            with self._clock.uncharged():
                self._restart_crashed()
                if self._random.random() < _RESTARTS_PER_SECOND * step:
                    self._random.choice(self._workers).restart()
                if self._random.random() < _CHANGES_PER_SECOND * step:
                    self._change_capacity(self._random.choice(self._workers))

    def _restart_crashed(self) -> None:
        now = trio.current_time()
        for worker in self._workers:
            worker.advance()
            if not worker.down:
                self._restart_at.pop(worker, None)
                continue
            down = self._random.uniform(*_DOWNTIME_RANGE)
            if now >= self._restart_at.setdefault(worker, now + down):
                worker.restart()

    def _change_capacity(self, worker: TaskWorkerStandin) -> None:
        share = self._random.uniform(0.25, 1.0)
        capacity = Size(*(int(part * share) for part in CAPACITY))
        worker.life = worker.life._replace(capacity=capacity)


async def _run_large_cell(clock: ChargingClock) -> None:
    worker_pool = make_large_worker_pool(clock, _WORKERS, plan_of)
    store = StoreStandin()
    access = worker_pool.access("a")
    platform = CellPlatform(store.client("a"), access, access)
    owner = Owner(Claim("jobs", 1, True), platform, lambda: CONFIG)
    async with running(owner), trio.open_nursery() as nursery:
        for number in range(_LASTING_JOBS):
            await owner.job_api.submit(
                f"last{number}", QUEUE, serving_job(number)
            )
        await trio.sleep(2.0)
        nursery.start_soon(_FaultInjector(clock, worker_pool).run)
        for number in range(_CRASHING_JOBS):
            await owner.job_api.submit(f"crash{number}", QUEUE, quick_job())
        quick = await _submit_jobs(owner)
        await trio.sleep(_SETTLING_SECONDS)
        crashing = _states(owner, "crash", _CRASHING_JOBS)
        lasting = _states(owner, "last", _LASTING_JOBS)
        short = _states(owner, "quick", quick)
        # Users accept that a task is given up once two workers have crashed
        # under it.
        lost = [
            job
            for job in (f"quick{number}" for number in range(quick))
            if owner.job_api.state(job).state is JobState.FAILED
            and not crashed_twice_under(worker_pool.journal, job)
        ]
        nursery.cancel_scope.cancel()
    assert not find_crash_loops(worker_pool.journal)
    assert not find_overlapping_starts(worker_pool.journal)
    assert not find_starts_after_success(worker_pool.journal)
    assert set(crashing) == {JobState.FAILED}, crashing
    assert set(lasting) == {JobState.RUNNING}, lasting
    assert not lost, lost
    assert short[JobState.COMPLETED] > 0.9 * quick, short


async def _submit_jobs(owner: Owner) -> int:
    """Submits short and filling jobs; returns the number of short ones."""
    number = 0
    while number < _SECONDS * _JOBS_PER_SECOND:
        await owner.job_api.submit(f"quick{number}", QUEUE, quick_job())
        await owner.job_api.submit(
            f"fill{number}", QUEUE, best_effort_job(number)
        )
        number += 1
        await trio.sleep(1 / _JOBS_PER_SECOND)
    return number


def _states(owner: Owner, kind: str, count: int) -> Counter[JobState | None]:
    return Counter(
        owner.job_api.state(f"{kind}{number}").state for number in range(count)
    )


def test_a_large_cell_bears_crashes_restarts_and_changing_capacity() -> None:
    run_on_slow_vm(2.0, _run_large_cell)
