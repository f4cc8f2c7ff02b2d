"""Which workers are in trouble though they look healthy.

Load pattern: for some seconds a few workers take several times as long for
everything, or spoil the response times of all that serves on them, while
their own reports are good. Their tasks are better off elsewhere, and new ones
should not join them.
"""

from collections.abc import Sequence
import statistics
from typing import Final, NamedTuple

from pimentocross.placement.pacing import Reading
from pimentocross.work.state import Run, RunState, Step

# Estimates of jobs are off by a factor of 2.5: the median over several jobs at
# a third of what it is on other workers is most likely the worker's doing.
SLOW_BELOW: Final = 0.33
SLOW_JOBS: Final = 2
# Where long tasks are known, as many slow jobs have to be less likely than this
# on a sound worker: each one blamed has its work begun again.
_CHANCE_MOST: Final = 0.02
# Workers that have to be known to judge one, and for how many seconds.
SLOW_OTHERS: Final = 3
_SPEED_KEPT: Final = 3.0
# A run is measured once it has worked this long, in seconds.
MEASURED_AFTER: Final = 0.7
# What serves on a sound worker is over its target by chance now and then; all
# of it, this far over, is the worker's doing.
SICK_FROM: Final = 1.5
# ... if it lasts this many seconds, three readings, and fillers explain no
# more than this of it (in the logarithm of the tail).
SICK_AFTER: Final = 1.2
EXPLAINED_MOST: Final = 0.3
# Fillers raise no tail that far, workers that hang do: from here on one reading
# is enough.
SICK_SURELY: Final = 40.0


class Progress(NamedTuple):
    """How far a run is.

    Attributes:
        job: Its job; estimates of one job may all be wrong alike.
        expected: Seconds that its task is expected to take in all.
        percent: Progress.
        elapsed: Seconds that it took to come there.
        excused: How likely a task that has come to so many seconds is to be a
            long one, which a sound worker shows as slow.
    """

    job: str
    expected: float
    percent: int
    elapsed: float
    excused: float = 0.0

    @property
    def speed(self) -> float:
        """Work done in a second, 1 if all goes as expected."""
        return self.expected * self.percent / 100 / self.elapsed

    @property
    def left(self) -> float:
        """Seconds that it will take on at this speed."""
        return self.elapsed * (100 - self.percent) / max(self.percent, 1)


class Speeds:
    """Speeds of workers, so that one is judged against the others.

    All of them look slow while they are crowded, or while estimates are off.
    """

    def __init__(self) -> None:
        """Knows none yet."""
        self._speeds: dict[int, _Speed] = {}

    def is_slow(
        self, worker: int, runs: Sequence[Progress], now: float
    ) -> bool:
        """Notes how a worker's runs advance; true if it is far too slow.

        Args:
            worker: Its number.
            runs: Its runs.
            now: Present time.
        """
        measured = [run for run in runs if run.elapsed >= MEASURED_AFTER]
        if len({run.job for run in measured}) < SLOW_JOBS:
            return False
        speed = statistics.median([run.speed for run in measured])
        self._speeds[worker] = _Speed(speed, now)
        if speed >= SLOW_BELOW:
            # Others are taken for no faster than expected: they needn't be
            # looked at, all of them for each listing.
            return False
        others = [
            known.speed
            for number, known in self._speeds.items()
            if number != worker and now - known.at <= _SPEED_KEPT
        ]
        if len(others) < SLOW_OTHERS:
            return False
        usual = min(statistics.median(others), 1.0)
        if speed >= SLOW_BELOW * usual:
            return False
        return _chance_long(measured, SLOW_BELOW * usual) <= _CHANCE_MOST


class _Speed(NamedTuple):
    speed: float
    at: float


def _chance_long(runs: Sequence[Progress], slow_below: float) -> float:
    """Returns how likely as many jobs are slow here for being long ones.

    0 where none is known to be: then the median alone judges. Tasks of one job
    are long together.
    """
    if not any(run.excused for run in runs):
        return 0.0
    jobs: dict[str, list[Progress]] = {}
    for run in runs:
        jobs.setdefault(run.job, []).append(run)
    slow = 0
    # Chances that so many of the jobs looked at so far are long.
    chances = [1.0] + [0.0] * len(jobs)
    for found in jobs.values():
        slow += statistics.median([run.speed for run in found]) < slow_below
        excused = max(run.excused for run in found)
        for count in range(len(jobs), 0, -1):
            fewer = chances[count - 1] * excused
            chances[count] = chances[count] * (1 - excused) + fewer
        chances[0] *= 1 - excused
    return sum(chances[slow:])


def is_sick(readings: Sequence[Reading], explained: float) -> bool:
    """True if all that serves on a worker suffers, and not by fillers.

    Args:
        readings: Of the images that serve there.
        explained: What fillers there are expected to add to the logarithm.
    """
    if not readings:
        return False
    if all(reading.typical >= SICK_SURELY for reading in readings):
        return True
    if explained > EXPLAINED_MOST:
        return False
    return all(
        reading.typical >= SICK_FROM and reading.over_for >= SICK_AFTER
        for reading in readings
    )


def _is_at_work(run: Run) -> bool:
    return run.state is RunState.RUNNING and run.percent >= 100


def may_take_away(step: Step) -> bool:
    """True if one more task of a lasting step may be away by our doing."""
    most = step.spec.away_most
    if most is None:
        return True
    at_work = sum(
        any(_is_at_work(run) for run in task.runs.values())
        for task in step.tasks
    )
    return step.spec.width - at_work < most
