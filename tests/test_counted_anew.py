"""What a new owner counts anew although it happened before.

Owners that follow one another within seconds never come to the end of a wait
that each of them counts from its own take-over.
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
    LASTS,
    NEVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import Size, StepSpec, TaskName
from pimentocross.work.state import JobState
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    find_overlapping_starts,
    life,
    make_hall,
    make_owner,
    running,
    spec,
    wait_until,
)

# Users allow 6 s from the end of a run, and 3 s without one after these.
_AT_WORK_WITHIN: Final = 6.0 + 3.0
_LARGE: Final = Size(2500, 1000, 0)
_FOUR: Final = spec(StepSpec(4, _LARGE, lasting=True))
_LASTING: Final = spec(StepSpec(1, SMALL, lasting=True))


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(LASTS, SMALL)


def _where(hall: WorkerHall, job: str) -> str:
    """Returns the worker that is up and runs a task of a job, or ""."""
    for worker in hall.workers.values():
        if not worker.dead:
            for entry in worker.listing().running:
                if entry.task.job == job:
                    return worker.life.id
    return ""


class _Owners:
    """Owners of one cell that follow one another."""

    def __init__(self, hall: WorkerHall) -> None:
        self.store = StoreStandin()
        self._hall = hall
        self._epoch = 0
        self._stack = AsyncExitStack()
        self._owner: Owner | None = None

    @property
    def owner(self) -> Owner:
        """The one that owns."""
        assert self._owner is not None
        return self._owner

    async def follow(self) -> None:
        """Has the owner killed, if there is one, and the next one follow."""
        await self.end()
        self._epoch += 1
        owner = make_owner(self.store, self._hall, self._epoch)
        self._owner = await self._stack.enter_async_context(running(owner))

    async def end(self) -> None:
        """Kills the owner."""
        await self._stack.aclose()
        self._stack = AsyncExitStack()


@asynccontextmanager
async def _owning(hall: WorkerHall) -> AsyncIterator[_Owners]:
    """Has a first owner begin; the last one is killed after the block."""
    owners = _Owners(hall)
    await owners.follow()
    try:
        await trio.sleep(0.5)
        yield owners
    finally:
        await owners.end()


def _replace(hall: WorkerHall, worker: str, generation: int) -> None:
    """Has a worker crash; its machine has another life at once."""
    old = hall.workers.pop(worker)
    old.crash()
    old.down = False
    number = int(old.life.machine[1:])
    new = life(number, generation)._replace(
        born=old.life.born + 1, labels=old.life.labels
    )
    hall.add(
        TaskWorkerStandin(new, _lasting, hall.journal, seed=generation + number)
    )


async def _play_storm(*, take_overs: bool) -> JobState | None:
    """Plays a storm of crashes; returns what became of an innocent job."""
    hall = make_hall(12, _lasting)
    for number, worker in enumerate(hall.workers.values()):
        worker.life = worker.life._replace(labels=("kind", f"r{number}"))
    async with _owning(hall) as owners:
        await owners.owner.job_api.submit("watch", QUEUE, _LASTING)
        for generation in range(1, 6):
            await trio.sleep(2.0)
            if not _where(hall, "watch"):
                break
            if take_overs:
                await owners.follow()
            await trio.sleep(0.4)
            hit = _where(hall, "watch")
            others = [name for name in sorted(hall.workers) if name != hit]
            for name in [hit, *others[:3]]:
                _replace(hall, name, generation)
        await trio.sleep(2.0)
        return owners.owner.job_api.state("watch").state


async def test_a_storm_of_crashes_ends_no_job_under_one_owner() -> None:
    # What the next test is held against.
    assert await _play_storm(take_overs=False) is JobState.RUNNING


async def test_a_storm_of_crashes_ends_no_job_as_owners_follow() -> None:
    # LOST: how long a run lived, and who else crashed, is counted from the
    # take-over, so that each crash looks like the doing of its task.
    assert await _play_storm(take_overs=True) is JobState.RUNNING


async def test_a_worker_is_isolated_no_longer_as_owners_follow() -> None:
    # LOST: each counts anew for how long the isolated run has lived.
    starts: Counter[str] = Counter()

    def plan(name: TaskName) -> TaskPlan:
        if name.job != "suspect":
            return TaskPlan(LASTS, _LARGE)
        starts[name.job] += 1
        after = 4.6 if starts[name.job] <= 3 else NEVER
        return TaskPlan(100.0, SMALL, crashes_after=after)

    hall = make_hall(2, plan)
    async with _owning(hall) as owners:
        job_api = owners.owner.job_api
        suspect = spec(StepSpec(1, SMALL, 100.0))
        await job_api.submit("suspect", QUEUE, suspect)
        for generation in range(1, 4):
            await wait_until(lambda: any(w.down for w in hall.workers.values()))
            hit = next(n for n, w in hall.workers.items() if w.down)
            old = hall.workers.pop(hit)
            old.down = False
            number = int(old.life.machine[1:])
            new = life(number, generation)._replace(born=old.life.born + 1)
            hall.add(
                TaskWorkerStandin(new, plan, hall.journal, seed=10 * generation)
            )
        await wait_until(lambda: bool(_where(hall, "suspect")))
        # The other one is full; what comes now has room beside that run.
        await job_api.submit("watch", QUEUE, _FOUR)
        began = trio.current_time()
        while _count_listed(hall, "watch") < 4:
            await owners.follow()
            await trio.sleep(5.0)
            took = trio.current_time() - began
            assert took < 3 * _AT_WORK_WITHIN, took


def _count_listed(hall: WorkerHall, job: str) -> int:
    """Returns how many tasks of a job run on workers that are up."""
    return sum(
        entry.task.job == job
        for worker in hall.workers.values()
        if not worker.dead
        for entry in worker.listing().running
    )


async def test_a_start_in_flight_at_a_take_over_keeps_nothing_away() -> None:
    # LOST: it is held for 12.8 s from the take-over, though its worker says
    # that it isn't there.
    hall = make_hall(2, _lasting)
    with mock.patch.object(wall, "now", trio.current_time):
        async with _owning(hall) as owners:
            for worker in hall.workers.values():
                worker.faults.silent = True
            await owners.owner.job_api.submit("watch", QUEUE, _LASTING)
            # Decided on and recorded; the start has reached nobody.
            await trio.sleep(0.1)
            await owners.end()
            for worker in hall.workers.values():
                worker.faults.silent = False
            await owners.follow()
            await wait_until(
                lambda: bool(_where(hall, "watch")), _AT_WORK_WITHIN
            )


async def _play_late_start(ahead: float) -> None:
    """Has a new owner wait for a late start.

    Args:
        ahead: How far the new owner's clock is ahead, in seconds.
    """
    store, hall = StoreStandin(), make_hall(1, _lasting)
    hall.access("b")
    worker = hall.workers[life(0).id]
    async with running(make_owner(store, hall, 1)) as owner:
        await trio.sleep(0.5)
        worker.faults.late = 1.0
        last = mock.Mock(return_value=const.LATE_START_MOST - 0.1)
        with mock.patch.object(worker.faults.random, "uniform", last):
            await owner.job_api.submit("watch", QUEUE, _LASTING)
            await trio.sleep(0.2)
        sent_at = trio.current_time()
        worker.faults.late = 0.0
        hall.cut["a"].add(worker.life.id)
        await trio.sleep(2.0)
    # The next life knows nothing, and is found only once the start has come.
    worker.restart()
    hall.cut["b"].add(worker.life.id)
    hall.unlisted.add(worker.life.id)
    hall.add(TaskWorkerStandin(life(1), _lasting, hall.journal, seed=1))
    clock = mock.Mock(side_effect=lambda: trio.current_time() + ahead)
    with mock.patch.object(wall, "now", clock):
        async with running(make_owner(store, hall, 2, vm="b")):
            await trio.sleep_until(sent_at + const.LATE_START_MOST)
            hall.cut["b"].clear()
            hall.unlisted.clear()
            await trio.sleep(5.0)
    assert count(hall.journal, "start"), "nothing began"
    assert not find_overlapping_starts(hall.journal), find_overlapping_starts(
        hall.journal
    )


async def test_a_late_start_is_waited_for_where_clocks_agree() -> None:
    # What the next test is held against.
    with mock.patch.object(wall, "now", trio.current_time):
        await _play_late_start(0.0)


async def test_a_late_start_is_waited_for_where_clocks_differ() -> None:
    # TWICE: until when it is waited for is told by the clock of another VM,
    # and clocks jump by more than the two seconds that are allowed for.
    with mock.patch.object(wall, "now", trio.current_time):
        await _play_late_start(5.0)
