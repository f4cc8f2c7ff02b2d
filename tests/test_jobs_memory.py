"""Tests that the jobs of a cell fit into the memory of any owner."""

from contextlib import suppress
import gc
import tracemalloc
from unittest import mock
import weakref

import trio

from pimentocross.gateway.intake import DurableIntake
from pimentocross.gateway.messages import (
    GatewayMessage,
    JobAnswer,
    SubmitJob,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.owner import const, wall
from pimentocross.owner.intake import TOPIC
from pimentocross.owner.job_api import Outcome
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import Ledger
from pimentocross.standins.store import StoreStandin
from pimentocross.work.limits import INTAKE_MEMORY, JOBS_MEMORY, job_memory
from pimentocross.work.spec import JobSpec, StepSpec
from pimentocross.work.state import Job, Run
from tests.gateway_fixtures import FixedConfig
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    SMALL,
    chain,
    make_owner,
    make_worker_pool,
    running,
    spec,
)
from tests.test_intake import ABSENT, NoPeers, OwnerFake

# VMs that share what is stored without an owner, and a job of many tasks.
_VMS = 4
_WIDE = spec(StepSpec(1_000, SMALL))


def _intake_without_owner(store: StoreStandin) -> DurableIntake:
    owner = OwnerFake(ABSENT)
    return DurableIntake(
        owner,
        owner.silence,
        FixedConfig(CONFIG, current=True),
        store.client("vm"),
        NoPeers(),
        lambda: _VMS,
    )


async def test_jobs_beyond_the_memory_of_an_owner_are_refused() -> None:
    # Jobs that were accepted took each owner in turn over its memory.
    store, worker_pool = StoreStandin(), make_worker_pool(1)
    wide = JobSpec("s", (StepSpec(4_000, SMALL),), 10, 1e9, 1.0)
    count = JOBS_MEMORY // job_memory(wide)
    with mock.patch.object(wall, "now", trio.current_time):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            for number in range(count):
                reply = await owner.job_api.submit(f"j{number}", QUEUE, wide)
                assert reply.outcome is Outcome.OK
            refused = await owner.job_api.submit("more", QUEUE, wide)
            assert refused.outcome is Outcome.FULL
            assert refused.retry_after == const.MEMORY_RETRY_DELAY
            assert not owner.job_api.knows("more")
        async with running(make_owner(store, worker_pool, 2)) as owner:
            refused = await owner.job_api.submit("more", QUEUE, wide)
            assert refused.outcome is Outcome.FULL
            await owner.job_api.cancel("j0")
            taken = await owner.job_api.submit("more", QUEUE, wide)
            assert taken.outcome is Outcome.OK


async def test_vms_store_no_more_without_an_owner_than_the_next_can_hold() -> (
    None
):
    store = StoreStandin()
    intake = _intake_without_owner(store)
    share = INTAKE_MEMORY // _VMS // job_memory(_WIDE)
    replies: list[GatewayMessage] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(intake.run)
        for number in range(share + 3):
            message = SubmitJob(f"j{number}", QUEUE, _WIDE)
            with suppress(PeerUnreachableError):
                replies.append(await intake.ask_owner(message, 2.0))
        nursery.cancel_scope.cancel()
    accepted = [
        reply
        for reply in replies
        if isinstance(reply, JobAnswer) and reply.outcome is Outcome.OK
    ]
    assert len(accepted) == share, len(accepted)
    assert len(store.topic(TOPIC).records) == share


async def test_a_job_that_could_not_be_stored_takes_no_share() -> None:
    store = StoreStandin()
    intake = _intake_without_owner(store)
    share = INTAKE_MEMORY // _VMS // job_memory(_WIDE)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(intake.run)
        store.faults.refused.add("vm")
        for number in range(share + 3):
            with suppress(PeerUnreachableError):
                await intake.ask_owner(SubmitJob(f"a{number}", QUEUE, _WIDE), 2)
        store.faults.refused.clear()
        await trio.sleep(1.0)
        reply = await intake.ask_owner(SubmitJob("b", QUEUE, _WIDE), 2.0)
        nursery.cancel_scope.cancel()
    assert isinstance(reply, JobAnswer) and reply.outcome is Outcome.OK


def test_jobs_that_were_cancelled_before_they_are_due_are_forgotten() -> None:
    # The list of due times kept them, their payloads included.
    ledger = Ledger(StoreStandin().client("a"), "jobs", "o", 1)
    registry = JobRegistry(ledger, 0.0)
    scheduled = JobSpec("s" * 1_000, chain(1, 1).steps, 5, 1e15, 60.0)
    jobs = []
    for number in range(200):
        job = Job(f"j{number}", QUEUE, scheduled, 0.0)
        registry.restore(job)
        registry.cancel(job)
        job.recorded_state = job.state
        jobs.append(weakref.ref(job))
        del job
    with mock.patch.object(wall, "now", lambda: 1e12):
        registry.sweep()
    assert not len(registry) and not registry.memory
    # What waits for its append may still refer to jobs.
    ledger._open_batch.items.clear()
    gc.collect()
    assert not any(job() for job in jobs)
    assert not registry._schedule


def test_the_memory_of_a_job_is_not_underestimated() -> None:
    for job_spec in (
        chain(8, 2),
        spec(StepSpec(1, SMALL)),
        JobSpec("s", chain(8, 2).steps, 1_440, 0.0, 1.0),
        JobSpec("s" * 10_000, chain(2, 2).steps),
    ):
        tracemalloc.start()
        jobs = []
        for number in range(20):
            job = Job(
                f"{number:016x}", QUEUE, job_spec._replace(payload=""), 0.0
            )
            job.spec = job_spec._replace(payload=job_spec.payload + str(number))
            job.open_due(1e12)
            for task in job.tasks():
                task.add_run(Run(1, 0))
            jobs.append(job)
        used = tracemalloc.get_traced_memory()[0] / len(jobs)
        tracemalloc.stop()
        assert used <= job_memory(job_spec), (used, job_spec)
