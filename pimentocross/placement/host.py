"""The view of a worker that placement needs, and what still fits on it."""

from collections.abc import Mapping
from typing import Final, Protocol

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.work.spec import Size
from pimentocross.work.state import Step

# Share of their reserved processor time that serving tasks use.
SERVING_USE_SHARE: Final = 0.42


class Host(Protocol):
    """A worker with its capacity, its load and its restrictions."""

    @property
    def life(self) -> WorkerLife:
        """The worker life as listed by the directory."""
        ...

    @property
    def number(self) -> int:
        """The worker's number in the roster."""
        ...

    @property
    def free(self) -> Size:
        """Resources that are not committed."""
        ...

    @property
    def serving(self) -> Mapping[str, int]:
        """Processor time requested by serving tasks, by image.

        In thousandths of a core.
        """
        ...

    @property
    def filling(self) -> Mapping[str, int]:
        """Processor time requested by best-effort tasks, by image.

        In thousandths of a core.
        """
        ...

    @property
    def best_effort_cpu(self) -> int:
        """Processor time requested by all best-effort tasks.

        In thousandths of a core.
        """
        ...

    @property
    def misses_target(self) -> bool:
        """True if a serving task on the worker exceeds its target."""
        ...

    @property
    def is_isolating(self) -> bool:
        """True while an isolated run excludes other tasks."""
        ...

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may exist on the worker."""
        ...


def may_run(host: Host, step: Step) -> bool:
    """True if a worker may run one more task of a step, room aside."""
    spec = step.spec
    if host.is_isolating:
        return False
    if host.life.service != step.job.queue.service:
        return False
    if spec.label and spec.label not in host.life.labels:
        return False
    return not spec.per_worker or host.count_of(step) < spec.per_worker


def allows(host: Host, step: Step) -> bool:
    """True if a worker may run a task of a step and has room for it."""
    return may_run(host, step) and step.spec.committed.fits_in(host.free)


def left_over(host: Host) -> int:
    """Returns the processor time left for more best-effort tasks.

    In thousandths of a core.
    """
    return best_effort_cpu_limit(host) - host.best_effort_cpu


def best_effort_cpu_limit(host: Host) -> int:
    """Returns the processor time that best-effort tasks may request in all.

    This is what other tasks have not reserved, plus what serving tasks reserve
    and leave unused, in thousandths of a core.
    """
    reserved = host.life.capacity.cpu - host.free.cpu
    serving = sum(host.serving.values())
    used = reserved - int(serving * (1 - SERVING_USE_SHARE))
    return host.life.capacity.cpu - used
