"""Tests that calls to the former life of a worker's id run no task twice.

The next life of an id can't tell such a call from one that is meant for it: it
has received no fencing token, and its clock is behind every deadline. So it
carries starts out and grants the longest lease.
"""

from contextlib import suppress
import math
import random
from typing import Final
from unittest import mock

import trio

from pimentocross.contracts.worker_link import StartReply
from pimentocross.links.http_pool import HttpPool
from pimentocross.owner import const
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.owner import Owner
from pimentocross.owner.terms import OwnerTerms
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work import records
from pimentocross.work.records import ClockRow, NextLifeRow
from tests.next_life_fixtures import (
    LONG,
    WORKERS,
    check_never_twice,
    cut_off,
    cut_off_soon,
    long_task,
    long_tasks,
    starts_on,
)
from tests.owner_fixtures import (
    QUEUE,
    count,
    life,
    make_owner,
    make_worker_pool,
    running,
    wait_until,
)
from tests.test_http import real_time

_TERMS: Final = OwnerTerms()


async def _start_on_next_life(
    owner: Owner, pool: WorkerPool, *, lasting: bool = False
) -> TaskWorkerStandin:
    """Restarts a worker while starts to its former life are under way.

    Returns:
        The worker. Its next life has carried a start out and granted the
        longest lease, and hasn't listed its runs yet.
    """
    await trio.sleep(3.0)
    worker = next(iter(pool.workers.values()))
    worker.go_dark()
    await owner.job_api.submit("job", QUEUE, long_tasks(8, lasting=lasting))
    await trio.sleep(0.4)
    worker.restart()
    await wait_until(lambda: starts_on(pool, worker) > 0, 1.0)
    return worker


async def test_the_next_owner_waits_for_the_lease_of_a_restarted_worker() -> (
    None
):
    # Guards against a task that runs twice: the first owner has met the next
    # life of the worker, and the second waits for an ordinary lease there.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker = await _start_on_next_life(owner, pool)
        await wait_until(lambda: bool(worker.listing().running), 2.0)
        await trio.sleep(0.8)
    cut_off(pool, worker, "a", "b")
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_owners_in_a_row_wait_for_the_lease_of_a_restarted_worker() -> (
    None
):
    # Guards against a task that runs twice: the second owner never reaches the
    # worker, and the third knows of it by the record of the second alone.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker = await _start_on_next_life(owner, pool)
        await trio.sleep(0.8)
    cut_off(pool, worker, "a", "b")
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(2.0)
    async with running(make_owner(store, pool, 3)):
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_start_that_the_next_life_answered_is_waited_for() -> None:
    # Guards against a task that runs twice: the worker is cut off before it has
    # listed the run, and the owner counts on the clock of the former life.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker = await _start_on_next_life(owner, pool)
        cut_off(pool, worker, "a")
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_the_next_owner_waits_for_a_start_answered_by_a_next_life() -> (
    None
):
    # Guards against a task that runs twice: the start counts as answered, so
    # that the second owner waits for the lease of the former life.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker = await _start_on_next_life(owner, pool)
        cut_off(pool, worker, "a", "b")
        await trio.sleep(0.3)
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


class _Latest(random.Random):
    """Draws that make each order as late as orders can be."""

    def random(self) -> float:
        """Returns the draw by which an order is late."""
        return 0.0

    def uniform(self, a: float, b: float) -> float:
        """Returns the latest time in seconds."""
        return b - 0.1


async def _send_late_start(
    owner: Owner, pool: WorkerPool
) -> tuple[TaskWorkerStandin, float]:
    """Sends starts that come to the next life of a worker, which is cut off.

    Returns:
        The worker and the time at which the first start comes.
    """
    await trio.sleep(3.0)
    worker = next(iter(pool.workers.values()))
    worker.faults.late, worker.faults.random = 1.0, _Latest()
    sent_at = trio.current_time()
    await owner.job_api.submit("job", QUEUE, long_tasks(8))
    await trio.sleep(0.5)
    worker.faults.late = 0.0
    cut_off(pool, worker, "a", "b")
    worker.restart()
    return worker, sent_at + const.LATE_START_WINDOW - 0.1


