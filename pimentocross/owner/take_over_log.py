"""Tells how far an owner has come with taking a cell over."""

from collections.abc import Callable, Iterable
from typing import Final

import trio

from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker

# Seconds between two lines about workers, and how long they are written: then
# what is missing is a matter of those workers.
_INTERVAL: Final = 1.0
_FOLLOWED: Final = 60.0


class TakeOverLog:
    """Writes a line for each phase, with the seconds since it began."""

    def __init__(self, epoch: int) -> None:
        """Begins now."""
        self._epoch = epoch
        self._began = trio.current_time()

    @property
    def age(self) -> float:
        """Seconds since the take-over began."""
        return trio.current_time() - self._began

    async def follow_adoption(
        self, workers: Callable[[], Iterable[Worker]]
    ) -> None:
        """Tells how many workers have listed what runs, as it changes."""
        told = -1
        while trio.current_time() - self._began < _FOLLOWED:
            await trio.sleep(_INTERVAL)
            adopted = [worker.adopted for worker in workers()]
            count = sum(adopted)
            if count != told:
                self.note("owner_adopts", workers=count, of=len(adopted))
                told = count

    async def note_start(self, started: trio.Event) -> None:
        """Tells of the first run that began under this owner."""
        await started.wait()
        self.note("owner_starts")

    def note(self, kind: str, **fields: object) -> None:
        """Tells of a phase that has ended."""
        seconds = round(trio.current_time() - self._began, 3)
        note(kind, epoch=self._epoch, seconds=seconds, **fields)
