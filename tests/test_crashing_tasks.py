"""Tests that tasks which crash their workers are found and given up."""

from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
import random
from unittest import mock

import trio

from bench.wire_parts import make_owner_context
from pimentocross.observe import decisions
from pimentocross.owner.isolation import Isolation
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.keeper import LeaseKeeper
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.owner import Owner
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.supervisor import (
    DEFAULT_DOWN_TIME,
    DownTime,
    Supervisor,
)
from pimentocross.standins.task_worker import (
    NEVER,
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.crash_history import (
    CRASHES_CLEARED_AFTER,
    NO_CRASHES,
    STARTUP_CRASH_WINDOW,
    Crash,
    CrashHistory,
    is_outage,
)
from pimentocross.work.records import CRASHES, encode_crashes
from pimentocross.work.spec import JobSpec, StepSpec, TaskName
from pimentocross.work.state import Job, JobState
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    count,
    find_crash_loops,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    make_owner,
    running,
    spec,
    wait_until,
)
from tests.pass_fixtures import make_step, make_worker

# The first task of each step of a job with this name prefix crashes its worker
# right after its start.
_AT_ONCE = "crash"
# The same with this prefix crashes its worker when most of its work is done.
_LATER = "later"
_LASTING = StepSpec(6, SMALL, lasting=True)
_CRASHES_AFTER = {_AT_ONCE: 0.01, _LATER: 1.2}
# Number of workers in a rack.
_RACK_SIZE = 8
# All waiting work has ended this many seconds after the last submission.
_ENDED_AFTER = 20.0


def _plan(name: TaskName) -> TaskPlan:
    """Returns the plan of a task, depending on the name of its job."""
    kind = name.job.partition("-")[0]
    lasts = name.job.endswith("lasting")
    crashes = _CRASHES_AFTER.get(kind, NEVER) if not name.position else NEVER
    return TaskPlan(
        RUNS_FOREVER if lasts else 1.5,
        SMALL,
        crashes_after=crashes,
        alone=name.job.endswith("gang"),
    )


@asynccontextmanager
async def _cell(
    workers: int,
    down: DownTime = DEFAULT_DOWN_TIME,
    *,
    keeps_ids: bool = False,
) -> AsyncIterator[WorkerPool]:
    """Runs workers in racks. Crashed workers come back."""
    worker_pool = WorkerPool()
    for number in range(workers):
        listed = life(number, rack=f"r{number // _RACK_SIZE}")
        worker_pool.add(
            TaskWorkerStandin(listed, _plan, worker_pool.journal, seed=number)
        )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            Supervisor(worker_pool, _plan, down, keeps_ids=keeps_ids).run
        )
        yield worker_pool
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _owned_cell(
    workers: int, *, keeps_ids: bool = False
) -> AsyncIterator[tuple[Owner, WorkerPool]]:
    """Runs an owner with the workers of `_cell`."""
    async with _cell(workers, keeps_ids=keeps_ids) as worker_pool:
        async with running(make_owner(StoreStandin(), worker_pool, 1)) as owner:
            yield owner, worker_pool


def _states(owner: Owner, jobs: Sequence[str]) -> set[JobState | None]:
    return {owner.job_api.state(job).state for job in jobs}


async def _submit_stream(owner: Owner, count: int) -> list[str]:
    """Submits jobs of three tasks each, ten jobs a second."""
    jobs = [f"job{number}" for number in range(count)]
    for job in jobs:
        await owner.job_api.submit(job, QUEUE, chain(3, 1))
        await trio.sleep(0.1)
    return jobs


def _check_journal(worker_pool: WorkerPool) -> None:
    assert not find_crash_loops(worker_pool.journal)
    assert not find_overlapping_starts(worker_pool.journal)
    assert not find_starts_after_success(worker_pool.journal)


async def test_a_task_that_crashes_its_workers_is_given_up() -> None:
    await _simulate_one_crashing_task(keeps_ids=False)


async def test_a_task_whose_crashed_workers_keep_their_ids_is_given_up() -> (
    None
):
    await _simulate_one_crashing_task(keeps_ids=True)


