"""Tests that new empty workers get queued tasks while the others are crowded.

Guards against new workers that stay unused: serving tasks crowded the workers
that were there before, filling tasks waited for capacity on these, and
responses were late.
"""

from unittest import mock

import trio

from pimentocross.contracts.store import Record
from pimentocross.owner import wall
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.owner import Owner
from pimentocross.placement.disturbance import PairEstimate
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work import records
from pimentocross.work.spec import Size, StepSpec, TaskName
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
)

_WORKERS = 24
_NEW_WORKERS = 6
_SERVING_SIZE = Size(2400, 1000, 0)
_FILLER_SIZE = Size(1000, 500, 0)
_FILLER_SECONDS = 1.0
_FILLERS_PER_JOB = 14
# Seconds of load before and after the new workers are added.
_CROWDED_SECONDS = 6.0
_SECONDS_AFTER = 12.0
_ARRIVAL_INTERVAL = 0.1


def _plan(task: TaskName) -> TaskPlan:
    if task.job.startswith("fill"):
        return TaskPlan(_FILLER_SECONDS, Size(0, 500, 0))
    return TaskPlan(RUNS_FOREVER, _SERVING_SIZE)


async def _submit_fillers(owner: Owner, sent: dict[str, float]) -> None:
    """Submits more filling tasks than the crowded workers have room for."""
    while True:
        job = f"fill{len(sent)}"
        sent[job] = trio.current_time()
        step = StepSpec(
            _FILLERS_PER_JOB,
            _FILLER_SIZE,
            _FILLER_SECONDS,
            image="x",
            fills=True,
        )
        await owner.job_api.submit(job, QUEUE, spec(step))
        await trio.sleep(_ARRIVAL_INTERVAL)


async def _run_load(worker_pool: WorkerPool, sent: dict[str, float]) -> float:
    """Runs the load; returns when the new workers were added."""
    store, learned = StoreStandin(), LearnedEstimates()
    learned.disturbance.restore([PairEstimate("serves", "x", 0.0, 0.01)], 0.0)
    record = Record(records.LEARNED_ESTIMATES, learned.encode())
    await store.client("a").append("jobs", [record], 1.0)
    with mock.patch.object(wall, "now", trio.current_time):
        async with (
            running(make_owner(store, worker_pool, 1)) as owner,
            trio.open_nursery() as nursery,
        ):
            serves = StepSpec(
                3 * _WORKERS,
                _SERVING_SIZE,
                lasting=True,
                image="serves",
                target_tail=20,
            )
            await owner.job_api.submit("serves", QUEUE, spec(serves))
            await trio.sleep(3.0)
            nursery.start_soon(_submit_fillers, owner, sent)
            await trio.sleep(_CROWDED_SECONDS)
            added_at = trio.current_time()
            for number in range(_WORKERS, _WORKERS + _NEW_WORKERS):
                new = TaskWorkerStandin(
                    life(number), _plan, worker_pool.journal, seed=number
                )
                worker_pool.add(new)
            await trio.sleep(_SECONDS_AFTER)
            nursery.cancel_scope.cancel()
    return added_at


def _starts(
    journal: list[RunEvent], since: float, until: float
) -> list[RunEvent]:
    return [
        event
        for event in journal
        if event.what == "start"
        and event.task.job.startswith("fill")
        and since <= event.at < until
    ]


def _is_new(event: RunEvent) -> bool:
    return int(event.worker.removeprefix("w").split("-")[0]) >= _WORKERS


def _wait_at_99(starts: list[RunEvent], sent: dict[str, float]) -> float:
    waits = sorted(event.at - sent[event.task.job] for event in starts)
    return waits[int(0.99 * (len(waits) - 1))]


def test_new_workers_carry_their_share_within_seconds() -> None:
    worker_pool = make_worker_pool(_WORKERS, _plan)
    sent: dict[str, float] = {}
    added_at = 0.0

    async def play() -> None:
        nonlocal added_at
        added_at = await _run_load(worker_pool, sent)

    run_virtual(play)
    before = _starts(worker_pool.journal, added_at - 2.0, added_at)
    shortly_after = _starts(worker_pool.journal, added_at + 1.0, added_at + 3.0)
    after = _starts(worker_pool.journal, added_at + 5.0, added_at + 8.0)
    # A new worker has more free capacity than a crowded one, so the new ones
    # get more than their share of the worker count.
    share = sum(map(_is_new, shortly_after)) / len(shortly_after)
    assert share >= _NEW_WORKERS / (_WORKERS + _NEW_WORKERS), share
    crowded, relieved = _wait_at_99(before, sent), _wait_at_99(after, sent)
    assert crowded > 0.3, crowded
    assert relieved < crowded, (relieved, crowded)
    # No serving task was moved away: the new workers had room already.
    assert not any(event.what == "stopped" for event in worker_pool.journal)
