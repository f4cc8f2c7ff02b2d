"""How long tasks take: rough words of callers, corrected by what was seen.

A step lasts as long as its slowest task: the wider it is, the longer. Without
that, jobs of wide steps look late while they can still be in time.

Load pattern: some queues have a few tasks that take several times as long as
the rest. What a run has done tells them apart long before they end.
"""

from collections.abc import Mapping
import functools
import math
import statistics
from typing import Final

from pimentocross.placement.tails import Tail
from pimentocross.work.spec import StepSpec
from pimentocross.work.state import Occurrence, Step

# Until a queue's tasks were seen, and where callers give no estimate, seconds.
UNKNOWN_DURATION: Final = 1.0
# Share of a new measurement in the running mean of logarithms: about the last
# twenty tasks count.
_LEARNING: Final = 0.05
# How much an estimate counts against its queue's mean: estimates are off by a
# factor of 2.5 either way, durations of one queue spread by 1.6.
_ESTIMATE_WEIGHT: Final = 0.3
# Spread of the logarithm of durations within a queue, until it was seen, and
# the most that is believed: failures and slow workers stretch the tail.
_SPREAD: Final = 0.45
_SPREAD_MOST: Final = 0.7
# Progress is listed in whole percent: from a few on it tells more of what is
# left than durations of other tasks.
_PERCENT_HALF: Final = 3
# What has taken longer than expected takes on for this share of that at least.
_LEFT_LEAST: Final = 0.25


class Durations:
    """Mean durations by queue, and what is left of a job's chain."""

    def __init__(self) -> None:
        """Knows nothing yet."""
        self._means: dict[str, float] = {}
        self._variances: dict[str, float] = {}
        self._tails: dict[str, Tail] = {}

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
        self._means[queue] = before + _LEARNING * (logarithm - before)
        variance = self._variances.get(queue, _SPREAD**2)
        surprise = (logarithm - before) ** 2 - variance
        self._variances[queue] = variance + _LEARNING * surprise

    def note_ratio(self, queue: str, ratio: float) -> None:
        """Takes in how long a task took over what was expected of it.

        Also that of a run that was cut short while its copy won, as far as its
        progress told: tails would else be forgotten where copies help.
        """
        self._tails.setdefault(queue, Tail()).note(ratio)

    def task(self, queue: str, spec: StepSpec) -> float:
        """Returns how long a task of a step is expected to take."""
        known = self._means.get(queue)
        if spec.estimate <= 0:
            return UNKNOWN_DURATION if known is None else math.exp(known)
        if known is None:
            return spec.estimate
        guess = math.log(spec.estimate)
        return math.exp(known + _ESTIMATE_WEIGHT * (guess - known))

    def has_tail(self, queue: str) -> bool:
        """True if some tasks of a queue were seen to take several times long.

        A new owner has to see that anew.
        """
        tail = self._tails.get(queue)
        return tail is not None and tail.is_seen

    def share_over(self, queue: str, times: float, lived: float = 0.0) -> float:
        """Returns the share of tasks that take over some times the usual.

        Args:
            queue: The queue.
            times: How many times.
            lived: Only of tasks that have come to this many times the usual.

        Returns:
            0 while no tail was seen.
        """
        if not self.has_tail(queue):
            return 0.0
        return self._tails[queue].share_over(times, lived)

    def remaining(
        self, queue: str, spec: StepSpec, elapsed: float, percent: int
    ) -> float:
        """Returns how many seconds a run is expected to take on.

        Args:
            queue: Its queue.
            spec: Its step.
            elapsed: Seconds that it has worked.
            percent: Progress that it has come to in these.
        """
        usual = self.task(queue, spec)
        left = max(self._total(queue, usual, elapsed) - elapsed, 0.0)
        left = max(left, _LEFT_LEAST * usual)
        if percent <= 0:
            return left
        told = elapsed * (100 - percent) / percent
        trust = percent / (percent + _PERCENT_HALF)
        return trust * told + (1 - trust) * left

    def _total(self, queue: str, usual: float, elapsed: float) -> float:
        """Returns how long a run takes that has worked for some seconds."""
        tail = self._tails.get(queue)
        if tail is None or not tail.is_seen:
            return usual
        return tail.mean_beyond(elapsed / usual) * usual

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
        return self.task(queue, step.spec) * wide

    def _slowest(self, queue: str, width: int) -> float:
        """Returns the slowest of some tasks over the typical one."""
        spread = math.sqrt(self._variances.get(queue, _SPREAD**2))
        return math.exp(min(spread, _SPREAD_MOST) * _deviations_of_most(width))


@functools.lru_cache(maxsize=1024)
def _deviations_of_most(count: int) -> float:
    """Returns how far the greatest of some normal values is expected.

    Blom's approximation of normal order statistics (1958).
    """
    return statistics.NormalDist().inv_cdf((count - 0.375) / (count + 0.25))
