"""How long a new owner waits for leases that it did not grant itself."""

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
    LASTS,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
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

# Three of them fit on a worker.
_SIZE: Final = Size(2500, 1000, 0)
# Work that may start is found, decided on, recorded and begun within this.
_SOON: Final = 3.0
# What passes between the last record of one owner and the next one.
_BETWEEN_OWNERS: Final = 2.0


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(LASTS, _SIZE)


def _watch(tasks: int) -> JobSpec:
    return spec(StepSpec(tasks, _SIZE, lasting=True))


def _check_twice(hall: WorkerHall) -> None:
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


def _add_worker(hall: WorkerHall, number: int) -> None:
    hall.add(
        TaskWorkerStandin(life(number), _lasting, hall.journal, seed=number)
    )


async def test_a_worker_that_was_never_heard_is_not_waited_for_for_ever() -> (
    None
):
    # LOST: its clock isn't known, and what is left of its lease was endless.
    with mock.patch.object(wall, "now", trio.current_time):
        await _play_never_heard()


async def _play_never_heard() -> None:
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
    # Its entry outlives it; the lease lapses, and the start may come late.
    async with running(make_owner(store, hall, 2)):
        await trio.sleep(6.0)
        hall.unlisted.add(worker.life.id)
        await trio.sleep(1.5)
    async with running(make_owner(store, hall, 3)):
        longest = const.LATE_START_MOST + _BETWEEN_OWNERS + _SOON
        until = sent_at + longest - trio.current_time()
        await wait_until(lambda: count(hall.journal, "start") == 1, until)
    assert not find_overlapping_starts(hall.journal)


async def test_a_quiet_claim_says_nothing_of_owners_before_the_last() -> None:
    # TWICE: the last was replaced, and the one before it renewed on.
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
        # An owner of a former version records no leases.
        none = Record(records.LEASES, None)
        cell.store.append_now(gateway_const.JOBS_TOPIC, [none], None, None)
        await trio.sleep(0.1)
        # It reaches one worker that no other VM does, and no other.
        apart, *others = sorted(hall.workers)
        cell.store.faults.refused = {"first"}
        hall.unlisted.add(apart)
        hall.cut["first"].update(others)
        for name in ("second", "third"):
            hall.cut[name].add(apart)
        await cell.next_claim(1)
        assert cell.claims()[-1] == "second", cell.claims()
        cell.kill(cell.vms["second"])
        cell.start("second", STRONG, generation=2)
        await trio.sleep(30.0)
    _check_twice(hall)


async def test_a_former_owner_that_has_ended_is_waited_for_no_longer() -> None:
    # LOST: the owner between them couldn't know, and its record bound all.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    _leave(hall, _one_at_work(hall))
    async with running(make_owner(store, hall, 2, former_quiet=False)):
        await trio.sleep(1.0)
    # Both have ended, as the one that follows knows.
    async with running(make_owner(store, hall, 3)):
        took = const.LEASE * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN
        await wait_until(lambda: len(_at_work(hall)) == 6, took + _SOON)
    _check_twice(hall)


async def test_owners_in_a_row_wait_once_for_a_worker_that_is_listed() -> None:
    # LOST: each counts its predecessor anew on a worker that nobody reaches.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    # It runs on and its entry stays: it reaches the store, and no VM.
    apart = _one_at_work(hall)
    hall.workers[apart].faults.silent = True
    began = trio.current_time()
    epoch = 1
    while len(_at_work(hall, apart)) < 6:
        epoch += 1
        async with running(make_owner(store, hall, epoch, former_quiet=False)):
            await trio.sleep(5.0)
        took = trio.current_time() - began
        # Its lease, renewals that its former owner might make, and a start.
        assert took < 3 * (const.LEASE + const.RENEWALS_WITHOUT_STORE), took
    _check_twice(hall)


async def test_owners_that_can_not_write_for_long_wait_once() -> None:
    # LOST: a record tells what is left of a wait, and what passes after the
    # last one that an owner could write isn't counted.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    _leave(hall, _one_at_work(hall))
    began = trio.current_time()
    epoch = 1
    while len(_at_work(hall)) < 6:
        epoch += 1
        async with running(make_owner(store, hall, epoch, former_quiet=False)):
            await trio.sleep(0.3)
            store.faults.refused = {"a"}
            await trio.sleep(4.7)
            store.faults.refused = set()
        took = trio.current_time() - began
        assert took < 3 * (const.LEASE + const.RENEWALS_WITHOUT_STORE), took
    _check_twice(hall)


async def test_a_worker_that_is_listed_again_is_renewed_at_once() -> None:
    # LOST, AVAIL: until the record lets it in it is asked for news, and that
    # call waits for a second before the next one may renew its lease.
    lapsed = [await _count_lapsed(4.0 + part / 4) for part in range(4)]
    assert not any(lapsed), lapsed


