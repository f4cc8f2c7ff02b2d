"""What the way that serving tasks lie over the workers is worth.

Load pattern: tasks that serve reserve nine tenths of the room and use less
than half of it. Each of their images bears some filling images and not
others, and one task is enough to shut a filling image out of its worker. They
were placed before that was known, so a third of the workers are closed to all
that waits: on a played day 200 of 896 cores were idle for that reason alone,
beside 300 waiting tasks.

A worker is worth the processor time that it leaves to what fills, times how
scarce room is for the scarcest image that it is open to. Serving tasks are
placed, and moved (see `moves`), so that the room becomes worth more.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import SERVING_LOAD, Host, left_to_fill

# A worker of which a share is taken by what closes it is worth that much
# less than an open one, to this power. Above 1, opening one worker after the
# other is worth more than opening all of them by half; at 3 the first of
# several moves gained too little to be made.
_OPENNESS_POWER: Final = 2
# One image is enough to fill a worker; this share of its worth is by how many
# images may, as the next jobs are of any of them.
_BREADTH: Final = 0.3
# Rounds in which room is shared out among images, until the shares settle.
_ROUNDS: Final = 3
# Images for which there is this many times the room are left out.
_PLENTY: Final = 5.0


class Compatibility:
    """Which filling images each serving image surely suffers by."""

    def __init__(
        self, filling: Iterable[str], disturbance: Disturbance
    ) -> None:
        """Takes the filling images that matter and what is known of pairs."""
        self._filling = tuple(filling)
        self._disturbance = disturbance
        self._shut_out: dict[str, frozenset[str]] = {}

    def shut_out_by(self, serving: str) -> frozenset[str]:
        """Returns the filling images that a serving image can't bear."""
        found = self._shut_out.get(serving)
        if found is None:
            found = frozenset(
                image
                for image in self._filling
                if self._disturbance.disturbs(serving, image)
            )
            self._shut_out[serving] = found
        return found

    def open_to(self, serving: Iterable[str]) -> list[str]:
        """Returns the filling images that a worker is open to."""
        shut = frozenset[str]().union(*map(self.shut_out_by, serving))
        return [image for image in self._filling if image not in shut]


def bears(
    serving: Iterable[str], filling: str, disturbance: Disturbance
) -> bool:
    """True if none of the images that serve surely suffers by one."""
    for image in serving:  # noqa: SIM110 - a third quicker than any().
        if disturbance.disturbs(image, filling):
            return False
    return True


class Scarcity(NamedTuple):
    """How scarce room to fill is.

    Attributes:
        shares: 0 to 1 for each image; those with plenty are left out.
        worst: The image that lacks most processor time, or "".
    """

    shares: dict[str, float]
    worst: str


def scarcities(
    demand: Mapping[str, int],
    hosts: Sequence[Host],
    compatibility: Compatibility,
) -> Scarcity:
    """Returns how scarce room is for each filling image.

    The room of each worker is shared out among the images that it is open to,
    in proportion to what they lack.

    Args:
        demand: Thousandths of a core asked for by tasks that fill or wait to.
        hosts: Workers in use.
        compatibility: Which images go together.
    """
    open_to: dict[tuple[str, ...], tuple[str, ...]] = {}
    rooms: list[tuple[int, tuple[str, ...]]] = []
    for host in hosts:
        room = left_to_fill(host)
        if room > 0:
            serving = tuple(host.serving)
            images = open_to.get(serving)
            if images is None:
                images = tuple(compatibility.open_to(serving))
                open_to[serving] = images
            rooms.append((room, images))
    weights = {image: float(wanted) for image, wanted in demand.items()}
    lacking = dict.fromkeys(demand, 1.0)
    found: dict[str, float] = {}
    for _ in range(_ROUNDS):
        found = dict.fromkeys(demand, 1.0)
        # Workers that serve the same share out among the same images.
        wholes = {
            images: max(sum(weights[image] for image in images), 1.0)
            for images in open_to.values()
        }
        for room, images in rooms:
            whole = wholes[images]
            for image in images:
                found[image] += room * weights[image] / whole
        lacking = {i: wanted / found[i] for i, wanted in demand.items()}
        weights = {
            i: max(weight * min(lacking[i], 2.0), 1.0)
            for i, weight in weights.items()
        }
    shares = {
        image: min(lack, 1.0) ** 2
        for image, lack in lacking.items()
        if lack * _PLENTY > 1.0
    }
    missing = {i: wanted - found[i] for i, wanted in demand.items()}
    worst = max(shares, key=lambda image: missing[image], default="")
    return Scarcity(shares, worst)


