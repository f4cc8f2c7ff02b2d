"""How far tasks of a queue exceed the usual.

Load pattern: most tasks of a queue take about as long, and a few several times
as long, single ones or all of a step. A mean and a spread tell nothing of those
few.
"""

import math
from typing import Final

# A bin is half an octave wide: durations of one queue spread by more.
_BINS_AN_OCTAVE: Final = 2
# Ratios from a quarter to 32 times the usual.
_LOWEST: Final = -2 * _BINS_AN_OCTAVE
_BINS: Final = 7 * _BINS_AN_OCTAVE + 1
# Share of a new ratio: a tail of a hundredth shows in about 500 tasks.
_LEARNING: Final = 0.002
# Tasks before a tail is believed, and the least of them that make one: failures
# and slow workers make a few tasks in a thousand take long.
_SEEN_LEAST: Final = 100
_SHARE_LEAST: Final = 0.01
# A task this many times over the usual belongs to the tail: ordinary durations
# spread by less.
TAIL_FROM: Final = 4.0


# Weights are brought down to 1 again from here on.
_WEIGHT_MOST: Final = 1e6


class Tail:
    """Ratios of durations to the usual one, as a decayed histogram.

    Attributes:
        is_seen: Whether enough is known, and enough of it takes long.
    """

    def __init__(self) -> None:
        """Has seen nothing yet."""
        self._bins = [0.0] * _BINS
        self._weight = 1.0
        self._noted = 0
        self.is_seen = False

    def note(self, ratio: float) -> None:
        """Takes in how long a task took over the usual."""
        # A later ratio weighs more, which spares touching all bins.
        self._weight /= 1 - _LEARNING
        self._bins[_bin_of(ratio)] += self._weight
        if self._weight > _WEIGHT_MOST:
            self._bins = [count / self._weight for count in self._bins]
            self._weight = 1.0
        self._noted += 1
        enough = self._noted >= _SEEN_LEAST
        self.is_seen = enough and self.share_over(TAIL_FROM) >= _SHARE_LEAST

    def share_over(self, ratio: float, lived: float = 0.0) -> float:
        """Returns the share of tasks over a ratio, of those over another.

        Args:
            ratio: The ratio.
            lived: What a task has come to without an end.
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
