"""A worker's steady clock, as bounded by its answers."""

import math
from typing import Final

from pimentocross.owner import const

# Answers on different connections may overtake each other by this, in seconds.
_DISORDER: Final = 2.0


class WorkerClock:
    """Bounds of a worker's clock; all times in seconds."""

    def __init__(self) -> None:
        """Knows nothing yet."""
        self._reading: float | None = None
        self._read_at = 0.0

    @property
    def known(self) -> bool:
        """True once the worker has told its clock."""
        return self._reading is not None

    def is_behind(self, reading: float) -> bool:
        """True for a reading well below one that was taken before."""
        return self._reading is not None and reading < self._reading - _DISORDER

    def note(self, reading: float, now: float) -> None:
        """Takes a reading that came with an answer received now."""
        if self._reading is None or reading >= self._reading:
            self._reading = reading
            self._read_at = now

    def after(self, seconds: float, now: float) -> float:
        """Returns the reading some seconds from now."""
        assert self._reading is not None
        return self._reading + (now - self._read_at) + seconds

    def past_at(self, reading: float) -> float:
        """Returns when the clock must have passed a reading, however slow."""
        if self._reading is None:
            return math.inf
        left = reading + const.LAPSE_MARGIN - self._reading
        return self._read_at + left / (1 - const.CLOCK_DRIFT)