def test_entries_of_crashed_workers_hide_no_crash_loop() -> None:
    """Half of the workers are down at any time, their old entries listed."""
    for seed in range(3):
        run_virtual(_simulate_small_cell, seed)


async def _simulate_small_cell() -> None:
    async with _owned_cell(12) as (owner, worker_pool):
        crashing = [f"crash-{number}" for number in range(6)]
        for job in crashing:
            await owner.job_api.submit(job, QUEUE, chain(3, 1))
        jobs = await _submit_stream(owner, 60)
        await trio.sleep(_ENDED_AFTER)
        _check_journal(worker_pool)
        assert _states(owner, crashing) == {JobState.FAILED}
        assert _states(owner, jobs) == {JobState.COMPLETED}
    crashes = Counter(
        e.task for e in worker_pool.journal if e.what == "crashed"
    )
    assert max(crashes.values()) <= 3, crashes


async def _simulate_one_crashing_task(*, keeps_ids: bool) -> None:
    async with _owned_cell(6, keeps_ids=keeps_ids) as (owner, worker_pool):
        await owner.job_api.submit("crash", QUEUE, chain(3, 2))
        jobs = await _submit_stream(owner, 100)
        await trio.sleep(_ENDED_AFTER)
        _check_journal(worker_pool)
        assert owner.job_api.state("crash").state is JobState.FAILED
        assert _states(owner, jobs) == {JobState.COMPLETED}
    assert all(
        e.task.step == 0 for e in worker_pool.journal if e.task.job == "crash"
    )


async def _simulate_storm(culprits: int, seed: int) -> None:
    """Simulates crashing tasks that start together while a rack goes down."""
    draw = random.Random(seed)
    async with _owned_cell(3 * _RACK_SIZE) as (owner, worker_pool):
        lasting = [f"{number}-lasting" for number in range(6)]
        for job in lasting:
            await owner.job_api.submit(job, QUEUE, spec(_LASTING))
        crashing = [f"crash-{number}" for number in range(culprits)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _crash_rack, worker_pool, draw.uniform(1.0, 9.0), draw
            )
            for job in crashing:
                nursery.start_soon(
                    owner.job_api.submit, job, QUEUE, chain(3, 1)
                )
            jobs = await _submit_stream(owner, 60)
        await trio.sleep(_ENDED_AFTER)
        _check_journal(worker_pool)
        assert _states(owner, crashing) == {JobState.FAILED}
        assert _states(owner, jobs) == {JobState.COMPLETED}
        assert _states(owner, lasting) == {JobState.RUNNING}
    crashes = Counter(
        e.task for e in worker_pool.journal if e.what == "crashed"
    )
    assert sum(crashes.values()) < 3 * culprits, crashes


async def _crash_rack(
    worker_pool: WorkerPool, after: float, draw: random.Random
) -> None:
    await trio.sleep(after)
    rack = f"r{draw.randrange(3)}"
    for worker in list(worker_pool.workers.values()):
        if worker.life.rack == rack and not worker.dead:
            worker.crash()
            worker.down = True


def test_bystanders_of_crashing_tasks_are_done() -> None:
    for seed, culprits in enumerate((1, 5, 20, 20)):
        run_virtual(lambda b=culprits, s=seed: _simulate_storm(b, s), seed)  # type: ignore[misc]


async def test_crashing_tasks_of_every_kind_are_given_up() -> None:
    gang = StepSpec(4, SMALL, 1.5, gang=True)
    timed = JobSpec("x", chain(2, 1).steps, 2, first_due=0.0, interval=1.0)
    kinds = {
        "crash-lasting": spec(_LASTING),
        "crash-gang": spec(gang),
        "crash-timed": timed,
        "crash-next": chain(2, 3),
    }
    async with _owned_cell(3 * _RACK_SIZE) as (owner, worker_pool):
        for job, asked in kinds.items():
            await owner.job_api.submit(job, QUEUE, asked)
        await trio.sleep(_ENDED_AFTER)
        states = {job: owner.job_api.state(job).state for job in kinds}
        assert set(states.values()) == {JobState.FAILED}, states
        assert not any(
            worker.committed.cpu for worker in worker_pool.workers.values()
        )
        _check_journal(worker_pool)


