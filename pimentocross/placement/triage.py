"""Which jobs go first while the work that waits can't all be in time.

Load pattern: for some seconds more work comes than the room carries (a burst
of one queue, a part of the workers lost). In the usual order, by the time to
spare, each job becomes a little late; if a few that take much are put back,
many others are in time.

Work is short of room once jobs that can be in time with a comfortable margin
can't all begin within it: taken by the time at which each has to begin, the
work of those up to one exceeds what the room does by then. Then such jobs go
by the work that they take for what they are worth, the least first. What has
begun goes on, what is late comes after as ever, and nobody is put back behind
a lower priority.
"""

from collections.abc import Iterable
import itertools
from typing import Final, NamedTuple
import zlib

from pimentocross.placement.urgency import DeadlineClass, Urgency

# A job counts so much for the caller that is served, whatever its size, and
# the rest for its work against the mean of its queue.
_CALLER_SHARE: Final = 0.3
# A job with this many times the mean work of its queue is large: about the
# largest tenth.
_LARGE: Final = 1.8
# Every so many large jobs one goes as if it had the mean work: else none would
# be served while a burst lasts, and callers with large jobs count as well.
_LOTS: Final = 2


class Order(NamedTuple):
    """Sorts work: the lowest first.

    Attributes:
        priority: The queue's.
        chance: What can still be earned.
        burden: Work for its worth where room is short, else 0.
        spare: Seconds that the job could still wait.
    """

    priority: int
    chance: DeadlineClass
    cost_ratio: float
    spare: float

    @property
    def is_put_back(self) -> bool:
        """True if it takes more for its worth than the mean of its queue."""
        return self.cost_ratio > 1.0


class WaitingJob(NamedTuple):
    """What is left to start of a job.

    Attributes:
        rank: Its urgency in the usual order.
        work: Core-seconds.
        margin: Seconds that it should have to spare when it begins.
    """

    rank: Urgency
    work: float
    margin: float


def order_of(rank: Urgency, cost_ratio: float = 0.0) -> Order:
    """Returns where a job goes; without a burden that is the usual order."""
    return Order(rank.priority, rank.chance, cost_ratio, rank.spare)


def cost_ratio(name: str, relative_work: float) -> float:
    """Returns the work that a job takes for what it is worth; the mean is 1.

    Large jobs are exempt by a lot that their name draws: that needs no memory,
    so the next owner decides alike.

    Args:
        name: The job's.
        relative_work: Its work over the mean of its queue.
    """
    if relative_work >= _LARGE and not zlib.crc32(name.encode()) % _LOTS:
        return 1.0
    worth = _CALLER_SHARE + (1 - _CALLER_SHARE) * relative_work
    return relative_work / worth


def overloaded_priorities(
    waiting: Iterable[WaitingJob], room: float
) -> set[int]:
    """Returns the priorities whose jobs can't all be in time.

    Args:
        waiting: What waits for the same room.
        room: Cores that such work has, in use or free.
    """
    short = set()
    ahead = 0.0
    by_priority = sorted(waiting, key=lambda job: job.rank.priority)
    groups = itertools.groupby(by_priority, lambda job: job.rank.priority)
    for priority, group in groups:
        jobs = list(group)
        if _is_short(jobs, ahead, room):
            short.add(priority)
        ahead += sum(job.work for job in jobs)
    return short


def _is_short(jobs: Iterable[WaitingJob], ahead: float, room: float) -> bool:
    """Returns whether jobs of one priority can't all begin in time.

    Args:
        jobs: The jobs.
        ahead: Core-seconds that go before all of them.
        room: Cores.
    """
    due = []
    for job in jobs:
        if job.rank.chance is DeadlineClass.BEGUN:
            ahead += job.work
        elif job.rank.chance is DeadlineClass.COMFORTABLE:
            due.append((job.rank.spare - job.margin, job.work))
    for begin, work in sorted(due):
        # What has begun ends meanwhile: only what waits is ahead.
        if ahead > room * begin:
            return True
        ahead += work
    return False
