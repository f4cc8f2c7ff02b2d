"""How long tasks take: rough words of callers, corrected by what was seen.

A step lasts as long as its slowest task: the wider it is, the longer. Without
that, jobs of wide steps look late while they can still be in time.

Load pattern: some queues have a few steps whose tasks take several times as
long as the rest. Callers' estimates, tasks of the same step and what a run has
done tell them apart before they end. All this is on once a tail was seen.
"""

from collections.abc import Mapping
import functools
import math
import statistics
from typing import Final, NamedTuple
from weakref import WeakKeyDictionary

from pimentocross.placement.estimates import ESTIMATE_WEIGHT, Estimates
from pimentocross.placement.tails import Tail
from pimentocross.work.spec import StepSpec
from pimentocross.work.state import Occurrence, Step

# Until a queue's tasks were seen, and where callers give no estimate, seconds.
UNKNOWN_DURATION: Final = 1.0
# Share of a new measurement in the running mean of logarithms: about the last
# twenty tasks count.
_LEARNING: Final = 0.05
# The same where a tail was seen, and how far off a measurement counts: twenty
# long tasks that end together would else make the next ones look as long.
_LEARNING_BESIDE_TAIL: Final = 0.01
_OFF_MOST: Final = 1.0
# Spread of the logarithm of durations within a queue, until it was seen, and
# the most that is believed: failures and slow workers stretch the tail.
_SPREAD: Final = 0.45
_SPREAD_MOST: Final = 0.7
# Progress is listed in whole percent: from a few on it tells more of what is
# left than durations of other tasks.
_PERCENT_HALF: Final = 3
# Steps and tasks before a tail is believed, and how many are remembered: some
# in a hundred of them make one.
_STEPS_LEAST: Final = 50
_STEPS_REMEMBERED: Final = 200
_TASKS_LEAST: Final = 100
_TASKS_REMEMBERED: Final = 500
# Tasks that have ended from which on a step is judged by them.
_TASKS_JUDGED: Final = 3
# Tasks of a step that tell as much of the next one as all that was known
# before: they differ by far less than steps do.
_TASKS_HALF: Final = 0.5
# What has taken longer than expected takes on for this share of that at least.
_LEFT_LEAST: Final = 0.25


class _Ended(NamedTuple):
    """Tasks of one step that have ended."""

    tasks: int
    mean: float


