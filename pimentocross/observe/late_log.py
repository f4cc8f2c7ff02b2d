"""Tells how late a process's event loop is, and what it did meanwhile."""

from collections import deque
import time
from typing import Final, NamedTuple

import trio

from pimentocross.observe import meters
from pimentocross.observe.decisions import note

# Lateness that is told: calls to workers are given up after 0.8 s, and peers
# suspect an owner after 1 s of silence.
_TOLD_FROM: Final = 0.25
_TOLD_INTERVAL: Final = 1.0
# The gauge is of the last seconds: scrapers come every 5 to 15 s.
_MOST_OF: Final = 15.0


class _Late(NamedTuple):
    """When the loop was late, monotonic, and by how many seconds."""

    at: float
    seconds: float


class LateLog:
    """Takes each lateness that is measured, whoever measures it."""

    def __init__(self) -> None:
        """Has seen none yet."""
        self._told_at = float("-inf")
        self._lates: deque[_Late] = deque()
        self._processor = time.process_time()
        self._passes = meters.total(meters.PASS_SECONDS)

    @property
    def most(self) -> float:
        """The most that it was late by in the last seconds."""
        since = trio.current_time() - _MOST_OF
        recent = [late.seconds for late in self._lates if late.at >= since]
        return max(recent, default=0.0)

    def take(self, late: float) -> None:
        """Counts a lateness in seconds, and tells a long one.

        To be called each time it is measured: what is told is what was done
        since the last call.
        """
        now = trio.current_time()
        processor, self._processor = self._processor, time.process_time()
        passes = self._passes
        self._passes = meters.total(meters.PASS_SECONDS)
        meters.add(meters.LOOP_LATE, late)
        while self._lates and self._lates[0].at < now - _MOST_OF:
            self._lates.popleft()
        if late < _TOLD_FROM:
            return
        self._lates.append(_Late(now, late))
        if now - self._told_at < _TOLD_INTERVAL:
            return
        self._told_at = now
        note(
            "late",
            late=round(late, 3),
            passes=round(self._passes - passes, 3),
            processor=round(self._processor - processor, 3),
        )
