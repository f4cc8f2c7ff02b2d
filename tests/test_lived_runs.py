"""Tests that the lifetimes of suspect runs pass on to the next owner."""

import trio

from pimentocross.owner.ledger import Ledger
from pimentocross.owner.lived_runs import LivedRuns
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RUNS_FOREVER, TaskPlan
from pimentocross.work import records
from pimentocross.work.crash_history import CrashHistory
from pimentocross.work.records import LivedRunRow
from pimentocross.work.spec import StepSpec, TaskName
from pimentocross.work.state import Run, RunState, Step
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.pass_fixtures import make_step, make_worker

_LIVED_SECONDS = 4.0


def _plan(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, SMALL)


def _restored_record(step: Step, worker: int) -> LivedRuns:
    """Returns a former owner's record of the first run of a step's task."""
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    lived_runs = LivedRuns(ledger, list)
    row = LivedRunRow(step.tasks[0].name, 1, worker, _LIVED_SECONDS)
    lived_runs.restore(records.encode_lived_runs([row]))
    return lived_runs


def _add_suspect_run(worker: Worker) -> Step:
    """Adds a run of a task that needs isolation; returns the task's step."""
    step = make_step("suspect", StepSpec(1, SMALL))
    (task,) = step.tasks
    task.crash_history = CrashHistory(3, 3, 0, _LIVED_SECONDS, 0)
    run = Run(1, worker.number)
    run.state = RunState.RUNNING
    task.add_run(run)
    worker.add(task, run)
    return step


def test_an_isolated_run_is_credited_with_what_a_former_owner_saw() -> None:
    worker = make_worker(life(0), 7)
    step = _add_suspect_run(worker)
    (run,) = worker.runs.values()
    _restored_record(step, 7).adopt([(step.tasks[0], run)])
    worker.isolate_adopted(10.0)
    run.began_at = run.state_at = 10.0
    worker.last_reply_at = 10.4
    worker.end_isolation(10.4)
    assert worker.is_isolating
    worker.last_reply_at = 10.6
    worker.end_isolation(10.6)
    assert not worker.is_isolating


def test_a_run_is_not_credited_with_what_it_lived_on_another_life() -> None:
    worker = make_worker(life(0), 7)
    step = _add_suspect_run(worker)
    (run,) = worker.runs.values()
    _restored_record(step, 6).adopt([(step.tasks[0], run)])
    assert not worker.lived(run)


async def test_nothing_is_recorded_while_no_run_may_crash_its_worker() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        watch = spec(StepSpec(2, SMALL, lasting=True))
        await owner.job_api.submit("watch", QUEUE, watch)
        await wait_until(lambda: count(worker_pool.journal, "start") == 2)
        await trio.sleep(1.5)
        page = await store.client("a").newest("jobs", 1.0)
    assert not [r for r in page.records if r.key == records.LIVED_RUNS]
