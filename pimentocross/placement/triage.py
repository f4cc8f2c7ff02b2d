"""Orders waiting jobs under overload, when not all can be in time.

Load pattern: for some seconds, more work arrives than the capacity can process
(a burst of one queue, or a part of the workers lost). In the usual order, by
spare time, each job becomes a little late; if a few large jobs are put back,
many others are in time.

A priority is overloaded once the jobs that can be in time with a comfortable
margin can't all start early enough: sorted by latest start, the work of the
jobs up to one of them exceeds what the capacity processes until that start.
Such jobs are then ordered by work over value, the lowest ratio first. Started
jobs go on, late jobs keep their place after them, and no job is put back behind
a lower priority.
"""

from collections.abc import Iterable
import itertools
from typing import Final, NamedTuple
import zlib

from pimentocross.placement.urgency import DeadlineClass, Urgency

# Share of a job's value that is independent of its size, as one caller is
# served; the rest is proportional to its work over the mean of its queue.
_CALLER_SHARE: Final = 0.3
# From this multiple of the mean work of its queue on, a job is large: about the
# largest tenth of all jobs.
_LARGE_JOB_RATIO: Final = 1.8
# One in so many large jobs is treated as if it had the mean work: otherwise no
# large job, and no caller of one, would be served during a burst.
_EXEMPT_ONE_IN: Final = 2


class Order(NamedTuple):
    """Sort key of waiting work, the lowest first.

    Attributes:
        priority: Priority of the queue.
        chance: Whether the job can still meet its objective.
        cost_ratio: Work over value if the priority is overloaded, else 0.
        spare: Seconds that the job can still wait.
    """

    priority: int
    chance: DeadlineClass
    cost_ratio: float
    spare: float

    @property
    def is_put_back(self) -> bool:
        """Whether its work over value exceeds that of its queue's mean job."""
        return self.cost_ratio > 1.0


class WaitingJob(NamedTuple):
    """The part of a job that is still to be started.

    Attributes:
        rank: Urgency of the job in the usual order.
        work: Work to be started, core-seconds.
        margin: Spare time that the job should have when it starts, seconds.
    """

    rank: Urgency
    work: float
    margin: float


def order_of(rank: Urgency, cost_ratio: float = 0.0) -> Order:
    """Returns the sort key of a job; without a cost ratio, the usual order."""
    return Order(rank.priority, rank.chance, cost_ratio, rank.spare)


def cost_ratio(name: str, relative_work: float) -> float:
    """Returns the work of a job over its value.

    The ratio is 1.0 for the mean job and for large jobs that are exempt. A hash
    of the name decides which ones are. That needs no stored state, and the next
    owner decides the same.

    Args:
        name: Name of the job.
        relative_work: Work of the job over the mean of its queue.
    """
    if (
        relative_work >= _LARGE_JOB_RATIO
        and not zlib.crc32(name.encode()) % _EXEMPT_ONE_IN
    ):
        return 1.0
    value = _CALLER_SHARE + (1 - _CALLER_SHARE) * relative_work
    return relative_work / value


def overloaded_priorities(
    waiting: Iterable[WaitingJob], cores: float
) -> set[int]:
    """Returns the priorities whose jobs can't all start in time.

    Args:
        waiting: Jobs that wait for the same capacity.
        cores: Cores of this capacity, in use or free.
    """
    overloaded = set()
    work_ahead = 0.0
    by_priority = sorted(waiting, key=lambda job: job.rank.priority)
    groups = itertools.groupby(by_priority, lambda job: job.rank.priority)
    for priority, group in groups:
        jobs = list(group)
        if _is_overloaded(jobs, work_ahead, cores):
            overloaded.add(priority)
        work_ahead += sum(job.work for job in jobs)
    return overloaded


def _is_overloaded(
    jobs: Iterable[WaitingJob], work_ahead: float, cores: float
) -> bool:
    """Returns whether jobs of one priority can't all start in time.

    Args:
        jobs: The jobs.
        work_ahead: Core-seconds that are started before all of them.
        cores: Cores in use or free.
    """
    latest_starts = []
    for job in jobs:
        if job.rank.chance is DeadlineClass.BEGUN:
            work_ahead += job.work
        elif job.rank.chance is DeadlineClass.COMFORTABLE:
            latest_starts.append((job.rank.spare - job.margin, job.work))
    for latest_start, work in sorted(latest_starts):
        # Running tasks end meanwhile: only waiting work counts as ahead.
        if work_ahead > cores * latest_start:
            return True
        work_ahead += work
    return False
