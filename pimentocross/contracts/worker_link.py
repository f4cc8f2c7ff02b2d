"""What an owner of jobs needs of a worker.

Every call carries the owner's fencing token. Times named `deadline` and
`clock` are seconds on the worker's own steady clock.
"""

from enum import StrEnum
from typing import NamedTuple, Protocol

from pimentocross.work.spec import Size, TaskName


class WorkerLife(NamedTuple):
    """One life of a machine, as listed in the directory.

    Attributes:
        id: Names the worker; the next life may have the same.
        machine: The machine, which outlives it.
        service: Service whose queues it runs.
        address: host:port.
        zone: Its availability zone.
        labels: What steps may require; its kind and its rack.
        capacity: What it carries.
        draining: Whether it is about to leave.
        remaining: Seconds that are left at least while it drains.
        born: When it started, milliseconds since 1970, or 0 if that isn't
            told. Tells lives of one id apart.
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
        """True if this life surely followed one of its id born then."""
        return 0 < born < self.born

    @property
    def rack(self) -> str:
        """Its rack, the last of its labels."""
        return self.labels[-1] if self.labels else ""


class WorkerDirectory(Protocol):
    """Lists the workers that live."""

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns all that are listed now.

        Raises:
            StoreUnavailableError: The list can't be had.
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


class Listed(NamedTuple):
    """A run on a worker.

    Attributes:
        task: The task.
        run: The run's number.
        checkpoint: Newest saved progress, or "".
        percent: Progress; a lasting task that is at work has 100.
        figure: Of a serving task the tail of its response times in
            milliseconds, else thousandths of a core in use; over half a
            second, roughly.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    figure: int


class Ending(NamedTuple):
    """A run that ended; `number` counts the endings of a worker's life."""

    number: int
    task: TaskName
    run: int
    how: EndKind
    checkpoint: str


class HoldReply(NamedTuple):
    """What a worker lists.

    Attributes:
        clock: Its clock.
        running: All that runs.
        endings: Those that were not yet taken note of, maybe not all.
        born: When the life that answers started, as in `WorkerLife`.
    """

    clock: float
    running: list[Listed]
    endings: list[Ending]
    born: int = 0


class StartOrder(NamedTuple):
    """Asks a worker to start a run; `ticket` is the adviser's, or ""."""

    task: TaskName
    run: int
    payload: str
    deadline: float
    token: int
    checkpoint: str
    ticket: str = ""


class StartVerdict(StrEnum):
    """What a worker said to a start. Only `STARTED` means that it runs."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class StartReply(NamedTuple):
    """Verdict on a start, and the worker's clock if it was told."""

    verdict: StartVerdict
    clock: float | None


class WorkerUnreachableError(Exception):
    """A worker did not answer.

    Attributes:
        sent: Whether the order may have been carried out, or may yet.
    """

    def __init__(self, reason: str, *, sent: bool = True) -> None:
        """Notes the reason and whether the order may have left."""
        super().__init__(reason)
        self.sent = sent


class WorkerFencedError(Exception):
    """A worker has seen a higher fencing token."""


class WorkerReplacedError(Exception):
    """Another life answers at the address: the one meant is gone."""


class WorkerLink(Protocol):
    """Orders to one worker. Each call may raise all three errors above."""

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Lists runs and endings, and extends the lease of all that runs.

        Args:
            token: The fencing token.
            seen: Endings up to this number are forgotten.
            deadline: End of the lease, or None to leave it.
            wait: Seconds to wait for an ending.
            timeout: Seconds to wait for the answer.
        """
        ...

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Starts a run, or confirms one that is there."""
        ...

    async def stop(
        self, task: TaskName, run: int, token: int, timeout: float
    ) -> None:
        """Stops a run; one that is not there yet will be refused."""
        ...

    async def pace(
        self, task: TaskName, run: int, percent: int, token: int, timeout: float
    ) -> None:
        """Lets a run work at a share of its speed."""
        ...

    async def aclose(self) -> None:
        """Closes the connections."""
        ...


class WorkerDialer(Protocol):
    """Makes links to workers."""

    def link(self, life: WorkerLife) -> WorkerLink:
        """Returns a link to one life of a worker."""
        ...