async def test_a_task_that_crashes_its_workers_late_is_given_up() -> None:
    async with _owned_cell(_RACK_SIZE) as (owner, worker_pool):
        await owner.job_api.submit("later", QUEUE, chain(3, 1))
        jobs = await _submit_stream(owner, 100)
        await trio.sleep(2 * _ENDED_AFTER)
        _check_journal(worker_pool)
        assert owner.job_api.state("later").state is JobState.FAILED
        assert _states(owner, jobs) == {JobState.COMPLETED}


async def test_workers_that_stay_down_for_long_hide_no_crash_loop() -> None:
    # The lease of each run lapses before its worker is known to be back.
    for least in (6.0, 8.0, 12.0, 20.0):
        async with _cell(12, DownTime(least, least + 1.0)) as worker_pool:
            async with running(
                make_owner(StoreStandin(), worker_pool, 1)
            ) as owner:
                await owner.job_api.submit("crash", QUEUE, chain(3, 1))
                await trio.sleep(150)
                _check_journal(worker_pool)
                state = owner.job_api.state("crash").state
                assert state is JobState.FAILED, least


async def test_crashes_are_counted_on_by_a_new_owner() -> None:
    store = StoreStandin()
    async with _cell(_RACK_SIZE) as worker_pool:
        for epoch in range(1, 12):
            owner = make_owner(store, worker_pool, epoch, former_quiet=False)
            async with running(owner):
                if epoch == 1:
                    await owner.job_api.submit("crash", QUEUE, chain(3, 1))
                # Some owners end before a crash is known, others after it.
                await trio.sleep(1.0 + 0.7 * epoch)
                state = owner.job_api.state("crash").state
        assert state is JobState.FAILED
        _check_journal(worker_pool)
        assert count(worker_pool.journal, "crashed") <= 5


def test_restarts_in_series_give_no_lasting_job_up() -> None:
    # Each lasting task is hit by many restarts, some soon after its start.
    for seed in (0, 5):
        run_virtual(lambda s=seed: _simulate_restarts(s), seed)  # type: ignore[misc]


async def _simulate_restarts(seed: int) -> None:
    draw = random.Random(seed)
    async with _owned_cell(24, keeps_ids=True) as (owner, worker_pool):
        lasting = [f"{number}-lasting" for number in range(8)]
        for job in lasting:
            await owner.job_api.submit(job, QUEUE, spec(_LASTING))
        crashing = [f"crash-{number}" for number in range(5)]
        for job in crashing:
            await owner.job_api.submit(job, QUEUE, chain(3, 1))
        ends_at = trio.current_time() + 60.0
        while trio.current_time() < ends_at:
            # Each worker restarts every 17 s on average.
            await trio.sleep(draw.expovariate(1.44))
            worker = draw.choice(list(worker_pool.workers.values()))
            if not worker.dead:
                worker.restart()
        await trio.sleep(_ENDED_AFTER)
        _check_journal(worker_pool)
        assert _states(owner, lasting) == {JobState.RUNNING}, seed
        assert _states(owner, crashing) == {JobState.FAILED}


async def test_no_task_waits_long_to_be_isolated() -> None:
    def busy(self: Worker, job: Job) -> bool:
        return False

    with mock.patch.object(Worker, "is_proven", busy):
        async with _owned_cell(2) as (owner, worker_pool):
            step = _LASTING._replace(width=1)
            await owner.job_api.submit("0-lasting", QUEUE, spec(step))
            await wait_until(lambda: _starts(worker_pool, "0-lasting") == 1)
            worker = worker_pool.workers[worker_pool.journal[0].worker]
            worker.crash()
            worker.restart()
            crashed_at = trio.current_time()
            await wait_until(
                lambda: _starts(worker_pool, "0-lasting") == 2, 5.0
            )
            # An earlier start would mean that it did not wait for isolation.
            assert trio.current_time() - crashed_at > 1.0


