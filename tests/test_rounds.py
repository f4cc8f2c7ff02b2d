"""Tests the comparison of two commits on the same simulated days."""

import json
from pathlib import Path
from unittest import mock

from bench.rounds import causes
from bench.rounds.compare import difference
from bench.rounds.day_runs import DayRun, read_figures, run_day
from pimentocross.cli.log_lines import read_lines

_REPORT = {
    "G": 0.71,
    "served": 0.8,
    "classes": [
        {"worth": 0.9, "p50_ms": 1500.0, "p99_ms": 6000.0, "in_aim": 10},
        {"worth": 0.6, "p50_ms": 9000.0, "p99_ms": 30000.0, "in_aim": 88},
    ],
    "prices": [["core-seconds of work thrown away", 43.5, 0.001]],
    "breaks": {"LOST": 1},
    "hints": [
        "48 jobs (48 accepted), 516 tasks; 554 runs: 413 done, 17 failed,"
        " 29 stopped, 0 lapsed; 0 away from their data or rack",
        "40 orders on pace; serving tasks were over their target, or paced"
        " down, for 20 s in all, 18 s of it by others' doing",
    ],
}


def test_a_report_is_read_with_its_sentences() -> None:
    figures = read_figures(_REPORT)
    assert figures.worth == 0.71
    assert figures.worst_kind == 0.6
    assert (figures.done, figures.stopped) == (413, 29)
    assert (figures.over_target, figures.over_by_others) == (20.0, 18.0)
    assert figures.thrown_away == 43.5
    assert figures.in_time == 88
    assert figures.broken == ("LOST",)


def test_only_a_steady_difference_is_significant() -> None:
    before = [0.5, 0.7, 0.9, 0.6, 0.8, 0.4, 0.75, 0.65]
    steady = difference(before, [x + 0.03 + 0.001 * x for x in before])
    assert steady.is_significant and 0.029 < steady.low <= steady.high < 0.032
    signs = (1, -1, 1, -1, 1, -1, 1, -1)
    alternating = difference(
        before, [x + 0.05 * s for x, s in zip(before, signs, strict=True)]
    )
    assert not alternating.is_significant and alternating.pairs == 8


def test_a_day_with_a_report_is_not_run_again() -> None:
    day_run = DayRun("c" * 40, "", Path("site.toml"), "mix", 3)
    with (
        mock.patch("bench.rounds.day_runs._run") as run,
        mock.patch.object(Path, "exists", return_value=True),
        mock.patch.object(Path, "read_text", return_value=json.dumps(_REPORT)),
    ):
        found = run_day(Path("b"), Path("t"), day_run, Path("r"))
    assert found.worth == 0.71
    run.assert_not_called()
    assert day_run.file_name == "cccccccccccc-whole-site-mix-3.json"


_LOG = """
{"t":1.0,"vm":"a","is":"job_accepted","job":"j","queue":"q","steps":[[1,[1000,500,0],1.0,[],false,false,false,"","",0,false,false,"x",0,true,null]]}
{"t":9.0,"vm":"a","is":"run_decided","task":["j",0,0,0],"run":1,"worker":"w"}
{"t":10.0,"vm":"a","is":"run_ended","task":["j",0,0,0],"run":1,"worker":"w","how":"done"}
{"t":10.0,"vm":"a","is":"job_ended","job":"j","state":"completed","took":9.0}
"""


def test_causes_of_late_jobs_are_added_up() -> None:
    rows = causes.causes(read_lines(_LOG))
    assert len(rows) == 1
    row = rows[0]
    assert (row.kind, row.jobs, row.work) == ("fills", 1, 1.0)
    assert "waited" in row.cause
