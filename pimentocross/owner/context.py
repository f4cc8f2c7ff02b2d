"""The context that the components of an owner share, and its interfaces."""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from pimentocross.contracts.worker_link import Ending
from pimentocross.owner.call_timeouts import CallTimeouts
from pimentocross.owner.confirmation import Confirmation
from pimentocross.owner.crashes import Crashes
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.work.spec import TaskName
from pimentocross.work.state import Run, Task

# Number of fencing tokens of one epoch. Each successive life of a worker id
# gets a token of its own.
_TOKENS_PER_EPOCH: Final = 1 << 16


class RunStopper(Protocol):
    """Sends orders to stop runs and to repeat starts."""

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Stops a run; repeats the order until the worker confirms it."""
        ...

    def stop_unknown(self, worker: Worker, name: TaskName, run: int) -> None:
        """Stops a run whose task is unknown to this owner."""
        ...

    def start_again(self, worker: Worker, task: Task, run: Run) -> None:
        """Repeats an unanswered start under the same run number."""
        ...


class LifeListener(Protocol):
    """Is notified of the start and the end of worker lives."""

    def note_born(self, worker: Worker, born: int) -> None:
        """Notes the start time of the life that answers for a worker."""
        ...

    def note_replaced(self, worker: Worker) -> None:
        """Notes that another life has replaced the life of a worker."""
        ...

    def note_answer(self, worker: Worker, asked: float) -> None:
        """Notes that a worker has listed its runs.

        Args:
            worker: The worker. No owner of a lower epoch gets answers from it
                any more.
            asked: When the call was sent, on the boot clock.
        """
        ...


class OwnerContext(NamedTuple):
    """Shared state and callbacks of the components of an owner.

    Attributes:
        epoch: Epoch of the owner.
        terms: Durations and limits that depend on the deployment.
        patience: Timeouts of calls to workers.
        pace: Intervals at which workers are asked to list their runs.
        book: The jobs.
        ledger: Writes changes to the store.
        wake: Requests a scheduling pass.
        on_ending: Called with each ending of a run.
        listed: Called with each worker that has listed its runs.
        crashes: Counts the worker crashes that tasks may have caused.
        may_start_on: Returns whether new runs may be sent to a worker now.
        lives: Is notified when another life answers under a worker's id.
        late_starts: Tracks starts that workers may still carry out, and drops
            their runs.
        former_leases: Tracks when the leases given by former owners end.
        next_lives: Tracks when leases for calls to former lives end.
        confirmation: Tells for how long leases may run.
    """

    epoch: int
    terms: OwnerTerms
    patience: CallTimeouts
    pace: ListingPace
    book: JobRegistry
    ledger: Ledger
    wake: Callable[[], None]
    on_ending: Callable[[Worker, Task, Run | None, Ending], None]
    listed: Callable[[Worker], None]
    crashes: Crashes
    may_start_on: Callable[[Worker], bool]
    lives: LifeListener
    late_starts: LateStarts
    former_leases: FormerLeases
    next_lives: NextLives
    confirmation: Confirmation

    def token_for(self, worker: Worker) -> int:
        """Returns the fencing token of orders to a worker.

        A worker that restarted under its id has seen no token yet. Once it has
        received an order with a token of its own, it refuses late orders that
        were sent to its former life.
        """
        restarts = min(worker.restarts, _TOKENS_PER_EPOCH - 1)
        return self.epoch * _TOKENS_PER_EPOCH + restarts
