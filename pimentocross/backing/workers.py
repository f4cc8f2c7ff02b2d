"""Interface of the workers: tasks, commands and reports.

One exchange sends all commands for a worker and returns all changes. The wire
format is an assumption; see `docs/platform-assumptions.md`.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol

from pimentocross.codec import MessageTags


class Resources(NamedTuple):
    """Resources of a VM or a task; memory is in bytes."""

    processors: float
    memory: int
    accelerators: int
    slots: int

    def plus(self, other: "Resources") -> "Resources":
        """Returns the component-wise sum."""
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the component-wise difference."""
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits_in(self, free: "Resources") -> bool:
        """Returns whether no component exceeds that of `free`."""
        return all(a <= b for a, b in zip(self, free, strict=True))


NO_RESOURCES = Resources(0.0, 0, 0, 0)


class TaskKind(StrEnum):
    """Kind of work that a task belongs to."""

    SERVICE = "service"
    BATCH = "batch"
    WATCH = "watch"


class TaskState(StrEnum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class Attempt(NamedTuple):
    """An attempt to run a task; ordered by epoch, then by number."""

    epoch: int
    number: int


class TaskSpec(NamedTuple):
    """Specification of a task that a worker runs.

    Attributes:
        task: Id of the task, unique in the cluster.
        attempt: Number of this attempt.
        kind: Kind of work that the task belongs to.
        class_name: Name of its service, batch class or watch.
        tenant: Tenant that owns the task.
        size: Resources that the task may use.
        input: Input of the task.
        checkpoint: Checkpoint to resume from, or "".
    """

    task: str
    attempt: Attempt
    kind: TaskKind
    class_name: str
    tenant: str
    size: Resources
    input: str
    checkpoint: str


class Start(NamedTuple):
    """Starts a task; idempotent for the same attempt."""

    spec: TaskSpec


class Stop(NamedTuple):
    """Stops a task, after writing a checkpoint if requested."""

    task: str
    attempt: Attempt
    checkpoint: bool


class Throttle(NamedTuple):
    """Limits a task to a share (0 to 1) of its processors."""

    task: str
    attempt: Attempt
    share: float


class Forget(NamedTuple):
    """Removes a task that no longer runs and whose end is recorded."""

    task: str
    attempt: Attempt


Command = Start | Stop | Throttle | Forget

COMMANDS: MessageTags[Command] = MessageTags(
    {"start": Start, "stop": Stop, "throttle": Throttle, "forget": Forget}
)


class TaskReport(NamedTuple):
    """A worker's report on a task.

    Attributes:
        spec: Specification that the task was started with.
        state: Whether the task runs, or how it ended.
        checkpoint: Newest checkpoint, or "".
        result: Result of the task, or the reason of its failure.
        throttle: Share of its processors that the task may use.
    """

    spec: TaskSpec
    state: TaskState
    checkpoint: str
    result: str
    throttle: float


class Usage(NamedTuple):
    """Measured resource usage of a task over a past interval.

    Attributes:
        task: Id of the task.
        class_name: Name of its service, batch class or watch.
        measured_at: The worker's clock at the middle of the interval.
        processors: Mean number of processors used.
        memory: Peak memory use, in bytes.
        slowdown: Duration divided by the duration without other tasks.
    """

    task: str
    class_name: str
    measured_at: float
    processors: float
    memory: int
    slowdown: float


class Exchange(NamedTuple):
    """Commands of a cell's owner to a worker, with their fencing data.

    Attributes:
        cell: Cell that the worker belongs to.
        epoch: Epoch of the ownership under which the owner acts.
        sequence: Increases with each exchange of an epoch.
        incarnation: Id of the addressed worker process, or "" for any.
        not_after: Time on the worker's clock at which the commands expire.
        lease_until: Time on the worker's clock until which batch and watch
            tasks may run.
        service_lease_until: Like `lease_until`, for service tasks.
        seen: Number of the newest change that the owner has received.
        commands: Commands in order, each in its array form.
    """

    cell: str
    epoch: int
    sequence: int
    incarnation: str
    not_after: float
    lease_until: float
    service_lease_until: float
    seen: int
    commands: list[list[object]]


class ExchangeReply(NamedTuple):
    """A worker's reply to an exchange.

    Attributes:
        incarnation: Id of this worker process.
        clock: Monotonic clock of the worker when it replied, in seconds.
        capacity: Resources of the worker.
        service_address: host:port at which its service tasks answer.
        connections: Number of connections that its service tasks accept.
        leaving: Whether the worker has to be drained.
        seen: Number of the newest change in `changes`.
        changes: Tasks that changed since the `seen` of the request.
        usage: New measurements.
    """

    incarnation: str
    clock: float
    capacity: Resources
    service_address: str
    connections: int
    leaving: bool
    seen: int
    changes: list[TaskReport]
    usage: list[Usage]


class Refusal(StrEnum):
    """Reason for which a worker refuses an exchange."""

    KEY = "key is missing or wrong"
    STALE_EPOCH = "a later epoch has been met"
    STALE_SEQUENCE = "a later exchange has been met"
    INCARNATION = "another process runs here"
    TOO_LATE = "not-after has passed"
    CELL = "the worker is in another cell"


class WorkerRefusedError(Exception):
    """The worker refused the exchange and carried out none of it."""

    def __init__(self, refusal: Refusal) -> None:
        """Initializes the error with the reason of the refusal."""
        super().__init__(refusal.value)
        self.refusal = refusal


class WorkerUnreachableError(Exception):
    """The worker did not answer; it may have executed any of the commands."""


class WorkerLink(Protocol):
    """Sends exchanges to one worker."""

    async def exchange(self, request: Exchange) -> ExchangeReply:
        """Sends commands and returns the changes.

        Raises:
            WorkerRefusedError: The worker executed none of the commands.
            WorkerUnreachableError: Any of the commands may have been executed.
        """
        ...


class WorkerDialer(Protocol):
    """Creates links to workers."""

    def link(self, address: str) -> WorkerLink:
        """Returns a link to the worker at host:port; connects on use."""
        ...
