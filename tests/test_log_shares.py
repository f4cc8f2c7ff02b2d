"""Tests which lines the decision log writes when there are too many.

Load pattern: the owner of a cell of 246 workers started and ended four hundred
runs a second. Their lines used the whole rate of the log: 27,213 of 34,612
`run_ended` lines were dropped, and with them nearly all lines that explain lost
runs, mainly `worker_silent` and `start_unanswered`. Each line was encoded
before it was dropped, on a VM without spare CPU time, and the counter of
dropped lines was reset each time it was logged.
"""

from collections import Counter
import time

from pimentocross.observe.decisions import DecisionLog
from tests.log_fixtures import MAX_BYTES_PER_SECOND, LogHarness

_SECONDS = 20
# Runs in a tenth of a second, five times as many as in the large cell.
_FLOOD = 200


def _flood(harness: LogHarness) -> None:
    harness.note_runs("run_decided", _FLOOD, free=[200, 49_440, 0])
    harness.note_runs("run_ended", _FLOOD, how="done", failures=0)


def test_rare_lines_are_written_beside_a_flood() -> None:
    harness = LogHarness()
    for tick in range(_SECONDS * 10):
        _flood(harness)
        if tick % 10 == 0:
            harness.note("worker_unsound", worker="w1", sick=True, slow=False)
        for _ in range(2):
            reason = "worker-hold: no answer in time"
            harness.note("worker_silent", worker="i-74b00fadcf", reason=reason)
        harness.tick()
    counts = harness.counts()
    assert counts["worker_unsound"] == _SECONDS, counts
    assert counts["worker_silent"] == 2 * 10 * _SECONDS, counts


def test_a_burst_of_a_rare_kind_is_written_beside_a_flood() -> None:
    harness = LogHarness()
    for tick in range(_SECONDS * 10):
        _flood(harness)
        if tick % 60 == 59:
            # All workers of the large cell stop answering at once.
            for number in range(246):
                harness.note("worker_silent", worker=f"w{number}", reason="x")
        harness.tick()
    counts = harness.counts()
    assert counts["worker_silent"] == 3 * 246, counts


def test_a_flood_takes_what_others_leave_and_no_more() -> None:
    harness = LogHarness()
    for _ in range(_SECONDS * 10):
        _flood(harness)
        harness.tick()
    assert harness.size <= MAX_BYTES_PER_SECOND * (_SECONDS + 2), harness.size
    assert harness.size > 0.9 * MAX_BYTES_PER_SECOND * _SECONDS, harness.size
    counts = harness.counts()
    # Of two kinds with equal load, neither displaces the other.
    assert counts["run_ended"] > 0.5 * counts["run_decided"], counts
    assert counts["run_decided"] > 0.5 * counts["run_ended"], counts


def test_one_kind_alone_may_use_all() -> None:
    harness = LogHarness()
    for _ in range(_SECONDS * 10):
        harness.note_runs("run_decided", _FLOOD)
        harness.tick()
    assert harness.size > 0.9 * MAX_BYTES_PER_SECOND * _SECONDS


def test_lines_longer_than_their_kind_was_thought_keep_the_bound() -> None:
    harness = LogHarness()
    for number in range(_SECONDS * 10):
        for _ in range(50):
            harness.note("job_accepted", text=f"{number}" + "x" * 3_800)
        harness.note("claim", reason="silent", at=number)
        harness.tick()
    assert harness.size <= MAX_BYTES_PER_SECOND * (_SECONDS + 2), harness.size
    assert harness.counts()["claim"] == 10 * _SECONDS, harness.counts()


def test_lines_too_long_for_a_pipe_bar_no_shorter_ones_for_good() -> None:
    harness = LogHarness()
    for _ in range(50):
        harness.note_runs("job_accepted", 20, text="x" * 50_000)
        harness.tick()
    assert not harness.counts()["job_accepted"]
    for _ in range(50):
        harness.note("job_accepted", text="x")
        harness.tick()
    assert harness.counts()["job_accepted"] > 40, harness.counts()


