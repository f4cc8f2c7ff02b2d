"""Copies of runs that delay their step.

Load pattern: a step of ten tasks of 0.7 s, one of which takes seven times as
long, in jobs that allow copies.
"""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from unittest import mock

import trio

from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.owner import wall
from pimentocross.owner.capacity_reserve import CapacityReserve
from pimentocross.owner.copier import Copier
from pimentocross.owner.endings import apply_ending
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.orders import Placement
from pimentocross.owner.owner import Owner
from pimentocross.owner.rebalancer import Rebalancer
from pimentocross.placement.copies import (
    CopyBudget,
    CopyHistory,
    Straggler,
    is_worth_copy,
)
from pimentocross.placement.durations import Durations
from pimentocross.placement.urgency import DeadlineClass
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RunEvent, TaskPlan
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import Size, StepSpec, TaskName
from pimentocross.work.state import JobState, Run, RunState, Step, Task
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    find_starts_after_success,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.pass_fixtures import make_step, make_worker

_USUAL = 0.7
_LONG = 7 * _USUAL
_STEP = StepSpec(10, SMALL, _USUAL, copies=True)
_LATE = Straggler(3.5, _USUAL, 1, 10, DeadlineClass.BEGUN)


def test_a_copy_is_worth_it_for_what_holds_up_its_step() -> None:
    assert is_worth_copy(_LATE)
    assert is_worth_copy(_LATE._replace(chance=DeadlineClass.LATE_BEGUN))
    assert not is_worth_copy(_LATE._replace(chance=DeadlineClass.HOPELESS))
    assert not is_worth_copy(_LATE._replace(undone=5))
    assert not is_worth_copy(_LATE._replace(left=1.5))


def test_copies_leave_room_for_what_waits() -> None:
    room = CopyBudget(100_000, 50_000, 0)
    assert room.admits(4000)
    assert room.after(1000).admits(1000)
    assert not room.after(1000).admits(1500)
    assert not room._replace(spare=500).admits(1000)


def test_a_queue_whose_copies_lose_is_tried_rarely() -> None:
    history = CopyHistory()
    assert history.admits("q", 3, 0.0)
    assert not history.admits("q", 4, 0.0)
    for _ in range(4):
        history.note_started("q", 1.0)
        history.note_outcome("q", won=False)
    assert not history.admits("q", 0, 2.0)
    assert history.admits("other", 0, 2.0)
    assert history.admits("q", 0, 60.0)
    assert not history.admits("q", 1, 60.0)
    for _ in range(6):
        history.note_outcome("q", won=True)
    assert history.admits("q", 9, 61.0)


class _CopyScenario:
    """A step of which nine of ten tasks are done, and a copier."""

    def __init__(self) -> None:
        store = StoreStandin().client("a")
        self.book = JobRegistry(Ledger(store, "jobs", "owner", 1), 150.0)
        self.learned = LearnedEstimates()
        for number in range(15):
            former = make_step(f"former{number}", _STEP)
            for took in [*[_USUAL] * 9, _LONG]:
                self.learned.durations.note_task(former, took, took)
        self.workers = [make_worker(life(n), n) for n in range(4)]
        self.copier = Copier(
            self.book, self.learned, Rebalancer(self.learned), CapacityReserve()
        )

    def begin(self, job_id: str, step: StepSpec) -> None:
        """Starts the tasks of a job and ends all but one of them."""
        self.book.accept(job_id, QUEUE, spec(step))
        job = self.book.find(job_id)
        assert job is not None
        self.step: Step = job.occurrences[0].steps[0]
        self.long: Task = self.step.tasks[0]
        now = trio.current_time()
        for task in self.step.tasks:
            run = Run(1, 0, now)
            run.enter(RunState.RUNNING, now)
            run.began_at = now
            task.add_run(run)
            self.workers[0].add(task, run)
        for task in self.step.tasks[1:]:
            self.end(task, 1, EndKind.DONE)

    async def decide_copies(self) -> list[Placement]:
        """Returns the copies decided on after 1 s, at 20 percent progress."""
        await trio.sleep(1.0)
        run = self.long.runs[1]
        run.percent, run.percent_at = 20, trio.current_time()
        return self.copier.pass_over(
            lambda _: self.workers, trio.current_time()
        )

    def end(self, task: Task, number: int, how: EndKind) -> None:
        """Ends a run."""
        worker = self.workers[task.runs[number].worker]
        ending = Ending(1, task.name, number, how, "")
        self.copier.note_ended(task, apply_ending(task, ending, worker), ending)


