"""Tests how long lasting tasks are away if nobody can ask their former owner.

Its VM and some of its workers are gone for good, at one moment or one after the
other. `test_living_former_owners` tests that the wait is long enough.
"""

from typing import Final, NamedTuple

import trio

from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import Size, StepSpec, TaskName
from tests.gateway_fixtures import WEAK, VmCell
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

_SIZE: Final = Size(2500, 1000, 0)
# Seconds after its last run for which a lasting task may be away: users count
# it as lost if it is away for 3 s, from 6 s on.
_AWAY_MOST: Final = 9.0
# Seconds after which the directory drops a worker that is silent.
_ENTRY_LASTS: Final = 4.5
_VM_COUNT: Final = 7
_WORKER_COUNT: Final = 24
_TASK_COUNT: Final = 24
# Longer than an owner renews leases without the store, and a lease.
_LONG: Final = 25.0


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, _SIZE)


class _Gone(NamedTuple):
    """What is gone for good, in seconds after the owner's VM.

    Attributes:
        workers: Number of workers.
        workers_at: When the workers are gone.
        other_vms: VMs that are gone before, and never come back.
        next_owner_at: When the VM of the next owner is gone as well, or None.
    """

    workers: int = 3
    workers_at: float = 0.1
    other_vms: int = 0
    next_owner_at: float | None = None


async def _away_longest(gone: _Gone) -> float:
    """Returns how long a lasting task was away at most."""
    cell = VmCell()
    cell.worker_pool = pool = make_worker_pool(_WORKER_COUNT, _lasting)
    async with cell.running():
        for number in range(_VM_COUNT):
            cell.start(f"vm-{number}", WEAK)
        await wait_until(lambda: bool(cell.owners()))
        owner = cell.owners()[0].election.owner
        assert owner is not None
        lasting = spec(StepSpec(_TASK_COUNT, _SIZE, lasting=True))
        await owner.job_api.submit("watch", QUEUE, lasting)
        await wait_until(lambda: count(pool.journal, "start") == _TASK_COUNT)
        others = [vm for vm in cell.vms.values() if not vm.owns]
        for vm in others[: gone.other_vms]:
            cell.kill(vm)
        await trio.sleep(4.0)
        async with trio.open_nursery() as nursery:
            at = trio.current_time()
            nursery.start_soon(_end_workers, pool, gone, at)
            nursery.start_soon(_end_owners, cell, gone)
            await trio.sleep_until(at + max(gone.workers_at, 0.0) + _LONG)
    _check_never_twice(pool)
    return _longest_away(pool)


async def _end_owners(cell: VmCell, gone: _Gone) -> None:
    # Workers that are gone before the owner are gone that much later here.
    await trio.sleep(max(-gone.workers_at, 0.0))
    cell.kill(cell.owners()[0])
    if gone.next_owner_at is not None:
        await trio.sleep(gone.next_owner_at)
        for vm in [v for v in cell.vms.values() if v.election.owner]:
            cell.kill(vm)
    await trio.sleep(4.0)
    cell.start("vm-new", WEAK)


async def _end_workers(pool: WorkerPool, gone: _Gone, at: float) -> None:
    await trio.sleep(max(gone.workers_at, 0.0))
    used = [w for w in pool.workers.values() if w.listing().running]
    for worker in used[: gone.workers]:
        worker.crash()
        worker.faults.silent = True
    await trio.sleep(_ENTRY_LASTS)
    pool.unlisted.update(w.life.id for w in used[: gone.workers])


def _longest_away(pool: WorkerPool) -> float:
    ended: dict[TaskName, float] = {}
    longest = 0.0
    for event in sorted(pool.journal, key=lambda e: e.at):
        if event.what in ("lost", "lapsed"):
            ended[event.task] = event.at
        elif event.what == "start" and event.task in ended:
            longest = max(longest, event.at - ended.pop(event.task))
    assert not ended, ended
    return longest


def _check_never_twice(pool: WorkerPool) -> None:
    for worker in pool.workers.values():
        worker.advance()
    journal = sorted(pool.journal, key=lambda e: (e.at, e.what == "start"))
    assert not find_overlapping_starts(journal), find_overlapping_starts(
        journal
    )


async def test_tasks_of_workers_gone_with_the_owners_vm_run_in_time() -> None:
    # Guards against a lost job: nobody can tell a VM that is gone for good from
    # one that is cut off, and its leases were waited for 17.4 s.
    took = await _away_longest(_Gone())
    assert took < _AWAY_MOST, took


async def test_tasks_of_workers_gone_after_the_owners_vm_run_in_time() -> None:
    # Guards against a lost job: the same wait for workers that are gone during
    # the take-over.
    for workers_at in (0.5, 2.0, 4.0):
        took = await _away_longest(_Gone(workers_at=workers_at))
        assert took < _AWAY_MOST, (workers_at, took)


async def test_tasks_of_workers_gone_before_the_owners_vm_run_in_time() -> None:
    # Guards against a lost job: the owner let the leases of a silent worker
    # lapse, and its successor counted them from the take-over.
    for workers_at in (-0.5, -1.0, -4.0):
        took = await _away_longest(_Gone(workers_at=workers_at))
        assert took < _AWAY_MOST, (workers_at, took)


async def test_vms_that_are_gone_for_long_make_no_difference() -> None:
    # Guards against a lost job: a VM that is gone for good stays a member, and
    # nobody can ask it either.
    for other_vms in (1, 4):
        took = await _away_longest(_Gone(other_vms=other_vms))
        assert took < _AWAY_MOST, (other_vms, took)


async def test_a_third_of_the_workers_gone_makes_no_difference() -> None:
    # Guards against a lost job: a whole rack is gone with the owner's VM.
    took = await _away_longest(_Gone(workers=_WORKER_COUNT // 3))
    assert took < _AWAY_MOST, took


async def test_the_next_owner_gone_as_well_adds_no_second_wait() -> None:
    # Guards against a lost job: each owner counted all leases from its own
    # take-over.
    for next_owner_at in (3.0, 5.0):
        took = await _away_longest(_Gone(next_owner_at=next_owner_at))
        assert took < _AWAY_MOST, (next_owner_at, took)


async def test_restarts_of_all_workers_delay_no_task() -> None:
    # Guards against a lost job: no witness of the former owner answers any
    # more, and each of their VMs runs another life.
    store, pool = StoreStandin(), make_worker_pool(6, _lasting)
    async with running(make_owner(store, pool, 1)) as owner:
        lasting = spec(StepSpec(6, _SIZE, lasting=True))
        await owner.job_api.submit("watch", QUEUE, lasting)
        await wait_until(lambda: count(pool.journal, "start") == 6)
        await trio.sleep(2.0)
    gone, *others = [w for w in pool.workers.values() if w.listing().running]
    gone.crash()
    gone.faults.silent = True
    pool.unlisted.add(gone.life.id)
    for worker in [w for w in pool.workers.values() if w is not gone]:
        worker.crash()
        pool.unlisted.add(worker.life.id)
        number = int(worker.life.machine[1:])
        following = life(number, generation=1)._replace(born=2)
        pool.add(TaskWorkerStandin(following, _lasting, pool.journal))
    assert others
    async with running(make_owner(store, pool, 2, former_quiet=False)):
        await trio.sleep(_AWAY_MOST)
    _check_never_twice(pool)
    assert _longest_away(pool) < _AWAY_MOST
