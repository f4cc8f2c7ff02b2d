"""Resources reserved on a worker, before the start of a task is sent."""

from pimentocross.backing.workers import NO_RESOURCES, Resources


class OverCommitError(Exception):
    """A reservation would exceed the capacity of the worker."""


class Commitments:
    """Reservations on one worker.

    `reserve` never exceeds the worker's capacity. Tasks that run there already
    are counted even if they exceed it.
    """

    def __init__(self) -> None:
        """Initializes without capacity or reservations."""
        self._capacity = NO_RESOURCES
        self._reserved: dict[str, Resources] = {}
        self._total = NO_RESOURCES

    @property
    def capacity(self) -> Resources:
        """All resources of the worker."""
        return self._capacity

    @property
    def free(self) -> Resources:
        """Unreserved resources; negative where more is reserved than exists."""
        return self._capacity.minus(self._total)

    @property
    def tasks(self) -> dict[str, Resources]:
        """Reserved resources by task."""
        return self._reserved

    def set_capacity(self, capacity: Resources) -> None:
        """Sets the capacity that the worker reported."""
        self._capacity = capacity

    def fits(self, size: Resources) -> bool:
        """True if `size` can be reserved in addition."""
        return size.fits_in(self.free)

    def reserve(self, task: str, size: Resources) -> None:
        """Reserves resources for a task, unless it has a reservation.

        Raises:
            OverCommitError: The task doesn't fit; nothing is reserved.
        """
        if task in self._reserved:
            return
        if not self.fits(size):
            raise OverCommitError(task)
        self._add(task, size)

    def adopt(self, task: str, size: Resources) -> None:
        """Reserves for a task that runs there already, even if too large."""
        if task not in self._reserved:
            self._add(task, size)

    def release(self, task: str) -> None:
        """Releases the reservation of a task, if there is one."""
        size = self._reserved.pop(task, None)
        if size is not None:
            self._total = self._total.minus(size)
        if not self._reserved:
            # Rounding errors of the fractional sums must not remain.
            self._total = NO_RESOURCES

    def clear(self) -> None:
        """Releases all reservations, as the worker's process has ended."""
        self._reserved.clear()
        self._total = NO_RESOURCES

    def _add(self, task: str, size: Resources) -> None:
        self._reserved[task] = size
        self._total = self._total.plus(size)
