"""Finds where the time of one job went, from the decision log.

Follows the critical path back from the job's end: in each step the task that
ended last, then, of the steps that it depends on, the one that ended last. The
time on this path is divided into waits, runs without a result, and work.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
import itertools
import re
from typing import Any, Final, NamedTuple

import msgspec

from pimentocross.cli.log_lines import LogLine
from pimentocross.cli.logged_runs import (
    LoggedJob,
    LoggedRun,
    read_crash_count,
    read_logged_runs,
)
from pimentocross.work.spec import StepSpec, TaskName

# Seconds between two load lines from which on there was no owner: an owner logs
# its load once a second.
_MIN_OWNER_GAP: Final = 1.7
# Shorter waits, in seconds, are the usual time to record and send a start.
_MIN_WAIT: Final = 0.1
_REFUSAL_KINDS: Final = frozenset(
    {"job_refused", "submit_refused", "submit_unanswered"}
)
_COMPLETED: Final = "completed"
_NO_RUN_LINES: Final = "the log has no line about its runs"
_UNREADABLE_STEPS: Final = "the format of the job's steps in the log is unknown"
# Share of a job's time from which on a kind of wait or loss is its cause.
_MIN_HINDERED_SHARE: Final = 0.2
# Share of reserved capacity from which on the workers count as full.
_FULL_SHARE: Final = 0.9


class Span(StrEnum):
    """What a part of a job's time was spent on.

    Attributes:
        WAITED: Waiting for a run to start.
        LOST: A run without a result.
        MOVED: A run that was stopped and whose progress was kept.
        WORKED: A run that completed its task.
    """

    WAITED = "waited"
    LOST = "lost"
    MOVED = "moved"
    WORKED = "worked"


class Part(NamedTuple):
    """A part of a job's time.

    Attributes:
        began: Start, in seconds since 1970.
        ended: End, in seconds since 1970.
        span: What the time was spent on.
        detail: The reason for a wait or loss, or the worker.
    """

    began: float
    ended: float
    span: Span
    detail: str

    @property
    def seconds(self) -> float:
        """The duration in seconds."""
        return self.ended - self.began


class Diagnosis(NamedTuple):
    """The result of a diagnosis.

    Attributes:
        outcome: State in which the job ended, or why that is not known.
        parts: The parts of its time, in order.
        cause: Where most of its time went, or why it failed.
    """

    outcome: str
    parts: tuple[Part, ...]
    cause: str


def diagnose(lines: Sequence[LogLine], job: str) -> Diagnosis:
    """Returns where a job's time went.

    Args:
        lines: The decision logs of all processes, in any order.
        job: The job's id.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    job_lines = [line for line in ordered if line.concerns(job)]
    accepted = [line for line in job_lines if line.kind == "job_accepted"]
    if not accepted:
        return _diagnose_refusal(job_lines)
    last = [
        line
        for line in job_lines
        if line.kind in ("job_ended", "job_cancelled")
    ]
    # A job without an end in the log lasts until the last line of the log.
    until = last[0].at if last else ordered[-1].at
    try:
        steps = msgspec.convert(accepted[0].fields.get("steps"), list[StepSpec])
    except msgspec.ValidationError:
        return Diagnosis("unknown", (), _UNREADABLE_STEPS)
    outcome = str(last[0].fields.get("state", "")) if last else "not ended"
    completed = outcome == _COMPLETED
    logged = LoggedJob(
        accepted[0].at,
        steps,
        read_logged_runs(job_lines),
        until,
        completed,
        read_crash_count(job_lines),
    )
    logged.infer_unlogged_ends()
    parts = _CriticalPath(logged, ordered).parts()
    return Diagnosis(outcome, tuple(parts), _find_cause(outcome, parts, logged))


def _diagnose_refusal(job_lines: Sequence[LogLine]) -> Diagnosis:
    for line in reversed(job_lines):
        if line.kind in _REFUSAL_KINDS:
            reason = str(line.fields["reason"])
            return Diagnosis("not accepted", (), f"refused: {reason}")
        if line.kind == "job_unsure":
            return Diagnosis("unsure", (), "the store had become unavailable")
    return Diagnosis("unknown", (), "the log has no line about its acceptance")


