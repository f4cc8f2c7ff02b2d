"""Interface between the owner of jobs and a worker.

Every call carries the owner's fencing token. Times named `deadline` and
`clock` are in seconds on the worker's own monotonic clock.
"""

from enum import StrEnum
import math
from typing import NamedTuple, Protocol

from pimentocross.work.spec import Size, TaskName


class WorkerLife(NamedTuple):
    """One worker life: a worker from its start to its end, as listed.

    Attributes:
        id: The worker's id; the next life may have the same one.
        machine: The VM on which the worker runs and which outlives this life.
        service: The service whose queues the worker runs.
        address: The worker's address as host:port.
        zone: The worker's availability zone.
        labels: Labels that steps may require: the worker's kind and its rack.
        capacity: The resources that the worker offers.
        draining: Whether the worker is about to leave.
        remaining: Minimum seconds until a draining worker leaves.
        born: When this life started, in milliseconds since 1970, or 0 if not
            known. Distinguishes lives with the same id.
    """

    id: str
    machine: str
    service: str
    address: str
    zone: str
    labels: tuple[str, ...]
    capacity: Size
    draining: bool
    remaining: float
    born: int = 0

    def is_after(self, born: int) -> bool:
        """True if this life is known to be later than one born at `born`."""
        return 0 < born < self.born

    @property
    def rack(self) -> str:
        """The worker's rack, which is the last label."""
        return self.labels[-1] if self.labels else ""


class WorkerDirectory(Protocol):
    """Lists the workers that are alive."""

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns all workers that are listed now.

        Raises:
            StoreUnavailableError: The list is not available.
        """
        ...


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang broken"
    GANG_ALONE = "gang alone"


class ListedRun(NamedTuple):
    """A run as listed by its worker.

    Attributes:
        task: The task.
        run: The number of the run.
        checkpoint: The newest saved progress, or "".
        percent: Progress in percent; 100 for a lasting task that has started
            its work.
        figure: For a serving task, its tail latency in milliseconds; for
            others, their CPU use in millicores. Both cover about the last
            half second.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    figure: int


class Ending(NamedTuple):
    """A run that ended; `number` counts the endings of a worker life."""

    number: int
    task: TaskName
    run: int
    how: EndKind
    checkpoint: str


class HoldReply(NamedTuple):
    """A worker's reply to `hold`.

    Attributes:
        clock: The worker's clock.
        running: All runs on the worker.
        endings: Endings that the owner has not acknowledged yet, perhaps not
            all of them.
        born: When the answering worker life started, as in `WorkerLife`.
    """

    clock: float
    running: list[ListedRun]
    endings: list[Ending]
    born: int = 0


class StartOrder(NamedTuple):
    """Asks a worker to start a run; `ticket` is from the adviser, or ""."""

    task: TaskName
    run: int
    payload: str
    deadline: float
    token: int
    checkpoint: str
    ticket: str = ""


class StartVerdict(StrEnum):
    """A worker's answer to a start; only `STARTED` means that the run runs."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class StartReply(NamedTuple):
    """A worker's reply to a start.

    Attributes:
        verdict: Whether the run runs, or why not.
        clock: The worker's clock, if it was in the reply.
        connected_at: When the connection was opened on which the reply came,
            monotonic; infinite if not known. One life holds it until its end.
    """

    verdict: StartVerdict
    clock: float | None
    connected_at: float = math.inf


class WorkerUnreachableError(Exception):
    """A worker did not answer.

    Attributes:
        sent: Whether the order may have been carried out, or still may be.
    """

    def __init__(self, reason: str, *, sent: bool = True) -> None:
        """Initializes the error with its reason and `sent`."""
        super().__init__(reason)
        self.sent = sent


class WorkerFencedError(Exception):
    """A worker has seen a higher fencing token."""


class WorkerReplacedError(Exception):
    """Another life answers at the address, so the addressed life is over."""


class WorkerLink(Protocol):
    """Sends orders to one worker life.

    Each call may raise `WorkerUnreachableError`, `WorkerFencedError` and
    `WorkerReplacedError`.
    """

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Lists runs and endings, and extends the lease of all runs.

        Args:
            token: The fencing token.
            seen: Number up to which the worker may discard endings.
            deadline: End of the lease, or None to leave it unchanged.
            wait: Seconds for which the worker waits for an ending.
            timeout: Seconds to wait for the answer.
        """
        ...

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Starts a run, or confirms one that is running already."""
        ...

    async def stop(
        self, task: TaskName, run: int, token: int, timeout: float
    ) -> None:
        """Stops a run; if it has not started yet, its start is rejected."""
        ...

    async def pace(
        self, task: TaskName, run: int, percent: int, token: int, timeout: float
    ) -> None:
        """Limits a run to `percent` of its full speed."""
        ...

    async def aclose(self) -> None:
        """Closes the connections."""
        ...


class WorkerDialer(Protocol):
    """Creates links to workers."""

    def link(self, life: WorkerLife) -> WorkerLink:
        """Returns a link to a worker life."""
        ...
