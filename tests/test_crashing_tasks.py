"""Tasks that crash the workers that start them."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import trio

from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.supervisor import Supervisor
from pimentocross.standins.task_worker import (
    LASTS,
    NEVER,
    TaskPlan,
)
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import TaskName
from pimentocross.work.state import JobState
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    find_again,
    find_crash_loops,
    find_twice,
    make_hall,
    make_owner,
    running,
)

_AT_ONCE = 0.01
# What waits has ended this long after the last job came.
_ENDED_AFTER = 20.0


def _plan(name: TaskName) -> TaskPlan:
    """Returns the plan of a task; its job's name says of what kind it is."""
    seconds = LASTS if name.job.startswith("last") else 1.5
    crashes = name.job.startswith("crash") and not name.position
    return TaskPlan(
        seconds, SMALL, crashes_after=_AT_ONCE if crashes else NEVER
    )


@asynccontextmanager
async def _cell(
    workers: int, store: StoreStandin | None = None
) -> AsyncIterator[tuple[Owner, WorkerHall]]:
    """Runs an owner over workers that come back after a crash."""
    hall = make_hall(workers, _plan)
    supervisor = Supervisor(hall, _plan)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(supervisor.run)
        async with running(make_owner(store or StoreStandin(), hall, 1)) as own:
            yield own, hall
        nursery.cancel_scope.cancel()


def _states(owner: Owner, jobs: Sequence[str]) -> set[JobState | None]:
    return {owner.desk.state(job).state for job in jobs}


async def _submit_stream(owner: Owner, count: int) -> list[str]:
    """Submits jobs of three tasks, five a second."""
    jobs = [f"job{number}" for number in range(count)]
    for job in jobs:
        await owner.desk.submit(job, QUEUE, chain(3, 1))
        await trio.sleep(0.2)
    return jobs


async def test_a_task_that_crashes_its_workers_is_given_up() -> None:
    async with _cell(6) as (owner, hall):
        await owner.desk.submit("crash", QUEUE, chain(3, 2))
        jobs = await _submit_stream(owner, 100)
        await trio.sleep(_ENDED_AFTER)
        assert not find_crash_loops(hall.journal)
        assert owner.desk.state("crash").state is JobState.FAILED
        assert _states(owner, jobs) == {JobState.COMPLETED}
    assert not find_twice(hall.journal)
    assert not find_again(hall.journal)
    assert all(e.task.step == 0 for e in hall.journal if e.task.job == "crash")
