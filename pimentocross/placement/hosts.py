"""On which worker a task is started.

Load pattern: wide steps of small and large tasks beside tasks that serve and
tasks that fill. Tasks go where they fit tightest, so that room for large ones
is left elsewhere; tasks that fill go to workers that serve nobody first, then
to those where they are expected to do no harm, and wait if there is none.
"""

from collections.abc import Iterable, Mapping, Sequence
import math
from typing import Final, Protocol, TypeVar

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.placement.disturbance import Disturbance
from pimentocross.work.spec import Size, StepSpec
from pimentocross.work.state import Step, Task

# Penalties outweigh the fit, which is at most 3.
_NOT_NEAR: Final = 10.0
_FAILED_THERE: Final = 50.0
# Share of what serving tasks ask for that they use, as seen on played days.
SERVING_LOAD: Final = 0.42
# A task fills beside serving ones only if what fills there is expected to
# raise the logarithm of their tail by no more: from the usual 0.45 of the
# target to 0.67.
HARM_MOST: Final = 0.4
# A worker that serves nobody is taken after those that serve the same image,
# before those that serve others.
_SERVES_NOBODY: Final = 0.8


class Host(Protocol):
    """A worker as a place for tasks."""

    @property
    def life(self) -> WorkerLife:
        """As listed."""
        ...

    @property
    def number(self) -> int:
        """Its number in the roster."""
        ...

    @property
    def free(self) -> Size:
        """What is not committed."""
        ...

    @property
    def serving(self) -> Mapping[str, int]:
        """Processor time that serving tasks ask for, thousandths by image."""
        ...

    @property
    def filling(self) -> Mapping[str, int]:
        """The same of tasks that fill."""
        ...

    @property
    def filled(self) -> int:
        """Processor time that all tasks that fill ask for, thousandths."""
        ...

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may be on it."""
        ...


HostT = TypeVar("HostT", bound=Host)


def allows(host: Host, step: Step) -> bool:
    """True if a worker may run a step at all and has room for a task."""
    spec = step.spec
    if host.life.service != step.job.queue.service:
        return False
    if spec.label and spec.label not in host.life.labels:
        return False
    if spec.per_worker and host.count_of(step) >= spec.per_worker:
        return False
    return spec.committed.fits_in(host.free)


def choose(
    task: Task,
    hosts: Sequence[HostT],
    disturbance: Disturbance,
    rack: str = "",
) -> HostT | None:
    """Returns the best worker for a task, or None if none has room.

    Args:
        task: What is to be started.
        hosts: Workers that may be used.
        disturbance: What is known of pairs of images.
        rack: Rack that the step's other tasks are on, or "".
    """
    best: HostT | None = None
    least = math.inf
    for host in hosts:
        if not allows(host, task.step):
            continue
        cost = _fit(task.step.spec, host, disturbance)
        if cost < least:
            cost += _penalties(task, host, rack)
        if cost < least:
            best, least = host, cost
    return best


def left_over(host: Host) -> int:
    """Returns the processor time that more tasks that fill may ask for."""
    reserved = host.life.capacity.cpu - host.free.cpu
    serving = sum(host.serving.values())
    used = reserved - int(serving * (1 - SERVING_LOAD))
    return host.life.capacity.cpu - used - host.filled


def _fit(spec: StepSpec, host: Host, disturbance: Disturbance) -> float:
    """Returns how badly a task fits, infinite if it should not be there."""
    if spec.fills:
        return _fit_of_filler(spec, host, disturbance)
    fit = (host.free.cpu - spec.size.cpu) / max(host.life.capacity.cpu, 1)
    if spec.target_tail:
        fit += _strangeness(spec.image, host)
        fit += disturbance.added(spec.image, _loads(host))
    return fit


def _strangeness(image: str, host: Host) -> float:
    """Returns 0 for a host that serves just this image, up to 2 for others.

    The fewer images a worker serves, the more tasks may fill beside them.
    """
    whole = sum(host.serving.values())
    if not whole:
        return _SERVES_NOBODY
    others = 1.0 - host.serving.get(image, 0) / whole
    return 1.0 + others if others else 0.0


def _fit_of_filler(
    spec: StepSpec, host: Host, disturbance: Disturbance
) -> float:
    capacity = max(host.life.capacity.cpu, 1)
    left = left_over(host) - spec.size.cpu
    if left < 0:
        return math.inf
    fit = 1.0 - left / capacity
    if not host.serving:
        return fit
    if any(disturbance.is_bad(image, spec.image) for image in host.serving):
        return math.inf
    loads = _loads(host)
    loads[spec.image] = loads.get(spec.image, 0.0) + spec.size.cpu / capacity
    harm = max(disturbance.added(image, loads) for image in host.serving)
    return fit + 1.0 + harm if harm <= HARM_MOST else math.inf


def _loads(host: Host) -> dict[str, float]:
    capacity = max(host.life.capacity.cpu, 1)
    return {image: cpu / capacity for image, cpu in host.filling.items()}


def _penalties(task: Task, host: Host, rack: str) -> float:
    spec = task.step.spec
    penalties = 0.0
    if host.number in task.failed_on:
        penalties += _FAILED_THERE
    wanted_rack = spec.rack or (rack if spec.same_rack else "")
    if wanted_rack and host.life.rack != wanted_rack:
        penalties += _NOT_NEAR
    return penalties


def common_rack(tasks: Iterable[Task], rack_of: Mapping[int, str]) -> str:
    """Returns the rack that most runs of a step's tasks are on, or ""."""
    counts: dict[str, int] = {}
    for task in tasks:
        for run in task.runs.values():
            rack = rack_of.get(run.worker, "")
            counts[rack] = counts.get(rack, 0) + 1
    return max(counts, key=lambda r: counts[r], default="")
