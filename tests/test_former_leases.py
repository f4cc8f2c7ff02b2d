"""Tests how long a new owner waits for leases that it did not grant itself."""

from collections.abc import Sequence
from typing import Final
from unittest import mock

import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway import const as gateway_const
from pimentocross.owner import const, wall
from pimentocross.owner.former_leases import FormerLeases, Predecessor
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.owner.terms import OwnerTerms
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work import records
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests.gateway_fixtures import STRONG, WEAK, VmCell
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    count,
    find_overlapping_starts,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)

# Three tasks of this size fit on a worker.
_SIZE: Final = Size(2500, 1000, 0)
# Seconds in which a task that may start is decided on, recorded and started.
_START_WITHIN: Final = 3.0
# Seconds between the last record of one owner and the first of the next.
_OWNER_GAP: Final = 2.0


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, _SIZE)


def _watch(tasks: int) -> JobSpec:
    return spec(StepSpec(tasks, _SIZE, lasting=True))


def _check_never_twice(worker_pool: WorkerPool) -> None:
    for worker in worker_pool.workers.values():
        worker.advance()
    journal = sorted(
        worker_pool.journal, key=lambda e: (e.at, e.what == "start")
    )
    assert not find_overlapping_starts(journal), find_overlapping_starts(
        journal
    )


def _newest_leases(store: StoreStandin) -> records.LeasesRecord:
    values = [
        record.value
        for record in store.topic(gateway_const.JOBS_TOPIC).records
        if record.key == records.LEASES
    ]
    return records.decode_leases(values[-1] or b"")


def _add_worker(worker_pool: WorkerPool, number: int) -> None:
    worker_pool.add(
        TaskWorkerStandin(
            life(number), _lasting, worker_pool.journal, seed=number
        )
    )


async def test_a_worker_that_was_never_heard_is_not_waited_for_for_ever() -> (
    None
):
    # Guards against a lost job: the clock of a worker that never answered is
    # unknown, which made its remaining lease endless.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_never_heard()


async def _simulate_never_heard() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(1, _lasting)
    worker = worker_pool.workers[life(0).id]
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        worker.faults.silent = True
        await owner.job_api.submit("watch", QUEUE, _watch(1))
        await trio.sleep(0.3)
    sent_at = trio.current_time()
    worker.crash()
    _add_worker(worker_pool, 1)
    # The worker's entry stays listed after the crash. The lease lapses, and the
    # start may still be carried out late and get the longest lease.
    async with running(make_owner(store, worker_pool, 2)):
        await trio.sleep(6.0)
        worker_pool.unlisted.add(worker.life.id)
        await trio.sleep(1.5)
    async with running(make_owner(store, worker_pool, 3)):
        longest = (
            const.LATE_START_WINDOW
            + OwnerTerms().granted_lease_most
            + _OWNER_GAP
            + _START_WITHIN
        )
        until = sent_at + longest - trio.current_time()
        await wait_until(
            lambda: count(worker_pool.journal, "start") == 1, until
        )
    assert not find_overlapping_starts(worker_pool.journal)


async def test_a_quiet_claim_says_nothing_of_owners_before_the_last() -> None:
    # Guards against a task that runs twice: the last owner was replaced, and
    # the one before it continued to renew leases.
    cell = VmCell()
    cell.worker_pool = worker_pool = make_worker_pool(3, _lasting)
    async with cell.running():
        cell.start("first", STRONG)
        await wait_until(lambda: bool(cell.owners()))
        cell.start("second", STRONG)
        cell.start("third", WEAK)
        owner = cell.owners()[0].election.owner
        assert owner is not None
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(worker_pool.journal, "start") == 6)
        await trio.sleep(2.0)
        # Removes the record, as an owner of a former version writes none.
        none = Record(records.LEASES, None)
        cell.store.append_now(gateway_const.JOBS_TOPIC, [none], None, None)
        await trio.sleep(0.1)
        # The first VM reaches just one worker, which no other VM reaches.
        cut_off, *others = sorted(worker_pool.workers)
        cell.store.faults.refused = {"first"}
        worker_pool.unlisted.add(cut_off)
        worker_pool.cut["first"].update(others)
        for name in ("second", "third"):
            worker_pool.cut[name].add(cut_off)
        await cell.wait_for_claim(1)
        assert cell.claims()[-1] == "second", cell.claims()
        cell.kill(cell.vms["second"])
        cell.start("second", STRONG, generation=2)
        await trio.sleep(30.0)
    _check_never_twice(worker_pool)


