"""An adaptive concurrency limit for one target."""

from typing import Final

# Weight of one answer in the smoothed latency.
_SMOOTHING: Final = 0.05
# Share of its distance to the smoothed latency by which the baseline rises
# with each answer.
_BASELINE_DRIFT: Final = 0.002
# The limit falls while the smoothed latency exceeds this multiple of the
# baseline.
_MAX_LATENCY_RATIO: Final = 2.0
# Factor that a failure applies to the limit.
_BACKOFF: Final = 0.9


class AdaptiveLimit:
    """Raises the limit while latency is near its baseline, else lowers it.

    The limit never exceeds the concurrency that the target declares.
    """

    def __init__(self, max_limit: int, min_limit: int = 1) -> None:
        """Initializes the limit at its maximum."""
        self._max_limit = float(max_limit)
        self._min_limit = float(min_limit)
        self._limit = float(max_limit)
        self._baseline = 0.0
        self._smoothed = 0.0

    @property
    def limit(self) -> int:
        """Number of requests that may be in flight at once."""
        return int(self._limit)

    @property
    def smoothed_latency(self) -> float:
        """Smoothed latency, in seconds; 0 before the first answer."""
        return self._smoothed

    def note_answer(self, latency: float) -> None:
        """Records the latency of one answer, in seconds."""
        if self._smoothed == 0.0:
            self._smoothed = self._baseline = latency
            return
        self._smoothed += _SMOOTHING * (latency - self._smoothed)
        drift = _BASELINE_DRIFT * (self._smoothed - self._baseline)
        self._baseline = min(self._baseline + max(drift, 0.0), self._smoothed)
        if self._smoothed > _MAX_LATENCY_RATIO * self._baseline:
            self._limit = max(self._limit - 1 / self._limit, self._min_limit)
        else:
            self._limit = min(self._limit + 1 / self._limit, self._max_limit)

    def note_failure(self) -> None:
        """Records a failure or a timeout, which lowers the limit."""
        self._limit = max(self._limit * _BACKOFF, self._min_limit)
