"""Monotonic counters of a process, for its metrics page."""

from collections.abc import Mapping
import time
from typing import Final

PASSES: Final = "passes_total"
PASS_SECONDS: Final = "pass_seconds_total"
# Counts the calls to workers that renew their leases and list their runs.
HOLDS: Final = "holds_total"
LOOP_LATE: Final = "loop_late_seconds_total"
_CPU_SECONDS: Final = "processor_seconds_total"
_totals: Final[dict[str, float]] = {}


def add(name: str, amount: float = 1.0) -> None:
    """Increases a counter; its labels are part of its name."""
    _totals[name] = _totals.get(name, 0.0) + amount


def add_pass(seconds: float) -> None:
    """Counts a scheduling pass, which blocks the event loop."""
    add(PASSES)
    add(PASS_SECONDS, seconds)


def add_unanswered(call: str) -> None:
    """Counts a call to a worker that got no answer in time."""
    add(f'calls_unanswered_total{{call="{call}"}}')


def add_withheld(reason: str, seconds: float) -> None:
    """Counts the seconds for which a worker or a zone got no new tasks."""
    add(f'withheld_seconds_total{{reason="{reason}"}}', seconds)


def add_unreadable(topic: str) -> None:
    """Counts a record of a topic that was ignored as it can't be decoded."""
    add(f'records_unreadable_total{{topic="{topic}"}}')


def add_intake_stored(kind: str) -> None:
    """Counts a request stored by an entry VM that can't reach the owner."""
    add(f'intake_stored_total{{kind="{kind}"}}')


def add_intake_processed(kind: str) -> None:
    """Counts a request that entry VMs stored and an owner processed."""
    add(f'intake_taken_up_total{{kind="{kind}"}}')


def total(name: str) -> float:
    """Returns the value of a counter."""
    return _totals.get(name, 0.0)


def totals() -> Mapping[str, float]:
    """Returns the values of all counters by name."""
    return _totals | {_CPU_SECONDS: time.process_time()}
