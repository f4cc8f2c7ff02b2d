"""Tests late calls that come to the next life of a worker's id.

They lengthen leases there, also after a take-over and with records of owners
that knew less.
"""

import random
from typing import Final
from unittest import mock

import trio

from pimentocross.contracts.worker_link import StartReply
from pimentocross.owner import const
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.orders import Orders
from pimentocross.owner.owner import Owner
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work import records
from pimentocross.work.state import Run
from tests.next_life_fixtures import (
    LONG,
    TASK_SIZE,
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
    make_owner,
    make_worker_pool,
    running,
    wait_until,
)

_TERMS: Final = OwnerTerms()
# A call that comes this much later comes within the lease of a start that was
# answered soon after it was sent.
_LATE: Final = 9.5


class _LateDraws(random.Random):
    """Makes each order late by the same time, and counts such orders."""

    def __init__(self, seconds: float) -> None:
        super().__init__(0)
        self.seconds = seconds
        self.count = 0

    def random(self) -> float:
        return 0.0

    def uniform(self, a: float, b: float) -> float:
        self.count += 1
        return self.seconds


async def _delay_renewal_and_restart(
    owner: Owner, pool: WorkerPool
) -> TaskWorkerStandin:
    """Starts tasks on a next life to which a renewal comes late.

    Returns:
        The worker; its next life has answered starts and listed nothing.
    """
    await trio.sleep(3.0)
    worker = next(iter(pool.workers.values()))
    draws = _LateDraws(_LATE)
    former_draws = worker.faults.random
    worker.faults.late, worker.faults.random = 1.0, draws
    while not draws.count:
        await trio.sleep(0.005)
    worker.faults.late = 0.0
    # Entries are written once per heartbeat of a worker.
    pool.stale_entries[worker.life.id] = worker.life
    worker.restart()
    await owner.job_api.submit("job", QUEUE, long_tasks(8))
    with trio.fail_after(1.0):
        while not starts_on(pool, worker):
            await trio.sleep(0.005)
    await trio.sleep(0.02)
    assert draws.count == 1
    assert former_draws is not draws
    return worker


async def test_a_late_renewal_extends_the_lease_of_an_answered_start() -> None:
    # A start is answered by the next life, which is cut off. A renewal that was
    # sent to the former life comes there 9.5 s later and extends the lease.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker = await _delay_renewal_and_restart(owner, pool)
        cut_off(pool, worker, "a")
        await trio.sleep(LONG)
    check_never_twice(pool)


async def test_a_successor_allows_for_a_late_renewal() -> None:
    # As above, after a take-over.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        worker = await _delay_renewal_and_restart(owner, pool)
        cut_off(pool, worker, "a", "b")
        await trio.sleep(0.5)
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(LONG)
    check_never_twice(pool)


