"""Decides when to start a copy (a speculative second run) of a slow task.

Load pattern: in a step of ten short tasks one takes seven times as long as the
others. It delays the step, and with it the job, while workers have room. Where
copies are allowed, the run that ends first counts. A copy only helps if the run
is slow and not the task itself, so the share of copies that end first is
learned for each queue.
"""

from typing import Final, NamedTuple

from pimentocross.placement.urgency import DeadlineClass

# Seconds from the decision until a run begins its work: its record is written
# and its start is sent to the worker.
START_SECONDS: Final = 0.3
# A run's remaining time has to exceed that of a new run by this factor. The
# expected durations of both are off by nearly as much.
_MIN_LAG_FACTOR: Final = 2.0
# Single runs delay a step once at most one in this many of its tasks is undone.
_WIDTH_PER_UNDONE_TASK: Final = 4
# Share of all processors that copies may take. Copies use the room that the
# next burst of short work would need.
_MAX_COPY_SHARE: Final = 0.02
# Weight of a new outcome in the moving average: about the last ten count.
_LEARNING_RATE: Final = 0.1
# Outcomes needed before a queue's win share is used, and the highest number of
# copies that are started until then.
_MIN_OUTCOMES: Final = 4
# Share of a queue's copies that have to end first. Below it, the lost copies
# cost as much room as the others save in waiting time.
_MIN_WIN_SHARE: Final = 0.3
# Time after which a queue with a lower win share gets another copy.
_RETRY_AFTER_SECONDS: Final = 15.0


class Straggler(NamedTuple):
    """A run that may delay its step.

    Attributes:
        left: Expected remaining seconds of the run.
        fresh: Expected seconds of a new run, once it has begun its work.
        undone: Number of tasks of the step that are not done.
        width: Number of tasks of the step.
        chance: Prospects of the job to meet its objective.
    """

    left: float
    fresh: float
    undone: int
    width: int
    chance: DeadlineClass


def may_hold_up(undone: int, width: int) -> bool:
    """True if so few tasks of a step are undone that one may delay it."""
    return 0 < undone <= max(width // _WIDTH_PER_UNDONE_TASK, 1)


def is_worth_copy(straggler: Straggler) -> bool:
    """True if a copy is likely to end well before the run does."""
    if straggler.chance >= DeadlineClass.HOPELESS:
        return False
    if not may_hold_up(straggler.undone, straggler.width):
        return False
    return straggler.left > _MIN_LAG_FACTOR * (straggler.fresh + START_SECONDS)


class CopyBudget(NamedTuple):
    """Processor time for copies, in thousandths of a core.

    Attributes:
        capacity: Capacity of all workers.
        spare: Free processor time beyond the waiting tasks' needs and the
            headroom.
        taken: Processor time that copies have reserved.
    """

    capacity: float
    spare: float
    taken: float

    def admits(self, asked: float) -> bool:
        """True if one more copy fits.

        One copy is allowed beyond the share, so that a small cell may have it.
        """
        most = _MAX_COPY_SHARE * self.capacity
        is_within_share = not self.taken or self.taken + asked <= most
        return asked <= self.spare and is_within_share

    def after(self, asked: float) -> "CopyBudget":
        """Returns the budget after one more copy."""
        return CopyBudget(self.capacity, self.spare - asked, self.taken + asked)


class _Outcomes(NamedTuple):
    """Outcomes of a queue's copies.

    Attributes:
        decided: Number of copies of which is known whether they ended first.
        won: Moving average of the share that ended first.
        tried_at: Time of the last start of a copy.
    """

    decided: int = 0
    won: float = 0.0
    tried_at: float = float("-inf")


class CopyHistory:
    """Learns for each queue how often copies end before the original run."""

    def __init__(self) -> None:
        """Initializes an empty history."""
        self._outcomes: dict[str, _Outcomes] = {}

    def admits(self, queue: str, undecided: int, now: float) -> bool:
        """True if one more copy of a queue's tasks may be started.

        Args:
            queue: The queue.
            undecided: Number of its copies that have not ended.
            now: Present time.
        """
        known = self._outcomes.get(queue, _Outcomes())
        if known.decided < _MIN_OUTCOMES:
            return undecided + known.decided < _MIN_OUTCOMES
        if known.won >= _MIN_WIN_SHARE:
            return True
        return not undecided and now - known.tried_at >= _RETRY_AFTER_SECONDS

    def note_started(self, queue: str, now: float) -> None:
        """Records the decision to start a copy."""
        known = self._outcomes.get(queue, _Outcomes())
        self._outcomes[queue] = known._replace(tried_at=now)

    def note_outcome(self, queue: str, *, won: bool) -> None:
        """Records whether a copy ended before the original run."""
        known = self._outcomes.get(queue, _Outcomes())
        decided = known.decided + 1
        weight = max(1 / decided, _LEARNING_RATE)
        share = known.won + weight * (won - known.won)
        self._outcomes[queue] = known._replace(decided=decided, won=share)

    def share_won(self, queue: str) -> float:
        """Returns the recent share of a queue's copies that ended first."""
        return self._outcomes.get(queue, _Outcomes()).won
