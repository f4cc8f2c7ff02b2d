"""How fast tasks that fill may work beside tasks that serve.

Load pattern: a task that fills is started beside serving tasks whose response
times it spoils, by an amount that differs by pair of images and changes within
seconds. The figure of a serving task is late by half a second and rough. Over
a share of the target, those that are known to disturb most are slowed just as
much as is needed; what isn't explained slows all, and stops all once it lasts.
Speed comes back, the most harmless first, while it is expected to do no harm.
"""

from collections.abc import Sequence
import math
from typing import Final, NamedTuple

from pimentocross.placement.disturbance import Disturbance

# Shares of the target. The figure is rough by about a tenth: one that is
# under 0.9 is most likely under the target.
SLOW_FROM: Final = 0.9
SLOW_TO: Final = 0.7
FAST_BELOW: Final = 0.65
FAST_TO: Final = 0.75
# What slows all that fills once the target is passed for no known reason.
UNEXPLAINED_FACTOR: Final = 0.3
# ... after this many seconds: two readings in a row, and well before the 4 s
# after which users are taken to be harmed.
UNEXPLAINED_AFTER: Final = 1.2
# A target missed for this many seconds stops all that fills from working: half
# of the shortest time after which users count as harmed (4 s), as an order
# takes 0.1 s to work, the figure half a second to show it, and one may be lost.
STOP_AFTER_SECONDS: Final = 2.0
# A filler that may work at no more than this is better off elsewhere.
MOVE_MAX_PACE: Final = 30
# A change of fewer percent is not worth an order.
LEAST_CHANGE: Final = 5
FULL_PACE: Final = 100
# A figure covers half a second: changes wait until it shows the last one.
SETTLING_SECONDS: Final = 0.9


class Reading(NamedTuple):
    """The tails over their targets of the tasks of an image that serves.

    Attributes:
        image: The image.
        ratio: The worst.
        typical: The median.
        over_for: Seconds for which the worst has been over its target.
    """

    image: str
    ratio: float
    median_ratio: float
    over_for: float = 0.0


class Filler(NamedTuple):
    """A run that fills.

    Attributes:
        image: What it runs.
        share: Of the worker's processors that it asks for.
        pace: Percent at which it may work.
    """

    image: str
    share: float
    pace: int


def next_paces(
    readings: Sequence[Reading],
    fillers: Sequence[Filler],
    disturbance: Disturbance,
) -> list[int]:
    """Returns the percent at which each filler may work from now on."""
    if not readings:
        return [FULL_PACE for _ in fillers]
    worst = max(readings, key=lambda reading: reading.ratio)
    if any(reading.over_for >= STOP_AFTER_SECONDS for reading in readings):
        return [0 for _ in fillers]
    if worst.ratio >= SLOW_FROM:
        return _slow(worst, fillers, disturbance)
    if worst.ratio < FAST_BELOW:
        return _speed_up(worst, readings, fillers, disturbance)
    return [filler.pace for filler in fillers]


def _slow(
    worst: Reading, fillers: Sequence[Filler], disturbance: Disturbance
) -> list[int]:
    excess = math.log(worst.ratio / SLOW_TO)
    paces = [filler.pace for filler in fillers]
    effects = [
        disturbance.coefficient(worst.image, f.image) * f.share * f.pace / 100
        for f in fillers
    ]
    for index in sorted(range(len(fillers)), key=lambda i: -effects[i]):
        if excess <= 0 or effects[index] <= 0:
            break
        cut = min(excess, effects[index])
        paces[index] = int(paces[index] * (1 - cut / effects[index]))
        excess -= cut
    if excess > 0 and worst.over_for >= UNEXPLAINED_AFTER:
        paces = [int(pace * UNEXPLAINED_FACTOR) for pace in paces]
    return _steady(paces, fillers)


def _speed_up(
    worst: Reading,
    readings: Sequence[Reading],
    fillers: Sequence[Filler],
    disturbance: Disturbance,
) -> list[int]:
    room = math.log(FAST_TO / max(worst.ratio, 0.1))
    paces = [filler.pace for filler in fillers]
    weights = [
        max(disturbance.coefficient(r.image, f.image) for r in readings)
        * f.share
        for f in fillers
    ]
    for index in sorted(range(len(fillers)), key=lambda i: weights[i]):
        missing = FULL_PACE - paces[index]
        if missing <= 0:
            continue
        whole = weights[index] * missing / 100
        share = 1.0 if whole <= room else max(room, 0.0) / whole
        paces[index] += int(missing * share)
        room -= whole * share
    return _steady(paces, fillers)


def _steady(paces: list[int], fillers: Sequence[Filler]) -> list[int]:
    """Leaves paces that would hardly change as they are."""
    return [
        pace
        if abs(pace - filler.pace) >= LEAST_CHANGE or pace == FULL_PACE
        else filler.pace
        for pace, filler in zip(paces, fillers, strict=True)
    ]
