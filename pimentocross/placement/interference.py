"""Learns how much tasks of one class slow down tasks of another.

For each pair of classes and load band, the slowdown that one neighbour adds is
estimated with its variance. A neighbour is another task on the same worker. A
slowdown reported for a task is attributed to all its neighbours at the time of
the measurement, and more to those whose estimates have a greater variance.
"""

from collections import deque
from collections.abc import Mapping
import math
from typing import NamedTuple

from pimentocross.placement import const


class Estimate(NamedTuple):
    """The slowdown that one neighbour adds to a task.

    Attributes:
        mean: Expected slowdown; 0.5 means that the task takes 1.5 times as
            long.
        variance: Variance of the estimate.
        updated_at: Time of the last update, seconds.
    """

    mean: float
    variance: float
    updated_at: float


_PRIOR = Estimate(const.PRIOR_SLOWDOWN, const.PRIOR_VARIANCE, 0.0)


class Neighbours(NamedTuple):
    """The tasks that ran on a worker from some time on.

    Attributes:
        since: Start of the period, seconds.
        classes: Number of tasks by class.
        band: Load band of the worker.
    """

    since: float
    classes: dict[str, int]
    band: int


def load_band(used: float, capacity: float) -> int:
    """Returns the load band of a VM, 0 for the lowest load."""
    share = used / capacity if capacity > 0 else 0.0
    return sum(share > edge for edge in const.BAND_EDGES)


class Interference:
    """Estimates slowdowns by victim class, neighbour class and load band."""

    def __init__(self) -> None:
        """Starts with the same small slowdown as prior for every pair."""
        self._estimates: dict[tuple[str, str, int], Estimate] = {}

    def estimate(self, victim: str, neighbour: str, band: int) -> Estimate:
        """Returns the slowdown that one neighbour adds to a victim."""
        return self._estimates.get((victim, neighbour, band), _PRIOR)

    def optimistic_slowdown(
        self, victim: str, neighbour: str, band: int
    ) -> float:
        """Returns the slowdown that placement assumes for one neighbour.

        Less than the mean by a share of the standard deviation, so that pairs
        with few reports are tried now and then, at a small cost.
        """
        known = self.estimate(victim, neighbour, band)
        exploration_bonus = const.EXPLORATION_WEIGHT * math.sqrt(known.variance)
        return max(known.mean - exploration_bonus, 0.0)

    def slowdown(
        self, victim: str, neighbours: Mapping[str, int], band: int
    ) -> float:
        """Returns the expected slowdown of a task, 0 without neighbours."""
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
        """Updates the estimates with the measured slowdown of a task.

        Args:
            victim: Class of the measured task.
            neighbours: Number of other tasks on its worker by class, at the
                time of the measurement.
            band: Load band of the worker at that time.
            slowdown: Time taken over the time without neighbours, less 1.
            now: Present time.
        """
        pairs = {name: n for name, n in neighbours.items() if n > 0}
        if not pairs:
            return
        known = {
            name: self._with_drift(victim, name, band, now) for name in pairs
        }
        expected = sum(n * known[name].mean for name, n in pairs.items())
        spread = sum(n * n * known[name].variance for name, n in pairs.items())
        residual = slowdown - expected
        for name, count in pairs.items():
            before = known[name]
            noise = const.MEASUREMENT_VARIANCE
            gain = before.variance * count / (spread + noise)
            self._estimates[(victim, name, band)] = Estimate(
                max(before.mean + gain * residual, 0.0),
                before.variance * (1 - gain * count),
                now,
            )

    def _with_drift(
        self, victim: str, neighbour: str, band: int, now: float
    ) -> Estimate:
        known = self._estimates.get((victim, neighbour, band))
        if known is None:
            return _PRIOR._replace(updated_at=now)
        grown = known.variance + const.DRIFT_VARIANCE * (now - known.updated_at)
        return known._replace(
            variance=min(grown, const.MAX_VARIANCE), updated_at=now
        )


class NeighbourHistory:
    """History of the tasks on one worker, for reports that arrive late."""

    def __init__(self) -> None:
        """Initializes an empty history."""
        self._periods: deque[Neighbours] = deque()

    def note(self, now: float, classes: Mapping[str, int], band: int) -> None:
        """Records the tasks that run from now on, by class."""
        self._periods.append(Neighbours(now, dict(classes), band))
        while len(self._periods) > 1 and (
            self._periods[1].since < now - const.NEIGHBOUR_HISTORY_SECONDS
        ):
            self._periods.popleft()

    def at(self, when: float) -> Neighbours | None:
        """Returns what ran at a time, or None if the history is too short."""
        for neighbours in reversed(self._periods):
            if neighbours.since <= when:
                return neighbours
        return None


def others(classes: Mapping[str, int], victim: str) -> dict[str, int]:
    """Returns the number of neighbours of one task, by class.

    Args:
        classes: Number of all tasks on the worker by class.
        victim: Class of the task.
    """
    found = dict(classes)
    found[victim] = found.get(victim, 0) - 1
    return {name: count for name, count in found.items() if count > 0}
