"""Tests that no part of the wait for a former owner's leases can be left out.

In each case the former owner is alive and cut off from the store and all other
VMs, and it reaches workers that no other VM reaches. A task runs twice as soon
as a part of the rule is left out.
"""

from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager, nullcontext, suppress
from typing import Final
from unittest import mock

import trio

from pimentocross.owner import boot_clock, const
from pimentocross.owner.clock import WorkerClock
from pimentocross.owner.confirmation import Confirmation
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.owner import Owner
from pimentocross.owner.record_age import RecordAge
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.witnesses import Witnesses
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work import records
from pimentocross.work.records import ClockRow
from pimentocross.work.spec import Size, StepSpec, TaskName
from tests.owner_fixtures import (
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
from tests.renewals_model import World, find_violation

_SIZE: Final = Size(2500, 1000, 0)
_WORKER_COUNT: Final = 5
# Three tasks fit on a worker.
_TASK_COUNT: Final = 10
# Longer than an owner renews leases without the store, and a lease.
_LONG: Final = 25.0
_TERMS: Final = OwnerTerms()
# Worlds of the model in which a part that is left out breaks the promise.
_SEEDS: Final = {
    "confirmation": (1,),
    "majority": (1,),
    "fenced half": (15,),
    "chain": (183,),
    "boot clock": (139,),
    "latest reading": (141,),
    "first attempt": (53,),
}


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, _SIZE)


class _CutOff:
    """A cell whose first owner is cut off together with some workers."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.pool: WorkerPool = make_worker_pool(_WORKER_COUNT, _lasting)

    async def run_tasks(self, owner: Owner) -> None:
        """Starts tasks on all workers, and waits until they are witnesses."""
        lasting = spec(StepSpec(_TASK_COUNT, _SIZE, lasting=True))
        await owner.job_api.submit("watch", QUEUE, lasting)
        await wait_until(
            lambda: count(self.pool.journal, "start") == _TASK_COUNT
        )
        await trio.sleep(3.0)

    def cut_off(self, reached: Sequence[str], others: Sequence[str]) -> None:
        """Cuts VM "a" off with workers that the other VMs don't reach."""
        self.store.faults.refused = {"a"}
        self.pool.access("a")
        self.pool.cut["a"] |= set(self.pool.workers) - set(reached)
        self.pool.unlisted |= set(reached)
        for vm in others:
            self.pool.access(vm)
            self.pool.cut[vm] |= set(reached)

    def used(self, number: int) -> list[str]:
        """Returns the ids of some workers that run tasks."""
        used = [i for i, w in self.pool.workers.items() if w.listing().running]
        return sorted(used)[:number]

    def runs_twice(self) -> bool:
        """Returns whether a task has run twice at one time."""
        for worker in self.pool.workers.values():
            worker.advance()
        journal = sorted(
            self.pool.journal, key=lambda e: (e.at, e.what == "start")
        )
        return bool(find_overlapping_starts(journal))


async def _runs_twice(
    reached: int,
    left_out: AbstractContextManager[object] | None = None,
    *,
    formers_confirm: bool = True,
) -> bool:
    """Returns whether a task runs twice after a take-over.

    Args:
        reached: How many workers the former owner reaches alone.
        left_out: Leaves a part of the rule out.
        formers_confirm: Whether the former owner counts as one that renews
            leases only while it is confirmed.
    """
    cell = _CutOff()
    with left_out or nullcontext():
        async with running(make_owner(cell.store, cell.pool, 1)) as owner:
            await cell.run_tasks(owner)
            cell.cut_off(cell.used(reached), ["b"])
            following = make_owner(
                cell.store,
                cell.pool,
                2,
                vm="b",
                former_quiet=False,
                formers_confirm=formers_confirm,
            )
            async with running(following):
                await trio.sleep(_LONG)
    # What ran on the workers that were cut off runs elsewhere.
    assert count(cell.pool.journal, "start") > _TASK_COUNT
    return cell.runs_twice()


def _lease_without_confirmation(self: Confirmation, now: float) -> float:
    age = now - self._ledger.confirmed_at
    return _TERMS.lease if age <= const.RENEWALS_WITHOUT_STORE else 0.0


def _lease_without_limit(self: Confirmation, now: float) -> float:
    confirmed_at = max(
        self._ledger.confirmed_at, self._witnesses.confirmed_at(now)
    )
    left = confirmed_at + _TERMS.confirmed_lease - now
    return min(max(left, 0.0), _TERMS.lease)


def _find_any(self: Witnesses, witnesses: Sequence[int]) -> float:
    return max(
        (self._asked[n] for n in witnesses if n in self._asked),
        default=boot_clock.NEVER,
    )


def _count_all_as_fenced(self: Witnesses) -> None:
    self._formers_fenced = True
    self._on_fenced()


_update: Final = Witnesses.update


