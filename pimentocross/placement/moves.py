"""Chooses serving tasks to move, to make room for waiting best-effort tasks.

Load pattern: as in `layout`. A task is moved to a worker with room, or swapped
with a task on another worker, if this raises the total value of both workers'
room. The move that gains most is made first.
"""

from collections.abc import Collection, Iterable, Sequence
import heapq
import itertools
from typing import Final, NamedTuple

from pimentocross.placement.host import (
    SERVING_USE_SHARE,
    Host,
    best_effort_cpu_limit,
    may_run,
)
from pimentocross.placement.layout import CapacityValue
from pimentocross.work.spec import Size
from pimentocross.work.state import Task

# Value that a move has to gain, as a share of the processor time that it moves.
# The moved tasks are down for about a second, while the gain lasts for as long
# as the tasks stay.
_MIN_GAIN_SHARE: Final = 0.1
# Limits for one pass, which bound its duration in a large cell: tasks that may
# leave, those whose leaving gains most, and destinations for each of them.
_MAX_LEAVING: Final = 8
_MAX_DESTINATIONS: Final = 48


class MoveCandidate(NamedTuple):
    """A long-running task that may be moved or stopped, and its worker.

    Attributes:
        task: The task.
        host: The worker that the task runs on.
        image: Image that the task runs.
        size: Resources that the task reserves.
    """

    task: Task
    host: Host
    image: str
    size: Size


def move_candidate(task: Task, host: Host) -> MoveCandidate:
    """Returns the candidate for a task on a worker."""
    spec = task.step.spec
    return MoveCandidate(task, host, spec.image, spec.committed)


class Move(NamedTuple):
    """A task that moves to another worker, and the task swapped for it, if any.

    Attributes:
        leaves: The task that moves.
        to: Number of the destination worker.
        comes: The task that moves from the destination to the source, or None.
        source: Number of the worker that `leaves` is on.
        gain: Gained room for best-effort tasks, weighted by its scarcity, less
            the cost of the move, in thousandths of a core.
    """

    leaves: Task
    to: int
    comes: Task | None
    source: int
    gain: float

    @property
    def cpu(self) -> int:
        """Processor time of the moved tasks, in thousandths of a core."""
        moved = self.leaves.step.spec.size.cpu
        if self.comes is not None:
            moved += self.comes.step.spec.size.cpu
        return moved


class _HostState(NamedTuple):
    """The figures of a worker from which gains are computed.

    Attributes:
        host: The worker.
        room: Processor time that it leaves to best-effort tasks.
        blocking_cpu: Processor time of blocking tasks, by scarce image.
        capacity: All of its processor time.
        usable_value: Present value of its room.
    """

    host: Host
    room: int
    blocking_cpu: tuple[int, ...]
    capacity: int
    usable_value: float


class _Change(NamedTuple):
    """A worker, and image and size of the tasks that leave and join it."""

    worker: int
    leaves: tuple[str, int] | None
    joins: tuple[str, int] | None


