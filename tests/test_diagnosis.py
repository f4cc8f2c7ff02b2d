"""Tests the diagnosis of where a job's time went, from the decision log."""

from typing import Any

import msgspec

from pimentocross.cli.diagnosis import Diagnosis, Span, diagnose
from pimentocross.cli.log_lines import read_lines
from pimentocross.work.spec import Size, StepSpec

_SIZE = Size(1500, 1000, 0)


def _line(at: float, kind: str, **fields: Any) -> str:
    return msgspec.json.encode(
        {"t": at, "vm": "a", "is": kind} | fields
    ).decode()


def _accepted(*steps: StepSpec) -> str:
    return _line(10.0, "job_accepted", job="j", queue="q", steps=steps)


def _run(
    began: float,
    ended: float | None,
    how: str = "done",
    *,
    task: tuple[int, int] = (0, 0),
    run: int = 1,
    worker: str = "w1",
) -> list[str]:
    named = {"task": ["j", 0, *task], "run": run, "worker": worker}
    lines = [_line(began, "run_decided", **named)]
    if ended is not None:
        lines.append(_line(ended, "run_ended", how=how, **named))
    return lines


def _loads(until: int, **more: int) -> list[str]:
    usual = {
        "capacity": 100_000,
        "committed": 98_000,
        "left_over": 40_000,
        "waiting": 12,
        "waiting_fillers": 30,
    }
    return [
        _line(float(at), "load", **(usual | more)) for at in range(9, until)
    ]


def _diagnose(*lines: str) -> Diagnosis:
    return diagnose(read_lines("\n".join(lines)), "j")


def test_a_wait_for_room_names_the_cores_that_it_needs() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(14.0, 15.0),
        _line(15.0, "job_ended", job="j", state="completed", took=5.0),
        *_loads(17),
    )
    assert result.outcome == "completed"
    assert [part.span for part in result.parts] == [Span.WAITED, Span.WORKED]
    assert result.cause == "4.0 of 5.0 s waited: no room for 1.5 cores"


def test_a_wait_names_the_cores_in_evacuated_zones() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(14.0, 15.0),
        *_loads(16, closed=50_000),
    )
    assert "50 cores were in evacuated zones" in result.parts[0].detail
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)), *_run(14.0, 15.0), *_loads(16)
    )
    assert "evacuated" not in result.parts[0].detail


def test_an_excluded_filler_differs_from_full_workers() -> None:
    filler = StepSpec(1, _SIZE, image="x", fills=True)
    shut = _diagnose(_accepted(filler), *_run(14.0, 15.0), *_loads(17))
    assert "image x was shut out" in shut.cause
    full = _diagnose(
        _accepted(filler), *_run(14.0, 15.0), *_loads(17, left_over=1000)
    )
    assert "nothing was left over to fill" in full.cause


def test_a_lost_run_names_the_problem_of_its_worker() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(12.0, "worker_silent", worker="w1", reason="no answer"),
        _line(15.0, "runs_lost", worker="w1", count=1, reason="lapsed"),
        *_run(15.2, 16.0, run=2, worker="w2"),
        _line(16.0, "job_ended", job="j", state="completed", took=6.0),
        *_loads(18),
    )
    assert result.cause.startswith("5.1 of 5.9 s lost: its end was not logged")
    assert "worker silent" in result.cause


def test_a_run_of_a_lost_worker_ends_when_it_was_given_up() -> None:
    lost = {"task": ["j", 0, 0, 0], "run": 1, "worker": "w1"}
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(12.0, "run_lost", **lost, state="running", lived=0.0),
        *_run(14.0, 16.0, run=2, worker="w2"),
        _line(16.0, "job_ended", job="j", state="completed", took=6.0),
        *_loads(18),
    )
    assert [part.span for part in result.parts] == [
        Span.LOST,
        Span.WAITED,
        Span.WORKED,
    ]
    assert result.parts[0].detail == "its worker was given up, on w1"


