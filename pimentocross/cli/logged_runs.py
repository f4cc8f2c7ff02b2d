"""Reads the runs of one job from its lines in the decision log."""

from collections.abc import Iterable
from typing import NamedTuple

from pimentocross.cli.log_lines import LogLine
from pimentocross.work.spec import StepSpec, TaskName


class LoggedRun:
    """A run, as far as the log has lines about it.

    Attributes:
        number: Number of the run in its task.
        worker: The worker that it was sent to.
        decided: When it was decided on, in seconds since 1970.
        ended: When it ended, in seconds since 1970, or None if not logged.
        how: How it ended, such as "done" or "lost", or "".
        reason: Why it was stopped or not started, or "".
        wait: Why the owner waited for its end, or "".
        unlogged: Whether its end was inferred, since it is not in the log.
    """

    def __init__(self, number: int, worker: str, decided: float) -> None:
        """Initializes a run that has been decided on and has not ended."""
        self.number = number
        self.worker = worker
        self.decided = decided
        self.ended: float | None = None
        self.how = ""
        self.reason = ""
        self.wait = ""
        self.unlogged = False

    @property
    def done(self) -> bool:
        """True if the run completed its task."""
        return self.how == "done"


class LoggedJob(NamedTuple):
    """A job's steps and logged runs; times are seconds since 1970.

    Attributes:
        accepted: When the job was accepted.
        steps: The steps of the job.
        runs: The logged runs of each task.
        until: When the job ended, or the time of the log's last line.
        completed: Whether the job completed.
        crashes: If the job was given up since a task of it crashed workers,
            the number of these crashes.
    """

    accepted: float
    steps: list[StepSpec]
    runs: dict[TaskName, list[LoggedRun]]
    until: float
    completed: bool
    crashes: int = 0

    def first_dependent_start(self, occurrence: int, step: int) -> float:
        """Returns when the first run that depends on a step was decided on."""
        return min(
            (
                runs[0].decided
                for task, runs in self.runs.items()
                if task.occurrence == occurrence
                and step in self.steps[task.step].after
            ),
            default=self.until,
        )

    def infer_unlogged_ends(self) -> None:
        """Infers the ends of a completed job's runs that aren't in the log.

        A log over its size limit drops the lines of ordinary ends first. So a
        run without a logged end is lost only if its job did not complete.
        """
        if not self.completed:
            return
        for task, runs in self.runs.items():
            newest = runs[-1]
            if newest.ended is not None or any(run.done for run in runs):
                continue
            after = self.first_dependent_start(task.occurrence, task.step)
            newest.ended = max(after, newest.decided)
            newest.how, newest.unlogged = "done", True


def read_crash_count(own: Iterable[LogLine]) -> int:
    """Returns how many workers a task crashed until it was given up, or 0."""
    found = [line for line in own if line.kind == "task_given_up"]
    return max((int(line.fields["crashes"]) for line in found), default=0)


def read_logged_runs(own: Iterable[LogLine]) -> dict[TaskName, list[LoggedRun]]:
    """Returns the runs of each task.

    Args:
        own: A job's log lines, by time.
    """
    runs: dict[TaskName, list[LoggedRun]] = {}
    for line in own:
        if "task" not in line.fields or "run" not in line.fields:
            continue
        known = runs.setdefault(TaskName(*line.fields["task"]), [])
        number = line.fields["run"]
        run = next((r for r in known if r.number == number), None)
        if run is None:
            worker = str(line.fields.get("worker", ""))
            run = LoggedRun(number, worker, line.at)
            known.append(run)
        _apply_line(run, line)
    return runs


def _apply_line(run: LoggedRun, line: LogLine) -> None:
    if line.kind == "run_stop":
        run.reason = str(line.fields["reason"])
    elif line.kind == "run_ended" and run.ended is None:
        run.ended, run.how = line.at, str(line.fields["how"])
    elif line.kind == "start_refused" and run.ended is None:
        run.ended, run.how = line.at, "refused"
        run.reason = str(line.fields["verdict"])
    elif line.kind == "run_lost" and run.ended is None:
        run.ended, run.how = line.at, "lost"
        run.reason = run.wait or "its worker was given up"
    elif line.kind == "start_unanswered":
        run.reason = "its start was not answered"
    elif line.kind == "run_waits":
        seconds = line.fields["seconds"]
        run.wait = f"the lease of its unlisted worker had {seconds} s left"
    elif line.kind == "start_held":
        seconds = line.fields["seconds"]
        run.reason = f"its start may come late, for {seconds} s"
