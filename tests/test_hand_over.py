"""Requests that a VM can't store are forwarded to a VM that can."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from trio.testing import memory_stream_pair

from pimentocross.gateway.intake import DurableIntake
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    ForwardedRequest,
    GatewayMessage,
    JobAnswer,
    NotOwner,
    SubmitJob,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.gateway.peer_forwarder import PeerAddress, PeerForwarder
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.peer import PeerListener, PeerUnreachableError
from pimentocross.owner.intake import TOPIC
from pimentocross.owner.job_api import Outcome
from pimentocross.standins.store import StoreStandin
from pimentocross.work.state import JobState
from tests.gateway_fixtures import FixedConfig
from tests.owner_fixtures import CONFIG, QUEUE, chain
from tests.test_intake import ABSENT, NoPeers, OwnerFake

_SUBMIT = SubmitJob("job1", QUEUE, chain())
_MESSAGE = ForwardedRequest("job1", QUEUE, chain())
_ACCEPTED = JobAnswer(Outcome.OK, JobState.QUEUED)
_CANNOT_SERVE = NotOwner("no help here")


class PeerFake:
    """Another VM that gives a fixed answer.

    Attributes:
        request_count: How many requests it got.
    """

    def __init__(self, answer: GatewayMessage | None) -> None:
        """Initializes the VM with its answer; with None it never answers."""
        self.request_count = 0
        self._answer = answer

    def refuse(self, reason: str) -> GatewayMessage:
        """Returns the answer to a message that can't be decoded."""
        return NotOwner(reason)

    async def answer(
        self, peer: PeerIdentity, message: GatewayMessage
    ) -> GatewayMessage:
        """Counts the request and returns the fixed answer."""
        self.request_count += 1
        if self._answer is None:
            await trio.sleep_forever()
        assert self._answer is not None
        return self._answer


class _FakeNetwork:
    """VMs that can be dialed by name; dialing an unknown name never ends."""

    def __init__(self, nursery: trio.Nursery, vms: dict[str, PeerFake]) -> None:
        self._nursery = nursery
        self._vms = vms

    async def dial(self, address: str) -> trio.abc.Stream:
        peer = self._vms.get(address)
        if peer is None:
            await trio.sleep_forever()
        assert peer is not None
        mine, theirs = memory_stream_pair()
        identity = PeerIdentity(f"{address}:1", address, address, "z")
        listener = PeerListener(identity, CREDENTIALS, peer, GATEWAY_MESSAGES)
        self._nursery.start_soon(listener.serve_connection, theirs)
        return mine


@asynccontextmanager
async def _running_forwarder(
    vms: dict[str, PeerFake], order: Callable[[], str]
) -> AsyncIterator[PeerForwarder]:
    async with trio.open_nursery() as nursery:

        def others() -> list[PeerAddress]:
            vm = order()
            return [PeerAddress(vm, vm)]

        forwarder = PeerForwarder(
            PeerIdentity("me:1", "me", "me", "z"),
            others,
            _FakeNetwork(nursery, vms).dial,
        )
        nursery.start_soon(forwarder.run)
        yield forwarder
        nursery.cancel_scope.cancel()


def _one_after_another(*vms: str) -> Callable[[], str]:
    """Returns a function that names the VMs in order, then repeats the last."""
    remaining = list(vms)
    return lambda: remaining.pop(0) if len(remaining) > 1 else remaining[0]


async def test_a_vm_that_is_no_help_is_followed_by_another() -> None:
    vms = {"a": PeerFake(_CANNOT_SERVE), "b": PeerFake(_ACCEPTED)}
    async with _running_forwarder(
        vms, _one_after_another("a", "silent", "b")
    ) as forwarder:
        began = trio.current_time()
        assert await forwarder.ask(_MESSAGE) == _ACCEPTED
        assert trio.current_time() - began < 1.0
        # Later requests go to the VM that served the first.
        for _ in range(10):
            assert await forwarder.ask(_MESSAGE) == _ACCEPTED
    assert vms["a"].request_count == 1, vms["a"].request_count


async def test_where_nobody_is_a_help_later_callers_are_told_at_once() -> None:
    vms = {"a": PeerFake(_CANNOT_SERVE)}
    async with _running_forwarder(vms, _one_after_another("a")) as forwarder:
        for number in range(10):
            began = trio.current_time()
            try:
                await forwarder.ask(_MESSAGE)
            except PeerUnreachableError as error:
                assert not error.sent, "nothing was done"
            else:
                raise AssertionError("answered")
            took = trio.current_time() - began
            assert not number or took < 0.1, took
    assert vms["a"].request_count <= 3, vms["a"].request_count


async def test_a_refusal_after_a_vm_that_may_have_stored_it_is_no_refusal() -> (
    None
):
    refusal = JobAnswer(Outcome.STORE_AWAY, None)
    vms = {"a": PeerFake(None), "b": PeerFake(refusal)}
    async with _running_forwarder(
        vms, _one_after_another("a", "b")
    ) as forwarder:
        try:
            await forwarder.ask(_MESSAGE)
        except PeerUnreachableError as error:
            assert error.sent, "it may run"
        else:
            raise AssertionError("answered")


class _ForwardToOther:
    """Forwards to one other VM; see `PeerAccess`."""

    def __init__(self, other: DurableIntake) -> None:
        self._other = other

    async def run(self) -> None:
        """Does nothing."""

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Passes the request to the other VM."""
        assert isinstance(message, ForwardedRequest)
        return await self._other.serve_forwarded(message)


def _intake(
    store: StoreStandin, vm: str, other: DurableIntake | None, *, current: bool
) -> DurableIntake:
    owner = OwnerFake(ABSENT)
    return DurableIntake(
        owner,
        owner.silence,
        FixedConfig(CONFIG, current=current),
        store.client(vm),
        NoPeers() if other is None else _ForwardToOther(other),
    )


async def test_callers_of_a_vm_that_the_store_turns_away_are_served() -> None:
    store = StoreStandin()
    store.faults.refused.add("away")
    for current in (True, False):
        other = _intake(store, "served", None, current=True)
        mine = _intake(store, "away", other, current=current)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(other.run)
            nursery.start_soon(mine.run)
            began = trio.current_time()
            assert await mine.ask_owner(_SUBMIT, 2.7) == _ACCEPTED
            assert trio.current_time() - began < 1.0
            nursery.cancel_scope.cancel()
    keys = {r.key for r in store.topic(TOPIC).records if r.value}
    assert len(keys) == 1, keys


async def test_a_vm_takes_over_no_job_of_a_queue_that_was_dropped() -> None:
    other = _intake(StoreStandin(), "served", None, current=True)
    dropped = _MESSAGE._replace(queue=QUEUE._replace(name="dropped"))
    reply = await other.serve_forwarded(dropped)
    assert isinstance(reply, NotOwner), reply