def test_ends_that_explain_a_lost_run_go_before_ordinary_ones() -> None:
    harness = LogHarness()
    for _ in range(_SECONDS * 10):
        _flood(harness)
        harness.note_runs("run_ended", 1, how="lapsed", failures=0)
        harness.note_runs("run_ended", 2, how="failed", failures=1)
        harness.tick()
    ends = Counter(line.fields.get("how") for line in harness.lines())
    assert ends["lapsed"] == 10 * _SECONDS, ends
    assert ends["failed"] == 20 * _SECONDS, ends


def test_rare_lines_wait_beside_a_flood_while_nobody_reads() -> None:
    harness = LogHarness()
    harness.reader_stalled = True
    for tick in range(_SECONDS * 10):
        _flood(harness)
        if tick % 10 == 0:
            harness.note("claim", reason="silent", at=tick)
        harness.tick()
    harness.reader_stalled = False
    harness.tick()
    assert harness.counts()["claim"] == _SECONDS, harness.counts()
    # The queue holds 4,000 lines of about 200 bytes, besides one burst.
    assert harness.size < 4_000 * 200 + 2 * MAX_BYTES_PER_SECOND, harness.size


def test_runs_of_a_large_cell_fit_into_what_may_be_written() -> None:
    harness = LogHarness()
    for _ in range(_SECONDS * 10):
        harness.note_runs("run_decided", 42, free=[200, 49_440, 0])
        harness.note_runs("run_ended", 42, how="done", failures=0)
        harness.tick()
    counts = harness.counts()
    assert counts["run_decided"] == 420 * _SECONDS, counts
    assert counts["run_ended"] == 420 * _SECONDS, counts


def test_lines_are_read_as_they_were_noted() -> None:
    harness = LogHarness()
    harness.note("claim", reason="silent", at=7)
    for number in range(30):
        harness.now += 0.003
        harness.note(
            "run_ended", task=["j", 0, 0, number], run=1, how="done", worker="w"
        )
    harness.now += 0.003
    harness.note("job_ended", job="j", state="completed", took=1.5)
    harness.tick()
    lines = sorted(harness.lines(), key=lambda line: line.at)
    kinds = [line.kind for line in lines]
    assert kinds == ["claim", *["run_ended"] * 30, "job_ended"]
    for number, line in enumerate(lines[1:31]):
        assert line.vm == "edge-dune-hall-2"
        assert abs(line.at - 1_000.003 - 0.003 * number) < 0.0011, line
        assert line.fields["task"] == ["j", 0, 0, number]
        assert line.fields["run"] == 1
        assert (line.fields["how"], line.fields["worker"]) == ("done", "w")
        assert line.concerns("j")
    assert all(len(line) < 4_096 for line in harness.log.recent().splitlines())


def test_what_was_dropped_is_told_and_its_counter_never_falls() -> None:
    harness = LogHarness()
    reported = before = 0
    for tick in range(_SECONDS * 10):
        if tick % 50 < 20:
            _flood(harness)
        harness.tick()
        dropped = harness.log.dropped["run_ended"]
        assert dropped >= before, (tick, before, dropped)
        before = dropped
    for line in harness.lines():
        if line.kind == "lines_dropped":
            reported += line.fields["by_kind"].get("run_ended", 0)
    assert reported == before > 5_000


def test_a_line_that_is_dropped_is_not_encoded() -> None:
    short, long = _cost_of_dropping("x"), _cost_of_dropping("x" * 100_000)
    # Encoding the long line takes twenty times as long as everything else.
    assert long < 4 * short, (short, long)


def _cost_of_dropping(text: str) -> float:
    """Returns the minimum CPU seconds to drop a hundred decisions."""
    log = DecisionLog()
    fields: dict[str, object] = {"text": text}
    while not log.dropped["load"]:
        log.note("load", {"text": "x" * 1_000})
    return min(_time_of_hundred(log, fields) for _ in range(20))


def _time_of_hundred(log: DecisionLog, fields: dict[str, object]) -> float:
    began = time.thread_time()
    for _ in range(100):
        log.note("load", fields)
    return time.thread_time() - began
