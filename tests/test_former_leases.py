"""How long a new owner waits for leases that it didn't grant itself."""

from typing import Final
from unittest import mock

import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway import const as gateway_const
from pimentocross.owner import const, wall
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    LASTS,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work import records
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests.gateway_fixtures import STRONG, WEAK, VmCell
from tests.owner_fixtures import (
    QUEUE,
    count,
    find_twice,
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


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(LASTS, _SIZE)


def _watch(tasks: int) -> JobSpec:
    return spec(StepSpec(tasks, _SIZE, lasting=True))


def _add_worker(hall: WorkerHall, number: int) -> None:
    hall.add(
        TaskWorkerStandin(life(number), _lasting, hall.journal, seed=number)
    )


async def test_the_wait_for_a_worker_that_was_never_heard_has_an_end() -> None:
    # LOST: its clock isn't known, and what is left of its lease was endless.
    with mock.patch.object(wall, "now", trio.current_time):
        await _play_never_heard()


async def _play_never_heard() -> None:
    store, hall = StoreStandin(), make_hall(1, _lasting)
    worker = hall.workers[life(0).id]
    async with running(make_owner(store, hall, 1)) as owner:
        await trio.sleep(0.5)
        worker.faults.silent = True
        await owner.desk.submit("watch", QUEUE, _watch(1))
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
        longest = const.LATE_START_MOST + const.CLOCK_SLACK + _SOON
        until = sent_at + longest - trio.current_time()
        await wait_until(lambda: count(hall.journal, "start") == 1, until)
    assert not find_twice(hall.journal)


async def test_an_owner_that_has_ended_since_is_waited_for_no_longer() -> None:
    # LOST: an owner's record kept the doubt of its day about the one before.
    store, hall = StoreStandin(), make_hall(4, _lasting)
    async with running(make_owner(store, hall, 1)) as owner:
        await owner.desk.submit("watch", QUEUE, _watch(6))
        await wait_until(lambda: count(hall.journal, "start") == 6)
        await trio.sleep(2.0)
    gone = next(e.worker for e in hall.journal if e.what == "start")
    hall.workers[gone].crash()
    hall.workers[gone].faults.silent = True
    hall.unlisted.add(gone)
    async with running(make_owner(store, hall, 2, former_quiet=False)):
        await trio.sleep(1.0)
    async with running(make_owner(store, hall, 3)):
        began = trio.current_time()
        lost = sum(e.what == "lost" for e in hall.journal)
        await wait_until(lambda: count(hall.journal, "start") == 6 + lost)
        assert trio.current_time() - began < const.LEASE + _SOON


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
        await owner.desk.submit("watch", QUEUE, _watch(6))
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
        await trio.sleep(gateway_const.SILENCE + 30.0)
        for worker in hall.workers.values():
            worker.listing()
    assert not find_twice(_in_order(hall)), find_twice(_in_order(hall))


def _in_order(hall: WorkerHall) -> list[RunEvent]:
    return sorted(hall.journal, key=lambda e: (e.at, e.what == "start"))
