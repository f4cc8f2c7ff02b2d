"""Workers: what runs on them, the commands they take, what they report.

One exchange carries all commands for a worker and brings back all that
changed. The wire form is a guess; see `docs/platform-assumptions.md`.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol

from pimentocross.codec import MessageTags


class Resources(NamedTuple):
    """An amount of what a VM can carry; memory in bytes."""

    processors: float
    memory: int
    accelerators: int
    slots: int

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both."""
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference."""
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits_in(self, free: "Resources") -> bool:
        """True if no part exceeds that of `free`."""
        return all(a <= b for a, b in zip(self, free, strict=True))


NOTHING = Resources(0.0, 0, 0, 0)


class TaskKind(StrEnum):
    """What a task is part of."""

    SERVICE = "service"
    BATCH = "batch"
    WATCH = "watch"


class TaskState(StrEnum):
    """What a worker says of a task."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class Attempt(NamedTuple):
    """One try at a task; a later epoch's tries come after all earlier."""

    epoch: int
    number: int


class TaskSpec(NamedTuple):
    """A task as a worker is told to run it.

    Attributes:
        task: Its id, unique in the cluster.
        attempt: Which try this is.
        kind: What it is part of.
        class_name: Its service, batch class or watch.
        tenant: Whose it is.
        size: What it may use.
        input: What the task gets as its input.
        checkpoint: Where to resume, or "".
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
    """Start a task; the same attempt twice is one start."""

    spec: TaskSpec


class Stop(NamedTuple):
    """Stop a task, after a checkpoint if one is asked for."""

    task: str
    attempt: Attempt
    checkpoint: bool


class Throttle(NamedTuple):
    """Let a task use only a share (0 to 1) of its processors."""

    task: str
    attempt: Attempt
    share: float


class Forget(NamedTuple):
    """Drop a task that no longer runs and whose end is recorded."""

    task: str
    attempt: Attempt


Command = Start | Stop | Throttle | Forget

COMMANDS: MessageTags[Command] = MessageTags(
    {"start": Start, "stop": Stop, "throttle": Throttle, "forget": Forget}
)


class TaskReport(NamedTuple):
    """What a worker says of one task.

    Attributes:
        spec: As it was started.
        state: Whether and how it ended.
        checkpoint: The newest checkpoint, or "".
        result: Its result or the reason of its failure.
        throttle: Share of its processors that it may use.
    """

    spec: TaskSpec
    state: TaskState
    checkpoint: str
    result: str
    throttle: float


class Usage(NamedTuple):
    """What one task was seen to use over a while that has passed.

    Attributes:
        task: Its id.
        class_name: Its service, batch class or watch.
        measured_at: The worker's clock at the middle of that while.
        processors: Mean processors used.
        memory: Highest memory used, in bytes.
        slowdown: Time taken over the time that it takes alone.
    """

    task: str
    class_name: str
    measured_at: float
    processors: float
    memory: int
    slowdown: float


class Exchange(NamedTuple):
    """Commands of a cell's owner to one worker, with what fences them.

    Attributes:
        cell: The cell that the worker belongs to.
        epoch: Of the ownership under which the owner acts.
        sequence: Grows with each exchange of an epoch.
        incarnation: The worker process meant, or "" to meet any.
        not_after: Worker's clock at which the commands are void.
        lease_until: Worker's clock to which batch and watch tasks may run.
        service_lease_until: The same for service tasks.
        seen: The newest change that the owner has got.
        commands: In order, each as its array form.
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
    """What a worker answers.

    Attributes:
        incarnation: Id of this worker process.
        clock: Its monotonic clock while it answered, in seconds.
        capacity: What it can carry.
        service_address: Where its service tasks answer, as host:port.
        connections: Connections that its service tasks accept.
        leaving: True once it is to be emptied.
        seen: Number of the newest change in `changes`.
        changes: Tasks changed since the `seen` that was asked with.
        usage: Measurements that have become known.
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
    """Why a worker refuses an exchange."""

    KEY = "key is missing or wrong"
    STALE_EPOCH = "a later epoch has been met"
    STALE_SEQUENCE = "a later exchange has been met"
    INCARNATION = "another process runs here"
    TOO_LATE = "not-after has passed"
    CELL = "the worker is in another cell"


class WorkerRefusedError(Exception):
    """The worker refused the exchange and did nothing of it."""

    def __init__(self, refusal: Refusal) -> None:
        """Notes why."""
        super().__init__(refusal.value)
        self.refusal = refusal


class WorkerUnreachableError(Exception):
    """The worker did not answer; it may have done all, some or nothing."""


class WorkerLink(Protocol):
    """Carries exchanges to one worker."""

    async def exchange(self, request: Exchange) -> ExchangeReply:
        """Sends commands and returns what changed.

        Raises:
            WorkerRefusedError: The worker did nothing.
            WorkerUnreachableError: It is unknown what the worker did.
        """
        ...


class WorkerDialer(Protocol):
    """Makes links to workers."""

    def link(self, address: str) -> WorkerLink:
        """Returns a link to the worker at host:port; connects on use."""
        ...
