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
    make_hall,
    make_owner,
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


def _check_never_twice(hall: WorkerPool) -> None:
    for worker in hall.workers.values():
        worker.advance()
    journal = sorted(hall.journal, key=lambda e: (e.at, e.what == "start"))
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


def _add_worker(hall: WorkerPool, number: int) -> None:
    hall.add(
        TaskWorkerStandin(life(number), _lasting, hall.journal, seed=number)
    )


async def test_a_worker_that_was_never_heard_is_not_waited_for_for_ever() -> (
    None
):
    # Guards against a lost job: the clock of a worker that never answered is
    # unknown, which made its remaining lease endless.
    with mock.patch.object(wall, "now", trio.current_time):
        await _simulate_never_heard()


async def _simulate_never_heard() -> None:
    store, hall = StoreStandin(), make_hall(1, _lasting)
    worker = hall.workers[life(0).id]
    async with running(make_owner(store, hall, 1)) as owner:
        await trio.sleep(0.5)
        worker.faults.silent = True
        await owner.job_api.submit("watch", QUEUE, _watch(1))
        await trio.sleep(0.3)
    sent_at = trio.current_time()
    worker.crash()
    _add_worker(hall, 1)
    # The worker's entry stays listed after the crash. The lease lapses, and the
    # start may still be carried out late.
    async with running(make_owner(store, hall, 2)):
        await trio.sleep(6.0)
        hall.unlisted.add(worker.life.id)
        await trio.sleep(1.5)
    async with running(make_owner(store, hall, 3)):
        longest = const.LATE_START_WINDOW + _OWNER_GAP + _START_WITHIN
        until = sent_at + longest - trio.current_time()
        await wait_until(lambda: count(hall.journal, "start") == 1, until)
    assert not find_overlapping_starts(hall.journal)


async def test_a_quiet_claim_says_nothing_of_owners_before_the_last() -> None:
    # Guards against a task that runs twice: the last owner was replaced, and
    # the one before it continued to renew leases.
    cell = VmCell()
    cell.hall = hall = make_hall(3, _lasting)
    async with cell.running():
        cell.start("first", STRONG)
        await wait_until(lambda: bool(cell.owners()))
        cell.start("second", STRONG)
        cell.start("third", WEAK)
        owner = cell.owners()[0].election.owner
        assert owner is not None
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
        # Removes the record, as an owner of a former version writes none.
        none = Record(records.LEASES, None)
        cell.store.append_now(gateway_const.JOBS_TOPIC, [none], None, None)
        await trio.sleep(0.1)
        # The first VM reaches just one worker, which no other VM reaches.
        cut_off, *others = sorted(hall.workers)
        cell.store.faults.refused = {"first"}
        hall.unlisted.add(cut_off)
        hall.cut["first"].update(others)
        for name in ("second", "third"):
            hall.cut[name].add(cut_off)
        await cell.wait_for_claim(1)
        assert cell.claims()[-1] == "second", cell.claims()
        cell.kill(cell.vms["second"])
        cell.start("second", STRONG, generation=2)
        await trio.sleep(30.0)
    _check_never_twice(hall)


async def test_a_former_owner_that_has_ended_is_waited_for_no_longer() -> None:
    # Guards against a lost job: the owner in between couldn't know that the
    # first had ended, and its record made all later owners wait.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    _remove_worker(hall, _first_used_worker(hall))
    async with running(make_owner(store, hall, 2, former_quiet=False)):
        await trio.sleep(1.0)
    # The third owner knows that both former owners have ended.
    async with running(make_owner(store, hall, 3)):
        took = const.LEASE * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN
        await wait_until(
            lambda: len(_running_tasks(hall)) == 6, took + _START_WITHIN
        )
    _check_never_twice(hall)


async def test_owners_in_a_row_wait_once_for_a_worker_that_is_listed() -> None:
    # Guards against a lost job: each owner counted its predecessor's leases
    # anew on a worker that no owner can reach.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    # The worker runs on and stays listed: it reaches the store but no VM.
    cut_off = _first_used_worker(hall)
    hall.workers[cut_off].faults.silent = True
    began = trio.current_time()
    epoch = 1
    while len(_running_tasks(hall, cut_off)) < 6:
        epoch += 1
        async with running(make_owner(store, hall, epoch, former_quiet=False)):
            await trio.sleep(5.0)
        took = trio.current_time() - began
        # Covers the lease, renewals that a former owner may make, and a start.
        assert took < 3 * (const.LEASE + const.RENEWALS_WITHOUT_STORE), took
    _check_never_twice(hall)


async def test_owners_that_can_not_write_for_long_wait_once() -> None:
    # Guards against a lost job: a record holds the rest of a wait, and time
    # that passes after the last record of an owner isn't subtracted.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    _remove_worker(hall, _first_used_worker(hall))
    began = trio.current_time()
    epoch = 1
    while len(_running_tasks(hall)) < 6:
        epoch += 1
        async with running(make_owner(store, hall, epoch, former_quiet=False)):
            await trio.sleep(0.3)
            store.faults.refused = {"a"}
            await trio.sleep(4.7)
            store.faults.refused = set()
        took = trio.current_time() - began
        assert took < 3 * (const.LEASE + const.RENEWALS_WITHOUT_STORE), took
    _check_never_twice(hall)