class Durations:
    """Mean durations by queue, and what is left of a job's chain.

    Attributes:
        sees_tails: Whether a tail was ever seen, of any queue.
    """

    def __init__(self, *, knows_tails: bool = True) -> None:
        """Knows nothing yet.

        Args:
            knows_tails: Whether what is seen of tails counts.
        """
        self.sees_tails = False
        self._knows_tails = knows_tails
        self._means: dict[str, float] = {}
        self._variances: dict[str, float] = {}
        # The same within steps.
        self._inner_variances: dict[str, float] = {}
        # Steps over the usual of their queue; tasks over the others of a step.
        self._long_steps: dict[str, Tail] = {}
        self._long_tasks: dict[str, Tail] = {}
        self._estimates: dict[str, Estimates] = {}
        self._steps: WeakKeyDictionary[Step, _Ended] = WeakKeyDictionary()

    def means(self) -> dict[str, float]:
        """Returns the mean logarithm of durations by queue."""
        return dict(self._means)

    def restore(self, means: Mapping[str, float]) -> None:
        """Takes what a former owner had seen."""
        self._means.update(means)

    def note(self, queue: str, seconds: float) -> None:
        """Takes in how long one task of a queue took."""
        logarithm = math.log(max(seconds, 0.01))
        before = self._means.get(queue, logarithm)
        off, learning = logarithm - before, _LEARNING
        if self.has_tail(queue):
            off = min(max(off, -_OFF_MOST), _OFF_MOST)
            learning = _LEARNING_BESIDE_TAIL
        self._means[queue] = before + learning * off
        variance = self._variances.get(queue, _SPREAD**2)
        self._variances[queue] = variance + learning * (off**2 - variance)

    def note_task(self, step: Step, seconds: float, worked: float) -> None:
        """Takes in how long a task took that ended on a sound worker.

        Args:
            step: Its step.
            seconds: Since it was decided on.
            worked: Since it was started.
        """
        queue = step.job.queue.name
        logarithm = math.log(max(worked, 0.01))
        usual = self._means.get(queue, logarithm)
        if step.spec.estimate > 0:
            told = math.log(step.spec.estimate) - usual
            known = self._estimates.setdefault(queue, Estimates())
            known.note(told, logarithm - usual, 1 / step.spec.width)
        self.note_long_task(step, worked)
        tasks, mean = self._steps.get(step, _Ended(0, 0.0))
        if tasks >= _TASKS_JUDGED:
            self._note_spread(queue, logarithm - mean)
        mean += (logarithm - mean) / (tasks + 1)
        self._steps[step] = _Ended(tasks + 1, mean)
        if tasks + 1 == min(_TASKS_JUDGED, step.spec.width):
            self._note_step(queue, math.exp(mean - usual))
        self.note(queue, seconds)

    def note_long_task(self, step: Step, worked: float) -> None:
        """Takes in how long a task worked, for how it compares to its step.

        Also a run that was cut short as its copy won, as far as its progress
        told: such tasks would else be forgotten where copies help.
        """
        ended = self._steps.get(step)
        if ended is None or ended.tasks < _TASKS_JUDGED:
            return
        queue = step.job.queue.name
        known = self._long_tasks.get(queue)
        if known is None:
            known = Tail(_TASKS_LEAST, _TASKS_REMEMBERED)
            self._long_tasks[queue] = known
        known.note(worked / math.exp(ended.mean))

    def _note_spread(self, queue: str, off: float) -> None:
        variance = self._inner_variances.get(queue, _SPREAD**2)
        off = min(abs(off), _OFF_MOST)
        variance += _LEARNING_BESIDE_TAIL * (off**2 - variance)
        self._inner_variances[queue] = variance

    def _note_step(self, queue: str, ratio: float) -> None:
        known = self._long_steps.get(queue)
        if known is None:
            known = Tail(_STEPS_LEAST, _STEPS_REMEMBERED)
            self._long_steps[queue] = known
        known.note(ratio)
        if known.is_seen and self._knows_tails:
            self.sees_tails = True

    def task(self, queue: str, spec: StepSpec) -> float:
        """Returns how long a task of a step is expected to take."""
        known = self._means.get(queue)
        if spec.estimate <= 0:
            return UNKNOWN_DURATION if known is None else math.exp(known)
        if known is None:
            return spec.estimate
        guess = math.log(spec.estimate)
        if self.has_tail(queue) and queue in self._estimates:
            told = self._estimates[queue].expect(guess - known)
            return math.exp(known + told)
        return math.exp(known + ESTIMATE_WEIGHT * (guess - known))

    def has_tail(self, queue: str) -> bool:
        """True if some steps of a queue were seen to take several times long.

        A new owner has to see that anew.
        """
        known = self._long_steps.get(queue)
        return self._knows_tails and known is not None and known.is_seen

    def has_stragglers(self, queue: str) -> bool:
        """True if single tasks were seen to take far longer than their step."""
        known = self._long_tasks.get(queue)
        return known is not None and known.is_seen

    def knows(self, step: Step) -> bool:
        """True if tasks of a step tell how long the others take."""
        return step in self._steps and self.has_tail(step.job.queue.name)

    def of_step(self, step: Step) -> float:
        """Returns how long a task of a step is expected to take."""
        if self.knows(step):
            return self.by_tasks(step)
        return self.task(step.job.queue.name, step.spec)

    def by_tasks(self, step: Step) -> float:
        """Returns the same by those of its tasks that have ended, if any."""
        prior = self.task(step.job.queue.name, step.spec)
        tasks, mean = self._steps.get(step, _Ended(0, 0.0))
        trust = tasks / (tasks + _TASKS_HALF)
        return math.exp(trust * mean + (1 - trust) * math.log(prior))

    def chance_over(self, queue: str, seconds: float, elapsed: float) -> float:
        """Returns how likely a task takes longer than some seconds.

        Args:
            queue: The queue.
            seconds: How long.
            elapsed: Seconds that it has come to without an end.

        Returns:
            0 while no tail was seen.
        """
        if not self.has_tail(queue):
            return 0.0
        usual = math.exp(self._means[queue])
        known = self._long_steps[queue]
        return known.share_over(seconds / usual, elapsed / usual)

    def remaining(self, step: Step, elapsed: float, percent: int) -> float:
        """Returns how many seconds a run is expected to take on.

        Args:
            step: Its step.
            elapsed: Seconds that it has worked.
            percent: Progress that it has come to in these.
        """
        usual = self.of_step(step)
        left = max(usual - elapsed, _LEFT_LEAST * usual)
        if percent <= 0:
            return left
        told = elapsed * (100 - percent) / percent
        trust = percent / (percent + _PERCENT_HALF)
        return trust * told + (1 - trust) * left

    def chain(self, occurrence: Occurrence) -> float:
        """Returns the longest chain of steps."""
        return self._longest(occurrence, whole=True)

    def chain_left(self, occurrence: Occurrence) -> float:
        """Returns the longest chain of what is left to do."""
        return self._longest(occurrence, whole=False)

    def _longest(self, occurrence: Occurrence, *, whole: bool) -> float:
        ends: list[float] = []
        for step in occurrence.steps:
            begins = max((ends[i] for i in step.spec.after), default=0.0)
            ends.append(begins + self._step(step, whole=whole))
        return max(ends, default=0.0)

    def _step(self, step: Step, *, whole: bool) -> float:
        if step.undone == 0 and not whole:
            return 0.0
        queue = step.job.queue.name
        wide = self._slowest(queue, step.spec.width)
        return self.of_step(step) * wide

    def _slowest(self, queue: str, width: int) -> float:
        """Returns the slowest of some tasks over the typical one."""
        # Where steps differ by more than their tasks do, only these count.
        inner = self.has_tail(queue)
        variances = self._inner_variances if inner else self._variances
        spread = math.sqrt(variances.get(queue, _SPREAD**2))
        return math.exp(min(spread, _SPREAD_MOST) * _deviations_of_most(width))


@functools.lru_cache(maxsize=1024)
def _deviations_of_most(count: int) -> float:
    """Returns how far the greatest of some normal values is expected.

    Blom's approximation of normal order statistics (1958).
    """
    return statistics.NormalDist().inv_cdf((count - 0.375) / (count + 0.25))
