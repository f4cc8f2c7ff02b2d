"""Ranks waiting steps by how urgent it is to start them.

Load pattern: more work arrives than the workers can process (a burst of one
queue, or workers lost), while short urgent jobs and long jobs wait together. A
job has its full value until its objective, a small value until three times the
objective, and none later. If jobs are ordered by spare time alone, an
overloaded system starts every job at the last moment, and a small error makes
each of them late. So the order is:

1. started jobs that can be in time, as their work is lost otherwise;
2. jobs with a comfortable spare time, the least first;
3. jobs that are in time only if nothing goes wrong;
4. late jobs, started ones first; then those that have no value any more.
"""

from enum import IntEnum
from typing import Final, NamedTuple

from pimentocross.placement.durations import Durations
from pimentocross.work.state import Job, JobState, Step

# A late job keeps a small value until this multiple of its objective.
LATE_FACTOR: Final = 3.0
# Spare time that a job should have when it starts, as a share of its objective:
# predictions of its critical path are off by about this much.
MARGIN: Final = 0.25


class DeadlineClass(IntEnum):
    """Whether a job can still meet its objective, most urgent first."""

    BEGUN = 0
    COMFORTABLE = 1
    TIGHT = 2
    LATE_BEGUN = 3
    LATE = 4
    HOPELESS = 5


class Urgency(NamedTuple):
    """Sort key of waiting steps, the lowest first.

    Attributes:
        priority: Priority of the queue.
        chance: Whether the job can still meet its objective.
        spare: Seconds that the job can still wait until it misses the
            objective or, for a late job, has no value any more.
    """

    priority: int
    chance: DeadlineClass
    spare: float


def urgency(step: Step, durations: Durations, wall: float) -> Urgency:
    """Returns how urgent a step is.

    Args:
        step: A step that is ready to start.
        durations: Predicted durations.
        wall: Present time, seconds since 1970.
    """
    job = step.job
    if step.spec.lasting:
        return Urgency(job.queue.priority, DeadlineClass.BEGUN, 0.0)
    time_limit = objective(step, durations)
    waited = wall - max(job.accepted_at, step.occurrence.due)
    remaining = durations.remaining_critical_path(step.occurrence)
    spare = time_limit - waited - remaining
    if spare >= 0:
        chance = _class_if_in_time(job, spare, time_limit)
        return Urgency(job.queue.priority, chance, spare)
    seconds_until_hopeless = LATE_FACTOR * time_limit - waited - remaining
    return Urgency(
        job.queue.priority,
        _class_if_late(job, seconds_until_hopeless),
        seconds_until_hopeless,
    )


def objective(step: Step, durations: Durations) -> float:
    """Returns the objective of a step's job in seconds.

    A job that ends within this time after it was accepted or due is in time.
    """
    queue = step.job.queue
    critical_path = durations.critical_path(step.occurrence)
    return queue.slack * critical_path + queue.target_latency


def _class_if_in_time(
    job: Job, spare: float, objective: float
) -> DeadlineClass:
    if job.state is JobState.RUNNING:
        return DeadlineClass.BEGUN
    if spare >= MARGIN * objective:
        return DeadlineClass.COMFORTABLE
    return DeadlineClass.TIGHT


def _class_if_late(job: Job, seconds_until_hopeless: float) -> DeadlineClass:
    if seconds_until_hopeless < 0:
        return DeadlineClass.HOPELESS
    if job.state is JobState.RUNNING:
        return DeadlineClass.LATE_BEGUN
    return DeadlineClass.LATE
