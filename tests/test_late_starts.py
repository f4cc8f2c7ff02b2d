"""Tests unanswered starts, which a worker may carry out seconds later."""

from collections.abc import Iterator
from contextlib import contextmanager
import socket
from unittest import mock

import trio

from pimentocross.contracts.worker_link import (
    StartOrder,
    WorkerUnreachableError,
)
from pimentocross.owner import const, wall
from pimentocross.owner.owner import Owner
from pimentocross.platform.workers import HttpWorker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RUNS_FOREVER, TaskPlan
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import StepSpec, TaskName
from pimentocross.work.state import JobState
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.test_http import real_time

_SHORT_JOB = spec(StepSpec(1, SMALL, 0.5))
_LASTING_JOB = spec(StepSpec(1, SMALL, lasting=True))
# Seconds in which a task that may start is decided on, recorded and started.
_START_WITHIN = 2.0
# Seconds between the last record of one owner and the first of the next.
_OWNER_GAP = 2.0
# Interval at which owners that follow one another can write.
_WRITES_EVERY = 5.0
# Seconds for which each of them can.
_WRITES_FOR = 2.5


def _plan(name: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER if name.job.startswith("last") else 0.5, SMALL)


@contextmanager
def _delay_orders(worker_pool: WorkerPool) -> Iterator[None]:
    """Makes all workers leave orders unanswered and carry them out late."""
    for worker in worker_pool.workers.values():
        worker.faults.late = 1.0
    yield
    for worker in worker_pool.workers.values():
        worker.faults.late = 0.0


def _is_done(owner: Owner, job: str) -> bool:
    return owner.job_api.state(job).state is JobState.COMPLETED


def _check_journal(worker_pool: WorkerPool) -> None:
    assert not find_overlapping_starts(worker_pool.journal), (
        find_overlapping_starts(worker_pool.journal)
    )
    assert not find_starts_after_success(worker_pool.journal), (
        find_starts_after_success(worker_pool.journal)
    )


async def _submit_unanswered(owner: Owner, worker_pool: WorkerPool) -> float:
    """Submits a job whose start isn't answered; returns when it was sent."""
    # All workers have listed their runs, so only the start goes unanswered.
    await trio.sleep(0.5)
    with _delay_orders(worker_pool):
        await owner.job_api.submit("job", QUEUE, _SHORT_JOB)
        await trio.sleep(0.1)
    return trio.current_time()


async def test_a_task_is_not_started_elsewhere_before_its_late_start() -> None:
    # The next life of the worker would carry out the start as well.
    worker_pool = make_worker_pool(2, _plan)
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        sent_at = await _submit_unanswered(owner, worker_pool)
        await wait_until(lambda: _is_done(owner, "job"))
        assert trio.current_time() - sent_at > const.LATE_START_WINDOW
        longest = const.LATE_START_WINDOW + const.LEASE + _START_WITHIN
        assert trio.current_time() - sent_at < longest
    assert count(worker_pool.journal, "start") == 1
    _check_journal(worker_pool)


async def test_a_late_start_holds_nothing_up_where_ids_name_one_life() -> None:
    worker_pool = make_worker_pool(2, _plan)
    for worker in worker_pool.workers.values():
        worker.life = worker.life._replace(born=0)
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        sent_at = await _submit_unanswered(owner, worker_pool)
        await wait_until(lambda: _is_done(owner, "job"))
        assert trio.current_time() - sent_at < const.LEASE + _START_WITHIN
    _check_journal(worker_pool)


async def test_a_lasting_task_does_not_wait_for_its_late_start() -> None:
    worker_pool = make_worker_pool(2, _plan)
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        with _delay_orders(worker_pool):
            await owner.job_api.submit("last", QUEUE, _LASTING_JOB)
            await trio.sleep(0.1)
        await wait_until(
            lambda: count(worker_pool.journal, "start") == 1,
            const.CALL_TIMEOUT + _START_WITHIN,
        )
        await trio.sleep(const.LATE_START_WINDOW)
        assert count(worker_pool.journal, "start") == 1
        assert owner.job_api.state("last").state is JobState.RUNNING
    _check_journal(worker_pool)


async def test_a_task_that_may_run_twice_does_not_wait_for_its_late_start() -> (
    None
):
    worker_pool = make_worker_pool(2, _plan)
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        twice = spec(StepSpec(1, SMALL, 0.5, copies=True))
        with _delay_orders(worker_pool):
            await owner.job_api.submit("job", QUEUE, twice)
            await trio.sleep(0.1)
        sent_at = trio.current_time()
        await wait_until(lambda: _is_done(owner, "job"))
        assert trio.current_time() - sent_at < const.LEASE + _START_WITHIN
        await trio.sleep(const.LATE_START_WINDOW)
    _check_journal(worker_pool)


async def test_a_repeated_start_stays_open_until_its_first_can_not_come() -> (
    None
):
    worker_pool = make_worker_pool(2, _plan)
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        with _delay_orders(worker_pool):
            await owner.job_api.submit("last", QUEUE, _LASTING_JOB)
            await trio.sleep(0.1)
        sent_at = trio.current_time()
        await wait_until(lambda: count(worker_pool.journal, "start") == 1)
        first = next(e for e in worker_pool.journal if e.what == "start")
        worker_pool.workers[first.worker].restart()
        await wait_until(lambda: count(worker_pool.journal, "start") == 2)
        again = [e for e in worker_pool.journal if e.what == "start"][1]
        # The second start is on the next life of that worker, or elsewhere once
        # the first start can no longer be carried out.
        late = again.at - sent_at > const.LATE_START_WINDOW
        assert again.worker == first.worker or late
    _check_journal(worker_pool)