class Mover:
    """Finds the move that gains most room for best-effort tasks."""

    def __init__(
        self, hosts: Sequence[Host], capacity_value: CapacityValue
    ) -> None:
        """Initializes the mover with workers and the value of their room."""
        self._capacity_value = capacity_value
        # The worker with most room first.
        self._hosts = sorted(hosts, key=best_effort_cpu_limit, reverse=True)
        self._host_states = {h.number: self._host_state_of(h) for h in hosts}
        # Cached results of `_gain`: many candidates on a worker share an image.
        self._gains: dict[_Change, float] = {}

    def best(
        self,
        candidates: Sequence[MoveCandidate],
        max_cpu: int,
        busy: Collection[int] = frozenset(),
    ) -> Move | None:
        """Returns the move that gains most, or None if none gains enough.

        Args:
            candidates: Tasks that may move.
            max_cpu: Processor time that may be moved, in thousandths of a core.
            busy: Numbers of workers that must not change; they have no
                candidates.
        """
        if self._capacity_value.is_unconstrained:
            return None
        leaving = heapq.nlargest(
            _MAX_LEAVING, candidates, key=self._gain_by_leaving
        )
        free = (host for host in self._hosts if host.number not in busy)
        hosts = list(itertools.islice(free, _MAX_DESTINATIONS))
        host_numbers = {host.number for host in hosts}
        partners = [
            candidate
            for candidate in candidates
            if candidate.host.number in host_numbers
        ]
        moves = (
            move
            for candidate in leaving
            for move in self._moves(candidate, hosts, partners)
            if move.cpu <= max_cpu
        )
        return max(moves, key=lambda move: move.gain, default=None)

    def _host_state_of(self, host: Host) -> _HostState:
        room = best_effort_cpu_limit(host)
        blocking_cpu = tuple(self._capacity_value.blocking_cpu(host.serving))
        capacity = host.life.capacity.cpu
        usable_value = self._capacity_value.usable_value(
            room, blocking_cpu, capacity
        )
        return _HostState(host, room, blocking_cpu, capacity, usable_value)

    def _gain_by_leaving(self, candidate: MoveCandidate) -> float:
        return self._gain(candidate.host, leaves=candidate, joins=None)

    def _moves(
        self,
        candidate: MoveCandidate,
        hosts: Sequence[Host],
        partners: Sequence[MoveCandidate],
    ) -> Iterable[Move]:
        gain_by_leaving = self._gain_by_leaving(candidate)
        for host in hosts:
            if host is not candidate.host and _has_room(
                host, candidate, candidate.size
            ):
                gain = gain_by_leaving + self._gain(
                    host, leaves=None, joins=candidate
                )
                yield from _profitable_move(candidate, host, None, gain)
        excluded = self._capacity_value.excluded_by(candidate.image)
        for other in partners:
            if (
                other.host is candidate.host
                or self._capacity_value.excluded_by(other.image) == excluded
                or not _can_swap(candidate, other)
            ):
                continue
            gain = self._gain(candidate.host, leaves=candidate, joins=other)
            gain += self._gain(other.host, leaves=other, joins=candidate)
            yield from _profitable_move(candidate, other.host, other.task, gain)

    def _gain(
        self,
        host: Host,
        *,
        leaves: MoveCandidate | None,
        joins: MoveCandidate | None,
    ) -> float:
        """Returns how much value a worker's room gains by a change."""
        change = _Change(
            host.number,
            leaves and (leaves.image, leaves.size.cpu),
            joins and (joins.image, joins.size.cpu),
        )
        found = self._gains.get(change)
        if found is None:
            found = self._gains[change] = self._compute_gain(
                host, leaves, joins
            )
        return found

    def _compute_gain(
        self,
        host: Host,
        leaves: MoveCandidate | None,
        joins: MoveCandidate | None,
    ) -> float:
        host_state = self._host_states[host.number]
        blocking_cpu = list(host_state.blocking_cpu)
        room = float(host_state.room)
        displaced = 0
        if leaves is not None:
            room += leaves.size.cpu * SERVING_USE_SHARE
            for index in self._capacity_value.blocked_indexes(leaves.image):
                blocking_cpu[index] -= leaves.size.cpu
        if joins is not None:
            room -= joins.size.cpu * SERVING_USE_SHARE
            for index in self._capacity_value.blocked_indexes(joins.image):
                blocking_cpu[index] += joins.size.cpu
            displaced = self._displaced_cpu(joins.image, host)
        after = self._capacity_value.usable_value(
            room, blocking_cpu, host_state.capacity
        )
        return after - host_state.usable_value - displaced

    def _displaced_cpu(self, image: str, host: Host) -> int:
        """Returns the processor time of tasks that a serving image displaces.

        These are the best-effort tasks on the worker that the image excludes.
        """
        excluded = self._capacity_value.excluded_by(image)
        return sum(cpu for i, cpu in host.filling.items() if i in excluded)


def _profitable_move(
    candidate: MoveCandidate, host: Host, comes: Task | None, gain: float
) -> Iterable[Move]:
    """Yields the move if it gains more than it costs."""
    move = Move(candidate.task, host.number, comes, candidate.host.number, gain)
    net = gain - _MIN_GAIN_SHARE * move.cpu
    if net > 0:
        yield move._replace(gain=net)


def _has_room(host: Host, candidate: MoveCandidate, extra: Size) -> bool:
    return extra.fits_in(host.free) and may_run(host, candidate.task.step)


def _can_swap(candidate: MoveCandidate, other: MoveCandidate) -> bool:
    extra = candidate.size.cpu - other.size.cpu
    if extra > other.host.free.cpu or -extra > candidate.host.free.cpu:
        return False
    if other.task.step is candidate.task.step:
        return False
    return _has_room(
        other.host, candidate, candidate.size.minus(other.size)
    ) and _has_room(candidate.host, other, other.size.minus(candidate.size))