async def test_a_cleared_lasting_task_keeps_its_worker_no_longer() -> None:
    # Guards against lost tasks: once a lasting task has outlived its crashes,
    # other tasks may start beside it although it runs on.
    async with _owned_cell(2) as (owner, worker_pool):
        step = _LASTING._replace(width=1)
        await owner.job_api.submit("0-lasting", QUEUE, spec(step))
        await _crash_under(worker_pool, "0-lasting", run=1, lived=6.0)
        await _crash_under(worker_pool, "0-lasting", run=2, lived=0.1)
        await wait_until(lambda: _starts(worker_pool, "0-lasting") == 3)
        await trio.sleep(6.0)
        wide = _LASTING._replace(width=2, per_worker=1)
        await owner.job_api.submit("1-lasting", QUEUE, spec(wide))
        await wait_until(lambda: _starts(worker_pool, "1-lasting") == 2, 5.0)


async def _crash_under(
    worker_pool: WorkerPool, job: str, run: int, lived: float
) -> None:
    """Crashes the worker of a job's only task, which is up again at once."""
    await wait_until(lambda: _starts(worker_pool, job) == run)
    await trio.sleep(lived)
    newest = [e for e in worker_pool.journal if e.what == "start"][-1]
    worker = worker_pool.workers[newest.worker]
    worker.crash()
    worker.restart()


def test_an_isolated_task_looks_at_a_few_workers_of_a_large_cell() -> None:
    step = make_step("job", StepSpec(1, SMALL))
    workers = [make_worker(life(number), number) for number in range(350)]
    with mock.patch.object(
        Worker, "is_proven", return_value=False
    ) as is_proven:
        assert not Isolation().find(step.tasks[0], workers, 0.0)
    assert is_proven.call_count <= 32


def _starts(worker_pool: WorkerPool, job: str) -> int:
    return sum(
        e.what == "start" and e.task.job == job for e in worker_pool.journal
    )


async def test_a_worker_that_is_cut_off_or_leaves_is_no_crash() -> None:
    store = StoreStandin()
    async with _cell(4) as worker_pool:
        owner = make_owner(store, worker_pool, 1, vm="a")
        async with running(owner):
            await owner.job_api.submit("0-lasting", QUEUE, spec(_LASTING))
            await wait_until(lambda: count(worker_pool.journal, "start") == 6)
            cut = worker_pool.journal[0].worker
            worker_pool.cut["a"].add(cut)
            await wait_until(lambda: count(worker_pool.journal, "lapsed") > 0)
            worker_pool.cut["a"].clear()
            await trio.sleep(3)
            leaving = next(
                w for w in worker_pool.workers.values() if w.committed.cpu
            )
            leaving.life = leaving.life._replace(draining=True, remaining=0.1)
            await trio.sleep(0.6)
            leaving.crash()
            leaving.down = True
            await trio.sleep(6)
    page = await store.client("b").newest("jobs", 1.0)
    assert not [r for r in page.records if r.key[:1] == CRASHES]


async def test_a_worker_that_two_parts_give_up_crashes_once() -> None:
    # The directory lists the VM's next life while a call to the former life is
    # in flight, and the next life answers that call.
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobRegistry(ledger, 0.0)
    parts = make_owner_context(book, ledger, lambda *_: None, lambda _: None)
    keeper = LeaseKeeper(make_worker(life(1), 1), parts, mock.Mock())
    before = decisions.counts()["worker_crashed"]
    keeper.end_life("its machine has another life", replaced=True)
    keeper.end_life("another life answers at its address", replaced=True)
    assert decisions.counts()["worker_crashed"] == before + 1


def _crash(run: int) -> Crash:
    return Crash(run, lived=0.0, sure=True, isolated=False)


def test_only_a_crash_on_trial_gives_up_early() -> None:
    once = NO_CRASHES.after(_crash(1))
    assert once.needs_isolation and not once.gives_up(_crash(1), lasting=False)
    alone = _crash(2)._replace(isolated=True)
    twice = once.after(alone)
    assert twice.gives_up(alone, lasting=False)
    outage = alone._replace(in_outage=True)
    assert not twice.gives_up(outage, lasting=False)
    assert not twice.gives_up(_crash(2), lasting=False)


def test_what_lasts_is_given_up_a_crash_later() -> None:
    history, given_up = NO_CRASHES, []
    for number in range(1, 4):
        crash = _crash(number)._replace(isolated=True)
        history = history.after(crash)
        given_up.append(history.gives_up(crash, lasting=True))
    assert given_up == [False, False, True]


