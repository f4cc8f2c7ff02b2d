"""Cares for what runs: stops what should not, paces what disturbs."""

from typing import Final, NamedTuple
from weakref import WeakKeyDictionary

import trio

from pimentocross.owner import const
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Orders
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import AT_WORK, Worker
from pimentocross.placement.hosts import MAX_HARM
from pimentocross.placement.pacing import (
    MOVE_MAX_PACE,
    SETTLING_SECONDS,
    STOP_AFTER_SECONDS,
    BestEffortRun,
    next_paces,
)
from pimentocross.placement.soundness import may_evict_task
from pimentocross.placement.stalls import is_stalled
from pimentocross.work.state import Run, RunState, Task

# A filler that was slowed to a crawl for this long goes elsewhere: about what
# its stop and its start cost, of which no more than 0.4 s are the stop.
_STUCK_AFTER: Final = 0.8
# A run that has done less than this, in percent, loses little by a move.
_LITTLE_DONE: Final = 25
# What a stop and a new start cost a task, in seconds.
_MOVE_COST: Final = 0.8


class _Look(NamedTuple):
    """When a worker was looked at, monotonic, and its version then."""

    at: float
    version: int


class Care:
    """Passes over the runs of all workers.

    Each listing of a worker asks for a pass: all runs of 246 workers cost 12 ms
    of each. A worker is looked at again once something on it has changed, else
    as often as a cell passes in which nothing does; what time alone brings
    about, and what other workers teach of pairs, waits that long.
    """

    def __init__(self, roster: Roster, learned: LearnedEstimates) -> None:
        """Takes the workers and what was learned."""
        self._roster = roster
        self._learned = learned
        self._looks: WeakKeyDictionary[Worker, _Look] = WeakKeyDictionary()

    def pass_over(self, orders: Orders) -> None:
        """Has runs stopped and paced as they should be now."""
        now = trio.current_time()
        workers = list(self._roster.workers())
        due = [worker for worker in workers if self._is_due(worker, now)]
        for worker in due:
            self._looks[worker] = _Look(now, worker.version)
        for worker in workers:
            self._stop_unneeded(worker, orders)
        for worker in due:
            self._stop_unwanted(worker, orders, now)
        for worker in due:
            self._pace_fillers(worker, orders, now)

    def _is_due(self, worker: Worker, now: float) -> bool:
        """True if something may have to be changed on a worker."""
        look = self._looks.get(worker)
        return (
            look is None
            or look.version != worker.version
            or now - look.at >= const.PASS_INTERVAL
            or worker.life.draining
            or worker.unsound_until > now
        )

    def _stop_unneeded(self, worker: Worker, orders: Orders) -> None:
        unneeded = [
            (task, run)
            for (task, _), run in worker.runs.items()
            if task.done or task.step.job.ended
        ]
        for task, run in unneeded:
            if run.state is not RunState.STOPPING:
                orders.stop(worker, task, run, "not needed")

    def _stop_unwanted(
        self, worker: Worker, orders: Orders, now: float
    ) -> None:
        for (task, _), run in list(worker.runs.items()):
            if run.state is RunState.RUNNING:
                reason = self._why_stop(worker, task, run, now)
                if reason:
                    orders.stop(worker, task, run, reason)

    def _why_stop(
        self, worker: Worker, task: Task, run: Run, now: float
    ) -> str:
        if worker.life.draining and self._should_leave(worker, task, run, now):
            return "the worker leaves"
        if (
            worker.unsound_until > now
            and not run.may_come_late(now)
            and self._is_better_off(worker, task, run)
        ):
            task.failed_on.add(worker.number)
            return "the worker is unsound"
        if worker.reached and is_stalled(task, run, worker.heard_at):
            self._learned.record_failure(worker, task)
            task.failed_on.add(worker.number)
            return "no progress"
        return ""

    def _is_better_off(self, worker: Worker, task: Task, run: Run) -> bool:
        """True if a run on an unsound worker should go elsewhere."""
        spec = task.step.spec
        if spec.lasting:
            return run.percent >= AT_WORK and may_evict_task(task.step)
        for measured in self._learned.progress(worker):
            if measured.run is run:
                progress = measured.progress
                kept = progress.percent / 100 if spec.saves else 0.0
                again = progress.expected * (1 - kept) + _MOVE_COST
                return progress.left > again
        return False

    def _should_leave(
        self, worker: Worker, task: Task, run: Run, now: float
    ) -> bool:
        if task.step.spec.lasting:
            return True
        if not run.began_at or run.percent <= 0:
            return False
        elapsed = run.percent_at - run.state_at
        left = elapsed * (100 - run.percent) / run.percent
        return left > worker.drain_left(now)

    def _pace_fillers(self, worker: Worker, orders: Orders, now: float) -> None:
        settled = now - worker.paced_at >= SETTLING_SECONDS
        if worker.filled and (
            settled or worker.over_for(now) >= STOP_AFTER_SECONDS
        ):
            self._pace_on(worker, orders, now)

    def _must_leave(self, worker: Worker, task: Task, run: Run) -> bool:
        """True if what serves has come to where a filler surely disturbs it.

        Its figures would show that only after half a second and more.
        """
        spec = task.step.spec
        share = spec.size.cpu / max(worker.life.capacity.cpu, 1)
        disturbance = self._learned.disturbance
        harm = max(
            (
                disturbance.coefficient(image, spec.image) * share
                for image in worker.serving
                if disturbance.disturbs(image, spec.image)
                and not disturbance.is_uncertain(image, spec.image)
            ),
            default=0.0,
        )
        little_lost = spec.saves or run.percent < _LITTLE_DONE
        return harm > MAX_HARM and little_lost

    def _is_misplaced(self, worker: Worker, task: Task, run: Run) -> bool:
        """True if a filler surely disturbs, and loses little by a move."""
        spec = task.step.spec
        if not spec.saves and run.percent >= _LITTLE_DONE:
            return False
        if run.pace <= MOVE_MAX_PACE:
            # It was slowed before, and that has not become better.
            return True
        return any(
            self._learned.disturbance.disturbs(image, spec.image)
            for image in worker.serving
        )

    def _pace_on(self, worker: Worker, orders: Orders, now: float) -> None:
        capacity = max(worker.life.capacity.cpu, 1)
        runs = [
            (task, run)
            for task, run in worker.running()
            if task.step.spec.fills
        ]
        for task, run in list(runs):
            if self._must_leave(worker, task, run):
                orders.stop(worker, task, run, "would disturb what serves")
                runs.remove((task, run))
        fillers = [
            BestEffortRun(
                task.step.spec.image,
                task.step.spec.size.cpu / capacity,
                run.pace,
            )
            for task, run in runs
        ]
        paces = next_paces(
            worker.readings(now), fillers, self._learned.disturbance
        )
        for (task, run), pace in zip(runs, paces, strict=True):
            stuck = pace <= MOVE_MAX_PACE and now - run.paced_at > _STUCK_AFTER
            if pace == run.pace and not (stuck and run.paced_at):
                continue
            worker.paced_at = run.paced_at = now
            if pace <= MOVE_MAX_PACE and self._is_misplaced(worker, task, run):
                orders.stop(worker, task, run, "disturbs what serves")
            else:
                orders.pace(worker, task, run, pace)
