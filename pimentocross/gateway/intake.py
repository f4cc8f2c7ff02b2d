"""Accepts submissions and cancels on an entry VM while no owner is reachable.

Load pattern: for seconds the owner is dead, cut off from the store, or being
replaced. Callers submit at the usual rate meanwhile, and most VMs still reach
the store. Such a VM stores the request durably and acknowledges it; whichever
process owns the cell next reads it from the store and handles it. While an
owner answers, nothing is stored here.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, TypeAlias

import trio

from pimentocross.contracts.store import Record, Store, StoreUnavailableError
from pimentocross.gateway.caller_requests import OwnerAccess
from pimentocross.gateway.intake_writer import IntakeWriter
from pimentocross.gateway.messages import (
    CancelJob,
    ForwardedRequest,
    FullAnswer,
    GatewayMessage,
    JobAnswer,
    NotOwner,
    SubmitJob,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.intake import cancel_key, submission_key
from pimentocross.owner.job_api import Outcome
from pimentocross.work import records
from pimentocross.work.limits import INTAKE_MEMORY, job_memory
from pimentocross.work.queue import Queue
from pimentocross.work.state import JobState

# Seconds without contact after which an open request to the owner is given up:
# more than two of its heartbeats are missing.
OWNER_SILENCE_TIMEOUT: Final = 0.7
# Seconds between checks for contact with the owner.
_SILENCE_CHECK_INTERVAL: Final = 0.1
# Seconds that the owner has to answer a request forwarded by another VM, which
# itself waits little longer.
_PEER_TIMEOUT: Final = 0.3

_StorableRequest: TypeAlias = SubmitJob | CancelJob


class CurrentConfig(Protocol):
    """Access to the configuration on this VM; see `ConfigFollower`."""

    async def check_current(self) -> bool:
        """Returns whether the copy has every change that must be in force."""
        ...

    async def current_queue(self, queue: Queue) -> Queue | None:
        """Returns a queue as now configured, or None if it was removed."""
        ...


class PeerAccess(Protocol):
    """Sends requests to other entry VMs."""

    async def run(self) -> None:
        """Maintains the connections to other VMs, forever."""
        ...

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Sends a request to another VM and returns its reply.

        Raises:
            PeerUnreachableError: No VM could handle the request. If `sent` is
                set, one may have handled it all the same.
        """
        ...


class OwnerFailure(NamedTuple):
    """A request to the owner that failed or whose outcome is unknown.

    Attributes:
        reply: The owner's reply, or None if there was none.
        error: Why there was no reply, or None if there was one.
    """

    reply: GatewayMessage | None
    error: PeerUnreachableError | None

    def result(self) -> GatewayMessage:
        """Returns the owner's reply.

        Raises:
            PeerUnreachableError: There was no reply.
        """
        if self.error is not None:
            raise self.error
        assert self.reply is not None
        return self.reply

    @property
    def may_have_happened(self) -> bool:
        """Whether the owner may have handled the request all the same."""
        if self.error is not None:
            return self.error.sent
        return (
            isinstance(self.reply, JobAnswer)
            and self.reply.outcome is Outcome.UNSURE
        )


def is_final(reply: GatewayMessage) -> bool:
    """Returns whether an owner's reply needs no further attempt."""
    if isinstance(reply, NotOwner):
        return False
    return not (
        isinstance(reply, JobAnswer)
        and reply.outcome in (Outcome.STORE_AWAY, Outcome.UNSURE)
    )


