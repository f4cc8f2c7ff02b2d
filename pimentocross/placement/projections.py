"""How long tasks of a step will take, as their progress tells on each worker.

Load pattern: all tasks of a step take several times as long as usual. None has
ended for seconds, and the workers that run them look slow.
"""

import statistics
from weakref import WeakKeyDictionary

from pimentocross.work.state import Step

# Other workers that have to agree: one may itself be slow.
_WORKERS_LEAST = 2
# More tell nothing new.
_WORKERS_MOST = 8


class Projections:
    """What progress tells of steps of which no task has ended."""

    def __init__(self) -> None:
        """Knows nothing yet."""
        self._steps: WeakKeyDictionary[Step, dict[int, float]] = (
            WeakKeyDictionary()
        )

    def note(self, step: Step, worker: int, seconds: float) -> None:
        """Notes how long a task will take on a worker in all."""
        known = self._steps.setdefault(step, {})
        if worker in known or len(known) < _WORKERS_MOST:
            known[worker] = seconds

    def elsewhere(self, step: Step, worker: int) -> float | None:
        """Returns how long tasks take on other workers, None if unknown."""
        others = [
            seconds
            for number, seconds in self._steps.get(step, {}).items()
            if number != worker
        ]
        if len(others) < _WORKERS_LEAST:
            return None
        return statistics.median(others)
