"""What callers ask of an entry VM, and what they are told."""

from enum import StrEnum
from typing import NamedTuple, Protocol

import trio

from pimentocross.gateway import const
from pimentocross.gateway.messages import (
    AskPending,
    AskState,
    CancelJob,
    FullAnswer,
    GatewayMessage,
    JobAnswer,
    NotOwner,
    PendingAnswer,
    SubmitJob,
)
from pimentocross.gateway.return_times import ReturnTimes
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe.decisions import note
from pimentocross.observe.histograms import Histograms, Label
from pimentocross.owner.job_api import Outcome
from pimentocross.work.queue import Queue, WorkConfig
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState


class AnswerKind(StrEnum):
    """What a caller is told.

    `NOT_ACCEPTED` and `FULL` promise that the job never runs; after `UNKNOWN`
    it may.
    """

    ACCEPTED = "accepted"
    STATE = "state"
    CANCELLED = "cancelled"
    PENDING = "pending"
    NO_SUCH_QUEUE = "no such queue"
    NO_SUCH_JOB = "no such job"
    NOT_ACCEPTED = "not accepted"
    FULL = "full"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Answer(NamedTuple):
    """An answer to a caller; `retry_after` in seconds, 0 for none."""

    kind: AnswerKind
    state: JobState | None = None
    pending: int = 0
    reason: str = ""
    retry_after: float = 0.0


class Place(NamedTuple):
    """A queue and what of the path follows its prefix."""

    queue: Queue
    rest: str


class ConfigAccess(Protocol):
    """The configuration in force on this VM; see `ConfigFollower`."""

    @property
    def config(self) -> WorkConfig | None:
        """The configuration in force, or None before the first."""
        ...

    async def make_current(self) -> bool:
        """Returns whether no change that has to be in force can be missing."""
        ...


