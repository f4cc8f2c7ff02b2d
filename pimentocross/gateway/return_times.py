"""Assigns times at which refused callers should retry.

Load pattern: tens of VMs refuse hundreds of callers within a second. With the
same `Retry-After`, all of them would return together, and those that are
refused again would run out of retries. So each caller gets a time at which its
request can succeed, as far as that is known, and only a few get the same
second.
"""

from collections import Counter
import math

from pimentocross.gateway import const


class ReturnTimes:
    """Spreads the retries of refused callers over several seconds."""

    def __init__(self) -> None:
        """Initializes the counts with no retry assigned."""
        # Number of retries assigned to each second.
        self._assigned: Counter[int] = Counter()

    def assign(self, earliest: float, now: float) -> float:
        """Returns after how many whole seconds one more caller should retry.

        Args:
            earliest: Seconds before which a retry would surely fail, or 0.
            now: Current time in seconds.
        """
        self._forget_before(int(now))
        seconds = math.ceil(max(earliest, const.RETRY_AFTER))
        latest = seconds + const.MAX_RETURN_SPREAD
        while (
            seconds < latest
            and self._assigned[int(now) + seconds]
            >= const.MAX_RETURNS_PER_SECOND
        ):
            seconds += 1
        self._assigned[int(now) + seconds] += 1
        return float(seconds)

    def _forget_before(self, second: int) -> None:
        for passed in [past for past in self._assigned if past < second]:
            del self._assigned[passed]