async def test_a_former_owner_that_has_ended_is_waited_for_no_longer() -> None:
    # Guards against a lost job: the owner in between couldn't know that the
    # first had ended, and its record made all later owners wait.
    store, worker_pool = StoreStandin(), make_worker_pool(3, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(worker_pool.journal, "start") == 6)
        await trio.sleep(2.0)
    _remove_worker(worker_pool, _first_used_worker(worker_pool))
    async with running(make_owner(store, worker_pool, 2, former_quiet=False)):
        await trio.sleep(1.0)
    # The third owner knows that both former owners have ended.
    async with running(make_owner(store, worker_pool, 3)):
        took = const.LEASE * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN
        await wait_until(
            lambda: len(_running_tasks(worker_pool)) == 6, took + _START_WITHIN
        )
    _check_never_twice(worker_pool)


async def test_owners_in_a_row_wait_once_for_a_worker_that_is_listed() -> None:
    # Guards against a lost job: each owner counted its predecessor's leases
    # anew on a worker that no owner can reach.
    store, worker_pool = StoreStandin(), make_worker_pool(3, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(worker_pool.journal, "start") == 6)
        await trio.sleep(2.0)
    # The worker runs on and stays listed: it reaches the store but no VM.
    cut_off = _first_used_worker(worker_pool)
    worker_pool.workers[cut_off].faults.silent = True
    began = trio.current_time()
    epoch = 1
    while len(_running_tasks(worker_pool, cut_off)) < 6:
        epoch += 1
        async with running(
            make_owner(store, worker_pool, epoch, former_quiet=False)
        ):
            await trio.sleep(5.0)
        took = trio.current_time() - began
        # Covers the lease, renewals that a former owner may make, and a start.
        assert took < 3 * (const.LEASE + const.RENEWALS_WITHOUT_STORE), took
    _check_never_twice(worker_pool)


async def test_owners_that_can_not_write_for_long_wait_once() -> None:
    # Guards against a lost job: a record holds the rest of a wait, and time
    # that passes after the last record of an owner isn't subtracted.
    store, worker_pool = StoreStandin(), make_worker_pool(3, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(worker_pool.journal, "start") == 6)
        await trio.sleep(2.0)
    _remove_worker(worker_pool, _first_used_worker(worker_pool))
    began = trio.current_time()
    epoch = 1
    while len(_running_tasks(worker_pool)) < 6:
        epoch += 1
        async with running(
            make_owner(store, worker_pool, epoch, former_quiet=False)
        ):
            await trio.sleep(0.3)
            store.faults.refused = {"a"}
            await trio.sleep(4.7)
            store.faults.refused = set()
        took = trio.current_time() - began
        assert took < 3 * (const.LEASE + const.RENEWALS_WITHOUT_STORE), took
    _check_never_twice(worker_pool)


async def test_a_worker_that_is_listed_again_is_renewed_at_once() -> None:
    # Guards against lost and unavailable jobs: until a record lifts the bar,
    # the worker is called for a listing, and that call waits for a second
    # before the next call may renew its lease.
    lapsed = [await _count_lapsed(4.0 + part / 4) for part in range(4)]
    assert not any(lapsed), lapsed


