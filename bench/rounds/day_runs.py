"""Runs a simulated day of a deployment and reads its report."""

import json
import os
from pathlib import Path
import subprocess
from typing import Any, Final, NamedTuple

# Name of a day that the users' program generates from the site's faults.
MIXED_DAY: Final = "mix"
# Seconds. A day takes a minute of one core, and several on a busy computer.
_DAY_TIMEOUT: Final = 900.0


class DayRun(NamedTuple):
    """A day to run on a commit.

    Attributes:
        commit: Full id of the commit.
        without: Name of the disabled mechanism, or "".
        site: Path of the site file.
        day: Name of a day in it, `MIXED_DAY`, or path of a day file.
        seed: Random seed; None for the one given in the day.
    """

    commit: str
    without: str
    site: Path
    day: str
    seed: int | None

    @property
    def label(self) -> str:
        """Returns the name of the day and its seed."""
        day = Path(self.day).stem
        return day if self.seed is None else f"{day}/{self.seed}"

    @property
    def file_name(self) -> str:
        """Returns the name of the report file."""
        parts = [self.commit[:12], self.without or "whole", self.site.stem]
        return "-".join([*parts, self.label.replace("/", "-")]) + ".json"


class Figures(NamedTuple):
    """Results of a day, from its report.

    Attributes:
        worth: Share of the possible value that was earned, less prices.
        served: The same share over the day, before prices.
        worst_kind: Lowest share of a kind of request.
        kinds: Share of each kind of request, in the site's order.
        p50: Median duration of jobs of the first kind, in milliseconds.
        p99: 99th percentile of these durations, in milliseconds.
        in_time: Jobs of the second kind that met their objective.
        over_target: Seconds during which serving tasks exceeded their target.
        over_by_others: The part of it caused by best-effort neighbours.
        stopped: Number of runs that were stopped.
        done: Number of runs that succeeded.
        thrown_away: Core-seconds of work that was lost.
        broken: Names of the rules that were violated.
    """

    worth: float
    served: float
    worst_kind: float
    kinds: tuple[float, ...]
    p50: float
    p99: float
    in_time: int
    over_target: float
    over_by_others: float
    stopped: int
    done: int
    thrown_away: float
    broken: tuple[str, ...]


class DayRunError(Exception):
    """A day could not be run; the message ends with the program's output."""


def run_day(
    program: Path, tree: Path, day_run: DayRun, reports: Path
) -> Figures:
    """Runs a day and returns its results; reuses the report if there is one.

    Args:
        program: The users' bench.
        tree: Work tree at the commit of the run.
        day_run: Day to run.
        reports: Folder of the reports.

    Raises:
        DayRunError: If the program wrote no report.
    """
    report = reports / day_run.file_name
    if not report.exists():
        _run(program, tree, day_run, report)
    return read_figures(json.loads(report.read_text()))


def _run(program: Path, tree: Path, day_run: DayRun, report: Path) -> None:
    command = [str(program), "run", str(day_run.site), day_run.day]
    if day_run.seed is not None:
        command += ["--seed", str(day_run.seed)]
    why = f"round: {day_run.commit[:10]} {day_run.without and 'without '}"
    command += ["--no-cpu", "--jobs", "1", "--report", str(report)]
    command += ["--why", f"{why}{day_run.without}, {day_run.label}"]
    environment = {**os.environ, "GIT_OPTIONAL_LOCKS": "0"}
    done = subprocess.run(
        command,
        cwd=tree,
        env=environment,
        capture_output=True,
        text=True,
        timeout=_DAY_TIMEOUT,
        check=False,
    )
    if not report.exists():
        raise DayRunError(
            f"{day_run.label}: {done.stdout[-400:]}{done.stderr[-400:]}"
        )


def read_figures(report: dict[str, Any]) -> Figures:
    """Returns the results in the report of a day."""
    kinds = report["classes"]
    runs, over = _hints(report["hints"])
    prices = {name: amount for name, amount, _ in report["prices"]}
    return Figures(
        worth=report["G"],
        served=report["served"],
        worst_kind=min(kind["worth"] for kind in kinds),
        kinds=tuple(kind["worth"] for kind in kinds),
        p50=kinds[0]["p50_ms"],
        p99=kinds[0]["p99_ms"],
        in_time=kinds[1]["in_aim"] if len(kinds) > 1 else 0,
        over_target=over[0],
        over_by_others=over[1],
        stopped=runs.get("stopped", 0),
        done=runs.get("done", 0),
        thrown_away=prices.get("core-seconds of work thrown away", 0.0),
        broken=tuple(report["breaks"]),
    )


def _hints(lines: list[str]) -> tuple[dict[str, int], tuple[float, float]]:
    """Returns the counts of runs and the seconds over target from sentences."""
    runs: dict[str, int] = {}
    over = (0.0, 0.0)
    for line in lines:
        if " runs: " in line:
            counts = line.split(" runs: ")[1].split(";")[0]
            for part in counts.split(", "):
                number, _, name = part.partition(" ")
                runs[name] = int(number)
        if "over their target" in line:
            seconds = [
                float(word)
                for word, unit in zip(
                    line.split(), line.split()[1:], strict=False
                )
                if unit == "s"
            ]
            over = (seconds[0], seconds[1])
    return runs, over
