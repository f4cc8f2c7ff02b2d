"""Checks the bounds of the placement policy comparison; prints and plots it."""

from pathlib import Path
from typing import NamedTuple

import typer

from bench.fakes import (
    read_matrix,
)
from bench.policy import DURATION, POLICIES, SCENARIOS, Table, measure


class Bound(NamedTuple):
    """A measured value and its bound.

    Attributes:
        what: Deployment, scenario and compared figure.
        value: Measured value.
        bound: Limit of the value.
        at_most: Whether the bound is an upper limit.
    """

    what: str
    value: float
    bound: float
    at_most: bool

    @property
    def met(self) -> bool:
        """Returns whether the value is within the bound."""
        if self.at_most:
            return self.value <= self.bound
        return self.value >= self.bound


def bounds(table: Table) -> list[Bound]:
    """Returns the bounds of all scenarios with their measured values."""
    found: list[Bound] = []
    for scenario in SCENARIOS:
        for name in ("quetzal", "ostend"):
            least_loaded, ours, oracle = (
                table[(name, scenario, policy)]
                for policy in ("least loaded", "ours", "told the matrix")
            )
            label = f"{name}, {scenario}"
            done = ours.finished / least_loaded.finished
            if name == "quetzal":
                found += [
                    Bound(
                        f"{label}: p99 relative to least loaded",
                        ours.p99 / least_loaded.p99,
                        0.5,
                        True,
                    ),
                    Bound(
                        f"{label}: throughput relative to least loaded",
                        done,
                        0.95,
                        False,
                    ),
                ]
            else:
                found.append(
                    Bound(
                        f"{label}: throughput relative to least loaded",
                        done,
                        1.0,
                        False,
                    )
                )
                if least_loaded.evictions:
                    found += [
                        Bound(
                            f"{label}: evictions relative to least loaded",
                            ours.evictions / least_loaded.evictions,
                            0.3,
                            True,
                        ),
                        Bound(
                            f"{label}: lost work relative to least loaded",
                            ours.lost / max(least_loaded.lost, 1e-9),
                            0.3,
                            True,
                        ),
                    ]
            found += [
                Bound(
                    f'{label}: p99 relative to "told the matrix"',
                    ours.p99 / oracle.p99,
                    1.1,
                    True,
                ),
                Bound(
                    f'{label}: throughput relative to "told the matrix"',
                    ours.finished / oracle.finished,
                    0.9,
                    False,
                ),
            ]
        if scenario == "bad worker":
            for name in ("quetzal", "ostend"):
                quiet = table[(name, "quiet", "ours")].finished
                bad = table[(name, "bad worker", "ours")].finished
                found.append(
                    Bound(
                        f"{name}: throughput with a worker failing all tasks",
                        bad / quiet,
                        0.99,
                        False,
                    )
                )
    return found


def print_table(table: Table) -> None:
    """Prints the results."""
    print(
        "deployment | scenario | policy | p50 ms | p99 ms | p99.9 ms |"
        " work/s | evictions | lost s"
    )
    for (name, scenario, policy), f in table.items():
        print(
            f"{name} | {scenario} | {policy} | {f.p50:.1f} | {f.p99:.1f} |"
            f" {f.p999:.1f} | {f.finished:.1f} | {f.evictions:.1f} |"
            f" {f.lost:.0f}"
        )


def plot(table: Table, path: Path) -> None:
    """Writes a plot of the 99th percentiles and the throughput."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(13, 8))
    for column, name in enumerate(("quetzal", "ostend")):
        for row, part in enumerate(("p99", "finished")):
            axis = axes[row][column]
            for number, policy in enumerate(POLICIES):
                values = [
                    getattr(table[(name, scenario, policy)], part)
                    for scenario in SCENARIOS
                ]
                places = [i + number * 0.2 for i in range(len(SCENARIOS))]
                axis.bar(places, values, 0.18, label=policy)
            axis.set_xticks([i + 0.3 for i in range(len(SCENARIOS))])
            axis.set_xticklabels(SCENARIOS)
            what = "p99, ms" if part == "p99" else "batch work per second"
            axis.set_title(f"{name}: {what}")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def main(arguments: list[str]) -> int:
    """Prints the results and the bounds; returns 1 if a bound is missed."""
    code: list[int] = []

    def run(
        seed: int = 0,
        seeds: int = 5,
        matrix: Path | None = None,
        quick: bool = False,
        plot_to: Path | None = None,
    ) -> None:
        hidden = read_matrix(matrix) if matrix else None
        duration = DURATION // 3 if quick else DURATION
        chosen = range(seed, seed + (2 if quick else seeds))
        table = measure(chosen, hidden, duration)
        print_table(table)
        print()
        found = bounds(table)
        for bound in found:
            sign = "<=" if bound.at_most else ">="
            state = "met" if bound.met else "MISSED"
            print(
                f"{state} {bound.what} {bound.value:.3f} {sign} {bound.bound}"
            )
        if plot_to is not None:
            plot(table, plot_to)
        code.append(0 if all(bound.met for bound in found) else 1)

    app = typer.Typer(add_completion=False)
    app.command()(run)
    app(arguments, standalone_mode=False)
    return code[0] if code else 2
