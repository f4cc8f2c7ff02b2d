"""Messages between entry VMs."""

from typing import NamedTuple, TypeAlias

from pimentocross.codec import MessageTags
from pimentocross.owner.job_api import JobReply, Outcome
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState


class Heartbeat(NamedTuple):
    """Asks whether a process lives and owns the cell, in the older form.

    Attributes:
        epoch: Newest epoch that the sender knows.
    """

    epoch: int


class BriefStanding(NamedTuple):
    """How a process stands, as an older one tells or asks.

    Attributes:
        epoch: Of the cell that it owns, or 0.
        ready: Whether it has taken the cell's state over.
        store_age: Seconds since the store acknowledged an append.
    """

    epoch: int
    ready: bool
    store_age: float


class AskStanding(NamedTuple):
    """Asks whether a process lives and owns the cell.

    Attributes:
        epoch: Newest epoch that the sender knows.
    """

    epoch: int


class Standing(NamedTuple):
    """How a process stands.

    Attributes:
        epoch: Of the cell that it owns, or 0.
        ready: Whether it has taken the cell's state over.
        store_age: Seconds since the store acknowledged an append.
        takeover_age: For how many seconds it has been taking over, or 0.
    """

    epoch: int
    ready: bool
    store_age: float
    takeover_age: float = 0.0


class SubmitJob(NamedTuple):
    """Asks the owner to take a job in."""

    job: str
    queue: Queue
    spec: JobSpec


class HandOver(NamedTuple):
    """Asks a VM that the store serves to take a job in, or to cancel one.

    Attributes:
        job: The job.
        queue: Its queue, or None for a cancel.
        spec: What is asked for, or None for a cancel.
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
    """The owner has taken no job in, for want of room.

    A message of its own: former versions read no longer form of `JobAnswer`.

    Attributes:
        retry_after: Seconds after which there should be room.
    """

    retry_after: float


class AskPending(NamedTuple):
    """Asks the owner how many jobs of a queue wait."""

    queue: str


class PendingAnswer(NamedTuple):
    """How many jobs wait, or None if the owner isn't sure."""

    pending: int | None


class NotOwner(NamedTuple):
    """The question was not for this process; nothing was done."""

    reason: str


GatewayMessage: TypeAlias = (
    Heartbeat
    | BriefStanding
    | AskStanding
    | Standing
    | SubmitJob
    | HandOver
    | AskState
    | CancelJob
    | JobAnswer
    | FullAnswer
    | AskPending
    | PendingAnswer
    | NotOwner
)

# The tags are part of the wire form: one is never used again for another.
GATEWAY_MESSAGES: MessageTags[GatewayMessage] = MessageTags(
    {
        "hb": Heartbeat,
        "hb+": BriefStanding,
        "standing": AskStanding,
        "standing+": Standing,
        "submit": SubmitJob,
        "hand-over": HandOver,
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
    """Returns the message that tells a reply of the owner's desk."""
    if reply.outcome is Outcome.FULL:
        return FullAnswer(reply.retry_after)
    return JobAnswer(reply.outcome, reply.state)
