"""Tracks the recent processor time requested by each best-effort image.

Load pattern: jobs of an image arrive one by one, a few in ten seconds. Between
two of them no task of the image runs or waits. A layout that considered only
present demand would then place serving tasks that exclude the image on the
workers that its next job needs.
"""

from collections.abc import Mapping
import math
from typing import Final

# Time constant with which past demand decays: a few times the interval between
# two jobs of an image, and about the duration of a job of several steps.
_DECAY_SECONDS: Final = 8.0
# Demand below this is dropped, in thousandths of a core.
_NEGLIGIBLE: Final = 500


class Demand:
    """Tracks the demand by image, in thousandths of a core."""

    def __init__(self) -> None:
        """Initializes the tracker without any demand."""
        self._amounts: dict[str, float] = {}
        self._at = 0.0

    def note(self, present: Mapping[str, int], now: float) -> dict[str, int]:
        """Records the present demand and returns the demand to plan for."""
        decay = math.exp(-max(now - self._at, 0.0) / _DECAY_SECONDS)
        self._at = now
        faded = {image: cpu * decay for image, cpu in self._amounts.items()}
        self._amounts = {
            image: max(float(present.get(image, 0)), faded.get(image, 0.0))
            for image in {*present, *faded}
        }
        self._amounts = {
            image: cpu
            for image, cpu in self._amounts.items()
            if cpu >= _NEGLIGIBLE
        }
        return {image: int(cpu) for image, cpu in self._amounts.items()}
