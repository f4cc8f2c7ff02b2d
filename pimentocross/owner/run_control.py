"""Controls running tasks: stops unwanted runs and paces best-effort tasks.

A best-effort task (`fills`) uses capacity which the serving tasks of its worker
leave over. It is slowed down or moved if it disturbs them.
"""

from typing import Final, NamedTuple
from weakref import WeakKeyDictionary

import trio

from pimentocross.owner import const
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Orders
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import AT_WORK_PERCENT, Worker
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

# Seconds at a very low pace after which a best-effort task is moved: about the
# cost of its stop and its new start, of which the stop takes at most 0.4 s.
_STUCK_TIMEOUT: Final = 0.8
# A run whose progress is below this percentage loses little by a move.
_CHEAP_MOVE_PERCENT: Final = 25
# Seconds that a stop and a new start cost a task.
_MOVE_COST: Final = 0.8


class _Check(NamedTuple):
    """Monotonic time of the last check of a worker, and its version then."""

    at: float
    version: int


class RunController:
    """Checks the runs of all workers in each scheduling pass.

    Each listing of a worker requests a pass, and checking all runs of 246
    workers cost 12 ms per pass. A worker is therefore checked again only if it
    has changed, or after the interval at which an idle cell makes passes.
    Effects of time alone, and what other workers show about pairs of images,
    are noticed after that interval.
    """

    def __init__(self, roster: Roster, learned: LearnedEstimates) -> None:
        """Initializes the controller with the workers and the statistics."""
        self._roster = roster
        self._learned = learned
        self._last_checks: WeakKeyDictionary[Worker, _Check] = (
            WeakKeyDictionary()
        )

    def pass_over(self, orders: Orders) -> None:
        """Orders the stops and pace changes that are due now."""
        now = trio.current_time()
        workers = list(self._roster.workers())
        due = [worker for worker in workers if self._is_due(worker, now)]
        for worker in due:
            self._last_checks[worker] = _Check(now, worker.version)
        for worker in workers:
            self._stop_unneeded(worker, orders)
        for worker in due:
            self._stop_unwanted(worker, orders, now)
        for worker in due:
            self._pace_best_effort(worker, orders, now)

    def _is_due(self, worker: Worker, now: float) -> bool:
        """Returns whether the runs of a worker have to be checked."""
        check = self._last_checks.get(worker)
        return (
            check is None
            or check.version != worker.version
            or now - check.at >= const.PASS_INTERVAL
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
                reason = self._stop_reason(worker, task, run, now)
                if reason:
                    orders.stop(worker, task, run, reason)

    def _stop_reason(
        self, worker: Worker, task: Task, run: Run, now: float
    ) -> str:
        if worker.life.draining and self._should_leave_draining(
            worker, task, run, now
        ):
            return "the worker leaves"
        if (
            worker.unsound_until > now
            and not run.may_start_late(now)
            and self._should_move(worker, task, run)
        ):
            task.failed_on.add(worker.number)
            return "the worker is unsound"
        if worker.reachable and is_stalled(task, run, worker.last_reply_at):
            self._learned.record_failure(worker, task)
            task.failed_on.add(worker.number)
            return "no progress"
        return ""

    def _should_move(self, worker: Worker, task: Task, run: Run) -> bool:
        """Returns whether a run on an unsound worker should be moved."""
        spec = task.step.spec
        if spec.lasting:
            return run.percent >= AT_WORK_PERCENT and may_evict_task(task.step)
        for measured in self._learned.progress(worker):
            if measured.run is run:
                progress = measured.progress
                kept = progress.percent / 100 if spec.saves else 0.0
                restart_cost = progress.expected * (1 - kept) + _MOVE_COST
                return progress.left > restart_cost
        return False

    def _should_leave_draining(
        self, worker: Worker, task: Task, run: Run, now: float
    ) -> bool:
        if task.step.spec.lasting:
            return True
        if not run.began_at or run.percent <= 0:
            return False
        elapsed = run.percent_at - run.state_at
        left = elapsed * (100 - run.percent) / run.percent
        return left > worker.drain_left(now)

    def _pace_best_effort(
        self, worker: Worker, orders: Orders, now: float
    ) -> None:
        is_settled = now - worker.paced_at >= SETTLING_SECONDS
        if worker.best_effort_cpu and (
            is_settled or worker.seconds_over_target(now) >= STOP_AFTER_SECONDS
        ):
            self._pace_best_effort_on(worker, orders, now)

    def _must_leave(self, worker: Worker, task: Task, run: Run) -> bool:
        """Returns whether a best-effort run must be stopped at once.

        True if it certainly disturbs a serving task on the worker and is cheap
        to move. This happens when a serving task was placed beside it: latency
        readings would show the disturbance only after half a second or more.
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
        cheap_to_move = spec.saves or run.percent < _CHEAP_MOVE_PERCENT
        return harm > MAX_HARM and cheap_to_move

    def _is_misplaced(self, worker: Worker, task: Task, run: Run) -> bool:
        """Returns whether a slow best-effort run should be moved.

        True if it is cheap to move, and either disturbs a serving image or was
        already slowed down without effect.
        """
        spec = task.step.spec
        if not spec.saves and run.percent >= _CHEAP_MOVE_PERCENT:
            return False
        if run.pace <= MOVE_MAX_PACE:
            # Slowing it down before has not improved the situation.
            return True
        return any(
            self._learned.disturbance.disturbs(image, spec.image)
            for image in worker.serving
        )

    def _pace_best_effort_on(
        self, worker: Worker, orders: Orders, now: float
    ) -> None:
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
        best_effort_runs = [
            BestEffortRun(
                task.step.spec.image,
                task.step.spec.size.cpu / capacity,
                run.pace,
            )
            for task, run in runs
        ]
        paces = next_paces(
            worker.readings(now), best_effort_runs, self._learned.disturbance
        )
        for (task, run), pace in zip(runs, paces, strict=True):
            stuck = (
                pace <= MOVE_MAX_PACE and now - run.paced_at > _STUCK_TIMEOUT
            )
            if pace == run.pace and not (stuck and run.paced_at):
                continue
            worker.paced_at = run.paced_at = now
            if pace <= MOVE_MAX_PACE and self._is_misplaced(worker, task, run):
                orders.stop(worker, task, run, "disturbs what serves")
            else:
                orders.pace(worker, task, run, pace)
