"""Which task a crash of a worker is put down to.

Load pattern: a task crashes each worker that starts it, as a rule at once, and
a dozen other runs go with each; workers crash for reasons of their own as well,
one by one or a rack at a time. What had hardly begun on a crashed worker is
started again alone: nothing else starts on that worker until the run has
outlived its earlier crashes, so that another crash names its cause.
"""

from collections.abc import Iterable
import math
from typing import Final, NamedTuple

# A run that lived this long, in seconds, was not fatal to start. Two listings
# of a worker tell.
PROVEN_AFTER: Final = 0.5
# A run that lived this long clears its task of earlier crashes; one of a task
# that lasts sooner, as it meets the crashes of others for as long as it runs.
CLEARED_AFTER: Final = 10.0
_CLEARED_AFTER_LASTING: Final = 3.0
# From this many crashes on a task is isolated however long its runs lived.
_ISOLATED_AFTER: Final = 3
# A worker is kept for an isolated run for no longer than this, in seconds.
_ISOLATION_MOST: Final = 5.0
# A task that has waited to be isolated for so long, in seconds, starts without:
# users count what lasts as lost if it is away for 6 s.
_PATIENCE: Final = 1.5
# Another one that has crashed so many workers at its start waits until those
# that are kept for others are free: one more crash beside others proves nothing
# and is the third.
_PATIENT_AFTER: Final = 2
_PATIENCE_MOST: Final = 2 * _ISOLATION_MOST
# A task is given up at a crash of an isolated run from so many sure ones on ...
_SURE_MOST: Final = 2
# ... one that lasts from more, as all of its job goes with it ...
_SURE_MOST_LASTING: Final = 3
# ... or from so many of any kind ...
_ISOLATED_MOST: Final = 4
# ... and from so many, isolated or not, whatever else may explain them.
_CRASHES_MOST: Final = 5
# With as many crashes, counted or likely, a task waits for what is likely to be
# decided, for so many seconds at most: workers that stay down for long tell of
# a crash only after the task could have started again.
_HELD_AFTER: Final = 3
HELD_MOST: Final = 30.0
# What befalls a task that does no harm may be this unlikely: a large cell runs
# a hundred thousand tasks a day.
_CHANCE_LEAST: Final = 1e-6
# A crash is sure if it came within this after the answer to the start, in
# seconds, as far as can be told.
SURE_WITHIN: Final = 0.25


# Workers that go for no known reason are looked at for so many seconds ...
OUTAGE_SPAN: Final = 10.0
# ... those that go within this of each other, in seconds, being one event ...
_EVENT_SPAN: Final = 1.0
# ... and if they are this share of the workers, in so many events or as many as
# that share is, an isolated run may be hit by the next.
_OUTAGE_EVENTS: Final = 3
_OUTAGE_SHARE: Final = 0.05


class Crash(NamedTuple):
    """A run whose worker crashed.

    Attributes:
        run: Number of the run.
        lived: Seconds for which it was seen to live.
        sure: Whether it had surely begun, and its worker was gone soon after.
        isolated: Whether nothing else had just started on its worker.
        in_outage: Whether workers go for other reasons as well just now.
        hazard: Ends of workers of late, a second and worker, but for those
            under the same task.
    """

    run: int
    lived: float
    sure: bool
    isolated: bool
    in_outage: bool = False
    hazard: float = 0.0

    @property
    def is_early(self) -> bool:
        """True if the run may have crashed its worker by its start."""
        return self.lived < PROVEN_AFTER


class CrashHistory(NamedTuple):
    """Crashes of workers under a task.

    Attributes:
        crashes: Workers that crashed under it, or as it was sent there.
        sure: Those of them that surely went soon after the run had begun.
        early: Those in a row that crashed soon after it had started.
        survived: The most seconds that a run has lived, and others may join
            the next one only after more.
        run: Newest run that was counted.
    """

    crashes: int = 0
    sure: int = 0
    early: int = 0
    survived: float = 0.0
    run: int = 0

    @property
    def needs_isolation(self) -> bool:
        """True if the next run has to be isolated."""
        return self.early > 0 or self.crashes >= _ISOLATED_AFTER

    @property
    def isolation(self) -> float:
        """Seconds that an isolated run has to live until others may join it."""
        return min(self.survived + PROVEN_AFTER, _ISOLATION_MOST)

    def patience(self, *, lasting: bool) -> float:
        """Returns for how many seconds a task waits to be isolated at most."""
        if lasting or self.early < _PATIENT_AFTER:
            return _PATIENCE
        return _PATIENCE_MOST

    def after(self, crash: Crash, *, lasting: bool = False) -> "CrashHistory":
        """Returns the history after one more crash.

        A run that may begin on the next life of a worker, or that a new owner
        finds in the records, meets several ends and counts once.
        """
        if crash.run <= self.run:
            return self
        if crash.lived >= _cleared_after(lasting=lasting):
            return CrashHistory(1, 1, 0, crash.lived, crash.run)
        return CrashHistory(
            self.crashes + 1,
            self.sure + crash.sure,
            self.early + 1 if crash.is_early else 0,
            max(self.survived, crash.lived),
            crash.run,
        )

    def holds(self, undecided: int) -> bool:
        """True if a task has to wait until likely crashes are decided.

        Args:
            undecided: Workers that fell silent soon after the task had started
                there, and weren't heard or replaced yet.
        """
        return undecided > 0 and self.crashes + undecided >= _HELD_AFTER

    def after_isolation(self) -> "CrashHistory":
        """Returns what is left once a run has outlived its isolation."""
        lived = max(self.survived, PROVEN_AFTER)
        return self._replace(early=0, survived=lived)

    def after_living(self, lived: float, *, lasting: bool) -> "CrashHistory":
        """Returns what is left once a run has lived for some seconds."""
        if lived >= _cleared_after(lasting=lasting):
            return NO_CRASHES
        if self.early and lived >= self.isolation:
            return self.after_isolation()
        return self

    def gives_up(self, crash: Crash, *, lasting: bool) -> bool:
        """True if the task is given up, its newest crash being counted."""
        if self._is_chance(crash.hazard):
            return False
        if self.crashes >= _CRASHES_MOST:
            return True
        if not crash.isolated or crash.in_outage:
            return False
        sure = _SURE_MOST_LASTING if lasting else _SURE_MOST
        return self.sure >= sure or self.crashes >= _ISOLATED_MOST

    def _is_chance(self, hazard: float) -> bool:
        """True if workers go so often that they may have gone on their own.

        Not if all of them went as the task started, which tells enough.
        """
        # What a new owner only infers counts as lived for just so long.
        if self.survived <= PROVEN_AFTER:
            return False
        expected = hazard * self.survived * self.crashes
        likely = expected**self.crashes / math.factorial(self.crashes)
        return likely > _CHANCE_LEAST


def _cleared_after(*, lasting: bool) -> float:
    return _CLEARED_AFTER_LASTING if lasting else CLEARED_AFTER


def is_outage(unexplained: Iterable[float], workers: int) -> bool:
    """True if workers go so often that isolation proves little.

    Args:
        unexplained: When workers went within `OUTAGE_SPAN` on which nothing had
            just started, in any order.
        workers: How many are in use.
    """
    went = sorted(unexplained)
    events, began = 0, float("-inf")
    for at in went:
        if at - began > _EVENT_SPAN:
            events, began = events + 1, at
    least = max(workers * _OUTAGE_SHARE, 1)
    return len(went) >= least and events >= min(least, _OUTAGE_EVENTS)


NO_CRASHES: Final = CrashHistory()
