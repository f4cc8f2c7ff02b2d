"""Time in which this process could have heard others.

A process whose own event loop comes late finds that much of what it waits for
is overdue, though it was there long ago. Silence is therefore counted in time
in which the loop ran: of a stall only a little counts, so that a judgement is
made after a fresh exchange.
"""

from collections.abc import Callable

import trio

from pimentocross.gateway import const


class OwnTime:
    """Seconds of a process's life, less those that its loop was late."""

    def __init__(self) -> None:
        """Starts at 0; `run` lets it go on."""
        self._counted = 0.0
        self._ticked_at = trio.current_time()

    def now(self) -> float:
        """Returns the seconds so far; they pass even if no tick came yet."""
        passed = trio.current_time() - self._ticked_at
        return self._counted + min(passed, const.STALL)

    async def run(self) -> None:
        """Ticks for ever."""
        while True:
            await trio.sleep(const.ELECTION_TICK)
            self._counted = self.now()
            self._ticked_at = trio.current_time()


class OwnAge:
    """Own time since a value changed, as far as it was looked at."""

    def __init__(self, time: OwnTime, read: Callable[[], float]) -> None:
        """Takes the own time and what returns the value."""
        self._time = time
        self._read = read
        self._value = read()
        self._since = time.now()

    def seconds(self) -> float:
        """Returns the seconds; to be called often, to notice changes."""
        value = self._read()
        if value != self._value:
            self._value = value
            self._since = self._time.now()
        return self._time.now() - self._since