def test_a_wait_for_an_unlisted_worker_names_the_rest_of_its_lease() -> None:
    lost = {"task": ["j", 0, 0, 0], "run": 1, "worker": "w1"}
    lines = [
        _accepted(StepSpec(1, _SIZE, lasting=True)),
        *_run(10.1, None),
        _line(12.0, "run_waits", **lost, seconds=17.4),
        *_loads(30),
    ]
    result = _diagnose(*lines)
    assert "the lease of its unlisted worker had 17.4 s left" in result.cause
    result = _diagnose(
        *lines, _line(29.4, "run_lost", **lost, state="running", lived=0.0)
    )
    assert "the lease of its unlisted worker had 17.4 s left" in result.cause


def test_a_job_given_up_for_crashes_has_them_as_its_cause() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(
            12.0, "task_given_up", task=["j", 0, 0, 0], worker="w1", crashes=2
        ),
        _line(12.0, "job_ended", job="j", state="failed", took=2.0),
        *_loads(14),
    )
    assert result.cause == "given up: 2 workers crashed under a task of it"


def test_a_stopped_run_whose_progress_was_kept_counts_as_moved() -> None:
    moves = [
        *_run(10.0, 13.0, "stopped"),
        _line(12.6, "run_stop", task=["j", 0, 0, 0], run=1, reason="disturbs"),
        *_run(13.0, 14.0, run=2, worker="w2"),
        *_loads(16),
    ]
    for saves, span in ((True, Span.MOVED), (False, Span.LOST)):
        result = _diagnose(_accepted(StepSpec(1, _SIZE, saves=saves)), *moves)
        assert result.parts[0].span is span
        assert result.cause == f"3.0 of 4.0 s {span.value}: disturbs"


def test_the_path_follows_the_steps_that_ended_last() -> None:
    # Steps 0 and 1 run in parallel, step 2 after both; step 1 is slower.
    steps = [
        StepSpec(1, _SIZE),
        StepSpec(2, _SIZE),
        StepSpec(1, _SIZE, after=(0, 1)),
    ]
    result = _diagnose(
        _accepted(*steps),
        *_run(10.0, 11.0, task=(0, 0)),
        *_run(10.0, 11.5, task=(1, 0)),
        *_run(10.0, 13.0, "failed", task=(1, 1)),
        *_run(13.05, 14.0, task=(1, 1), run=2),
        *_run(14.05, 15.0, task=(2, 0)),
        *_loads(17),
    )
    assert [part.detail for part in result.parts] == [
        "it failed, on w1",
        "on w1",
        "on w1",
    ]
    assert result.cause == "3.0 of 4.9 s lost: it failed"


def test_losses_of_one_group_are_added_up_and_precede_work() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.0, 11.0, "failed"),
        *_run(11.0, 12.0, "failed", run=2, worker="w2"),
        *_run(12.0, 15.0, run=3, worker="w3"),
        *_loads(17),
    )
    assert result.cause == "2.0 of 5.0 s lost: it failed"
    quick = _diagnose(
        _accepted(StepSpec(1, _SIZE)), *_run(10.15, 12.0), *_loads(14)
    )
    assert quick.cause.endswith("s worked")


def test_a_time_without_an_owner_is_a_cause() -> None:
    loads = [
        line
        for line in _loads(20)
        if not 10.5 < msgspec.json.decode(line)["t"] < 14.5
    ]
    result = _diagnose(_accepted(StepSpec(1, _SIZE)), *_run(15.0, 15.5), *loads)
    assert "no owner for 5.0 s" in result.cause


def test_a_job_never_accepted_has_its_refusal_as_cause() -> None:
    result = _diagnose(
        _line(1.0, "submit_refused", job="j", reason="store away"),
        _line(2.0, "run_stop", task=["j", 0, 0, 0], run=1, reason="x"),
        *_loads(12),
    )
    assert result == Diagnosis("not accepted", (), "refused: store away")