def test_a_run_that_may_not_have_begun_gives_up_later() -> None:
    history, given_up = NO_CRASHES, []
    for number in range(1, 5):
        crash = Crash(number, lived=0.0, sure=False, isolated=True)
        history = history.after(crash)
        given_up.append(history.gives_up(crash, lasting=False))
    assert given_up == [False, False, False, True]


def test_what_may_crash_a_third_worker_waits_longer_to_be_isolated() -> None:
    once = NO_CRASHES.after(_crash(1))
    twice = once.after(_crash(2))
    for lasting in (False, True):
        assert once.max_isolation_wait(lasting=lasting) < 6.0
    # When many workers crash at once, all idle ones are reserved for others.
    assert twice.max_isolation_wait(lasting=False) > 6.0
    # Users count a lasting task as lost after being down for that long.
    assert twice.max_isolation_wait(lasting=True) < 6.0
    # Its last run lived past its start.
    lived = twice.after(_crash(3)._replace(lived=STARTUP_CRASH_WINDOW))
    assert lived.max_isolation_wait(lasting=False) < 6.0


def test_a_run_that_only_seems_to_have_lived_explains_no_crash_loop() -> None:
    # A new owner infers the lifetime of a run, and the task was started again.
    history = CrashHistory(
        crashes=5, early=2, survived=STARTUP_CRASH_WINDOW, run=5
    )
    crash = Crash(5, lived=0.0, sure=False, isolated=True, hazard=0.5)
    assert history.gives_up(crash, lasting=False)


def test_crashes_that_others_explain_give_nothing_up() -> None:
    # Lifetimes as observed of a lasting task while workers restart every 20 s.
    crash = Crash(0, lived=0.0, sure=False, isolated=True, hazard=0.05)
    history = NO_CRASHES
    for number, lived in enumerate((2.7, 1.5, 2.8, 1.3, 2.0), 1):
        crash = crash._replace(run=number, lived=lived)
        history = history.after(crash, lasting=True)
        assert not history.gives_up(crash, lasting=True)
    # When hardly any other worker ends, the task is the cause.
    assert history.gives_up(crash._replace(hazard=0.0004), lasting=True)
    # Crashes right at the start are blamed on the task, however many other
    # workers end.
    history = NO_CRASHES
    for number in range(1, 6):
        crash = crash._replace(run=number, lived=0.0)
        history = history.after(crash, lasting=True)
    assert history.gives_up(crash, lasting=True)


def test_a_run_that_meets_several_ends_counts_once() -> None:
    once = NO_CRASHES.after(_crash(1))
    assert once.after(_crash(1)) is once


def test_a_run_that_lived_clears_its_task() -> None:
    twice = NO_CRASHES.after(_crash(1)).after(_crash(2))
    assert not twice.after_isolation().needs_isolation
    assert not twice.after(_crash(3)._replace(lived=STARTUP_CRASH_WINDOW)).early
    settled = twice.after(_crash(3)._replace(lived=CRASHES_CLEARED_AFTER))
    assert settled.crashes == 1 and not settled.needs_isolation
    lived = _crash(3)._replace(lived=4.0)
    assert twice.after(lived).crashes == 3
    assert twice.after(lived, lasting=True).crashes == 1


def test_a_few_crashes_elsewhere_are_no_outage() -> None:
    # Workers of a rack that end together count as one event.
    rack = [5.0 + 0.05 * number for number in range(8)]
    assert not is_outage(rack, 33)
    assert is_outage([1.0, *rack], 33)
    assert not is_outage([1.0, 3.0, *rack], 350)
    spread = [0.5 * number for number in range(20)]
    assert is_outage(spread, 350) and not is_outage(spread, 500)
    assert not is_outage([], 4) and is_outage(rack, 4)


def test_a_job_that_was_cleared_leaves_no_record() -> None:
    job = make_step("job", StepSpec(1, SMALL)).job
    task = next(job.tasks())
    task.crash_history = NO_CRASHES.after(_crash(1))
    assert encode_crashes(job) is not None
    task.crash_history = NO_CRASHES
    assert encode_crashes(job) is None
