"""On which worker a task is started.

Load pattern: wide steps of small and large tasks beside tasks that serve and
tasks that fill. Tasks go where they fit tightest, so that room for large ones
is left elsewhere; tasks that fill go to workers that serve nobody first, then
to those where they are expected to do no harm, and wait if there is none.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import Final, NamedTuple, TypeVar

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import Host, allows, left_over
from pimentocross.placement.layout import Compatibility, Outlook, bears
from pimentocross.placement.probes import Probes
from pimentocross.work.spec import StepSpec
from pimentocross.work.state import Task

# Penalties outweigh the fit, which is at most 3.
NOT_NEAR: Final = 10.0
FAILED_THERE: Final = 50.0
# A task fills beside serving ones only if what fills there is expected to
# raise the logarithm of their tail by no more: from the usual 0.45 of the
# target to 0.67.
HARM_MOST: Final = 0.4
# A worker that serves nobody is taken after those that serve the same image,
# before those that serve others.
_SERVES_NOBODY: Final = 0.8


# A worker where a doubtful pair would be tried again comes after all others.
_RETRY: Final = 5.0
# Closing a worker to what has no other room outweighs the fit.
_CLOSED: Final = 4.0
# What fills takes a worker that is open to what has no other room last.
_TAKEN_FROM_OTHERS: Final = 0.3

HostT = TypeVar("HostT", bound=Host)


class View(NamedTuple):
    """What is known beside the workers.

    Attributes:
        disturbance: Which images disturb which.
        outlook: What the workers' room is worth to what fills.
        probes: Pairs of images that are being tried.
    """

    disturbance: Disturbance
    outlook: Outlook
    probes: Probes


def plain_view(disturbance: Disturbance) -> View:
    """Returns a view in which there is room for all that fills."""
    outlook = Outlook({}, Compatibility((), disturbance))
    return View(disturbance, outlook, Probes(disturbance))


def choose(
    task: Task,
    hosts: Sequence[HostT],
    view: View,
    rack: str = "",
) -> HostT | None:
    """Returns the best worker for a task, or None if none has room.

    Args:
        task: What is to be started.
        hosts: Workers that may be used.
        view: What is known beside them.
        rack: Rack that the step's other tasks are on, or "".
    """
    best: HostT | None = None
    least = math.inf
    for host in hosts:
        if not allows(host, task.step):
            continue
        cost = fit(task.step.spec, host, view)
        if cost < least:
            cost += penalties(task, host, rack)
        if cost < least:
            best, least = host, cost
    return best


def fit(spec: StepSpec, host: Host, view: View) -> float:
    """Returns how badly a task fits, infinite if it should not be there."""
    if spec.fills:
        return _fit_of_filler(spec, host, view)
    cost = (host.free.cpu - spec.size.cpu) / max(host.life.capacity.cpu, 1)
    if spec.target_tail:
        cost += _strangeness(spec.image, host)
        cost += view.disturbance.expected_increase(spec.image, _loads(host))
        cost += _closing(spec, host, view.outlook)
    return cost


def _closing(spec: StepSpec, host: Host, outlook: Outlook) -> float:
    """Returns the cost of shutting out what fills, 0 to `_CLOSED`."""
    if outlook.is_plain:
        return 0.0
    lost = outlook.lost_by(host, spec.image, spec.size.cpu)
    return _CLOSED * lost / max(host.life.capacity.cpu, 1)


def _strangeness(image: str, host: Host) -> float:
    """Returns 0 for a host that serves just this image, up to 2 for others.

    The fewer images a worker serves, the more tasks may fill beside them.
    """
    whole = sum(host.serving.values())
    if not whole:
        return _SERVES_NOBODY
    others = 1.0 - host.serving.get(image, 0) / whole
    return 1.0 + others if others else 0.0


def _fit_of_filler(spec: StepSpec, host: Host, view: View) -> float:
    disturbance = view.disturbance
    capacity = max(host.life.capacity.cpu, 1)
    left = left_over(host) - spec.size.cpu
    if left < 0 or host.suffers:
        return math.inf
    wanted = view.outlook.wanted_by_others(host, spec.image)
    fit = 1.0 - left / capacity + _TAKEN_FROM_OTHERS * wanted
    serving = host.serving
    if not serving:
        return fit
    if not bears(serving, spec.image, disturbance):
        scarcity = view.outlook.scarcity(spec.image)
        if view.probes.may_retry(spec.image, host, scarcity):
            return fit + _RETRY
        return math.inf
    if not view.probes.allows(spec.image, host):
        return math.inf
    loads = _loads(host)
    loads[spec.image] = loads.get(spec.image, 0.0) + spec.size.cpu / capacity
    harm = max(disturbance.expected_increase(image, loads) for image in serving)
    return fit + 1.0 + harm if harm <= HARM_MOST else math.inf


class ShutOut(NamedTuple):
    """Serving images by which a filling image is kept out.

    Attributes:
        filling: The image that is kept out.
        bad: Those that surely suffer by it.
        surely: Those of them beside which it isn't tried again either.
        untried: Those beside which hardly anything was seen of it yet.
        on_trial: Those beside which it is being tried on enough workers.
    """

    filling: str
    bad: frozenset[str]
    surely: frozenset[str]
    untried: frozenset[str]
    on_trial: frozenset[str]

    @property
    def alone(self) -> frozenset[str]:
        """Those of which one is enough, whatever else is on a worker."""
        if self.bad == self.surely:
            return self.surely | self.on_trial
        return self.surely

    def shuts(self, host: Host) -> bool:
        """True if `fit` is infinite there.

        It says in sets what `fit` says a host at a time; the random days of
        the tests of `field` compare both.
        """
        serving = host.serving
        if not self.surely.isdisjoint(serving):
            return True
        hindering = self.on_trial
        if self.filling in host.filling:
            hindering = self.untried
        # Beside a pair that is tried again, one on trial is no hindrance.
        return not hindering.isdisjoint(serving) and self.bad.isdisjoint(
            serving
        )


def shut_out(spec: StepSpec, images: Iterable[str], view: View) -> ShutOut:
    """Returns by what a task that fills is kept out.

    Args:
        spec: The task's step.
        images: Serving images to look at.
        view: What is known of pairs.
    """
    known, filling = view.disturbance, spec.image
    is_retry_due = view.probes.is_retry_due(
        filling, view.outlook.scarcity(filling)
    )
    bad = frozenset(image for image in images if known.disturbs(image, filling))
    surely = frozenset(
        image
        for image in bad
        if not (is_retry_due and known.is_uncertain(image, filling))
    )
    untried = frozenset(
        image for image in images if known.is_untried(image, filling)
    )
    on_trial = frozenset(
        image for image in untried if view.probes.is_on_trial(image, filling)
    )
    return ShutOut(filling, bad, surely, untried, on_trial)


def _loads(host: Host) -> dict[str, float]:
    capacity = max(host.life.capacity.cpu, 1)
    return {image: cpu / capacity for image, cpu in host.filling.items()}


def penalties(task: Task, host: Host, rack: str) -> float:
    """Returns what speaks against a worker for one task of a step."""
    spec = task.step.spec
    cost = 0.0
    if host.number in task.failed_on:
        cost += FAILED_THERE
    wanted = wanted_rack(spec, rack)
    if wanted and host.life.rack != wanted:
        cost += NOT_NEAR
    return cost


def wanted_rack(spec: StepSpec, rack: str) -> str:
    """Returns the rack that a task should be on, or "".

    Args:
        spec: The task's step.
        rack: Rack that the step's other tasks are on, or "".
    """
    return spec.rack or (rack if spec.same_rack else "")


def common_rack(tasks: Iterable[Task], rack_of: Mapping[int, str]) -> str:
    """Returns the rack that most runs of a step's tasks are on, or ""."""
    counts: dict[str, int] = {}
    for task in tasks:
        for run in task.runs.values():
            rack = rack_of.get(run.worker, "")
            counts[rack] = counts.get(rack, 0) + 1
    return max(counts, key=lambda r: counts[r], default="")
