"""Keeps capacity free for short tasks by holding back other work."""

from collections.abc import Iterable, Sequence
from weakref import WeakKeyDictionary

from pimentocross.owner.worker import Worker
from pimentocross.placement.headroom import MAX_HELD_BACK_SECONDS, Headroom
from pimentocross.work.state import Step


def is_short(step: Step) -> bool:
    """Returns whether a step is urgent and reserves capacity only briefly."""
    spec = step.spec
    return not (spec.fills or spec.lasting or step.job.queue.priority)


class CapacityReserve:
    """Holds back work that can wait or lasts, for a limited time.

    Attributes:
        share: CPU for which short tasks have priority over lasting ones, in
            thousandths of a core.
        short_cpu: CPU that short tasks have, in the same unit.
    """

    def __init__(self) -> None:
        """Initializes the reserve; no step is held back yet."""
        self.share = 0.0
        self.short_cpu = 0.0
        self._headroom = Headroom()
        self._waiting_since: WeakKeyDictionary[Step, float] = (
            WeakKeyDictionary()
        )

    def spare(
        self, workers: Sequence[Worker], steps: Iterable[Step], now: float
    ) -> float:
        """Returns the free CPU that work other than short tasks may take.

        Args:
            workers: The healthy workers.
            steps: All waiting steps.
            now: Present time, monotonic.

        Returns:
            Thousandths of a core; negative if the reserve isn't free.
        """
        short_cpu = sum(
            count * step.spec.size.cpu
            for worker in workers
            for step, count in worker.short_run_counts().items()
            if is_short(step)
        )
        waiting = sum(
            step.waiting_count * step.spec.size.cpu
            for step in steps
            if is_short(step)
        )
        self._headroom.note(short_cpu + waiting, now)
        capacity = sum(worker.life.capacity.cpu for worker in workers)
        free = sum(worker.free.cpu for worker in workers)
        self.share = self._headroom.wanted(capacity)
        self.short_cpu = short_cpu
        return free - self._headroom.missing(capacity, short_cpu)

    def is_held_back(self, step: Step, now: float) -> bool:
        """Returns whether a step must not use the reserve.

        A step may use it once it has waited for `MAX_HELD_BACK_SECONDS`.
        Steps with lasting tasks that have run before may always use it.
        """
        if not _respects_headroom(step) or _was_started_before(step):
            return False
        return self._waited_for(step, now) < MAX_HELD_BACK_SECONDS

    def needs_any_worker(self, step: Step, now: float) -> bool:
        """Returns whether a lasting step has waited too long for a worker.

        It may then be placed on a worker that isn't healthy.
        """
        if not step.spec.lasting:
            return False
        return self._waited_for(step, now) >= MAX_HELD_BACK_SECONDS

    def forget(self, step: Step) -> None:
        """Notes that all tasks of a step have been placed."""
        self._waiting_since.pop(step, None)

    def _waited_for(self, step: Step, now: float) -> float:
        return now - self._waiting_since.setdefault(step, now)


def _was_started_before(step: Step) -> bool:
    """Returns whether a waiting task of a lasting step has run before."""
    return step.spec.lasting and any(t.last_run for t in step.waiting())


def _respects_headroom(step: Step) -> bool:
    """Returns whether a step reserves capacity and is lasting or not urgent."""
    return not step.spec.fills and not is_short(step)
