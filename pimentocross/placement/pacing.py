"""Sets the pace of best-effort runs so that serving tasks meet their targets.

A best-effort run (`fills`) uses only the processor time that is left over. Its
pace is the percentage of full speed at which it may work.

Load pattern: a best-effort task is started beside serving tasks and raises
their response times, by an amount that differs by pair of images and changes
within seconds. The reported tail latency of a serving task lags by half a
second and is imprecise. Once it exceeds a share of the target, the runs with
the greatest known effect are slowed just as much as needed. A rise that known
effects don't explain slows all best-effort runs, and a target that stays missed
stops them. Paces rise again, those of the most harmless runs first, as long as
the expected effect stays within the target.
"""

from collections.abc import Sequence
import math
from typing import Final, NamedTuple

from pimentocross.placement.disturbance import Disturbance

# Shares of the target at which paces are cut or raised, and those aimed at. A
# reading is off by about a tenth: one below 0.9 is most likely on target.
CUT_FROM_RATIO: Final = 0.9
CUT_TO_RATIO: Final = 0.7
RAISE_BELOW_RATIO: Final = 0.65
RAISE_TO_RATIO: Final = 0.75
# Factor for all paces once the target is missed without a known cause.
UNEXPLAINED_FACTOR: Final = 0.3
# ... for this many seconds: two readings in a row, and well before the 4 s
# after which users count as affected.
UNEXPLAINED_AFTER_SECONDS: Final = 1.2
# A target missed for this many seconds pauses all best-effort runs. Half of the
# shortest time after which users count as affected (4 s): an order takes 0.1 s
# to have an effect, the reading shows it after half a second, and an order may
# be lost.
STOP_AFTER_SECONDS: Final = 2.0
# A best-effort run with at most this pace does better on another worker.
MOVE_MAX_PACE: Final = 30
# Smaller changes, in percent of full speed, are not worth an order to the
# worker, except a pause of all runs or a return to full pace.
MIN_PACE_CHANGE: Final = 5
FULL_PACE: Final = 100
# Seconds between changes: a reading covers half a second and has to show the
# effect of the previous change first.
SETTLING_SECONDS: Final = 0.9


class Reading(NamedTuple):
    """Tail latencies of the tasks of a serving image on one worker.

    Attributes:
        image: The serving image.
        ratio: The highest tail latency over its target.
        median_ratio: The median of tail latency over target.
        over_for: Seconds for which the highest has exceeded its target.
    """

    image: str
    ratio: float
    median_ratio: float
    over_for: float = 0.0


class BestEffortRun(NamedTuple):
    """A run that uses only the processor time left over by others.

    Attributes:
        image: Image of its task.
        share: Share of the worker's processors that it requests.
        pace: Percentage of full speed at which it may work.
    """

    image: str
    share: float
    pace: int


def next_paces(
    readings: Sequence[Reading],
    runs: Sequence[BestEffortRun],
    disturbance: Disturbance,
) -> list[int]:
    """Returns the new pace of each best-effort run, in the given order.

    Args:
        readings: Readings of all serving images on the worker.
        runs: Best-effort runs on the worker, with their present paces.
        disturbance: Known effects of best-effort images on serving images.
    """
    if not readings:
        return [FULL_PACE for _ in runs]
    worst = max(readings, key=lambda reading: reading.ratio)
    if any(reading.over_for >= STOP_AFTER_SECONDS for reading in readings):
        return [0 for _ in runs]
    if worst.ratio >= CUT_FROM_RATIO:
        return _cut_paces(worst, runs, disturbance)
    if worst.ratio < RAISE_BELOW_RATIO:
        return _raise_paces(worst, readings, runs, disturbance)
    return [run.pace for run in runs]


def _cut_paces(
    worst: Reading, runs: Sequence[BestEffortRun], disturbance: Disturbance
) -> list[int]:
    """Cuts the paces of the runs with the greatest effect first."""
    excess = math.log(worst.ratio / CUT_TO_RATIO)
    paces = [run.pace for run in runs]
    effects = [
        disturbance.coefficient(worst.image, each.image)
        * each.share
        * each.pace
        / 100
        for each in runs
    ]
    for index in sorted(range(len(runs)), key=lambda i: -effects[i]):
        if excess <= 0 or effects[index] <= 0:
            break
        cut = min(excess, effects[index])
        paces[index] = int(paces[index] * (1 - cut / effects[index]))
        excess -= cut
    if excess > 0 and worst.over_for >= UNEXPLAINED_AFTER_SECONDS:
        paces = [int(pace * UNEXPLAINED_FACTOR) for pace in paces]
    return _without_small_changes(paces, runs)


def _raise_paces(
    worst: Reading,
    readings: Sequence[Reading],
    runs: Sequence[BestEffortRun],
    disturbance: Disturbance,
) -> list[int]:
    """Raises the paces of the runs with the smallest effect first."""
    headroom = math.log(RAISE_TO_RATIO / max(worst.ratio, 0.1))
    paces = [run.pace for run in runs]
    full_effects = [
        max(disturbance.coefficient(r.image, each.image) for r in readings)
        * each.share
        for each in runs
    ]
    for index in sorted(range(len(runs)), key=lambda i: full_effects[i]):
        missing = FULL_PACE - paces[index]
        if missing <= 0:
            continue
        added_effect = full_effects[index] * missing / 100
        share = (
            1.0
            if added_effect <= headroom
            else max(headroom, 0.0) / added_effect
        )
        paces[index] += int(missing * share)
        headroom -= added_effect * share
    return _without_small_changes(paces, runs)


def _without_small_changes(
    paces: list[int], runs: Sequence[BestEffortRun]
) -> list[int]:
    """Replaces paces that would hardly change by the present ones."""
    return [
        pace
        if abs(pace - run.pace) >= MIN_PACE_CHANGE or pace == FULL_PACE
        else run.pace
        for pace, run in zip(paces, runs, strict=True)
    ]
