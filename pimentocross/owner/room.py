"""Keeps room free for short work from work that can wait."""

from collections.abc import Iterable, Sequence
from weakref import WeakKeyDictionary

from pimentocross.owner.worker import Worker
from pimentocross.placement.headroom import HELD_BACK_MOST, Headroom
from pimentocross.work.state import Step


def is_short(step: Step) -> bool:
    """True for urgent work that reserves its room for a short time."""
    spec = step.spec
    return not (spec.fills or spec.lasting or step.job.queue.priority)


class RoomKeeper:
    """Holds back what takes room for long, for a while.

    Attributes:
        share: What short work may have before what lasts, thousandths.
        taken: What it has.
    """

    def __init__(self) -> None:
        """Has held nothing back yet."""
        self.share = 0.0
        self.taken = 0.0
        self._headroom = Headroom()
        self._held_back: WeakKeyDictionary[Step, float] = WeakKeyDictionary()

    def spare(
        self, workers: Sequence[Worker], steps: Iterable[Step], now: float
    ) -> float:
        """Returns what work that can wait may take of the free room.

        Args:
            workers: Those in use.
            steps: All that wait.
            now: Present time.
        """
        taken = sum(
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
        self._headroom.note(taken + waiting, now)
        capacity = sum(worker.life.capacity.cpu for worker in workers)
        free = sum(worker.free.cpu for worker in workers)
        self.share = self._headroom.wanted(capacity)
        self.taken = taken
        return free - self._headroom.missing(capacity, taken)

    def is_held_back(self, step: Step, now: float) -> bool:
        """True for work that leaves the headroom free, for a while."""
        if not _leaves_headroom(step) or _has_run(step):
            return False
        return self._held_for(step, now) < HELD_BACK_MOST

    def needs_any_worker(self, step: Step, now: float) -> bool:
        """True for tasks that last and have waited long for a sound worker."""
        if not step.spec.lasting:
            return False
        return self._held_for(step, now) >= HELD_BACK_MOST

    def forget(self, step: Step) -> None:
        """Notes that a step has all its room."""
        self._held_back.pop(step, None)

    def _held_for(self, step: Step, now: float) -> float:
        return now - self._held_back.setdefault(step, now)


def _has_run(step: Step) -> bool:
    """True if a task waits that was taken from its place."""
    return step.spec.lasting and any(t.last_run for t in step.waiting())


def _leaves_headroom(step: Step) -> bool:
    """True for work that reserves room and isn't urgent, or keeps it long."""
    return not step.spec.fills and not is_short(step)
