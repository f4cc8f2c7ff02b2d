"""What the parts of an owner share and ask of each other."""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from pimentocross.contracts.worker_link import Ending
from pimentocross.owner.crashes import Crashes
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.patience import CallPatience
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.work.spec import TaskName
from pimentocross.work.state import Run, Task

# Fencing tokens of one owner for lives of one id that follow each other.
_LIVES_PER_EPOCH: Final = 1 << 16


class Stops(Protocol):
    """Orders runs to stop."""

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Stops a run, however often it has to be asked."""
        ...

    def stop_unknown(self, worker: Worker, name: TaskName, run: int) -> None:
        """Stops a run of a task that isn't known."""
        ...

    def start_again(self, worker: Worker, task: Task, run: Run) -> None:
        """Repeats a start that wasn't answered."""
        ...


class Lives(Protocol):
    """Follows the lives of workers."""

    def note_born(self, worker: Worker, born: int) -> None:
        """Notes when the life that answers for a worker started."""
        ...

    def note_replaced(self, worker: Worker) -> None:
        """Notes that a life has ended; nothing may be tied to it any more."""
        ...


class CellParts(NamedTuple):
    """What the parts of an owner share.

    Attributes:
        epoch: The owner's.
        terms: What the platform lets it do.
        patience: How long calls to workers are waited for.
        pace: How often workers are asked what runs there.
        book: The jobs.
        ledger: Where changes are recorded.
        wake: Has decisions made anew.
        judge: Is told of each ending.
        listed: Is told of each listing.
        crashes: Is told of workers that have ended.
        may_start_on: Tells whether new runs may be sent to a worker now.
        lives: Is told of lives that answer in place of others.
        late_starts: Drops runs that may begin yet.
        former_leases: Bounds leases of former owners.
    """

    epoch: int
    terms: OwnerTerms
    patience: CallPatience
    pace: ListingPace
    book: JobRegistry
    ledger: Ledger
    wake: Callable[[], None]
    judge: Callable[[Worker, Task, Run | None, Ending], None]
    listed: Callable[[Worker], None]
    crashes: Crashes
    may_start_on: Callable[[Worker], bool]
    lives: Lives
    late_starts: LateStarts
    former_leases: FormerLeases

    def token_for(self, worker: Worker) -> int:
        """Returns the fencing token of orders to a worker.

        A life that started again under its id has seen no token: orders that
        were meant for the former one and come late are refused by it from the
        first order with its own token on.
        """
        restarts = min(worker.restarts, _LIVES_PER_EPOCH - 1)
        return self.epoch * _LIVES_PER_EPOCH + restarts
