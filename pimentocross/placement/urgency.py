"""In which order work that waits is started.

Load pattern: more work arrives than the workers carry (a burst of one queue,
workers lost), while short urgent jobs and long ones wait beside each other.
A job earns in full until its objective, a little until three times that, and
nothing later. Ordered by the time to spare alone, an overloaded system starts
every job at the last moment, and a small error makes each of them late. So:

1. jobs that have begun and can be in time, as their work is lost otherwise;
2. jobs with a comfortable time to spare, the least first;
3. jobs that are in time only if nothing goes wrong;
4. jobs that are late, begun ones first; then those that earn nothing more.
"""

from enum import IntEnum
from typing import Final, NamedTuple

from pimentocross.placement.durations import Durations
from pimentocross.work.state import Job, JobState, Step

# A job earns a little until this many times its objective.
LATE_FACTOR: Final = 3.0
# Share of the objective that a job should have to spare when it begins:
# estimates of its chain are off by about this much.
MARGIN: Final = 0.25


class DeadlineClass(IntEnum):
    """What can still be earned, and how surely."""

    BEGUN = 0
    COMFORTABLE = 1
    TIGHT = 2
    LATE_BEGUN = 3
    LATE = 4
    HOPELESS = 5


class Urgency(NamedTuple):
    """Sorts work: the lowest first.

    Attributes:
        priority: The queue's.
        chance: What can still be earned.
        spare: Seconds that the job could still wait.
    """

    priority: int
    chance: DeadlineClass
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
        return Urgency(job.queue.priority, DeadlineClass.BEGUN, 0.0)
    aim = objective(step, durations)
    waited = wall - max(job.accepted_at, step.occurrence.due)
    left = durations.remaining_critical_path(step.occurrence)
    spare = aim - waited - left
    if spare >= 0:
        chance = _chance_in_time(job, spare, aim)
        return Urgency(job.queue.priority, chance, spare)
    late_spare = LATE_FACTOR * aim - waited - left
    return Urgency(
        job.queue.priority, _chance_late(job, late_spare), late_spare
    )


def objective(step: Step, durations: Durations) -> float:
    """Returns within how many seconds a step's job is in time."""
    queue = step.job.queue
    critical_path = durations.critical_path(step.occurrence)
    return queue.slack * critical_path + queue.target_latency


def _chance_in_time(job: Job, spare: float, objective: float) -> DeadlineClass:
    if job.state is JobState.RUNNING:
        return DeadlineClass.BEGUN
    if spare >= MARGIN * objective:
        return DeadlineClass.COMFORTABLE
    return DeadlineClass.TIGHT


def _chance_late(job: Job, late_spare: float) -> DeadlineClass:
    if late_spare < 0:
        return DeadlineClass.HOPELESS
    if job.state is JobState.RUNNING:
        return DeadlineClass.LATE_BEGUN
    return DeadlineClass.LATE
