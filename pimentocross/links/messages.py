"""Messages between entry VMs: requests, and answers to them.

They are packed by position, so the order of fields is part of the wire format.
"""

from typing import Any, NamedTuple, TypeAlias

from pimentocross.backing.workers import Resources
from pimentocross.codec import MessageTags
from pimentocross.links.peer import PeerLink, PeerListener
from pimentocross.zones.views import Target


class Heartbeat(NamedTuple):
    """Reports that the sender is alive and asks for a `HeartbeatReply`.

    Attributes:
        config: Configuration version in force at the sender.
        in_flight: Number of its requests at each target, by address.
        cells: Cells that it owns: name, epoch, pending tasks, free slots.
        takes_over: Whether it may claim cells: all earlier members have
            acknowledged it, and it is not stopping.
    """

    config: int
    in_flight: list[tuple[str, int]]
    cells: list[tuple[str, int, int, int]]
    takes_over: bool


class HeartbeatReply(NamedTuple):
    """How far the peer has read the stream; see `authority.Statement`.

    Attributes:
        position: The peer's position in the ownership stream.
        read_age: Seconds since it sent the latest read that reached the
            stream's end, or None if no read has reached it.
        acknowledged: New members that it has acknowledged.
        config: Configuration version in force at the peer.
    """

    position: int
    read_age: float | None
    acknowledged: list[str]
    config: int


class Acknowledge(NamedTuple):
    """Asks to include a new member under rule 1; see `authority`."""

    process: str


class Acknowledged(NamedTuple):
    """Whether the peer acknowledges the new member.

    If so, the peer also asks the new member from now on before statements of
    the members confirm its ownership: rule 1 in `contracts.authority`.
    """

    promised: bool


class PushTargets(NamedTuple):
    """All service targets of one cell; replaces those sent before."""

    cell: str
    epoch: int
    version: int
    targets: list[Target]


class Done(NamedTuple):
    """Confirms a request that has no other answer."""


class SubmitJob(NamedTuple):
    """Submits a job to the owner of a cell; idempotent by the job's id.

    `trace` is the id at which the log's action tree continues, or "".
    """

    cell: str
    job: str
    tenant: str
    class_name: str
    tasks: int
    input: str
    timeout: float
    trace: str


class CancelJob(NamedTuple):
    """Asks the cell's owner to cancel a job."""

    cell: str
    job: str
    timeout: float


class RecordOutcome(NamedTuple):
    """The outcome of publishing a record; see `outbox.Verdict`."""

    outcome: str
    reason: str


class AskJob(NamedTuple):
    """Asks the cell's owner for the state of a job."""

    cell: str
    job: str


class JobAnswer(NamedTuple):
    """The state of a job, from its cell's owner.

    Attributes:
        state: "accepted", "finished", "failed" or "cancelled", or "" if the
            job is unknown.
        class_name: Batch class of the job.
        tasks: Number of its tasks.
        finished: Number of its finished tasks.
        results: Results of finished tasks, in the order of their indexes.
        reason: Why the job failed, or "".
    """

    state: str
    class_name: str = ""
    tasks: int = 0
    finished: int = 0
    results: list[str] = []  # noqa: RUF012
    reason: str = ""


class AskWhy(NamedTuple):
    """Asks for reasons that explain the state of a job, task or worker."""

    subject: str


class WhyAnswer(NamedTuple):
    """One line for each reason; none if the peer doesn't know the subject."""

    reasons: list[str]


class DrainWorker(NamedTuple):
    """Asks the owner to drain a worker."""

    worker: str


class DrainWorkerReply(NamedTuple):
    """Whether the peer knows the worker and drains it."""

    known: bool


class AskStatus(NamedTuple):
    """Asks for the status of an entry VM."""


class CellStatus(NamedTuple):
    """The status of a cell, from its owner."""

    cell: str
    epoch: int
    pending: int
    running: int
    free_slots: int
    workers: int
    workers_met: int
    open_jobs: int


class StatusAnswer(NamedTuple):
    """The status of an entry VM."""

    name: str
    process: str
    zone: str
    config: int
    draining: bool
    log_away: bool
    confirmed_age: float | None
    peers: list[str]
    cells: list[CellStatus]
    in_flight: int


class AskVms(NamedTuple):
    """Asks for the workers of the cells that the peer owns."""


