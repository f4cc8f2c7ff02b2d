"""How long a new owner waits for leases that it didn't grant itself."""

from typing import Final
from unittest import mock

import trio

from pimentocross.owner import const, wall
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    LASTS,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
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
