"""Values the workers' room for best-effort tasks, given their serving tasks.

Load pattern: serving tasks reserve nine tenths of the processor time and use
less than half of it. Each serving image tolerates some best-effort images and
not others, and one serving task is enough to exclude a best-effort image from
its worker. The serving tasks were placed before this was known, so that a third
of the workers exclude all waiting best-effort tasks. On a simulated day 200 of
896 cores were idle for this reason alone, while 300 tasks waited.

The value of a worker is the processor time that it leaves to best-effort tasks,
times the scarcity of room for the scarcest image that it admits. Serving tasks
are placed, and moved (see `moves`), so that this value grows.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import (
    SERVING_USE_SHARE,
    Host,
    best_effort_cpu_limit,
)

# The value of a worker whose blocking tasks take a share s of its processor
# time is (1 - s) to this power, relative to a worker without any. Above 1,
# clearing one worker after the other gains more than clearing all of them by
# half. At 3 the first of several moves gained too little to be made.
_OPENNESS_POWER: Final = 2
# Share of a worker's value that depends on how many images it admits; the rest
# depends on the scarcest one. One image is enough to use a worker, but the next
# jobs may be of any image.
_SCARCITY_SHARE_WEIGHT: Final = 0.3
# Number of rounds of dividing room among images, until the shares settle.
_ROUNDS: Final = 3
# Images with at least this many times the requested room count as not scarce.
_AMPLE_ROOM_FACTOR: Final = 5.0


class Compatibility:
    """Tells which best-effort images certainly slow which serving images."""

    def __init__(
        self, filling: Iterable[str], disturbance: Disturbance
    ) -> None:
        """Initializes it with best-effort images and interference estimates."""
        self._filling = tuple(filling)
        self._disturbance = disturbance
        self._excluded: dict[str, frozenset[str]] = {}

    def excluded_by(self, serving: str) -> frozenset[str]:
        """Returns the best-effort images that a serving image excludes."""
        found = self._excluded.get(serving)
        if found is None:
            found = frozenset(
                image
                for image in self._filling
                if self._disturbance.disturbs(serving, image)
            )
            self._excluded[serving] = found
        return found

    def admitted_images(self, serving: Iterable[str]) -> list[str]:
        """Returns the best-effort images that all serving images admit."""
        excluded_images = frozenset[str]().union(
            *map(self.excluded_by, serving)
        )
        return [
            image for image in self._filling if image not in excluded_images
        ]


def tolerates(
    serving: Iterable[str], filling: str, disturbance: Disturbance
) -> bool:
    """True if no serving image is certainly slowed by a best-effort image."""
    for image in serving:  # noqa: SIM110 - a third faster than any().
        if disturbance.disturbs(image, filling):
            return False
    return True


class Scarcity(NamedTuple):
    """How scarce room for best-effort tasks is.

    Attributes:
        shares: Scarcity by image, 0 to 1, without the images that have ample
            room.
        worst: The image that lacks most processor time, or "".
    """

    shares: dict[str, float]
    worst: str


def scarcities(
    demand: Mapping[str, int],
    hosts: Sequence[Host],
    compatibility: Compatibility,
) -> Scarcity:
    """Returns how scarce room is for each best-effort image.

    The room of each worker is divided among the images that it admits, in
    proportion to what they lack.

    Args:
        demand: Processor time requested by running and waiting best-effort
            tasks, by image, in thousandths of a core.
        hosts: Workers in use.
        compatibility: Which images may share a worker.
    """
    admitted_images: dict[tuple[str, ...], tuple[str, ...]] = {}
    host_rooms: list[tuple[int, tuple[str, ...]]] = []
    for host in hosts:
        room = best_effort_cpu_limit(host)
        if room > 0:
            serving = tuple(host.serving)
            images = admitted_images.get(serving)
            if images is None:
                images = tuple(compatibility.admitted_images(serving))
                admitted_images[serving] = images
            host_rooms.append((room, images))
    weights = {image: float(wanted) for image, wanted in demand.items()}
    lack_ratios = dict.fromkeys(demand, 1.0)
    granted: dict[str, float] = {}
    for _ in range(_ROUNDS):
        granted = dict.fromkeys(demand, 1.0)
        # Computed once for workers with the same serving images.
        total_weights = {
            images: max(sum(weights[image] for image in images), 1.0)
            for images in admitted_images.values()
        }
        for room, images in host_rooms:
            total_weight = total_weights[images]
            for image in images:
                granted[image] += room * weights[image] / total_weight
        lack_ratios = {i: wanted / granted[i] for i, wanted in demand.items()}
        weights = {
            i: max(weight * min(lack_ratios[i], 2.0), 1.0)
            for i, weight in weights.items()
        }
    shares = {
        image: min(lack, 1.0) ** 2
        for image, lack in lack_ratios.items()
        if lack * _AMPLE_ROOM_FACTOR > 1.0
    }
    missing = {i: wanted - granted[i] for i, wanted in demand.items()}
    worst = max(shares, key=lambda image: missing[image], default="")
    return Scarcity(shares, worst)


class CapacityValue:
    """Computes the value of a worker's room to best-effort tasks.

    Attributes:
        opened_image: Best-effort image for which workers are being cleared of
            blocking serving tasks, or "".
    """

    def __init__(
        self,
        scarcity: Mapping[str, float],
        compatibility: Compatibility,
        opened_image: str = "",
    ) -> None:
        """Initializes the values from the present scarcity.

        Args:
            scarcity: How scarce room is for each image, see `scarcities`.
            compatibility: Which images may share a worker.
            opened_image: Image for which workers are being cleared. Only for
                this image does a partly cleared worker have a value: with
                several images at once, moves for one undid those for another.
        """
        self.opened_image = opened_image
        self._scarcity = scarcity
        self._total_scarcity = sum(scarcity.values())
        self._images = tuple(scarcity)
        self._compatibility = compatibility
        self._blocked_indexes: dict[str, tuple[int, ...]] = {}
        # Cached results of `scarcity_for_others`, by serving images and image.
        self._others_scarcity: dict[tuple[tuple[str, ...], str], float] = {}

    @property
    def is_unconstrained(self) -> bool:
        """True if no best-effort image lacks room."""
        return not self._scarcity

    def scarcity(self, image: str) -> float:
        """Returns how scarce room is for a best-effort image, 0 to 1."""
        return self._scarcity.get(image, 0.0)

    def excluded_by(self, serving: str) -> frozenset[str]:
        """Returns the best-effort images that a serving image excludes."""
        return self._compatibility.excluded_by(serving)

    def blocked_indexes(self, serving: str) -> tuple[int, ...]:
        """Returns the images that a serving image excludes.

        They are given by their indexes in the result of `blocking_cpu`.
        """
        found = self._blocked_indexes.get(serving)
        if found is None:
            excluded = self.excluded_by(serving)
            found = tuple(
                index
                for index, image in enumerate(self._images)
                if image in excluded
            )
            self._blocked_indexes[serving] = found
        return found

    def blocking_cpu(self, serving: Mapping[str, int]) -> list[int]:
        """Returns, by scarce image, the processor time of tasks that block it.

        Args:
            serving: Processor time requested by serving tasks on the worker, by
                image, in thousandths of a core.
        """
        blocking_cpu = [0] * len(self._images)
        for image, cpu in serving.items():
            for index in self.blocked_indexes(image):
                blocking_cpu[index] += cpu
        return blocking_cpu

    def usable_value(
        self, room: float, blocking_cpu: Sequence[int], capacity: int
    ) -> float:
        """Returns the value of a worker's room, in thousandths of a core.

        Args:
            room: Processor time that the worker leaves to best-effort tasks.
            blocking_cpu: Result of the method `blocking_cpu`.
            capacity: All of the worker's processor time.
        """
        if room <= 0 or not blocking_cpu:
            return 0.0
        best = total_value = 0.0
        for image, blocking in zip(self._images, blocking_cpu, strict=True):
            if blocking <= 0:
                value = self._scarcity[image]
            elif image == self.opened_image:
                value = self._scarcity[image] * _openness(blocking, capacity)
            else:
                continue
            best = max(best, value)
            total_value += value
        scarcity_share = total_value / self._total_scarcity
        return room * (
            (1 - _SCARCITY_SHARE_WEIGHT) * best
            + _SCARCITY_SHARE_WEIGHT * scarcity_share
        )

    def value_lost_to(self, host: Host, image: str, cpu: int) -> float:
        """Returns the value that a worker loses to a new serving task."""
        capacity = host.life.capacity.cpu
        room = best_effort_cpu_limit(host)
        blocking_cpu = self.blocking_cpu(host.serving)
        before = self.usable_value(room, blocking_cpu, capacity)
        for index in self.blocked_indexes(image):
            blocking_cpu[index] += cpu
        return before - self.usable_value(
            room - cpu * SERVING_USE_SHARE, blocking_cpu, capacity
        )

    def scarcity_for_others(self, host: Host, image: str) -> float:
        """Returns the highest scarcity of other images that a worker admits."""
        if self.is_unconstrained:
            return 0.0
        key = (tuple(host.serving), image)
        found = self._others_scarcity.get(key)
        if found is None:
            found = self._others_scarcity[key] = max(
                (
                    self._scarcity[other]
                    for other, blocking in zip(
                        self._images,
                        self.blocking_cpu(host.serving),
                        strict=True,
                    )
                    if other != image and blocking <= 0
                ),
                default=0.0,
            )
        return found


def _openness(blocking_cpu: int, capacity: int) -> float:
    """Returns how nearly a worker is clear of blocking tasks, below 1.

    It falls with the processor time of the blocking tasks. This also holds if
    all serving tasks on the worker block the image, so that workers get emptied
    for an image that no serving image tolerates.
    """
    return float(max(1 - blocking_cpu / capacity, 0.0) ** _OPENNESS_POWER)
