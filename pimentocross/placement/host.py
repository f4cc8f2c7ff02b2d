"""A worker as a place for tasks, and what still fits on it."""

from collections.abc import Mapping
from typing import Final, Protocol

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.work.spec import Size
from pimentocross.work.state import Step

# Share of what serving tasks ask for that they use.
SERVING_LOAD: Final = 0.42


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

    @property
    def suffers(self) -> bool:
        """True if a task that serves there is over its target."""
        ...

    @property
    def is_isolating(self) -> bool:
        """True while an isolated run keeps others off."""
        ...

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may be on it."""
        ...


def may_run(host: Host, step: Step) -> bool:
    """True if a worker may run one more task of a step, if it has room."""
    spec = step.spec
    if host.is_isolating:
        return False
    if host.life.service != step.job.queue.service:
        return False
    if spec.label and spec.label not in host.life.labels:
        return False
    return not spec.per_worker or host.count_of(step) < spec.per_worker


def allows(host: Host, step: Step) -> bool:
    """True if a worker may run a step at all and has room for a task."""
    return may_run(host, step) and step.spec.committed.fits_in(host.free)


def left_over(host: Host) -> int:
    """Returns the processor time that more tasks that fill may ask for."""
    return left_to_fill(host) - host.filled


def left_to_fill(host: Host) -> int:
    """Returns the processor time that all tasks that fill may ask for."""
    reserved = host.life.capacity.cpu - host.free.cpu
    serving = sum(host.serving.values())
    used = reserved - int(serving * (1 - SERVING_LOAD))
    return host.life.capacity.cpu - used
