"""A clock that doesn't count stalls of this process's event loop.

After a stall of the event loop, replies seem overdue although they arrived long
ago and only wait to be read. The silence of peers is therefore measured in time
in which the loop ran. Of a stall only a little counts, so that a peer is
suspected only after the loop had time for another exchange.
"""

from collections.abc import Callable

import trio

from pimentocross.gateway import const


class LoopClock:
    """Counts the seconds in which the event loop ran."""

    def __init__(self) -> None:
        """Initializes the clock at 0; `run` advances it."""
        self._elapsed = 0.0
        self._last_tick_at = trio.current_time()

    def now(self) -> float:
        """Returns the seconds so far, also between two ticks."""
        passed = trio.current_time() - self._last_tick_at
        return self._elapsed + min(passed, const.STALL_THRESHOLD)

    async def run(self) -> None:
        """Ticks until it is cancelled."""
        while True:
            await trio.sleep(const.ELECTION_TICK)
            self._elapsed = self.now()
            self._last_tick_at = trio.current_time()


class ChangeTimer:
    """Measures the loop time since a value last changed."""

    def __init__(self, clock: LoopClock, read: Callable[[], float]) -> None:
        """Starts to watch a value, from its current value on.

        Args:
            clock: The clock to measure with.
            read: Returns the value.
        """
        self._clock = clock
        self._read = read
        self._value = read()
        self._changed_at = clock.now()

    def seconds(self) -> float:
        """Returns the seconds since the last change.

        Changes are only noticed by calls of this method, so call it often.
        """
        value = self._read()
        if value != self._value:
            self._value = value
            self._changed_at = self._clock.now()
        return self._clock.now() - self._changed_at
