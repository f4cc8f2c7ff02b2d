"""How much room is kept for short work that reserves what it takes.

Load pattern: tasks that last arrive early and would take all room for the
rest of the day, while short urgent tasks come in waves beside them and then
wait for seconds. Room for the highest demand of short work in the last while
stays free of tasks that last and of work of lower priority.
"""

import math
from typing import Final

# The demand of a wave is remembered for about this many seconds, until the next
# wave of callers.
_REMEMBERED: Final = 15.0
# Bounds, as shares of all processors: room for a first wave, and an end to what
# short work may have before all the rest.
_LEAST: Final = 0.04
_MOST: Final = 0.15
# Work that has been held back for this long, in seconds, takes the room all
# the same: users count a task that lasts as lost if it is away for 6 s while
# there is room for it.
HELD_BACK_MOST: Final = 2.5


class Headroom:
    """Follows the demand of short work; amounts in thousandths of a core."""

    def __init__(self) -> None:
        """Knows no demand yet."""
        self._demand = 0.0
        self._at = 0.0

    def note(self, demand: float, now: float) -> None:
        """Notes what short work takes and waits for."""
        kept = math.exp(-max(now - self._at, 0.0) / _REMEMBERED)
        self._demand = max(self._demand * kept, demand)
        self._at = now

    def missing(self, capacity: float, taken: float) -> float:
        """Returns how much has to stay free for more short work.

        Args:
            capacity: Of all workers.
            taken: What short work takes now.
        """
        return max(self.wanted(capacity) - taken, 0.0)

    def wanted(self, capacity: float) -> float:
        """Returns what short work may have of a capacity before the rest."""
        return min(max(self._demand, _LEAST * capacity), _MOST * capacity)