def _update_at_once(self: Witnesses) -> None:
    fenced, self._formers_fenced = self._formers_fenced, True
    _update(self)
    self._formers_fenced = fenced


def _without_confirmation() -> AbstractContextManager[object]:
    return mock.patch.object(Confirmation, "lease", _lease_without_confirmation)


async def test_a_lease_ends_soon_after_its_owner_was_confirmed() -> None:
    # Guards against a task that runs twice: the former owner is cut off from
    # the store and renews leases on the one worker that it reaches.
    assert not await _runs_twice(1)
    assert await _runs_twice(1, _without_confirmation())


async def test_one_witness_does_not_confirm_an_owner() -> None:
    # Guards against a task that runs twice: the worker that only the former
    # owner reaches answers it.
    one = mock.patch.object(Witnesses, "_find_majority", _find_any)
    assert await _runs_twice(1, one)


async def test_an_owner_fences_half_of_the_witnesses_first() -> None:
    # Guards against a task that runs twice: most of the witnesses answer the
    # former owner alone, which renews leases as if the store were away.
    assert not await _runs_twice(3)
    at_once = mock.patch.object(
        Witnesses, "_check_fenced", _count_all_as_fenced
    )
    assert await _runs_twice(3, at_once)


async def test_witnesses_do_not_confirm_an_owner_for_ever() -> None:
    # Guards against a task that runs twice: the next owner can't fence the
    # witnesses, and waits as long as an owner renews leases by them alone.
    limitless = mock.patch.object(Confirmation, "lease", _lease_without_limit)
    assert await _runs_twice(3, limitless)


async def test_owners_of_earlier_versions_are_waited_for_as_before() -> None:
    # Guards against a task that runs twice while VMs are updated: an owner of
    # an earlier version renews leases without being confirmed.
    assert not await _runs_twice(
        1, _without_confirmation(), formers_confirm=False
    )


async def test_an_owner_fences_the_witnesses_before_it_records_its_own() -> (
    None
):
    # Guards against a task that runs twice: the third owner fences the
    # witnesses of the second, which never reached those of the first.
    assert not await _third_owner_runs_twice(nullcontext())
    at_once = mock.patch.object(Witnesses, "update", _update_at_once)
    assert await _third_owner_runs_twice(at_once)


async def _third_owner_runs_twice(
    left_out: AbstractContextManager[object],
) -> bool:
    cell = _CutOff()
    with left_out:
        async with running(make_owner(cell.store, cell.pool, 1)) as owner:
            await cell.run_tasks(owner)
            cell.cut_off(cell.used(3), ["b", "c"])
            for number in range(_WORKER_COUNT, 2 * _WORKER_COUNT):
                worker = TaskWorkerStandin(
                    life(number), _lasting, cell.pool.journal
                )
                cell.pool.add(worker)
                cell.pool.cut["a"].add(worker.life.id)
            for epoch, vm, seconds in ((2, "b", 3.0), (3, "c", _LONG)):
                following = make_owner(
                    cell.store, cell.pool, epoch, vm=vm, former_quiet=False
                )
                async with running(following):
                    await trio.sleep(seconds)
    assert count(cell.pool.journal, "start") > _TASK_COUNT
    return cell.runs_twice()


def _restored(epoch: int, numbers: Sequence[int]) -> Witnesses:
    """Returns the witnesses of an owner that has read a record."""
    witnesses = Witnesses(epoch, mock.Mock())
    witnesses.restore(records.encode_witnesses(epoch - 1, numbers))
    witnesses.open(0.0, str, lambda: None, tuple)
    return witnesses


async def test_witnesses_that_can_not_be_read_are_never_all_fenced() -> None:
    # Guards against a task that runs twice: nobody knows who confirms the
    # former owner.
    witnesses = Witnesses(2, mock.Mock())
    with suppress(records.RecordError):
        witnesses.restore(b"?")
    witnesses.open(0.0, str, lambda: None, tuple)
    for number in range(_WORKER_COUNT):
        witnesses.note_answer(number, 0.0)
    assert not witnesses.formers_fenced


async def test_a_record_that_may_be_stored_counts_as_well() -> None:
    # Guards against a task that runs twice: the acknowledgement of other
    # witnesses was lost, or they were never stored, and the next owner fences
    # those of the record that it reads.
    answering: list[int] = [1, 2, 3]
    owner = Witnesses(1, mock.Mock())
    owner.open(0.0, str, lambda: None, lambda: answering)
    owner.encode()
    owner.stored()
    answering[:] = [4, 5, 6]
    owner.encode()
    for fenced, reached in (((1, 2), (4, 5, 6)), ((4, 5), (1, 2, 3))):
        following = _restored(2, sorted((*fenced, *fenced, max(fenced) + 1)))
        for number in fenced:
            following.note_answer(number, 0.0)
        assert following.formers_fenced
        for number in reached:
            owner.note_answer(number, boot_clock.now())
        await trio.sleep(2 * const.MAJORITY_INTERVAL)
        confirmed_at = owner.confirmed_at(boot_clock.now())
        assert confirmed_at == boot_clock.NEVER
        owner._asked.clear()


