"""Tests waits and counts that must not begin anew with each take-over.

If owners follow one another within seconds and each counts a wait from its own
take-over, the wait never ends.
"""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final
from unittest import mock

import trio

from pimentocross.owner import const, wall
from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    NEVER,
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import Size, StepSpec, TaskName
from pimentocross.work.state import JobState
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    find_overlapping_starts,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)

# Users allow 6 s after the end of a run and 3 s more without one.
_RUNNING_WITHIN: Final = 6.0 + 3.0
_LARGE_SIZE: Final = Size(2500, 1000, 0)
_FOUR_LARGE_TASKS: Final = spec(StepSpec(4, _LARGE_SIZE, lasting=True))
_LASTING: Final = spec(StepSpec(1, SMALL, lasting=True))


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, SMALL)


def _worker_of(worker_pool: WorkerPool, job: str) -> str:
    """Returns a live worker that runs a task of a job, or "" if none does."""
    for worker in worker_pool.workers.values():
        if not worker.dead:
            for entry in worker.listing().running:
                if entry.task.job == job:
                    return worker.life.id
    return ""


class _OwnerSeries:
    """Successive owners of one cell."""

    def __init__(self, worker_pool: WorkerPool) -> None:
        self.store = StoreStandin()
        self._worker_pool = worker_pool
        self._epoch = 0
        self._stack = AsyncExitStack()
        self._owner: Owner | None = None

    @property
    def owner(self) -> Owner:
        """The present owner."""
        assert self._owner is not None
        return self._owner

    async def start_next(self) -> None:
        """Kills the present owner, if there is one, and starts the next one."""
        await self.end()
        self._epoch += 1
        owner = make_owner(self.store, self._worker_pool, self._epoch)
        self._owner = await self._stack.enter_async_context(running(owner))

    async def end(self) -> None:
        """Kills the owner."""
        await self._stack.aclose()
        self._stack = AsyncExitStack()


@asynccontextmanager
async def _owning(worker_pool: WorkerPool) -> AsyncIterator[_OwnerSeries]:
    """Starts a first owner. The last one is killed after the block."""
    owners = _OwnerSeries(worker_pool)
    await owners.start_next()
    try:
        await trio.sleep(0.5)
        yield owners
    finally:
        await owners.end()


def _replace(worker_pool: WorkerPool, worker: str, generation: int) -> None:
    """Crashes a worker, whose VM has another life at once."""
    old = worker_pool.workers.pop(worker)
    old.crash()
    old.down = False
    number = int(old.life.machine[1:])
    new = life(number, generation)._replace(
        born=old.life.born + 1, labels=old.life.labels
    )
    worker_pool.add(
        TaskWorkerStandin(
            new, _lasting, worker_pool.journal, seed=generation + number
        )
    )


async def _simulate_storm(*, take_overs: bool) -> JobState | None:
    """Returns the state of a job that caused none of a series of crashes."""
    worker_pool = make_worker_pool(12, _lasting)
    for number, worker in enumerate(worker_pool.workers.values()):
        worker.life = worker.life._replace(labels=("kind", f"r{number}"))
    async with _owning(worker_pool) as owners:
        await owners.owner.job_api.submit("watch", QUEUE, _LASTING)
        for generation in range(1, 6):
            await trio.sleep(2.0)
            if not _worker_of(worker_pool, "watch"):
                break
            if take_overs:
                await owners.start_next()
            await trio.sleep(0.4)
            crashed = _worker_of(worker_pool, "watch")
            others = [
                name for name in sorted(worker_pool.workers) if name != crashed
            ]
            for name in [crashed, *others[:3]]:
                _replace(worker_pool, name, generation)
        await trio.sleep(2.0)
        return owners.owner.job_api.state("watch").state


async def test_a_storm_of_crashes_ends_no_job_under_one_owner() -> None:
    # The baseline for the next test.
    assert await _simulate_storm(take_overs=False) is JobState.RUNNING


async def test_a_storm_of_crashes_ends_no_job_as_owners_follow() -> None:
    # Guards against a lost job: if run lifetimes and other crashes are counted
    # from the take-over, each crash seems to be caused by the task there.
    assert await _simulate_storm(take_overs=True) is JobState.RUNNING


