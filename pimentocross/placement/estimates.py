"""What callers' estimates tell of durations, learned by how far off they are.

Load pattern: callers know that a step is several times as long as usual, and
say so. Where all estimates count alike, as a share of what they say, such steps
look a third as long as they are, and late as soon as they begin.
"""

from collections.abc import Sequence
import itertools
from typing import Final

# How much an estimate counts against its queue's mean: estimates are off by a
# factor of 2.5 either way, durations of one queue spread by 1.6.
ESTIMATE_WEIGHT: Final = 0.3
# Bounds, in the logarithm, between which estimates tell alike.
_BOUNDS: Final[Sequence[float]] = (-0.7, 0.0, 0.7, 1.2)
# Steps before what was seen counts as much as the common weight, and the most
# that are remembered.
_STEPS_HALF: Final = 2.0
_STEPS_MOST: Final = 30.0


class Estimates:
    """How durations deviate from what estimates say, for one queue.

    All in logarithms over the queue's mean.
    """

    def __init__(self) -> None:
        """Has seen nothing yet."""
        self._weights = [0.0] * (len(_BOUNDS) + 1)
        self._means = [0.0] * (len(_BOUNDS) + 1)

    def note(self, estimate: float, took: float, share: float) -> None:
        """Takes in a task.

        Args:
            estimate: What its caller said.
            took: What it took.
            share: Its share of its step: tasks of one step are alike.
        """
        place = _place_of(estimate)
        weight = min(self._weights[place] + share, _STEPS_MOST)
        surprise = took - ESTIMATE_WEIGHT * estimate - self._means[place]
        self._weights[place] = weight
        self._means[place] += share / weight * surprise

    def expect(self, estimate: float) -> float:
        """Returns what a task of an estimate is expected to take."""
        place = _place_of(estimate)
        weight = self._weights[place]
        learned = weight / (weight + _STEPS_HALF) * self._means[place]
        return ESTIMATE_WEIGHT * estimate + learned


def _place_of(estimate: float) -> int:
    return sum(1 for _ in itertools.takewhile(estimate.__ge__, _BOUNDS))