async def test_a_repeated_append_confirms_as_of_its_first_attempt() -> None:
    # Guards against a task that runs twice: the store answers the repeat of an
    # append although a later owner has begun.
    store = StoreStandin()
    ledger = Ledger(store.client("a"), "jobs", "owner", 1)
    await ledger.open()
    async with trio.open_nursery() as nursery:
        store.faults.refused = {"a"}
        nursery.start_soon(ledger.run)
        await trio.sleep(6.0)
        store.faults.refused = set()
        began, stored_at = ledger.confirmed_at, ledger.stored_at
        while ledger.stored_at == stored_at:
            await trio.sleep(0.001)
        assert ledger.confirmed_at < began + 1.0
        nursery.cancel_scope.cancel()


async def test_an_owner_whose_vm_was_suspended_renews_nothing() -> None:
    # Guards against a task that runs twice: the monotonic clock of a VM stands
    # still while it is suspended, and the cell is taken over meanwhile.
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    await ledger.open()
    confirmation = Confirmation(ledger, Witnesses(1, ledger), _TERMS)
    assert confirmation.lease(boot_clock.now()) == _TERMS.lease
    suspended = trio.current_time() + _LONG
    with mock.patch.object(boot_clock, "now", lambda: suspended):
        assert confirmation.lease(boot_clock.now()) == 0.0


async def test_no_start_asks_for_a_longer_lease_than_a_renewal() -> None:
    # Guards against a task that runs twice: a start asks for a lease as well,
    # and may wait for other orders before it is sent.
    for age, starts in ((3.0, 1), (4.5, 0)):
        cell = _CutOff()
        async with running(make_owner(cell.store, cell.pool, 1)) as owner:
            await trio.sleep(1.0)
            with mock.patch.object(
                Confirmation,
                "lease",
                lambda *_, age=age: _TERMS.confirmed_lease - age,
            ):
                lasting = spec(StepSpec(1, _SIZE, lasting=True))
                await owner.job_api.submit("watch", QUEUE, lasting)
                await trio.sleep(0.2)
        assert count(cell.pool.journal, "start") == starts


def test_the_longest_lease_after_a_confirmation_is_waited_for() -> None:
    # Guards against a task that runs twice: the owner was confirmed at the last
    # moment, and renewed the lease of a worker with the slowest clock.
    rate = 1 - const.CLOCK_DRIFT
    renewed_at = const.CONFIRMATION_SLACK
    ends_at = renewed_at + _TERMS.lease / rate
    assert ends_at + const.LAPSE_MARGIN <= _TERMS.confirmed_lease_most
    assert ends_at + const.LAPSE_MARGIN > _TERMS.lease_most


def test_a_clock_counts_no_time_that_has_not_passed() -> None:
    # Guards against a task that runs twice: a reading is as old as the call
    # that it answers, and a call waits for a second.
    clock = WorkerClock()
    clock.note(100.0, asked_at=10.0, now=11.0)
    assert clock.latest_reading(11.5) >= 101.5


async def test_a_clock_of_another_life_counts_no_time() -> None:
    # Guards against a task that runs twice: a worker that starts again under
    # its id has another clock.
    age = RecordAge()
    age.begin()
    began = trio.current_time()
    age.restore([ClockRow(1, born=1, reading=5.0), ClockRow(2, 1, 5.0)])
    assert not age.note_clock(1, born=2, reading=500.0)
    assert not age.note_clock(3, born=1, reading=500.0)
    assert age.written_at == began
    assert age.note_clock(2, born=1, reading=15.0)
    assert began - 10.0 <= age.written_at < began - 9.0


def test_no_lease_outlasts_its_wait_in_random_worlds() -> None:
    assert not find_violation(range(60))


def _assert_breaks(part: str, left_out: AbstractContextManager[object]) -> None:
    with left_out:
        assert find_violation(_SEEDS[part]), part


def test_each_part_is_needed_in_random_worlds() -> None:
    patch: Callable[..., AbstractContextManager[object]] = mock.patch.object
    _assert_breaks("confirmation", _without_confirmation())
    _assert_breaks("majority", patch(Witnesses, "_find_majority", _find_any))
    _assert_breaks(
        "fenced half", patch(Witnesses, "_check_fenced", _count_all_as_fenced)
    )
    _assert_breaks("chain", patch(Witnesses, "update", _update_at_once))
    _assert_breaks(
        "boot clock",
        patch(World, "boot_time", lambda _: trio.current_time()),
    )
    _assert_breaks(
        "latest reading",
        patch(WorkerClock, "latest_reading", lambda self, _: self._reading),
    )
    assert find_violation(_SEEDS["first attempt"], repeats_confirm=True)