async def test_a_late_start_is_waited_for_as_long_as_its_lease_lasts() -> None:
    # Guards against a task that runs twice: its start comes at the last moment
    # to a life that nobody reaches, and the lease that it gets isn't counted.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker, comes_at = await _send_late_start(owner, pool)
        await trio.sleep_until(comes_at + 0.5)
        assert worker.listing().running
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_the_next_owner_waits_for_a_late_start_and_its_lease() -> None:
    # Guards against a task that runs twice: as above, after a take-over.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker, comes_at = await _send_late_start(owner, pool)
        await trio.sleep(1.0)
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep_until(comes_at + 0.5)
        assert worker.listing().running
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_life_that_is_heard_after_its_wait_may_still_hold_a_lease() -> (
    None
):
    # Guards against a task that runs twice: the worker is cut off again right
    # after its first listing, and the owner took its leases for ended.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker, comes_at = await _send_late_start(owner, pool)
        await trio.sleep(1.0)
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep_until(comes_at + 0.1)
        handle_hold = worker.handle_hold

        def cut_off_after(
            token: int, seen: int, deadline: float | None
        ) -> None:
            handle_hold(token, seen, deadline)
            trio.lowlevel.spawn_system_task(cut_off_soon, pool, worker, "b")

        worker.handle_hold = cut_off_after  # type: ignore[method-assign]
        pool.cut["b"].clear()
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_held_task_starts_once_its_worker_lists_its_runs() -> None:
    # Guards against a task that is late: the worker answers, and its listing
    # shows that a start that can't come any more hasn't come.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        _, comes_at = await _send_late_start(owner, pool)
        pool.cut["a"].clear()
        await trio.sleep_until(comes_at)
        before = count(pool.journal, "start")
        assert before < 8
        await trio.sleep(const.CALL_TIMEOUT + const.LISTING_WAIT + 1.0)
        assert count(pool.journal, "start") == 8
    check_never_twice(pool)


_FENCED: Final = 1
_NOT_FENCED: Final = 2
_LONG_AGO: Final = 3
_LATER: Final = 4


def _restored(value: bytes | None) -> NextLives:
    """Returns what an owner knows that begins with a record at offset 9."""
    lives = NextLives(2, mock.Mock(), _TERMS, has_formers=True)
    for number in (_FENCED, _NOT_FENCED, _LONG_AGO):
        lives.restore_life(number, offset=number)
    lives.restore_life(_LATER, offset=10)
    if value is not None:
        with suppress(records.RecordError):
            lives.restore(value, offset=9)
    lives.apply_former_record(leases_epoch=1)
    lives.begin()
    return lives


def _record(seconds_left: float) -> bytes:
    rows = [
        NextLifeRow(_FENCED, seconds_left, fenced=True),
        NextLifeRow(_NOT_FENCED, seconds_left, fenced=False),
    ]
    return records.encode_next_lives(1, rows, [ClockRow(_LONG_AGO, 1, 100.0)])


async def test_a_life_that_no_record_knows_may_hold_the_longest_lease() -> None:
    # Guards against a task that runs twice: the owner ended before it could
    # record the life, it was of an earlier version, or its record is damaged.
    lives = _restored(_record(4.0))
    assert [n for n in range(1, 5) if lives.may_be_unfenced(n)] == [2, 4]
    for value in (None, b"?", _record(float("inf"))):
        lives = _restored(value)
        assert all(lives.may_be_unfenced(number) for number in range(1, 5))
        longest = trio.current_time() + _TERMS.granted_lease_most
        assert lives.until(_LATER) == longest
    assert lives.until(5) == float("-inf")
    lives = _restored(records.encode_next_lives(3, [], []))
    assert lives.may_be_unfenced(_LONG_AGO)


async def test_a_long_lease_is_waited_for_once() -> None:
    # Guards against a lost task: owners that follow one another would count the
    # longest lease anew each time, and for lives that were fenced long ago.
    lives = _restored(_record(4.0))
    now = trio.current_time()
    assert lives.until(_FENCED) == now + 4.0
    assert lives.until(_LONG_AGO) == float("-inf")
    assert lives.note_clock(_LONG_AGO, born=1, reading=102.0)
    assert now + 2.0 <= lives.until(_FENCED) < now + 2.1


