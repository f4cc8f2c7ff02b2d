"""What a worker is committed to: reserved before a start is sent."""

from pimentocross.backing.workers import NO_RESOURCES, Resources


class OverCommitError(Exception):
    """A reservation would exceed what the worker can carry."""


class Commitments:
    """Reservations of one worker, never above its capacity."""

    def __init__(self) -> None:
        """Starts with no capacity and nothing reserved."""
        self._capacity = NO_RESOURCES
        self._reserved: dict[str, Resources] = {}
        self._total = NO_RESOURCES

    @property
    def capacity(self) -> Resources:
        """What the worker can carry."""
        return self._capacity

    @property
    def free(self) -> Resources:
        """What is not reserved; negative parts if capacity shrank."""
        return self._capacity.minus(self._total)

    @property
    def tasks(self) -> dict[str, Resources]:
        """Reservations by task."""
        return self._reserved

    def set_capacity(self, capacity: Resources) -> None:
        """Takes what the worker says of its capacity."""
        self._capacity = capacity

    def fits(self, size: Resources) -> bool:
        """True if the size can still be reserved."""
        return size.fits_in(self.free)

    def reserve(self, task: str, size: Resources) -> None:
        """Reserves for a task.

        Raises:
            OverCommitError: It does not fit; nothing is reserved.
        """
        if task in self._reserved:
            return
        if not self.fits(size):
            raise OverCommitError(task)
        self._add(task, size)

    def adopt(self, task: str, size: Resources) -> None:
        """Notes a task that the worker runs already, whether it fits."""
        if task not in self._reserved:
            self._add(task, size)

    def release(self, task: str) -> None:
        """Gives a task's reservation back."""
        size = self._reserved.pop(task, None)
        if size is not None:
            self._total = self._total.minus(size)
        if not self._reserved:
            # Sums of fractions leave a rest; nothing reserved is nothing.
            self._total = NO_RESOURCES

    def clear(self) -> None:
        """Gives everything back: the worker's process is gone."""
        self._reserved.clear()
        self._total = NO_RESOURCES

    def _add(self, task: str, size: Resources) -> None:
        self._reserved[task] = size
        self._total = self._total.plus(size)
