"""Which workers are kept open for the images that fill.

Load pattern: tasks that serve reserve most of the room and use less than half
of it. Each of their images bears some filling images and not others. They were
placed before that was known, so most workers serve several images, and one of
them is enough to shut a filling image out: it waits beside idle processors.
A worker is opened by moving away the few serving tasks that shut out what
waits, in exchange for some that bear it where there is no room. Serving tasks
that are started later stay away from it.

A move takes a serving task away for about a second; an opened worker carries
several cores of waiting work for the rest of the tasks' lives.
"""

from collections.abc import Iterable, Mapping, Sequence
import heapq
from typing import Final, NamedTuple

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import Host, left_over, may_run
from pimentocross.work.spec import NO_SIZE, Size
from pimentocross.work.state import Task

# Room that has to be gained, in cores for each core that moves. A move loses
# about a second of service; what fills gains the room for ten and more.
GAIN_LEAST: Final = 0.5
# A worker is worth opening for this much room, thousandths of a core: about
# what one filling task asks for.
ROOM_LEAST: Final = 2_000
# What leaves may shut out this share of what has no room, elsewhere: with
# several images that wait, hardly a worker is closed to all of them.
CLOSED_MOST: Final = 0.15
# Images that wait most and workers with most to gain that are looked at.
_IMAGES_MOST: Final = 3
_HOSTS_MOST: Final = 8


class Opening(NamedTuple):
    """A worker to be opened.

    Attributes:
        number: The worker's number.
        image: Image that fills and is to be let in.
        leaving: Images that serve there and can't bear it.
    """

    number: int
    image: str
    leaving: frozenset[str]


def bears(
    serving: Iterable[str], filling: str, disturbance: Disturbance
) -> bool:
    """True if none of the images that serve surely suffers by one."""
    return not any(disturbance.is_bad(image, filling) for image in serving)


def shortages(
    waiting: Mapping[str, int],
    hosts: Sequence[Host],
    disturbance: Disturbance,
) -> dict[str, int]:
    """Returns the processor time that has nowhere to fill, by image.

    Args:
        waiting: Thousandths of a core that tasks ask for that wait, by image.
        hosts: Workers in use.
        disturbance: What is known of pairs of images.
    """
    found = {}
    for image, wanted in waiting.items():
        room = sum(
            max(left_over(host), 0)
            for host in hosts
            if bears(host.serving, image, disturbance)
        )
        if wanted > room:
            found[image] = wanted - room
    return found


def closed_by(
    serving: str,
    host: Host,
    missing: Mapping[str, int],
    disturbance: Disturbance,
) -> float:
    """Returns the share of what has no room that a task would shut out.

    Args:
        serving: Image of the task.
        host: Where it would serve.
        missing: As `shortages` returns it.
        disturbance: What is known of pairs of images.
    """
    whole = sum(missing.values())
    if not whole:
        return 0.0
    closed = sum(
        amount
        for image, amount in missing.items()
        if disturbance.is_bad(serving, image)
        and bears(host.serving, image, disturbance)
    )
    return closed / whole


def openings(
    hosts: Sequence[Host],
    missing: Mapping[str, int],
    disturbance: Disturbance,
) -> list[Opening]:
    """Returns workers worth opening, that first which gains most.

    Gains are room for what waits, for each core that has to move.

    Args:
        hosts: Workers that may be opened.
        missing: As `shortages` returns it.
        disturbance: What is known of pairs of images.
    """
    found: list[tuple[float, Opening]] = []
    roomy = heapq.nlargest(_HOSTS_MOST, hosts, key=left_over)
    for image in heapq.nlargest(_IMAGES_MOST, missing, key=missing.__getitem__):
        for host in roomy:
            gained = min(left_over(host), missing[image])
            leaving = frozenset(
                serving
                for serving in host.serving
                if disturbance.is_bad(serving, image)
            )
            moved = sum(host.serving[serving] for serving in leaving)
            if moved and gained >= max(ROOM_LEAST, GAIN_LEAST * moved):
                opening = Opening(host.number, image, leaving)
                found.append((gained / moved, opening))
    found.sort(key=lambda item: -item[0])
    return [opening for _, opening in found]


