"""The owner of a cell honours the requirements of steps."""

from collections.abc import Sequence
from unittest import mock

import trio

from pimentocross.contracts.adviser import (
    Advice,
    AdviserUnavailableError,
    StepName,
)
from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner import wall
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.work.spec import (
    JobSpec,
    SpecError,
    StepSpec,
    check_spec,
)
from pimentocross.work.state import JobState
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    SMALL,
    chain,
    count,
    life,
    make_owner,
    make_worker_pool,
    quick,
    running,
    spec,
    wait_until,
)


def _ended(owner: object, job: str) -> bool:
    return owner.job_api.state(job).state in (  # type: ignore[attr-defined]
        JobState.COMPLETED,
        JobState.FAILED,
    )


async def test_a_task_that_lasts_is_started_again_however_it_ends() -> None:
    store = StoreStandin()
    worker_pool = make_worker_pool(
        plan=lambda _: TaskPlan(2.0, SMALL, fails=True)
    )
    step = StepSpec(2, SMALL, lasting=True)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("w1", QUEUE, spec(step))
        await wait_until(lambda: count(worker_pool.journal, "start") >= 10)
        assert owner.job_api.state("w1").state is JobState.RUNNING


async def test_room_kept_for_short_work_does_not_hold_lasting_tasks_long() -> (
    None
):
    # A watch that had failed waited 40 s for capacity that was free, but kept
    # for short tasks.
    store = StoreStandin()
    worker_pool = make_worker_pool(
        2,
        plan=lambda name: TaskPlan(
            0.2 if name.job == "short" else RUNS_FOREVER, SMALL
        ),
    )
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("short", QUEUE, chain(4, 1))
        await wait_until(lambda: _ended(owner, "short"))
        many = StepSpec(14, SMALL, lasting=True)
        await owner.job_api.submit("w1", QUEUE, spec(many))
        await wait_until(lambda: count(worker_pool.journal, "start") == 4 + 14)
        await owner.job_api.submit("w2", QUEUE, spec(many._replace(width=2)))
        asked_at = trio.current_time()
        await wait_until(lambda: count(worker_pool.journal, "start") == 4 + 16)
        assert 2.0 < trio.current_time() - asked_at < 4.0


class _Adviser:
    """Issues tickets for two workers only; a ticket is valid for 2 s."""

    def __init__(self, *, failing: int = 0) -> None:
        self.calls = 0
        self.at_once = 0
        self._failing = failing

    async def advise(
        self, step: StepName, workers: Sequence[str], timeout: float
    ) -> Advice:
        assert self.at_once == 0
        self.at_once += 1
        self.calls += 1
        await trio.sleep(0.1)
        self.at_once -= 1
        if self.calls <= self._failing:
            raise AdviserUnavailableError("status 429")
        allowed = {"w1-0", "w3-0"} & set(workers)
        return Advice({w: f"{step.job}-{w}" for w in allowed}, 2.0)


async def test_a_step_runs_only_where_its_adviser_lets_it() -> None:
    store = StoreStandin()
    worker_pool = make_worker_pool(5, plan=lambda _: TaskPlan(0.5, SMALL))
    queue = QUEUE._replace(asks_adviser=True)
    config = CONFIG._replace(queues=(queue,))
    adviser = _Adviser(failing=2)
    owner = make_owner(store, worker_pool, 1, config=config, adviser=adviser)
    async with running(owner):
        await owner.job_api.submit("j1", queue, chain(12, 2))
        await wait_until(lambda: _ended(owner, "j1"))
    assert {e.worker for e in worker_pool.journal} == {"w1-0", "w3-0"}
    assert adviser.calls <= 6, adviser.calls


