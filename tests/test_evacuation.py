"""Nothing starts in an availability zone that operators have evacuated.

Operators evacuate a zone by a record in the store. When owners didn't read that
record, thousands of tasks started on workers that were about to be switched
off.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
import random

import trio

from pimentocross.contracts.store import Record
from pimentocross.contracts.zones import ZoneAccess
from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import StepSpec, TaskName
from tests import run_virtual
from tests.operator_fixtures import VM, FollowingVm, following_vm
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    ZONES,
    ClosedZones,
    chain,
    life,
    make_owner,
    running,
    spec,
    wait_until,
)

# Seconds after the acknowledgement of an evacuation from which on nothing may
# start in the zone, as the user documentation asks.
_MAX_DELAY = 5.0
# The same while the store answers: a tighter bound of this project.
_MAX_DELAY_HEALTHY_STORE = 1.0
_NORTH = ZONES[0]


def _make_hall(
    plan: Callable[[TaskName], TaskPlan], each: int = 2
) -> WorkerPool:
    """Returns a pool of workers, `each` in every zone."""
    worker_pool = WorkerPool()
    for number in range(each * len(ZONES)):
        zone = ZONES[number % len(ZONES)]
        entry = life(number)._replace(zone=zone, labels=("kind", zone))
        worker_pool.add(
            TaskWorkerStandin(entry, plan, worker_pool.journal, seed=number)
        )
    return worker_pool


def _make_owner(
    store: StoreStandin,
    worker_pool: WorkerPool,
    zones: ZoneAccess,
    epoch: int = 1,
) -> Owner:
    return make_owner(store, worker_pool, epoch, vm=VM, zones=zones)


def _starts_in(
    worker_pool: WorkerPool,
    zone: str,
    since: float,
    until: float = float("inf"),
) -> list[RunEvent]:
    """Returns the starts in a zone after `since` and up to `until`."""
    return [
        event
        for event in worker_pool.journal
        if event.what == "start"
        and since < event.at <= until
        and _zone_of(worker_pool, event) == zone
    ]


def _zone_of(worker_pool: WorkerPool, event: RunEvent) -> str:
    return worker_pool.workers[event.worker].life.zone


def _short_task(_: TaskName) -> TaskPlan:
    return TaskPlan(0.5, SMALL)


def _lasting_task(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, SMALL)


async def test_first_starts_leave_an_evacuated_zone_out() -> None:
    worker_pool, zones = _make_hall(_short_task), ClosedZones()
    zones.close(_NORTH)
    async with running(
        _make_owner(StoreStandin(), worker_pool, zones)
    ) as owner:
        for number in range(6):
            await owner.job_api.submit(f"j{number}", QUEUE, chain(4, 2))
        await wait_until(lambda: len(worker_pool.journal) >= 96)
        assert not _starts_in(worker_pool, _NORTH, 0.0)
        zones.open_all()
        for number in range(6, 12):
            await owner.job_api.submit(f"j{number}", QUEUE, chain(4, 2))
        await wait_until(lambda: bool(_starts_in(worker_pool, _NORTH, 0.0)))


async def test_repeats_and_moved_tasks_leave_an_evacuated_zone_out() -> None:
    """Failed tasks and tasks of crashed workers start in another zone."""
    draw = random.Random(1)

    def plan(_: TaskName) -> TaskPlan:
        return TaskPlan(0.3, SMALL, fails=draw.random() < 0.4)

    worker_pool, zones = _make_hall(plan, each=3), ClosedZones()
    async with running(
        _make_owner(StoreStandin(), worker_pool, zones)
    ) as owner:
        for number in range(12):
            await owner.job_api.submit(f"j{number}", QUEUE, chain(4, 2))
        await trio.sleep(0.4)
        zones.close(_NORTH)
        closed_at = trio.current_time()
        for worker in list(worker_pool.workers.values())[1::3]:
            worker.crash()
        await trio.sleep(10.0)
        assert not _starts_in(worker_pool, _NORTH, closed_at)
        assert [e for e in worker_pool.journal if e.at > closed_at + 1.0]


async def test_a_start_that_waits_for_its_record_is_dropped() -> None:
    """The zone is evacuated after the decision and before its order is sent."""
    worker_pool, zones, store = (
        _make_hall(_short_task),
        ClosedZones(),
        StoreStandin(),
    )
    async with running(_make_owner(store, worker_pool, zones)) as owner:
        store.faults.delay = 0.6
        async with trio.open_nursery() as nursery:
            nursery.start_soon(owner.job_api.submit, "j", QUEUE, chain(24, 1))
            await trio.sleep(0.3)
            assert not worker_pool.journal, "no order waited"
            zones.close(_NORTH)
        await trio.sleep(8.0)
        assert not _starts_in(worker_pool, _NORTH, 0.0)
        assert (
            len({e.task for e in worker_pool.journal if e.what == "done"}) == 24
        )


async def test_gangs_leave_an_evacuated_zone_out() -> None:
    worker_pool, zones = _make_hall(_short_task), ClosedZones()
    zones.close(_NORTH)
    gang = spec(StepSpec(8, SMALL, 0.5, gang=True))
    async with running(
        _make_owner(StoreStandin(), worker_pool, zones)
    ) as owner:
        for number in range(3):
            await owner.job_api.submit(f"g{number}", QUEUE, gang)
        await trio.sleep(5.0)
        assert not _starts_in(worker_pool, _NORTH, 0.0)
        assert any(e.what == "start" for e in worker_pool.journal)


async def test_what_runs_in_an_evacuated_zone_runs_on() -> None:
    """Leases in the zone are renewed: only starts are refused."""
    worker_pool, zones = _make_hall(_lasting_task), ClosedZones()
    lasting = spec(StepSpec(12, SMALL, 0.5, lasting=True))
    async with running(
        _make_owner(StoreStandin(), worker_pool, zones)
    ) as owner:
        await owner.job_api.submit("w", QUEUE, lasting)
        await wait_until(lambda: len(worker_pool.journal) == 12)
        before = len(_starts_in(worker_pool, _NORTH, 0.0))
        zones.close(_NORTH)
        await trio.sleep(30.0)
        assert before and len(worker_pool.journal) == 12


async def test_two_zones_and_all_zones_can_be_evacuated() -> None:
    worker_pool, zones = _make_hall(_short_task), ClosedZones()
    zones.close(*ZONES)
    async with running(
        _make_owner(StoreStandin(), worker_pool, zones)
    ) as owner:
        await owner.job_api.submit("j", QUEUE, chain(4, 1))
        await trio.sleep(5.0)
        assert not worker_pool.journal
        zones.open("west")
        await wait_until(lambda: len(worker_pool.journal) >= 8)
        assert {
            _zone_of(worker_pool, event) for event in worker_pool.journal
        } == {"west"}


class _Cell:
    """Owners whose VM reads an operator's evacuations from the store."""

    def __init__(self, followed: FollowingVm, worker_pool: WorkerPool) -> None:
        self.followed = followed
        self.worker_pool = worker_pool
        self._epoch = 0

    @asynccontextmanager
    async def owned(self) -> AsyncIterator[Owner]:
        """Runs the next owner, whose VM reads the operator's evacuations."""
        self._epoch += 1
        zones = self.followed.follower.evacuations
        owner = _make_owner(
            self.followed.store, self.worker_pool, zones, self._epoch
        )
        async with running(owner):
            yield owner

    async def submit_for_ever(self, owner: Owner) -> None:
        """Submits jobs at a steady rate."""
        number = 0
        while True:
            number += 1
            job = f"e{self._epoch}-{number}"
            with trio.move_on_after(0.2):
                await owner.job_api.submit(job, QUEUE, chain(3, 1))
            await trio.sleep(0.1)