class _CriticalPath:
    """The critical path of a job, divided into parts of its time."""

    def __init__(self, logged: LoggedJob, lines: Sequence[LogLine]) -> None:
        self._logged = logged
        self._load_lines = [line for line in lines if line.kind == "load"]
        self._late_lines = [line for line in lines if line.kind == "late"]
        self._worker_problem_lines = [
            line
            for line in lines
            if line.kind in ("worker_unsound", "worker_silent", "runs_lost")
        ]

    def parts(self) -> list[Part]:
        """Returns the parts of the path in order."""
        found: list[Part] = []
        names = {(t.occurrence, t.step) for t in self._logged.runs}
        occurrence = max((o for o, _ in names), default=0)
        step = self._last_step(occurrence, range(len(self._logged.steps)))
        while True:
            before = self._logged.steps[step].after
            began = max(
                (self._step_end(occurrence, b) for b in before),
                default=self._logged.accepted,
            )
            found = self._step_parts(occurrence, step, began) + found
            if not before:
                return found
            step = self._last_step(occurrence, before)

    def _last_step(self, occurrence: int, steps: Iterable[int]) -> int:
        """Returns the step that ended last; the first of steps not ended."""
        return max(steps, key=lambda s: (self._step_end(occurrence, s), -s))

    def _step_end(self, occurrence: int, step: int) -> float:
        return max(
            (self._task_end(t) for t in self._tasks(occurrence, step)),
            default=self._unlogged_step_end(occurrence, step),
        )

    def _unlogged_step_end(self, occurrence: int, step: int) -> float:
        """Returns when a step without a logged run ended, at the latest."""
        if self._logged.completed:
            return self._logged.first_dependent_start(occurrence, step)
        return self._logged.until

    def _tasks(self, occurrence: int, step: int) -> list[TaskName]:
        return [
            task
            for task in self._logged.runs
            if (task.occurrence, task.step) == (occurrence, step)
        ]

    def _task_end(self, task: TaskName) -> float:
        ends = [r.ended for r in self._logged.runs[task] if r.done and r.ended]
        return min(ends, default=self._logged.until)

    def _step_parts(
        self, occurrence: int, step: int, began: float
    ) -> list[Part]:
        tasks = self._tasks(occurrence, step)
        if len(tasks) < self._logged.steps[step].width:
            if not self._logged.completed:
                # No run was decided on for some task.
                return self._wait(step, began, self._logged.until)
            if not tasks:
                ended = self._step_end(occurrence, step)
                return [Part(began, ended, Span.WAITED, _NO_RUN_LINES)]
        task = max(tasks, key=self._task_end)
        parts: list[Part] = []
        now = began
        runs = self._logged.runs[task]
        for run, after in zip(runs, [*runs[1:], None], strict=True):
            parts.extend(self._wait(step, now, run.decided))
            end = run.ended or (after.decided if after else self._logged.until)
            saves = self._logged.steps[step].saves
            parts.append(self._run_part(run, max(now, run.decided), end, saves))
            now = end
            if run.done:
                break
        else:
            parts.extend(self._wait(step, now, self._logged.until))
        return parts

    def _run_part(
        self, run: LoggedRun, began: float, ended: float, saves: bool
    ) -> Part:
        problems = self._describe_problems(run.worker, began, ended)
        where = f"on {run.worker}{problems}"
        if run.done:
            how = ", its end was not logged" if run.unlogged else ""
            return Part(began, ended, Span.WORKED, where + how)
        why = run.reason or run.wait or "its end was not logged"
        if run.how in ("failed", "lapsed", "broken", "alone"):
            why = f"it {run.how}" if run.how != "alone" else "its gang was late"
        kept = saves and run.how == "stopped"
        span = Span.MOVED if kept else Span.LOST
        return Part(began, ended, span, f"{why}, {where}")

    def _describe_problems(
        self, worker: str, began: float, ended: float
    ) -> str:
        kinds = {
            line.kind.replace("_", " ")
            for line in self._worker_problem_lines
            if line.fields.get("worker") == worker
            and began <= line.at <= ended + 1
        }
        # An owner whose event loop is late reads a worker's reply late and
        # counts the worker as silent. Its runs are lost although it is alive.
        if kinds and self._owner_was_late(began, ended):
            kinds.add("owner late")
        return f" ({', '.join(sorted(kinds))})" if kinds else ""

    def _owner_was_late(self, began: float, ended: float) -> bool:
        owners = {
            load.vm
            for load in self._load_lines
            if began - 1 <= load.at <= ended + 1
        }
        return any(
            line.vm in owners and began <= line.at <= ended + 1
            for line in self._late_lines
        )

    def _wait(self, step: int, began: float, ended: float) -> list[Part]:
        if ended - began < _MIN_WAIT:
            return []
        why = self._explain_wait(self._logged.steps[step], began, ended)
        return [Part(began, ended, Span.WAITED, why)]

    def _explain_wait(self, spec: StepSpec, began: float, ended: float) -> str:
        gap = self._owner_gap(began, ended)
        if gap > (ended - began) / 2:
            # An owner whose event loop is late also logs its load late.
            late = self._owner_was_late(began, ended)
            who = "the owner was late" if late else "no owner"
            return f"{who} for {gap:.1f} s"
        loads = [
            load.fields
            for load in self._load_lines
            if began - 1 <= load.at <= ended + 1
        ]
        if not loads:
            return "the log has no load line of that time"
        load = loads[len(loads) // 2]
        if spec.fills:
            return _explain_filler_wait(spec, load)
        share = load["committed"] / max(load["capacity"], 1)
        what = (
            "no room" if share >= _FULL_SHARE else "no single worker with room"
        )
        return (
            f"{what} for {spec.size.cpu / 1000:g} cores: {share:.0%} of"
            f" {load['capacity'] // 1000} cores reserved,"
            f" {load['waiting']} tasks waited{_describe_closed_zones(load)}"
        )

    def _owner_gap(self, began: float, ended: float) -> float:
        """Returns the longest time without an owner in a wait, in seconds."""
        times = [load.at for load in self._load_lines]
        before = [at for at in times if at <= began][-1:]
        within = [at for at in times if began < at < ended]
        after = [at for at in times if at >= ended][:1]
        load_times = [*before, *within, *after]
        gaps = [
            min(late, ended) - max(early, began)
            for early, late in itertools.pairwise(load_times)
            if late - early > _MIN_OWNER_GAP
        ]
        return max(gaps, default=0.0)


def _explain_filler_wait(spec: StepSpec, load: dict[str, Any]) -> str:
    left = load["left_over"]
    waiting = load["waiting_fillers"]
    if left < 2 * spec.size.cpu:
        what = "nothing was left over to fill"
    else:
        what = (
            f"image {spec.image} was shut out or its workers full:"
            f" {left // 1000} cores were left over in all"
        )
    return (
        f"{what}, {waiting} filling tasks waited{_describe_closed_zones(load)}"
    )


def _describe_closed_zones(load: dict[str, Any]) -> str:
    """Returns the cores in evacuated zones as text, or "" if there are none."""
    closed = load.get("closed", 0)
    if not closed:
        return ""
    return f", {closed // 1000} cores were in evacuated zones"


def _find_cause(outcome: str, parts: Sequence[Part], logged: LoggedJob) -> str:
    if outcome == "cancelled":
        return "cancelled by its caller"
    if outcome == "failed" and logged.crashes:
        return f"given up: {logged.crashes} workers crashed under a task of it"
    if outcome == "failed":
        failed = sum(
            run.how == "failed" for runs in logged.runs.values() for run in runs
        )
        return f"out of attempts: {failed} runs failed"
    whole = sum(part.seconds for part in parts)
    grouped: dict[str, float] = {}
    for part in parts:
        kind = _cause_group(part)
        grouped[kind] = grouped.get(kind, 0.0) + part.seconds
    hindered = {k: s for k, s in grouped.items() if not k.startswith("worked")}
    worst = max(hindered, key=lambda kind: hindered[kind], default="worked")
    if hindered.get(worst, 0.0) < _MIN_HINDERED_SHARE * whole:
        worst = max(grouped, key=lambda kind: grouped[kind], default="nothing")
    return f"{grouped.get(worst, 0.0):.1f} of {whole:.1f} s {worst}"


def _cause_group(part: Part) -> str:
    """Returns the group of a part: span and detail, but no worker.

    The detail ends at its first colon, after which figures follow.
    """
    problems = _parenthesized(part.detail)
    if part.span is Span.WORKED:
        return f"worked {problems}".rstrip()
    text = part.detail.partition(":")[0].removesuffix(problems)
    text = re.sub(r",? on \S+", "", text).rstrip()
    return f"{part.span.value}: {text} {problems}".rstrip()


def _parenthesized(text: str) -> str:
    match = re.search(r"\(.*\)", text)
    return match.group(0) if match else ""