async def _count_lapsed(owned_for: float) -> int:
    """Returns the runs that lapse as entries come back after a take-over."""
    store, hall = StoreStandin(), make_hall(4, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.job_api.submit("watch", QUEUE, _watch(6))
        await trio.sleep(owned_for)
    # After an outage of the store entries are missing for up to two seconds.
    hall.unlisted.update(hall.workers)
    await trio.sleep(1.4)
    async with running(make_owner(store, hall, 2, former_quiet=False)):
        await trio.sleep(1.9)
        hall.unlisted.clear()
        await trio.sleep(5.0)
    _check_twice(hall)
    return count(hall.journal, "lapsed")


async def test_nothing_is_renewed_before_a_record_lets_a_worker_in() -> None:
    # TWICE: the owner may write no more, and its last record bars the worker.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        apart = await _submit_and_bar(owner, store, hall)
        store.faults.refused = {"a"}
        _part_off(hall, "a", apart, others=("b",))
        await trio.sleep(2.0)
        second = make_owner(store, hall, 2, vm="b", former_quiet=False)
        async with running(second):
            await trio.sleep(25.0)
    _check_twice(hall)


async def test_an_owner_that_left_no_record_counts_beside_one_that_did() -> (
    None
):
    # TWICE: it renewed on a worker that the newest record bars.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        apart = await _submit_and_bar(owner, store, hall)
    hall.unlisted.discard(apart)
    async with running(make_owner(store, hall, 2, vm="c")):
        store.faults.refused = {"c"}
        await trio.sleep(0.2)
        assert _newest_leases(store).epoch == 1
        hall.unlisted.add(apart)
        _part_off(hall, "c", apart, others=("b",))
        third = make_owner(store, hall, 3, vm="b", former_quiet=False)
        async with running(third):
            await trio.sleep(25.0)
    _check_twice(hall)


async def test_a_record_from_before_an_owner_of_a_former_version_is_void() -> (
    None
):
    # TWICE: it granted where the record bars, and its claim names nobody.
    store, hall = StoreStandin(), make_hall(3, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        apart = await _submit_and_bar(owner, store, hall)
    hall.unlisted.discard(apart)
    with mock.patch.object(FormerLeases, "record", _record_nothing):
        async with running(make_owner(store, hall, 2, vm="c")):
            await trio.sleep(1.0)
            assert _newest_leases(store).epoch == 1
            hall.unlisted.add(apart)
            store.faults.refused = {"c"}
            _part_off(hall, "c", apart, others=("b",))
            access = hall.access("b")
            platform = CellPlatform(store.client("b"), access, access)
            claim = Claim("jobs", 3, False, (Predecessor(2, False),))
            async with running(Owner(claim, platform, lambda: CONFIG)):
                await trio.sleep(25.0)
    _check_twice(hall)


def _record_nothing(_: FormerLeases) -> trio.Event:
    stored = trio.Event()
    stored.set()
    return stored


async def _submit_and_bar(
    owner: Owner, store: StoreStandin, hall: WorkerHall
) -> str:
    """Has an owner take a worker with tasks for one that left; returns it."""
    await owner.job_api.submit("watch", QUEUE, _watch(6))
    await wait_until(lambda: count(hall.journal, "start") == 6)
    await trio.sleep(1.0)
    apart = _one_at_work(hall)
    hall.unlisted.add(apart)
    hall.cut["a"].add(apart)
    await wait_until(
        lambda: any(row.barred for row in _newest_leases(store).rows)
    )
    return apart


def _part_off(
    hall: WorkerHall, alone: str, apart: str, others: Sequence[str]
) -> None:
    """Has one VM reach one worker, which no other VM reaches."""
    hall.access(alone)
    hall.cut[alone].clear()
    hall.cut[alone].update(set(hall.workers) - {apart})
    for other in others:
        hall.access(other)
        hall.cut[other].add(apart)


def _leave(hall: WorkerHall, worker: str) -> None:
    """Has a worker end for good: its entry goes, and nothing answers."""
    hall.workers[worker].crash()
    hall.workers[worker].faults.silent = True
    hall.unlisted.add(worker)


def _at_work(hall: WorkerHall, apart: str = "") -> dict[TaskName, str]:
    """Returns the workers of tasks that run, but for those on one worker."""
    return {
        entry.task: worker.life.id
        for worker in hall.workers.values()
        if not worker.dead and worker.life.id != apart
        for entry in worker.listing().running
    }


def _one_at_work(hall: WorkerHall) -> str:
    return sorted(_at_work(hall).values())[0]
