"""When callers that are turned away should come back.

Load pattern: hundreds are turned away within a second, by tens of VMs. Told the
same time, they come back together, and those who find nobody again run out of
tries. So each is told a time at which it can be served, as far as that is
known, and not more than a few are told the same second.
"""

from collections import Counter
import math

from pimentocross.gateway import const


class ReturnTimes:
    """Spreads those who come back over seconds."""

    def __init__(self) -> None:
        """Has told nobody yet."""
        # How many were told to come back in each second.
        self._told: Counter[int] = Counter()

    def assign(self, earliest: float, now: float) -> float:
        """Returns after how many whole seconds one more should come back.

        Args:
            earliest: Seconds before which it can't be served, as far as is
                known, or 0.
            now: The present time.
        """
        self._forget_before(int(now))
        seconds = math.ceil(max(earliest, const.RETRY_AFTER))
        latest = seconds + const.MAX_RETURN_SPREAD
        while (
            seconds < latest
            and self._told[int(now) + seconds] >= const.MAX_RETURNS_PER_SECOND
        ):
            seconds += 1
        self._told[int(now) + seconds] += 1
        return float(seconds)

    def _forget_before(self, second: int) -> None:
        for passed in [told for told in self._told if told < second]:
            del self._told[passed]