async def test_new_owners_wait_for_a_late_start_no_longer() -> None:
    # Successive owners must neither forget the late start nor wait anew.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_new_owners()


async def _simulate_new_owners() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        sent_at = await _submit_unanswered(owner, worker_pool)
        await trio.sleep(3.0)
    for epoch in (2, 3):
        async with running(make_owner(store, worker_pool, epoch)):
            await trio.sleep(3.0)
    async with running(make_owner(store, worker_pool, 4)) as owner:
        await wait_until(lambda: _is_done(owner, "job"))
        took = trio.current_time() - sent_at
    assert took > const.LATE_START_WINDOW
    slack = _OWNER_GAP + const.LEASE + _START_WITHIN
    assert took < const.LATE_START_WINDOW + slack, took
    assert count(worker_pool.journal, "start") == 1
    _check_journal(worker_pool)


async def test_an_order_that_never_left_holds_nothing_up() -> None:
    worker_pool = make_worker_pool(2, _plan)
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        for worker in worker_pool.workers.values():
            worker.crash()
            worker.down = True
        await owner.job_api.submit("job", QUEUE, _SHORT_JOB)
        await trio.sleep(0.1)
        for worker in worker_pool.workers.values():
            worker.restart()
        await wait_until(
            lambda: _is_done(owner, "job"), const.LEASE + _START_WITHIN
        )
    _check_journal(worker_pool)


@real_time
async def test_a_start_that_found_no_connection_is_told_as_never_sent() -> None:
    # Otherwise tasks sent to a worker that is down would be held for seconds.
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        port = closed.getsockname()[1]
        worker = HttpWorker(life(0)._replace(address=f"127.0.0.1:{port}"))
        name = TaskName("job", 0, 0, 0)
        try:
            await worker.start(StartOrder(name, 1, "", 1.0, 1, ""), 1.0)
        except WorkerUnreachableError as error:
            assert not error.sent
        else:
            raise AssertionError("a closed port answered")


async def test_owners_that_are_killed_hold_no_task_for_ever() -> None:
    # The life that a held run was sent to has ended, and its number is dropped.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_killed_owners()


async def _simulate_killed_owners() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        sent_at = await _submit_unanswered(owner, worker_pool)
        await trio.sleep(1.0)
        for worker in worker_pool.workers.values():
            worker.restart()
        await trio.sleep(3.0)
    for epoch in range(2, 12):
        owner = make_owner(store, worker_pool, epoch, former_quiet=False)
        async with running(owner):
            await trio.sleep(3.0)
            if _is_done(owner, "job"):
                break
    slack = _OWNER_GAP + const.LEASE + _START_WITHIN
    assert trio.current_time() - sent_at < const.LATE_START_WINDOW + slack
    _check_journal(worker_pool)


async def test_owners_that_can_not_write_wait_once_for_a_late_start() -> None:
    # Guards against a lost job: time that passed after the last record of an
    # owner wasn't subtracted from the wait.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_owners_that_can_not_write()


async def _simulate_owners_that_can_not_write() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        sent_at = await _submit_unanswered(owner, worker_pool)
        await trio.sleep(1.0)
        for worker in worker_pool.workers.values():
            worker.restart()
        await trio.sleep(3.0)
    began = trio.current_time()
    for epoch in range(2, 12):
        async with running(make_owner(store, worker_pool, epoch)):
            await trio.sleep(_WRITES_FOR)
            store.faults.refused = {"a"}
            await trio.sleep_until(began + (epoch - 1) * _WRITES_EVERY)
            store.faults.refused = set()
        if count(worker_pool.journal, "start"):
            break
    took = worker_pool.journal[0].at - sent_at
    longest = const.LATE_START_WINDOW + const.CALL_TIMEOUT
    assert took < longest + _WRITES_EVERY + _START_WITHIN, took
    _check_journal(worker_pool)


async def test_a_repeated_start_that_is_refused_holds_a_task_no_longer() -> (
    None
):
    # Guards against a lost task: the next owner repeats a start that the former
    # one had stopped, and the refusal made the task wait for 12 s more.
    store, worker_pool = StoreStandin(), make_worker_pool(2, _plan)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        with _delay_orders(worker_pool):
            await owner.job_api.submit("last", QUEUE, _LASTING_JOB)
            await trio.sleep(0.1)
        sent_at = trio.current_time()
    for worker in worker_pool.workers.values():
        worker.handle_stop(TaskName("last", 0, 0, 0), 1, worker._token)
    worker_pool.access("b")
    worker_pool.cut["b"].update(worker_pool.workers)
    async with running(make_owner(store, worker_pool, 2, vm="b")):
        await trio.sleep(4.0)
        worker_pool.cut["b"].clear()
        await wait_until(
            lambda: count(worker_pool.journal, "start") == 1,
            sent_at
            + const.ADOPTED_LATE_START_WINDOW
            + _START_WITHIN
            - trio.current_time(),
        )
    _check_journal(worker_pool)
