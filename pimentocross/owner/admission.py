"""Admission control: refuses jobs that would certainly end too late.

It applies only to jobs that run once and whose queue has a time objective, and
only once the owner has known the load of its workers for a while.
"""

from collections.abc import Callable
from typing import Final

import trio

from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.backlog import Backlog, CapacityPool
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.placement.forecast import Load, is_too_late, retry_after
from pimentocross.placement.urgency import objective, urgency
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import Job

# A new owner refuses no job in this many seconds after its workers have listed
# their runs: the jobs that it took over all wait at once, and most of that
# backlog is gone by then.
_MIN_SETTLED_SECONDS: Final = 5.0
# Seconds; an older backlog is no reason to refuse a job.
_MAX_BACKLOG_AGE: Final = 1.5


class Admission:
    """Decides whether a new job is accepted or refused."""

    def __init__(
        self,
        backlog: Backlog,
        learned: LearnedEstimates,
        seconds_since_settled: Callable[[], float],
        *,
        refuses: bool = True,
    ) -> None:
        """Initializes admission control.

        Args:
            backlog: Jobs that wait for capacity.
            learned: Estimates of task durations and completion rates.
            seconds_since_settled: Returns for how many seconds the owner has
                known what runs on the workers.
            refuses: Whether any job is refused; False accepts all jobs.
        """
        self._refuses = refuses
        self._backlog = backlog
        self._learned = learned
        self._seconds_since_settled = seconds_since_settled

    def refusal_retry_delay(
        self, job_id: str, queue: Queue, spec: JobSpec
    ) -> float:
        """Returns the seconds after which to retry a refused job.

        Returns 0 if the job is accepted. A refusal is logged and counted, and
        no state of the job is kept.
        """
        if not self._refuses or not self._has_recent_data():
            return 0.0
        if not _has_objective(queue, spec):
            return 0.0
        pool = CapacityPool(queue.service, spec.steps[0].fills)
        if not self._backlog.waiting_work(pool):
            return 0.0
        load = self._load(pool, Job(job_id, queue, spec, wall.now()))
        if load is None:
            return 0.0
        seconds = retry_after(load, job_id)
        meters.add(f'jobs_refused_total{{queue="{queue.name}"}}')
        note(
            "job_refused",
            job=job_id,
            reason="no room in time",
            retry_after=round(seconds, 1),
            ahead=round(load.ahead),
            room=round(load.room),
            work=round(load.work, 1),
            wait=round(load.wait, 1),
            own=round(load.own, 1),
            use=round(load.use, 1),
        )
        return seconds

    def _has_recent_data(self) -> bool:
        age = trio.current_time() - self._backlog.refreshed_at
        return (
            age <= _MAX_BACKLOG_AGE
            and self._seconds_since_settled() >= _MIN_SETTLED_SECONDS
        )

    def _load(self, pool: CapacityPool, job: Job) -> Load | None:
        """Returns the load that makes a job too late, or None if it isn't."""
        now = trio.current_time()
        rate = self._learned.completion_rate(pool, now)
        if rate is None:
            return None
        durations = self._learned.durations
        step = job.occurrences[0].steps[0]
        load = Load(
            self._backlog.waiting_work(pool),
            max(self._backlog.recent_capacity(pool, now), rate),
            self._backlog.total_work(step),
            durations.critical_path(step.occurrence),
            objective(step, durations),
        )
        # Cheap first check: most jobs are in time even if all waiting work is
        # started before them.
        if not is_too_late(load):
            return None
        rank = urgency(step, durations, job.accepted_at)
        order = self._backlog.order(rank, step)
        load = load._replace(ahead=self._backlog.work_ahead(pool, order))
        return load if is_too_late(load) else None


def _has_objective(queue: Queue, spec: JobSpec) -> bool:
    """Returns whether a job runs once and has a time objective."""
    if spec.repeats or any(step.lasting for step in spec.steps):
        return False
    if queue.asks_adviser:
        # The workers that may run it are unknown until the adviser is asked.
        return False
    return queue.slack > 0 or queue.target_latency > 0
