"""Tests that jobs whose records the store doesn't take are refused."""

import random

from pimentocross.links.http_pool import HttpPool
from pimentocross.work import records
from pimentocross.work.limits import (
    DEFAULT_RECORD_BYTES,
    MAX_CHECKPOINT_BYTES,
    check_records,
)
from pimentocross.work.records import submission_bytes
from pimentocross.work.spec import JobSpec, SpecError, StepSpec
from pimentocross.work.state import Job, Run
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    spec,
)
from tests.platform_fixtures import (
    PREFIX,
    loopback_platform,
    running_node,
    wait_until_ready,
)
from tests.test_http import real_time

_LARGEST = 2**31 - 1


def _is_refused(job: JobSpec) -> bool:
    try:
        check_records(
            job, submission_bytes("j", QUEUE, job), DEFAULT_RECORD_BYTES
        )
    except SpecError:
        return True
    return False


def _fill(job: Job) -> None:
    """Brings a job into a state whose record is as long as it can be."""
    draw = random.Random(1)
    job.open_due(1e15)
    for number in list(job.occurrences)[::2]:
        for step in job.occurrences[number].steps:
            for task in step.tasks:
                task.add_run(Run(1, 0))
                task.drop_run(1)
                task.finish()
    job.close_done()
    job.open_due(1e15)
    for task in job.tasks():
        for number in (_LARGEST, _LARGEST - 1):
            task.add_run(Run(number, _LARGEST))
        task.failures = 65_535
        if task.step.spec.saves:
            task.checkpoint = draw.randbytes(MAX_CHECKPOINT_BYTES // 2).hex()


def test_what_is_accepted_fits_into_records_whatever_becomes_of_it() -> None:
    # A record that the store refuses was repeated for ever, and all records of
    # the cell waited behind it.
    accepted = 0
    draw = random.Random(2)
    for _ in range(150):
        width = draw.choice((1, 8, 36, 500, 1_500, 3_000, 6_000, 11_000))
        steps = tuple(
            StepSpec(width, SMALL, saves=draw.random() < 0.5)
            for _ in range(draw.choice((1, 2, 5)))
        )
        repeats = draw.choice((0, 0, 3, 200))
        job_spec = JobSpec("s" * 100, steps, repeats, 0.0, 1.0)
        if _is_refused(job_spec):
            continue
        accepted += 1
        job = Job("j" * 250, QUEUE, job_spec, 0.0)
        _fill(job)
        value = records.encode_progress(job)
        assert len(value) + 252 <= DEFAULT_RECORD_BYTES, (job_spec, len(value))
    assert accepted > 30


def test_too_many_tasks_that_save_are_refused() -> None:
    saving = StepSpec(11_000, SMALL, saves=True)
    assert _is_refused(spec(saving))
    assert not _is_refused(spec(saving._replace(width=1_000)))
    assert not _is_refused(spec(saving._replace(width=5_000, saves=False)))


def test_a_payload_or_steps_beyond_a_record_are_refused() -> None:
    assert _is_refused(JobSpec("x" * DEFAULT_RECORD_BYTES, chain().steps))
    assert _is_refused(spec(*[StepSpec(1, SMALL)] * 20_000))


def test_a_checkpoint_beyond_the_limit_is_not_recorded() -> None:
    job = Job("j", QUEUE, spec(StepSpec(1, SMALL, saves=True)), 0.0)
    (task,) = job.tasks()
    task.checkpoint = "a"
    for long in ("b" * (MAX_CHECKPOINT_BYTES + 1), "é" * MAX_CHECKPOINT_BYTES):
        task.checkpoint = long
        assert task.checkpoint == "a"


@real_time
async def test_a_caller_is_told_at_once_what_can_not_be_stored() -> None:
    async with loopback_platform(1) as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            pool = HttpPool(values["listen_addrs.frontend"])
            for body in (
                b'{"job_steps":[{"count":11000,"checkpointing":true}]}',
                b'{"job_steps":[%s]}' % b",".join([b"{}"] * 20_000),
            ):
                reply = await pool.call("POST", f"{PREFIX}j", body, 3.0)
                assert reply.status == 400 and b"at most" in reply.body, reply
