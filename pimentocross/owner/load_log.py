"""Logs now and then what the workers carry and what waits."""

from collections.abc import Iterable, Sequence
from typing import Final

from pimentocross.observe.decisions import note
from pimentocross.owner.capacity_reserve import CapacityReserve
from pimentocross.owner.worker import Worker
from pimentocross.placement.host import left_over
from pimentocross.work.state import Step

# Seconds between two lines.
_INTERVAL: Final = 1.0


class LoadLog:
    """Writes one line a second at most."""

    def __init__(self) -> None:
        """Has written none yet."""
        self._logged_at = 0.0

    def is_due(self, now: float) -> bool:
        """True if the next line may be written."""
        return now - self._logged_at >= _INTERVAL

    def write(
        self,
        workers: Sequence[Worker],
        closed: int,
        steps: Iterable[Step],
        room: CapacityReserve,
        away: Iterable[Step],
        now: float,
    ) -> None:
        """Writes a line.

        Args:
            workers: Those in use.
            closed: Capacity in zones that take nothing new, thousandths.
            steps: All that wait.
            room: Knows what short work has and may have.
            away: The step of each run on a worker that can't be heard.
            now: Present time.
        """
        self._logged_at = now
        runs = [(t, r) for w in workers for t, r in w.running()]
        waiting = [(step, step.waiting_count) for step in steps]
        away_lasting = [step.spec.lasting for step in away]
        note(
            "load",
            capacity=sum(w.life.capacity.cpu for w in workers),
            closed=closed,
            committed=sum(w.committed.cpu for w in workers),
            serving=sum(sum(w.serving.values()) for w in workers),
            filling=sum(w.filled for w in workers),
            filling_used=sum(r.figure for t, r in runs if t.step.spec.fills),
            left_over=sum(left_over(w) for w in workers),
            slowed=sum(
                t.step.spec.size.cpu * (100 - r.pace) // 100 for t, r in runs
            ),
            waiting=sum(count for _, count in waiting),
            waiting_fillers=sum(c for step, c in waiting if step.spec.fills),
            waiting_lasting=sum(c for step, c in waiting if step.spec.lasting),
            away=len(away_lasting),
            away_lasting=sum(away_lasting),
            short=int(room.short_cpu),
            short_share=int(room.share),
        )
