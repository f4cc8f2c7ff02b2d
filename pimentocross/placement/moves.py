"""Which serving tasks to move, so that more of what waits to fill has room.

Load pattern: as in `layout`. A task is moved to where there is room, or
exchanged for one on another worker, if the room of both workers together
becomes worth more by it; the best comes first.
"""

from collections.abc import Collection, Iterable, Sequence
import heapq
import itertools
from typing import Final, NamedTuple

from pimentocross.placement.host import (
    SERVING_LOAD,
    Host,
    left_to_fill,
    may_run,
)
from pimentocross.placement.layout import Outlook
from pimentocross.work.spec import Size
from pimentocross.work.state import Task

# What a move has to gain, as a share of the processor time that it moves. It
# takes that away from what serves for about a second; what is gained is there
# for as long as the tasks stay.
_GAIN_LEAST: Final = 0.1
# Tasks looked at in one pass: those whose leaving gains most, and workers that
# each of them may go to. They bound the time of a pass in a large cell.
_LEAVING_MOST: Final = 8
_HOSTS_MOST: Final = 48


class Seat(NamedTuple):
    """A lasting task that may be moved, and the worker that it is on.

    Attributes:
        task: The task.
        host: The worker.
        image: What it runs.
        size: What it reserves.
    """

    task: Task
    host: Host
    image: str
    size: Size


def seat_of(task: Task, host: Host) -> Seat:
    """Returns a task's seat on a worker."""
    spec = task.step.spec
    return Seat(task, host, spec.image, spec.committed)


class Move(NamedTuple):
    """A task that goes to another worker, and one that comes for it, if any.

    Attributes:
        leaves: The task that leaves.
        to: Number of the worker that it goes to.
        comes: The task that makes room for it there, or None.
        source: Number of the worker that it leaves.
        gain: Room for what fills, weighted by its scarcity, thousandths of a
            core, less what the move costs.
    """

    leaves: Task
    to: int
    comes: Task | None
    source: int
    gain: float

    @property
    def cpu(self) -> int:
        """Processor time that is moved, thousandths."""
        moved = self.leaves.step.spec.size.cpu
        if self.comes is not None:
            moved += self.comes.step.spec.size.cpu
        return moved


class _Sketch(NamedTuple):
    """What counts of a worker.

    Attributes:
        host: The worker.
        room: Processor time that it leaves to what fills.
        closing: What closes it to each scarce image.
        capacity: All of its processor time.
        worth: What its room is worth now.
    """

    host: Host
    room: int
    closing: tuple[int, ...]
    capacity: int
    worth: float


class _Change(NamedTuple):
    """A worker, and image and size of what leaves it and of what joins it."""

    worker: int
    leaves: tuple[str, int] | None
    joins: tuple[str, int] | None


