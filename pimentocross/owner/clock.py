"""Estimates a worker's steady clock from the readings in its answers."""

import math
from typing import Final

from pimentocross.owner import const

# Seconds by which answers on different connections may overtake each other.
_REORDERING_MOST: Final = 2.0


class WorkerClock:
    """Bounds of a worker's clock; all times in seconds."""

    def __init__(self) -> None:
        """Initializes the bounds without a reading."""
        self._reading: float | None = None
        self._read_at = 0.0
        self._asked_at = 0.0

    @property
    def known(self) -> bool:
        """True once a reading of the clock was received."""
        return self._reading is not None

    @property
    def reading(self) -> float:
        """The newest reading; one must have been received."""
        assert self._reading is not None
        return self._reading

    def is_behind(self, reading: float) -> bool:
        """True for a reading well below an earlier one."""
        return (
            self._reading is not None
            and reading < self._reading - _REORDERING_MOST
        )

    def note(self, reading: float, asked_at: float, now: float) -> None:
        """Adds a reading that came with an answer received now.

        Args:
            reading: The reading.
            asked_at: When the call was sent, monotonic.
            now: Present time.
        """
        if self._reading is None or reading >= self._reading:
            self._reading = reading
            self._asked_at = asked_at
            self._read_at = now

    def after(self, seconds: float, now: float) -> float:
        """Returns the estimated reading some seconds from now.

        The estimate assumes that the clock runs at the speed of our own.
        """
        assert self._reading is not None
        return self._reading + (now - self._read_at) + seconds

    def latest_reading(self, now: float) -> float:
        """Returns the latest reading that the clock may have now."""
        assert self._reading is not None
        passed = (now - self._asked_at) * (1 + const.CLOCK_DRIFT)
        return self._reading + passed

    def latest_time_of(self, reading: float) -> float:
        """Returns when even the slowest clock has surely passed a reading.

        The result is monotonic seconds, and infinite without a reading.
        """
        if self._reading is None:
            return math.inf
        left = reading + const.LAPSE_MARGIN - self._reading
        return self._read_at + left / (1 - const.CLOCK_DRIFT)
