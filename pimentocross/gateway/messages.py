"""Messages between entry VMs."""

from typing import NamedTuple, TypeAlias

from pimentocross.codec import MessageTags
from pimentocross.owner.job_api import JobReply, Outcome
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState


class Heartbeat(NamedTuple):
    """Asks for the ownership status of a process, in the earlier format.

    Attributes:
        epoch: The newest epoch that the sender knows.
    """

    epoch: int


class BriefOwnerStatus(NamedTuple):
    """The ownership status of a process, in the earlier format.

    Attributes:
        epoch: The epoch in which it owns the cell, or 0 if it doesn't.
        ready: Whether it has finished reading the cell's state.
        store_age: Seconds since the store last acknowledged an append.
    """

    epoch: int
    ready: bool
    store_age: float


class AskOwnerStatus(NamedTuple):
    """Asks for the ownership status of a process; serves as heartbeat.

    Attributes:
        epoch: The newest epoch that the sender knows.
    """

    epoch: int


class OwnerStatus(NamedTuple):
    """The ownership status of a process.

    Attributes:
        epoch: The epoch in which it owns the cell, or 0 if it doesn't.
        ready: Whether it has finished reading the cell's state.
        store_age: Seconds since the store last acknowledged an append.
        takeover_age: Seconds since its take-over began, or 0 if none runs.
    """

    epoch: int
    ready: bool
    store_age: float
    takeover_age: float = 0.0


class SubmitJob(NamedTuple):
    """Asks the owner to accept a job."""

    job: str
    queue: Queue
    spec: JobSpec


class ForwardedRequest(NamedTuple):
    """Asks another VM to store a job or a cancel that this VM can't store.

    Attributes:
        job: Id of the job.
        queue: Queue of the job, or None for a cancel.
        spec: What the job runs, or None for a cancel.
    """

    job: str
    queue: Queue | None
    spec: JobSpec | None


class AskState(NamedTuple):
    """Asks the owner for a job's state."""

    job: str


class CancelJob(NamedTuple):
    """Asks the owner to cancel a job."""

    job: str


class JobAnswer(NamedTuple):
    """The owner's answer about a job."""

    outcome: Outcome
    state: JobState | None


class FullAnswer(NamedTuple):
    """The owner refuses a job for lack of capacity.

    It is a message of its own because earlier versions can't decode a longer
    `JobAnswer`.

    Attributes:
        retry_after: Seconds after which there should be capacity.
    """

    retry_after: float


class AskPending(NamedTuple):
    """Asks the owner how many jobs of a queue wait."""

    queue: str


class PendingAnswer(NamedTuple):
    """The number of waiting jobs, or None if the owner isn't sure."""

    pending: int | None


class NotOwner(NamedTuple):
    """This process can't serve the request; nothing was done."""

    reason: str


GatewayMessage: TypeAlias = (
    Heartbeat
    | BriefOwnerStatus
    | AskOwnerStatus
    | OwnerStatus
    | SubmitJob
    | ForwardedRequest
    | AskState
    | CancelJob
    | JobAnswer
    | FullAnswer
    | AskPending
    | PendingAnswer
    | NotOwner
)

# The tags are part of the wire format; never reuse one for another message.
GATEWAY_MESSAGES: MessageTags[GatewayMessage] = MessageTags(
    {
        "hb": Heartbeat,
        "hb+": BriefOwnerStatus,
        "standing": AskOwnerStatus,
        "standing+": OwnerStatus,
        "submit": SubmitJob,
        "hand-over": ForwardedRequest,
        "state": AskState,
        "cancel": CancelJob,
        "job+": JobAnswer,
        "full": FullAnswer,
        "pending": AskPending,
        "pending+": PendingAnswer,
        "not-owner": NotOwner,
    }
)


def job_answer(reply: JobReply) -> JobAnswer | FullAnswer:
    """Returns the message for a reply of the owner about a job."""
    if reply.outcome is Outcome.FULL:
        return FullAnswer(reply.retry_after)
    return JobAnswer(reply.outcome, reply.state)
