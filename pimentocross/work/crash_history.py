"""Attributes crashes of workers to the tasks that caused them.

Load pattern: a task crashes each worker that starts it, usually at once, and
about a dozen other runs are lost with each worker. Workers also crash for
unrelated reasons, one by one or a whole rack at a time. A task whose run had
only just started on a crashed worker is restarted in isolation: nothing else
starts on its worker until the run has outlived its earlier crashes, so that
another crash can only be caused by this task.
"""

from collections.abc import Iterable
import math
from typing import Final, NamedTuple

# A run that lived for this many seconds didn't crash its worker by starting.
# The time covers two listings of a worker.
STARTUP_CRASH_WINDOW: Final = 0.5
# A run that lived for this many seconds clears the earlier crashes of its task.
# Lasting tasks are cleared sooner: the longer they run, the more crashes that
# other tasks cause hit them.
CRASHES_CLEARED_AFTER: Final = 10.0
_CRASHES_CLEARED_AFTER_LASTING: Final = 3.0
# A task with this many crashes is isolated however long its runs lived.
_ISOLATE_FROM_CRASHES: Final = 3
# Seconds that an isolated run has to live at most.
_MAX_ISOLATION: Final = 5.0
# Seconds in which an isolated run is started, listed for the first time, and
# listed once it has lived long enough.
_ISOLATION_SLACK: Final = 3.0
# Seconds for which a worker is reserved for an isolated run at most, whatever
# becomes of the run.
MAX_RESERVATION: Final = _MAX_ISOLATION + _ISOLATION_SLACK
# Seconds that a task waits for an isolated place before it starts without one.
# Users count a lasting task as lost once it is away for 6 s.
_ISOLATION_WAIT: Final = 1.5
# Other tasks with this many crashes in a row at their start wait until the
# workers that are reserved for isolated runs are free: a crash next to other
# runs would be their third and prove nothing.
_LONG_WAIT_FROM_EARLY: Final = 2
_LONG_ISOLATION_WAIT: Final = 2 * _MAX_ISOLATION
# When an isolated run crashes its worker, its task is given up if it has this
# many sure crashes ...
_SURE_LIMIT: Final = 2
# ... or this many if it is a lasting task, whose whole job ends with it ...
_SURE_LIMIT_LASTING: Final = 3
# ... or this many crashes of any kind.
_ISOLATED_LIMIT: Final = 4
# With this many crashes, a task is given up whether its runs were isolated or
# not, and also during an outage.
_CRASH_LIMIT: Final = 5
# Once its counted and undecided crashes reach this number, a task waits until
# the undecided ones are decided, but no longer than MAX_UNDECIDED_WAIT seconds.
# A worker that stays down for long shows that it crashed only after the task
# could have been started again.
_WAIT_FROM_CRASHES: Final = 3
MAX_UNDECIDED_WAIT: Final = 30.0
# Crashes that are less likely than this to be a coincidence are blamed on the
# task. A large cell runs 100,000 tasks a day, of which few harmless ones may be
# given up.
_MIN_COINCIDENCE_PROBABILITY: Final = 1e-6
# A crash is sure if the worker ended within this many seconds of its answer to
# the start, as far as the owner can observe.
SURE_CRASH_WINDOW: Final = 0.25


# Seconds for which ends of workers without a known cause count towards an
# outage.
OUTAGE_WINDOW: Final = 10.0
# Ends within this many seconds of each other are one event, such as the failure
# of a rack.
_EVENT_WINDOW: Final = 1.0
# It is an outage if this share of the workers ended, in this many events or in
# as many as that share has workers. The next event may then hit an isolated
# run.
_MIN_OUTAGE_EVENTS: Final = 3
_MIN_OUTAGE_SHARE: Final = 0.05


class Crash(NamedTuple):
    """A run whose worker crashed.

    Attributes:
        run: Number of the run.
        lived: Seconds for which the run was seen running.
        sure: Whether the run had certainly started and its worker ended within
            `SURE_CRASH_WINDOW` of that.
        isolated: Whether nothing else had just started on its worker.
        in_outage: Whether workers currently also end for other reasons.
        hazard: Recent ends of workers per second and worker, without those
            that ended while they ran the same task.
    """

    run: int
    lived: float
    sure: bool
    isolated: bool
    in_outage: bool = False
    hazard: float = 0.0

    @property
    def is_early(self) -> bool:
        """True if the start of the run may have crashed its worker."""
        return self.lived < STARTUP_CRASH_WINDOW


