"""Cooperative yielding in long computations on the trio thread."""

import trio

from pimentocross.owner import const


class TimeSlice:
    """Lets other trio tasks run each time a slice of time is used up."""

    def __init__(self) -> None:
        """Starts the first slice."""
        self._until = trio.current_time() + const.WORK_SLICE

    async def yield_if_over(self) -> None:
        """Yields to other tasks if the slice is over, else returns at once."""
        if trio.current_time() >= self._until:
            await trio.lowlevel.checkpoint()
            self._until = trio.current_time() + const.WORK_SLICE
