"""Predicts task durations from callers' estimates and measured durations.

A step lasts as long as its slowest task, so a wider step is expected to last
longer. Without that, jobs of wide steps look late while they can still be in
time.

Load pattern: some queues have a few steps whose tasks take several times as
long as those of the other steps. Callers' estimates, ended tasks of the same
step and the progress of runs identify these steps before they end. All this is
used for a queue only once such a tail of long steps was measured.
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

# Used where a queue has no measured tasks and the caller gives no estimate.
DEFAULT_TASK_SECONDS: Final = 1.0
# Weight of a new measurement in the moving average of log durations: about the
# last twenty tasks count.
_WEIGHT: Final = 0.05
# Weight and greatest deviation of a measurement in a queue with a tail: twenty
# long tasks that end together would otherwise make the next ones look as long.
_WEIGHT_WITH_TAIL: Final = 0.01
_MAX_DEVIATION: Final = 1.0
# Prior and upper bound of the standard deviation of log durations within a
# queue: failures and slow workers stretch the tail.
_PRIOR_SPREAD: Final = 0.45
_MAX_SPREAD: Final = 0.7
# Workers report progress in whole percent: from this percentage on it predicts
# the time left better than the durations of other tasks.
_EQUAL_WEIGHT_PERCENT: Final = 3
# Steps and tasks needed before a tail is detected, and how many are remembered:
# a tail consists of a few in a hundred.
_MIN_STEPS: Final = 50
_STEPS_REMEMBERED: Final = 200
_MIN_TASKS: Final = 100
_TASKS_REMEMBERED: Final = 500
# Minimum number of ended tasks of a step before their durations are compared
# with those of its queue, and the step's other tasks with the ended ones.
_MIN_ENDED_TASKS: Final = 3
# Ended tasks of a step that weigh as much as the prediction made without them:
# tasks of one step differ by far less than steps do.
_EQUAL_WEIGHT_TASKS: Final = 0.5
# A run that has taken about as long as expected, or longer, is expected to take
# at least this share of the expected duration more. Its reported progress is
# weighed in afterwards.
_MIN_SHARE_LEFT: Final = 0.25


class _EndedTasks(NamedTuple):
    """The ended tasks of one step: their number and mean log duration."""

    tasks: int
    mean: float


class Durations:
    """Predicts durations of tasks, runs and the critical paths of jobs.

    Attributes:
        has_any_tail: Whether some queue has shown a tail of long steps.
    """

    def __init__(self, *, use_tails: bool = True) -> None:
        """Initializes the predictions without any measurement.

        Args:
            use_tails: Whether tails of long steps are taken into account.
        """
        self.has_any_tail = False
        self._use_tails = use_tails
        self._means: dict[str, float] = {}
        self._variances: dict[str, float] = {}
        # Variances of log durations within steps, by queue.
        self._variances_within_steps: dict[str, float] = {}
        # Durations of steps over the mean of their queue, and of tasks over the
        # mean of their step.
        self._long_steps: dict[str, Tail] = {}
        self._long_tasks: dict[str, Tail] = {}
        self._estimates: dict[str, Estimates] = {}
        self._steps: WeakKeyDictionary[Step, _EndedTasks] = WeakKeyDictionary()

    def means(self) -> dict[str, float]:
        """Returns the mean log duration by queue."""
        return dict(self._means)

    def restore(self, means: Mapping[str, float]) -> None:
        """Restores the mean log durations of the previous owner."""
        self._means.update(means)

    def note(self, queue: str, seconds: float) -> None:
        """Records the duration of one task of a queue."""
        logarithm = math.log(max(seconds, 0.01))
        before = self._means.get(queue, logarithm)
        deviation, weight = logarithm - before, _WEIGHT
        if self.has_tail(queue):
            deviation = min(max(deviation, -_MAX_DEVIATION), _MAX_DEVIATION)
            weight = _WEIGHT_WITH_TAIL
        self._means[queue] = before + weight * deviation
        variance = self._variances.get(queue, _PRIOR_SPREAD**2)
        self._variances[queue] = variance + weight * (deviation**2 - variance)

    def note_task(self, step: Step, seconds: float, run_seconds: float) -> None:
        """Records the duration of a task that ended on a healthy worker.

        Args:
            step: The step of the task.
            seconds: Seconds since the scheduling decision.
            run_seconds: Seconds since the start of the task.
        """
        queue = step.job.queue.name
        logarithm = math.log(max(run_seconds, 0.01))
        usual = self._means.get(queue, logarithm)
        if step.spec.estimate > 0:
            predicted = math.log(step.spec.estimate) - usual
            known = self._estimates.setdefault(queue, Estimates())
            known.note(predicted, logarithm - usual, 1 / step.spec.width)
        self.note_long_task(step, run_seconds)
        tasks, mean = self._steps.get(step, _EndedTasks(0, 0.0))
        if tasks >= _MIN_ENDED_TASKS:
            self._note_variance_within_step(queue, logarithm - mean)
        mean += (logarithm - mean) / (tasks + 1)
        self._steps[step] = _EndedTasks(tasks + 1, mean)
        if tasks + 1 == min(_MIN_ENDED_TASKS, step.spec.width):
            self._note_step(queue, math.exp(mean - usual))
        self.note(queue, seconds)

    def note_long_task(self, step: Step, run_seconds: float) -> None:
        """Records how long a task took compared with others of its step.

        Also called with the projected duration of a run that was stopped
        because its copy ended first: stragglers would otherwise not be counted
        where copies replace them.

        Args:
            step: The step of the task.
            run_seconds: Seconds since the start of the task.
        """
        ended = self._steps.get(step)
        if ended is None or ended.tasks < _MIN_ENDED_TASKS:
            return
        queue = step.job.queue.name
        known = self._long_tasks.get(queue)
        if known is None:
            known = Tail(_MIN_TASKS, _TASKS_REMEMBERED)
            self._long_tasks[queue] = known
        known.note(run_seconds / math.exp(ended.mean))

    def _note_variance_within_step(self, queue: str, deviation: float) -> None:
        variance = self._variances_within_steps.get(queue, _PRIOR_SPREAD**2)
        deviation = min(abs(deviation), _MAX_DEVIATION)
        variance += _WEIGHT_WITH_TAIL * (deviation**2 - variance)
        self._variances_within_steps[queue] = variance

    def _note_step(self, queue: str, ratio: float) -> None:
        known = self._long_steps.get(queue)
        if known is None:
            known = Tail(_MIN_STEPS, _STEPS_REMEMBERED)
            self._long_steps[queue] = known
        known.note(ratio)
        if known.is_detected and self._use_tails:
            self.has_any_tail = True

    def task(self, queue: str, spec: StepSpec) -> float:
        """Returns the expected duration of a task in seconds.

        Ignores ended tasks of the same step.

        Args:
            queue: Name of the queue.
            spec: The step of the task.
        """
        known = self._means.get(queue)
        if spec.estimate <= 0:
            return DEFAULT_TASK_SECONDS if known is None else math.exp(known)
        if known is None:
            return spec.estimate
        guess = math.log(spec.estimate)
        if self.has_tail(queue) and queue in self._estimates:
            predicted = self._estimates[queue].expect(guess - known)
            return math.exp(known + predicted)
        return math.exp(known + ESTIMATE_WEIGHT * (guess - known))

    def has_tail(self, queue: str) -> bool:
        """Returns whether some steps take several times the usual duration.

        Not passed on between owners: a new owner measures it anew.
        """
        known = self._long_steps.get(queue)
        return self._use_tails and known is not None and known.is_detected

    def has_stragglers(self, queue: str) -> bool:
        """Returns whether single tasks take far longer than their step."""
        known = self._long_tasks.get(queue)
        return known is not None and known.is_detected

    def has_measured_tasks(self, step: Step) -> bool:
        """Returns whether ended tasks of a step predict the others of it."""
        return step in self._steps and self.has_tail(step.job.queue.name)

    def expected_duration(self, step: Step) -> float:
        """Returns the expected duration of a task of a step, in seconds."""
        if self.has_measured_tasks(step):
            return self.duration_from_ended_tasks(step)
        return self.task(step.job.queue.name, step.spec)

    def duration_from_ended_tasks(self, step: Step) -> float:
        """Returns the expected duration of a task, given the ended ones.

        Without ended tasks of the step, this is the result of `task`.
        """
        prior = self.task(step.job.queue.name, step.spec)
        tasks, mean = self._steps.get(step, _EndedTasks(0, 0.0))
        trust = tasks / (tasks + _EQUAL_WEIGHT_TASKS)
        return math.exp(trust * mean + (1 - trust) * math.log(prior))

    def probability_over(
        self, queue: str, seconds: float, elapsed: float
    ) -> float:
        """Returns the probability that a task takes longer than some time.

        Args:
            queue: Name of the queue.
            seconds: The time in seconds.
            elapsed: Seconds that the task has already run.

        Returns:
            The probability, 0 while the queue has no tail.
        """
        if not self.has_tail(queue):
            return 0.0
        usual = math.exp(self._means[queue])
        known = self._long_steps[queue]
        return known.share_over(seconds / usual, elapsed / usual)

    def remaining(self, step: Step, elapsed: float, percent: int) -> float:
        """Returns the expected time until a run ends, in seconds.

        Args:
            step: The step of the run.
            elapsed: Seconds since the run started.
            percent: Progress of the run after these seconds.
        """
        usual = self.expected_duration(step)
        left = max(usual - elapsed, _MIN_SHARE_LEFT * usual)
        if percent <= 0:
            return left
        predicted = elapsed * (100 - percent) / percent
        trust = percent / (percent + _EQUAL_WEIGHT_PERCENT)
        return trust * predicted + (1 - trust) * left

    def critical_path(self, occurrence: Occurrence) -> float:
        """Returns the duration of the critical path of an occurrence."""
        return self._longest(occurrence, whole=True)

    def remaining_critical_path(self, occurrence: Occurrence) -> float:
        """Returns the duration of the critical path of the steps not done."""
        return self._longest(occurrence, whole=False)

    def _longest(self, occurrence: Occurrence, *, whole: bool) -> float:
        ends: list[float] = []
        for step in occurrence.steps:
            start = max((ends[i] for i in step.spec.after), default=0.0)
            ends.append(start + self._step_duration(step, whole=whole))
        return max(ends, default=0.0)

    def _step_duration(self, step: Step, *, whole: bool) -> float:
        if step.undone == 0 and not whole:
            return 0.0
        queue = step.job.queue.name
        slowest_ratio = self._slowest(queue, step.spec.width)
        return self.expected_duration(step) * slowest_ratio

    def _slowest(self, queue: str, width: int) -> float:
        """Returns the slowest task of a step over the median one."""
        # In a queue with a tail, steps differ by more than the tasks of one
        # step do: only the variance within steps applies.
        within_steps = self.has_tail(queue)
        variances = (
            self._variances_within_steps if within_steps else self._variances
        )
        spread = math.sqrt(variances.get(queue, _PRIOR_SPREAD**2))
        return math.exp(min(spread, _MAX_SPREAD) * _deviations_of_most(width))


@functools.lru_cache(maxsize=1024)
def _deviations_of_most(count: int) -> float:
    """Returns the expected maximum of standard normal values.

    Blom's approximation of normal order statistics (1958).
    """
    return statistics.NormalDist().inv_cdf((count - 0.375) / (count + 0.25))
