"""Tests what goes on while the store is away and VMs fall."""

from typing import Final, NamedTuple

import trio

from pimentocross.standins.task_worker import RUNS_FOREVER, TaskPlan
from pimentocross.work.spec import Size, StepSpec
from tests.gateway_fixtures import WEAK, VmCell
from tests.owner_fixtures import (
    QUEUE,
    count,
    make_worker_pool,
    spec,
    wait_until,
)

_SIZE: Final = Size(2500, 1000, 0)
_VM_COUNT: Final = 7
_WORKER_COUNT: Final = 24
# The longest announced outage of the store.
_AWAY_SECONDS: Final = 9.0


class _Down(NamedTuple):
    """What is down from a second after the store on.

    Attributes:
        vms: Number of VMs, without the owner's.
        workers: Number of workers that answer nobody.
    """

    vms: int = 0
    workers: int = 0


async def _count_lapsed(down: _Down) -> int:
    """Counts the runs that lapse on workers that answer."""
    cell = VmCell()
    cell.worker_pool = pool = make_worker_pool(
        _WORKER_COUNT, lambda _: TaskPlan(RUNS_FOREVER, _SIZE)
    )
    async with cell.running():
        for number in range(_VM_COUNT):
            cell.start(f"vm-{number}", WEAK)
        await wait_until(lambda: bool(cell.owners()))
        owner = cell.owners()[0].election.owner
        assert owner is not None
        lasting = spec(StepSpec(_WORKER_COUNT, _SIZE, lasting=True))
        await owner.job_api.submit("watch", QUEUE, lasting)
        await wait_until(lambda: count(pool.journal, "start") == _WORKER_COUNT)
        await trio.sleep(4.0)
        cell.store.faults.refused = {"any", *cell.vms}
        await trio.sleep(1.0)
        others = [vm for vm in cell.vms.values() if not vm.owns]
        for vm in others[: down.vms]:
            cell.kill(vm)
        silent = sorted(pool.workers)[: down.workers]
        for name in silent:
            pool.workers[name].faults.silent = True
        await trio.sleep(_AWAY_SECONDS - 1.0)
        cell.store.faults.refused = set()
        await trio.sleep(5.0)
    for worker in pool.workers.values():
        worker.advance()
    return sum(
        event.what == "lapsed" and event.worker not in silent
        for event in pool.journal
    )


async def test_nothing_lapses_while_the_store_is_away_and_vms_fall() -> None:
    # Guards against lost work: an owner that nobody but workers can confirm
    # stops renewing leases.
    for down in (_Down(), _Down(vms=6), _Down(vms=6, workers=11)):
        lapsed = await _count_lapsed(down)
        assert not lapsed, (down, lapsed)