class Seat(NamedTuple):
    """A serving task that may be moved, and the worker that it is on."""

    task: Task
    host: Host

    @property
    def image(self) -> str:
        """What it runs."""
        return self.task.step.spec.image

    @property
    def size(self) -> Size:
        """What it reserves."""
        return self.task.step.spec.committed


class Exchange(NamedTuple):
    """A task that leaves an opened worker, and one that comes for it, if any.

    Attributes:
        leaves: The task that leaves.
        to: Number of the worker that it goes to.
        comes: The task that makes room for it there, or None.
    """

    leaves: Task
    to: int
    comes: Task | None


class Exchanger:
    """Finds places for the tasks that leave one worker.

    What leaves goes to workers that stay closed to the image anyway: where
    there is room, or in exchange for a task that bears the image.
    """

    def __init__(
        self,
        opening: Opening,
        opened: Host,
        others: Sequence[Host],
        view: tuple[Mapping[str, int], Disturbance],
    ) -> None:
        """Takes the worker to open and those that may take what leaves."""
        self._opening = opening
        self._opened = opened
        self._missing, self._disturbance = view
        self._others = others
        self._free = {h.number: h.free for h in (opened, *others)}

    def plan(self, seats: Sequence[Seat]) -> list[Exchange] | None:
        """Returns what has to be done, or None if not all finds a place.

        Args:
            seats: All tasks that may move, on all workers.
        """
        leaving = [seat for seat in seats if self._leaves(seat)]
        leaving.sort(key=lambda seat: -seat.size.cpu)
        self._release(sum_sizes(seat.size for seat in leaving))
        exchanges = []
        taken: set[Task] = set()
        for seat in leaving:
            exchange = self._to_room(seat) or self._swap(seat, seats, taken)
            if exchange is None:
                return None
            exchanges.append(exchange)
        return exchanges

    def _release(self, size: Size) -> None:
        number = self._opened.number
        self._free[number] = self._free[number].plus(size)

    def _leaves(self, seat: Seat) -> bool:
        return seat.host is self._opened and seat.image in self._opening.leaving

    def _to_room(self, seat: Seat) -> Exchange | None:
        for host in self._others:
            if self._welcomes(host, seat, seat.size):
                self._take(host, seat.size)
                return Exchange(seat.task, host.number, None)
        return None

    def _swap(
        self, seat: Seat, seats: Sequence[Seat], taken: set[Task]
    ) -> Exchange | None:
        others = {host.number for host in self._others}
        for other in seats:
            if (
                other.host.number in others
                and other.task not in taken
                and other.task.step is not seat.task.step
                and not self._is_bad(other.image)
                and self._has_room(self._opened, other, other.size)
                and self._welcomes(
                    other.host, seat, seat.size.minus(other.size)
                )
            ):
                taken.add(other.task)
                self._take(self._opened, other.size)
                self._take(other.host, seat.size.minus(other.size))
                return Exchange(seat.task, other.host.number, other.task)
        return None

    def _welcomes(self, host: Host, seat: Seat, more: Size) -> bool:
        """True if a host has room for more and a task shuts little out."""
        if not self._has_room(host, seat, more):
            return False
        closed = closed_by(seat.image, host, self._missing, self._disturbance)
        return closed <= CLOSED_MOST

    def _has_room(self, host: Host, seat: Seat, more: Size) -> bool:
        return (
            may_run(host, seat.task.step)
            and more.fits_in(self._free[host.number])
            and not self._suffers(seat.image, host)
        )

    def _suffers(self, serving: str, host: Host) -> bool:
        """True if what fills on a host now surely disturbs an image."""
        return any(self._disturbance.is_bad(serving, i) for i in host.filling)

    def _is_bad(self, image: str) -> bool:
        return self._disturbance.is_bad(image, self._opening.image)

    def _take(self, host: Host, size: Size) -> None:
        self._free[host.number] = self._free[host.number].minus(size)


def sum_sizes(sizes: Iterable[Size]) -> Size:
    """Returns the sum of sizes."""
    whole = NO_SIZE
    for size in sizes:
        whole = whole.plus(size)
    return whole
