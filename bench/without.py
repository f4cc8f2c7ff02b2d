"""Runs an entry VM with one scheduling mechanism disabled.

Used for ablation measurements only; operators have no such setting. Usage:
`python without.py NAME`, where NAME is a key of `_MECHANISMS`.
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


def _do_nothing(*_: object, **__: object) -> None:
    return None


def _zero(*_: object, **__: object) -> float:
    return 0.0


def _one(*_: object, **__: object) -> float:
    return 1.0


def _false(*_: object, **__: object) -> bool:
    return False


def _true(*_: object, **__: object) -> bool:
    return True


def _zero_estimate(*_: object) -> Estimate:
    return Estimate(0.0, 0.0, 0.0)


def _full_paces(
    _: object, best_effort_runs: Sequence[Any], __: object
) -> list[int]:
    return [FULL_PACE for _ in best_effort_runs]


def _replace_attribute(
    holder: Any, name: str, value: Any
) -> Callable[[], None]:
    def disable() -> None:
        setattr(holder, name, value)

    return disable


_MECHANISMS = {
    "closing": _replace_attribute(hosts, "_lost_room_cost", _zero),
    "headroom": _replace_attribute(Headroom, "missing", _zero),
    "leaving-at-once": _replace_attribute(
        run_control.RunController, "_must_leave", _false
    ),
    "margin": _replace_attribute(urgency, "MARGIN", 0.0),
    "levels": _replace_attribute(Disturbance, "_level", _zero_estimate),
    "moves": _replace_attribute(Rebalancer, "_move", _do_nothing),
    "outlook": _replace_attribute(Rebalancer, "pass_over", _do_nothing),
    "pacing": _replace_attribute(run_control, "next_paces", _full_paces),
    "pairs": _replace_attribute(Disturbance, "learn", _do_nothing),
    "probes": _replace_attribute(Probes, "allows", _true),
    "quarantine": _replace_attribute(Quarantine, "admits", _true),
    "reclaim": _replace_attribute(Reclaimer, "pass_over", _do_nothing),
    "retries": _replace_attribute(Probes, "may_retry", _false),
    "same-image": _replace_attribute(hosts, "_image_mix_cost", _zero),
    "sickness": _replace_attribute(learned, "is_sick", _false),
    "slowness": _replace_attribute(soundness.Speeds, "is_slow", _false),
    "stalls": _replace_attribute(run_control, "is_stalled", _false),
    "wide-steps": _replace_attribute(Durations, "_slowest", _one),
    "yielding-to-others": _replace_attribute(
        CapacityValue, "scarcity_for_others", _zero
    ),
}

if __name__ == "__main__":
    _MECHANISMS[sys.argv[1]]()
    sys.argv[1:] = []
    sys.exit(main())
