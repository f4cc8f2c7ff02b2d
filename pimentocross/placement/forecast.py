"""Predicts whether a new job would end too late to be of use to its caller.

Load pattern: the backlog of the same or a higher priority takes many times as
long to process as callers wait. A caller who learns this only by waiting loses
that time; a caller who is refused at once can retry later or find another way.

A prediction is off by a factor of 2.5 for one job, and by less for the sum of
many. A caller who is refused without need loses the whole job, a caller who is
accepted in vain loses only a wait. So a job is refused only if it would end
long after it is of use.
"""

from collections import deque
import math
from typing import Final, NamedTuple
import zlib

from pimentocross.placement.urgency import LATE_FACTOR

# A job is refused if it is predicted to end after this multiple of the time for
# which it is of use to its caller.
REFUSAL_FACTOR: Final = 2.0
# Bounds of the time after which a refused caller may retry: an earlier retry
# would be refused again, and predictions don't reach further.
MIN_RETRY_SECONDS: Final = 1.0
MAX_RETRY_SECONDS: Final = 30.0
# Retries are spread over this share of the predicted drain time, added to it.
_RETRY_SPREAD: Final = 1.0
# Time constant in seconds of the completion rate, and the ended tasks needed
# before it is used.
_RATE_TIME_CONSTANT: Final = 3.0
_MIN_ENDED_TASKS: Final = 20
# The greatest capacity within this many seconds counts as present: workers that
# are briefly unreachable and zones that are evacuated come back.
_CAPACITY_MAX_AGE: Final = 10.0


class Load(NamedTuple):
    """A new job, the backlog ahead of it and the capacity for both.

    Attributes:
        ahead: Work that waits for the same capacity and is started first,
            core-seconds.
        room: Capacity for such work, in use or free, cores.
        work: Work of the job, core-seconds.
        chain: Duration of the job's critical path, seconds.
        objective: Time within which the job is in time, seconds.
    """

    ahead: float
    room: float
    work: float
    chain: float
    objective: float

    @property
    def wait(self) -> float:
        """Seconds until the job can start."""
        return self.ahead / self.room

    @property
    def own(self) -> float:
        """Seconds that the job takes if it has the whole capacity."""
        return max(self.chain, self.work / self.room)

    @property
    def use(self) -> float:
        """Seconds for which the job is of any use to its caller."""
        return LATE_FACTOR * self.objective


def is_too_late(load: Load) -> bool:
    """Returns whether a job would surely end too late to be of use.

    False for a job that would be too late without any backlog, as the backlog
    is not the cause.
    """
    if load.room <= 0 or load.objective <= 0 or load.own > load.use:
        return False
    return load.wait + load.own > REFUSAL_FACTOR * load.use


def retry_after(load: Load, name: str) -> float:
    """Returns after how many seconds a refused caller should retry.

    By then, the backlog is predicted to have drained so far that the job would
    be in time. A hash of the job's name spreads the retries of callers.

    Args:
        load: The refused job and the backlog.
        name: Name of the job.
    """
    drained = load.wait - max(load.objective - load.own, 0.0)
    fraction = zlib.crc32(name.encode()) / 2**32
    seconds = drained * (1 + _RETRY_SPREAD * fraction)
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


class FinishRate:
    """Measures how much work of one kind is completed per second."""

    def __init__(self) -> None:
        """Initializes the rate without any completed task."""
        self._sum = 0.0
        self._updated_at = 0.0
        self._ended_tasks = 0

    def note(self, work: float, now: float) -> None:
        """Records a completed task with its work in core-seconds."""
        self._sum = self._decayed_sum(now) + work
        self._updated_at = now
        self._ended_tasks += 1

    def cores(self, now: float) -> float | None:
        """Returns core-seconds per second, or None after too few tasks."""
        if self._ended_tasks < _MIN_ENDED_TASKS:
            return None
        return self._decayed_sum(now) / _RATE_TIME_CONSTANT

    def _decayed_sum(self, now: float) -> float:
        return self._sum * math.exp(
            -max(now - self._updated_at, 0.0) / _RATE_TIME_CONSTANT
        )


class RecentCapacity:
    """The greatest capacity of the last seconds."""

    def __init__(self) -> None:
        """Initializes the history without any capacity."""
        # Pairs of time and cores, in falling order of cores.
        self._maxima: deque[tuple[float, float]] = deque()

    def note(self, cores: float, now: float) -> None:
        """Records the present capacity in cores."""
        while self._maxima and self._maxima[-1][1] <= cores:
            self._maxima.pop()
        self._maxima.append((now, cores))

    def most(self, now: float) -> float:
        """Returns the greatest recent capacity in cores, 0 if unknown."""
        while self._maxima and now - self._maxima[0][0] > _CAPACITY_MAX_AGE:
            self._maxima.popleft()
        return self._maxima[0][1] if self._maxima else 0.0
