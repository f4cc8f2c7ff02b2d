"""A graceful stop: nothing new is let in, what is in flight finishes."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class DrainingError(Exception):
    """Something new came in after the drain began."""


class Drain:
    """Counts what is in flight and lets a stop wait for it."""

    def __init__(self) -> None:
        """Starts open."""
        self._in_flight = 0
        self._begun = trio.Event()
        self._idle = trio.Event()
        self._idle.set()

    @property
    def begun(self) -> bool:
        """True once nothing new is let in."""
        return self._begun.is_set()

    @property
    def in_flight(self) -> int:
        """What was let in and has not finished."""
        return self._in_flight

    @contextmanager
    def admit(self) -> Iterator[None]:
        """Counts a piece of work for as long as the block runs.

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
        """Lets nothing new in from now on."""
        self._begun.set()

    async def wait_begun(self) -> None:
        """Waits until the drain begins."""
        await self._begun.wait()

    async def finish(self, timeout: float) -> int:
        """Waits for what is in flight.

        Returns:
            How much had not finished when the timeout ran out.
        """
        with trio.move_on_after(timeout):
            await self._idle.wait()
        return self._in_flight
