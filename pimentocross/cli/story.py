"""Where the time of one job went, out of its lines in the decision log.

The path that ended last is walked back from the job's end: of each step the
task that ended last, then the step before it that ended last. What lies
between are waits, runs that came to nothing, and work.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
import itertools
import re
from typing import Any, Final, NamedTuple

import msgspec

from pimentocross.cli.log_lines import LogLine
from pimentocross.cli.told_runs import Run, Work, read_crashes, read_runs
from pimentocross.work.spec import StepSpec, TaskName

# The owner logs its load once a second: with less than that nobody owned.
_OWNER_GAP: Final = 1.7
# A wait shorter than this, in seconds, is the usual record and call.
_USUAL: Final = 0.1
_REFUSALS: Final = frozenset(
    {"job_refused", "submit_refused", "submit_unanswered"}
)
_COMPLETED: Final = "completed"
_NO_RUNS: Final = "no line tells of its runs"
_OTHER_FORM: Final = "the log holds the job's steps in another form"
# From this share of its time on, what a job did not work is its cause.
_HINDERED: Final = 0.2
# From this share on, what the workers can reserve counts as taken.
_FULL: Final = 0.9


class Span(StrEnum):
    """What a job's time was spent on.

    `MOVED`: on a run that was stopped and whose progress was kept.
    """

    WAITED = "waited"
    LOST = "lost"
    MOVED = "moved"
    WORKED = "worked"


class Part(NamedTuple):
    """A part of a job's time, seconds since 1970, and what it was."""

    began: float
    ended: float
    span: Span
    detail: str

    @property
    def seconds(self) -> float:
        """How long it was."""
        return self.ended - self.began


class Diagnosis(NamedTuple):
    """What became of a job, the parts of its time, and the deciding reason."""

    outcome: str
    parts: tuple[Part, ...]
    cause: str