class DurableIntake:
    """Sends requests to the owner, and stores those that it doesn't handle."""

    def __init__(
        self,
        owner: OwnerAccess,
        owner_silence: Callable[[], float],
        configs: CurrentConfig,
        store: Store,
        peers: PeerAccess,
        vm_count: Callable[[], int] = lambda: 1,
    ) -> None:
        """Initializes the intake; `run` must run for it to store requests.

        Args:
            owner: Sends requests to the owner.
            owner_silence: Returns the seconds since the last contact with the
                owner.
            configs: Tells whether a queue still exists.
            store: This VM's access to the store.
            peers: Other VMs, which may reach the store if this one can't.
            vm_count: Returns how many entry VMs there are. Together they store
                no more than an owner can hold.
        """
        self._vm_count = vm_count
        # Bytes of the next owner's memory that jobs take which this VM has
        # stored since an owner last answered it.
        self._stored_memory = 0
        # Whether the owner had no room for a job when it last answered this VM.
        self._owner_is_full = False
        self._peers = peers
        self._owner = owner
        self._owner_silence = owner_silence
        self._configs = configs
        self._writer = IntakeWriter(store)
        # Scopes of the open requests to the owner.
        self._owner_requests: set[trio.CancelScope] = set()
        self._has_requests = trio.Event()

    def owner_absent(self) -> float:
        """Returns for how many seconds no owner has been reachable."""
        return self._owner.owner_absent()

    async def store_answers(self) -> bool:
        """Returns whether the store currently answers this VM."""
        return await self._owner.store_answers()

    async def run(self) -> None:
        """Runs the writer, the timeouts and the peer connections, forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            nursery.start_soon(self._cancel_when_silent)
            nursery.start_soon(self._peers.run)

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Sends a request to the owner; see `OwnerAccess`.

        Submissions and cancels that the owner doesn't handle are stored here,
        or forwarded to another VM if this one can't store them.
        """
        if not isinstance(message, SubmitJob | CancelJob):
            return await self._owner.ask_owner(message, timeout)
        attempt = await self._ask(message, timeout)
        if not isinstance(attempt, OwnerFailure):
            return attempt
        if (
            attempt.error is not None
            and attempt.error.sent
            and self._is_owner_responding()
        ):
            # The owner is alive but slow: a retry may succeed, but this
            # caller's time is over.
            return attempt.result()
        stored = await self._store(message, attempt)
        return stored or await self._forward(message, attempt)

    async def serve_forwarded(
        self, message: ForwardedRequest
    ) -> GatewayMessage:
        """Handles a request that another VM can't store."""
        if message.queue is None or message.spec is None:
            return await self._serve_peer_request(CancelJob(message.job))
        queue = await self._configs.current_queue(message.queue)
        if queue is None:
            return NotOwner("the queue is not in force")
        return await self._serve_peer_request(
            SubmitJob(message.job, queue, message.spec)
        )

    async def _serve_peer_request(
        self, message: _StorableRequest
    ) -> GatewayMessage:
        attempt = await self._ask(message, _PEER_TIMEOUT)
        if not isinstance(attempt, OwnerFailure):
            return attempt
        try:
            stored = await self._store(message, attempt)
        except PeerUnreachableError:
            return JobAnswer(Outcome.UNSURE, None)
        if stored is not None:
            return stored
        if attempt.may_have_happened:
            return JobAnswer(Outcome.UNSURE, None)
        return NotOwner("no help here")

    def _is_owner_responding(self) -> bool:
        is_owner_absent = self._owner.owner_absent() >= _SILENCE_CHECK_INTERVAL
        return (
            not is_owner_absent
            and self._owner_silence() <= OWNER_SILENCE_TIMEOUT
        )

    async def _ask(
        self, message: _StorableRequest, timeout: float
    ) -> GatewayMessage | OwnerFailure:
        """Sends a request to the owner; gives up if the owner falls silent."""
        scope = trio.CancelScope()
        self._owner_requests.add(scope)
        self._has_requests.set()
        try:
            with scope:
                reply = await self._owner.ask_owner(message, timeout)
                if not is_final(reply):
                    return OwnerFailure(reply, None)
                self._stored_memory = 0
                self._owner_is_full = isinstance(reply, FullAnswer)
                return reply
        except PeerUnreachableError as error:
            return OwnerFailure(None, error)
        finally:
            self._owner_requests.discard(scope)
        silent = PeerUnreachableError("the owner is silent", sent=True)
        return OwnerFailure(None, silent)

    async def _cancel_when_silent(self) -> None:
        """Cancels open requests while the owner is silent."""
        while True:
            if not self._owner_requests:
                self._has_requests = trio.Event()
                await self._has_requests.wait()
            await trio.sleep(_SILENCE_CHECK_INTERVAL)
            if self._owner_silence() > OWNER_SILENCE_TIMEOUT:
                for scope in self._owner_requests:
                    scope.cancel()

    async def _forward(
        self, message: _StorableRequest, failure: OwnerFailure
    ) -> GatewayMessage:
        """Forwards a request to another VM and returns its reply.

        If no VM handles it, returns the owner's reply or raises its error.
        """
        try:
            reply = await self._peers.ask(_make_forwarded(message))
        except PeerUnreachableError as error:
            if error.sent and not failure.may_have_happened:
                raise
            return failure.result()
        if failure.may_have_happened and not _is_ok(reply):
            # A refusal does not tell what came of the request to the owner.
            return failure.result()
        note("handed_over", job=message.job)
        meters.add_intake_stored("handed over")
        return reply

    def _fits(self, memory: int) -> bool:
        """Returns whether the next owner can hold one more job from this VM."""
        share = INTAKE_MEMORY // max(self._vm_count(), 1)
        return not self._owner_is_full and self._stored_memory + memory <= share

    async def _may_store(self, message: _StorableRequest) -> bool:
        if not await self._configs.check_current():
            return False
        if isinstance(message, CancelJob):
            return True
        return await self._configs.current_queue(message.queue) is not None

    async def _store(
        self, message: _StorableRequest, failure: OwnerFailure
    ) -> GatewayMessage | None:
        """Stores a request; returns None if it surely isn't stored.

        Raises:
            PeerUnreachableError: It is not known whether the request is stored.
        """
        if not await self._may_store(message):
            return None
        memory = 0
        if isinstance(message, SubmitJob):
            memory = job_memory(message.spec)
            if not self._fits(memory):
                note("intake_full", job=message.job, stored=self._stored_memory)
                return None
        self._stored_memory += memory
        try:
            await self._writer.put(_record_of(message))
        except StoreUnavailableError as error:
            if not error.sent:
                self._stored_memory = max(self._stored_memory - memory, 0)
                return None
            reason = f"stored perhaps: {error}"
            raise PeerUnreachableError(reason, sent=True) from error
        note(
            "taken_in_without_owner",
            job=message.job,
            cancels=isinstance(message, CancelJob),
            asked_before=failure.may_have_happened,
        )
        if isinstance(message, CancelJob):
            meters.add_intake_stored("cancel")
            return JobAnswer(Outcome.OK, JobState.CANCELLED)
        meters.add_intake_stored("submission")
        return JobAnswer(Outcome.OK, JobState.QUEUED)


def _is_ok(reply: GatewayMessage) -> bool:
    return isinstance(reply, JobAnswer) and reply.outcome is Outcome.OK


def _make_forwarded(message: _StorableRequest) -> ForwardedRequest:
    if isinstance(message, CancelJob):
        return ForwardedRequest(message.job, None, None)
    return ForwardedRequest(message.job, message.queue, message.spec)


def _record_of(message: _StorableRequest) -> Record:
    if isinstance(message, CancelJob):
        return Record(cancel_key(message.job), b"\x01")
    value = records.encode_accepted(message.queue, message.spec, wall.now())
    return Record(submission_key(message.job), value)
