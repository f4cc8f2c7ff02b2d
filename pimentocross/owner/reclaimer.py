"""Has lasting tasks give way while short work has room nowhere.

Load pattern: tasks that last want more room than there is, after workers were
lost or simply as more and more of them come. Each piece of room that a short
task leaves would be taken by one that lasts and kept for good, until short work
has none. Up to a share of the processors short work therefore comes first; what
gave way to it is away for a while only, and others give way in turn.
"""

from collections.abc import Sequence
from typing import Final
from weakref import WeakKeyDictionary

from pimentocross.observe.decisions import note
from pimentocross.owner.orders import Orders
from pimentocross.owner.room import RoomKeeper
from pimentocross.owner.worker import Worker
from pimentocross.placement.moves import MoveCandidate, move_candidate
from pimentocross.placement.reclaim import choose_evictions, task_limit
from pimentocross.placement.soundness import may_evict_task
from pimentocross.work.state import Step, Task

# Short work waits this long before anything gives way: most waits are for a
# run that is about to end.
_PATIENCE: Final = 0.2
# A stop takes 0.4 s at most, and its end is listed at once: before that it
# isn't known whether the room is enough.
_INTERVAL: Final = 0.6
# A step gives one task for each so many that it has.
_WIDTH_A_TASK: Final = 8
# What has just come stays: a task that is moved about does no work.
_SETTLED_AFTER: Final = 3.0
# A task that gave way isn't started again within this: the short work for
# which it went has to come first.
_AWAY_LEAST: Final = 1.0
# After this it comes first again, though short work still waits: users count a
# task that lasts as lost if it is away for 6 s while there is room for it.
_AWAY_MOST: Final = 2.5


class Reclaimer:
    """Chooses what gives way, and keeps it away for a while."""

    def __init__(self) -> None:
        """Has taken nothing yet."""
        self._missed_since: WeakKeyDictionary[Step, float] = WeakKeyDictionary()
        self._gave_way_at: WeakKeyDictionary[Step, float] = WeakKeyDictionary()
        # Tasks that gave way, and the number of the run that was stopped.
        self._stopped_runs: WeakKeyDictionary[Task, int] = WeakKeyDictionary()
        # Whether short work waits that has less than its share.
        self._short_lacks = False
        # The last run of each task that waits, and since when, monotonic.
        self._away_since: WeakKeyDictionary[Task, tuple[int, float]] = (
            WeakKeyDictionary()
        )
        self._passed_at = float("-inf")

    def has_to_wait(self, step: Step, now: float) -> bool:
        """True for a step of which a task gave way a moment ago."""
        return step in self._gave_way_at and not self._is_due(step, now)

    def comes_after_short(self, step: Step, now: float) -> bool:
        """True for lasting steps while short work has less than its share.

        Else they would take the room that was made, and all that short tasks
        leave. What is being moved has its place already, and what gave way long
        ago comes first.
        """
        if not step.spec.lasting or not self._short_lacks:
            return False
        if any(task.bound_for is not None for task in step.waiting()):
            return False
        return step not in self._gave_way_at or not self._is_due(step, now)

    def may_give(self, step: Step) -> bool:
        """True if a step keeps nearly all of its worth without one task more.

        If narrow steps gave more, some might never be whole.
        """
        most = max(1, step.spec.width // _WIDTH_A_TASK)
        return step.waiting_count < most and may_evict_task(step)

    def _is_due(self, step: Step, now: float) -> bool:
        """True once a task of a lasting step has been away for long."""
        due = False
        for task in step.waiting():
            run, since = self._away_since.get(task, (-1, now))
            if run != task.last_run:
                since = now
            self._away_since[task] = (task.last_run, since)
            due = due or now - since >= _AWAY_MOST
        return due

    def pass_over(
        self,
        missed: Sequence[Step],
        workers: Sequence[Worker],
        orders: Orders,
        room: RoomKeeper,
        now: float,
    ) -> None:
        """Makes room for short steps.

        Args:
            missed: Those that can still be in time and found no room, the most
                urgent first.
            workers: Those in use.
            orders: Has tasks stopped.
            room: Knows what short work has and may have.
            now: Present time.
        """
        self._short_lacks = bool(missed) and room.taken < room.share
        for step in list(self._gave_way_at):
            whole = not step.waiting_count and now - self._gave_way_at[step] > 1
            if not missed or whole:
                del self._gave_way_at[step]
        for step in list(self._missed_since):
            if step not in missed:
                del self._missed_since[step]
        waiting: list[Task] = []
        for step in missed:
            since = self._missed_since.setdefault(step, now)
            if now - since >= _PATIENCE:
                waiting.extend(t for t in step.waiting() if t.not_before <= now)
        if waiting and now - self._passed_at >= _INTERVAL:
            self._passed_at = now
            self._evict(waiting, workers, orders, room.share, now)

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
            for task in worker.settled(now, _SETTLED_AFTER)
        ]
        # Each step is looked at once, not for each of its tasks.
        may_give = {
            step
            for step in {task.step for task, _ in settled}
            if self.may_give(step)
        }
        candidates = [
            move_candidate(task, worker)
            for task, worker in settled
            if task.step in may_give
        ]
        most = share - self._away()
        wanted = waiting[: task_limit(len(workers))]
        for candidate in choose_evictions(wanted, candidates, most):
            self._give_way(candidate, workers, orders, now)

    def _away(self) -> int:
        """Returns what the tasks reserve that gave way and aren't back."""
        back = [
            task
            for task, run in self._stopped_runs.items()
            if task.done or task.step.job.ended or task.last_run != run
        ]
        for task in back:
            del self._stopped_runs[task]
        return sum(task.step.spec.size.cpu for task in self._stopped_runs)

    def _give_way(
        self,
        candidate: MoveCandidate,
        workers: Sequence[Worker],
        orders: Orders,
        now: float,
    ) -> None:
        task = candidate.task
        worker = next(w for w in workers if w is candidate.host)
        run = next(r for t, r in worker.running() if t is task)
        self._gave_way_at[task.step] = now
        self._stopped_runs[task] = run.number
        task.not_before = now + _AWAY_LEAST
        note("gives_way", task=task.name, worker=worker.life.id)
        orders.stop(worker, task, run, "gives way to short work")
