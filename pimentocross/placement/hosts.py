"""Chooses the worker on which a task is started.

Serving tasks have a target for their response times. Best-effort tasks
(`fills`) use the processor time that other tasks reserve and leave unused.

Load pattern: wide steps of small and large tasks run beside serving and
best-effort tasks. A task goes to the worker with the tightest fit, which leaves
room for large tasks on the others. A best-effort task goes to a worker without
serving tasks if there is one, else to a worker whose serving tasks it is not
expected to slow too much, else it waits.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import Final, NamedTuple, TypeVar

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import Host, allows, left_over
from pimentocross.placement.layout import (
    CapacityValue,
    Compatibility,
    tolerates,
)
from pimentocross.placement.probes import Probes
from pimentocross.work.spec import StepSpec
from pimentocross.work.state import Task

# Added to the fit, which is at most 3, so that penalties outweigh it.
OTHER_RACK_PENALTY: Final = 10.0
FAILED_THERE_PENALTY: Final = 50.0
# Highest increase of the logarithm of a serving image's tail latency that all
# best-effort tasks on the worker may be expected to cause. An increase of 0.4
# raises the tail from the usual 0.45 of its target to 0.67.
MAX_HARM: Final = 0.4
# Cost of a worker without serving tasks: between the cost of a worker that
# serves only the same image (0) and that of one that serves others (above 1).
_NOT_SERVING_COST: Final = 0.8
# Ranks a worker on which a pair of images would be retried behind all others.
_RETRY_PENALTY: Final = 5.0
# Highest cost of making a worker unusable for scarce best-effort images. It
# outweighs the fit.
_MAX_CLOSING_COST: Final = 4.0
# Weight of the scarcity of room for other best-effort images that could use the
# worker. A best-effort task takes workers that scarcer images need last.
_OTHERS_SCARCITY_WEIGHT: Final = 0.3

HostT = TypeVar("HostT", bound=Host)


class PlacementContext(NamedTuple):
    """Knowledge beyond the workers themselves that placement uses.

    Attributes:
        disturbance: Estimates of how much each best-effort image slows each
            serving image.
        capacity_value: Values the workers' room for best-effort tasks.
        probes: Pairs of images that run together to learn how they interfere.
    """

    disturbance: Disturbance
    capacity_value: CapacityValue
    probes: Probes


def unconstrained_context(disturbance: Disturbance) -> PlacementContext:
    """Returns a context in which no best-effort image lacks room."""
    capacity_value = CapacityValue({}, Compatibility((), disturbance))
    return PlacementContext(disturbance, capacity_value, Probes(disturbance))


def choose(
    task: Task,
    hosts: Sequence[HostT],
    context: PlacementContext,
    rack: str = "",
) -> HostT | None:
    """Returns the best worker for a task, or None if none has room.

    Args:
        task: The task to start.
        hosts: Workers that may be used.
        context: Interference, value of room and probes.
        rack: Rack that the step's other tasks are on, or "".
    """
    best: HostT | None = None
    least = math.inf
    for host in hosts:
        if not allows(host, task.step):
            continue
        cost = fit(task.step.spec, host, context)
        if cost < least:
            cost += penalties(task, host, rack)
        if cost < least:
            best, least = host, cost
    return best


def fit(spec: StepSpec, host: Host, context: PlacementContext) -> float:
    """Returns the cost of a worker for a task: lower fits better.

    It is infinite if a best-effort task must not start on the worker.
    """
    if spec.fills:
        return _best_effort_fit(spec, host, context)
    cost = (host.free.cpu - spec.size.cpu) / max(host.life.capacity.cpu, 1)
    if spec.target_tail:
        cost += _image_mix_cost(spec.image, host)
        cost += context.disturbance.expected_increase(spec.image, _loads(host))
        cost += _lost_room_cost(spec, host, context.capacity_value)
    return cost


def _lost_room_cost(
    spec: StepSpec, host: Host, capacity_value: CapacityValue
) -> float:
    """Returns the cost of best-effort room lost, 0 to `_MAX_CLOSING_COST`."""
    if capacity_value.is_unconstrained:
        return 0.0
    lost = capacity_value.value_lost_to(host, spec.image, spec.size.cpu)
    return _MAX_CLOSING_COST * lost / max(host.life.capacity.cpu, 1)


def _image_mix_cost(image: str, host: Host) -> float:
    """Returns the cost of mixing a serving image with others, 0 to 2.

    It is 0 for a worker that serves only this image. The fewer images a worker
    serves, the more best-effort tasks are compatible with it.
    """
    serving_cpu = sum(host.serving.values())
    if not serving_cpu:
        return _NOT_SERVING_COST
    others = 1.0 - host.serving.get(image, 0) / serving_cpu
    return 1.0 + others if others else 0.0


def _best_effort_fit(
    spec: StepSpec, host: Host, context: PlacementContext
) -> float:
    disturbance = context.disturbance
    capacity = max(host.life.capacity.cpu, 1)
    left = left_over(host) - spec.size.cpu
    if left < 0 or host.misses_target:
        return math.inf
    others_scarcity = context.capacity_value.scarcity_for_others(
        host, spec.image
    )
    fit = 1.0 - left / capacity + _OTHERS_SCARCITY_WEIGHT * others_scarcity
    serving = host.serving
    if not serving:
        return fit
    if not tolerates(serving, spec.image, disturbance):
        scarcity = context.capacity_value.scarcity(spec.image)
        if context.probes.may_remeasure(spec.image, host, scarcity):
            return fit + _RETRY_PENALTY
        return math.inf
    if not context.probes.allows(spec.image, host):
        return math.inf
    loads = _loads(host)
    loads[spec.image] = loads.get(spec.image, 0.0) + spec.size.cpu / capacity
    harm = max(disturbance.expected_increase(image, loads) for image in serving)
    return fit + 1.0 + harm if harm <= MAX_HARM else math.inf


class Exclusions(NamedTuple):
    """Serving images that keep a best-effort image off a worker.

    Attributes:
        filling: The best-effort image.
        disturbed: Serving images that it certainly slows.
        not_retried: Those of `disturbed` beside which it is not retried.
        untried: Serving images beside which it has hardly been measured.
        on_trial: Those of `untried` beside which it already runs on as many
            workers as a trial may use.
    """

    filling: str
    disturbed: frozenset[str]
    not_retried: frozenset[str]
    untried: frozenset[str]
    on_trial: frozenset[str]

    @property
    def individually_blocking(self) -> frozenset[str]:
        """Serving images that block a worker whatever else runs on it."""
        if self.disturbed == self.not_retried:
            return self.not_retried | self.on_trial
        return self.not_retried

    def excludes(self, host: Host) -> bool:
        """True if `fit` is infinite on a worker because of these images.

        It repeats with sets the rule that `fit` applies to one worker at a
        time. `tests/test_field.py` compares both on random loads.
        """
        serving = host.serving
        if not self.not_retried.isdisjoint(serving):
            return True
        blocking = self.on_trial
        if self.filling in host.filling:
            blocking = self.untried
        # An untried pair does not block a worker on which a disturbed pair is
        # retried.
        return not blocking.isdisjoint(serving) and self.disturbed.isdisjoint(
            serving
        )


def exclusions_for(
    spec: StepSpec, images: Iterable[str], context: PlacementContext
) -> Exclusions:
    """Returns the serving images that exclude a best-effort task.

    Args:
        spec: The task's step.
        images: Serving images to check.
        context: Interference, scarcity and probes of image pairs.
    """
    known, filling = context.disturbance, spec.image
    is_retry_due = context.probes.is_retry_due(
        filling, context.capacity_value.scarcity(filling)
    )
    disturbed = frozenset(
        image for image in images if known.disturbs(image, filling)
    )
    not_retried = frozenset(
        image
        for image in disturbed
        if not (is_retry_due and known.is_uncertain(image, filling))
    )
    untried = frozenset(
        image for image in images if known.is_untried(image, filling)
    )
    on_trial = frozenset(
        image for image in untried if context.probes.is_on_trial(image, filling)
    )
    return Exclusions(filling, disturbed, not_retried, untried, on_trial)


def _loads(host: Host) -> dict[str, float]:
    capacity = max(host.life.capacity.cpu, 1)
    return {image: cpu / capacity for image, cpu in host.filling.items()}


def penalties(task: Task, host: Host, rack: str) -> float:
    """Returns the cost of an earlier failure on a worker and of its rack."""
    spec = task.step.spec
    cost = 0.0
    if host.number in task.failed_on:
        cost += FAILED_THERE_PENALTY
    wanted = wanted_rack(spec, rack)
    if wanted and host.life.rack != wanted:
        cost += OTHER_RACK_PENALTY
    return cost


def wanted_rack(spec: StepSpec, rack: str) -> str:
    """Returns the preferred rack of a task, or "".

    Args:
        spec: The task's step.
        rack: Rack that the step's other tasks are on, or "".
    """
    return spec.rack or (rack if spec.same_rack else "")


def rack_with_most_runs(
    tasks: Iterable[Task], rack_of: Mapping[int, str]
) -> str:
    """Returns the rack with the most runs of the tasks, "" without runs."""
    counts: dict[str, int] = {}
    for task in tasks:
        for run in task.runs.values():
            rack = rack_of.get(run.worker, "")
            counts[rack] = counts.get(rack, 0) + 1
    return max(counts, key=lambda r: counts[r], default="")
