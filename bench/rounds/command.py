"""Implements `python -m bench rounds`, a paired comparison of two commits."""

from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
import tomllib
from typing import Annotated, Final

import typer

from bench.rounds.compare import difference
from bench.rounds.day_runs import (
    MIXED_DAY,
    DayRun,
    DayRunError,
    Figures,
    run_day,
)
from bench.rounds.trees import Trees, commit_of

_REPOSITORY: Final = Path(__file__).resolve().parents[2]
# Users care most about days with trouble, so calm days are left out.
_SLOTS: Final = ("scale", "trouble")
_FIGURES: Final = (
    "worth",
    "served",
    "worst_kind",
    "p50",
    "p99",
    "in_time",
    "over_target",
    "over_by_others",
    "stopped",
    "done",
    "thrown_away",
)


def main(arguments: list[str]) -> int:
    """Runs the command; returns 1 if a day could not be run."""
    app = typer.Typer()
    app.command()(_rounds)
    return int(app(arguments, standalone_mode=False) or 0)


def _rounds(
    sites: Annotated[list[Path], typer.Argument(help="Site files.")],
    program: Annotated[
        Path, typer.Option(envvar="FLEETBENCH", help="The users' bench.")
    ],
    commit: Annotated[
        str, typer.Option(help='Tested commit; "." is the current work tree.')
    ] = ".",
    against: Annotated[str, typer.Option(help="Commit to compare with.")] = "",
    without: Annotated[
        str, typer.Option(help="Mechanism to disable in the tested commit.")
    ] = "",
    seeds: Annotated[int, typer.Option(help="Mixed days per site.")] = 8,
    first_seed: Annotated[
        int, typer.Option(help="Seed of the first mixed day.")
    ] = 1,
    standard: Annotated[
        bool, typer.Option(help="Also run the standard days with trouble.")
    ] = True,
    jobs: Annotated[int, typer.Option(help="Days run in parallel.")] = 7,
    folder: Annotated[
        Path, typer.Option(help="Folder of work trees and reports.")
    ] = _REPOSITORY.parent / "trials",
) -> int:
    """Runs the same days on one or two commits and prints the differences."""
    reports = (folder / "reports").resolve()
    reports.mkdir(parents=True, exist_ok=True)
    trees = Trees(_REPOSITORY, folder.resolve(), jobs)
    tested = commit_of(_REPOSITORY, commit)
    versions = [(tested, without)]
    if against:
        versions.insert(0, (commit_of(_REPOSITORY, against), ""))
    elif without:
        versions.insert(0, (tested, ""))
    failed = False
    for site in sites:
        days = _days(site.resolve(), seeds, first_seed, standard)
        planned_runs = [
            DayRun(version, disabled, site.resolve(), day, seed)
            for version, disabled in versions
            for day, seed in days
        ]

        def run_or_error(day_run: DayRun) -> Figures | DayRunError:
            try:
                with trees.checked_out(day_run.commit, day_run.without) as tree:
                    return run_day(program.resolve(), tree, day_run, reports)
            except DayRunError as error:
                return error

        with ThreadPoolExecutor(jobs) as pool:
            found = list(pool.map(run_or_error, planned_runs))
        failed |= _print_site(site.stem, planned_runs, found, len(versions))
    return int(failed)


def _days(
    site: Path, seeds: int, first_seed: int, standard: bool
) -> list[tuple[str, int | None]]:
    days: list[tuple[str, int | None]] = []
    if standard:
        described = tomllib.loads(site.read_text())["day"]
        days += [(d["name"], None) for d in described if d["slot"] in _SLOTS]
    days += [(MIXED_DAY, first_seed + n) for n in range(seeds)]
    return days


def _print_site(
    site: str,
    planned_runs: Sequence[DayRun],
    found: Sequence[Figures | DayRunError],
    versions: int,
) -> bool:
    """Prints the days of a site; returns whether one could not be run."""
    rows = len(planned_runs) // versions
    pairs = []
    failed = False
    print(f"{site}: {' against '.join(_names(planned_runs, rows))}")
    for row in range(rows):
        played = found[row::rows]
        errors = [one for one in played if isinstance(one, DayRunError)]
        figures = [one for one in played if isinstance(one, Figures)]
        if errors:
            failed = True
            print(f"  {planned_runs[row].label}: not run: {errors[0]}")
            continue
        pairs.append(figures)
        print(f"  {planned_runs[row].label:16} {_line(figures)}")
    if pairs:
        _print_means(pairs)
    return failed


def _names(planned_runs: Sequence[DayRun], rows: int) -> Iterable[str]:
    for day_run in planned_runs[::-rows] if rows else ():
        yield day_run.commit[:10] + (
            day_run.without and f" without {day_run.without}"
        )


def _line(figures: Sequence[Figures]) -> str:
    columns = [
        f"{one.worth:.3f} ({' '.join(f'{kind:.2f}' for kind in one.kinds)})"
        + "".join(f" BROKEN {rule}" for rule in one.broken)
        for one in figures
    ]
    if len(figures) > 1:
        columns.append(f"{figures[-1].worth - figures[0].worth:+.3f}")
    return "  ".join(columns)


def _print_means(pairs: Sequence[Sequence[Figures]]) -> None:
    for name in _FIGURES:
        columns = [
            [float(getattr(one[version], name)) for one in pairs]
            for version in range(len(pairs[0]))
        ]
        means = " ".join(f"{sum(c) / len(c):10.3f}" for c in columns)
        text = f"  mean {name:15} {means}"
        if len(columns) > 1:
            delta = difference(columns[0], columns[-1])
            text += f"  {delta.mean:+.3f} [{delta.low:+.3f}, {delta.high:+.3f}]"
            text += "" if delta.is_significant else " (not significant)"
        print(text)
