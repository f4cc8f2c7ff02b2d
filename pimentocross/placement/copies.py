"""When a second run of a task is worth its room.

Load pattern: a step of ten short tasks of which one takes seven times as long.
The step, and the job with it, is held up by that one while workers have room.
Where copies are allowed, the first run to end counts. A copy only helps where
the length belongs to the run, not to the task: it is learned by queue whether
copies win.
"""

from typing import Final, NamedTuple

from pimentocross.placement.urgency import DeadlineClass

# Seconds from a decision to the first work of a run: its record and its order.
START_COST: Final = 0.3
# A run has to lag this far behind a fresh one: expectations of either are off
# by nearly as much.
_LAG_LEAST: Final = 2.0
# A step is held up by single runs once one task in so many is left.
_WIDTH_A_TASK: Final = 4
# Share of all processors that copies may take: what they displace is the room
# that the next burst of short work would find.
_ROOM_MOST: Final = 0.02
# Share of a new verdict: about the last ten count.
_LEARNING: Final = 0.1
# Verdicts before a queue is judged, and copies at a time until then.
_JUDGED_FROM: Final = 4
# Copies of a queue have to win this often: those that lose cost as much room as
# the others save waiting.
_WINS_LEAST: Final = 0.3
# A queue whose copies don't win is tried again after so many seconds.
_RETRY_AFTER: Final = 15.0


class Straggler(NamedTuple):
    """A run that others of its step may be waiting for.

    Attributes:
        left: Seconds that it is expected to take on.
        fresh: Seconds that a fresh run is expected to take once it works.
        undone: Tasks of its step that aren't done.
        width: Tasks of its step.
        chance: What its job can still earn.
    """

    left: float
    fresh: float
    undone: int
    width: int
    chance: DeadlineClass


def may_hold_up(undone: int, width: int) -> bool:
    """True if few enough tasks of a step are left for one to hold it up."""
    return 0 < undone <= max(width // _WIDTH_A_TASK, 1)


def is_worth_copy(straggler: Straggler) -> bool:
    """True if a copy is likely to end well before a run does."""
    if straggler.chance >= DeadlineClass.HOPELESS:
        return False
    if not may_hold_up(straggler.undone, straggler.width):
        return False
    return straggler.left > _LAG_LEAST * (straggler.fresh + START_COST)


class CopyRoom(NamedTuple):
    """What copies may take, in thousandths of a core.

    Attributes:
        capacity: Of all workers.
        spare: What is free beyond what waits and the headroom.
        taken: What copies have reserved.
    """

    capacity: float
    spare: float
    taken: float

    def admits(self, asked: float) -> bool:
        """True if one more copy finds room; a small cell may have one."""
        most = _ROOM_MOST * self.capacity
        within_share = not self.taken or self.taken + asked <= most
        return asked <= self.spare and within_share

    def after(self, asked: float) -> "CopyRoom":
        """Returns what is left after one more copy."""
        return CopyRoom(self.capacity, self.spare - asked, self.taken + asked)


class _Verdicts(NamedTuple):
    """What became of a queue's copies.

    Attributes:
        judged: How many of them ended first or second.
        won: Share that won, of late.
        tried_at: When one was last started.
    """

    judged: int = 0
    won: float = 0.0
    tried_at: float = float("-inf")


class CopyHistory:
    """Learns by queue whether copies win."""

    def __init__(self) -> None:
        """Knows nothing yet."""
        self._verdicts: dict[str, _Verdicts] = {}

    def admits(self, queue: str, undecided: int, now: float) -> bool:
        """True if one more copy of a queue's tasks may be made.

        Args:
            queue: The queue.
            undecided: Its copies that are on.
            now: Present time.
        """
        known = self._verdicts.get(queue, _Verdicts())
        if known.judged < _JUDGED_FROM:
            return undecided + known.judged < _JUDGED_FROM
        if known.won >= _WINS_LEAST:
            return True
        return not undecided and now - known.tried_at >= _RETRY_AFTER

    def note_started(self, queue: str, now: float) -> None:
        """Notes that a copy was decided on."""
        known = self._verdicts.get(queue, _Verdicts())
        self._verdicts[queue] = known._replace(tried_at=now)

    def note_verdict(self, queue: str, *, won: bool) -> None:
        """Notes whether a copy ended before the run that it is of."""
        known = self._verdicts.get(queue, _Verdicts())
        judged = known.judged + 1
        weight = max(1 / judged, _LEARNING)
        share = known.won + weight * (won - known.won)
        self._verdicts[queue] = known._replace(judged=judged, won=share)

    def share_won(self, queue: str) -> float:
        """Returns the share of a queue's copies that won, of late."""
        return self._verdicts.get(queue, _Verdicts()).won
