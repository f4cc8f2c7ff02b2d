"""Tests that starts given up before they were sent are never sent."""

import trio

from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.work.spec import StepSpec, TaskName
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    ClosedZones,
    count,
    find_overlapping_starts,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
)

# Longest announced outage of the store, in seconds.
_OUTAGE = 9.0


def _lasting(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, SMALL)


async def test_a_start_that_was_given_up_is_not_sent() -> None:
    # TWICE: the start was decided during an outage of the store and its
    # worker's lease lapsed. It was sent once its record was stored, although
    # the task had been started elsewhere meanwhile.
    store, worker_pool, zones = (
        StoreStandin(),
        make_worker_pool(1, _lasting),
        ClosedZones(),
    )
    zones.close("north")
    async with running(make_owner(store, worker_pool, 1, zones=zones)) as owner:
        job = spec(StepSpec(1, SMALL, lasting=True))
        await owner.job_api.submit("watch", QUEUE, job)
        await trio.sleep(1.0)
        store.faults.refused = {"a"}
        zones.open_all()
        await trio.sleep(0.5)
        worker_pool.cut["a"].add(life(0).id)
        await trio.sleep(_OUTAGE - 3.0)
        worker_pool.add(
            TaskWorkerStandin(life(1), _lasting, worker_pool.journal, seed=1)
        )
        await trio.sleep(1.0)
        worker_pool.cut["a"].clear()
        await trio.sleep(1.5)
        assert not worker_pool.journal
        store.faults.refused = set()
        await trio.sleep(3.0)
    assert count(worker_pool.journal, "start"), "nothing began"
    assert not find_overlapping_starts(worker_pool.journal), (
        find_overlapping_starts(worker_pool.journal)
    )
