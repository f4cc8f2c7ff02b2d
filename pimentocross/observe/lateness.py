"""How late this process's event loop is.

A timer that fires late tells how long everything else in the thread waited:
answers that were there and not read, heartbeats and renewals not sent. Whoever
judges others by their answers has to know it.
"""

from collections import deque
import math
from typing import Final

import trio

# A stall is seen but for this much of it; costs a thousandth of a core.
_INTERVAL: Final = 0.05
# What `recent` covers, seconds.
_RECENT: Final = 1.0
# What `since` can look back on: longer than a call to a worker lasts.
_KEPT: Final = 10.0


class LoopLateness:
    """Measures how late a timer fires; all times in seconds.

    `run` has to be running; without it nothing is ever late.
    """

    def __init__(self) -> None:
        """Has seen nothing yet."""
        # When the timer fired and how late, each later than all after it.
        self._worst: deque[tuple[float, float]] = deque()
        self._due = math.inf

    @property
    def recent(self) -> float:
        """The worst lateness of the last second, or what it has come to."""
        return self.recent_at(trio.current_time())

    def recent_at(self, now: float) -> float:
        """Returns the same for a caller that has read the time."""
        return self.between(now - _RECENT, now)

    def since(self, moment: float) -> float:
        """Returns the worst lateness since a moment, up to now.

        Args:
            moment: Monotonic, no longer ago than what is kept.
        """
        return self.between(moment, trio.current_time())

    def between(self, moment: float, now: float) -> float:
        """Returns the same for a caller that has read the time."""
        overdue = now - self._due
        worst = next((late for at, late in self._worst if at >= moment), 0.0)
        return max(overdue, worst, 0.0)

    async def run(self) -> None:
        """Measures for ever."""
        try:
            while True:
                self._due = trio.current_time() + _INTERVAL
                await trio.sleep_until(self._due)
                now = trio.current_time()
                self._take(now - self._due, now)
        finally:
            self._due = math.inf

    def _take(self, late: float, now: float) -> None:
        while self._worst and self._worst[-1][1] <= late:
            self._worst.pop()
        self._worst.append((now, late))
        while self._worst[0][0] < now - _KEPT:
            self._worst.popleft()