async def _latest_start(
    fault: Callable[[FollowingVm, float], Awaitable[None]], moment: float
) -> float:
    """Returns the seconds from an evacuation to the last start in its zone."""
    async with following_vm(3.0, _MAX_DELAY) as followed:
        cell = _Cell(followed, _make_hall(_short_task))
        async with cell.owned() as owner, trio.open_nursery() as nursery:
            nursery.start_soon(cell.submit_for_ever, owner)
            await trio.sleep(1.0 + moment)
            await fault(followed, moment)
            await followed.evacuate(_NORTH)
            acked_at = trio.current_time()
            await trio.sleep(7.0)
            nursery.cancel_scope.cancel()
        late = _starts_in(cell.worker_pool, _NORTH, acked_at)
        others = [e for e in cell.worker_pool.journal if e.at > acked_at + 5.0]
        assert others, "nothing started elsewhere either"
    return max((event.at - acked_at for event in late), default=0.0)


async def _no_fault(followed: FollowingVm, moment: float) -> None:
    await trio.lowlevel.checkpoint()


async def _silent_store(followed: FollowingVm, moment: float) -> None:
    followed.store.faults.silence_count += 1
    await trio.lowlevel.checkpoint()


async def _slow_store(followed: FollowingVm, moment: float) -> None:
    followed.store.faults.delay = 0.4
    await trio.lowlevel.checkpoint()


