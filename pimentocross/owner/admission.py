"""Refuses jobs that surely can't be done while they are of use.

Only for jobs that run once and whose queue has an objective, and only by an
owner that has seen for a while what its workers carry.
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

# A new owner refuses nobody for so many seconds after it has heard its workers:
# what it took over all waits at once, and most of it is gone by then.
_SETTLED_FOR: Final = 5.0
# Seconds after which what was seen of the backlog says nothing any more.
_FRESH: Final = 1.5


class Admission:
    """Asked about each job that isn't known yet."""

    def __init__(
        self,
        backlog: Backlog,
        learned: LearnedEstimates,
        settled_for: Callable[[], float],
        *,
        refuses: bool = True,
    ) -> None:
        """Takes what waits, what was learned, and since when.

        Args:
            backlog: What waits for room.
            learned: What was learned of tasks.
            settled_for: Returns for how many seconds the owner has known what
                runs on the workers.
            refuses: Whether any job is refused.
        """
        self._refuses = refuses
        self._backlog = backlog
        self._learned = learned
        self._settled_for = settled_for

    def refuse_for(self, job_id: str, queue: Queue, spec: JobSpec) -> float:
        """Returns after how many seconds to come back, 0 for a job to take.

        A refusal is noted. Nothing of the job is kept.
        """
        if not self._refuses or not self._is_sure():
            return 0.0
        if not _has_objective(queue, spec):
            return 0.0
        account = CapacityPool(queue.service, spec.steps[0].fills)
        if not self._backlog.work(account):
            return 0.0
        load = self._load(account, Job(job_id, queue, spec, wall.now()))
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

    def _is_sure(self) -> bool:
        age = trio.current_time() - self._backlog.refreshed_at
        return age <= _FRESH and self._settled_for() >= _SETTLED_FOR

    def _load(self, account: CapacityPool, job: Job) -> Load | None:
        """Returns what a job would wait for in vain, None if it may not."""
        now = trio.current_time()
        rate = self._learned.finished_cores(account, now)
        if rate is None:
            return None
        durations = self._learned.durations
        step = job.occurrences[0].steps[0]
        load = Load(
            self._backlog.work(account),
            max(self._backlog.recent_room(account, now), rate),
            self._backlog.whole_work(step),
            durations.critical_path(step.occurrence),
            objective(step, durations),
        )
        # Most jobs aren't in question even if all that waits went first.
        if not is_too_late(load):
            return None
        rank = urgency(step, durations, job.accepted_at)
        order = self._backlog.order(rank, step)
        load = load._replace(ahead=self._backlog.work_before(account, order))
        return load if is_too_late(load) else None


def _has_objective(queue: Queue, spec: JobSpec) -> bool:
    """True for jobs that run once and are worth less and less."""
    if spec.repeats or any(step.lasting for step in spec.steps):
        return False
    if queue.asks_adviser:
        # Who may run it isn't known before it is asked for.
        return False
    return queue.slack > 0 or queue.target_latency > 0
