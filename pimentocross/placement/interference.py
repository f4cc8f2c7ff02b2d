"""How much tasks of one class slow those of another, learned from usage.

For each pair of classes and load band one number is kept with its spread: the
slowdown that one neighbour adds. A report of a task is attributed to all its
neighbours at the time it was measured, more to those that are less known.
"""

from collections import deque
from collections.abc import Mapping
import math
from typing import NamedTuple

from pimentocross.placement import const


class Estimate(NamedTuple):
    """What one neighbour adds to a task's slowdown.

    Attributes:
        mean: 0.5 means half as long again.
        variance: How unsure that is.
        at: When it was last brought up to date.
    """

    mean: float
    variance: float
    at: float


_UNKNOWN = Estimate(const.PRIOR_SLOWDOWN, const.PRIOR_VARIANCE, 0.0)


class Neighbours(NamedTuple):
    """What ran on a worker from a time on: classes with counts, and load."""

    since: float
    classes: dict[str, int]
    band: int


def load_band(used: float, capacity: float) -> int:
    """Returns the band of a VM's load, 0 for the lowest."""
    share = used / capacity if capacity > 0 else 0.0
    return sum(share > edge for edge in const.BAND_EDGES)


class Interference:
    """Estimates by victim, neighbour and load band."""

    def __init__(self) -> None:
        """Starts with the same small guess for every pair."""
        self._estimates: dict[tuple[str, str, int], Estimate] = {}

    def estimate(self, victim: str, neighbour: str, band: int) -> Estimate:
        """Returns what one neighbour adds."""
        return self._estimates.get((victim, neighbour, band), _UNKNOWN)

    def added(self, victim: str, neighbour: str, band: int) -> float:
        """Returns what to expect of one neighbour when placing.

        A pair that is hardly known looks a little better than its mean, so
        that it is tried once in a while, and cheaply.
        """
        known = self.estimate(victim, neighbour, band)
        hope = const.EXPLORATION_WEIGHT * math.sqrt(known.variance)
        return max(known.mean - hope, 0.0)

    def slowdown(
        self, victim: str, neighbours: Mapping[str, int], band: int
    ) -> float:
        """Returns the expected slowdown of a task, 0 for none."""
        return sum(
            count * self.estimate(victim, name, band).mean
            for name, count in neighbours.items()
        )

    def learn(
        self,
        victim: str,
        neighbours: Mapping[str, int],
        band: int,
        slowdown: float,
        now: float,
    ) -> None:
        """Takes one report in.

        Args:
            victim: Class of the task that was measured.
            neighbours: Other tasks on its worker then, counted by class.
            band: The worker's load band then.
            slowdown: Time taken over the time alone, less 1.
            now: Present time.
        """
        pairs = {name: n for name, n in neighbours.items() if n > 0}
        if not pairs:
            return
        known = {name: self._aged(victim, name, band, now) for name in pairs}
        expected = sum(n * known[name].mean for name, n in pairs.items())
        spread = sum(n * n * known[name].variance for name, n in pairs.items())
        surprise = slowdown - expected
        for name, count in pairs.items():
            before = known[name]
            noise = const.MEASUREMENT_VARIANCE
            gain = before.variance * count / (spread + noise)
            self._estimates[(victim, name, band)] = Estimate(
                max(before.mean + gain * surprise, 0.0),
                before.variance * (1 - gain * count),
                now,
            )

    def _aged(
        self, victim: str, neighbour: str, band: int, now: float
    ) -> Estimate:
        known = self._estimates.get((victim, neighbour, band))
        if known is None:
            return _UNKNOWN._replace(at=now)
        grown = known.variance + const.DRIFT_VARIANCE * (now - known.at)
        return known._replace(variance=min(grown, const.MAX_VARIANCE), at=now)


class NeighbourHistory:
    """What ran on one worker, for reports that come late."""

    def __init__(self) -> None:
        """Starts empty."""
        self._past: deque[Neighbours] = deque()

    def note(self, now: float, classes: Mapping[str, int], band: int) -> None:
        """Notes what runs from now on."""
        self._past.append(Neighbours(now, dict(classes), band))
        while len(self._past) > 1 and (
            self._past[1].since < now - const.NEIGHBOUR_HISTORY_SECONDS
        ):
            self._past.popleft()

    def at(self, when: float) -> Neighbours | None:
        """Returns what ran at a time, or None if that is forgotten."""
        for neighbours in reversed(self._past):
            if neighbours.since <= when:
                return neighbours
        return None


def others(classes: Mapping[str, int], victim: str) -> dict[str, int]:
    """Returns the neighbours of one task of a class."""
    found = dict(classes)
    found[victim] = found.get(victim, 0) - 1
    return {name: count for name, count in found.items() if count > 0}
