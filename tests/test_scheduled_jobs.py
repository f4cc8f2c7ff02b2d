"""Tests what jobs with many occurrences take of memory, time and the store."""

from collections import Counter
import random
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
import trio

from pimentocross.owner import wall
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import Ledger
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.limits import MAX_OPEN_TASKS
from pimentocross.work.number_ranges import NumberRanges
from pimentocross.work.spec import JobSpec, StepSpec
from pimentocross.work.state import Job, JobState, Run
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    find_overlapping_starts,
    find_starts_after_success,
    make_owner,
    make_worker_pool,
    running,
    wait_until,
)

_JOBS = 24
_STEPS = chain(8, 2).steps
_REPEATS = 1_440
_DUE = 3_600.0


def _registry() -> JobRegistry:
    return JobRegistry(Ledger(StoreStandin().client("a"), "jobs", "o", 1), 1.0)


def _run_all(job: Job) -> None:
    """Completes all open tasks of a job."""
    for task in list(job.tasks()):
        task.add_run(Run(task.last_run + 1, 0))
        task.note_has_run()
        task.drop_run(task.last_run)
        task.finish()


def test_occurrences_that_are_not_due_take_no_memory() -> None:
    # 24 jobs of 1,440 occurrences took each owner in turn over its memory.
    registry = _registry()
    scheduled = JobSpec("s", _STEPS, _REPEATS, _DUE, 60.0)
    for number in range(_JOBS):
        job = Job(f"j{number}", QUEUE, scheduled, 0.0)
        again = records.decode_submission(
            job.id, records.encode_submission(job)
        )
        registry.restore(again)
    assert not registry.ready_steps(_DUE - 1)
    assert not sum(1 for job in registry.jobs() for _ in job.tasks())
    assert len(registry.ready_steps(_DUE)) == _JOBS
    tasks = sum(1 for job in registry.jobs() for _ in job.tasks())
    assert tasks == _JOBS * 16, tasks


def test_many_occurrences_that_are_due_are_opened_a_few_at_a_time() -> None:
    # An owner that opened 28,800 at once spent seconds in each pass, and was
    # replaced again and again.
    registry = _registry()
    steps = chain(1, 2).steps
    job = Job("j", QUEUE, JobSpec("s", steps, 28_800, 0.0, 60.0), 0.0)
    registry.restore(job)
    done = 0
    while not job.ended:
        registry.ready_steps(1e9)
        open_tasks = sum(1 for _ in job.tasks())
        assert 0 < open_tasks <= MAX_OPEN_TASKS
        _run_all(job)
        registry.changed(job)
        done += open_tasks
    assert job.state is JobState.COMPLETED
    assert done == 28_800 * 2


def test_a_record_of_many_done_occurrences_stays_short() -> None:
    registry = _registry()
    draw = random.Random(1)
    job = Job("j", QUEUE, JobSpec("s", _STEPS, 20_000, 0.0, 1.0), 0.0)
    registry.restore(job)
    for _ in range(150):
        registry.ready_steps(1e9)
        for occurrence in draw.sample(list(job.occurrences.values()), 40):
            for step in occurrence.steps:
                for task in step.tasks:
                    task.add_run(Run(1, 0))
                    task.drop_run(1)
                    task.finish()
        registry.changed(job)
    value = records.encode_progress(job)
    assert len(job.closed) == 6_000
    assert len(value) < 4_096, len(value)
    again = Job("j", QUEUE, job.spec, 0.0)
    records.decode_progress(again, value)
    assert again.closed.ranges() == job.closed.ranges()
    assert again.started and again.state is JobState.RUNNING
    opened = [o.number for o in again.open_due(1e9)]
    assert not [number for number in opened if number in job.closed]


async def test_each_occurrence_runs_once_across_owners() -> None:
    # More are due at first than may be open at once.
    store, worker_pool = StoreStandin(), make_worker_pool(8)
    width, repeats = 16, 100
    timed = JobSpec("x", (StepSpec(width, SMALL, 0.5),), repeats, -1e6, 1.0)
    with mock.patch.object(wall, "now", trio.current_time):
        for epoch in range(1, 30):
            owner = make_owner(store, worker_pool, epoch)
            async with running(owner):
                await owner.job_api.submit("j", QUEUE, timed)
                with trio.move_on_after(3.0):
                    await wait_until(
                        lambda owner=owner: (  # type: ignore[misc]
                            owner.job_api.state("j").state is JobState.COMPLETED
                        )
                    )
                    break
        else:
            raise AssertionError("the job didn't complete")
    assert epoch > 3
    assert not find_overlapping_starts(worker_pool.journal)
    assert not find_starts_after_success(worker_pool.journal)
    done = Counter(e.task for e in worker_pool.journal if e.what == "done")
    assert len(done) == width * repeats


@settings(deadline=None)
@given(st.lists(st.integers(0, 30)))
def test_ranges_hold_the_numbers_that_were_added(numbers: list[int]) -> None:
    ranges = NumberRanges()
    for number in numbers:
        ranges.add(number)
    assert list(ranges) == sorted(set(numbers))
    assert len(ranges) == len(set(numbers))
    assert [n for n in range(31) if n in ranges] == sorted(set(numbers))
    for number in range(31):
        gap = ranges.next_gap(number)
        assert gap not in ranges
        assert all(n in ranges for n in range(number, gap))
    again = NumberRanges(ranges.ranges())
    assert again.ranges() == ranges.ranges()
    gaps = zip(ranges.ranges(), ranges.ranges()[1:], strict=False)
    assert all(last + 1 < first for (_, last), (first, _) in gaps)
