"""Messages between entry VMs."""

from typing import Any, NamedTuple, TypeAlias

from pimentocross.backing.workers import Resources
from pimentocross.codec import MessageTags
from pimentocross.links.peer import PeerLink, PeerListener
from pimentocross.zones.views import Target


class Heartbeat(NamedTuple):
    """A peer lives; also asks for a statement on ownership.

    Attributes:
        config: Configuration version in force at the sender.
        in_flight: Requests that it has at targets, by address.
        cells: Cells it owns: name, epoch, pending tasks, free slots.
        takes_over: Whether it may claim cells: all earlier members have
            acknowledged it, and it is not about to stop.
    """

    config: int
    in_flight: list[tuple[str, int]]
    cells: list[tuple[str, int, int, int]]
    takes_over: bool


class HeartbeatReply(NamedTuple):
    """A statement on ownership; see `authority.Statement`.

    Attributes:
        position: The answerer's position in the ownership stream.
        read_age: Seconds since it sent the read that reached the end.
        acknowledged: Newcomers that it has promised to ask.
        config: Configuration version in force there.
    """

    position: int
    read_age: float | None
    acknowledged: list[str]
    config: int


class Acknowledge(NamedTuple):
    """A newcomer asks to be asked under rule 1."""

    process: str


class Acknowledged(NamedTuple):
    """Whether the newcomer will be asked."""

    promised: bool


class PushTargets(NamedTuple):
    """Where the services of one cell answer, in place of what was sent."""

    cell: str
    epoch: int
    version: int
    targets: list[Target]


class Done(NamedTuple):
    """Taken in."""


class SubmitJob(NamedTuple):
    """A job for a cell that the asked one owns; idempotent by its id.

    `trace` is where the log's action tree goes on, or "".
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
    """A cancellation for the cell's owner."""

    cell: str
    job: str
    timeout: float


class Judged(NamedTuple):
    """What became of a record that was asked for; see `fold.Verdict`."""

    outcome: str
    reason: str


class AskJob(NamedTuple):
    """Asks the cell's owner for a job."""

    cell: str
    job: str


class JobAnswer(NamedTuple):
    """A job as its cell's owner knows it.

    Attributes:
        state: "accepted", "finished", "failed" or "cancelled"; "" unknown.
        class_name: Its batch class.
        tasks: How many tasks it has.
        finished: How many of them have finished.
        results: Results of finished tasks, in the order of their indexes.
        reason: Why it failed, or "".
    """

    state: str
    class_name: str = ""
    tasks: int = 0
    finished: int = 0
    results: list[str] = []  # noqa: RUF012
    reason: str = ""


class AskWhy(NamedTuple):
    """Asks for the deciding reason of a job, task or worker."""

    subject: str


class WhyAnswer(NamedTuple):
    """Reasons, one a line; empty if the subject is not known there."""

    reasons: list[str]


class LeaveWorker(NamedTuple):
    """Asks the owner to empty a worker."""

    worker: str


class Left(NamedTuple):
    """Whether the worker is known there and is being emptied."""

    known: bool


class AskStatus(NamedTuple):
    """Asks an entry VM what it does."""


class CellStatus(NamedTuple):
    """A cell as its owner sees it."""

    cell: str
    epoch: int
    pending: int
    running: int
    free_slots: int
    workers: int
    workers_met: int
    open_jobs: int


class StatusAnswer(NamedTuple):
    """What an entry VM does."""

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
    """Asks an owner for its workers."""


class WorkerStatus(NamedTuple):
    """A worker as its cell's owner sees it."""

    worker: str
    cell: str
    met: bool
    leaving: bool
    capacity: Resources
    free: Resources
    tasks: int


class VmsAnswer(NamedTuple):
    """Workers of the cells owned there."""

    workers: list[WorkerStatus]


class AskJobs(NamedTuple):
    """Asks an owner for its jobs, newest last."""

    most: int


class JobStatus(NamedTuple):
    """A job in a list."""

    job: str
    class_name: str
    tenant: str
    state: str
    tasks: int
    finished: int


class JobsAnswer(NamedTuple):
    """Jobs of the cells owned there."""

    jobs: list[JobStatus]


class AskFold(NamedTuple):
    """Asks for the whole fold of a stream that all entry VMs read."""

    stream: str


class FoldAnswer(NamedTuple):
    """A fold; position -1 if there is none. See `fold.FoldDump`."""

    position: int
    state: dict[str, Any]
    ids: list[tuple[str, int, str | None]]


class AskRecords(NamedTuple):
    """Asks for the records of a stream from an offset on."""

    stream: str
    start: int


class RecordsAnswer(NamedTuple):
    """Records with their offsets; `known` False if not all are kept."""

    known: bool
    records: list[tuple[int, dict[str, Any]]]


class WaitConfig(NamedTuple):
    """Asks to be answered once a configuration version is in force."""

    version: int
    timeout: float


class ConfigInForce(NamedTuple):
    """The configuration version in force."""

    version: int


class AskKey(NamedTuple):
    """Asks the process that claimed an idempotency key how it ended."""

    key: str
    timeout: float


class KeyAnswer(NamedTuple):
    """How a request with an idempotency key ended.

    Attributes:
        state: "done", "released" or "unknown".
        status: Status of the answer.
        content_type: Its content type.
        body: Its body.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class AskHistograms(NamedTuple):
    """Asks for latency histograms."""


class HistogramsAnswer(NamedTuple):
    """Histograms by label, in the library's own encoding."""

    histograms: list[tuple[str, str, bytes]]


class Refused(NamedTuple):
    """The question could not be answered."""

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
    | Judged
    | AskJob
    | JobAnswer
    | AskWhy
    | WhyAnswer
    | LeaveWorker
    | Left
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

# The tags are part of the wire form: one is never used again for another.
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
        "judged": Judged,
        "job": AskJob,
        "job+": JobAnswer,
        "why": AskWhy,
        "why+": WhyAnswer,
        "leave": LeaveWorker,
        "leave+": Left,
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
