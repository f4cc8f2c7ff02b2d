"""Tests that what keeps work from a worker has an end on every path."""

from collections import Counter
import itertools

import trio

from pimentocross.observe import decisions, meters
from pimentocross.owner.learned import MAX_UNSOUND_SECONDS, LearnedEstimates
from pimentocross.owner.withheld import Reason
from pimentocross.owner.worker import Worker
from pimentocross.work.crash_history import (
    MAX_RESERVATION,
    STARTUP_CRASH_WINDOW,
    CrashHistory,
)
from pimentocross.work.spec import StepSpec
from pimentocross.work.state import Run, RunState, Task
from tests.owner_fixtures import QUEUE, SMALL, chain, life, wait_until
from tests.pass_fixtures import (
    DispatcherHarness,
    add_running_tasks,
    make_step,
    make_worker,
)

# Seconds between two scheduling passes, and some time for them.
_SLACK = 0.5


def _add_suspect(worker: Worker, state: RunState) -> tuple[Task, Run]:
    """Adds a run whose task has crashed a worker after 4 s."""
    step = make_step("suspect", StepSpec(1, SMALL, lasting=True))
    (task,) = step.tasks
    task.crash_history = CrashHistory(1, 1, 1, 4.0, 0)
    run = Run(1, worker.number, trio.current_time())
    run.enter(state, trio.current_time())
    task.add_run(run)
    worker.add(task, run)
    return task, run


async def _other_task_waits(worker: Worker, most: float) -> float:
    """Returns after how many seconds a task of another job is placed."""
    began = trio.current_time()
    cell = DispatcherHarness([worker])
    cell.book.accept("other", QUEUE, chain(1, 1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cell.run)
        await wait_until(lambda: bool(cell.recorded.started), most)
        waited = trio.current_time() - began
        await trio.sleep(_SLACK)
        nursery.cancel_scope.cancel()
    return waited


async def test_a_run_that_is_never_listed_keeps_its_worker_for_8_s() -> None:
    # Guards against a lost job: the worker stayed reserved for a start without
    # an answer, and for a stop without one.
    for state in (RunState.DECIDED, RunState.UNSURE, RunState.STOPPING):
        worker = make_worker(life(0), 0)
        task, run = _add_suspect(worker, state)
        worker.isolate(task, run, trio.current_time())
        waited = await _other_task_waits(worker, MAX_RESERVATION + _SLACK)
        assert waited >= task.crash_history.isolation_seconds


async def test_what_withholds_a_worker_is_logged_and_counted() -> None:
    worker = make_worker(life(0), 0)
    task, run = _add_suspect(worker, RunState.UNSURE)
    worker.isolate(task, run, trio.current_time())
    metric = f'withheld_seconds_total{{reason="{Reason.ISOLATED}"}}'
    counted, lines = meters.total(metric), Counter(decisions.counts())
    waited = await _other_task_waits(worker, MAX_RESERVATION + _SLACK)
    assert abs(meters.total(metric) - counted - waited) <= _SLACK
    begun, ended = (
        decisions.counts()[kind] - lines[kind]
        for kind in ("withheld", "withheld_ended")
    )
    assert (begun, ended) == (1, 1)


async def test_an_adopted_run_that_is_never_listed_keeps_it_for_8_s() -> None:
    # Guards against a lost job: a new owner reserved the worker anew, for a run
    # that it never saw.
    worker = make_worker(life(0), 0)
    _add_suspect(worker, RunState.UNSURE)
    worker.isolate_adopted(trio.current_time())
    assert worker.is_isolating
    await _other_task_waits(worker, MAX_RESERVATION + _SLACK)


async def test_reservations_in_series_leave_a_worker_open_between() -> None:
    # Guards against a lost job: one isolated run after the other kept all
    # other tasks off their only worker.
    worker = make_worker(life(0), 0)
    step = make_step("suspects", StepSpec(1, SMALL))
    (task,) = step.tasks
    task.crash_history = CrashHistory(1, 1, 1, 4.0, 0)
    closed_since = last_open = trio.current_time()
    while trio.current_time() < 60.0:
        now = trio.current_time()
        if worker.is_isolating:
            worker.end_isolation(now)
        if not worker.is_isolating and worker.may_isolate(now):
            run = Run(task.last_run + 1, worker.number, now)
            task.add_run(run)
            worker.add(task, run)
            worker.isolate(task, run, now)
        if not worker.is_isolating:
            last_open = now
        closed_since = max(closed_since, last_open)
        assert now - closed_since < 2 * MAX_RESERVATION + _SLACK
        await trio.sleep(0.25)
    assert last_open > 40.0


async def test_a_run_that_has_ended_keeps_its_worker_no_longer() -> None:
    worker = make_worker(life(0), 0)
    task, run = _add_suspect(worker, RunState.RUNNING)
    worker.isolate(task, run, trio.current_time())
    worker.remove(task, run.number)
    assert not worker.is_isolating
    assert worker.may_isolate(trio.current_time())


async def test_a_run_that_lives_long_enough_ends_its_isolation() -> None:
    await trio.sleep(1.0)
    worker = make_worker(life(0), 0)
    task, run = _add_suspect(worker, RunState.RUNNING)
    worker.isolate(task, run, trio.current_time())
    run.began_at = trio.current_time()
    lived = task.crash_history.survived + STARTUP_CRASH_WINDOW
    await trio.sleep(lived)
    worker.last_reply_at = trio.current_time()
    worker.end_isolation(trio.current_time())
    assert not worker.is_isolating


async def test_a_worker_whose_figures_stay_bad_is_tried_again() -> None:
    # Guards against a lost job: tasks that stay on their worker and are over
    # their targets for good kept all others off it.
    for interval in (0.5, 1.0):
        worker, learned = make_worker(life(0), 0), LearnedEstimates()
        serving = StepSpec(2, SMALL, lasting=True, target_tail=20, image="slow")
        add_running_tasks(worker, make_step("slow", serving), figure=60)
        open_at = [trio.current_time()]
        until = trio.current_time() + 60.0
        while trio.current_time() < until:
            worker.last_reply_at = now = trio.current_time()
            learned.on_listed(worker)
            if worker.unsound_until <= now:
                open_at.append(now)
            await trio.sleep(interval)
        gaps = [b - a for a, b in itertools.pairwise(open_at)]
        assert 0 <= max(gaps) - MAX_UNSOUND_SECONDS <= interval
        assert open_at[-1] > until - 20.0
