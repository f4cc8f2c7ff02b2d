"""Where the time of a job went, out of the decision log."""

from typing import Any

import msgspec

from pimentocross.cli.log_lines import read_lines
from pimentocross.cli.story import Diagnosis, Span, diagnose
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


def _told(*lines: str) -> Diagnosis:
    return diagnose(read_lines("\n".join(lines)), "j")


def test_a_wait_for_room_is_told_with_what_was_taken() -> None:
    told = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(14.0, 15.0),
        _line(15.0, "job_ended", job="j", state="completed", took=5.0),
        *_loads(17),
    )
    assert told.outcome == "completed"
    assert [part.span for part in told.parts] == [Span.WAITED, Span.WORKED]
    assert told.cause == "4.0 of 5.0 s waited: no room for 1.5 cores"


def test_a_wait_while_a_zone_is_evacuated_names_its_room() -> None:
    told = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(14.0, 15.0),
        *_loads(16, closed=50_000),
    )
    assert "50 cores were in evacuated zones" in told.parts[0].detail
    told = _told(_accepted(StepSpec(1, _SIZE)), *_run(14.0, 15.0), *_loads(16))
    assert "evacuated" not in told.parts[0].detail


def test_a_filler_that_is_shut_out_is_told_from_full_workers() -> None:
    filler = StepSpec(1, _SIZE, image="x", fills=True)
    shut = _told(_accepted(filler), *_run(14.0, 15.0), *_loads(17))
    assert "image x was shut out" in shut.cause
    full = _told(
        _accepted(filler), *_run(14.0, 15.0), *_loads(17, left_over=1000)
    )
    assert "nothing was left over to fill" in full.cause


def test_runs_that_came_to_nothing_are_told_with_their_worker() -> None:
    told = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(12.0, "worker_silent", worker="w1", reason="no answer"),
        _line(15.0, "runs_lost", worker="w1", count=1, reason="lapsed"),
        *_run(15.2, 16.0, run=2, worker="w2"),
        _line(16.0, "job_ended", job="j", state="completed", took=6.0),
        *_loads(18),
    )
    assert told.cause.startswith("5.1 of 5.9 s lost: no word of its end")
    assert "worker silent" in told.cause


def test_a_run_that_went_with_its_worker_ends_when_that_was_known() -> None:
    lost = {"task": ["j", 0, 0, 0], "run": 1, "worker": "w1"}
    told = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(12.0, "run_lost", **lost, state="running", lived=0.0),
        *_run(14.0, 16.0, run=2, worker="w2"),
        _line(16.0, "job_ended", job="j", state="completed", took=6.0),
        *_loads(18),
    )
    assert [part.span for part in told.parts] == [
        Span.LOST,
        Span.WAITED,
        Span.WORKED,
    ]
    assert told.parts[0].detail == "its worker was given up, on w1"


def test_a_run_that_waits_for_an_unlisted_worker_is_told_for_how_long() -> None:
    lost = {"task": ["j", 0, 0, 0], "run": 1, "worker": "w1"}
    lines = [
        _accepted(StepSpec(1, _SIZE, lasting=True)),
        *_run(10.1, None),
        _line(12.0, "run_waits", **lost, seconds=17.4),
        *_loads(30),
    ]
    told = _told(*lines)
    assert "the lease of its unlisted worker had 17.4 s left" in told.cause
    told = _told(
        *lines, _line(29.4, "run_lost", **lost, state="running", lived=0.0)
    )
    assert "the lease of its unlisted worker had 17.4 s left" in told.cause


def test_a_job_that_was_given_up_for_crashes_is_told_so() -> None:
    told = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(
            12.0, "task_given_up", task=["j", 0, 0, 0], worker="w1", crashes=2
        ),
        _line(12.0, "job_ended", job="j", state="failed", took=2.0),
        *_loads(14),
    )
    assert told.cause == "given up: 2 workers crashed under a task of it"


def test_a_stopped_run_whose_progress_was_kept_is_told_as_moved() -> None:
    moves = [
        *_run(10.0, 13.0, "stopped"),
        _line(12.6, "run_stop", task=["j", 0, 0, 0], run=1, reason="disturbs"),
        *_run(13.0, 14.0, run=2, worker="w2"),
        *_loads(16),
    ]
    for saves, span in ((True, Span.MOVED), (False, Span.LOST)):
        told = _told(_accepted(StepSpec(1, _SIZE, saves=saves)), *moves)
        assert told.parts[0].span is span
        assert told.cause == f"3.0 of 4.0 s {span.value}: disturbs"


def test_the_step_that_ended_last_is_walked_back() -> None:
    # Steps 0 and 1 run side by side, 2 after both; 1 is the slow one.
    steps = [
        StepSpec(1, _SIZE),
        StepSpec(2, _SIZE),
        StepSpec(1, _SIZE, after=(0, 1)),
    ]
    told = _told(
        _accepted(*steps),
        *_run(10.0, 11.0, task=(0, 0)),
        *_run(10.0, 11.5, task=(1, 0)),
        *_run(10.0, 13.0, "failed", task=(1, 1)),
        *_run(13.05, 14.0, task=(1, 1), run=2),
        *_run(14.05, 15.0, task=(2, 0)),
        *_loads(17),
    )
    assert [part.detail for part in told.parts] == [
        "it failed, on w1",
        "on w1",
        "on w1",
    ]
    assert told.cause == "3.0 of 4.9 s lost: it failed"


