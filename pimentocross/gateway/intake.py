"""Takes submissions in on an entry VM while no owner can be asked.

Load pattern: callers submit at the usual rate while the owner is dead, cut off
from the store, or being replaced, for seconds, and most VMs reach the store all
the while. What such a VM stores is durable whoever owns the cell next, so the
caller is told that its job is accepted, and the owner takes it up from there.
Nothing is stored here as long as an owner answers.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, TypeAlias

import trio

from pimentocross.contracts.store import Record, Store, StoreUnavailableError
from pimentocross.gateway.caller_desk import OwnerAccess
from pimentocross.gateway.intake_writer import IntakeWriter
from pimentocross.gateway.messages import (
    CancelJob,
    ForwardedRequest,
    GatewayMessage,
    JobAnswer,
    NotOwner,
    SubmitJob,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.desk import Outcome
from pimentocross.owner.intake import cancel_key, submission_key
from pimentocross.work import records
from pimentocross.work.queue import Queue
from pimentocross.work.state import JobState

# An owner that owes an answer and was not heard for this long is not waited
# for, seconds: more than two of its heartbeats are missing.
OWNER_SILENCE: Final = 0.7
# How often it is looked whether it was heard, seconds.
_LOOK: Final = 0.1
# What another VM waits for has to come within this, seconds: it waits for
# little more.
_PEER_TIMEOUT: Final = 0.3

_Kept: TypeAlias = SubmitJob | CancelJob


class CurrentConfig(Protocol):
    """Knows whether the configuration here is in force; see `ConfigAccess`."""

    async def make_current(self) -> bool:
        """Returns whether no change that has to be in force can be missing."""
        ...

    async def in_force(self, queue: Queue) -> Queue | None:
        """Returns the newest form of a queue, or None if it was dropped."""
        ...


class NeighbourAccess(Protocol):
    """Reaches other VMs; see `Neighbours`."""

    async def run(self) -> None:
        """Keeps connections that are needed, for ever."""
        ...

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Returns another VM's answer.

        Raises:
            PeerUnreachableError: None was a help.
        """
        ...


class Unserved(NamedTuple):
    """What came of asking the owner in vain.

    Attributes:
        reply: Its answer, if it gave one.
        error: Why it gave none.
    """

    reply: GatewayMessage | None
    error: PeerUnreachableError | None

    def tell(self) -> GatewayMessage:
        """Returns the answer.

        Raises:
            PeerUnreachableError: There is none.
        """
        if self.error is not None:
            raise self.error
        assert self.reply is not None
        return self.reply

    @property
    def may_have_happened(self) -> bool:
        """True if the owner may have done what it was asked."""
        if self.error is not None:
            return self.error.sent
        return (
            isinstance(self.reply, JobAnswer)
            and self.reply.outcome is Outcome.UNSURE
        )


def is_served(reply: GatewayMessage) -> bool:
    """True if an owner's answer settles what a caller asked."""
    if isinstance(reply, NotOwner):
        return False
    return not (
        isinstance(reply, JobAnswer)
        and reply.outcome in (Outcome.STORE_AWAY, Outcome.UNSURE)
    )


