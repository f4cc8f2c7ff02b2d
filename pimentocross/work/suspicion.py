"""Which task the crash of a worker speaks against.

Load pattern: a task crashes each worker that starts it, as a rule at once, and
a dozen other runs go with each; workers crash for reasons of their own as well,
one by one or a rack at a time. What had hardly begun on a crashed worker is
started again alone: nothing else starts on that worker until the run has
outlived its earlier crashes, so that another crash names its cause.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

# A run that lived this long, in seconds, was not fatal to start. Two listings
# of a worker tell.
PROVEN_AFTER: Final = 0.5
# A run that lived this long clears its task of earlier crashes.
CLEARED_AFTER: Final = 10.0
# From this many crashes on a task is tried alone however long its runs lived.
_TRIED_AFTER: Final = 3
# A trial keeps other starts off a worker for no longer than this, in seconds.
_TRIAL_MOST: Final = 5.0
# A task is given up at a crash on trial from so many sure crashes on ...
_SURE_CONVICTING: Final = 2
# ... one that lasts from more, as all of its job goes with it ...
_SURE_CONVICTING_LASTING: Final = 3
# ... or from so many of any kind ...
_CONVICTING: Final = 4
# ... and without a trial from so many, whatever else may explain them.
_CRASHES_MOST: Final = 5
# With as many crashes, counted or likely, a task waits for what is likely to be
# decided, for so many seconds at most: workers that stay down for long tell of
# a crash only after the task could have started again.
_HELD_AFTER: Final = 3
HELD_MOST: Final = 30.0
# A crash is sure if it came within this after the answer to the start, in
# seconds, as far as can be told.
SURE_WITHIN: Final = 0.25


# Workers that go for no known reason are looked at for so many seconds ...
OUTAGE_SPAN: Final = 10.0
# ... those that go within this of each other, in seconds, being one event ...
_EVENT_SPAN: Final = 1.0
# ... and if they are this share of the workers, in so many events or as many as
# that share is, one on which a task is tried may be hit by the next.
_OUTAGE_EVENTS: Final = 3
_OUTAGE_SHARE: Final = 0.05


class Crash(NamedTuple):
    """A run whose worker crashed.

    Attributes:
        run: Number of the run.
        lived: Seconds for which it was seen to live.
        sure: Whether it had surely begun, and its worker was gone soon after.
        tried_alone: Whether it was on trial: nothing else had just started.
        in_outage: Whether workers go for other reasons as well just now.
    """

    run: int
    lived: float
    sure: bool
    tried_alone: bool
    in_outage: bool = False

    @property
    def is_early(self) -> bool:
        """True if the run may have crashed its worker by its start."""
        return self.lived < PROVEN_AFTER


class Suspicion(NamedTuple):
    """What is held against a task.

    Attributes:
        crashes: Workers that crashed under it, or as it was sent there.
        sure: Those of them that surely went soon after the run had begun.
        early: Those in a row that crashed soon after it had started.
        survived: The most seconds that a run had lived before a crash.
        run: Newest run that was counted.
    """

    crashes: int = 0
    sure: int = 0
    early: int = 0
    survived: float = 0.0
    run: int = 0

    @property
    def needs_trial(self) -> bool:
        """True if the next run has to be tried alone."""
        return self.early > 0 or self.crashes >= _TRIED_AFTER

    @property
    def trial(self) -> float:
        """Seconds that a run has to live until its trial is over."""
        return min(self.survived + PROVEN_AFTER, _TRIAL_MOST)

    def after(self, crash: Crash) -> "Suspicion":
        """Returns what is held against the task after one more crash.

        A run that may begin on the next life of a worker, or that a new owner
        finds in the records, meets several ends and counts once.
        """
        if crash.run <= self.run:
            return self
        if crash.lived >= CLEARED_AFTER:
            return Suspicion(1, 1, 0, crash.lived, crash.run)
        return Suspicion(
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

    def after_trial(self) -> "Suspicion":
        """Returns what is left once a run has outlived its trial."""
        return self._replace(early=0)

    def convicts(self, crash: Crash, *, lasting: bool) -> bool:
        """True if the task is given up, its newest crash being counted."""
        if self.crashes >= _CRASHES_MOST:
            return True
        if not crash.tried_alone or crash.in_outage:
            return False
        sure = _SURE_CONVICTING_LASTING if lasting else _SURE_CONVICTING
        return self.sure >= sure or self.crashes >= _CONVICTING


def is_outage(unexplained: Iterable[float], workers: int) -> bool:
    """True if workers go so often that a trial proves little.

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


NO_SUSPICION: Final = Suspicion()