async def test_a_late_start_extends_the_lease_of_other_runs() -> None:
    # One start is answered by the next life; another, sent to the former life,
    # comes there 9.5 s later and extends the lease of both.
    store, pool = StoreStandin(), make_worker_pool(1, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        draws = _LateDraws(_LATE)
        worker.go_dark()
        worker.faults.random = draws
        await owner.job_api.submit("late", QUEUE, long_tasks(1))
        await trio.sleep(0.2)
        worker.faults.late = 1.0
        worker.restart()
        while not draws.count:
            await trio.sleep(0.005)
        worker.faults.late = 0.0
        await owner.job_api.submit("answered", QUEUE, long_tasks(1))
        with trio.fail_after(1.0):
            while not starts_on(pool, worker):
                await trio.sleep(0.005)
        await trio.sleep(0.02)
        cut_off(pool, worker, "a")
        other = make_worker_pool(2, long_task).workers["w1-0"]
        other._journal = pool.journal
        pool.add(other)
        await trio.sleep(LONG)
    check_never_twice(pool)


async def test_a_hold_of_a_former_owner_ends_by_a_listing() -> None:
    # The former owner met the next life and forgot the number of the life that
    # a held run was sent to. The successor can't tell by whose listing the
    # hold ends, and waits for the longest lease.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        worker.faults.late, worker.faults.random = 1.0, _LateDraws(11.9)
        sent_at = trio.current_time()
        await owner.job_api.submit("job", QUEUE, long_tasks(8))
        await trio.sleep(0.5)
        worker.faults.late = 0.0
        cut_off(pool, worker, "a")
        pool.unlisted.add(worker.life.id)
        await trio.sleep(7.0)
        worker.restart()
        pool.unlisted.clear()
        pool.cut["a"].clear()
        await trio.sleep(1.0)
        before = count(pool.journal, "start")
        assert before < 8
    async with running(make_owner(store, pool, 2, vm="b")):
        due = sent_at + const.CALL_TIMEOUT + const.LATE_START_WINDOW
        await trio.sleep_until(due + const.LISTING_WAIT + 2.0)
        assert count(pool.journal, "start") == 8, count(pool.journal, "start")
    check_never_twice(pool)


async def test_owners_in_a_row_wait_once_for_a_life_that_nobody_fenced() -> (
    None
):
    # Each owner counts the longest lease from its own take-over for a life that
    # no owner has fenced: while owners last for less, the tasks never start.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        worker.faults.late, worker.faults.random = 1.0, _LateDraws(11.9)
        await owner.job_api.submit("job", QUEUE, long_tasks(8))
        await trio.sleep(0.5)
        worker.faults.late = 0.0
        cut_off(pool, worker, "a", "b")
        worker.restart()
        await trio.sleep(1.0)
    for epoch in range(2, 9):
        async with running(make_owner(store, pool, epoch, vm="b")):
            await trio.sleep(8.0)
    check_never_twice(pool)
    assert count(pool.journal, "start") - starts_on(pool, worker) == 8


async def test_ended_holds_are_forgotten() -> None:
    # Holds of ids that never list again stay in memory, with their jobs.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        worker.faults.late, worker.faults.random = 1.0, _LateDraws(11.9)
        await owner.job_api.submit("job", QUEUE, long_tasks(8))
        await trio.sleep(0.5)
        worker.crash()
        worker.faults.silent = True
        pool.unlisted.add(worker.life.id)
        await trio.sleep(LONG)
        assert count(pool.journal, "start") == 8
        assert not owner._late_starts.held


async def test_a_record_without_lives_tells_of_a_former_owner() -> None:
    # All lives of the former owner have ended; its calls may still come to the
    # next lives of their ids.
    lives = NextLives(2, mock.Mock(), _TERMS, has_formers=False)
    lives.restore(records.encode_next_lives(1, [], []), offset=9)
    lives.begin()
    assert lives.has_formers


async def test_a_cell_whose_lives_have_all_ended_is_not_new() -> None:
    # The successor finds no life on record, counts an ordinary lease at the
    # first answer of a next life, and the worker is cut off right after it.
    store, pool = StoreStandin(), make_worker_pool(1, long_task)
    worker = next(iter(pool.workers.values()))
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker.faults.late, worker.faults.random = 1.0, _LateDraws(11.9)
        await owner.job_api.submit("job", QUEUE, long_tasks(1))
        await trio.sleep(0.5)
        worker.faults.late = 0.0
        worker.crash()
        worker.faults.silent = True
        pool.unlisted.add(worker.life.id)
        await trio.sleep(7.0)
    pool.access("b")
    cut_off(pool, worker, "b")
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(1.0)
        worker.restart()
        worker.faults.silent = False
        pool.unlisted.clear()
        with trio.fail_after(10.0):
            while not starts_on(pool, worker):
                await trio.sleep(0.005)
        handle_hold = worker.handle_hold

        def cut_off_after(
            token: int, seen: int, deadline: float | None
        ) -> None:
            handle_hold(token, seen, deadline)
            trio.lowlevel.spawn_system_task(cut_off_soon, pool, worker, "b")

        worker.handle_hold = cut_off_after  # type: ignore[method-assign]
        pool.cut["b"].clear()
        await trio.sleep(0.5)
        other = make_worker_pool(2, long_task).workers["w1-0"]
        other._journal = pool.journal
        pool.add(other)
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_record_from_before_an_older_owner_is_not_relied_on() -> None:
    # An owner of an earlier version comes between two of this one. It writes no
    # record of next lives and drops an answered start from its record of late
    # starts. The record of the first owner still counts for the third.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)):
        await trio.sleep(2.0)

    def settle(_: Orders, run: Run, worker: Worker, reply: StartReply) -> None:
        run.note_start_settled()

    with (
        mock.patch.object(Orders, "_note_answered", settle),
        mock.patch.object(NextLives, "start_recording"),
    ):
        async with running(make_owner(store, pool, 2)) as owner:
            await trio.sleep(3.0)
            worker = next(iter(pool.workers.values()))
            pool.stale_entries[worker.life.id] = worker.life
            worker.go_dark()
            await owner.job_api.submit("job", QUEUE, long_tasks(8))
            await trio.sleep(0.4)
            worker.restart()
            with trio.fail_after(1.0):
                while not starts_on(pool, worker):
                    await trio.sleep(0.005)
            await trio.sleep(0.01)
            cut_off(pool, worker, "a", "b")
            await trio.sleep(1.0)
    async with running(make_owner(store, pool, 3, vm="b")):
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_bar_covers_the_next_life_of_an_id() -> None:
    # The former life is barred on record. The store goes away, its owner meets
    # the next life, finds a held run there and renews its lease. The successor
    # takes the bar for all that may run under the id.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        worker.faults.late, worker.faults.random = 1.0, _LateDraws(11.9)
        await owner.job_api.submit("job", QUEUE, long_tasks(8))
        await trio.sleep(0.5)
        worker.faults.late = 0.0
        pool.stale_entries[worker.life.id] = worker.life
        cut_off(pool, worker, "a", "b")
        worker.restart()
        await trio.sleep_until(14.5)
        store.faults.refused.add("a")
        with trio.fail_after(5.0):
            while not starts_on(pool, worker):
                await trio.sleep(0.005)
        pool.cut["a"].clear()
        await trio.sleep_until(25.5)
        assert worker.listing().running
    pool.unlisted.add(worker.life.id)
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_run_that_goes_on_has_not_crashed_the_former_life() -> None:
    # The run began on the next life; the crash of the former one is counted
    # against its task.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        worker.go_dark()
        await owner.job_api.submit("job", QUEUE, long_tasks(8))
        await trio.sleep(0.4)
        worker.restart()
        await trio.sleep(3.0)
        running_there = worker.listing().running
        assert running_there
        for entry in running_there:
            task = owner._registry.find_task(entry.task)
            assert task is not None
            assert not task.crash_history.crashes, entry.task


async def test_a_listing_of_another_id_releases_no_hold() -> None:
    # The number of the life that a held run was sent to is the highest, and is
    # forgotten. The successor gives it to a new worker before it adopts the
    # run, whose hold then ends by a listing of that worker.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    worker = list(pool.workers.values())[-1]
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker.faults.late, worker.faults.random = 1.0, _LateDraws(11.9)
        await owner.job_api.submit("job", QUEUE, long_tasks(12))
        await trio.sleep(0.5)
        worker.faults.late = 0.0
        cut_off(pool, worker, "a", "b")
        pool.unlisted.add(worker.life.id)
        worker.restart()
        await trio.sleep(7.0)
    other = make_worker_pool(WORKERS + 1, long_task).workers[f"w{WORKERS}-0"]
    other._journal = pool.journal
    pool.add(other)
    async with running(make_owner(store, pool, 2, vm="b")):
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0


async def test_a_lasting_task_is_back_soon_after_its_worker_is_gone() -> None:
    # The worker is gone for good right after it has answered the start. Users
    # allow 6 s after the last run and 3 s more (LOST). It was 5.1 s before an
    # answer no longer settled a start.
    store = StoreStandin()
    pool = make_worker_pool(
        WORKERS, lambda _: TaskPlan(RUNS_FOREVER, TASK_SIZE)
    )
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        await owner.job_api.submit("job", QUEUE, long_tasks(4, lasting=True))
        await wait_until(lambda: count(pool.journal, "start") == 4)
        worker = next(w for w in pool.workers.values() if starts_on(pool, w))
        lost = starts_on(pool, worker)
        worker.crash()
        worker.faults.silent = True
        pool.unlisted.add(worker.life.id)
        await wait_until(lambda: count(pool.journal, "start") == 4 + lost, 9.0)


async def test_a_late_renewal_extends_the_lease_of_a_late_start() -> None:
    # The worker answers for 11 s after it left a start unanswered, and starts
    # again then. The start comes to the next life, and a newer renewal after
    # it.
    store, pool = StoreStandin(), make_worker_pool(WORKERS, long_task)
    async with running(make_owner(store, pool, 1)) as owner:
        await trio.sleep(3.0)
        worker = next(iter(pool.workers.values()))
        draws = _LateDraws(11.9)
        worker.faults.late, worker.faults.random = 1.0, draws
        sent_at = trio.current_time()
        await owner.job_api.submit("job", QUEUE, long_tasks(8))
        while draws.count < 3:
            await trio.sleep(0.005)
        worker.faults.late = 0.0
        await trio.sleep_until(sent_at + 10.0)
        draws.seconds, worker.faults.late, known = _LATE, 1.0, draws.count
        while draws.count == known:
            await trio.sleep(0.005)
        worker.faults.late = 0.0
        pool.stale_entries[worker.life.id] = worker.life
        cut_off(pool, worker, "a")
        worker.restart()
        await trio.sleep(LONG)
    check_never_twice(pool)
    assert count(pool.journal, "lapsed") > 0
