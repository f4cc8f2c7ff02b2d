"""Divides the decision log's rate and buffer limits among kinds of lines.

Bulk kinds are distinguished from rare ones by the bytes that they wrote
recently: the larger a kind's share of the rate, the more of the token bucket it
has to leave to others. Kinds that need more than a fair share get equal shares,
all others get what they need, and unused capacity is available to any kind.
"""

import math
from typing import Final

from pimentocross.observe.tables import TimedDecision

# Share of the bucket that a kind has to leave to others if it recently used the
# whole rate; a kind that used half of it leaves half of this share. With two
# bulk kinds, 45 KB are left: lines of 250 workers at once take 27 KB.
_RESERVED_FOR_OTHERS: Final = 0.75
# Time constant in seconds for measuring a kind's use. It is several times the
# refill time of the bucket, so that a single burst makes no kind a bulk kind.
_USAGE_WINDOW: Final = 5.0
# Assumed bytes per line until a kind has been written; most are about as long.
_INITIAL_LINE_BYTES: Final = 100.0
# Weight of the newest lines in the average line size of a kind.
_LINE_SIZE_WEIGHT: Final = 0.25


class KindBuffer:
    """Pending decisions and usage of one kind of line.

    Attributes:
        kind: Kind of the decisions.
        line_bytes: Moving average of the bytes per decision.
        queued_bytes: Bytes of encoded lines that are not written yet.
        pending: Decisions that are not encoded yet.
        dropped: Number of decisions dropped since the start.
        refused_until: Monotonic time until which decisions are dropped.
    """

    def __init__(self, kind: str) -> None:
        """Initializes an empty buffer for a kind."""
        self.kind = kind
        self.line_bytes = _INITIAL_LINE_BYTES
        self.queued_bytes = 0
        self.pending: list[TimedDecision] = []
        self.dropped = 0
        self.refused_until = float("-inf")
        self._recent_bytes = 0.0
        self._charged_at = 0.0

    def charge(self, size: float, now: float) -> None:
        """Adds bytes to the recent use; negative for a refund."""
        self._recent_bytes = self.recent_bytes(now) + size
        self._charged_at = now

    def recent_bytes(self, now: float) -> float:
        """Returns the bytes used recently, with exponential decay."""
        passed = now - self._charged_at
        return self._recent_bytes * math.exp(-passed / _USAGE_WINDOW)

    def update_line_bytes(self, size: float) -> None:
        """Updates the average line size with that of the newest lines."""
        self.line_bytes += (size - self.line_bytes) * _LINE_SIZE_WEIGHT


class TokenBucket:
    """Limits the bytes per second that all kinds write together."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Initializes a full bucket with bytes a second and its capacity."""
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._refilled_at = now

    def reserve(self, buffer: KindBuffer, now: float) -> bool:
        """Reserves the average line size of a kind.

        If too few bytes are available, sets the buffer's `refused_until`.

        Args:
            buffer: Buffer of the kind.
            now: Monotonic time.

        Returns:
            Whether the bytes were reserved.
        """
        self._refill(now)
        used_share = buffer.recent_bytes(now) / (self._rate * _USAGE_WINDOW)
        reserve_bytes = used_share * _RESERVED_FOR_OTHERS * self._burst
        missing = buffer.line_bytes + reserve_bytes - self._available
        if missing > 0:
            buffer.refused_until = now + missing / self._rate
            return False
        self._available -= buffer.line_bytes
        buffer.charge(buffer.line_bytes, now)
        return True

    def settle(
        self, buffer: KindBuffer, reserved: float, size: int, now: float
    ) -> bool:
        """Replaces a reservation by the actual size of the encoded line.

        Args:
            buffer: Buffer of the line's kind.
            reserved: Bytes that were reserved for the line's decisions.
            size: Bytes of the encoded line.
            now: Monotonic time.

        Returns:
            Whether the line may be written; if not, the bytes are refunded.
        """
        fits = size <= self._available + reserved
        more = size - reserved if fits else -reserved
        self._available = min(self._available - more, self._burst)
        buffer.charge(more, now)
        return fits

    def _refill(self, now: float) -> None:
        refill = (now - self._refilled_at) * self._rate
        self._available = min(self._available + refill, self._burst)
        self._refilled_at = now


def fits_in_queue(buffer: KindBuffer, queued: int, limit: int) -> bool:
    """Returns whether a kind may add a line to the output queue.

    Args:
        buffer: Buffer of the kind.
        queued: Bytes of all kinds in the queue.
        limit: Maximum number of bytes in the queue.
    """
    reserve_bytes = buffer.queued_bytes * _RESERVED_FOR_OTHERS
    return queued + buffer.line_bytes + reserve_bytes <= limit
