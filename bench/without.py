"""Runs an entry VM with one mechanism of the decisions switched off.

For ablations only: operators have no such switch. `python without.py NAME`.
"""

from collections.abc import Callable, Sequence
import sys
from typing import Any

from pimentocross.owner import learned, run_control
from pimentocross.owner.rebalancer import Rebalancer
from pimentocross.owner.reclaimer import Reclaimer
from pimentocross.placement import hosts, soundness, urgency
from pimentocross.placement.disturbance import Disturbance, Estimate
from pimentocross.placement.durations import Durations
from pimentocross.placement.headroom import Headroom
from pimentocross.placement.layout import CapacityValue
from pimentocross.placement.pacing import FULL_PACE
from pimentocross.placement.probes import Probes
from pimentocross.placement.quarantine import Quarantine
from pimentocross.platform.__main__ import main


def _nothing(*_: object, **__: object) -> None:
    return None


def _zero(*_: object, **__: object) -> float:
    return 0.0


def _one(*_: object, **__: object) -> float:
    return 1.0


def _false(*_: object, **__: object) -> bool:
    return False


def _true(*_: object, **__: object) -> bool:
    return True


def _no_level(*_: object) -> Estimate:
    return Estimate(0.0, 0.0, 0.0)


def _full(_: object, fillers: Sequence[Any], __: object) -> list[int]:
    return [FULL_PACE for _ in fillers]


def _put(place: Any, name: str, value: Any) -> Callable[[], None]:
    def switch_off() -> None:
        setattr(place, name, value)

    return switch_off


_MECHANISMS = {
    "closing": _put(hosts, "_closing", _zero),
    "headroom": _put(Headroom, "missing", _zero),
    "leaving-at-once": _put(run_control.RunController, "_must_leave", _false),
    "margin": _put(urgency, "MARGIN", 0.0),
    "levels": _put(Disturbance, "_level", _no_level),
    "moves": _put(Rebalancer, "_move", _nothing),
    "outlook": _put(Rebalancer, "pass_over", _nothing),
    "pacing": _put(run_control, "next_paces", _full),
    "pairs": _put(Disturbance, "learn", _nothing),
    "probes": _put(Probes, "allows", _true),
    "quarantine": _put(Quarantine, "admits", _true),
    "reclaim": _put(Reclaimer, "pass_over", _nothing),
    "retries": _put(Probes, "may_remeasure", _false),
    "same-image": _put(hosts, "_strangeness", _zero),
    "sickness": _put(learned, "is_sick", _false),
    "slowness": _put(soundness.Speeds, "is_slow", _false),
    "stalls": _put(run_control, "is_stalled", _false),
    "wide-steps": _put(Durations, "_slowest", _one),
    "yielding-to-others": _put(CapacityValue, "wanted_by_others", _zero),
}

if __name__ == "__main__":
    _MECHANISMS[sys.argv[1]]()
    sys.argv[1:] = []
    sys.exit(main())
