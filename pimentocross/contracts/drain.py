"""Graceful shutdown: rejects new work and waits for work in flight."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class DrainingError(Exception):
    """Work was offered after the drain began."""


class Drain:
    """Counts the work in flight and lets a shutdown wait for it."""

    def __init__(self) -> None:
        """Initializes a drain that has not begun and admits work."""
        self._in_flight = 0
        self._begun = trio.Event()
        self._idle = trio.Event()
        self._idle.set()

    @property
    def begun(self) -> bool:
        """True once no new work is admitted."""
        return self._begun.is_set()

    @property
    def in_flight(self) -> int:
        """Number of pieces of work that were admitted and have not finished."""
        return self._in_flight

    @contextmanager
    def admit(self) -> Iterator[None]:
        """Counts a piece of work as in flight while the block runs.

        Raises:
            DrainingError: The drain has begun.
        """
        if self.begun:
            raise DrainingError
        if self._in_flight == 0:
            self._idle = trio.Event()
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    def begin(self) -> None:
        """Rejects new work from now on."""
        self._begun.set()

    async def wait_begun(self) -> None:
        """Waits until the drain begins."""
        await self._begun.wait()

    async def finish(self, timeout: float) -> int:
        """Waits up to `timeout` seconds for the work in flight.

        Returns:
            The number of pieces of work that are still in flight.
        """
        with trio.move_on_after(timeout):
            await self._idle.wait()
        return self._in_flight
