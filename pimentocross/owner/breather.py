"""Lets other tasks run within work that is long."""

import trio

from pimentocross.owner import const


class Breather:
    """Gives way once a slice of time is used up."""

    def __init__(self) -> None:
        """Starts the first slice."""
        self._until = trio.current_time() + const.WORK_SLICE

    async def breathe(self) -> None:
        """Lets others run if the slice is over; else it returns at once."""
        if trio.current_time() >= self._until:
            await trio.lowlevel.checkpoint()
            self._until = trio.current_time() + const.WORK_SLICE