@asynccontextmanager
async def _copy_scenario(
    step: StepSpec = _STEP,
) -> AsyncIterator[_CopyScenario]:
    with mock.patch.object(wall, "now", trio.current_time):
        # Runs that started at time 0 count as a former owner's.
        await trio.sleep(1.0)
        scenario = _CopyScenario()
        scenario.begin("j", step)
        yield scenario


async def test_a_copy_goes_to_another_worker_with_room() -> None:
    async with _copy_scenario() as scenario:
        [placement] = await scenario.decide_copies()
        assert placement.task is scenario.long
        assert placement.run.number == 2
        assert placement.worker.number != 0
        await trio.sleep(1.0)
        assert not await scenario.decide_copies(), "one copy at most"


async def test_no_copy_without_room_or_leave() -> None:
    async with _copy_scenario() as scenario:
        for worker in scenario.workers:
            worker.committed = worker.life.capacity
        assert not await scenario.decide_copies()
    async with _copy_scenario(_STEP._replace(copies=False)) as scenario:
        assert not await scenario.decide_copies()
    async with _copy_scenario() as scenario:
        scenario.long.failed_on = {1, 2, 3}
        assert not await scenario.decide_copies()
    async with _copy_scenario() as scenario:
        # Both runs may fail, which would use up all attempts.
        scenario.long.failures = QUEUE.attempts - 1
        assert not await scenario.decide_copies()
    async with _copy_scenario() as scenario:
        scenario.learned.durations = Durations()
        assert not await scenario.decide_copies(), "no stragglers were seen"


async def test_no_copy_where_all_of_a_step_takes_long() -> None:
    async with _copy_scenario() as scenario:
        for _ in range(3):
            scenario.learned.durations.note_task(scenario.step, _LONG, _LONG)
        assert not await scenario.decide_copies()


async def test_both_runs_count_for_the_most_on_one_worker() -> None:
    async with _copy_scenario(_STEP._replace(per_worker=1)) as scenario:
        for worker in scenario.workers[1:3]:
            worker.add(scenario.step.tasks[1], Run(5, worker.number))
        [placement] = await scenario.decide_copies()
        assert placement.worker.number == 3


async def test_copies_that_never_win_are_given_up() -> None:
    copied = 0
    async with _copy_scenario() as scenario:
        for number in range(8):
            scenario.begin(f"j{number + 1}", _STEP)
            for _, run, _, _ in await scenario.decide_copies():
                copied += 1
                run.enter(RunState.RUNNING, trio.current_time())
            scenario.end(scenario.long, 1, EndKind.DONE)
            for run in list(scenario.long.runs.values()):
                scenario.end(scenario.long, run.number, EndKind.STOPPED)
    assert copied == 4, copied


_QUICK = TaskPlan(_USUAL, SMALL)


class _Plans:
    """Tasks of 0.7 s; the first run of one takes seven times as long."""

    def __init__(self, copy: TaskPlan = _QUICK) -> None:
        self._copy = copy
        self._starts: Counter[TaskName] = Counter()

    def __call__(self, task: TaskName) -> TaskPlan:
        """Returns the plan of a task's next run."""
        self._starts[task] += 1
        if task.position == 0 and self._starts[task] == 1:
            return TaskPlan(_LONG, SMALL)
        if task.position == 0 and self._starts[task] == 2:
            return self._copy
        return _QUICK


@asynccontextmanager
async def _cell(
    plans: _Plans, store: StoreStandin | None = None
) -> AsyncIterator[tuple[WorkerPool, Owner]]:
    """Runs an owner with a job whose first task is slow enough for a copy."""
    worker_pool = make_worker_pool(4, plans)
    seen = mock.patch.object(Durations, "has_stragglers", lambda *_: True)
    with mock.patch.object(wall, "now", trio.current_time), seen:
        async with running(
            make_owner(store or StoreStandin(), worker_pool, 1)
        ) as owner:
            await owner.settled.wait()
            await owner.job_api.submit("j", QUEUE, spec(_STEP))
            yield worker_pool, owner


