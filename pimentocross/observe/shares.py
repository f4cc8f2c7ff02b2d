"""What each kind of line may take of a log's bounds.

Bulk kinds are told from rare ones by what they wrote lately: the larger a
kind's part of what may be written, the more of the allowance it has to leave to
others. Kinds that ask for more than a fair part get equal parts, all others get
what they ask for, and what nobody asks for goes to whoever does.
"""

import math
from typing import Final

from pimentocross.observe.tables import Noted

# Of the allowance, a kind that wrote all of it lately leaves this to others,
# and one that wrote a half leaves half of this. With two bulk kinds 45 KB are
# left: a line of each of 250 workers at once takes 27 KB.
_LEFT_TO_OTHERS: Final = 0.75
# Seconds over which a kind's part is measured: some times as long as a burst
# takes to come back, so that a burst alone makes no bulk kind.
_MEASURED_OVER: Final = 5.0
# Bytes of a line of a kind that wasn't written yet: most have about as many.
_FIRST_SIZE: Final = 100.0
# Weight of the newest lines in a kind's typical size.
_SIZE_WEIGHT: Final = 0.25


class Share:
    """One kind's lines.

    Attributes:
        kind: The kind.
        size: Bytes that one of its lines typically takes.
        waiting: Bytes of its lines that wait to be written.
        noted: Decisions that aren't encoded yet.
        dropped: Decisions that were not written, since the start.
        refused_until: Until when no more is taken, monotonic.
    """

    def __init__(self, kind: str) -> None:
        """Has written nothing yet."""
        self.kind = kind
        self.size = _FIRST_SIZE
        self.waiting = 0
        self.noted: list[Noted] = []
        self.dropped = 0
        self.refused_until = float("-inf")
        self._taken = 0.0
        self._taken_at = 0.0

    def take(self, size: float, now: float) -> None:
        """Counts bytes as taken; negative ones were given back."""
        self._taken = self.taken(now) + size
        self._taken_at = now

    def taken(self, now: float) -> float:
        """Returns the bytes taken, older ones counted as less."""
        passed = now - self._taken_at
        return self._taken * math.exp(-passed / _MEASURED_OVER)

    def learn(self, size: float) -> None:
        """Learns from the bytes that lines took on average."""
        self.size += (size - self.size) * _SIZE_WEIGHT


class Allowance:
    """Bytes a second that all kinds share."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Takes bytes a second, and how many may gather."""
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._refilled_at = now

    def take(self, share: Share, now: float) -> bool:
        """Takes what a line of a kind typically needs, or says until when not.

        Args:
            share: The kind's.
            now: Present time.

        Returns:
            Whether it was taken.
        """
        self._refill(now)
        part = share.taken(now) / (self._rate * _MEASURED_OVER)
        kept = part * _LEFT_TO_OTHERS * self._burst
        missing = share.size + kept - self._left
        if missing > 0:
            share.refused_until = now + missing / self._rate
            return False
        self._left -= share.size
        share.take(share.size, now)
        return True

    def settle(self, share: Share, asked: float, size: int, now: float) -> bool:
        """Takes what lines really need instead of what was asked for.

        Args:
            share: Of their kind.
            asked: What was taken when they were noted.
            size: Bytes that they need.
            now: Present time.

        Returns:
            Whether they may be written.
        """
        fits = size <= self._left + asked
        more = size - asked if fits else -asked
        self._left = min(self._left - more, self._burst)
        share.take(more, now)
        return fits

    def _refill(self, now: float) -> None:
        refill = (now - self._refilled_at) * self._rate
        self._left = min(self._left + refill, self._burst)
        self._refilled_at = now


def leaves_room(share: Share, waiting: int, most: int) -> bool:
    """Returns whether a kind may add to what waits.

    Args:
        share: The kind's.
        waiting: Bytes that wait, of all kinds.
        most: As many may.
    """
    kept = share.waiting * _LEFT_TO_OTHERS
    return waiting + share.size + kept <= most
