"""Renders counters and latency histograms in the Prometheus text format."""

from collections.abc import Iterator, Mapping

from pimentocross.observe import meters
from pimentocross.observe.decisions import counts, dropped
from pimentocross.observe.histograms import Histograms

_QUANTILES = ("p50", "p90", "p99", "p999")


def render(histograms: Histograms, gauges: dict[str, float]) -> bytes:
    """Returns the metrics page.

    Args:
        histograms: Latency histograms by label.
        gauges: Current values by name.
    """
    lines = ["# TYPE pimentocross_decisions_total counter"]
    for kind, count in sorted(counts().items()):
        lines.append(f'pimentocross_decisions_total{{is="{kind}"}} {count}')
    lines.append("# TYPE pimentocross_log_lines_dropped_total counter")
    for kind, count in sorted(dropped().items()):
        lines.append(
            f'pimentocross_log_lines_dropped_total{{is="{kind}"}} {count}'
        )
    lines.extend(_render_values(meters.totals(), "counter", ".10g"))
    lines.extend(_render_values(gauges, "gauge", "g"))
    lines.append("# TYPE pimentocross_latency_ms summary")
    for summary in histograms.summaries():
        label = f'{summary.kind}="{summary.name}"'
        for quantile in _QUANTILES:
            value = getattr(summary, quantile)
            lines.append(
                f"pimentocross_latency_ms"
                f'{{{label},quantile="{quantile}"}} {value:g}'
            )
        lines.append(
            f"pimentocross_latency_ms_count{{{label}}} {summary.total}"
        )
    return "\n".join(lines).encode() + b"\n"


def _render_values(
    values: Mapping[str, float], kind: str, number_format: str
) -> Iterator[str]:
    """Yields the lines of values by name; a name includes its labels."""
    typed_family = ""
    for name, value in sorted(values.items()):
        family = name.partition("{")[0]
        if family != typed_family:
            yield f"# TYPE pimentocross_{family} {kind}"
            typed_family = family
        yield f"pimentocross_{name} {value:{number_format}}"
