"""Which lasting tasks give way to short ones.

Load pattern: tasks that last hold nearly all room, and what is free lies in
pieces too small for short urgent tasks. A lasting task that is away for three
seconds loses these three seconds; a short job that waits as long has missed its
objective.

No step gives more than one task at a moment, so that each of them keeps nearly
all of its worth however much short work comes. In a large cell many steps give
one each.
"""

from collections.abc import Iterator, Sequence
import itertools
from typing import Final

from pimentocross.placement.host import may_run
from pimentocross.placement.moves import Seat
from pimentocross.work.spec import Size
from pimentocross.work.state import Step, Task

# Short tasks for which room is made at once in a small cell; the others follow.
TASKS_MOST: Final = 12
# ... and in a large one, for each worker: as many as are in its small cells.
_TASKS_PER_WORKER: Final = 0.5


def tasks_most(workers: int) -> int:
    """Returns for how many short tasks room is made at once.

    Args:
        workers: How many are in use.
    """
    return max(TASKS_MOST, int(workers * _TASKS_PER_WORKER))


def choose_evictions(
    waiting: Sequence[Task], seats: Sequence[Seat], most: float
) -> list[Seat]:
    """Returns the lasting tasks to be stopped, one of a step at the most.

    Args:
        waiting: Short tasks that have room nowhere, those of a step together,
            the most urgent first.
        seats: Lasting tasks that may be stopped.
        most: Processor time that may be taken, thousandths.
    """
    evictions = _Evictions(seats, most)
    for step, tasks in itertools.groupby(waiting, key=_step_of):
        evictions.make_room(step, sum(1 for _ in tasks))
    return evictions.chosen


def _step_of(task: Task) -> Step:
    return task.step


class _Evictions:
    """Seats that were chosen, and the room that they leave.

    Attributes:
        chosen: Lasting tasks to be stopped.
    """

    def __init__(self, seats: Sequence[Seat], most: float) -> None:
        """Takes the seats, and the processor time that may be taken."""
        self.chosen: list[Seat] = []
        self._most = most
        # The smallest first: as little as possible is stopped.
        self._seats = sorted(seats, key=lambda seat: seat.size.cpu)
        self._free: dict[int, Size] = {}
        self._gave: set[Step] = set()

    def make_room(self, step: Step, count: int) -> None:
        """Chooses what gives way to some tasks of a short step."""
        size = step.spec.committed
        fitting = self._fitting(step)
        for _ in range(count):
            if self._fits_in_freed(step):
                continue
            seat = next(fitting, None)
            if seat is None or seat.size.cpu > self._most:
                return
            self._most -= seat.size.cpu
            self._gave.add(seat.task.step)
            self.chosen.append(seat)
            self._free[seat.host.number] = self._room(seat).minus(size)

    def _fits_in_freed(self, step: Step) -> bool:
        """Takes room that another eviction leaves, if there is enough."""
        size = step.spec.committed
        for seat in self.chosen:
            left = self._free[seat.host.number]
            if size.fits_in(left) and may_run(seat.host, step):
                self._free[seat.host.number] = left.minus(size)
                return True
        return False

    def _fitting(self, step: Step) -> Iterator[Seat]:
        """Yields seats whose place is large enough, as things are by then."""
        size = step.spec.committed
        for seat in self._seats:
            if seat.host.free.cpu + seat.size.cpu < size.cpu:
                continue
            if seat.task.step in self._gave or not may_run(seat.host, step):
                continue
            if size.fits_in(self._room(seat)):
                yield seat

    def _room(self, seat: Seat) -> Size:
        host = seat.host
        return self._free.get(host.number, host.free).plus(seat.size)
