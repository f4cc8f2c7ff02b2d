"""Which task the crash of a worker speaks against.

Load pattern: a task crashes each worker that starts it, as a rule at once, and
a dozen other runs go with each; workers crash for reasons of their own as well,
one by one or a rack at a time. What had hardly begun on a crashed worker is
started again alone: nothing else starts on that worker until the run has
outlived its earlier crashes, so that another crash names its cause.
"""

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
# A task is given up from so many crashes on of which it is sure that the runs
# had begun, or one more else ...
_CONVICTING: Final = 2
# ... and from so many whatever else may explain them.
_CRASHES_MOST: Final = 5


class Crash(NamedTuple):
    """A run whose worker crashed.

    Attributes:
        lived: Seconds for which it was seen to live.
        begun: Whether it had surely begun.
        tried_alone: Whether it was on trial: nothing else had just started.
        in_outage: Whether others of the worker's rack went at the same time on
            which nothing had just started.
    """

    lived: float
    begun: bool
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
        sure: Those of them on which a run had surely begun.
        early: Those in a row that crashed soon after it had started.
        survived: The most seconds that a run had lived before a crash.
    """

    crashes: int = 0
    sure: int = 0
    early: int = 0
    survived: float = 0.0

    @property
    def needs_trial(self) -> bool:
        """True if the next run has to be tried alone."""
        return self.early > 0 or self.crashes >= _TRIED_AFTER

    @property
    def trial(self) -> float:
        """Seconds that a run has to live until its trial is over."""
        return min(self.survived + PROVEN_AFTER, _TRIAL_MOST)

    def after(self, crash: Crash) -> "Suspicion":
        """Returns what is held against the task after one more crash."""
        if crash.lived >= CLEARED_AFTER:
            return Suspicion(1, 1, 0, crash.lived)
        return Suspicion(
            self.crashes + 1,
            self.sure + crash.begun,
            self.early + 1 if crash.is_early else 0,
            max(self.survived, crash.lived),
        )

    def after_trial(self) -> "Suspicion":
        """Returns what is left once a run has outlived its trial."""
        return self._replace(early=0)

    def convicts(self, crash: Crash) -> bool:
        """True if the task is given up, its newest crash being counted."""
        if self.crashes >= _CRASHES_MOST:
            return True
        if not crash.tried_alone or crash.in_outage:
            return False
        return self.sure >= _CONVICTING or self.crashes > _CONVICTING


NO_SUSPICION: Final = Suspicion()
