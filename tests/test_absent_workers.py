"""Tests that runs of a worker that left restart in time across take-overs.

The store refuses some VMs, so that owners follow one another, and workers leave
meanwhile. A lasting task has to be at work again shortly after the lease of its
last run, however many owners there were. Guards against a wait for that lease
that starts anew with each take-over.
"""

from typing import Final

import trio

from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RUNS_FOREVER, TaskPlan
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests.gateway_fixtures import STRONG, WEAK, Vm, VmCell
from tests.owner_fixtures import (
    QUEUE,
    find_overlapping_starts,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)

# Users allow 6 s from the end of a run, and 3 s more without one.
_MAX_DOWNTIME: Final = 6.0 + 3.0
_JOB: Final = "watch"
_TASKS: Final = 6
# Three tasks of this size fit on a worker.
_SIZE: Final = Size(2500, 1000, 0)


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, _SIZE)


def _watch_spec() -> JobSpec:
    return spec(StepSpec(_TASKS, _SIZE, lasting=True))


def _find_running(worker_pool: WorkerPool) -> dict[TaskName, str]:
    """Returns the worker ids of tasks that run on live workers."""
    found = {}
    for worker in worker_pool.workers.values():
        if not worker.dead:
            for entry in worker.listing().running:
                found[entry.task] = worker.life.id
    return found


def _all_running(worker_pool: WorkerPool) -> bool:
    return len(_find_running(worker_pool)) == _TASKS


def _remove_for_good(worker_pool: WorkerPool, worker: str) -> None:
    """Ends a worker for good: it is unlisted and doesn't answer."""
    worker_pool.workers[worker].crash()
    worker_pool.workers[worker].faults.silent = True
    worker_pool.unlisted.add(worker)


async def _wait_all_running(worker_pool: WorkerPool, since: float) -> None:
    """Waits until all tasks run, and checks the time since a worker left."""
    await wait_until(lambda: _all_running(worker_pool), timeout=60.0)
    took = trio.current_time() - since
    assert took < _MAX_DOWNTIME, f"away for {took:.1f} s"
    assert not find_overlapping_starts(worker_pool.journal)


async def _wait_for_owner(cell: VmCell, *names: str) -> Vm:
    def owners() -> list[Vm]:
        return [vm for vm in cell.owners() if vm.name in names]

    await wait_until(lambda: bool(owners()))
    return owners()[0]


async def _submit(owner: Owner | None, worker_pool: WorkerPool) -> None:
    assert owner is not None
    await owner.job_api.submit(_JOB, QUEUE, _watch_spec())
    await wait_until(lambda: _all_running(worker_pool))
    await trio.sleep(3.0)


async def test_a_worker_that_leaves_under_a_weak_owner_keeps_no_task_away() -> (
    None
):
    # LOST: the wait for former leases, 17.4 s, started anew with each of two
    # take-overs.
    cell = VmCell()
    cell.worker_pool = make_worker_pool(4, _lasting)
    async with cell.running():
        strong = cell.start("strong", STRONG)
        await _wait_for_owner(cell, "strong")
        for name in ("weak-1", "weak-2", "weak-3"):
            cell.start(name, WEAK)
        await _submit(strong.election.owner, cell.worker_pool)
        cell.store.faults.refused = {"strong"}
        weak = await _wait_for_owner(cell, "weak-1", "weak-2", "weak-3")
        await trio.sleep(4.0)
        left = next(iter(_find_running(cell.worker_pool).values()))
        _remove_for_good(cell.worker_pool, left)
        left_at = trio.current_time()
        cell.store.faults.refused = set()
        await _wait_for_owner(cell, "strong")
        assert weak.name != "strong" and len(cell.claims()) == 3
        await _wait_all_running(cell.worker_pool, left_at)


async def test_owners_in_a_row_wait_once_for_a_worker_that_left() -> None:
    # LOST: each owner waited for the lease from its own take-over on.
    store, worker_pool = StoreStandin(), make_worker_pool(4, _lasting)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await _submit(owner, worker_pool)
    async with running(make_owner(store, worker_pool, 2, former_quiet=False)):
        await trio.sleep(5.0)
        left = next(iter(_find_running(worker_pool).values()))
        _remove_for_good(worker_pool, left)
        left_at = trio.current_time()
        await trio.sleep(1.5)
    for epoch in (3, 4):
        async with running(
            make_owner(store, worker_pool, epoch, former_quiet=False)
        ):
            await trio.sleep(1.5)
    async with running(make_owner(store, worker_pool, 5, former_quiet=False)):
        await _wait_all_running(worker_pool, left_at)
