"""On which worker a task is started.

Load pattern: wide steps of small and large tasks beside tasks that serve and
tasks that fill. Tasks go where they fit tightest, so that room for large ones
is left elsewhere; tasks that fill keep away from those that serve, whose
response times they spoil.
"""

from collections.abc import Iterable, Sequence
from typing import Final, Protocol, TypeVar

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.work.spec import Size
from pimentocross.work.state import Step, Task

# Penalties outweigh the fit, which is at most 2 (processors and memory).
_NOT_NEAR: Final = 10.0
_DISTURBS: Final = 5.0
_FAILED_THERE: Final = 50.0


class Host(Protocol):
    """A worker as a place for tasks."""

    @property
    def number(self) -> int:
        """Its number in the roster."""
        ...

    @property
    def life(self) -> WorkerLife:
        """As listed."""
        ...

    @property
    def free(self) -> Size:
        """What is not committed."""
        ...

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may be on it."""
        ...

    @property
    def serves(self) -> bool:
        """True if a task with a target for its response times is on it."""
        ...

    @property
    def filled(self) -> int:
        """Processor time that tasks that fill ask for, thousandths."""
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


def choose(task: Task, hosts: Sequence[HostT], rack: str = "") -> HostT | None:
    """Returns the best worker for a task, or None if none has room.

    Args:
        task: What is to be started.
        hosts: Workers that may be used.
        rack: Rack that the step's other tasks are on, or "".
    """
    step = task.step
    fitting = [host for host in hosts if allows(host, step)]
    return min(
        fitting,
        key=lambda host: (_cost(task, host, rack), host.number),
        default=None,
    )


def _cost(task: Task, host: Host, rack: str) -> float:
    spec = task.step.spec
    capacity = max(host.life.capacity.cpu, 1)
    if spec.fills:
        # What fills gets what others leave: the emptiest is best.
        fit = 1.0 - (host.free.cpu - host.filled) / capacity
    else:
        fit = (host.free.cpu - spec.size.cpu) / capacity
    return fit + _penalties(task, host, rack)


def _penalties(task: Task, host: Host, rack: str) -> float:
    spec = task.step.spec
    penalties = 0.0
    if host.number in task.failed_on:
        penalties += _FAILED_THERE
    wanted_rack = spec.rack or (rack if spec.same_rack else "")
    if wanted_rack and host.life.rack != wanted_rack:
        penalties += _NOT_NEAR
    if (spec.fills and host.serves) or (spec.target_tail and host.filled):
        penalties += _DISTURBS
    return penalties


def common_rack(tasks: Iterable[Task], rack_of: dict[int, str]) -> str:
    """Returns the rack that most runs of a step's tasks are on, or ""."""
    counts: dict[str, int] = {}
    for task in tasks:
        for run in task.runs.values():
            rack = rack_of.get(run.worker, "")
            counts[rack] = counts.get(rack, 0) + 1
    return max(counts, key=lambda r: counts[r], default="")
