"""Detects workers that are impaired although their health reports are good.

Load pattern: for some seconds, a few workers take several times as long for
every task, or raise the response times of all serving tasks on them, while
their own health reports are good. Their tasks do better on other workers, and
new tasks should not be placed there.
"""

from collections.abc import Sequence
import statistics
from typing import Final, NamedTuple

from pimentocross.placement.pacing import Reading
from pimentocross.work.state import Run, RunState, Step

# Estimates of jobs are off by a factor of 2.5: if the median speed over several
# jobs is a third of that on other workers, the worker is the likely cause.
SLOW_BELOW: Final = 0.33
MIN_SLOW_JOBS: Final = 2
# In queues with a tail of long tasks, a worker counts as slow only if so many
# slow jobs are less likely than this on a healthy worker: the tasks of a worker
# that counts as slow are started again.
_MAX_PROBABILITY_HEALTHY: Final = 0.02
# Other workers needed for a comparison, and maximum age of their speeds in
# seconds.
MIN_OTHER_WORKERS: Final = 3
_SPEED_MAX_AGE: Final = 3.0
# The speed of a run is measured from this age on.
MIN_MEASURED_SECONDS: Final = 0.7
# On a healthy worker, single serving images exceed their targets by chance now
# and then. If all of them exceed theirs by this factor, the worker is the
# cause.
IMPAIRED_RATIO: Final = 1.5
# ... if this lasts for so many seconds, which is three readings, and
# best-effort tasks explain no more than so much of the logarithm of the tail
# latency.
IMPAIRED_AFTER_SECONDS: Final = 1.2
MAX_EXPLAINED: Final = 0.3
# Best-effort tasks never raise a tail latency by this factor, workers that hang
# do: one reading is enough.
HANGING_RATIO: Final = 40.0


class Progress(NamedTuple):
    """Progress of a run.

    Attributes:
        job: Job id; all estimates of one job may be wrong by the same factor.
        expected: Expected duration of the task, seconds.
        percent: Progress of the run.
        elapsed: Seconds in which the run reached this progress.
        long_task_probability: Probability that a task of this age is a long
            one, which looks slow on a healthy worker, too.
    """

    job: str
    expected: float
    percent: int
    elapsed: float
    long_task_probability: float = 0.0

    @property
    def speed(self) -> float:
        """Speed relative to the expected one, which is 1."""
        return self.expected * self.percent / 100 / self.elapsed

    @property
    def left(self) -> float:
        """Seconds until the end of the run at its present speed."""
        return self.elapsed * (100 - self.percent) / max(self.percent, 1)


class Speeds:
    """Compares the speed of each worker with that of the others.

    All workers look slow while they are overloaded or while estimates are too
    low, so an absolute limit is not enough.
    """

    def __init__(self) -> None:
        """Initializes the comparison without any speeds."""
        self._speeds: dict[int, _Speed] = {}

    def is_slow(
        self, worker: int, runs: Sequence[Progress], now: float
    ) -> bool:
        """Records the speed of a worker and returns whether it is too slow.

        Args:
            worker: Number of the worker.
            runs: Runs on the worker.
            now: Present time.
        """
        measured = [run for run in runs if run.elapsed >= MIN_MEASURED_SECONDS]
        if len({run.job for run in measured}) < MIN_SLOW_JOBS:
            return False
        speed = statistics.median([run.speed for run in measured])
        self._speeds[worker] = _Speed(speed, now)
        if speed >= SLOW_BELOW:
            # Other workers count as no faster than expected, so a comparison
            # with all of them, for each report, can be skipped.
            return False
        others = [
            known.speed
            for number, known in self._speeds.items()
            if number != worker and now - known.measured_at <= _SPEED_MAX_AGE
        ]
        if len(others) < MIN_OTHER_WORKERS:
            return False
        usual = min(statistics.median(others), 1.0)
        if speed >= SLOW_BELOW * usual:
            return False
        return (
            _probability_of_long_jobs(measured, SLOW_BELOW * usual)
            <= _MAX_PROBABILITY_HEALTHY
        )


class _Speed(NamedTuple):
    speed: float
    measured_at: float


def _probability_of_long_jobs(
    runs: Sequence[Progress], slow_below: float
) -> float:
    """Returns the probability that as many jobs are slow by long tasks alone.

    Tasks of one job are assumed to be long together.

    Args:
        runs: Measured runs of one worker.
        slow_below: Speed below which a job counts as slow.

    Returns:
        The probability, 0 if no run may be of a long task: then the median
        speed alone decides.
    """
    if not any(run.long_task_probability for run in runs):
        return 0.0
    jobs: dict[str, list[Progress]] = {}
    for run in runs:
        jobs.setdefault(run.job, []).append(run)
    slow = 0
    # At index n, the probability that n of the jobs so far are long.
    probabilities = [1.0] + [0.0] * len(jobs)
    for found in jobs.values():
        slow += statistics.median([run.speed for run in found]) < slow_below
        long_task_probability = max(run.long_task_probability for run in found)
        for count in range(len(jobs), 0, -1):
            fewer = probabilities[count - 1] * long_task_probability
            probabilities[count] = (
                probabilities[count] * (1 - long_task_probability) + fewer
            )
        probabilities[0] *= 1 - long_task_probability
    return sum(probabilities[slow:])


def is_sick(readings: Sequence[Reading], explained: float) -> bool:
    """Returns whether all serving images suffer because of the worker.

    False if best-effort tasks explain their tail latencies.

    Args:
        readings: Readings of all serving images on the worker.
        explained: Rise of the logarithm of the tail latency that is expected
            from the best-effort tasks on the worker.
    """
    if not readings:
        return False
    if all(reading.median_ratio >= HANGING_RATIO for reading in readings):
        return True
    if explained > MAX_EXPLAINED:
        return False
    return all(
        reading.median_ratio >= IMPAIRED_RATIO
        and reading.over_for >= IMPAIRED_AFTER_SECONDS
        for reading in readings
    )


def _is_at_work(run: Run) -> bool:
    return run.state is RunState.RUNNING and run.percent >= 100


def may_evict_task(step: Step) -> bool:
    """Returns whether one more task of a lasting step may be evicted.

    `away_most` bounds how many tasks of the step may be absent because of the
    scheduler at a time.
    """
    limit = step.spec.away_most
    if limit is None:
        return True
    at_work = sum(
        any(_is_at_work(run) for run in task.runs.values())
        for task in step.tasks
    )
    return step.spec.width - at_work < limit
