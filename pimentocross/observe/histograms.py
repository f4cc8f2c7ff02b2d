"""Latency histograms per tenant and per class."""

from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

_LOWEST_MICROSECONDS: Final = 1
_HIGHEST_MICROSECONDS: Final = 3_600_000_000
_DIGITS: Final = 2
_MILLISECOND: Final = 1000.0
# Labels beyond this many share one, so that callers can't exhaust memory.
LABELS_MOST: Final = 2_000
OTHER: Final = "(other)"


class Label(NamedTuple):
    """What a histogram is of: "tenant", "service" or "class", and a name."""

    kind: str
    name: str


class Summary(NamedTuple):
    """A histogram in short; latencies in milliseconds."""

    kind: str
    name: str
    total: int
    p50: float
    p90: float
    p99: float
    p999: float
    most: float


class Histograms:
    """Histograms by label."""

    def __init__(self) -> None:
        """Starts empty."""
        self._histograms: dict[Label, HdrHistogram] = {}

    def record(self, label: Label, seconds: float) -> None:
        """Adds one latency."""
        histogram = self._histograms.get(label)
        if histogram is None:
            histogram = self._make(label)
        histogram.record_value(max(int(seconds * 1e6), _LOWEST_MICROSECONDS))

    def summaries(self) -> list[Summary]:
        """Returns all in short, in the order of their labels."""
        items = sorted(self._histograms.items())
        return [_summarize(label, h) for label, h in items]

    def encoded(self) -> list[tuple[str, str, bytes]]:
        """Returns kind, name and the library's encoding of each."""
        return [
            (label.kind, label.name, histogram.encode())
            for label, histogram in self._histograms.items()
        ]

    def add_encoded(self, items: list[tuple[str, str, bytes]]) -> None:
        """Adds another process's histograms to these."""
        for kind, name, encoded in items:
            label = Label(kind, name)
            histogram = self._histograms.get(label) or self._make(label)
            histogram.decode_and_add(encoded)

    def _make(self, label: Label) -> HdrHistogram:
        if len(self._histograms) >= LABELS_MOST:
            label = Label(label.kind, OTHER)
        if label not in self._histograms:
            self._histograms[label] = HdrHistogram(
                _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _DIGITS
            )
        return self._histograms[label]


def _summarize(label: Label, histogram: HdrHistogram) -> Summary:
    def at(percentile: float) -> float:
        value = histogram.get_value_at_percentile(percentile)
        return float(value) / _MILLISECOND

    return Summary(
        label.kind,
        label.name,
        int(histogram.get_total_count()),
        at(50),
        at(90),
        at(99),
        at(99.9),
        float(histogram.get_max_value()) / _MILLISECOND,
    )