class OwnerAccess(Protocol):
    """Reaches the cell's owner, here or on another VM."""

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Asks the owner.

        Raises:
            PeerUnreachableError: No answer; `sent` tells what that means.
        """
        ...

    def owner_absent(self) -> float:
        """Returns for how many seconds no owner could be asked."""
        ...

    async def store_answers(self) -> bool:
        """Returns whether the store answers this VM now."""
        ...


class CallerDesk:
    """Finds the queue, asks the owner, and words the answer.

    Attributes:
        draining: Whether this VM is about to stop.
        histograms: How long submissions took, by queue.
    """

    def __init__(self, configs: ConfigAccess, owner: OwnerAccess) -> None:
        """Takes the configuration in force and how the owner is reached."""
        self.draining = False
        self.histograms = Histograms()
        self._returns = ReturnTimes()
        self._configs = configs
        self._owner = owner

    def ready(self) -> bool:
        """True if this VM should get new callers."""
        if self.draining or self._configs.config is None:
            return False
        return self._owner.owner_absent() < const.READY_WITHOUT_OWNER

    async def find(self, host: str, path: str) -> Place | Answer:
        """Returns the queue of a path, or what to answer without one."""
        if self._configs.config is None:
            return self._not_accepted("no configuration yet")
        place = self._place(host, path)
        if place is not None:
            return place
        # A copy that isn't fresh may lack a route that was just confirmed.
        current = await self._configs.make_current()
        place = self._place(host, path)
        if place is not None:
            return place
        version = self._configs.config.version
        if not current:
            note("queue_unsure", host=host, version=version)
            return self._not_accepted("the configuration may have changed")
        note("no_such_queue", host=host, version=version)
        return Answer(AnswerKind.NO_SUCH_QUEUE)

    def _place(self, host: str, path: str) -> Place | None:
        config = self._configs.config
        queue = config.find_queue(host, path) if config is not None else None
        if queue is None:
            return None
        rest = path[len(queue.prefix) :]
        if len(rest.encode()) > const.JOB_ID_BYTES_MOST:
            return None
        return Place(queue, rest)

    async def submit(
        self, place: Place, spec: JobSpec, deadline: float
    ) -> Answer:
        """Submits a job; `deadline` is how long the caller waits.

        The owner may go while it is asked, or be cut off from the store. Its
        caller could then be told neither that the job runs nor that it never
        will, so its successor is asked again: the same id is the same job. It
        is not waited for while the store is away from this VM, too.
        """
        message = SubmitJob(place.rest, place.queue, spec)
        timeout = deadline * const.OWNER_SHARE
        until = trio.current_time() + timeout
        answer = await self._submit_once(place, message, timeout, timeout)
        while answer.kind is AnswerKind.UNKNOWN:
            if trio.current_time() + const.ASK_AGAIN_PAUSE >= until:
                break
            if not await self._owner.store_answers():
                break
            await trio.sleep(const.ASK_AGAIN_PAUSE)
            left = max(until - trio.current_time(), 0.0)
            again = await self._submit_once(
                place, message, min(left, const.ASK_AGAIN_MOST), left
            )
            # A refusal says nothing of what was asked before.
            if again.kind is AnswerKind.ACCEPTED:
                answer = again
        return answer

    async def _submit_once(
        self, place: Place, message: SubmitJob, timeout: float, most: float
    ) -> Answer:
        asked_at = trio.current_time()
        try:
            reply = await self._ask_within(message, timeout, most)
        except PeerUnreachableError as error:
            return self._unanswered(place.rest, error)
        took = trio.current_time() - asked_at
        self.histograms.record(Label("queue", place.queue.name), took)
        if isinstance(reply, JobAnswer):
            if reply.outcome is Outcome.OK:
                return Answer(AnswerKind.ACCEPTED)
            if reply.outcome is Outcome.UNSURE:
                return self._unsure(reply)
        if isinstance(reply, FullAnswer):
            return self._with_return(
                AnswerKind.FULL, Outcome.FULL.value, reply.retry_after
            )
        return self._refused(place.rest, reply)

    async def look(self, host: str, path: str, deadline: float) -> Answer:
        """Tells a job's state, or how many wait in a queue."""
        place = await self.find(host, path)
        if isinstance(place, Answer):
            return place
        try:
            if not place.rest:
                reply = await self._ask(AskPending(place.queue.name), deadline)
            else:
                reply = await self._ask(AskState(place.rest), deadline)
        except PeerUnreachableError as error:
            return self._unavailable(str(error))
        if isinstance(reply, PendingAnswer) and reply.pending is not None:
            return Answer(AnswerKind.PENDING, pending=reply.pending)
        return self._job_answer(reply, AnswerKind.STATE)

    async def cancel(self, host: str, path: str, deadline: float) -> Answer:
        """Cancels a job."""
        place = await self.find(host, path)
        if isinstance(place, Answer):
            return place
        try:
            reply = await self._ask(CancelJob(place.rest), deadline)
        except PeerUnreachableError as error:
            if error.sent:
                return Answer(AnswerKind.UNKNOWN, reason=str(error))
            return self._unavailable(str(error))
        return self._job_answer(reply, AnswerKind.CANCELLED)

    async def _ask(
        self, message: GatewayMessage, deadline: float
    ) -> GatewayMessage:
        timeout = deadline * const.OWNER_SHARE
        return await self._ask_within(message, timeout, timeout)

    async def _ask_within(
        self, message: GatewayMessage, timeout: float, most: float
    ) -> GatewayMessage:
        """Asks the owner for a time, and for longer what does without it.

        Raises:
            PeerUnreachableError: No answer, as once the most time is over.
        """
        with trio.move_on_after(most):
            return await self._owner.ask_owner(message, timeout)
        raise PeerUnreachableError("no answer in time", sent=True)

    def _unanswered(self, job: str, error: PeerUnreachableError) -> Answer:
        note("submit_unanswered", job=job, sent=error.sent, reason=str(error))
        if error.sent:
            return Answer(AnswerKind.UNKNOWN, reason=str(error))
        return self._not_accepted(str(error))

    def _refused(self, job: str, reply: GatewayMessage) -> Answer:
        reason = _reason(reply)
        note("submit_refused", job=job, reason=reason)
        return self._not_accepted(reason)

    def _job_answer(self, reply: GatewayMessage, kind: AnswerKind) -> Answer:
        if isinstance(reply, JobAnswer):
            if reply.outcome is Outcome.OK:
                return Answer(kind, state=reply.state)
            if reply.outcome is Outcome.NO_SUCH_JOB:
                return Answer(AnswerKind.NO_SUCH_JOB)
            if reply.outcome is Outcome.UNSURE:
                return self._unsure(reply)
        return self._unavailable(_reason(reply))

    def _not_accepted(self, reason: str) -> Answer:
        return self._with_return(AnswerKind.NOT_ACCEPTED, reason)

    def _unavailable(self, reason: str) -> Answer:
        return self._with_return(AnswerKind.UNAVAILABLE, reason)

    def _unsure(self, reply: JobAnswer) -> Answer:
        """Words an open outcome: asked at once again, it is no clearer."""
        return self._with_return(AnswerKind.UNKNOWN, reply.outcome.value)

    def _with_return(
        self, kind: AnswerKind, reason: str, earliest: float = 0.0
    ) -> Answer:
        """Words an answer that tells when to come back.

        Args:
            kind: What it says.
            reason: Why.
            earliest: Seconds before which it surely is no better, or 0.
        """
        seconds = self._returns.assign(earliest, trio.current_time())
        return Answer(kind, reason=reason, retry_after=seconds)


def _reason(reply: GatewayMessage) -> str:
    if isinstance(reply, JobAnswer):
        return reply.outcome.value
    if isinstance(reply, NotOwner):
        return reply.reason
    return "the owner isn't sure"
