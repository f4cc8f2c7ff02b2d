"""Tests of entry VMs in virtual time: ownership, take-overs, answers."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import msgspec
import trio

from pimentocross.contracts.store import ConditionFailedError
from pimentocross.gateway import const
from pimentocross.gateway.caller_requests import (
    Answer,
    AnswerKind,
    CallerRequestHandler,
)
from pimentocross.gateway.cluster import (
    ClaimRecord,
    Cluster,
    claim_record,
    member_record,
)
from pimentocross.gateway.election import Election
from pimentocross.gateway.heard_peers import PeerActivity
from pimentocross.gateway.messages import (
    AskState,
    FullAnswer,
    GatewayMessage,
    JobAnswer,
    NotOwner,
    SubmitJob,
)
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.owner.job_api import Outcome
from pimentocross.owner.owner import CellPlatform
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.state import JobState
from tests.gateway_fixtures import FixedConfig
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    chain,
    find_overlapping_starts,
    make_worker_pool,
    wait_until,
)


class _AlwaysHeard(PeerActivity):
    """Peers with which there always is contact."""

    @property
    def newest_contact_at(self) -> float:
        """Returns the current time."""
        return trio.current_time()


class _Vm:
    """An entry VM without listeners: members, claims and the owner.

    VMs can't connect to each other, so only the store shows who is alive.
    """

    def __init__(
        self,
        name: str,
        generation: int,
        store: StoreStandin,
        worker_pool: WorkerPool,
    ) -> None:
        process = f"{name}:{generation}"
        self.identity = PeerIdentity(process, name, "127.0.0.1:9", "z")
        access = worker_pool.access(name)
        platform = CellPlatform(store.client(name), access, access)
        self.cluster = Cluster(platform.store)
        self.election = Election(
            self.identity,
            self.cluster,
            platform,
            lambda: CONFIG,
            _AlwaysHeard(),
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cluster.follow)
            mine = self.identity
            member = member_record(mine.name, mine.process, mine.address)
            nursery.start_soon(self.cluster.register, member)
            nursery.start_soon(self.election.run)

    @property
    def owns(self) -> bool:
        owner = self.election.owner
        return owner is not None and owner.ready.is_set()


@asynccontextmanager
async def _vms(
    count: int, store: StoreStandin, worker_pool: WorkerPool
) -> AsyncIterator[tuple[list[_Vm], dict[str, trio.CancelScope], trio.Nursery]]:
    scopes: dict[str, trio.CancelScope] = {}
    vms = [_Vm(f"vm{n}", 0, store, worker_pool) for n in range(count)]
    async with trio.open_nursery() as nursery:
        for vm in vms:
            nursery.start_soon(_run_killable, vm, scopes)
        yield vms, scopes, nursery
        nursery.cancel_scope.cancel()


async def _run_killable(vm: _Vm, scopes: dict[str, trio.CancelScope]) -> None:
    with trio.CancelScope() as scope:
        scopes[vm.identity.name] = scope
        await vm.run()


async def test_one_of_many_starting_at_once_owns() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(7, store, worker_pool) as (vms, _, _):
        await wait_until(lambda: any(vm.owns for vm in vms), timeout=3)
        await trio.sleep(5)
        assert sum(vm.owns for vm in vms) == 1


async def test_a_dead_owner_is_followed_within_three_seconds() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(5, store, worker_pool) as (vms, scopes, _):
        await wait_until(lambda: any(vm.owns for vm in vms))
        owner = next(vm for vm in vms if vm.owns)
        assert owner.election.owner is not None
        await owner.election.owner.job_api.submit("j1", QUEUE, chain(2, 1))
        scopes[owner.identity.name].cancel()
        died_at = trio.current_time()
        rest = [vm for vm in vms if vm is not owner]
        await wait_until(lambda: any(vm.owns for vm in rest))
        assert trio.current_time() - died_at < 3.0
        successor = next(vm for vm in rest if vm.owns)
        assert successor.election.owner is not None
        assert (
            successor.election.owner.job_api.state("j1").outcome is Outcome.OK
        )
    assert not find_overlapping_starts(worker_pool.journal)


async def test_a_restarted_process_follows_its_own_former_self() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(1, store, worker_pool) as (vms, scopes, nursery):
        await wait_until(lambda: vms[0].owns)
        scopes["vm0"].cancel()
        again = _Vm("vm0", 1, store, worker_pool)
        restarted_at = trio.current_time()
        nursery.start_soon(_run_killable, again, scopes)
        await wait_until(lambda: again.owns)
        assert trio.current_time() - restarted_at < 1.0


async def test_an_owner_that_the_store_refuses_is_replaced() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(3, store, worker_pool) as (vms, _, _):
        await wait_until(lambda: any(vm.owns for vm in vms))
        owner = next(vm for vm in vms if vm.owns)
        store.faults.refused.add(owner.identity.name)
        refused_at = trio.current_time()
        rest = [vm for vm in vms if vm is not owner]
        await wait_until(lambda: any(vm.owns for vm in rest))
        assert trio.current_time() - refused_at < 3.5
        await wait_until(lambda: not owner.owns)


async def test_nobody_is_replaced_while_the_whole_store_is_away() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(3, store, worker_pool) as (vms, _, _):
        await wait_until(lambda: any(vm.owns for vm in vms))
        owner = next(vm for vm in vms if vm.owns)
        store.faults.away = True
        await trio.sleep(6)
        assert [vm.owns for vm in vms] == [vm is owner for vm in vms]
        store.faults.away = False
        await trio.sleep(6)
        assert sum(vm.owns for vm in vms) == 1


async def test_a_planned_stop_gives_the_cell_away_at_once() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(3, store, worker_pool) as (vms, _, _):
        await wait_until(lambda: any(vm.owns for vm in vms))
        owner = next(vm for vm in vms if vm.owns)
        owner.election.leave()
        left_at = trio.current_time()
        rest = [vm for vm in vms if vm is not owner]
        await wait_until(lambda: any(vm.owns for vm in rest))
        assert trio.current_time() - left_at < 1.0
        assert not owner.owns


async def test_a_claim_is_known_in_time_after_an_outage() -> None:
    """Otherwise the VM would count as without an owner and not be ready.

    An outage may end at any time in a read of the claims.
    """
    lags = [await _claim_lag(4.0 + step * 0.1) for step in range(40)]
    assert max(lags) < const.READY_WITHOUT_OWNER, max(lags)


async def _claim_lag(away_for: float) -> float:
    """Returns the seconds until a member reads a claim after an outage."""
    store = StoreStandin()
    member, other = Cluster(store.client("vm")), Cluster(store.client("other"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(member.follow)
        await trio.sleep(1.0)
        store.faults.away = True
        await trio.sleep(away_for)
        store.faults.away = False
        await other.refresh(0.0)
        await other.append_claim(
            claim_record("other", "other:0", "127.0.0.1:9"), other.end
        )
        claimed_at = trio.current_time()
        await wait_until(lambda: member.claim is not None)
        nursery.cancel_scope.cancel()
    return trio.current_time() - claimed_at


async def test_a_claim_on_what_was_not_read_fails() -> None:
    store = StoreStandin()
    first, second = Cluster(store.client("a")), Cluster(store.client("b"))
    await first.refresh(0.0)
    await second.refresh(0.0)
    await first.append_claim(claim_record("a", "a:1", ""), first.end)
    try:
        await second.append_claim(claim_record("b", "b:1", ""), second.end)
        raise AssertionError("two claims were taken")
    except ConditionFailedError:
        pass
    await second.refresh(0.0)
    assert second.claim is not None
    assert second.claim.process == "a:1"


_Reply = GatewayMessage | PeerUnreachableError


class _FakeOwner:
    """A fake owner: gives the replies in `first`, and then always `reply`."""

    def __init__(
        self, reply: _Reply, absent: float = 0.0, first: Sequence[_Reply] = ()
    ) -> None:
        self.reply = reply
        self.absent = absent
        self.store_away = True
        self.asked: list[GatewayMessage] = []
        self._first = list(first)

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        self.asked.append(message)
        await trio.lowlevel.checkpoint()
        reply = self._first.pop(0) if self._first else self.reply
        if isinstance(reply, PeerUnreachableError):
            raise reply
        return reply

    async def store_answers(self) -> bool:
        await trio.lowlevel.checkpoint()
        return not self.store_away

    def owner_absent(self) -> float:
        return self.absent


async def _submitted(reply: _Reply) -> Answer:
    return await _submitted_to(_FakeOwner(reply))


async def _submitted_to(owner: _FakeOwner) -> Answer:
    handler = CallerRequestHandler(FixedConfig(CONFIG), owner)
    queue_path = await handler.find("host", "/plans/j1")
    assert not isinstance(queue_path, Answer)
    return await handler.submit(queue_path, chain(1, 1), 3.0)


async def test_a_successor_is_asked_for_what_its_predecessor_left_open() -> (
    None
):
    # Guards against an unknown outcome that a new owner could resolve. The
    # store had stopped answering the owner alone, whose callers were told after
    # 1.3 s that their jobs may run or not, and don't retry after that. A
    # successor that knew the outcome was ready a second later:
    #
    #     18.5 s platform_down (silent) leader;  how tries ended: 504: 34
    #     submit_unanswered sent true "no answer";  20.6 s claim, 21.3 s ready
    lost = PeerUnreachableError("no answer", sent=True)
    no_owner = PeerUnreachableError("no owner is known", sent=False)
    for unsure in (JobAnswer(Outcome.UNSURE, None), lost):
        accepted = JobAnswer(Outcome.OK, JobState.QUEUED)
        owner = _FakeOwner(
            accepted, first=[unsure, no_owner, NotOwner("moved"), no_owner]
        )
        owner.store_away = False
        answer = await _submitted_to(owner)
        assert answer.kind is AnswerKind.ACCEPTED
        assert len(owner.asked) == 5
        # All requests have the same job id, so the job runs once.
        assert len({message.job for message in _submissions(owner)}) == 1


def _submissions(owner: _FakeOwner) -> list[SubmitJob]:
    return [m for m in owner.asked if isinstance(m, SubmitJob)]


async def test_what_was_left_open_is_never_refused() -> None:
    unsure = JobAnswer(Outcome.UNSURE, None)
    for later in (
        PeerUnreachableError("no owner is known", sent=False),
        JobAnswer(Outcome.STORE_AWAY, None),
        FullAnswer(5.0),
        NotOwner("moved"),
    ):
        owner = _FakeOwner(later, first=[unsure])
        owner.store_away = False
        began = trio.current_time()
        answer = await _submitted_to(owner)
        assert answer.kind is AnswerKind.UNKNOWN
        assert trio.current_time() - began < 3.0 * const.OWNER_SHARE


async def test_nobody_is_waited_for_while_the_whole_store_is_away() -> None:
    owner = _FakeOwner(JobAnswer(Outcome.UNSURE, None))
    began = trio.current_time()
    assert (await _submitted_to(owner)).kind is AnswerKind.UNKNOWN
    assert trio.current_time() - began < 0.1
    assert len(owner.asked) == 1


async def test_a_refusal_says_that_nothing_runs_only_if_that_is_sure() -> None:
    sent = await _submitted(PeerUnreachableError("lost", sent=True))
    assert sent.kind is AnswerKind.UNKNOWN
    assert not sent.retry_after
    unsent = await _submitted(PeerUnreachableError("no owner", sent=False))
    assert unsent.kind is AnswerKind.NOT_ACCEPTED
    assert unsent.retry_after == const.RETRY_AFTER
    away = await _submitted(JobAnswer(Outcome.STORE_AWAY, None))
    assert away.kind is AnswerKind.NOT_ACCEPTED
    unsure = await _submitted(JobAnswer(Outcome.UNSURE, None))
    assert unsure.kind is AnswerKind.UNKNOWN
    # Without a time to retry callers used up their retries within 0.8 s.
    assert unsure.retry_after == const.RETRY_AFTER
    moved = await _submitted(NotOwner("moved"))
    assert moved.kind is AnswerKind.NOT_ACCEPTED
    done = await _submitted(JobAnswer(Outcome.OK, JobState.QUEUED))
    assert done.kind is AnswerKind.ACCEPTED


async def test_an_unsure_owner_never_denies_a_job() -> None:
    handler = CallerRequestHandler(
        FixedConfig(CONFIG), _FakeOwner(NotOwner("moved"))
    )
    answer = await handler.query("host", "/plans/j1", 3.0)
    assert answer.kind is AnswerKind.UNAVAILABLE
    assert AskState("j1").job == "j1"


class _SlowOwner(_FakeOwner):
    """Exceeds its timeout, as requests forwarded to other VMs may."""

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        await trio.sleep(10.0)
        return await super().ask_owner(message, timeout)


async def test_callers_are_told_while_they_still_wait() -> None:
    handler = CallerRequestHandler(
        FixedConfig(CONFIG), _SlowOwner(NotOwner("moved"))
    )
    queue_path = await handler.find("host", "/plans/j1")
    assert not isinstance(queue_path, Answer)
    began = trio.current_time()
    answer = await handler.submit(queue_path, chain(1, 1), 3.0)
    assert trio.current_time() - began < 3.0
    assert answer.kind is AnswerKind.UNKNOWN, "it may run"
    began = trio.current_time()
    answer = await handler.cancel("host", "/plans/j1", 3.0)
    assert trio.current_time() - began < 3.0
    assert answer.kind is AnswerKind.UNKNOWN, "it may be cancelled"


async def test_what_is_too_long_for_an_id_is_no_job_of_a_queue() -> None:
    # The store's keys have at most 255 bytes; longer ones can't be written.
    handler = CallerRequestHandler(
        FixedConfig(CONFIG), _FakeOwner(NotOwner("moved"))
    )
    for rest, accepted in (("a" * 200, True), ("a" * 300, False)):
        found = await handler.find("host", "/plans/" + rest)
        assert isinstance(found, Answer) is not accepted, len(rest)
    found = await handler.find("host", "/plans/" + "\xe9" * 200)
    assert isinstance(found, Answer), "by its bytes"


def test_readiness_follows_configuration_owner_and_drain() -> None:
    configs = FixedConfig(None)
    owner = _FakeOwner(NotOwner(""), absent=0.0)
    handler = CallerRequestHandler(configs, owner)
    assert not handler.ready()
    configs.config = CONFIG
    assert handler.ready()
    owner.absent = const.READY_WITHOUT_OWNER + 0.1
    assert not handler.ready()
    owner.absent = 0.0
    handler.draining = True
    assert not handler.ready()


async def test_a_release_soon_after_a_silent_owner_is_not_quiet() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool()
    async with _vms(3, store, worker_pool) as (vms, scopes, _):
        await wait_until(lambda: any(vm.owns for vm in vms))
        first = next(vm for vm in vms if vm.owns)
        scopes[first.identity.name].cancel()
        rest = [vm for vm in vms if vm is not first]
        await wait_until(lambda: any(vm.owns for vm in rest))
        second = next(vm for vm in rest if vm.owns)
        second.election.leave()
        third = next(vm for vm in rest if vm is not second)
        await wait_until(lambda: third.owns)
        released = [
            record.value
            for record in store.topic("cluster").records
            if record.key.startswith("claim/")
        ]
        # The first owner may still renew leases that the second did not fence.
        release = msgspec.msgpack.decode(released[-2] or b"", type=ClaimRecord)
        assert not release.process and not release.quiet