class Outlook:
    """What a worker's room is worth to what fills and waits to.

    Attributes:
        target: Image for which workers are being opened, or "".
    """

    def __init__(
        self,
        scarcity: Mapping[str, float],
        compatibility: Compatibility,
        target: str = "",
    ) -> None:
        """Takes how things are.

        Args:
            scarcity: How scarce room is for each image, see `scarcities`.
            compatibility: Which images go together.
            target: Image for which workers are being opened. For it alone
                those that are nearly open count: with several at once, moves
                for one were seen to undo those for another.
        """
        self.target = target
        self._scarcity = scarcity
        self._all_scarcity = sum(scarcity.values())
        self._images = tuple(scarcity)
        self._compatibility = compatibility
        self._closes: dict[str, tuple[int, ...]] = {}
        # What `wanted_by_others` returned, by what serves and the image.
        self._wanted: dict[tuple[tuple[str, ...], str], float] = {}

    @property
    def is_plain(self) -> bool:
        """True if there is room enough for all that fills."""
        return not self._scarcity

    def scarcity(self, image: str) -> float:
        """Returns how scarce room is for a filling image, 0 to 1."""
        return self._scarcity.get(image, 0.0)

    def shut_out_by(self, serving: str) -> frozenset[str]:
        """Returns the filling images that a serving image can't bear."""
        return self._compatibility.shut_out_by(serving)

    def closes(self, serving: str) -> tuple[int, ...]:
        """Returns the places, in `closing`, of the images that it shuts out."""
        found = self._closes.get(serving)
        if found is None:
            shut_out = self.shut_out_by(serving)
            found = tuple(
                index
                for index, image in enumerate(self._images)
                if image in shut_out
            )
            self._closes[serving] = found
        return found

    def closing(self, serving: Mapping[str, int]) -> list[int]:
        """Returns what closes a worker to each scarce image.

        Args:
            serving: What serving tasks ask for on it, by image.
        """
        closing = [0] * len(self._images)
        for image, cpu in serving.items():
            for index in self.closes(image):
                closing[index] += cpu
        return closing

    def worth(
        self, room: float, closing: Sequence[int], capacity: int
    ) -> float:
        """Returns what a worker's room is worth, thousandths of a core.

        Args:
            room: Processor time that it leaves to what fills.
            closing: As `closing` returns it.
            capacity: All of its processor time.
        """
        if room <= 0 or not closing:
            return 0.0
        best = whole = 0.0
        for image, closed in zip(self._images, closing, strict=True):
            if closed <= 0:
                value = self._scarcity[image]
            elif image == self.target:
                value = self._scarcity[image] * _openness(closed, capacity)
            else:
                continue
            best = max(best, value)
            whole += value
        breadth = whole / self._all_scarcity
        return room * ((1 - _BREADTH) * best + _BREADTH * breadth)

    def lost_by(self, host: Host, image: str, cpu: int) -> float:
        """Returns what a worker's room loses in worth by a serving task."""
        capacity = host.life.capacity.cpu
        room = left_to_fill(host)
        closing = self.closing(host.serving)
        before = self.worth(room, closing, capacity)
        for index in self.closes(image):
            closing[index] += cpu
        return before - self.worth(room - cpu * SERVING_LOAD, closing, capacity)

    def wanted_by_others(self, host: Host, image: str) -> float:
        """Returns how scarce room is for the other images that bear a host."""
        if self.is_plain:
            return 0.0
        key = (tuple(host.serving), image)
        found = self._wanted.get(key)
        if found is None:
            found = self._wanted[key] = max(
                (
                    self._scarcity[other]
                    for other, closed in zip(
                        self._images, self.closing(host.serving), strict=True
                    )
                    if other != image and closed <= 0
                ),
                default=0.0,
            )
        return found


def _openness(closing: int, capacity: int) -> float:
    """Returns how near a worker is to being open, under 1.

    It is the less the more room what closes it takes, also where all that
    serves there does: for an image that none bears, workers are emptied.
    """
    return float(max(1 - closing / capacity, 0.0) ** _OPENNESS_POWER)
