"""Tests that tasks which can't restart at once aren't stopped for others."""

from typing import cast
from unittest import mock

import trio

from pimentocross.owner import const, wall
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Orders
from pimentocross.owner.run_control import RunController
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RUNS_FOREVER, TaskPlan
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import Size, StepSpec, TaskName
from tests.owner_fixtures import (
    QUEUE,
    count,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    longest_interruption,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.pass_fixtures import (
    RecordedOrders,
    add_running_tasks,
    make_step,
    make_worker,
)

_LASTING_SIZE = Size(1900, 1000, 0)
_SHORT_SIZE = Size(2000, 1000, 0)
_WATCH_JOB = spec(StepSpec(1, _LASTING_SIZE, lasting=True))
# Seconds. Users count a lasting task as lost after 6 s of down time.
_DOWN_MOST = 4.0


def _plan(task: TaskName) -> TaskPlan:
    if task.job.startswith("short"):
        return TaskPlan(0.5, _SHORT_SIZE)
    return TaskPlan(RUNS_FOREVER, _LASTING_SIZE)


async def test_nothing_gives_way_whose_start_may_come_late() -> None:
    # Guards against a lost job: the task was stopped under the next owner and
    # then held for 11 s.
    worker_pool = make_worker_pool(8, _plan)
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_unanswered(worker_pool)
    assert count(worker_pool.journal, "done")
    assert longest_interruption(worker_pool.journal) < _DOWN_MOST, (
        longest_interruption(worker_pool.journal)
    )
    assert not find_overlapping_starts(worker_pool.journal)
    assert not find_starts_after_success(worker_pool.journal)


async def _simulate_unanswered(worker_pool: WorkerPool) -> None:
    """Has one owner's starts go unanswered and puts load on its successor."""
    store = StoreStandin()
    watch = spec(StepSpec(8, _LASTING_SIZE, lasting=True))
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        for worker in worker_pool.workers.values():
            worker.faults.lost = 1.0
        for number in range(4):
            await owner.job_api.submit(f"watch{number}", QUEUE, watch)
        await wait_until(lambda: count(worker_pool.journal, "start") == 32)
    for worker in worker_pool.workers.values():
        worker.faults.lost = 0.0
    async with running(make_owner(store, worker_pool, 2)) as successor:
        await successor.settled.wait()
        short = spec(StepSpec(1, _SHORT_SIZE, 0.5))
        for number in range(30):
            await successor.job_api.submit(f"short{number}", QUEUE, short)
            await trio.sleep(1.0)


async def test_it_is_settled_once_its_start_can_not_come_any_more() -> None:
    worker, late_until = _late_worker()
    assert not worker.settled(late_until - 0.1, 0.0)
    assert len(worker.settled(late_until, 0.0)) == 1


async def test_it_stays_on_an_unsound_worker_meanwhile() -> None:
    worker, late_until = _late_worker()
    worker.unsound_until = late_until + 1.0
    recorded = RecordedOrders()
    orders = cast(Orders, recorded)
    roster = mock.Mock(workers=mock.Mock(return_value=[worker]))
    care = RunController(roster, LearnedEstimates())
    await trio.sleep_until(late_until - 0.1)
    care.pass_over(orders)
    assert not recorded.stopped
    await trio.sleep_until(late_until)
    care.pass_over(orders)
    assert len(recorded.stopped) == 1


def _late_worker() -> tuple[Worker, float]:
    """Returns a worker and the time until which its run may start late."""
    worker = make_worker(life(0), 0)
    add_running_tasks(
        worker, make_step("watch", StepSpec(1, _LASTING_SIZE, lasting=True))
    )
    (run,) = worker.runs.values()
    run.late_until = trio.current_time() + const.LATE_START_WINDOW
    return worker, run.late_until


async def test_a_job_waits_until_a_run_of_it_is_seen() -> None:
    # Guards against wrong states: jobs whose first starts were held counted as
    # begun.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_pending()


async def _simulate_pending() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    job = spec(StepSpec(1, _SHORT_SIZE, 0.5))
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        for worker in worker_pool.workers.values():
            worker.faults.late = 1.0
        await owner.job_api.submit("short", QUEUE, job)
        await trio.sleep(2.0)
        assert owner.job_api.pending(QUEUE.name) == 1
    for worker in worker_pool.workers.values():
        worker.restart()
        worker.faults.late = 0.0
    async with running(make_owner(store, worker_pool, 2)) as successor:
        await successor.settled.wait()
        await trio.sleep(2.0)
        assert not count(worker_pool.journal, "start")
        assert successor.job_api.pending(QUEUE.name) == 1
        await successor.job_api.submit("watch", QUEUE, _WATCH_JOB)
        await wait_until(lambda: count(worker_pool.journal, "start") == 1)
        assert successor.job_api.pending(QUEUE.name) == 1
        await wait_until(lambda: count(worker_pool.journal, "start") == 2)
        await wait_until(lambda: successor.job_api.pending(QUEUE.name) == 0)
    async with running(make_owner(store, worker_pool, 3)) as third:
        assert third.job_api.pending(QUEUE.name) == 0


async def test_what_was_carried_out_once_is_not_held_by_the_next_owner() -> (
    None
):
    # Guards against a lost job: a new owner treated every start of a lasting
    # task as sent twice, and the end of its run settled only one of the two.
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        for worker in worker_pool.workers.values():
            worker.faults.lost = 1.0
        await owner.job_api.submit("watch", QUEUE, _WATCH_JOB)
        await wait_until(lambda: count(worker_pool.journal, "start") == 1)
    for worker in worker_pool.workers.values():
        worker.faults.lost = 0.0
    # There is no owner until the lease of the run has lapsed.
    await trio.sleep(const.LEASE)
    async with running(make_owner(store, worker_pool, 2)):
        await wait_until(
            lambda: count(worker_pool.journal, "start") == 2, _DOWN_MOST
        )
    assert not find_overlapping_starts(worker_pool.journal)
