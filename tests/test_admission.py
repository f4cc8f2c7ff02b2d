"""Tests that only jobs that would certainly end too late are refused."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from pimentocross.gateway.caller_requests import (
    Answer,
    AnswerKind,
    CallerRequestHandler,
)
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    FullAnswer,
    GatewayMessage,
    JobAnswer,
    job_answer,
)
from pimentocross.links.asgi import HttpRequest
from pimentocross.observe import meters
from pimentocross.owner.job_api import JobReply, Outcome
from pimentocross.owner.owner import Owner
from pimentocross.placement.forecast import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    REFUSAL_FACTOR,
    FinishRate,
    Load,
    RecentCapacity,
    is_too_late,
    retry_after,
)
from pimentocross.platform.callers import CallerHandler
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState
from tests.gateway_fixtures import FixedConfig
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    chain,
    make_owner,
    make_worker_pool,
    running,
)

# In time within 9 s, useful within 27 s.
_LOAD = Load(0.0, 100.0, 120.0, 4.0, 9.0)
_LATER = QUEUE._replace(name="later", prefix="/later/", priority=1)
_ENDLESS = QUEUE._replace(
    name="endless", prefix="/endless/", priority=1, slack=0.0, target_latency=0
)
_CONFIG = CONFIG._replace(queues=(QUEUE, _LATER, _ENDLESS))


def test_only_what_is_far_beyond_use_is_refused() -> None:
    max_ahead = (REFUSAL_FACTOR * _LOAD.use - _LOAD.own) * _LOAD.room
    assert not is_too_late(_LOAD)
    assert not is_too_late(_LOAD._replace(ahead=max_ahead - 1))
    assert is_too_late(_LOAD._replace(ahead=max_ahead + 1))
    # Without any capacity there is no estimate.
    assert not is_too_late(_LOAD._replace(ahead=max_ahead + 1, room=0.0))
    # The job is late even with no work ahead: a retry wouldn't help.
    assert not is_too_late(_LOAD._replace(ahead=max_ahead + 1, chain=30.0))


def test_callers_come_back_once_there_is_room_and_not_all_at_once() -> None:
    load = _LOAD._replace(ahead=1500.0)
    times = [retry_after(load, f"job{n}") for n in range(200)]
    assert min(times) >= load.wait + load.own - load.objective
    tenths = {int(10 * (t - min(times)) / 10) for t in times}
    assert len(tenths) >= 9
    assert retry_after(_LOAD, "job") == MIN_RETRY_SECONDS
    assert retry_after(_LOAD._replace(ahead=1e6), "job") == MAX_RETRY_SECONDS


def test_room_and_rate_are_known_after_a_while_and_fade() -> None:
    rate, room = FinishRate(), RecentCapacity()
    assert rate.cores(0.0) is None
    for tick in range(200):
        rate.note(5.0, tick / 10)
    cores = rate.cores(20.0)
    assert cores is not None and 45 < cores < 55
    room.note(100.0, 1.0)
    room.note(30.0, 2.0)
    assert room.most(10.0) == 100.0
    assert room.most(11.5) == 30.0
    assert room.most(30.0) == 0.0


@asynccontextmanager
async def _overloaded_owner(
    store: StoreStandin, worker_pool: WorkerPool
) -> AsyncIterator[Owner]:
    """Runs an owner with completed work and a backlog of minutes."""
    async with running(
        make_owner(store, worker_pool, 1, config=_CONFIG)
    ) as owner:
        for number in range(10):
            await owner.job_api.submit(f"done{number}", QUEUE, chain(8, 1))
        await trio.sleep(8)
        for number in range(100):
            await owner.job_api.submit(f"first{number}", QUEUE, chain(60, 1))
        await trio.sleep(1)
        yield owner


async def _submit(owner: Owner, job: str, spec: JobSpec) -> JobReply:
    return await owner.job_api.submit(job, _LATER, spec)


async def test_a_job_behind_minutes_of_work_is_refused_at_once() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2)
    async with _overloaded_owner(store, worker_pool) as owner:
        refused = meters.total('jobs_refused_total{queue="later"}')
        began = trio.current_time()
        reply = await _submit(owner, "late", chain(2, 1))
        assert reply.outcome is Outcome.FULL
        assert trio.current_time() - began < 0.05
        assert MIN_RETRY_SECONDS <= reply.retry_after <= MAX_RETRY_SECONDS
        counted = meters.total('jobs_refused_total{queue="later"}')
        assert counted == refused + 1
        # No state of the refused job is kept.
        assert owner.job_api.state("late").outcome is Outcome.NO_SUCH_JOB
        assert not owner.job_api.knows("late")
        # A job of higher priority is accepted; a known job is never refused.
        first = await owner.job_api.submit("urgent", QUEUE, chain(2, 1))
        assert owner.job_api.knows("first0")
        again = await owner.job_api.submit("first0", _LATER, chain(60, 1))
        assert first.outcome is again.outcome is Outcome.OK
        # Neither is a job without an objective, or one that is due later.
        endless = await owner.job_api.submit("endless", _ENDLESS, chain(1, 1))
        timed = chain(1, 1)._replace(repeats=1, first_due=9e9, interval=1.0)
        due = await _submit(owner, "due", timed)
        assert endless.outcome is due.outcome is Outcome.OK


async def test_a_new_owner_refuses_nobody_at_first() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(2)
    async with _overloaded_owner(store, worker_pool) as owner:
        assert (await _submit(owner, "a", chain(2, 1))).retry_after
    async with running(
        make_owner(store, worker_pool, 2, vm="b", config=_CONFIG)
    ) as owner:
        for tick in range(30):
            reply = await _submit(owner, f"b{tick}", chain(2, 1))
            assert reply.outcome is Outcome.OK
            await trio.sleep(0.1)


async def test_without_a_backlog_nothing_is_refused() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(4)
    async with running(
        make_owner(store, worker_pool, 1, config=_CONFIG)
    ) as owner:
        for number in range(60):
            reply = await _submit(owner, f"j{number}", chain(8, 1))
            assert reply.outcome is Outcome.OK
            await trio.sleep(0.2)


class _FullOwner:
    """An owner without capacity; see `OwnerAccess`."""

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        await trio.lowlevel.checkpoint()
        return FullAnswer(6.2)

    def owner_absent(self) -> float:
        return 0.0

    async def store_answers(self) -> bool:
        await trio.lowlevel.checkpoint()
        return True


async def test_the_caller_is_told_429_and_when_to_come_back() -> None:
    handler = CallerRequestHandler(FixedConfig(CONFIG), _FullOwner())
    place = await handler.find("host", "/plans/j1")
    assert not isinstance(place, Answer)
    answer = await handler.submit(place, chain(1, 1), 3.0)
    assert answer.kind is AnswerKind.FULL
    assert answer.retry_after == 7.0
    body = b'{"job_steps": [{"count": 1, "cpu": 100, "mem_mb": 10}]}'
    request = HttpRequest("POST", "/plans/j1", b"", [(b"host", b"host")], body)
    reply = await CallerHandler(handler).handle(request)
    assert reply.status == 429, reply
    assert (b"retry-after", b"7") in reply.headers


def test_former_versions_read_answers_without_room_or_with() -> None:
    # Answers of former versions have exactly two fields.
    taken = JobAnswer(Outcome.OK, JobState.QUEUED)
    assert GATEWAY_MESSAGES.pack(taken) == ["job+", "ok", "queued"]
    assert GATEWAY_MESSAGES.unpack(["job+", "ok", "queued"]) == taken
    assert job_answer(JobReply(Outcome.OK, JobState.QUEUED)) == taken
    full = job_answer(JobReply(Outcome.FULL, retry_after=3.5))
    assert full == FullAnswer(3.5)
    assert GATEWAY_MESSAGES.unpack(GATEWAY_MESSAGES.pack(full)) == full
