"""Corrects callers' duration estimates by how far earlier ones were off.

Load pattern: callers know that a step takes several times as long as usual, and
their estimate says so. If every estimate had the same weight, such steps would
be expected to take a third of their real time and would count as late as soon
as they begin.
"""

from collections.abc import Sequence
import itertools
from typing import Final

# Weight of an estimate relative to its queue's mean. Estimates are off by a
# factor of 2.5 either way, while durations within a queue vary by 1.6.
ESTIMATE_WEIGHT: Final = 0.3
# Bounds of the buckets of estimates, as logarithms over the queue's mean. The
# deviation is learned for each bucket.
_BUCKET_BOUNDS: Final[Sequence[float]] = (-0.7, 0.0, 0.7, 1.2)
# Number of steps at which half of the learned deviation is applied, and the
# limit on a bucket's weight, so that old steps lose influence.
_PRIOR_STEPS: Final = 2.0
_MAX_STEPS: Final = 30.0


class Estimates:
    """Learns how durations deviate from estimates, for one queue.

    All values are logarithms of the ratio to the queue's mean.
    """

    def __init__(self) -> None:
        """Initializes the buckets without any observation."""
        self._weights = [0.0] * (len(_BUCKET_BOUNDS) + 1)
        self._means = [0.0] * (len(_BUCKET_BOUNDS) + 1)

    def note(self, estimate: float, took: float, share: float) -> None:
        """Records the duration of a task.

        Args:
            estimate: The caller's estimate.
            took: The measured duration.
            share: The task's share of its step. A step counts as one
                observation, as its tasks are alike.
        """
        bucket = _bucket_of(estimate)
        weight = min(self._weights[bucket] + share, _MAX_STEPS)
        error = took - ESTIMATE_WEIGHT * estimate - self._means[bucket]
        self._weights[bucket] = weight
        self._means[bucket] += share / weight * error

    def expect(self, estimate: float) -> float:
        """Returns the expected duration of a task with an estimate."""
        bucket = _bucket_of(estimate)
        weight = self._weights[bucket]
        learned = weight / (weight + _PRIOR_STEPS) * self._means[bucket]
        return ESTIMATE_WEIGHT * estimate + learned


def _bucket_of(estimate: float) -> int:
    return sum(1 for _ in itertools.takewhile(estimate.__ge__, _BUCKET_BOUNDS))