async def _count_lapsed(owned_for: float) -> int:
    """Counts leases that lapse as entries come back after a take-over."""
    store, worker_pool = StoreStandin(), make_worker_pool(4, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await trio.sleep(owned_for)
    # After a store outage, entries are missing for up to two seconds.
    worker_pool.unlisted.update(worker_pool.workers)
    await trio.sleep(1.4)
    async with running(make_owner(store, worker_pool, 2, former_quiet=False)):
        await trio.sleep(1.9)
        worker_pool.unlisted.clear()
        await trio.sleep(5.0)
    _check_never_twice(worker_pool)
    return count(worker_pool.journal, "lapsed")


async def test_nothing_is_renewed_before_a_record_lets_a_worker_in() -> None:
    # Guards against a task that runs twice: the owner may be unable to write
    # again, and its last record bars the worker.
    store, worker_pool = StoreStandin(), make_worker_pool(3, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        cut_off = await _submit_and_bar(owner, store, worker_pool)
        store.faults.refused = {"a"}
        _partition(worker_pool, "a", cut_off, others=("b",))
        await trio.sleep(2.0)
        second = make_owner(store, worker_pool, 2, vm="b", former_quiet=False)
        async with running(second):
            await trio.sleep(25.0)
    _check_never_twice(worker_pool)


async def test_an_owner_that_left_no_record_counts_beside_one_that_did() -> (
    None
):
    # Guards against a task that runs twice: the owner without a record renewed
    # leases on a worker that the newest record bars.
    store, worker_pool = StoreStandin(), make_worker_pool(3, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        cut_off = await _submit_and_bar(owner, store, worker_pool)
    worker_pool.unlisted.discard(cut_off)
    async with running(make_owner(store, worker_pool, 2, vm="c")):
        store.faults.refused = {"c"}
        await trio.sleep(0.2)
        assert _newest_leases(store).epoch == 1
        worker_pool.unlisted.add(cut_off)
        _partition(worker_pool, "c", cut_off, others=("b",))
        third = make_owner(store, worker_pool, 3, vm="b", former_quiet=False)
        async with running(third):
            await trio.sleep(25.0)
    _check_never_twice(worker_pool)


async def test_a_record_from_before_an_owner_of_a_former_version_is_void() -> (
    None
):
    # Guards against a task that runs twice: the owner of the former version
    # granted leases where the record bars, and its claim names no former owner.
    store, worker_pool = StoreStandin(), make_worker_pool(3, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        cut_off = await _submit_and_bar(owner, store, worker_pool)
    worker_pool.unlisted.discard(cut_off)
    with mock.patch.object(FormerLeases, "record", _record_nothing):
        async with running(make_owner(store, worker_pool, 2, vm="c")):
            await trio.sleep(1.0)
            assert _newest_leases(store).epoch == 1
            worker_pool.unlisted.add(cut_off)
            store.faults.refused = {"c"}
            _partition(worker_pool, "c", cut_off, others=("b",))
            access = worker_pool.access("b")
            platform = CellPlatform(store.client("b"), access, access)
            claim = Claim("jobs", 3, False, (Predecessor(2, False),))
            async with running(Owner(claim, platform, lambda: CONFIG)):
                await trio.sleep(25.0)
    _check_never_twice(worker_pool)


def _record_nothing(_: FormerLeases) -> trio.Event:
    stored = trio.Event()
    stored.set()
    return stored


async def _submit_and_bar(
    owner: Owner, store: StoreStandin, worker_pool: WorkerPool
) -> str:
    """Cuts off a worker with tasks until it is barred; returns its id."""
    await owner.job_api.submit("watch", QUEUE, _watch(6))
    await wait_until(lambda: count(worker_pool.journal, "start") == 6)
    await trio.sleep(1.0)
    cut_off = _first_used_worker(worker_pool)
    worker_pool.unlisted.add(cut_off)
    worker_pool.cut["a"].add(cut_off)
    await wait_until(
        lambda: any(row.barred for row in _newest_leases(store).rows)
    )
    return cut_off


def _partition(
    worker_pool: WorkerPool, alone: str, cut_off: str, others: Sequence[str]
) -> None:
    """Lets one VM reach only one worker, which no other VM reaches."""
    worker_pool.access(alone)
    worker_pool.cut[alone].clear()
    worker_pool.cut[alone].update(set(worker_pool.workers) - {cut_off})
    for other in others:
        worker_pool.access(other)
        worker_pool.cut[other].add(cut_off)


def _remove_worker(worker_pool: WorkerPool, worker: str) -> None:
    """Ends a worker for good: removes its entry and lets no call answer."""
    worker_pool.workers[worker].crash()
    worker_pool.workers[worker].faults.silent = True
    worker_pool.unlisted.add(worker)


def _running_tasks(
    worker_pool: WorkerPool, cut_off: str = ""
) -> dict[TaskName, str]:
    """Returns the workers of running tasks, except those on one worker."""
    return {
        entry.task: worker.life.id
        for worker in worker_pool.workers.values()
        if not worker.dead and worker.life.id != cut_off
        for entry in worker.listing().running
    }


def _first_used_worker(worker_pool: WorkerPool) -> str:
    return sorted(_running_tasks(worker_pool).values())[0]
