"""Tests that the trial of a quarantined worker ends on every path."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from pimentocross.contracts.worker_link import StartVerdict
from pimentocross.owner.learned import QUARANTINE
from pimentocross.owner.owner import Owner
from pimentocross.placement.quarantine import Quarantine, QuarantineSettings
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import StepSpec, TaskName
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)

_SETTINGS = QuarantineSettings(after=1, first=3.0, most=12.0, trial=3.0)
# A task that may start has to run within 3 s where there is capacity for it.
_RUNNING_WITHIN = 3.0
_WATCH = spec(StepSpec(1, SMALL, lasting=True))
_BATCH = spec(StepSpec(1, SMALL, 0.5))
_Path = Callable[["_Cell"], Awaitable[None]]


class _Cell(NamedTuple):
    """An owner and its only worker, which is quarantined."""

    owner: Owner
    worker: TaskWorkerStandin
    worker_pool: WorkerPool


def _plan(name: TaskName) -> TaskPlan:
    seconds = RUNS_FOREVER if name.job == "watch" else 0.5
    return TaskPlan(seconds, SMALL, fails=name.job.startswith("bad"))


@asynccontextmanager
async def _quarantined() -> AsyncIterator[_Cell]:
    """Yields a cell whose only worker has failed tasks of two jobs."""
    worker_pool = make_worker_pool(1, _plan)
    (worker,) = worker_pool.workers.values()
    async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
        for job in ("bad0", "bad1"):
            await owner.job_api.submit(job, QUEUE, _BATCH)
        quarantine = owner._learned.quarantine
        await wait_until(
            lambda: bool(quarantine.explain(worker.life.id, 0.0)), 5.0
        )
        for job in ("bad0", "bad1"):
            await owner.job_api.cancel(job)
        yield _Cell(owner, worker, worker_pool)


async def _start_trial(cell: _Cell) -> None:
    await cell.owner.job_api.submit("watch", QUEUE, _WATCH)
    await wait_until(lambda: bool(cell.worker.listing().running), 10.0)


async def _batch_runs_within(cell: _Cell) -> float:
    """Returns after how many seconds a batch task is started."""
    began = trio.current_time()
    starts = count(cell.worker_pool.journal, "start")
    await cell.owner.job_api.submit("batch", QUEUE, _BATCH)
    await wait_until(
        lambda: count(cell.worker_pool.journal, "start") > starts, 30.0
    )
    return trio.current_time() - began


async def test_a_lasting_trial_ends_the_quarantine_of_its_worker() -> None:
    # Guards against a lost job: a worker that had failed for 6 s got no batch
    # work any more once a lasting task was its trial.
    async with _quarantined() as cell:
        await _start_trial(cell)
        assert await _batch_runs_within(cell) < QUARANTINE.trial + 0.5
        await trio.sleep(2 * QUARANTINE.trial)
        quarantine = cell.owner._learned.quarantine
        assert not quarantine.explain(cell.worker.life.id, 0.0)


async def test_a_trial_that_was_stopped_keeps_nothing_off_its_worker() -> None:
    # Guards against a lost job: only a lasting run's failure ended its trial.
    async with _quarantined() as cell:
        await _start_trial(cell)
        await cell.owner.job_api.cancel("watch")
        await wait_until(lambda: not cell.worker.listing().running, 5.0)
        await trio.sleep(0.5)
        assert await _batch_runs_within(cell) < 0.5


async def test_a_trial_whose_lease_lapsed_keeps_nothing_off() -> None:
    # Guards against a lost job: nobody was told of a trial that had lapsed.
    async with _quarantined() as cell:
        await _start_trial(cell)
        cell.worker.faults.silent = True
        await cell.owner.job_api.cancel("watch")
        await trio.sleep(8.0)
        cell.worker.advance()
        assert count(cell.worker_pool.journal, "lapsed") == 1
        cell.worker.faults.silent = False
        assert await _batch_runs_within(cell) < _RUNNING_WITHIN


async def test_a_trial_that_was_never_started_keeps_nothing_off() -> None:
    # Guards against a lost job: a start that was dropped or refused left its
    # mark on the worker.
    async with _quarantined() as cell:
        refused: list[TaskName] = []
        handle_start = cell.worker.handle_start

        def refuse(order: object) -> StartVerdict:
            refused.append(order.task)  # type: ignore[attr-defined]
            return StartVerdict.NO_ROOM

        cell.worker.handle_start = refuse  # type: ignore[method-assign]
        await cell.owner.job_api.submit("watch", QUEUE, _WATCH)
        await wait_until(lambda: bool(refused), 10.0)
        await cell.owner.job_api.cancel("watch")
        cell.worker.handle_start = handle_start  # type: ignore[method-assign]
        await trio.sleep(0.5)
        assert await _batch_runs_within(cell) < 0.5


async def test_nothing_is_kept_for_a_worker_that_was_replaced() -> None:
    # Guards against memory that grows with each worker that fails and leaves.
    async with _quarantined() as cell:
        former, worker_pool = cell.worker, cell.worker_pool
        former.crash()
        del worker_pool.workers[former.life.id]
        born = former.life.born + 1
        successor = TaskWorkerStandin(
            life(0, 1)._replace(born=born), _plan, worker_pool.journal, seed=1
        )
        worker_pool.add(successor)
        await trio.sleep(2.0)
        quarantine = cell.owner._learned.quarantine
        assert not quarantine.explain(former.life.id, 0.0)
        assert await _batch_runs_within(cell) < 0.5


def test_a_trial_has_an_end_in_time() -> None:
    quarantine = Quarantine(_SETTINGS)
    quarantine.note_failed("w", "job", 0.0)
    quarantine.note_started("w", "first", 3.0)
    assert not quarantine.admits("w", 5.9)
    assert quarantine.admits("w", 6.0)
    quarantine.note_started("w", "second", 6.0)
    assert quarantine.trials()["w"].run == "second"
    assert not quarantine.admits("w", 8.9)


def test_a_run_beside_the_trial_doesnt_lengthen_it() -> None:
    quarantine = Quarantine(_SETTINGS)
    quarantine.note_failed("w", "job", 0.0)
    quarantine.note_started("w", "first", 3.0)
    quarantine.note_started("w", "second", 5.0)
    assert quarantine.trials()["w"].run == "first"
    assert quarantine.admits("w", 6.0)


def test_tasks_that_fail_in_turn_lengthen_a_quarantine_no_further() -> None:
    # Guards against a lost job: each task that had been there before lengthened
    # the quarantine as it failed.
    quarantine = Quarantine(_SETTINGS)
    for second in range(12):
        quarantine.note_failed("w", "job", float(second))
        assert not quarantine.admits("w", float(second))
    assert quarantine.admits("w", 12.0)
    quarantine.note_started("w", "trial", 12.0)
    quarantine.note_failed("w", "job", 12.5)
    assert not quarantine.admits("w", 24.0)
    assert quarantine.admits("w", 24.5)