class WorkerStatus(NamedTuple):
    """The status of a worker, from its cell's owner."""

    worker: str
    cell: str
    met: bool
    leaving: bool
    capacity: Resources
    free: Resources
    tasks: int


class VmsAnswer(NamedTuple):
    """The workers of the cells that the peer owns."""

    workers: list[WorkerStatus]


class AskJobs(NamedTuple):
    """Asks for at most `most` jobs of the cells that the peer owns."""

    most: int


class JobStatus(NamedTuple):
    """One job in a `JobsAnswer`."""

    job: str
    class_name: str
    tenant: str
    state: str
    tasks: int
    finished: int


class JobsAnswer(NamedTuple):
    """Jobs of the cells that the peer owns, newest last."""

    jobs: list[JobStatus]


class AskFold(NamedTuple):
    """Asks for the state folded from a stream that all entry VMs read."""

    stream: str


class FoldAnswer(NamedTuple):
    """A `fold.FoldDump`; `position` is -1 if the peer has none."""

    position: int
    state: dict[str, Any]
    ids: list[tuple[str, int, str | None]]


class AskRecords(NamedTuple):
    """Asks for the records of a stream from the offset `start` on."""

    stream: str
    start: int


class RecordsAnswer(NamedTuple):
    """Records with offsets; `known` is False if the peer lacks some."""

    known: bool
    records: list[tuple[int, dict[str, Any]]]


class WaitConfig(NamedTuple):
    """Asks for an answer when a configuration version is in force."""

    version: int
    timeout: float


class ConfigInForce(NamedTuple):
    """The configuration version in force at the peer."""

    version: int


class AskKey(NamedTuple):
    """Asks the claimant of an idempotency key how the request ended."""

    key: str
    timeout: float


class KeyAnswer(NamedTuple):
    """How a request with an idempotency key ended.

    Attributes:
        state: "done", "released" or "unknown".
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: Body of the answer.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class AskHistograms(NamedTuple):
    """Asks for latency histograms."""


class HistogramsAnswer(NamedTuple):
    """Kind, name and HdrHistogram encoding of each histogram."""

    histograms: list[tuple[str, str, bytes]]


class Refused(NamedTuple):
    """The request could not be answered."""

    reason: str


PeerMessage: TypeAlias = (
    Heartbeat
    | HeartbeatReply
    | Acknowledge
    | Acknowledged
    | PushTargets
    | Done
    | SubmitJob
    | CancelJob
    | RecordOutcome
    | AskJob
    | JobAnswer
    | AskWhy
    | WhyAnswer
    | DrainWorker
    | DrainWorkerReply
    | AskStatus
    | StatusAnswer
    | AskVms
    | VmsAnswer
    | AskJobs
    | JobsAnswer
    | AskFold
    | FoldAnswer
    | AskRecords
    | RecordsAnswer
    | WaitConfig
    | ConfigInForce
    | AskKey
    | KeyAnswer
    | AskHistograms
    | HistogramsAnswer
    | Refused
)

# The tags are part of the wire format: a removed tag is never reused.
PEER_MESSAGES: MessageTags[PeerMessage] = MessageTags(
    {
        "hb": Heartbeat,
        "hb+": HeartbeatReply,
        "ack": Acknowledge,
        "ack+": Acknowledged,
        "targets": PushTargets,
        "done": Done,
        "submit": SubmitJob,
        "cancel": CancelJob,
        "judged": RecordOutcome,
        "job": AskJob,
        "job+": JobAnswer,
        "why": AskWhy,
        "why+": WhyAnswer,
        "leave": DrainWorker,
        "leave+": DrainWorkerReply,
        "status": AskStatus,
        "status+": StatusAnswer,
        "vms": AskVms,
        "vms+": VmsAnswer,
        "jobs": AskJobs,
        "jobs+": JobsAnswer,
        "fold": AskFold,
        "fold+": FoldAnswer,
        "records": AskRecords,
        "records+": RecordsAnswer,
        "config": WaitConfig,
        "config+": ConfigInForce,
        "key": AskKey,
        "key+": KeyAnswer,
        "histograms": AskHistograms,
        "histograms+": HistogramsAnswer,
        "refused": Refused,
    }
)

EntryLink: TypeAlias = PeerLink[PeerMessage]
EntryListener: TypeAlias = PeerListener[PeerMessage]
