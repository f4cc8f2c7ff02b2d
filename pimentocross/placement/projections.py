"""Projects durations of a step's tasks from their progress on each worker.

Load pattern: all tasks of a step take several times as long as usual. For
seconds none of them has ended, so that their workers would be taken for slow.
"""

import statistics
from weakref import WeakKeyDictionary

from pimentocross.work.state import Step

# Number of other workers needed for a projection: a single one may be slow.
_MIN_WORKERS = 2
# Workers remembered per step; more would not improve the median.
_MAX_WORKERS = 8


class Projections:
    """Projected durations by worker, for steps without an ended task."""

    def __init__(self) -> None:
        """Initializes the projections without any step."""
        self._steps: WeakKeyDictionary[Step, dict[int, float]] = (
            WeakKeyDictionary()
        )

    def note(self, step: Step, worker: int, seconds: float) -> None:
        """Records the projected total duration of a task on a worker."""
        known = self._steps.setdefault(step, {})
        if worker in known or len(known) < _MAX_WORKERS:
            known[worker] = seconds

    def elsewhere(self, step: Step, worker: int) -> float | None:
        """Returns the median duration on other workers, or None if unknown."""
        others = [
            seconds
            for number, seconds in self._steps.get(step, {}).items()
            if number != worker
        ]
        if len(others) < _MIN_WORKERS:
            return None
        return statistics.median(others)
