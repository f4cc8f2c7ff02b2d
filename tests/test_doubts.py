"""Tests what a new owner knows of workers that ended before it took over."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import trio

from bench.wire_parts import make_owner_context
from pimentocross.observe import decisions
from pimentocross.owner import wall
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.life_numbers import LifeNumbers
from pimentocross.owner.silent_lives import SilentLives
from pimentocross.owner.worker import Worker
from pimentocross.owner.worker_ends import WorkerEnds
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.supervisor import DownTime, Supervisor
from pimentocross.standins.task_worker import NEVER, RUNS_FOREVER, TaskPlan
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.crash_history import OUTAGE_WINDOW, CrashHistory
from pimentocross.work.records import (
    CRASHES,
    SILENT_LIVES,
    WORKER_ENDS,
    decode_crashes,
    decode_worker_ends,
)
from pimentocross.work.spec import StepSpec, TaskName
from pimentocross.work.state import JobState, Run, RunState
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    count,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.pass_fixtures import make_step, make_worker

# A task of the job with this name crashes its worker right after its start.
_JOB = "crash"


def _plan(name: TaskName) -> TaskPlan:
    return TaskPlan(
        RUNS_FOREVER if name.job == "last" else 1.5,
        SMALL,
        crashes_after=0.01 if name.job == _JOB else NEVER,
    )


@asynccontextmanager
async def _cell(down: float) -> AsyncIterator[tuple[StoreStandin, WorkerPool]]:
    """Runs workers that come back under new ids after `down` seconds."""
    worker_pool = make_worker_pool(4, _plan)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            Supervisor(worker_pool, _plan, DownTime(down, down)).run
        )
        yield StoreStandin(), worker_pool
        nursery.cancel_scope.cancel()


async def _values(store: StoreStandin, kind: str) -> list[bytes]:
    page = await store.client("b").newest("jobs", 1.0)
    return [r.value for r in page.records if r.key[:1] == kind and r.value]


async def _history(store: StoreStandin) -> CrashHistory:
    """Returns the recorded crash history of the task."""
    job = make_step(_JOB, StepSpec(1, SMALL)).job
    for value in await _values(store, CRASHES):
        decode_crashes(job, value)
    return next(job.tasks()).crash_history


async def test_a_new_owner_knows_how_soon_a_worker_went() -> None:
    async with _cell(down=2.0) as (store, worker_pool):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            await owner.job_api.submit(_JOB, QUEUE, chain(1, 1))
            await wait_until(lambda: count(worker_pool.journal, "crashed") == 1)
            await trio.sleep(0.2)
        assert await _history(store) == CrashHistory()
        async with running(make_owner(store, worker_pool, 2)):
            await trio.sleep(0.5)
            assert await _history(store) == CrashHistory()
            await wait_until(lambda: count(worker_pool.journal, "start") == 2)
            assert await _history(store) == CrashHistory(1, 1, 1, 0.0, 1)


async def test_a_run_that_lapsed_counts_for_a_new_owner() -> None:
    async with _cell(down=8.0) as (store, worker_pool):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            # A start on a connection that is older than a listing is settled.
            await trio.sleep(3.0)
            await owner.job_api.submit(_JOB, QUEUE, chain(1, 1))
            # The lease of its run has lapsed, and the worker's fate is unknown.
            await wait_until(lambda: count(worker_pool.journal, "start") == 2)
            await trio.sleep(0.2)
        assert await _history(store) == CrashHistory()
        async with running(make_owner(store, worker_pool, 2)):
            await wait_until(lambda: not worker_pool.lingering_entries, 12.0)
            await trio.sleep(4.0)
            assert await _history(store) == CrashHistory(1, 1, 1, 0.0, 1)


async def test_entries_of_ended_lives_are_no_crashes_to_a_new_owner() -> None:
    async with _cell(down=1.0) as (store, worker_pool):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            await owner.job_api.submit(_JOB, QUEUE, chain(1, 1))
            await wait_until(
                lambda: owner.job_api.state(_JOB).state is JobState.FAILED
            )
        assert worker_pool.lingering_entries
        before = decisions.counts()["worker_crashed"]
        async with running(make_owner(store, worker_pool, 2)):
            await trio.sleep(6.0)
        assert decisions.counts()["worker_crashed"] == before


async def test_a_worker_that_is_heard_again_leaves_no_doubt() -> None:
    async with _cell(down=1.0) as (store, worker_pool):
        async with running(make_owner(store, worker_pool, 1, vm="a")) as owner:
            await owner.job_api.submit("job", QUEUE, chain(1, 1))
            await wait_until(lambda: count(worker_pool.journal, "start") == 1)
            worker_pool.cut["a"].add(worker_pool.journal[0].worker)
            await trio.sleep(2.0)
            assert len(await _values(store, SILENT_LIVES)) == 1
            worker_pool.cut["a"].clear()
            await trio.sleep(1.0)
            assert not await _values(store, SILENT_LIVES)
            # The next owner reaches a worker that this one can't reach.
            await owner.job_api.submit("more", QUEUE, chain(1, 1))
            await wait_until(lambda: count(worker_pool.journal, "start") == 2)
            worker_pool.cut["a"].add(worker_pool.journal[-1].worker)
            await trio.sleep(2.0)
            assert len(await _values(store, SILENT_LIVES)) == 1
        async with running(make_owner(store, worker_pool, 2, vm="b")):
            await trio.sleep(1.0)
            assert not await _values(store, SILENT_LIVES)


async def test_what_never_comes_back_is_forgotten() -> None:
    async with _cell(down=1000.0) as (store, worker_pool):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            await owner.job_api.submit(_JOB, QUEUE, chain(1, 1))
            await wait_until(lambda: count(worker_pool.journal, "crashed") == 1)
            await trio.sleep(1.0)
            assert await _values(store, SILENT_LIVES)
            await owner.job_api.cancel(_JOB)
            await trio.sleep(40.0)
            assert not await _values(store, SILENT_LIVES)


async def test_only_what_was_seen_is_recorded_of_a_silent_worker() -> None:
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobRegistry(ledger, 0.0)
    parts = make_owner_context(book, ledger, lambda *_: None, lambda _: None)
    task = make_step(_JOB, StepSpec(1, SMALL)).tasks[0]

    def recorded(worker: Worker, decided_at: float) -> list[int] | None:
        run = Run(1, 1, decided_at)
        run.state = RunState.RUNNING
        worker.add(task, run)
        with mock.patch.object(SilentLives, "note_silent") as note_silent:
            parts.crashes.note_silent(worker)
        if not note_silent.called:
            return None
        return [row.run for row in note_silent.call_args.args[1]]

    heard = make_worker(life(1), 1)
    heard.last_reply_at = trio.current_time()
    assert recorded(heard, decided_at=1.0) == [1]
    # A former owner may have seen the run live for long.
    assert recorded(heard, decided_at=0.0) == []
    assert recorded(make_worker(life(1), 1), decided_at=0.0) is None
    # A draining worker was expected to leave.
    heard.life = life(1)._replace(draining=True)
    assert recorded(heard, decided_at=1.0) is None


async def test_a_new_owner_knows_what_had_lived_on_a_silent_worker() -> None:
    async with _cell(down=2.0) as (store, worker_pool):
        lasting = StepSpec(1, SMALL, lasting=True)
        async with running(make_owner(store, worker_pool, 1)) as owner:
            await owner.job_api.submit("last", QUEUE, spec(lasting))
            await wait_until(lambda: count(worker_pool.journal, "start") == 1)
            await trio.sleep(2.0)
            worker = worker_pool.workers[worker_pool.journal[0].worker]
            worker.crash()
            worker.down = True
            await trio.sleep(0.5)
        async with running(make_owner(store, worker_pool, 2)):
            await wait_until(lambda: count(worker_pool.journal, "start") == 2)
            history = await _history(store)
        assert (history.crashes, history.early) == (1, 0)


async def test_a_new_owner_knows_which_workers_went_of_late() -> None:
    async with _cell(down=1.0) as (store, worker_pool):
        for epoch in (1, 2):
            async with running(make_owner(store, worker_pool, epoch)):
                await trio.sleep(1.0)
                worker = next(iter(worker_pool.workers.values()))
                worker.crash()
                worker.down = True
                await trio.sleep(3.0)
        (value,) = await _values(store, WORKER_ENDS)
        ends = decode_worker_ends(value)
        assert [end.explained for end in ends] == [False, False]
        at = ends[0].at
        with mock.patch.object(wall, "now", lambda: at + OUTAGE_WINDOW - 1.0):
            restored = WorkerEnds(mock.Mock())
            restored.restore(value)
        assert len(restored.recent()) == 2
        await trio.sleep(1.5)
        assert len(restored.recent()) == 1


async def test_an_entry_that_changes_after_its_life_has_ended_is_borne() -> (
    None
):
    numbers = LifeNumbers(Ledger(StoreStandin().client("a"), "jobs", "o", 1))
    number = numbers.number_of(life(1))
    numbers.forget(number)
    numbers.note_born(number, 7)
    assert not numbers.is_known(number)
