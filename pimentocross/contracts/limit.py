"""An adaptive concurrency limit for one target."""

from typing import Final

_SMOOTHING: Final = 0.05
_BASE_DRIFT: Final = 0.002
_TOLERANCE: Final = 2.0
_BACKOFF: Final = 0.9


class AdaptiveLimit:
    """Raises the limit while answers are quick, lowers it when they slow.

    The limit never exceeds what the target declares to carry.
    """

    def __init__(self, most: int, least: int = 1) -> None:
        """Starts at the declared limit."""
        self._most = float(most)
        self._least = float(least)
        self._limit = float(most)
        self._quick = 0.0
        self._usual = 0.0

    @property
    def limit(self) -> int:
        """Requests that may be in flight at once."""
        return int(self._limit)

    @property
    def usual_latency(self) -> float:
        """Smoothed latency, in seconds; 0 before the first answer."""
        return self._usual

    def note_answer(self, latency: float) -> None:
        """Takes one answer's latency in, in seconds."""
        if self._usual == 0.0:
            self._usual = self._quick = latency
            return
        self._usual += _SMOOTHING * (latency - self._usual)
        drift = _BASE_DRIFT * (self._usual - self._quick)
        self._quick = min(self._quick + max(drift, 0.0), self._usual)
        if self._usual > _TOLERANCE * self._quick:
            self._limit = max(self._limit - 1 / self._limit, self._least)
        else:
            self._limit = min(self._limit + 1 / self._limit, self._most)

    def note_failure(self) -> None:
        """Takes a failure or a timeout in."""
        self._limit = max(self._limit * _BACKOFF, self._least)
