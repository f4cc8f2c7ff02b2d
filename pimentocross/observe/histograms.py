"""Latency histograms by label, such as tenant, service or class."""

from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

_MIN_MICROSECONDS: Final = 1
_MAX_MICROSECONDS: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_MICROSECONDS_PER_MILLISECOND: Final = 1000.0
# Maximum number of labels; any others share one, so that callers can't exhaust
# the memory.
MAX_LABELS: Final = 2_000
OVERFLOW_NAME: Final = "(other)"


class Label(NamedTuple):
    """Label of a histogram: its kind, such as "tenant", and a name."""

    kind: str
    name: str


class Summary(NamedTuple):
    """Summary of a histogram; latencies in milliseconds."""

    kind: str
    name: str
    total: int
    p50: float
    p90: float
    p99: float
    p999: float
    most: float


class Histograms:
    """Collects latencies in one histogram for each label."""

    def __init__(self) -> None:
        """Initializes the collection without histograms."""
        self._histograms: dict[Label, HdrHistogram] = {}

    def record(self, label: Label, seconds: float) -> None:
        """Adds a latency in seconds to the histogram of a label."""
        histogram = self._histograms.get(label)
        if histogram is None:
            histogram = self._make(label)
        histogram.record_value(max(int(seconds * 1e6), _MIN_MICROSECONDS))

    def summaries(self) -> list[Summary]:
        """Returns the summaries of all histograms, ordered by label."""
        items = sorted(self._histograms.items())
        return [_summarize(label, h) for label, h in items]

    def encoded(self) -> list[tuple[str, str, bytes]]:
        """Returns kind, name and encoded histogram of each label."""
        return [
            (label.kind, label.name, histogram.encode())
            for label, histogram in self._histograms.items()
        ]

    def add_encoded(self, items: list[tuple[str, str, bytes]]) -> None:
        """Adds the encoded histograms of another process."""
        for kind, name, encoded in items:
            label = Label(kind, name)
            histogram = self._histograms.get(label) or self._make(label)
            histogram.decode_and_add(encoded)

    def _make(self, label: Label) -> HdrHistogram:
        if len(self._histograms) >= MAX_LABELS:
            label = Label(label.kind, OVERFLOW_NAME)
        if label not in self._histograms:
            self._histograms[label] = HdrHistogram(
                _MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
        return self._histograms[label]


def _summarize(label: Label, histogram: HdrHistogram) -> Summary:
    def at(percentile: float) -> float:
        value = histogram.get_value_at_percentile(percentile)
        return float(value) / _MICROSECONDS_PER_MILLISECOND

    return Summary(
        label.kind,
        label.name,
        int(histogram.get_total_count()),
        at(50),
        at(90),
        at(99),
        at(99.9),
        float(histogram.get_max_value()) / _MICROSECONDS_PER_MILLISECOND,
    )