async def _store_outage(followed: FollowingVm, moment: float) -> None:
    followed.store.faults.away = True
    await trio.sleep(2.0 + moment)
    followed.store.faults.away = False


def test_an_evacuation_is_in_force_in_time_at_any_phase_of_a_wait() -> None:
    """Tries each store fault with records at several phases of a poll."""
    for fault, bound in (
        (_no_fault, _MAX_DELAY_HEALTHY_STORE),
        (_silent_store, _MAX_DELAY),
        (_slow_store, _MAX_DELAY),
        (_store_outage, _MAX_DELAY),
    ):
        for step in range(6):
            latest: list[float] = []

            async def play(
                fault: Callable[[FollowingVm, float], Awaitable[None]] = fault,
                step: int = step,
                latest: list[float] = latest,
            ) -> None:
                latest.append(await _latest_start(fault, step * 0.27))

            run_virtual(play, step)
            assert latest[0] < bound, (fault.__name__, step, latest)


async def test_a_vm_that_can_not_read_starts_nothing() -> None:
    """Its copy of the log may lack an evacuation that is already in force."""
    async with following_vm(3.0, _MAX_DELAY) as followed:
        zones = followed.follower.evacuations
        assert zones.is_open(_NORTH)
        followed.store.faults.refused = {VM}
        await followed.lag_until(lambda: not zones.is_open(_NORTH))
        refused_for = trio.current_time()
        await trio.sleep(3.0)
        assert not any(zones.is_open(zone) for zone in ZONES)
        followed.store.faults.refused = set()
        await followed.lag_until(lambda: zones.is_open(_NORTH))
        assert refused_for < _MAX_DELAY + 1.0


async def test_a_process_that_has_read_nothing_starts_nothing() -> None:
    async with following_vm(3.0, _MAX_DELAY) as followed:
        await followed.evacuate(_NORTH)
        fresh = FollowingVm(3.0, _MAX_DELAY)
        assert not fresh.follower.evacuations.is_open("south")


async def test_a_removal_takes_an_evacuation_back() -> None:
    async with following_vm(3.0, _MAX_DELAY) as followed:
        zones = followed.follower.evacuations
        await followed.evacuate(_NORTH)
        await followed.evacuate("south")
        await followed.evacuate("no zone of ours")
        await followed.lag_until(lambda: len(zones.zones) == 3)
        assert not zones.is_open(_NORTH) and zones.is_open("west")
        await followed.restore(_NORTH)
        assert (
            await followed.lag_until(lambda: zones.is_open(_NORTH))
            < _MAX_DELAY_HEALTHY_STORE
        )
        assert not zones.is_open("south")


async def test_a_reader_that_begins_anew_knows_what_is_evacuated() -> None:
    """Records and removals may have expired while the reader was cut off."""
    async with following_vm(3.0, _MAX_DELAY) as followed:
        zones = followed.follower.evacuations
        await followed.evacuate(_NORTH)
        await followed.lag_until(lambda: not zones.is_open(_NORTH))
        followed.store.faults.refused = {VM}
        await followed.restore(_NORTH)
        await followed.evacuate("south")
        followed.store.forget_history("op")
        await trio.sleep(2.0)
        followed.store.faults.refused = set()
        await followed.lag_until(lambda: zones.is_open(_NORTH))
        assert not zones.is_open("south")


async def test_a_record_without_a_readable_value_evacuates_its_zone() -> None:
    async with following_vm(3.0, _MAX_DELAY) as followed:
        record = Record(f"evacuate/{_NORTH}", b"\xff{")
        await followed.store.client("operator").append("op", [record], 1.0)
        zones = followed.follower.evacuations
        await followed.lag_until(lambda: not zones.is_open(_NORTH))
        assert (
            await followed.lag(await followed.publish())
            < _MAX_DELAY_HEALTHY_STORE
        )


async def test_a_successor_leaves_the_zone_out_from_its_first_start() -> None:
    async with following_vm(3.0, _MAX_DELAY) as followed:
        cell = _Cell(followed, _make_hall(_short_task))
        async with cell.owned() as owner:
            await owner.job_api.submit("first", QUEUE, chain(60, 1))
            await trio.sleep(0.5)
        await followed.evacuate(_NORTH)
        acked_at = trio.current_time()
        async with cell.owned():
            await trio.sleep(20.0)
        late = _starts_in(cell.worker_pool, _NORTH, acked_at)
        assert (
            max((e.at - acked_at for e in late), default=0.0)
            < _MAX_DELAY_HEALTHY_STORE
        )
        done = {e.task for e in cell.worker_pool.journal if e.what == "done"}
        assert len(done) == 60