def diagnose(lines: Sequence[LogLine], job: str) -> Diagnosis:
    """Returns where a job's time went.

    Args:
        lines: Of all processes, in any order.
        job: Its id.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.concerns(job)]
    accepted = [line for line in own if line.kind == "job_accepted"]
    if not accepted:
        return _diagnose_refusal(own)
    last = [line for line in own if line.kind in ("job_ended", "job_cancelled")]
    # Of a job that the log does not see end, all of the log is part.
    until = last[0].at if last else ordered[-1].at
    try:
        steps = msgspec.convert(accepted[0].fields.get("steps"), list[StepSpec])
    except msgspec.ValidationError:
        return Diagnosis("unknown", (), _OTHER_FORM)
    outcome = str(last[0].fields.get("state", "")) if last else "not ended"
    completed = outcome == _COMPLETED
    work = Work(
        accepted[0].at,
        steps,
        read_runs(own),
        until,
        completed,
        read_crashes(own),
    )
    work.settle_unlogged()
    parts = _Walk(work, ordered).parts()
    return Diagnosis(outcome, tuple(parts), _find_cause(outcome, parts, work))


def _diagnose_refusal(own: Sequence[LogLine]) -> Diagnosis:
    for line in reversed(own):
        if line.kind in _REFUSALS:
            reason = str(line.fields["reason"])
            return Diagnosis("not accepted", (), f"refused: {reason}")
        if line.kind == "job_unsure":
            return Diagnosis("unsure", (), "the store had gone away")
    return Diagnosis("unknown", (), "no line tells")


class _Walk:
    """Walks the path that ended last."""

    def __init__(self, work: Work, lines: Sequence[LogLine]) -> None:
        self._work = work
        self._loads = [line for line in lines if line.kind == "load"]
        self._lates = [line for line in lines if line.kind == "late"]
        self._troubles = [
            line
            for line in lines
            if line.kind in ("worker_unsound", "worker_silent", "runs_lost")
        ]

    def parts(self) -> list[Part]:
        """Returns the parts in order."""
        found: list[Part] = []
        names = {(t.occurrence, t.step) for t in self._work.runs}
        occurrence = max((o for o, _ in names), default=0)
        step = self._last_step(occurrence, range(len(self._work.steps)))
        while True:
            before = self._work.steps[step].after
            began = max(
                (self._end(occurrence, b) for b in before),
                default=self._work.accepted,
            )
            found = self._parts_of(occurrence, step, began) + found
            if not before:
                return found
            step = self._last_step(occurrence, before)

    def _last_step(self, occurrence: int, steps: Iterable[int]) -> int:
        """Returns the step that ended last; of those not ended the first."""
        return max(steps, key=lambda s: (self._end(occurrence, s), -s))

    def _end(self, occurrence: int, step: int) -> float:
        return max(
            (self._task_end(t) for t in self._tasks(occurrence, step)),
            default=self._end_unlogged(occurrence, step),
        )

    def _end_unlogged(self, occurrence: int, step: int) -> float:
        """Returns when a step ended of whose tasks no line tells."""
        if self._work.completed:
            return self._work.begun_after(occurrence, step)
        return self._work.until

    def _tasks(self, occurrence: int, step: int) -> list[TaskName]:
        return [
            task
            for task in self._work.runs
            if (task.occurrence, task.step) == (occurrence, step)
        ]

    def _task_end(self, task: TaskName) -> float:
        ends = [r.ended for r in self._work.runs[task] if r.done and r.ended]
        return min(ends, default=self._work.until)

    def _parts_of(self, occurrence: int, step: int, began: float) -> list[Part]:
        tasks = self._tasks(occurrence, step)
        if len(tasks) < self._work.steps[step].width:
            if not self._work.completed:
                # Some task was never decided on.
                return self._wait(step, began, self._work.until)
            if not tasks:
                ended = self._end(occurrence, step)
                return [Part(began, ended, Span.WAITED, _NO_RUNS)]
        task = max(tasks, key=self._task_end)
        parts: list[Part] = []
        now = began
        runs = self._work.runs[task]
        for run, after in zip(runs, [*runs[1:], None], strict=True):
            parts.extend(self._wait(step, now, run.decided))
            end = run.ended or (after.decided if after else self._work.until)
            saves = self._work.steps[step].saves
            parts.append(self._run_part(run, max(now, run.decided), end, saves))
            now = end
            if run.done:
                break
        else:
            parts.extend(self._wait(step, now, self._work.until))
        return parts

    def _run_part(
        self, run: Run, began: float, ended: float, saves: bool
    ) -> Part:
        trouble = self._trouble(run.worker, began, ended)
        where = f"on {run.worker}{trouble}"
        if run.done:
            how = ", its end was not logged" if run.unlogged else ""
            return Part(began, ended, Span.WORKED, where + how)
        why = run.reason or run.wait or "no word of its end"
        if run.how in ("failed", "lapsed", "broken", "alone"):
            why = f"it {run.how}" if run.how != "alone" else "its gang was late"
        kept = saves and run.how == "stopped"
        span = Span.MOVED if kept else Span.LOST
        return Part(began, ended, span, f"{why}, {where}")

    def _trouble(self, worker: str, began: float, ended: float) -> str:
        kinds = {
            line.kind.replace("_", " ")
            for line in self._troubles
            if line.fields.get("worker") == worker
            and began <= line.at <= ended + 1
        }
        # An owner that comes late to read a worker's answer takes it for
        # silent, and what ran there is lost though nothing failed.
        if kinds and self._owner_was_late(began, ended):
            kinds.add("owner late")
        return f" ({', '.join(sorted(kinds))})" if kinds else ""

    def _owner_was_late(self, began: float, ended: float) -> bool:
        owners = {
            load.vm for load in self._loads if began - 1 <= load.at <= ended + 1
        }
        return any(
            line.vm in owners and began <= line.at <= ended + 1
            for line in self._lates
        )

    def _wait(self, step: int, began: float, ended: float) -> list[Part]:
        if ended - began < _USUAL:
            return []
        why = self._why_waiting(self._work.steps[step], began, ended)
        return [Part(began, ended, Span.WAITED, why)]

    def _why_waiting(self, spec: StepSpec, began: float, ended: float) -> str:
        gap = self._owner_gap(began, ended)
        if gap > (ended - began) / 2:
            # Its line of the load comes late as well.
            late = self._owner_was_late(began, ended)
            who = "the owner was late" if late else "no owner"
            return f"{who} for {gap:.1f} s"
        loads = [
            load.fields
            for load in self._loads
            if began - 1 <= load.at <= ended + 1
        ]
        if not loads:
            return "no load is known"
        load = loads[len(loads) // 2]
        if spec.fills:
            return _why_fillers_wait(spec, load)
        share = load["committed"] / max(load["capacity"], 1)
        what = "no room" if share >= _FULL else "no worker with room in a piece"
        return (
            f"{what} for {spec.size.cpu / 1000:g} cores: {share:.0%} of"
            f" {load['capacity'] // 1000} cores reserved,"
            f" {load['waiting']} tasks waited{_closed_zones(load)}"
        )

    def _owner_gap(self, began: float, ended: float) -> float:
        """Returns the longest time without an owner within a wait."""
        times = [load.at for load in self._loads]
        before = [at for at in times if at <= began][-1:]
        within = [at for at in times if began < at < ended]
        after = [at for at in times if at >= ended][:1]
        marks = [*before, *within, *after]
        gaps = [
            min(late, ended) - max(early, began)
            for early, late in itertools.pairwise(marks)
            if late - early > _OWNER_GAP
        ]
        return max(gaps, default=0.0)


def _why_fillers_wait(spec: StepSpec, load: dict[str, Any]) -> str:
    left = load["left_over"]
    waiting = load["waiting_fillers"]
    if left < 2 * spec.size.cpu:
        what = "nothing was left over to fill"
    else:
        what = (
            f"image {spec.image} was shut out or its workers full:"
            f" {left // 1000} cores were left over in all"
        )
    return f"{what}, {waiting} filling tasks waited{_closed_zones(load)}"


def _closed_zones(load: dict[str, Any]) -> str:
    """Returns what zones that take nothing new explain of a wait."""
    closed = load.get("closed", 0)
    if not closed:
        return ""
    return f", {closed // 1000} cores were in evacuated zones"


def _find_cause(outcome: str, parts: Sequence[Part], work: Work) -> str:
    if outcome == "cancelled":
        return "cancelled by its caller"
    if outcome == "failed" and work.crashes:
        return f"given up: {work.crashes} workers crashed under a task of it"
    if outcome == "failed":
        failed = sum(
            run.how == "failed" for runs in work.runs.values() for run in runs
        )
        return f"out of attempts: {failed} runs failed"
    whole = sum(part.seconds for part in parts)
    grouped: dict[str, float] = {}
    for part in parts:
        kind = _kind(part)
        grouped[kind] = grouped.get(kind, 0.0) + part.seconds
    hindered = {k: s for k, s in grouped.items() if not k.startswith("worked")}
    worst = max(hindered, key=lambda kind: hindered[kind], default="worked")
    if hindered.get(worst, 0.0) < _HINDERED * whole:
        worst = max(grouped, key=lambda kind: grouped[kind], default="nothing")
    return f"{grouped.get(worst, 0.0):.1f} of {whole:.1f} s {worst}"


def _kind(part: Part) -> str:
    """Returns what parts of one kind share: numbers and workers differ."""
    troubles = _in_brackets(part.detail)
    if part.span is Span.WORKED:
        return f"worked {troubles}".rstrip()
    text = part.detail.partition(":")[0].removesuffix(troubles)
    text = re.sub(r",? on \S+", "", text).rstrip()
    return f"{part.span.value}: {text} {troubles}".rstrip()


def _in_brackets(text: str) -> str:
    match = re.search(r"\(.*\)", text)
    return match.group(0) if match else ""