class Mover:
    """Finds the move that opens most room."""

    def __init__(self, hosts: Sequence[Host], outlook: Outlook) -> None:
        """Takes the workers and what their room is worth."""
        self._outlook = outlook
        # The roomiest first.
        self._hosts = sorted(hosts, key=left_to_fill, reverse=True)
        self._sketches = {h.number: self._sketch(h) for h in hosts}
        # Many seats on a worker are of one image: what `_gain` returned.
        self._gains: dict[_Change, float] = {}

    def best(
        self,
        seats: Sequence[Seat],
        most: int,
        busy: Collection[int] = frozenset(),
    ) -> Move | None:
        """Returns the move that gains most, or None if none is worth it.

        Args:
            seats: Tasks that may move.
            most: Processor time that may be moved, thousandths.
            busy: Numbers of workers that are left as they are, with no seats.
        """
        if self._outlook.is_plain:
            return None
        leaving = heapq.nlargest(_LEAVING_MOST, seats, key=self._freed)
        free = (host for host in self._hosts if host.number not in busy)
        hosts = list(itertools.islice(free, _HOSTS_MOST))
        numbers = {host.number for host in hosts}
        partners = [seat for seat in seats if seat.host.number in numbers]
        moves = (
            move
            for seat in leaving
            for move in self._moves(seat, hosts, partners)
            if move.cpu <= most
        )
        return max(moves, key=lambda move: move.gain, default=None)

    def _sketch(self, host: Host) -> _Sketch:
        room = left_to_fill(host)
        closing = tuple(self._outlook.closing(host.serving))
        capacity = host.life.capacity.cpu
        worth = self._outlook.worth(room, closing, capacity)
        return _Sketch(host, room, closing, capacity, worth)

    def _freed(self, seat: Seat) -> float:
        return self._gain(seat.host, leaves=seat, joins=None)

    def _moves(
        self, seat: Seat, hosts: Sequence[Host], partners: Sequence[Seat]
    ) -> Iterable[Move]:
        freed = self._freed(seat)
        for host in hosts:
            if host is not seat.host and _has_room(host, seat, seat.size):
                gain = freed + self._gain(host, leaves=None, joins=seat)
                yield from _worthwhile(seat, host, None, gain)
        shut_out = self._outlook.shut_out_by(seat.image)
        for other in partners:
            if (
                other.host is seat.host
                or self._outlook.shut_out_by(other.image) == shut_out
                or not _can_swap(seat, other)
            ):
                continue
            gain = self._gain(seat.host, leaves=seat, joins=other)
            gain += self._gain(other.host, leaves=other, joins=seat)
            yield from _worthwhile(seat, other.host, other.task, gain)

    def _gain(
        self, host: Host, *, leaves: Seat | None, joins: Seat | None
    ) -> float:
        """Returns what a worker's room gains in worth by a change."""
        change = _Change(
            host.number,
            leaves and (leaves.image, leaves.size.cpu),
            joins and (joins.image, joins.size.cpu),
        )
        found = self._gains.get(change)
        if found is None:
            found = self._gains[change] = self._work_out(host, leaves, joins)
        return found

    def _work_out(
        self, host: Host, leaves: Seat | None, joins: Seat | None
    ) -> float:
        sketch = self._sketches[host.number]
        closing = list(sketch.closing)
        room = float(sketch.room)
        lost = 0
        if leaves is not None:
            room += leaves.size.cpu * SERVING_LOAD
            for index in self._outlook.closes(leaves.image):
                closing[index] -= leaves.size.cpu
        if joins is not None:
            room -= joins.size.cpu * SERVING_LOAD
            for index in self._outlook.closes(joins.image):
                closing[index] += joins.size.cpu
            lost = self._driven_out(joins.image, host)
        after = self._outlook.worth(room, closing, sketch.capacity)
        return after - sketch.worth - lost

    def _driven_out(self, image: str, host: Host) -> int:
        """Returns what fills now on a host and can't stay beside an image."""
        shut_out = self._outlook.shut_out_by(image)
        return sum(cpu for i, cpu in host.filling.items() if i in shut_out)


def _worthwhile(
    seat: Seat, host: Host, comes: Task | None, gain: float
) -> Iterable[Move]:
    """Yields a move if it gains more than it costs."""
    move = Move(seat.task, host.number, comes, seat.host.number, gain)
    net = gain - _GAIN_LEAST * move.cpu
    if net > 0:
        yield move._replace(gain=net)


def _has_room(host: Host, seat: Seat, more: Size) -> bool:
    return more.fits_in(host.free) and may_run(host, seat.task.step)


def _can_swap(seat: Seat, other: Seat) -> bool:
    more = seat.size.cpu - other.size.cpu
    if more > other.host.free.cpu or -more > seat.host.free.cpu:
        return False
    if other.task.step is seat.task.step:
        return False
    return _has_room(
        other.host, seat, seat.size.minus(other.size)
    ) and _has_room(seat.host, other, other.size.minus(seat.size))
