"""Tests a job's incremental counts against a recount of all its tasks."""

import random

import msgspec

from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import Ledger
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.spec import JobSpec, StepSpec
from pimentocross.work.state import Job, JobState, Run, Step, Task
from tests.owner_fixtures import QUEUE, SMALL

_SEEDS = 60
_CHANGES = 120


async def test_counts_of_a_job_are_those_of_its_tasks() -> None:
    ended: set[JobState] = set()
    for seed in range(_SEEDS):
        draw = random.Random(seed)
        registry = JobRegistry(
            Ledger(StoreStandin().client("a"), "jobs", "o", 1), 1.0
        )
        job = Job("j", QUEUE, _spec(draw), 0.0)
        registry.restore(job)
        # Opens all occurrences.
        registry.ready_steps(1e12)
        for _ in range(_CHANGES):
            _change(draw, draw.choice(list(job.tasks())))
            expected = _expected_state(job)
            registry.changed(job)
            assert job.state is expected, seed
            assert set(registry.ready_steps(1e12)) == _expected_open(job), seed
            _check_record(job)
            if job.ended:
                break
        ended.add(job.state)
    assert ended >= {JobState.COMPLETED, JobState.FAILED}, ended


def _spec(draw: random.Random) -> JobSpec:
    steps = [
        StepSpec(
            draw.randint(1, 4),
            SMALL,
            after=tuple(n for n in range(number) if draw.random() < 0.5),
            gang=draw.random() < 0.2,
            lasting=draw.random() < 0.1,
        )
        for number in range(draw.randint(1, 4))
    ]
    return JobSpec("", tuple(steps), draw.choice([0, 1, 3]), 0.0, 1.0)


def _change(draw: random.Random, task: Task) -> None:
    """Changes a task in one of the ways in which owners change tasks."""
    number = task.last_run + 1
    chance = draw.random()
    if chance < 0.4:
        task.add_run(Run(number, 7))
    elif chance < 0.5 and task.runs:
        # A known run is listed again.
        task.add_run(Run(max(task.runs), 8))
    elif chance < 0.6:
        task.note_checkpoint(f"saved {number}")
    elif chance < 0.9 and task.runs:
        task.drop_run(min(task.runs))
        if chance < 0.75:
            task.finish()
        elif chance < 0.85:
            task.failures += 1
    else:
        task.drop_run(number + 1)


def _steps(job: Job) -> list[Step]:
    return [step for o in job.occurrences.values() for step in o.steps]


def _expected_state(job: Job) -> JobState:
    """Returns the state of a job, computed from all its tasks."""
    for step in _steps(job):
        failures = [t.failures for t in step.tasks if not t.done]
        most = sum(failures) if step.spec.gang else max(failures, default=0)
        if most >= QUEUE.attempts and not step.spec.lasting:
            return JobState.FAILED
    if all(task.done for task in job.tasks()):
        return JobState.COMPLETED
    if job.closed or any(task.last_run for task in job.tasks()):
        return JobState.RUNNING
    return JobState.QUEUED


def _expected_open(job: Job) -> set[Step]:
    if job.ended:
        return set()
    return {
        step
        for step in _steps(job)
        if any(task.waiting for task in step.tasks)
        and all(
            task.done
            for before in step.spec.after
            for task in step.occurrence.steps[before].tasks
        )
    }


def _check_record(job: Job) -> None:
    """Checks that a job's record restores the state of its tasks."""
    value = records.encode_progress(job)
    again = Job("j", QUEUE, job.spec, 0.0)
    records.decode_progress(again, value)
    assert again.state is job.state
    if job.ended and not any(task.runs for task in job.tasks()):
        assert msgspec.msgpack.decode(value)[3] == []
        return
    assert again.closed.ranges() == job.closed.ranges()
    again.open_due(1e12)
    others = {task.name: task for task in again.tasks()}
    assert others.keys() == {task.name for task in job.tasks()}
    for mine in job.tasks():
        other = others[mine.name]
        assert other.done == mine.done
        assert bool(other.last_run) == bool(mine.last_run)
        assert set(other.runs) == set(mine.runs)
        if mine.runs or not mine.done:
            assert other.failures == mine.failures
            assert other.last_run == mine.last_run
            if mine.last_run:
                assert other.checkpoint == mine.checkpoint
    assert records.encode_progress(again) == value
    assert again.started == job.started
