"""Isolates tasks under which workers have crashed."""

from collections.abc import Sequence
import itertools
from typing import Final
from weakref import WeakKeyDictionary

from pimentocross.owner.worker import Worker
from pimentocross.placement.host import allows
from pimentocross.work.state import Task

# A task is isolated on one of so many workers that would lose the least.
_CHOSEN_AMONG: Final = 3
# So many workers with room are looked at for a task: after a rack's outage many
# tasks wait to be isolated in one pass.
_LOOKED_AT: Final = 32


class Isolation:
    """Finds workers whose crash would be the doing of one task."""

    def __init__(self) -> None:
        """Has isolated nothing yet."""
        self._wanted_since: WeakKeyDictionary[Task, float] = WeakKeyDictionary()

    def find(self, task: Task, workers: Sequence[Worker]) -> list[Worker]:
        """Returns workers on which a task may be isolated, the best first.

        Nothing of another job may have only just started there.
        """
        step = task.step
        able = [worker for worker in workers if allows(worker, step)]
        able.sort(key=lambda worker: len(worker.runs))
        proven = (w for w in able[:_LOOKED_AT] if w.is_proven(step.job))
        return list(itertools.islice(proven, _CHOSEN_AMONG))

    def is_due(self, task: Task, now: float) -> bool:
        """True once a task has waited to be isolated for too long."""
        lasting = task.step.spec.lasting
        patience = task.crash_history.patience(lasting=lasting)
        return now - self._wanted_since.setdefault(task, now) >= patience

    def note_placed(self, task: Task) -> None:
        """Notes that a task waits no longer."""
        self._wanted_since.pop(task, None)
