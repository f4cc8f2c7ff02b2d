"""Measures the delay of this process's event loop.

If a timer fires late, everything else in the thread was delayed as well:
received replies were not read, heartbeats and lease renewals not sent. Code
that detects failures of others by missing replies has to allow for this delay.
"""

from collections import deque
import math
from typing import Final

import trio

# A stall is underestimated by at most this; costs a thousandth of a core.
_CHECK_INTERVAL: Final = 0.05
# Seconds that `recent` covers.
_RECENT_SECONDS: Final = 1.0
# Seconds that `since` may look back: longer than a call to a worker takes.
_HISTORY_SECONDS: Final = 10.0


class LoopLateness:
    """Measures how late a timer fires; all times in seconds.

    Reports no delay unless `run` is running.
    """

    def __init__(self) -> None:
        """Initializes the measurement without any delay."""
        # Time of firing and delay; each delay exceeds all that follow it.
        self._worst: deque[tuple[float, float]] = deque()
        self._due = math.inf

    @property
    def recent(self) -> float:
        """Longest delay in the last second, including one in progress."""
        return self.recent_at(trio.current_time())

    def recent_at(self, now: float) -> float:
        """Returns `recent` for a time that the calling code has read."""
        return self.between(now - _RECENT_SECONDS, now)

    def since(self, moment: float) -> float:
        """Returns the longest delay from a moment until now.

        Args:
            moment: Monotonic time, within the history that is kept.
        """
        return self.between(moment, trio.current_time())

    def between(self, moment: float, now: float) -> float:
        """Returns `since` for a time that the calling code has read."""
        overdue = now - self._due
        worst = next((late for at, late in self._worst if at >= moment), 0.0)
        return max(overdue, worst, 0.0)

    async def run(self) -> None:
        """Measures until cancelled."""
        try:
            while True:
                self._due = trio.current_time() + _CHECK_INTERVAL
                await trio.sleep_until(self._due)
                now = trio.current_time()
                self._record(now - self._due, now)
        finally:
            self._due = math.inf

    def _record(self, late: float, now: float) -> None:
        while self._worst and self._worst[-1][1] <= late:
            self._worst.pop()
        self._worst.append((now, late))
        while self._worst[0][0] < now - _HISTORY_SECONDS:
            self._worst.popleft()
