"""The runs of one job as a log tells them."""

from collections.abc import Iterable
from typing import NamedTuple

from pimentocross.cli.log_lines import LogLine
from pimentocross.work.spec import StepSpec, TaskName


class Run:
    """A run as the log tells it.

    Attributes:
        number: Its number in its task.
        worker: Where it was sent.
        decided: When it was decided on.
        ended: When it ended, or None if no line tells.
        how: How it ended, or "".
        reason: Why it was stopped or not begun, or "".
        wait: Why its end was waited for, or "".
        unlogged: Whether its end was inferred.
    """

    def __init__(self, number: int, worker: str, decided: float) -> None:
        """Takes a run that was decided on."""
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
        """True if it brought its task to its end."""
        return self.how == "done"


class Work(NamedTuple):
    """A job's steps and runs.

    Attributes:
        accepted: When it was accepted.
        steps: Its steps.
        runs: Of each task, those that a line tells of.
        until: When it ended, or the log.
        completed: Whether it ended well.
        crashes: Workers that crashed under the task for which it was given up.
    """

    accepted: float
    steps: list[StepSpec]
    runs: dict[TaskName, list[Run]]
    until: float
    completed: bool
    crashes: int = 0

    def begun_after(self, occurrence: int, step: int) -> float:
        """Returns when the first run began that has to wait for a step."""
        return min(
            (
                runs[0].decided
                for task, runs in self.runs.items()
                if task.occurrence == occurrence
                and step in self.steps[task.step].after
            ),
            default=self.until,
        )

    def settle_unlogged(self) -> None:
        """Ends the runs of a job that completed though no line tells of it.

        Ordinary ends are dropped before all others when a log is over its
        bound: a run without an end is a loss only if its job did not complete.
        """
        if not self.completed:
            return
        for task, runs in self.runs.items():
            newest = runs[-1]
            if newest.ended is not None or any(run.done for run in runs):
                continue
            after = self.begun_after(task.occurrence, task.step)
            newest.ended = max(after, newest.decided)
            newest.how, newest.unlogged = "done", True


def read_crashes(own: Iterable[LogLine]) -> int:
    """Returns how many workers crashed under a task that was given up, or 0."""
    found = [line for line in own if line.kind == "task_given_up"]
    return max((int(line.fields["crashes"]) for line in found), default=0)


def read_runs(own: Iterable[LogLine]) -> dict[TaskName, list[Run]]:
    """Returns the runs of each task.

    Args:
        own: A job's lines in order.
    """
    runs: dict[TaskName, list[Run]] = {}
    for line in own:
        if "task" not in line.fields or "run" not in line.fields:
            continue
        known = runs.setdefault(TaskName(*line.fields["task"]), [])
        number = line.fields["run"]
        run = next((r for r in known if r.number == number), None)
        if run is None:
            worker = str(line.fields.get("worker", ""))
            run = Run(number, worker, line.at)
            known.append(run)
        _take(run, line)
    return runs


def _take(run: Run, line: LogLine) -> None:
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
