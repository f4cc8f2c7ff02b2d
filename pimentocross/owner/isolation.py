"""Isolates tasks that may have crashed the workers they ran on."""

from collections.abc import Sequence
import itertools
from typing import Final
from weakref import WeakKeyDictionary

from pimentocross.owner.worker import Worker
from pimentocross.placement.host import allows
from pimentocross.work.state import Task

# A task is isolated on one of this many workers with the fewest runs, as these
# lose the least if it crashes them.
_MAX_CANDIDATES: Final = 3
# Number of workers with room that are checked for one task. After the outage of
# a rack many tasks wait to be isolated in one pass.
_MAX_CHECKED: Final = 32


class Isolation:
    """Finds workers whose crash could be attributed to a single task."""

    def __init__(self) -> None:
        """Initializes the search without any waiting tasks."""
        self._waiting_since: WeakKeyDictionary[Task, float] = (
            WeakKeyDictionary()
        )

    def find(
        self, task: Task, workers: Sequence[Worker], now: float
    ) -> list[Worker]:
        """Returns workers on which a task may be isolated, the best first.

        A worker on which a run of another job has only just started is left
        out, as its crash could have two causes.

        Args:
            task: The task.
            workers: The workers that may be used.
            now: Present time, monotonic.
        """
        step = task.step
        allowed = [worker for worker in workers if allows(worker, step)]
        allowed.sort(key=lambda worker: len(worker.runs))
        proven = (
            worker
            for worker in allowed[:_MAX_CHECKED]
            if worker.is_proven(step.job) and worker.may_isolate(now)
        )
        return list(itertools.islice(proven, _MAX_CANDIDATES))

    def has_waited_too_long(self, task: Task, now: float) -> bool:
        """Returns whether a task has waited too long to be isolated."""
        lasting = task.step.spec.lasting
        max_isolation_wait = task.crash_history.max_isolation_wait(
            lasting=lasting
        )
        return (
            now - self._waiting_since.setdefault(task, now)
            >= max_isolation_wait
        )

    def note_placed(self, task: Task) -> None:
        """Ends the wait of a task that was placed."""
        self._waiting_since.pop(task, None)