async def test_a_worker_is_isolated_no_longer_as_owners_follow() -> None:
    # Guards against a lost job: if each owner counts the lifetime of the
    # isolated run from its take-over, the worker stays closed to other tasks.
    starts: Counter[str] = Counter()

    def plan(name: TaskName) -> TaskPlan:
        if name.job != "suspect":
            return TaskPlan(RUNS_FOREVER, _LARGE_SIZE)
        starts[name.job] += 1
        after = 4.6 if starts[name.job] <= 3 else NEVER
        return TaskPlan(100.0, SMALL, crashes_after=after)

    worker_pool = make_worker_pool(2, plan)
    async with _owning(worker_pool) as owners:
        job_api = owners.owner.job_api
        suspect = spec(StepSpec(1, SMALL, 100.0))
        await job_api.submit("suspect", QUEUE, suspect)
        for generation in range(1, 4):
            await wait_until(
                lambda: any(w.down for w in worker_pool.workers.values())
            )
            crashed = next(n for n, w in worker_pool.workers.items() if w.down)
            old = worker_pool.workers.pop(crashed)
            old.down = False
            number = int(old.life.machine[1:])
            new = life(number, generation)._replace(born=old.life.born + 1)
            worker_pool.add(
                TaskWorkerStandin(
                    new, plan, worker_pool.journal, seed=10 * generation
                )
            )
        await wait_until(lambda: bool(_worker_of(worker_pool, "suspect")))
        # The other worker is full, so the next job only fits beside that run.
        await job_api.submit("watch", QUEUE, _FOUR_LARGE_TASKS)
        began = trio.current_time()
        while _count_listed(worker_pool, "watch") < 4:
            await owners.start_next()
            await trio.sleep(5.0)
            took = trio.current_time() - began
            assert took < 3 * _RUNNING_WITHIN, took


def _count_listed(worker_pool: WorkerPool, job: str) -> int:
    """Returns how many tasks of a job run on live workers."""
    return sum(
        entry.task.job == job
        for worker in worker_pool.workers.values()
        if not worker.dead
        for entry in worker.listing().running
    )


async def test_a_start_in_flight_at_a_take_over_keeps_nothing_away() -> None:
    # Guards against a lost job: the task must not be held for 12.8 s from the
    # take-over, as the worker reports that the run isn't there.
    worker_pool = make_worker_pool(2, _lasting)
    with mock.patch.object(wall, "now", trio.current_time):
        async with _owning(worker_pool) as owners:
            for worker in worker_pool.workers.values():
                worker.faults.silent = True
            await owners.owner.job_api.submit("watch", QUEUE, _LASTING)
            # The start is decided on and recorded but has reached no worker.
            await trio.sleep(0.1)
            await owners.end()
            for worker in worker_pool.workers.values():
                worker.faults.silent = False
            await owners.start_next()
            await wait_until(
                lambda: bool(_worker_of(worker_pool, "watch")), _RUNNING_WITHIN
            )


async def _simulate_late_start(ahead: float) -> None:
    """Checks that a new owner waits for a start that comes late.

    Args:
        ahead: How far the new owner's clock is ahead, in seconds.
    """
    store, worker_pool = StoreStandin(), make_worker_pool(1, _lasting)
    worker_pool.access("b")
    worker = worker_pool.workers[life(0).id]
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        worker.faults.late = 1.0
        last = mock.Mock(return_value=const.LATE_START_WINDOW - 0.1)
        with mock.patch.object(worker.faults.random, "uniform", last):
            await owner.job_api.submit("watch", QUEUE, _LASTING)
            await trio.sleep(0.2)
        sent_at = trio.current_time()
        worker.faults.late = 0.0
        worker_pool.cut["a"].add(worker.life.id)
        await trio.sleep(2.0)
    # The next life has received no token, and the new owner finds it only after
    # the start was carried out.
    worker.restart()
    worker_pool.cut["b"].add(worker.life.id)
    worker_pool.unlisted.add(worker.life.id)
    worker_pool.add(
        TaskWorkerStandin(life(1), _lasting, worker_pool.journal, seed=1)
    )
    clock = mock.Mock(side_effect=lambda: trio.current_time() + ahead)
    with mock.patch.object(wall, "now", clock):
        async with running(make_owner(store, worker_pool, 2, vm="b")):
            await trio.sleep_until(sent_at + const.LATE_START_WINDOW)
            worker_pool.cut["b"].clear()
            worker_pool.unlisted.clear()
            await trio.sleep(5.0)
    assert count(worker_pool.journal, "start"), "nothing began"
    assert not find_overlapping_starts(worker_pool.journal), (
        find_overlapping_starts(worker_pool.journal)
    )


async def test_a_late_start_is_waited_for_where_clocks_agree() -> None:
    # The baseline for the next test.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_late_start(0.0)


async def test_a_late_start_is_waited_for_where_clocks_differ() -> None:
    # Guards against a task that runs twice: if the end of the wait is a time on
    # the clock of another VM, a clock may be off by more than the two seconds
    # that are allowed for.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_late_start(5.0)
