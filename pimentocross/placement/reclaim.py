"""Chooses long-running tasks to evict for short ones.

Load pattern: long-running tasks (`lasting`) hold nearly all room, and the free
rest is split into pieces too small for short urgent tasks. A long-running task
that is stopped for three seconds loses only these three seconds, while a short
job that waits as long has missed its objective.

At most one task of a step is evicted at a time, so that each step keeps nearly
all of its output however many short tasks arrive. In a large cell one task of
each of many steps is evicted.
"""

from collections.abc import Iterator, Sequence
import itertools
from typing import Final

from pimentocross.placement.host import may_run
from pimentocross.placement.moves import MoveCandidate
from pimentocross.work.spec import Size
from pimentocross.work.state import Step, Task

# Short tasks for which room is made at once in a small cell; the remaining ones
# wait for later passes.
SMALL_CELL_TASK_LIMIT: Final = 12
# The same limit per worker in a large cell, the ratio of a small cell.
_TASKS_PER_WORKER: Final = 0.5


def task_limit(workers: int) -> int:
    """Returns the number of short tasks for which room is made at once.

    Args:
        workers: Number of workers in use.
    """
    return max(SMALL_CELL_TASK_LIMIT, int(workers * _TASKS_PER_WORKER))


def choose_evictions(
    waiting: Sequence[Task], candidates: Sequence[MoveCandidate], max_cpu: float
) -> list[MoveCandidate]:
    """Returns the long-running tasks to stop, at most one of each step.

    Args:
        waiting: Short tasks without room on any worker, grouped by step, the
            most urgent first.
        candidates: Long-running tasks that may be stopped.
        max_cpu: Processor time of the tasks that may be stopped, in thousandths
            of a core.
    """
    evictions = _EvictionPlan(candidates, max_cpu)
    for step, tasks in itertools.groupby(waiting, key=_step_of):
        evictions.make_room(step, sum(1 for _ in tasks))
    return evictions.chosen


def _step_of(task: Task) -> Step:
    return task.step


class _EvictionPlan:
    """The tasks chosen for eviction and the room that they leave.

    Attributes:
        chosen: Long-running tasks to stop.
    """

    def __init__(
        self, candidates: Sequence[MoveCandidate], max_cpu: float
    ) -> None:
        """Initializes the plan with candidates and the CPU limit."""
        self.chosen: list[MoveCandidate] = []
        self._evictable_cpu = max_cpu
        # The smallest first, so that as little as possible is stopped.
        self._candidates = sorted(
            candidates, key=lambda candidate: candidate.size.cpu
        )
        self._free: dict[int, Size] = {}
        self._evicted_steps: set[Step] = set()

    def make_room(self, step: Step, count: int) -> None:
        """Chooses evictions for a number of tasks of a short step."""
        size = step.spec.committed
        fitting = self._fitting(step)
        for _ in range(count):
            if self._take_freed(step):
                continue
            candidate = next(fitting, None)
            if candidate is None or candidate.size.cpu > self._evictable_cpu:
                return
            self._evictable_cpu -= candidate.size.cpu
            self._evicted_steps.add(candidate.task.step)
            self.chosen.append(candidate)
            self._free[candidate.host.number] = self._free_after_eviction(
                candidate
            ).minus(size)

    def _take_freed(self, step: Step) -> bool:
        """Reserves capacity that one chosen eviction frees for a step's task.

        Returns False if none of them frees enough.
        """
        size = step.spec.committed
        for candidate in self.chosen:
            left = self._free[candidate.host.number]
            if size.fits_in(left) and may_run(candidate.host, step):
                self._free[candidate.host.number] = left.minus(size)
                return True
        return False

    def _fitting(self, step: Step) -> Iterator[MoveCandidate]:
        """Yields candidates that leave enough room when they are reached."""
        size = step.spec.committed
        for candidate in self._candidates:
            if candidate.host.free.cpu + candidate.size.cpu < size.cpu:
                continue
            if candidate.task.step in self._evicted_steps or not may_run(
                candidate.host, step
            ):
                continue
            if size.fits_in(self._free_after_eviction(candidate)):
                yield candidate

    def _free_after_eviction(self, candidate: MoveCandidate) -> Size:
        host = candidate.host
        return self._free.get(host.number, host.free).plus(candidate.size)
