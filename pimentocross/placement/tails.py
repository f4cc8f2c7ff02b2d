"""How far some of many durations exceed the usual.

Load pattern: most tasks of a queue take about as long, and a few several times
as long: all of a step, or single ones. A mean and a spread tell nothing of
those few.
"""

import math
from typing import Final

# A bin is half an octave wide: durations of one queue spread by more.
_BINS_AN_OCTAVE: Final = 2
# Ratios from a quarter to 32 times the usual.
_LOWEST: Final = -2 * _BINS_AN_OCTAVE
_BINS: Final = 7 * _BINS_AN_OCTAVE + 1
# The least share that makes a tail: failures and slow workers make a few in a
# thousand take long.
_SHARE_LEAST: Final = 0.01
# What is this many times over the usual belongs to the tail: ordinary durations
# spread by less.
TAIL_FROM: Final = 4.0
# Weights are brought down to 1 again from here on.
_WEIGHT_MOST: Final = 1e6


class Tail:
    """Ratios of durations to the usual one, as a decayed histogram.

    Attributes:
        is_seen: Whether enough is known, and enough of it takes long.
    """

    def __init__(self, least: int, remembered: int) -> None:
        """Has seen nothing yet.

        Args:
            least: Ratios before a tail is believed.
            remembered: About so many ratios count.
        """
        self._least = least
        self._kept = 1 - 1 / remembered
        self._bins = [0.0] * _BINS
        self._weight = 1.0
        self._noted = 0
        self.is_seen = False

    def note(self, ratio: float) -> None:
        """Takes in a ratio."""
        # A later ratio weighs more, which spares touching all bins.
        self._weight /= self._kept
        self._bins[_bin_of(ratio)] += self._weight
        if self._weight > _WEIGHT_MOST:
            self._bins = [count / self._weight for count in self._bins]
            self._weight = 1.0
        self._noted += 1
        enough = self._noted >= self._least
        self.is_seen = enough and self.share_over(TAIL_FROM) >= _SHARE_LEAST

    def share_over(self, ratio: float, lived: float = 0.0) -> float:
        """Returns the share over a ratio, of those over another.

        Args:
            ratio: The ratio.
            lived: The other.
        """
        beyond = sum(self._bins[_bin_of(lived) :])
        if beyond <= 0:
            return 0.0
        over = sum(self._bins[_bin_of(max(ratio, lived)) :])
        return over / beyond


def _bin_of(ratio: float) -> int:
    exponent = math.log2(max(ratio, 1e-3))
    number = math.floor(exponent * _BINS_AN_OCTAVE) - _LOWEST
    return min(max(number, 0), _BINS - 1)
