"""Evicts lasting tasks while short tasks fit on no worker.

Lasting tasks run until they are stopped; short tasks are urgent and end soon.

Load pattern: lasting tasks ask for more capacity than there is, because workers
were lost or more and more such tasks are submitted. Each piece of capacity that
a short task frees would be taken by a lasting one for good, until short tasks
have none. Short tasks therefore have priority up to a share of the processors.
An evicted task stays away only for a while, and then others are evicted.
"""

from collections.abc import Sequence
from typing import Final
from weakref import WeakKeyDictionary

from pimentocross.observe.decisions import note
from pimentocross.owner.capacity_reserve import CapacityReserve
from pimentocross.owner.orders import Orders
from pimentocross.owner.worker import Worker
from pimentocross.placement.moves import MoveCandidate, move_candidate
from pimentocross.placement.reclaim import choose_evictions, task_limit
from pimentocross.placement.soundness import may_evict_task
from pimentocross.work.state import Step, Task

# Seconds that a short task waits before anything is evicted for it: most waits
# end sooner, with a run that is about to end.
_EVICTION_DELAY: Final = 0.2
# Seconds between evictions. A stop takes at most 0.4 s and its end is listed at
# once; only then is it known whether the freed capacity suffices.
_EVICTION_INTERVAL: Final = 0.6
# A step may have one task away per this many of its tasks.
_WIDTH_PER_EVICTION: Final = 8
# Seconds after its start in which a task isn't evicted: a task that is moved
# too often does no work.
_SETTLE_TIME: Final = 3.0
# Seconds before an evicted task may start again, so that the short task for
# which it was evicted starts first.
_MIN_AWAY: Final = 1.0
# Seconds after which an evicted task has priority again, even while short tasks
# wait: users count a lasting task as lost if it is away for 6 s while there is
# capacity for it.
_MAX_AWAY: Final = 2.5


class Reclaimer:
    """Chooses lasting tasks to evict and delays their restart."""

    def __init__(self) -> None:
        """Initializes the reclaimer without evicted tasks."""
        self._unplaced_since: WeakKeyDictionary[Step, float] = (
            WeakKeyDictionary()
        )
        self._evicted_at: WeakKeyDictionary[Step, float] = WeakKeyDictionary()
        # Evicted tasks, with the number of the run that was stopped.
        self._stopped_runs: WeakKeyDictionary[Task, int] = WeakKeyDictionary()
        # Whether short tasks wait and have less than their share of the CPU.
        self._short_below_share = False
        # The last run of each waiting task, and since when it waits, monotonic.
        self._away_since: WeakKeyDictionary[Task, tuple[int, float]] = (
            WeakKeyDictionary()
        )
        self._last_pass_at = float("-inf")

    def has_to_wait(self, step: Step, now: float) -> bool:
        """Returns whether a task of a step was evicted a short time ago."""
        return step in self._evicted_at and not self._is_restart_due(step, now)

    def comes_after_short(self, step: Step, now: float) -> bool:
        """Returns whether a lasting step ranks behind short steps.

        It does while short tasks have less than their share; otherwise lasting
        tasks would take the capacity freed by evictions and all that short
        tasks free. Exceptions are tasks that are being moved, as they have a
        destination already, and tasks that have been away for long.
        """
        if not step.spec.lasting or not self._short_below_share:
            return False
        if any(task.destination is not None for task in step.waiting()):
            return False
        return step not in self._evicted_at or not self._is_restart_due(
            step, now
        )

    def may_evict_from(self, step: Step) -> bool:
        """Returns whether one more task of a step may be evicted.

        At most one task in `_WIDTH_PER_EVICTION`, and at least one, is away at
        a time: with more, some narrow steps might never run all their tasks.
        """
        max_away = max(1, step.spec.width // _WIDTH_PER_EVICTION)
        return step.waiting_count < max_away and may_evict_task(step)

    def _is_restart_due(self, step: Step, now: float) -> bool:
        """Returns whether a task of a step has waited for `_MAX_AWAY`."""
        due = False
        for task in step.waiting():
            run, since = self._away_since.get(task, (-1, now))
            if run != task.last_run:
                since = now
            self._away_since[task] = (task.last_run, since)
            due = due or now - since >= _MAX_AWAY
        return due

    def pass_over(
        self,
        unplaced: Sequence[Step],
        workers: Sequence[Worker],
        orders: Orders,
        reserve: CapacityReserve,
        now: float,
    ) -> None:
        """Evicts lasting tasks so that short steps can be placed.

        Args:
            unplaced: Short steps that could not be placed and can still meet
                their objective, the most urgent first.
            workers: The healthy workers.
            orders: Sends the stop orders.
            reserve: Holds the CPU that short tasks have and may have.
            now: Present time, monotonic.
        """
        self._short_below_share = (
            bool(unplaced) and reserve.short_cpu < reserve.share
        )
        for step in list(self._evicted_at):
            complete = (
                not step.waiting_count and now - self._evicted_at[step] > 1
            )
            if not unplaced or complete:
                del self._evicted_at[step]
        for step in list(self._unplaced_since):
            if step not in unplaced:
                del self._unplaced_since[step]
        waiting: list[Task] = []
        for step in unplaced:
            since = self._unplaced_since.setdefault(step, now)
            if now - since >= _EVICTION_DELAY:
                waiting.extend(t for t in step.waiting() if t.not_before <= now)
        if waiting and now - self._last_pass_at >= _EVICTION_INTERVAL:
            self._last_pass_at = now
            self._evict(waiting, workers, orders, reserve.share, now)

    def _evict(
        self,
        waiting: Sequence[Task],
        workers: Sequence[Worker],
        orders: Orders,
        share: float,
        now: float,
    ) -> None:
        settled = [
            (task, worker)
            for worker in workers
            for task in worker.settled(now, _SETTLE_TIME)
        ]
        # Each step is checked once instead of once per task.
        evictable_steps = {
            step
            for step in {task.step for task, _ in settled}
            if self.may_evict_from(step)
        }
        candidates = [
            move_candidate(task, worker)
            for task, worker in settled
            if task.step in evictable_steps
        ]
        max_cpu = share - self._away_cpu()
        wanted = waiting[: task_limit(len(workers))]
        for candidate in choose_evictions(wanted, candidates, max_cpu):
            self._evict_task(candidate, workers, orders, now)

    def _away_cpu(self) -> int:
        """Returns the CPU size of the evicted tasks that haven't restarted."""
        returned = [
            task
            for task, run in self._stopped_runs.items()
            if task.done or task.step.job.ended or task.last_run != run
        ]
        for task in returned:
            del self._stopped_runs[task]
        return sum(task.step.spec.size.cpu for task in self._stopped_runs)

    def _evict_task(
        self,
        candidate: MoveCandidate,
        workers: Sequence[Worker],
        orders: Orders,
        now: float,
    ) -> None:
        task = candidate.task
        worker = next(w for w in workers if w is candidate.host)
        run = next(r for t, r in worker.running() if t is task)
        self._evicted_at[task.step] = now
        self._stopped_runs[task] = run.number
        task.not_before = now + _MIN_AWAY
        note("gives_way", task=task.name, worker=worker.life.id)
        orders.stop(worker, task, run, "gives way to short work")
