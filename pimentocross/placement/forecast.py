"""Whether work that comes could still be of use once it is done.

Load pattern: more work of the same or a higher priority waits than the room
can do for many times what callers wait. A caller who learns of that only by
waiting can do nothing else meanwhile; told at once, it can come back later or
help itself.

A forecast is off by a factor of 2.5 for one job, by less for the sum of many.
A caller who is turned away for nothing loses all, one who is kept in vain loses
a wait: so only what is far beyond use is refused.
"""

from collections import deque
import math
from typing import Final, NamedTuple
import zlib

from pimentocross.placement.urgency import LATE_FACTOR

# A job is refused if it is foreseen to be done only after so many times the
# time up to which it earns its caller anything.
REFUSAL_FACTOR: Final = 2.0
# Bounds of the time after which a refused caller may come back, seconds: who
# is told less would ask in vain, and nothing is foreseen for longer.
MIN_RETRY_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 30.0
# Callers come back over so much more than the backlog is foreseen to take.
_RETRY_SPREAD: Final = 1.0
# A rate is taken over the last seconds, and believed after so many ends.
_RATE_OVER: Final = 3.0
_ENDS_LEAST: Final = 20
# Room that was there within so many seconds counts as there: workers that
# can't be reached for a moment and zones that are emptied come back.
_ROOM_REMEMBERED: Final = 10.0


class Load(NamedTuple):
    """What a job would wait for; seconds, cores and core-seconds.

    Attributes:
        ahead: What waits for the same room and goes first.
        room: What such work has, in use or free.
        work: The job's own.
        chain: Its longest chain.
        objective: Within this it is in time.
    """

    ahead: float
    room: float
    work: float
    chain: float
    objective: float

    @property
    def wait(self) -> float:
        """Seconds until the job could begin."""
        return self.ahead / self.room

    @property
    def own(self) -> float:
        """Seconds that it would take with all the room."""
        return max(self.chain, self.work / self.room)

    @property
    def use(self) -> float:
        """Seconds up to which it earns its caller something."""
        return LATE_FACTOR * self.objective


def is_too_late(load: Load) -> bool:
    """Returns whether a job would surely be done too late to be of use.

    One that would be too late with nothing ahead isn't the backlog's matter.
    """
    if load.room <= 0 or load.objective <= 0 or load.own > load.use:
        return False
    return load.wait + load.own > REFUSAL_FACTOR * load.use


def retry_after(load: Load, name: str) -> float:
    """Returns when a refused caller should come back, in seconds.

    The backlog is foreseen to have drained by then so far that its job would be
    in time. Callers are spread by their job's name.
    """
    drained = load.wait - max(load.objective - load.own, 0.0)
    draw = zlib.crc32(name.encode()) / 2**32
    seconds = drained * (1 + _RETRY_SPREAD * draw)
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


class FinishRate:
    """Follows how much work of a kind is done a second."""

    def __init__(self) -> None:
        """Has seen none yet."""
        self._sum = 0.0
        self._at = 0.0
        self._ends = 0

    def note(self, work: float, now: float) -> None:
        """Takes in a task that was done, of so many core-seconds."""
        self._sum = self._faded(now) + work
        self._at = now
        self._ends += 1

    def cores(self, now: float) -> float | None:
        """Returns core-seconds a second, or None if too little was seen."""
        if self._ends < _ENDS_LEAST:
            return None
        return self._faded(now) / _RATE_OVER

    def _faded(self, now: float) -> float:
        return self._sum * math.exp(-max(now - self._at, 0.0) / _RATE_OVER)


class RecentCapacity:
    """The most room there was in the last seconds."""

    def __init__(self) -> None:
        """Has seen none yet."""
        # Each less than the one before it.
        self._seen: deque[tuple[float, float]] = deque()

    def note(self, cores: float, now: float) -> None:
        """Takes in how much there is now."""
        while self._seen and self._seen[-1][1] <= cores:
            self._seen.pop()
        self._seen.append((now, cores))

    def most(self, now: float) -> float:
        """Returns the most, 0 if nothing was seen."""
        while self._seen and now - self._seen[0][0] > _ROOM_REMEMBERED:
            self._seen.popleft()
        return self._seen[0][1] if self._seen else 0.0
