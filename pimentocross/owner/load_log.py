"""Logs the load of the workers and the waiting tasks periodically."""

from collections.abc import Iterable, Sequence
from typing import Final

from pimentocross.observe.decisions import note
from pimentocross.owner.capacity_reserve import CapacityReserve
from pimentocross.owner.worker import Worker
from pimentocross.placement.host import left_over
from pimentocross.work.state import Step

# Seconds between two log lines.
_LOG_INTERVAL: Final = 1.0


class LoadLog:
    """Writes at most one log line a second."""

    def __init__(self) -> None:
        """Initializes a log whose first line is due."""
        self._logged_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether the next line may be written."""
        return now - self._logged_at >= _LOG_INTERVAL

    def write(
        self,
        workers: Sequence[Worker],
        closed: int,
        steps: Iterable[Step],
        reserve: CapacityReserve,
        unreachable: Iterable[Step],
        now: float,
    ) -> None:
        """Writes a log line.

        Args:
            workers: Workers in use.
            closed: Capacity in zones that take no new tasks, millicores.
            steps: All waiting steps.
            reserve: Capacity that short runs use and may use.
            unreachable: The step of each run on an unreachable worker.
            now: Current monotonic time.
        """
        self._logged_at = now
        runs = [(t, r) for w in workers for t, r in w.running()]
        waiting = [(step, step.waiting_count) for step in steps]
        unreachable_lasting = [step.spec.lasting for step in unreachable]
        note(
            "load",
            capacity=sum(w.life.capacity.cpu for w in workers),
            closed=closed,
            committed=sum(w.committed.cpu for w in workers),
            serving=sum(sum(w.serving.values()) for w in workers),
            filling=sum(w.best_effort_cpu for w in workers),
            filling_used=sum(r.figure for t, r in runs if t.step.spec.fills),
            left_over=sum(left_over(w) for w in workers),
            slowed=sum(
                t.step.spec.size.cpu * (100 - r.pace) // 100 for t, r in runs
            ),
            waiting=sum(count for _, count in waiting),
            waiting_fillers=sum(c for step, c in waiting if step.spec.fills),
            waiting_lasting=sum(c for step, c in waiting if step.spec.lasting),
            away=len(unreachable_lasting),
            away_lasting=sum(unreachable_lasting),
            short=int(reserve.short_cpu),
            short_share=int(reserve.share),
        )
