"""In which order work that waits is started.

Load pattern: more work arrives than the workers carry (a burst of one queue,
workers lost), while short urgent jobs and long ones wait beside each other.
A job earns in full until its objective, a little until three times that, and
nothing later. So among jobs of one priority those come first that can still
be in time, the one with the least time to spare first; those that are late
come after them, those that are hopeless last.
"""

from enum import IntEnum
from typing import Final, NamedTuple

from pimentocross.placement.durations import Durations
from pimentocross.work.state import Step

# A job earns a little until this many times its objective.
LATE_FACTOR: Final = 3.0


class Chance(IntEnum):
    """What can still be earned."""

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


class Urgency(NamedTuple):
    """Sorts work: the lowest first.

    Attributes:
        lasting: 0 for tasks that last: each second that they're away costs.
        priority: The queue's.
        chance: What can still be earned.
        spare: Seconds that the job could still wait.
    """

    priority: int
    chance: Chance
    spare: float


def urgency(step: Step, durations: Durations, wall: float) -> Urgency:
    """Returns how urgent a step is.

    Args:
        step: A step whose turn has come.
        durations: What is known of durations.
        wall: Seconds since 1970.
    """
    job = step.job
    if step.spec.lasting:
        return Urgency(job.queue.priority, Chance.IN_TIME, 0.0)
    left = durations.chain_left(step.occurrence)
    whole = durations.chain(step.occurrence)
    objective = job.queue.slack * whole + job.queue.target_latency
    due = max(job.accepted_at, step.occurrence.due)
    waited = wall - due
    spare = objective - waited - left
    if spare >= 0:
        return Urgency(job.queue.priority, Chance.IN_TIME, spare)
    late_spare = LATE_FACTOR * objective - waited - left
    chance = Chance.LATE if late_spare >= 0 else Chance.HOPELESS
    return Urgency(job.queue.priority, chance, late_spare)
