"""Logs delays of the event loop, with the CPU time used meanwhile."""

from collections import deque
import time
from typing import Final, NamedTuple

import trio

from pimentocross.observe import meters
from pimentocross.observe.decisions import note

# Minimum delay in seconds that is logged. Calls to workers time out after
# 0.8 s, and peers suspect an owner after 1 s without an answer.
_MIN_LOGGED_SECONDS: Final = 0.25
_LOG_INTERVAL: Final = 1.0
# Seconds that the gauge covers, as metrics are scraped every 5 to 15 s.
_GAUGE_WINDOW: Final = 15.0


class _Stall(NamedTuple):
    """Monotonic time of a delay, and the delay in seconds."""

    at: float
    seconds: float


class LoopLatenessLog:
    """Records the measured delays of the event loop; logs long ones."""

    def __init__(self) -> None:
        """Initializes the log without any delay."""
        self._logged_at = float("-inf")
        self._stalls: deque[_Stall] = deque()
        self._cpu_seconds = time.process_time()
        self._pass_seconds = meters.total(meters.PASS_SECONDS)

    @property
    def worst_recent(self) -> float:
        """Longest delay in the time that the gauge covers, in seconds."""
        since = trio.current_time() - _GAUGE_WINDOW
        recent = [late.seconds for late in self._stalls if late.at >= since]
        return max(recent, default=0.0)

    def record(self, late: float) -> None:
        """Records a delay in seconds, and logs it if it is long.

        Must be called for each measurement, as the logged CPU time and time of
        passes are those since the previous call.
        """
        now = trio.current_time()
        processor, self._cpu_seconds = self._cpu_seconds, time.process_time()
        passes = self._pass_seconds
        self._pass_seconds = meters.total(meters.PASS_SECONDS)
        meters.add(meters.LOOP_LATE, late)
        while self._stalls and self._stalls[0].at < now - _GAUGE_WINDOW:
            self._stalls.popleft()
        if late < _MIN_LOGGED_SECONDS:
            return
        self._stalls.append(_Stall(now, late))
        if now - self._logged_at < _LOG_INTERVAL:
            return
        self._logged_at = now
        note(
            "late",
            late=round(late, 3),
            # Seconds spent in scheduling passes, not their number.
            passes=round(self._pass_seconds - passes, 3),
            processor=round(self._cpu_seconds - processor, 3),
        )
