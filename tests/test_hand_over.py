"""What a VM can't store is served by another one."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from trio.testing import memory_stream_pair

from pimentocross.gateway.hand_over import Neighbour, Neighbours
from pimentocross.gateway.intake import DurableIntake
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    GatewayMessage,
    HandOver,
    JobAnswer,
    NotOwner,
    SubmitJob,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.peer import PeerListener, PeerUnreachableError
from pimentocross.owner.intake import TOPIC
from pimentocross.owner.job_api import Outcome
from pimentocross.standins.store import StoreStandin
from pimentocross.work.state import JobState
from tests.gateway_fixtures import FixedConfig
from tests.owner_fixtures import CONFIG, QUEUE, chain
from tests.test_intake import ABSENT, NobodyNear, OwnerFake

_SUBMIT = SubmitJob("job1", QUEUE, chain())
_MESSAGE = HandOver("job1", QUEUE, chain())
_TAKEN_IN = JobAnswer(Outcome.OK, JobState.QUEUED)
_NO_HELP = NotOwner("no help here")


class PeerFake:
    """Another VM that answers as told.

    Attributes:
        asked: How often it was asked.
    """

    def __init__(self, answer: GatewayMessage | None) -> None:
        """Takes what it answers, None for nothing."""
        self.asked = 0
        self._answer = answer

    def refuse(self, reason: str) -> GatewayMessage:
        """Returns the answer to a question that can't be read."""
        return NotOwner(reason)

    async def answer(
        self, peer: PeerIdentity, message: GatewayMessage
    ) -> GatewayMessage:
        """Answers as told."""
        self.asked += 1
        if self._answer is None:
            await trio.sleep_forever()
        assert self._answer is not None
        return self._answer


class _Town:
    """VMs that can be dialed by their names; those not known are silent."""

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
async def _neighbours(
    vms: dict[str, PeerFake], order: Callable[[], str]
) -> AsyncIterator[Neighbours]:
    async with trio.open_nursery() as nursery:

        def others() -> list[Neighbour]:
            vm = order()
            return [Neighbour(vm, vm)]

        found = Neighbours(
            PeerIdentity("me:1", "me", "me", "z"),
            others,
            _Town(nursery, vms).dial,
        )
        nursery.start_soon(found.run)
        yield found
        nursery.cancel_scope.cancel()


def _in_turn(*vms: str) -> Callable[[], str]:
    """Returns what names VMs one after the other, the last for ever."""
    left = list(vms)
    return lambda: left.pop(0) if len(left) > 1 else left[0]


async def test_a_vm_that_is_no_help_is_followed_by_another() -> None:
    vms = {"a": PeerFake(_NO_HELP), "b": PeerFake(_TAKEN_IN)}
    async with _neighbours(vms, _in_turn("a", "silent", "b")) as found:
        began = trio.current_time()
        assert await found.ask(_MESSAGE) == _TAKEN_IN
        assert trio.current_time() - began < 1.0
        # Later callers go where the first was helped.
        for _ in range(10):
            assert await found.ask(_MESSAGE) == _TAKEN_IN
    assert vms["a"].asked == 1, vms["a"].asked


async def test_where_nobody_is_a_help_later_callers_are_told_at_once() -> None:
    vms = {"a": PeerFake(_NO_HELP)}
    async with _neighbours(vms, _in_turn("a")) as found:
        for number in range(10):
            began = trio.current_time()
            try:
                await found.ask(_MESSAGE)
            except PeerUnreachableError as error:
                assert not error.sent, "nothing was done"
            else:
                raise AssertionError("answered")
            took = trio.current_time() - began
            assert not number or took < 0.1, took
    assert vms["a"].asked <= 3, vms["a"].asked


async def test_a_refusal_after_a_vm_that_may_have_stored_it_is_no_refusal() -> (
    None
):
    full = JobAnswer(Outcome.STORE_AWAY, None)
    vms = {"a": PeerFake(None), "b": PeerFake(full)}
    async with _neighbours(vms, _in_turn("a", "b")) as found:
        try:
            await found.ask(_MESSAGE)
        except PeerUnreachableError as error:
            assert error.sent, "it may run"
        else:
            raise AssertionError("answered")


class _ThroughOther:
    """Reaches one other VM; see `NeighbourAccess`."""

    def __init__(self, other: DurableIntake) -> None:
        self._other = other

    async def run(self) -> None:
        """Does nothing."""

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Asks it."""
        assert isinstance(message, HandOver)
        return await self._other.take_over(message)


def _intake(
    store: StoreStandin, vm: str, other: DurableIntake | None, *, current: bool
) -> DurableIntake:
    owner = OwnerFake(ABSENT)
    return DurableIntake(
        owner,
        owner.silence,
        FixedConfig(CONFIG, current=current),
        store.client(vm),
        NobodyNear() if other is None else _ThroughOther(other),
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
            assert await mine.ask_owner(_SUBMIT, 2.7) == _TAKEN_IN
            assert trio.current_time() - began < 1.0
            nursery.cancel_scope.cancel()
    keys = {r.key for r in store.topic(TOPIC).records if r.value}
    assert len(keys) == 1, keys


async def test_a_vm_takes_over_no_job_of_a_queue_that_was_dropped() -> None:
    other = _intake(StoreStandin(), "served", None, current=True)
    dropped = _MESSAGE._replace(queue=QUEUE._replace(name="dropped"))
    reply = await other.take_over(dropped)
    assert isinstance(reply, NotOwner), reply