class CrashHistory(NamedTuple):
    """Crashes of workers that ran a task.

    Attributes:
        crashes: Number of workers that crashed while they ran the task or
            while its start was on the way to them.
        sure: Number of them that are sure crashes, see `Crash`.
        early: Number of the newest crashes in a row that happened within
            `STARTUP_CRASH_WINDOW` of the start.
        survived: Longest lifetime of a run in seconds. The next isolated run
            has to live longer before other runs may join it.
        run: Number of the newest run that was counted.
    """

    crashes: int = 0
    sure: int = 0
    early: int = 0
    survived: float = 0.0
    run: int = 0

    @property
    def needs_isolation(self) -> bool:
        """True if the next run of the task has to be isolated."""
        return self.early > 0 or self.crashes >= _ISOLATE_FROM_CRASHES

    @property
    def isolation_seconds(self) -> float:
        """Seconds that an isolated run must live before others may join it."""
        return min(self.survived + STARTUP_CRASH_WINDOW, _MAX_ISOLATION)

    @property
    def reservation_seconds(self) -> float:
        """Seconds for which a worker is reserved for the next run at most."""
        return self.isolation_seconds + _ISOLATION_SLACK

    def max_isolation_wait(self, *, lasting: bool) -> float:
        """Returns the seconds that a task waits for an isolated place."""
        if lasting or self.early < _LONG_WAIT_FROM_EARLY:
            return _ISOLATION_WAIT
        return _LONG_ISOLATION_WAIT

    def after(self, crash: Crash, *, lasting: bool = False) -> "CrashHistory":
        """Returns the history after one more crash.

        A run counts once, although several ends of workers can be reported for
        it: its start may still be carried out by the next life of the worker,
        and a new owner may find the run in the records.
        """
        if crash.run <= self.run:
            return self
        if crash.lived >= _crashes_cleared_after(lasting=lasting):
            return CrashHistory(1, 1, 0, crash.lived, crash.run)
        return CrashHistory(
            self.crashes + 1,
            self.sure + crash.sure,
            self.early + 1 if crash.is_early else 0,
            max(self.survived, crash.lived),
            crash.run,
        )

    def must_wait(self, undecided: int) -> bool:
        """True if the task must wait until undecided crashes are decided.

        Args:
            undecided: Number of workers that fell silent soon after the task
                had started there and have neither replied nor been replaced.
        """
        return undecided > 0 and self.crashes + undecided >= _WAIT_FROM_CRASHES

    def after_isolation(self) -> "CrashHistory":
        """Returns the history after a run has outlived its isolation."""
        lived = max(self.survived, STARTUP_CRASH_WINDOW)
        return self._replace(early=0, survived=lived)

    def after_living(self, lived: float, *, lasting: bool) -> "CrashHistory":
        """Returns the history after a run has lived for `lived` seconds."""
        if lived >= _crashes_cleared_after(lasting=lasting):
            return NO_CRASHES
        if self.early and lived >= self.isolation_seconds:
            return self.after_isolation()
        return self

    def gives_up(self, crash: Crash, *, lasting: bool) -> bool:
        """True if the task is given up; `crash` is its newest, counted here."""
        if self._is_likely_coincidence(crash.hazard):
            return False
        if self.crashes >= _CRASH_LIMIT:
            return True
        if not crash.isolated or crash.in_outage:
            return False
        sure = _SURE_LIMIT_LASTING if lasting else _SURE_LIMIT
        return self.sure >= sure or self.crashes >= _ISOLATED_LIMIT

    def _is_likely_coincidence(self, hazard: float) -> bool:
        """True if workers end so often that the crashes may be coincidental.

        False if every worker crashed just as the task started: that is evidence
        enough.
        """
        # If a new owner can only infer how long a run has lived, it assumes
        # exactly STARTUP_CRASH_WINDOW.
        if self.survived <= STARTUP_CRASH_WINDOW:
            return False
        expected = hazard * self.survived * self.crashes
        probability = expected**self.crashes / math.factorial(self.crashes)
        return probability > _MIN_COINCIDENCE_PROBABILITY


def _crashes_cleared_after(*, lasting: bool) -> float:
    return _CRASHES_CLEARED_AFTER_LASTING if lasting else CRASHES_CLEARED_AFTER


def is_outage(end_times: Iterable[float], workers: int) -> bool:
    """True if workers end so often that a crash in isolation proves little.

    Args:
        end_times: Times within `OUTAGE_WINDOW` at which workers ended on which
            nothing had just started, in any order.
        workers: Number of workers in use.
    """
    ordered = sorted(end_times)
    events, event_start = 0, float("-inf")
    for at in ordered:
        if at - event_start > _EVENT_WINDOW:
            events, event_start = events + 1, at
    min_ended = max(workers * _MIN_OUTAGE_SHARE, 1)
    return len(ordered) >= min_ended and events >= min(
        min_ended, _MIN_OUTAGE_EVENTS
    )


NO_CRASHES: Final = CrashHistory()