class DurableIntake:
    """Asks the owner, and takes in itself what no owner answers."""

    def __init__(
        self,
        owner: OwnerAccess,
        silence: Callable[[], float],
        configs: CurrentConfig,
        store: Store,
        neighbours: NeighbourAccess,
    ) -> None:
        """Takes what it stands before.

        Args:
            owner: Reaches the owner.
            silence: Returns the seconds since the owner was heard.
            configs: Knows whether a queue may still be used.
            store: The store, as this VM reaches it.
            neighbours: Other VMs, which the store may serve.
        """
        self._neighbours = neighbours
        self._owner = owner
        self._silence = silence
        self._configs = configs
        self._writer = IntakeWriter(store)
        # Questions that the owner owes an answer to.
        self._asking: set[trio.CancelScope] = set()
        self._asks = trio.Event()

    def owner_absent(self) -> float:
        """Returns for how many seconds no owner could be asked."""
        return self._owner.owner_absent()

    async def store_answers(self) -> bool:
        """Returns whether the store answers this VM now."""
        return await self._owner.store_answers()

    async def run(self) -> None:
        """Stores what is taken in, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            nursery.start_soon(self._give_up_silent)
            nursery.start_soon(self._neighbours.run)

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Asks the owner, or does without; see `OwnerAccess`."""
        if not isinstance(message, SubmitJob | CancelJob):
            return await self._owner.ask_owner(message, timeout)
        asked = await self._ask(message, timeout)
        if not isinstance(asked, Unserved):
            return asked
        if asked.error is not None and asked.error.sent and self._is_heard():
            # It may answer the next time; this caller's time is over.
            return asked.tell()
        stored = await self._store(message, asked)
        return stored or await self._hand_over(message, asked)

    async def take_over(self, message: ForwardedRequest) -> GatewayMessage:
        """Serves what another VM can't store."""
        if message.queue is None or message.spec is None:
            return await self._serve_peer(CancelJob(message.job))
        queue = await self._configs.in_force(message.queue)
        if queue is None:
            return NotOwner("the queue is not in force")
        return await self._serve_peer(
            SubmitJob(message.job, queue, message.spec)
        )

    async def _serve_peer(self, message: _Kept) -> GatewayMessage:
        asked = await self._ask(message, _PEER_TIMEOUT)
        if not isinstance(asked, Unserved):
            return asked
        try:
            stored = await self._store(message, asked)
        except PeerUnreachableError:
            return JobAnswer(Outcome.UNSURE, None)
        if stored is not None:
            return stored
        if asked.may_have_happened:
            return JobAnswer(Outcome.UNSURE, None)
        return NotOwner("no help here")

    def _is_heard(self) -> bool:
        absent = self._owner.owner_absent() >= _LOOK
        return not absent and self._silence() <= OWNER_SILENCE

    async def _ask(
        self, message: _Kept, timeout: float
    ) -> GatewayMessage | Unserved:
        """Asks the owner as long as it is heard."""
        scope = trio.CancelScope()
        self._asking.add(scope)
        self._asks.set()
        try:
            with scope:
                reply = await self._owner.ask_owner(message, timeout)
                return reply if is_served(reply) else Unserved(reply, None)
        except PeerUnreachableError as error:
            return Unserved(None, error)
        finally:
            self._asking.discard(scope)
        silent = PeerUnreachableError("the owner is silent", sent=True)
        return Unserved(None, silent)

    async def _give_up_silent(self) -> None:
        """Ends questions to an owner that isn't heard."""
        while True:
            if not self._asking:
                self._asks = trio.Event()
                await self._asks.wait()
            await trio.sleep(_LOOK)
            if self._silence() > OWNER_SILENCE:
                for scope in self._asking:
                    scope.cancel()

    async def _hand_over(
        self, message: _Kept, asked: Unserved
    ) -> GatewayMessage:
        """Asks another VM; else tells what came of the owner."""
        try:
            reply = await self._neighbours.ask(_handed_over(message))
        except PeerUnreachableError as error:
            if error.sent and not asked.may_have_happened:
                raise
            return asked.tell()
        if asked.may_have_happened and not _is_done(reply):
            # A refusal says nothing of what the owner was asked before.
            return asked.tell()
        note("handed_over", job=message.job)
        meters.add_intake_stored("handed over")
        return reply

    async def _may_store(self, message: _Kept) -> bool:
        if not await self._configs.make_current():
            return False
        if isinstance(message, CancelJob):
            return True
        return await self._configs.in_force(message.queue) is not None

    async def _store(
        self, message: _Kept, asked: Unserved
    ) -> GatewayMessage | None:
        """Stores what was asked; returns None if that surely failed.

        Raises:
            PeerUnreachableError: It may be stored, or not.
        """
        if not await self._may_store(message):
            return None
        try:
            await self._writer.put(_record_of(message))
        except StoreUnavailableError as error:
            if not error.sent:
                return None
            reason = f"stored perhaps: {error}"
            raise PeerUnreachableError(reason, sent=True) from error
        note(
            "taken_in_without_owner",
            job=message.job,
            cancels=isinstance(message, CancelJob),
            asked_before=asked.may_have_happened,
        )
        if isinstance(message, CancelJob):
            meters.add_intake_stored("cancel")
            return JobAnswer(Outcome.OK, JobState.CANCELLED)
        meters.add_intake_stored("submission")
        return JobAnswer(Outcome.OK, JobState.QUEUED)


def _is_done(reply: GatewayMessage) -> bool:
    return isinstance(reply, JobAnswer) and reply.outcome is Outcome.OK


def _handed_over(message: _Kept) -> ForwardedRequest:
    if isinstance(message, CancelJob):
        return ForwardedRequest(message.job, None, None)
    return ForwardedRequest(message.job, message.queue, message.spec)


def _record_of(message: _Kept) -> Record:
    if isinstance(message, CancelJob):
        return Record(cancel_key(message.job), b"\x01")
    value = records.encode_accepted(message.queue, message.spec, wall.now())
    return Record(submission_key(message.job), value)
