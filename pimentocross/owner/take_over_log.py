"""Logs the phases of an owner's take-over of a cell."""

from collections.abc import Callable, Iterable
from typing import Final

import trio

from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker

# Seconds between two log lines about adopted workers, and seconds for which
# they are written: workers still missing then have a problem of their own.
_LOG_INTERVAL: Final = 1.0
_ADOPTION_LOG_PERIOD: Final = 60.0


class TakeOverLog:
    """Logs each phase with the seconds since the take-over began."""

    def __init__(self, epoch: int) -> None:
        """Initializes a log of a take-over that begins now."""
        self._epoch = epoch
        self._began = trio.current_time()

    @property
    def age(self) -> float:
        """Seconds since the take-over began."""
        return trio.current_time() - self._began

    async def log_adoption(
        self, workers: Callable[[], Iterable[Worker]]
    ) -> None:
        """Logs how many workers have listed their runs, whenever it changes."""
        last_count = -1
        while trio.current_time() - self._began < _ADOPTION_LOG_PERIOD:
            await trio.sleep(_LOG_INTERVAL)
            adopted = [worker.adopted for worker in workers()]
            count = sum(adopted)
            if count != last_count:
                self.note("owner_adopts", workers=count, of=len(adopted))
                last_count = count

    async def log_first_start(self, started: trio.Event) -> None:
        """Logs the first run that is started by this owner."""
        await started.wait()
        self.note("owner_starts")

    def note(self, kind: str, **fields: object) -> None:
        """Logs the end of a phase."""
        seconds = round(trio.current_time() - self._began, 3)
        note(kind, epoch=self._epoch, seconds=seconds, **fields)