async def test_a_former_record_is_kept_until_all_lives_are_known() -> None:
    # Guards against a task that runs twice: an owner that ends while it takes
    # over would leave a record without the lives of the one before.
    ledger = mock.Mock()
    lives = NextLives(2, ledger, _TERMS, has_formers=True)
    lives.record()
    lives.refresh()
    assert not ledger.method_calls
    lives.start_recording(tuple, tuple)
    assert ledger.put.called


async def test_a_new_cell_counts_ordinary_leases() -> None:
    # Guards against a lost task: nobody has called a former life of a worker
    # that the first owner of a cell meets for the first time.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await owner.job_api.submit("job", QUEUE, long_tasks(8, lasting=True))
        await trio.sleep(2.0)
        worker = next(iter(pool.workers.values()))
        lost = len(worker.listing().running)
        worker.crash()
        worker.faults.silent = True
        await wait_until(
            lambda: count(pool.journal, "start") == 8 + lost,
            const.LISTING_WAIT + const.LISTING_SLACK + _TERMS.lease_most + 1.0,
        )


async def _lose_worker_after_start(
    store: StoreStandin, pool: WorkerPool, *, lasting: bool
) -> None:
    """Loses a worker for good before a listing shows what it has started."""
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        await owner.job_api.submit("job", QUEUE, long_tasks(8, lasting=lasting))
        await wait_until(lambda: count(pool.journal, "start") == 8, 1.0)
        await trio.sleep(0.1)
        worker = next(w for w in pool.workers.values() if w.listing().running)
        lost = len(worker.listing().running)
        worker.crash()
        worker.faults.silent = True
        await wait_until(
            lambda: count(pool.journal, "start") == 8 + lost,
            const.LISTING_WAIT + const.LISTING_SLACK + _TERMS.lease_most + 1.0,
        )


async def test_a_task_that_has_just_started_is_back_soon() -> None:
    # Guards against a lost task: a connection ends with the life that accepted
    # it, which tells that no next life has answered the start.
    pool = make_worker_pool(WORKERS, long_task)
    await _lose_worker_after_start(StoreStandin(), pool, lasting=False)


async def test_a_lasting_task_that_has_just_started_is_back_soon() -> None:
    # Guards against a lost task: the start went out on a new connection, and
    # the worker is gone for good before its next regular listing.
    pool = make_worker_pool(WORKERS, long_task)
    unknown = mock.patch.object(StartReply, "connected_at", math.inf)
    with unknown:
        await _lose_worker_after_start(StoreStandin(), pool, lasting=True)


@real_time
async def test_an_answer_tells_when_its_connection_was_opened() -> None:
    # Guards against a task that runs twice: the start that a next life answers
    # on a new connection would be taken for one of the life that was called.
    async def answer(stream: trio.SocketStream) -> None:
        while await stream.receive_some(4096):
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            )

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        port = listeners[0].socket.getsockname()[1]
        pool = HttpPool(f"127.0.0.1:{port}")
        began = trio.current_time()
        first = await pool.call("GET", "/", b"", 1.0)
        second = await pool.call("GET", "/", b"", 1.0)
        assert began <= first.connected_at == second.connected_at
        await pool.aclose()
        third = await pool.call("GET", "/", b"", 1.0)
        assert third.connected_at > second.connected_at
        nursery.cancel_scope.cancel()


async def test_a_late_start_lasts_while_other_late_calls_renew_its_lease() -> (
    None
):
    # Guards against a task that runs twice: a start that was sent later to the
    # same worker lengthens the lease after all waits for the first were over.
    store, pool = StoreStandin(), make_worker_pool(1, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        worker.faults.late, worker.faults.random = 1.0, _Latest()
        await owner.job_api.submit("job0", QUEUE, long_tasks(1))
        await trio.sleep(1.5)
        await owner.job_api.submit("job1", QUEUE, long_tasks(1))
        await trio.sleep(0.5)
        cut_off(pool, worker, "a")
        worker.restart()
        pool.add(TaskWorkerStandin(life(1), long_task, pool.journal, seed=1))
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") == 2