def test_steps_of_an_unknown_format_raise_no_error() -> None:
    for steps in (None, [["x"]]):
        result = _diagnose(
            _line(10.0, "job_accepted", job="j", steps=steps),
            *_run(10.0, 11.0),
        )
        assert (
            result.cause
            == "the format of the job's steps in the log is unknown"
        )


def test_a_job_out_of_attempts_and_a_cancelled_one_have_causes() -> None:
    failed = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.0, 11.0, "failed"),
        *_run(11.0, 12.0, "failed", run=2),
        _line(12.0, "job_ended", job="j", state="failed", took=2.0),
    )
    assert failed.cause == "out of attempts: 2 runs failed"
    cancelled = _diagnose(
        _accepted(StepSpec(1, _SIZE)),
        _line(11.0, "job_ended", job="j", state="cancelled", took=1.0),
    )
    assert cancelled.cause == "cancelled by its caller"


# Guards against runs of completed jobs that are reported as lost: the log of an
# owner of 246 workers had dropped four fifths of the `run_ended` lines.


def test_runs_of_a_completed_job_with_dropped_ends_are_not_lost() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE), StepSpec(1, _SIZE, after=(0,))),
        *_run(10.0, None),
        *_run(12.0, None, task=(1, 0), worker="w2"),
        _line(13.0, "job_ended", job="j", state="completed", took=3.0),
        *_loads(15),
    )
    assert [(part.span, part.seconds) for part in result.parts] == [
        (Span.WORKED, 2.0),
        (Span.WORKED, 1.0),
    ]
    assert result.parts[0].detail == "on w1, its end was not logged"
    assert result.cause == "3.0 of 3.0 s worked"


def test_tasks_of_a_completed_job_without_a_line_did_not_wait() -> None:
    some = _diagnose(
        _accepted(StepSpec(2, _SIZE)),
        *_run(10.0, 12.5),
        _line(13.0, "job_ended", job="j", state="completed", took=3.0),
        *_loads(15),
    )
    assert [part.span for part in some.parts] == [Span.WORKED]
    none = _diagnose(
        _accepted(StepSpec(1, _SIZE), StepSpec(1, _SIZE, after=(0,))),
        *_run(12.0, 13.0, task=(1, 0)),
        _line(13.0, "job_ended", job="j", state="completed", took=3.0),
        *_loads(15),
    )
    assert none.parts[0][:2] == (10.0, 12.0)
    assert none.parts[0].detail == "the log has no line about its runs"


def test_a_run_without_an_end_of_an_open_job_is_lost() -> None:
    result = _diagnose(
        _accepted(StepSpec(1, _SIZE)), *_run(10.0, None), *_loads(15)
    )
    assert result.parts[0].span is Span.LOST
    assert result.parts[0].detail == "its end was not logged, on w1"


def test_a_run_lost_under_a_late_owner_names_the_lateness() -> None:
    lost = [
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(15.0, "runs_lost", worker="w1", count=1, reason="lapsed"),
        *_run(15.2, 16.0, run=2, worker="w2"),
        _line(16.0, "job_ended", job="j", state="completed", took=6.0),
        *_loads(18),
    ]
    late = _line(12.0, "late", late=1.4, passes=1.3, processor=1.4)
    assert "owner late" in _diagnose(*lost, late).cause
    other = msgspec.json.decode(late) | {"vm": "b"}
    assert (
        "late"
        not in _diagnose(*lost, msgspec.json.encode(other).decode()).cause
    )


def test_an_owner_late_to_log_its_load_is_not_missing() -> None:
    loads = [
        line
        for line in _loads(20)
        if not 10.5 < msgspec.json.decode(line)["t"] < 14.5
    ]
    late = _line(14.4, "late", late=3.1, passes=3.0, processor=3.1)
    work = [_accepted(StepSpec(1, _SIZE)), *_run(15.0, 15.5), *loads]
    result = _diagnose(*work, late)
    assert "the owner was late for 5.0 s" in result.cause, result.cause
    assert "no owner" in _diagnose(*work).cause