def test_what_hindered_a_job_is_added_up_and_goes_before_its_work() -> None:
    told = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.0, 11.0, "failed"),
        *_run(11.0, 12.0, "failed", run=2, worker="w2"),
        *_run(12.0, 15.0, run=3, worker="w3"),
        *_loads(17),
    )
    assert told.cause == "2.0 of 5.0 s lost: it failed"
    quick = _told(
        _accepted(StepSpec(1, _SIZE)), *_run(10.15, 12.0), *_loads(14)
    )
    assert quick.cause.endswith("s worked")


def test_a_time_without_an_owner_is_told() -> None:
    loads = [
        line
        for line in _loads(20)
        if not 10.5 < msgspec.json.decode(line)["t"] < 14.5
    ]
    told = _told(_accepted(StepSpec(1, _SIZE)), *_run(15.0, 15.5), *loads)
    assert "no owner for 5.0 s" in told.cause


def test_a_job_that_was_never_accepted_is_told_with_the_refusal() -> None:
    told = _told(
        _line(1.0, "submit_refused", job="j", reason="store away"),
        _line(2.0, "run_stop", task=["j", 0, 0, 0], run=1, reason="x"),
        *_loads(12),
    )
    assert told == Diagnosis("not accepted", (), "refused: store away")


def test_an_acceptance_of_another_version_is_no_reason_to_break_off() -> None:
    for steps in (None, [["x"]]):
        told = _told(
            _line(10.0, "job_accepted", job="j", steps=steps),
            *_run(10.0, 11.0),
        )
        assert told.cause == "the log holds the job's steps in another form"


def test_a_job_out_of_attempts_and_a_cancelled_one_are_told() -> None:
    failed = _told(
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.0, 11.0, "failed"),
        *_run(11.0, 12.0, "failed", run=2),
        _line(12.0, "job_ended", job="j", state="failed", took=2.0),
    )
    assert failed.cause == "out of attempts: 2 runs failed"
    cancelled = _told(
        _accepted(StepSpec(1, _SIZE)),
        _line(11.0, "job_ended", job="j", state="cancelled", took=1.0),
    )
    assert cancelled.cause == "cancelled by its caller"


# An owner of 246 workers had four fifths of its `run_ended` lines dropped, and
# each of those runs was told as lost, though its job had completed.


def test_runs_of_a_completed_job_whose_ends_were_dropped_are_no_loss() -> None:
    told = _told(
        _accepted(StepSpec(1, _SIZE), StepSpec(1, _SIZE, after=(0,))),
        *_run(10.0, None),
        *_run(12.0, None, task=(1, 0), worker="w2"),
        _line(13.0, "job_ended", job="j", state="completed", took=3.0),
        *_loads(15),
    )
    assert [(part.span, part.seconds) for part in told.parts] == [
        (Span.WORKED, 2.0),
        (Span.WORKED, 1.0),
    ]
    assert told.parts[0].detail == "on w1, its end was not logged"
    assert told.cause == "3.0 of 3.0 s worked"


def test_tasks_of_a_completed_job_without_a_line_did_not_wait() -> None:
    some = _told(
        _accepted(StepSpec(2, _SIZE)),
        *_run(10.0, 12.5),
        _line(13.0, "job_ended", job="j", state="completed", took=3.0),
        *_loads(15),
    )
    assert [part.span for part in some.parts] == [Span.WORKED]
    none = _told(
        _accepted(StepSpec(1, _SIZE), StepSpec(1, _SIZE, after=(0,))),
        *_run(12.0, 13.0, task=(1, 0)),
        _line(13.0, "job_ended", job="j", state="completed", took=3.0),
        *_loads(15),
    )
    assert none.parts[0][:2] == (10.0, 12.0)
    assert none.parts[0].detail == "no line tells of its runs"


def test_a_run_without_an_end_of_a_job_that_goes_on_is_still_told() -> None:
    told = _told(_accepted(StepSpec(1, _SIZE)), *_run(10.0, None), *_loads(15))
    assert told.parts[0].span is Span.LOST
    assert told.parts[0].detail == "no word of its end, on w1"


def test_a_run_lost_under_an_owner_that_was_late_is_told_so() -> None:
    lost = [
        _accepted(StepSpec(1, _SIZE)),
        *_run(10.1, None),
        _line(15.0, "runs_lost", worker="w1", count=1, reason="lapsed"),
        *_run(15.2, 16.0, run=2, worker="w2"),
        _line(16.0, "job_ended", job="j", state="completed", took=6.0),
        *_loads(18),
    ]
    late = _line(12.0, "late", late=1.4, passes=1.3, processor=1.4)
    assert "owner late" in _told(*lost, late).cause
    other = msgspec.json.decode(late) | {"vm": "b"}
    assert "late" not in _told(*lost, msgspec.json.encode(other).decode()).cause


def test_an_owner_that_was_late_to_log_its_load_is_no_missing_owner() -> None:
    loads = [
        line
        for line in _loads(20)
        if not 10.5 < msgspec.json.decode(line)["t"] < 14.5
    ]
    late = _line(14.4, "late", late=3.1, passes=3.0, processor=3.1)
    work = [_accepted(StepSpec(1, _SIZE)), *_run(15.0, 15.5), *loads]
    told = _told(*work, late)
    assert "the owner was late for 5.0 s" in told.cause, told.cause
    assert "no owner" in _told(*work).cause
