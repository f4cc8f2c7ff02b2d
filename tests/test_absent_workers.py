"""What ran on a worker that has left runs again in time, whoever owns the cell.

Owners follow one another while the store turns some VMs away, and workers leave
meanwhile. A task that lasts has to be at work again within the lease of its
last run and a moment, however many owners there were.
"""

from typing import Final

import trio

from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import LASTS, TaskPlan
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests.gateway_fixtures import STRONG, WEAK, Vm, VmCell
from tests.owner_fixtures import (
    QUEUE,
    find_overlapping_starts,
    make_hall,
    make_owner,
    running,
    spec,
    wait_until,
)

# Users allow 6 s from the end of a run, and 3 s without one after these.
_AT_WORK_WITHIN: Final = 6.0 + 3.0
_JOB: Final = "watch"
_TASKS: Final = 6
# Three of them fit on a worker.
_SIZE: Final = Size(2500, 1000, 0)


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(LASTS, _SIZE)


def _watch() -> JobSpec:
    return spec(StepSpec(_TASKS, _SIZE, lasting=True))


def _at_work(hall: WorkerHall) -> dict[TaskName, str]:
    """Returns the workers of tasks that run on a worker that is up."""
    found = {}
    for worker in hall.workers.values():
        if not worker.dead:
            for entry in worker.listing().running:
                found[entry.task] = worker.life.id
    return found


def _all_at_work(hall: WorkerHall) -> bool:
    return len(_at_work(hall)) == _TASKS


def _leave(hall: WorkerHall, worker: str) -> None:
    """Has a worker end for good: its entry goes, and nothing answers."""
    hall.workers[worker].crash()
    hall.workers[worker].faults.silent = True
    hall.unlisted.add(worker)


async def _wait_at_work(hall: WorkerHall, since: float) -> None:
    """Waits until all tasks are at work, in time after a worker has left."""
    await wait_until(lambda: _all_at_work(hall), timeout=60.0)
    took = trio.current_time() - since
    assert took < _AT_WORK_WITHIN, f"away for {took:.1f} s"
    assert not find_overlapping_starts(hall.journal)


async def _owner_of(cell: VmCell, *names: str) -> Vm:
    def owners() -> list[Vm]:
        return [vm for vm in cell.owners() if vm.name in names]

    await wait_until(lambda: bool(owners()))
    return owners()[0]


async def _submit(owner: Owner | None, hall: WorkerHall) -> None:
    assert owner is not None
    await owner.job_api.submit(_JOB, QUEUE, _watch())
    await wait_until(lambda: _all_at_work(hall))
    await trio.sleep(3.0)


async def test_a_worker_that_leaves_under_a_weak_owner_keeps_no_task_away() -> (
    None
):
    # LOST: 17.4 s were counted anew from each of two take-overs.
    cell = VmCell()
    cell.hall = make_hall(4, _lasting)
    async with cell.running():
        strong = cell.start("strong", STRONG)
        await _owner_of(cell, "strong")
        for name in ("weak-1", "weak-2", "weak-3"):
            cell.start(name, WEAK)
        await _submit(strong.election.owner, cell.hall)
        cell.store.faults.refused = {"strong"}
        weak = await _owner_of(cell, "weak-1", "weak-2", "weak-3")
        await trio.sleep(4.0)
        left = next(iter(_at_work(cell.hall).values()))
        _leave(cell.hall, left)
        left_at = trio.current_time()
        cell.store.faults.refused = set()
        await _owner_of(cell, "strong")
        assert weak.name != "strong" and len(cell.claims()) == 3
        await _wait_at_work(cell.hall, left_at)


async def test_owners_in_a_row_wait_once_for_a_worker_that_left() -> None:
    # LOST: each of them waited from its own take-over.
    store, hall = StoreStandin(), make_hall(4, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await _submit(owner, hall)
    async with running(make_owner(store, hall, 2, former_quiet=False)):
        await trio.sleep(5.0)
        left = next(iter(_at_work(hall).values()))
        _leave(hall, left)
        left_at = trio.current_time()
        await trio.sleep(1.5)
    for epoch in (3, 4):
        async with running(make_owner(store, hall, epoch, former_quiet=False)):
            await trio.sleep(1.5)
    async with running(make_owner(store, hall, 5, former_quiet=False)):
        await _wait_at_work(hall, left_at)
