"""Tests of workers that restart under the same id."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
import random

import msgspec
import trio

from pimentocross.owner.owner import Owner
from pimentocross.platform.wire import read_hold, read_worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import StepSpec, TaskName
from pimentocross.work.state import TERMINAL, JobState
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    count,
    crashed_twice_under,
    find_overlapping_starts,
    find_starts_after_success,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)

_WORKERS = 6


def _plan(name: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER if name.job.startswith("last") else 0.6, SMALL)


@asynccontextmanager
async def _run_cell(
    store: StoreStandin | None = None,
) -> AsyncIterator[tuple[Owner, WorkerPool]]:
    worker_pool = make_worker_pool(_WORKERS, _plan)
    async with running(
        make_owner(store or StoreStandin(), worker_pool, 1)
    ) as owner:
        yield owner, worker_pool


async def _submit_stream(owner: Owner, first: int, count: int) -> list[str]:
    """Submits jobs of two steps with three tasks each, ten jobs a second."""
    jobs = [f"job{number}" for number in range(first, first + count)]
    for job in jobs:
        await owner.job_api.submit(job, QUEUE, chain(3, 2))
        await trio.sleep(0.1)
    return jobs


async def _wait_done(owner: Owner, jobs: Sequence[str], within: float) -> None:
    await wait_until(
        lambda: all(
            owner.job_api.state(job).state is JobState.COMPLETED for job in jobs
        ),
        within,
    )


def _check_journal(worker_pool: WorkerPool) -> None:
    assert not find_overlapping_starts(worker_pool.journal), (
        find_overlapping_starts(worker_pool.journal)[:3]
    )
    assert not find_starts_after_success(worker_pool.journal), (
        find_starts_after_success(worker_pool.journal)[:3]
    )


async def test_ends_of_a_restarted_worker_are_not_dropped() -> None:
    async with _run_cell() as (owner, worker_pool):
        jobs = await _submit_stream(owner, 0, 40)
        for worker in worker_pool.workers.values():
            worker.restart()
        jobs += await _submit_stream(owner, 40, 40)
        await trio.sleep(10)
        _check_journal(worker_pool)
        await _wait_done(owner, jobs, 1)


async def test_what_lasts_is_back_soon_after_its_worker_restarted() -> None:
    async with _run_cell() as (owner, worker_pool):
        await _submit_stream(owner, 0, 20)
        step = StepSpec(12, SMALL, lasting=True)
        await owner.job_api.submit("last", QUEUE, spec(step))
        await trio.sleep(5)
        worker = next(iter(worker_pool.workers.values()))
        started = count(worker_pool.journal, "start")
        lost = len(worker.listing().running)
        worker.restart()
        await wait_until(
            lambda: count(worker_pool.journal, "start") == started + lost, 2.0
        )
        await trio.sleep(10)
        assert count(worker_pool.journal, "lapsed") == 0
        assert count(worker_pool.journal, "start") == started + lost
        _check_journal(worker_pool)


async def test_a_restart_is_known_before_the_directory_tells() -> None:
    async with _run_cell() as (owner, worker_pool):
        jobs = await _submit_stream(owner, 0, 20)
        for life_id, worker in worker_pool.workers.items():
            worker_pool.stale_entries[life_id] = worker.life
            worker.restart()
        jobs += await _submit_stream(owner, 20, 20)
        await _wait_done(owner, jobs, 5)
        worker_pool.stale_entries.clear()
        jobs += await _submit_stream(owner, 40, 20)
        await _wait_done(owner, jobs, 5)
        _check_journal(worker_pool)


async def test_a_new_owner_meets_the_next_lives_of_its_workers() -> None:
    store = StoreStandin()
    worker_pool = make_worker_pool(_WORKERS, _plan)
    jobs: list[str] = []
    for epoch in range(1, 6):
        async with running(make_owner(store, worker_pool, epoch)) as owner:
            jobs += await _submit_stream(owner, 20 * epoch, 20)
        for worker in worker_pool.workers.values():
            worker.restart()
    async with running(make_owner(store, worker_pool, 9)) as owner:
        await _wait_done(owner, jobs, 15)
    _check_journal(worker_pool)


async def _restart_often(worker_pool: WorkerPool, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.uniform(0.05, 1.0))
        worker = rng.choice(list(worker_pool.workers.values()))
        if rng.random() < 0.5:
            worker.restart()
            continue
        worker.crash()
        worker.down = True
        await trio.sleep(rng.uniform(0.05, 1.5))
        worker.restart()


async def _run_restarts(seed: int) -> None:
    """Restarts workers in series, with lost orders and late ones."""
    rng = random.Random(seed)
    async with _run_cell() as (owner, worker_pool):
        for worker in worker_pool.workers.values():
            worker.faults.late = worker.faults.lost = 0.05
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_restart_often, worker_pool, rng)
            jobs = await _submit_stream(owner, 0, 100)
            nursery.cancel_scope.cancel()
        for worker in worker_pool.workers.values():
            worker.faults.late = worker.faults.lost = 0.0
            if worker.dead:
                worker.restart()
        await wait_until(
            lambda: all(
                owner.job_api.state(job).state in TERMINAL for job in jobs
            )
        )
        _check_journal(worker_pool)
        # Users accept that a task is given up once two workers have crashed
        # under it.
        lost = [
            job
            for job in jobs
            if owner.job_api.state(job).state is not JobState.COMPLETED
            and not crashed_twice_under(worker_pool.journal, job)
        ]
        assert not lost, (seed, lost)


def test_restarts_in_series_break_no_promise() -> None:
    for seed in range(6):
        run_virtual(lambda s=seed: _run_restarts(s), seed)  # type: ignore[misc]


def test_a_restarted_worker_knows_nothing_of_its_former_life() -> None:
    async def play() -> None:
        worker_pool = make_worker_pool(1, _plan)
        worker: TaskWorkerStandin = next(iter(worker_pool.workers.values()))
        born = worker.life.born
        worker.handle_hold(7, 0, None)
        worker.restart()
        assert worker.life.born > born
        # A lower token is accepted again, and the clock starts at zero.
        worker.handle_hold(1, 0, None)
        assert worker.listing().clock < 1.0

    run_virtual(play)


async def test_ends_of_a_life_that_nobody_has_met_are_not_forgotten() -> None:
    # The answer to a listing is lost and the worker restarts meanwhile. The
    # next listing request is the first one that the new life receives.
    worker_pool = make_worker_pool(1, lambda _: TaskPlan(0.1, SMALL))
    worker = next(iter(worker_pool.workers.values()))
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        await owner.job_api.submit("job0", QUEUE, chain(8, 8))
        await _wait_done(owner, ["job0"], 10)
        worker.faults.lost = 1.0
        await trio.sleep(1.1)
        worker.faults.lost = 0.0
        worker_pool.stale_entries[worker.life.id] = worker.life
        worker.restart()
        await owner.job_api.submit("job1", QUEUE, chain(8, 1))
        await _wait_done(owner, ["job1"], 5)
    _check_journal(worker_pool)


def test_a_late_start_on_a_life_that_nobody_has_met_runs_nothing_twice() -> (
    None
):
    # Nothing fences a late start there: the new life has received no token, and
    # its clock is behind every deadline.
    run_virtual(lambda: _run_restarts(31), 31)


def test_the_birth_of_a_life_is_read_from_its_entry_and_its_lists() -> None:
    born = 1_785_008_004_789
    entry = {
        "backend": "stock",
        "address": "10.0.0.1:80",
        "zone": "north",
        "state": "ready",
        "capacity": {"cpu": 8000, "mem_mb": 16000},
        "labels": ["kind", "r1"],
        "born": born,
    }
    assert read_worker("w1", msgspec.json.encode(entry)).born == born
    for rows in ([["j.0.0.0", 1, "", 5, 0]], [["j.0.0.0", 1.0, "", 5]]):
        listed = {"clock_ms": 5, "running": rows, "born": born}
        assert read_hold(msgspec.json.encode(listed)).born == born
    assert read_hold(b'{"clock_ms":5,"born":7.0}').born == 7
    # A platform that doesn't report `born` has one life per id.
    assert read_hold(b'{"clock_ms":5}').born == 0
