"""Handles callers' requests on an entry VM: submit, query and cancel jobs."""

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
    """Kind of answer to a caller's request.

    `NOT_ACCEPTED` and `FULL` guarantee that the job never runs; after
    `UNKNOWN` it may still run.
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
    """The answer to a caller's request.

    Attributes:
        kind: Kind of answer.
        state: State of the job, or None if the answer has none.
        pending: Number of jobs that wait in the queue; only for `PENDING`.
        reason: Why the request failed, or "".
        retry_after: Seconds after which the caller should retry, or 0.
    """

    kind: AnswerKind
    state: JobState | None = None
    pending: int = 0
    reason: str = ""
    retry_after: float = 0.0


class QueuePath(NamedTuple):
    """A request path, split into its queue and the rest.

    Attributes:
        queue: Queue whose prefix the path begins with.
        rest: What follows the prefix: the job's id, or "" for the queue.
    """

    queue: Queue
    rest: str


class ConfigAccess(Protocol):
    """Access to the configuration on this VM; see `ConfigFollower`."""

    @property
    def config(self) -> WorkConfig | None:
        """The configuration in force, or None before the first."""
        ...

    async def check_current(self) -> bool:
        """Returns whether the copy has every change that must be in force."""
        ...


class OwnerAccess(Protocol):
    """Sends requests to the cell's owner, on this VM or another one."""

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Sends a request to the owner and returns its reply.

        Args:
            message: The request.
            timeout: Seconds to wait for the reply.

        Raises:
            PeerUnreachableError: There was no reply. If `sent` is set, the
                owner may have handled the request all the same.
        """
        ...

    def owner_absent(self) -> float:
        """Returns for how many seconds no owner has been reachable."""
        ...

    async def store_answers(self) -> bool:
        """Returns whether the store currently answers this VM."""
        ...


class CallerRequestHandler:
    """Forwards callers' requests to the cell's owner and builds the answers.

    Attributes:
        draining: Whether this VM is about to stop.
        histograms: Latencies of submissions, by queue.
    """

    def __init__(self, configs: ConfigAccess, owner: OwnerAccess) -> None:
        """Initializes the handler with `draining` unset."""
        self.draining = False
        self.histograms = Histograms()
        self._returns = ReturnTimes()
        self._configs = configs
        self._owner = owner

    def ready(self) -> bool:
        """Returns whether the load balancer should send callers to this VM."""
        if self.draining or self._configs.config is None:
            return False
        return self._owner.owner_absent() < const.READY_WITHOUT_OWNER

    async def find(self, host: str, path: str) -> QueuePath | Answer:
        """Returns the queue of a path, or the answer if there is none."""
        if self._configs.config is None:
            return self._not_accepted("no configuration yet")
        queue_path = self._find_path(host, path)
        if queue_path is not None:
            return queue_path
        # A copy that is not fresh may lack a route confirmed a moment ago.
        current = await self._configs.check_current()
        queue_path = self._find_path(host, path)
        if queue_path is not None:
            return queue_path
        version = self._configs.config.version
        if not current:
            note("queue_unsure", host=host, version=version)
            return self._not_accepted("the configuration may have changed")
        note("no_such_queue", host=host, version=version)
        return Answer(AnswerKind.NO_SUCH_QUEUE)

    def _find_path(self, host: str, path: str) -> QueuePath | None:
        config = self._configs.config
        queue = config.find_queue(host, path) if config is not None else None
        if queue is None:
            return None
        rest = path[len(queue.prefix) :]
        if len(rest.encode()) > const.MAX_JOB_ID_BYTES:
            return None
        return QueuePath(queue, rest)

    async def submit(
        self, queue_path: QueuePath, spec: JobSpec, deadline: float
    ) -> Answer:
        """Submits a job; `deadline` is how many seconds the caller waits.

        If the owner ends or loses the store during the request, it is not known
        whether the job will run. The request is then repeated until a new owner
        accepts the job, which is safe because the job's id makes submissions
        idempotent. If this VM can't reach the store either, the request is not
        repeated.
        """
        message = SubmitJob(queue_path.rest, queue_path.queue, spec)
        timeout = deadline * const.OWNER_SHARE
        retry_until = trio.current_time() + timeout
        answer = await self._submit_once(queue_path, message, timeout, timeout)
        while answer.kind is AnswerKind.UNKNOWN:
            if trio.current_time() + const.ASK_AGAIN_PAUSE >= retry_until:
                break
            if not await self._owner.store_answers():
                break
            await trio.sleep(const.ASK_AGAIN_PAUSE)
            left = max(retry_until - trio.current_time(), 0.0)
            retried = await self._submit_once(
                queue_path, message, min(left, const.ASK_AGAIN_TIMEOUT), left
            )
            # A refusal does not tell what came of the earlier request.
            if retried.kind is AnswerKind.ACCEPTED:
                answer = retried
        return answer

    async def _submit_once(
        self,
        queue_path: QueuePath,
        message: SubmitJob,
        timeout: float,
        max_wait: float,
    ) -> Answer:
        asked_at = trio.current_time()
        try:
            reply = await self._ask_within(message, timeout, max_wait)
        except PeerUnreachableError as error:
            return self._unanswered(queue_path.rest, error)
        took = trio.current_time() - asked_at
        self.histograms.record(Label("queue", queue_path.queue.name), took)
        if isinstance(reply, JobAnswer):
            if reply.outcome is Outcome.OK:
                return Answer(AnswerKind.ACCEPTED)
            if reply.outcome is Outcome.UNSURE:
                return self._unsure(reply)
        if isinstance(reply, FullAnswer):
            return self._with_retry_after(
                AnswerKind.FULL, Outcome.FULL.value, reply.retry_after
            )
        return self._refused(queue_path.rest, reply)

    async def query(self, host: str, path: str, deadline: float) -> Answer:
        """Returns a job's state, or how many jobs wait in a queue."""
        queue_path = await self.find(host, path)
        if isinstance(queue_path, Answer):
            return queue_path
        try:
            if not queue_path.rest:
                reply = await self._ask(
                    AskPending(queue_path.queue.name), deadline
                )
            else:
                reply = await self._ask(AskState(queue_path.rest), deadline)
        except PeerUnreachableError as error:
            return self._unavailable(str(error))
        if isinstance(reply, PendingAnswer) and reply.pending is not None:
            return Answer(AnswerKind.PENDING, pending=reply.pending)
        return self._job_answer(reply, AnswerKind.STATE)

    async def cancel(self, host: str, path: str, deadline: float) -> Answer:
        """Cancels a job."""
        queue_path = await self.find(host, path)
        if isinstance(queue_path, Answer):
            return queue_path
        try:
            reply = await self._ask(CancelJob(queue_path.rest), deadline)
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
        self, message: GatewayMessage, timeout: float, max_wait: float
    ) -> GatewayMessage:
        """Sends a request to the owner and returns the reply.

        Args:
            message: The request.
            timeout: Seconds to wait for the owner.
            max_wait: Seconds after which this call gives up, also if the
                request is then being stored or forwarded without the owner.

        Raises:
            PeerUnreachableError: There was no reply in time.
        """
        with trio.move_on_after(max_wait):
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
        return self._with_retry_after(AnswerKind.NOT_ACCEPTED, reason)

    def _unavailable(self, reason: str) -> Answer:
        return self._with_retry_after(AnswerKind.UNAVAILABLE, reason)

    def _unsure(self, reply: JobAnswer) -> Answer:
        """Returns the answer for an unknown outcome, with a time to retry.

        An immediate retry would not find out more.
        """
        return self._with_retry_after(AnswerKind.UNKNOWN, reply.outcome.value)

    def _with_retry_after(
        self, kind: AnswerKind, reason: str, earliest: float = 0.0
    ) -> Answer:
        """Returns an answer that tells the caller when to retry.

        Args:
            kind: Kind of answer.
            reason: Why the request failed.
            earliest: Seconds before which a retry would surely fail, or 0.
        """
        seconds = self._returns.assign(earliest, trio.current_time())
        return Answer(kind, reason=reason, retry_after=seconds)


def _reason(reply: GatewayMessage) -> str:
    if isinstance(reply, JobAnswer):
        return reply.outcome.value
    if isinstance(reply, NotOwner):
        return reply.reason
    return "the owner isn't sure"
