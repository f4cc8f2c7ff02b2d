"""Totals of a process that only grow, for its metrics page."""

from collections.abc import Mapping
import time
from typing import Final

PASSES: Final = "passes_total"
PASS_SECONDS: Final = "pass_seconds_total"
HOLDS: Final = "holds_total"
LOOP_LATE: Final = "loop_late_seconds_total"
_PROCESSOR: Final = "processor_seconds_total"
_totals: Final[dict[str, float]] = {}


def add(name: str, amount: float = 1.0) -> None:
    """Adds to a total; labels are part of its name."""
    _totals[name] = _totals.get(name, 0.0) + amount


def add_pass(seconds: float) -> None:
    """Counts a pass of decisions, which nothing else runs beside."""
    add(PASSES)
    add(PASS_SECONDS, seconds)


def add_unanswered(call: str) -> None:
    """Counts a call to a worker that was given up."""
    add(f'calls_unanswered_total{{call="{call}"}}')


def add_taken_in(kind: str) -> None:
    """Counts what an entry VM stored for an owner that it could not ask."""
    add(f'intake_stored_total{{kind="{kind}"}}')


def add_taken_up(kind: str) -> None:
    """Counts what an owner took up that entry VMs had stored."""
    add(f'intake_taken_up_total{{kind="{kind}"}}')


def total(name: str) -> float:
    """Returns a total."""
    return _totals.get(name, 0.0)


def totals() -> Mapping[str, float]:
    """Returns all totals by name."""
    return _totals | {_PROCESSOR: time.process_time()}