def _events(worker_pool: WorkerPool, run: int, *whats: str) -> list[RunEvent]:
    """Returns the events of some kinds of a run of the long task."""
    return [
        event
        for event in worker_pool.journal
        if event.task.position == 0
        and event.run == run
        and (event.what in whats)
    ]


def _ended(owner: Owner) -> Callable[[], bool]:
    return lambda: owner.job_api.state("j").state is JobState.COMPLETED


async def _wait_for_copy(worker_pool: WorkerPool) -> None:
    await wait_until(lambda: bool(_events(worker_pool, 2, "start")))


def _check_settled(worker_pool: WorkerPool) -> None:
    """Checks that no run is left or began after its task had ended."""
    for worker in worker_pool.workers.values():
        assert worker.committed == Size(0, 0, 0)
    assert not find_starts_after_success(worker_pool.journal)


async def test_a_copy_ends_its_step_and_the_other_run_is_stopped() -> None:
    async with _cell(_Plans()) as (worker_pool, owner):
        began = trio.current_time()
        await wait_until(_ended(owner))
        assert trio.current_time() - began < _LONG / 2 + 0.6
        await trio.sleep(0.5)
        assert _events(worker_pool, 1, "stopped")
        _check_settled(worker_pool)
        assert count(worker_pool.journal, "start") == 11


async def test_the_original_ends_first_and_its_copy_is_stopped() -> None:
    async with _cell(_Plans(TaskPlan(9.0, SMALL))) as (worker_pool, owner):
        await wait_until(_ended(owner))
        await trio.sleep(0.5)
        assert _events(worker_pool, 1, "done")
        assert _events(worker_pool, 2, "stopped")
        _check_settled(worker_pool)


async def test_a_copy_that_fails_leaves_the_original_to_end() -> None:
    fails = TaskPlan(_USUAL, SMALL, fails=True)
    async with _cell(_Plans(fails)) as (worker_pool, owner):
        await wait_until(_ended(owner))
        assert _events(worker_pool, 2, "failed")
        await trio.sleep(0.5)
        _check_settled(worker_pool)


async def test_a_copy_whose_worker_crashes_takes_no_run_along() -> None:
    crashes = TaskPlan(_USUAL, SMALL, crashes_after=0.2)
    async with _cell(_Plans(crashes)) as (worker_pool, owner):
        await _wait_for_copy(worker_pool)
        await wait_until(_ended(owner))
        assert _events(worker_pool, 2, "crashed")
        assert len(_events(worker_pool, 1, "start")) == 1


async def test_a_cancel_stops_both_runs() -> None:
    async with _cell(_Plans(TaskPlan(9.0, SMALL))) as (worker_pool, owner):
        await _wait_for_copy(worker_pool)
        await owner.job_api.cancel("j")
        await trio.sleep(1.0)
        assert _events(worker_pool, 1, "stopped")
        assert _events(worker_pool, 2, "stopped")
        _check_settled(worker_pool)


async def test_a_new_owner_finds_both_runs_and_stops_the_second_to_end() -> (
    None
):
    store = StoreStandin()
    async with _cell(_Plans(TaskPlan(1.5, SMALL)), store) as (worker_pool, _):
        await _wait_for_copy(worker_pool)
    with mock.patch.object(wall, "now", trio.current_time):
        async with running(make_owner(store, worker_pool, 2, vm="b")) as owner:
            await wait_until(_ended(owner))
            await trio.sleep(0.5)
    assert _events(worker_pool, 2, "done")
    assert _events(worker_pool, 1, "stopped")
    _check_settled(worker_pool)


async def test_a_copy_that_was_recorded_and_not_sent_is_given_up() -> None:
    store = StoreStandin()
    async with _cell(_Plans(), store) as (worker_pool, _):
        await wait_until(lambda: count(worker_pool.journal, "start") == 10)
        for worker in worker_pool.workers.values():
            worker.faults.lost = 0.0
            worker.faults.late = 1.0
        await trio.sleep(1.6)
    for worker in worker_pool.workers.values():
        worker.faults.late = 0.0
    with mock.patch.object(wall, "now", trio.current_time):
        async with running(make_owner(store, worker_pool, 2, vm="b")) as owner:
            await wait_until(_ended(owner))
            await trio.sleep(13.0)
    _check_settled(worker_pool)