async def test_a_worker_that_is_listed_again_is_renewed_at_once() -> None:
    # Guards against lost and unavailable jobs: until a record lifts the bar,
    # the worker is called for a listing, and that call waits for a second
    # before the next call may renew its lease.
    lapsed = [await _count_lapsed(4.0 + part / 4) for part in range(4)]
    assert not any(lapsed), lapsed


async def _count_lapsed(owned_for: float) -> int:
    """Counts leases that lapse as entries come back after a take-over."""
    store, hall = StoreStandin(), make_hall(4, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await trio.sleep(owned_for)
    # After a store outage, entries are missing for up to two seconds.
    hall.unlisted.update(hall.workers)
    await trio.sleep(1.4)
    async with running(make_owner(store, hall, 2, former_quiet=False)):
        await trio.sleep(1.9)
        hall.unlisted.clear()
        await trio.sleep(5.0)
    _check_never_twice(hall)
    return count(hall.journal, "lapsed")


async def test_nothing_is_renewed_before_a_record_lets_a_worker_in() -> None:
    # Guards against a task that runs twice: the owner may be unable to write
    # again, and its last record bars the worker.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        cut_off = await _submit_and_bar(owner, store, hall)
        store.faults.refused = {"a"}
        _partition(hall, "a", cut_off, others=("b",))
        await trio.sleep(2.0)
        second = make_owner(store, hall, 2, vm="b", former_quiet=False)
        async with running(second):
            await trio.sleep(25.0)
    _check_never_twice(hall)


async def test_an_owner_that_left_no_record_counts_beside_one_that_did() -> (
    None
):
    # Guards against a task that runs twice: the owner without a record renewed
    # leases on a worker that the newest record bars.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        cut_off = await _submit_and_bar(owner, store, hall)
    hall.unlisted.discard(cut_off)
    async with running(make_owner(store, hall, 2, vm="c")):
        store.faults.refused = {"c"}
        await trio.sleep(0.2)
        assert _newest_leases(store).epoch == 1
        hall.unlisted.add(cut_off)
        _partition(hall, "c", cut_off, others=("b",))
        third = make_owner(store, hall, 3, vm="b", former_quiet=False)
        async with running(third):
            await trio.sleep(25.0)
    _check_never_twice(hall)


async def test_a_record_from_before_an_owner_of_a_former_version_is_void() -> (
    None
):
    # Guards against a task that runs twice: the owner of the former version
    # granted leases where the record bars, and its claim names no former owner.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        cut_off = await _submit_and_bar(owner, store, hall)
    hall.unlisted.discard(cut_off)
    with mock.patch.object(FormerLeases, "record", _record_nothing):
        async with running(make_owner(store, hall, 2, vm="c")):
            await trio.sleep(1.0)
            assert _newest_leases(store).epoch == 1
            hall.unlisted.add(cut_off)
            store.faults.refused = {"c"}
            _partition(hall, "c", cut_off, others=("b",))
            access = hall.access("b")
            platform = CellPlatform(store.client("b"), access, access)
            claim = Claim("jobs", 3, False, (Predecessor(2, False),))
            async with running(Owner(claim, platform, lambda: CONFIG)):
                await trio.sleep(25.0)
    _check_never_twice(hall)


def _record_nothing(_: FormerLeases) -> trio.Event:
    stored = trio.Event()
    stored.set()
    return stored


async def _submit_and_bar(
    owner: Owner, store: StoreStandin, hall: WorkerPool
) -> str:
    """Cuts off a worker with tasks until it is barred; returns its id."""
    await owner.job_api.submit("watch", QUEUE, _watch(6))
    await wait_until(lambda: count(hall.journal, "start") == 6)
    await trio.sleep(1.0)
    cut_off = _first_used_worker(hall)
    hall.unlisted.add(cut_off)
    hall.cut["a"].add(cut_off)
    await wait_until(
        lambda: any(row.barred for row in _newest_leases(store).rows)
    )
    return cut_off


def _partition(
    hall: WorkerPool, alone: str, cut_off: str, others: Sequence[str]
) -> None:
    """Lets one VM reach only one worker, which no other VM reaches."""
    hall.access(alone)
    hall.cut[alone].clear()
    hall.cut[alone].update(set(hall.workers) - {cut_off})
    for other in others:
        hall.access(other)
        hall.cut[other].add(cut_off)


def _remove_worker(hall: WorkerPool, worker: str) -> None:
    """Ends a worker for good: removes its entry and lets no call answer."""
    hall.workers[worker].crash()
    hall.workers[worker].faults.silent = True
    hall.unlisted.add(worker)


def _running_tasks(hall: WorkerPool, cut_off: str = "") -> dict[TaskName, str]:
    """Returns the workers of running tasks, except those on one worker."""
    return {
        entry.task: worker.life.id
        for worker in hall.workers.values()
        if not worker.dead and worker.life.id != cut_off
        for entry in worker.listing().running
    }


def _first_used_worker(hall: WorkerPool) -> str:
    return sorted(_running_tasks(hall).values())[0]
