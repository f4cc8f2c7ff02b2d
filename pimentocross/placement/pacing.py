"""How fast tasks that fill may work beside tasks that serve.

Load pattern: a task that fills is started beside serving tasks whose response
times it spoils, by an amount that differs by pair and changes within seconds.
The figure of a serving task is late by half a second and rough. A serving
task over its target slows all that fills on its worker sharply; speed comes
back in steps while every figure is well under its target.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

# Share of the target from which fillers are slowed, and down to which they
# may speed up: the figure is rough by about a tenth.
SLOW_FROM: Final = 0.85
FAST_BELOW: Final = 0.6
SLOW_FACTOR: Final = 0.4
FAST_STEP: Final = 20
# Under this share of full speed a filler is held still.
LEAST_PACE: Final = 10
FULL_PACE: Final = 100
# A figure covers half a second: changes wait until it shows the last one.
SETTLE: Final = 0.9


class Reading(NamedTuple):
    """A serving task's figure and its target, both in milliseconds."""

    tail: int
    target: int


def next_pace(readings: Sequence[Reading], pace: int, since: float) -> int:
    """Returns the percent at which tasks that fill may work.

    Args:
        readings: Of the serving tasks on the worker.
        pace: At which they work now.
        since: Seconds since that was last changed.
    """
    if since < SETTLE:
        return pace
    worst = max((r.tail / r.target for r in readings), default=0.0)
    if worst >= SLOW_FROM:
        slower = int(pace * SLOW_FACTOR)
        return slower if slower >= LEAST_PACE else 0
    if worst < FAST_BELOW:
        return min(pace + FAST_STEP, FULL_PACE)
    return pace
