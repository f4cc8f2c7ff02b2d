"""What may not be started again at once is not stopped for others' sake."""

from typing import cast
from unittest import mock

import trio

from pimentocross.owner import const, wall
from pimentocross.owner.care import Care
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Orders
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import LASTS, TaskPlan
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import Size, StepSpec, TaskName
from tests.owner_fixtures import (
    QUEUE,
    count,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    longest_interruption,
    make_hall,
    make_owner,
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

_LASTING = Size(1900, 1000, 0)
_SHORT = Size(2000, 1000, 0)
_WATCH = spec(StepSpec(1, _LASTING, lasting=True))
# Users count a task that lasts as lost if it is away for 6 s.
_AWAY_MOST = 4.0


def _plan(task: TaskName) -> TaskPlan:
    if task.job.startswith("short"):
        return TaskPlan(0.5, _SHORT)
    return TaskPlan(LASTS, _LASTING)


async def test_nothing_gives_way_whose_start_may_come_late() -> None:
    # LOST: it was stopped under the next owner, and held for 11 s.
    hall = make_hall(8, _plan)
    with mock.patch.object(wall, "now", trio.current_time):
        await _play_unanswered(hall)
    assert count(hall.journal, "done")
    assert longest_interruption(hall.journal) < _AWAY_MOST, (
        longest_interruption(hall.journal)
    )
    assert not find_overlapping_starts(hall.journal)
    assert not find_starts_after_success(hall.journal)


async def _play_unanswered(hall: WorkerHall) -> None:
    """Has an owner start what lasts unanswered, and the next one be pressed."""
    store = StoreStandin()
    watch = spec(StepSpec(8, _LASTING, lasting=True))
    async with running(make_owner(store, hall, 1)) as owner:
        await trio.sleep(0.5)
        for worker in hall.workers.values():
            worker.faults.lost = 1.0
        for number in range(4):
            await owner.job_api.submit(f"watch{number}", QUEUE, watch)
        await wait_until(lambda: count(hall.journal, "start") == 32)
    for worker in hall.workers.values():
        worker.faults.lost = 0.0
    async with running(make_owner(store, hall, 2)) as heir:
        await heir.settled.wait()
        short = spec(StepSpec(1, _SHORT, 0.5))
        for number in range(30):
            await heir.job_api.submit(f"short{number}", QUEUE, short)
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
    care = Care(roster, LearnedEstimates())
    await trio.sleep_until(late_until - 0.1)
    care.pass_over(orders)
    assert not recorded.stopped
    await trio.sleep_until(late_until)
    care.pass_over(orders)
    assert len(recorded.stopped) == 1


def _late_worker() -> tuple[Worker, float]:
    """Returns a worker with a lasting run whose start may come late."""
    worker = make_worker(life(0), 0)
    add_running_tasks(
        worker, make_step("watch", StepSpec(1, _LASTING, lasting=True))
    )
    (run,) = worker.runs.values()
    run.late_until = trio.current_time() + const.LATE_START_MOST
    return worker, run.late_until


async def test_a_job_waits_until_a_run_of_it_is_seen() -> None:
    # MIXED: jobs whose first starts were held counted as begun.
    with mock.patch.object(wall, "now", trio.current_time):
        await _play_pending()


async def _play_pending() -> None:
    store, hall = StoreStandin(), make_hall(2, _plan)
    job = spec(StepSpec(1, _SHORT, 0.5))
    async with running(make_owner(store, hall, 1)) as owner:
        await trio.sleep(0.5)
        for worker in hall.workers.values():
            worker.faults.late = 1.0
        await owner.job_api.submit("short", QUEUE, job)
        await trio.sleep(2.0)
        assert owner.job_api.pending(QUEUE.name) == 1
    for worker in hall.workers.values():
        worker.restart()
        worker.faults.late = 0.0
    async with running(make_owner(store, hall, 2)) as heir:
        await heir.settled.wait()
        await trio.sleep(2.0)
        assert not count(hall.journal, "start")
        assert heir.job_api.pending(QUEUE.name) == 1
        await heir.job_api.submit("watch", QUEUE, _WATCH)
        await wait_until(lambda: count(hall.journal, "start") == 1)
        assert heir.job_api.pending(QUEUE.name) == 1
        await wait_until(lambda: count(hall.journal, "start") == 2)
        await wait_until(lambda: heir.job_api.pending(QUEUE.name) == 0)
    async with running(make_owner(store, hall, 3)) as third:
        assert third.job_api.pending(QUEUE.name) == 0


async def test_what_was_carried_out_once_is_not_held_by_the_next_owner() -> (
    None
):
    # LOST: a new owner takes any start of what lasts for a repeated one, and
    # the end of the run that it brought about settles only one of them.
    store, hall = StoreStandin(), make_hall(2, _plan)
    async with running(make_owner(store, hall, 1)) as owner:
        await trio.sleep(0.5)
        for worker in hall.workers.values():
            worker.faults.lost = 1.0
        await owner.job_api.submit("watch", QUEUE, _WATCH)
        await wait_until(lambda: count(hall.journal, "start") == 1)
    for worker in hall.workers.values():
        worker.faults.lost = 0.0
    # Until its lease has lapsed, nobody owns.
    await trio.sleep(const.LEASE)
    async with running(make_owner(store, hall, 2)):
        await wait_until(lambda: count(hall.journal, "start") == 2, _AWAY_MOST)
    assert not find_overlapping_starts(hall.journal)
