"""Tests that the decision log is bounded, never blocks and can be read."""

import os
from pathlib import Path
import tempfile
import time
from unittest import mock

from typer.testing import CliRunner

from pimentocross.cli import explain
from pimentocross.cli.explain import job_timeline
from pimentocross.cli.log_lines import read_lines
from pimentocross.cli.main import app
from pimentocross.observe import decisions
from pimentocross.observe.decisions import DecisionLog
from pimentocross.observe.histograms import Histograms, Label
from pimentocross.observe.metrics import render
from tests.log_fixtures import LogHarness

_LOG = """\
 -1.2 edge-1 {"t":10.0,"vm":"a","is":"job_accepted","job":"j1","queue":"q"}
Traceback (most recent call last):
{"t":10.2,"vm":"a","is":"run_decided","task":["j1",0,0,1],"run":1,"worker":"w"}
{"t":10.2,"vm":"a","is":"run_decided","task":["j1",0,0,2],"run":1,"worker":"w"}
{"t":10.3,"vm":"a","is":"run_decided","task":["j2",0,0,1],"run":1,"worker":"w"}
{"t":10.4,"vm":"b","is":"claim","reason":"silent","at":7}
{"t":10.9,"vm":"b","is":"run_ended","task":["j1",0,0,1],"run":1,"how":"done"}
{"t":99.0,"vm":"b","is":"claim","reason":"silent","at":9}
{"not":"a decision"}
"""


def test_a_jobs_timeline_is_in_order_with_events_of_its_time() -> None:
    timeline = job_timeline(read_lines(_LOG), "j1")
    assert [line.kind for line in timeline] == [
        "job_accepted",
        "run_decided",
        "run_decided",
        "claim",
        "run_ended",
    ]


def test_the_command_prints_the_timeline_or_fails_without_lines() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "log"
        path.write_text(_LOG, "utf-8")
        runner = CliRunner()
        result = runner.invoke(app, ["explain", "j1", str(path)])
        assert result.exit_code == 0
        assert "run_ended" in result.output
        assert "how=done" in result.output
        missing = runner.invoke(app, ["explain", "j9", str(path)])
        assert missing.exit_code == 1


def test_a_timeline_shows_that_the_owner_was_late() -> None:
    late = '{"t":10.5,"vm":"a","is":"late","late":1.4,"passes":1.3}\n'
    read = '{"t":10.6,"vm":"a","is":"owner_read","epoch":8,"jobs":1}\n'
    kinds = [
        line.kind for line in job_timeline(read_lines(_LOG + late + read), "j1")
    ]
    assert {"late", "owner_read"} <= set(kinds), kinds


def test_the_newest_lines_are_kept_within_a_bound() -> None:
    harness = LogHarness()
    for number in range(40_000):
        text = f"{number}" + "x" * 100
        harness.note("load", number=number, text=text)
        if number % 40 == 39:
            harness.tick()
    recent = harness.log.recent()
    kept = read_lines(recent.decode())
    assert kept[-1].fields["number"] == 39_999
    assert 2_900_000 < len(recent) <= 3_000_000


def test_the_command_asks_live_vms() -> None:
    with mock.patch.object(explain, "fetch_text", return_value=_LOG) as asked:
        result = CliRunner().invoke(app, ["explain", "j1", "--live", "h:1"])
    assert result.exit_code == 0, result.output
    assert "how=done" in result.output
    asked.assert_called_once_with("h:1", "/decisions")


def test_no_field_replaces_the_writer_or_kind_of_a_line() -> None:
    log = DecisionLog()
    log.source = "a"
    log.note("suspect", {"vm": "b", "is": "other", "owner": "b"})
    assert log.newest() == {"vm": "a", "is": "suspect", "owner": "b"}


def test_a_blocked_reader_costs_lines_but_no_time() -> None:
    reader, writer = os.pipe()
    log = DecisionLog()
    saved = os.dup(1)
    try:
        os.dup2(writer, 1)
        os.set_blocking(1, False)
        began = time.monotonic()
        for number in range(20_000):
            log.note("run_decided", {"number": number, "text": "x" * 100})
            if number % 100 == 0:
                log.flush()
        assert time.monotonic() - began < 5.0
    finally:
        os.dup2(saved, 1)
        os.close(saved)
        os.close(writer)
        os.close(reader)
    assert log.dropped["run_decided"] > 10_000


def test_counters_and_latencies_are_rendered_as_metrics() -> None:
    decisions.note("run_decided")
    histograms = Histograms()
    histograms.record(Label("queue", "q"), 0.02)
    page = render(histograms, {"config_version": 7}).decode()
    assert 'pimentocross_decisions_total{is="run_decided"}' in page
    assert "pimentocross_config_version 7" in page
    assert 'pimentocross_latency_ms_count{queue="q"} 1' in page
