"""Measures the upper tail of a distribution of durations.

Load pattern: most tasks of a queue take about equally long, and a few take
several times as long: all tasks of a step, or single ones. Mean and variance
say nothing about those few, so a histogram is kept.
"""

import math
from typing import Final

# Histogram bins per doubling of the ratio: durations of one queue vary by more
# than a bin is wide.
_BINS_PER_DOUBLING: Final = 2
# The bins cover ratios from 1/4 to 32.
_LOWEST_BIN: Final = -2 * _BINS_PER_DOUBLING
_BINS: Final = 7 * _BINS_PER_DOUBLING + 1
# Minimum share of long durations that counts as a tail: failures and slow
# workers alone make a few in a thousand long.
_MIN_TAIL_SHARE: Final = 0.01
# From this ratio on, a duration belongs to the tail: ordinary durations vary by
# less.
TAIL_FROM: Final = 4.0
# All weights are rescaled once the current weight exceeds this.
_MAX_WEIGHT: Final = 1e6


class Tail:
    """Decaying histogram of the ratios of durations to a usual duration.

    Attributes:
        is_detected: Whether there are enough ratios, and enough of them are
            long to count as a tail.
    """

    def __init__(self, min_count: int, remembered: int) -> None:
        """Initializes an empty histogram.

        Args:
            min_count: Number of ratios needed before a tail is detected.
            remembered: Approximate number of latest ratios that count.
        """
        self._min_count = min_count
        self._decay = 1 - 1 / remembered
        self._bins = [0.0] * _BINS
        self._weight = 1.0
        self._count = 0
        self.is_detected = False

    def note(self, ratio: float) -> None:
        """Records a ratio."""
        # Raising the weight of new ratios decays older ones without updating
        # all bins.
        self._weight /= self._decay
        self._bins[_bin_of(ratio)] += self._weight
        if self._weight > _MAX_WEIGHT:
            self._bins = [count / self._weight for count in self._bins]
            self._weight = 1.0
        self._count += 1
        has_enough_ratios = self._count >= self._min_count
        self.is_detected = (
            has_enough_ratios and self.share_over(TAIL_FROM) >= _MIN_TAIL_SHARE
        )

    def share_over(self, ratio: float, lower_limit: float = 0.0) -> float:
        """Returns the share of ratios above a limit among those above another.

        Args:
            ratio: The limit.
            lower_limit: Lower limit of the ratios that count at all.
        """
        total = sum(self._bins[_bin_of(lower_limit) :])
        if total <= 0:
            return 0.0
        over = sum(self._bins[_bin_of(max(ratio, lower_limit)) :])
        return over / total


def _bin_of(ratio: float) -> int:
    exponent = math.log2(max(ratio, 1e-3))
    number = math.floor(exponent * _BINS_PER_DOUBLING) - _LOWEST_BIN
    return min(max(number, 0), _BINS - 1)