async def test_each_occurrence_runs_at_its_time() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    timed = JobSpec("x", chain(2, 1).steps, 3, first_due=5.0, interval=4.0)
    with mock.patch.object(wall, "now", trio.current_time):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            await owner.job_api.submit("j1", QUEUE, timed)
            await wait_until(lambda: _ended(owner, "j1"))
    starts = sorted(e.at for e in worker_pool.journal if e.what == "start")
    assert len(starts) == 6
    for number, at in enumerate(starts):
        due = 5.0 + 4.0 * (number // 2)
        assert due <= at < due + 0.5, starts


async def test_a_successor_keeps_the_times_of_occurrences() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    timed = JobSpec("x", chain(1, 1).steps, 2, first_due=1.0, interval=5.0)
    with mock.patch.object(wall, "now", trio.current_time):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            await owner.job_api.submit("j1", QUEUE, timed)
            await trio.sleep(3)
        async with running(make_owner(store, worker_pool, 2, vm="b")) as owner:
            await wait_until(lambda: _ended(owner, "j1"))
    assert count(worker_pool.journal, "start") == 2


def test_a_job_of_too_many_tasks_is_refused_by_its_number() -> None:
    step = StepSpec(60_000, SMALL)
    try:
        check_spec(spec(step, step))
    except SpecError as error:
        assert "120000 tasks" in error.findings[0]
    else:
        raise AssertionError("120,000 tasks were taken")


async def test_a_gang_starts_whole_or_not_at_all() -> None:
    store = StoreStandin()
    # Two workers of 8 cores have capacity for 16 of these 20 members.
    worker_pool = make_worker_pool(2, plan=lambda _: TaskPlan(1.0, SMALL))
    wide = StepSpec(20, SMALL, 1.0, gang=True)
    fits = StepSpec(12, SMALL, 1.0, gang=True)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("wide", QUEUE, spec(wide))
        await owner.job_api.submit("fits", QUEUE, spec(fits))
        await wait_until(lambda: _ended(owner, "fits"))
        assert owner.job_api.state("wide").state is JobState.QUEUED
    assert count(worker_pool.journal, "start") == 12


async def test_no_more_tasks_of_a_step_share_a_worker_than_allowed() -> None:
    store = StoreStandin()
    worker_pool = make_worker_pool(
        3, plan=lambda _: TaskPlan(RUNS_FOREVER, SMALL)
    )
    step = StepSpec(9, SMALL, lasting=True, per_worker=2)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("w1", QUEUE, spec(step))
        await trio.sleep(2)
    per_worker: dict[str, int] = {}
    for event in worker_pool.journal:
        per_worker[event.worker] = per_worker.get(event.worker, 0) + 1
    assert per_worker == {"w0-0": 2, "w1-0": 2, "w2-0": 2}


async def test_a_step_runs_only_where_its_label_is() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2)
    other_labels_life = life(9)._replace(labels=("other", "r2"))
    worker_pool.add(
        TaskWorkerStandin(other_labels_life, quick, worker_pool.journal)
    )
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit(
            "j1", QUEUE, spec(StepSpec(4, SMALL, label="other"))
        )
        await wait_until(lambda: _ended(owner, "j1"))
    assert {e.worker for e in worker_pool.journal} == {"w9-0"}


async def test_a_draining_worker_gets_nothing_and_gives_what_lasts_away() -> (
    None
):
    store = StoreStandin()
    worker_pool = make_worker_pool(
        2, plan=lambda _: TaskPlan(RUNS_FOREVER, SMALL)
    )
    step = StepSpec(4, SMALL, lasting=True)
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await owner.job_api.submit("w1", QUEUE, spec(step))
        await wait_until(lambda: count(worker_pool.journal, "start") == 4)
        victim = worker_pool.journal[0].worker
        _drain(worker_pool.workers[victim])
        drained_at = trio.current_time()
        moved = sum(e.worker == victim for e in worker_pool.journal)
        await wait_until(
            lambda: count(worker_pool.journal, "start") == 4 + moved
        )
        assert trio.current_time() - drained_at < 2.0
        later = [e for e in worker_pool.journal if e.at > drained_at + 0.6]
        assert all(e.worker != victim for e in later if e.what == "start")


def _drain(worker: TaskWorkerStandin) -> None:
    left: WorkerLife = worker.life._replace(draining=True, remaining=2.0)
    worker.life = left
