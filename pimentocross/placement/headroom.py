"""Computes how much room is kept free for short work that reserves resources.

Load pattern: long-running tasks arrive early and would take all room for the
rest of the day, while short urgent tasks arrive in waves and would then wait
for seconds. Room for the highest recent demand of short work is kept free of
long-running tasks and of work of lower priority.
"""

import math
from typing import Final

# Time constant with which the demand of a wave decays: about the time until the
# next wave of callers.
_DECAY_SECONDS: Final = 15.0
# Bounds, as shares of all processors. The lower one keeps room for a first
# wave, the upper one limits the room that short work has priority on.
_MIN_SHARE: Final = 0.04
_MAX_SHARE: Final = 0.15
# Work that has been held back for this long may use the headroom: users count a
# long-running task as lost if it is down for 6 s while there is room for it.
MAX_HELD_BACK_SECONDS: Final = 2.5


class Headroom:
    """Tracks the demand of short work, in thousandths of a core."""

    def __init__(self) -> None:
        """Initializes the headroom without any demand."""
        self._demand = 0.0
        self._at = 0.0

    def note(self, demand: float, now: float) -> None:
        """Records what running and waiting short tasks request."""
        decay = math.exp(-max(now - self._at, 0.0) / _DECAY_SECONDS)
        self._demand = max(self._demand * decay, demand)
        self._at = now

    def missing(self, capacity: float, taken: float) -> float:
        """Returns how much has to stay free for more short work.

        Args:
            capacity: Capacity of all workers.
            taken: Amount that short work uses now.
        """
        return max(self.wanted(capacity) - taken, 0.0)

    def wanted(self, capacity: float) -> float:
        """Returns the part of a capacity that short work has priority on."""
        return min(
            max(self._demand, _MIN_SHARE * capacity), _MAX_SHARE * capacity
        )
