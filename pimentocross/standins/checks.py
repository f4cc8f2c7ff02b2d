"""Checks the cluster's guarantees against the journals of its workers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pimentocross.backing.workers import Resources, TaskKind, TaskState
from pimentocross.standins.journal import JournalEntry, JournalEvent

_EXCLUSIVE_KINDS = (TaskKind.BATCH.value, TaskKind.WATCH.value)
_IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS")


class Run(NamedTuple):
    """One attempt of a task on a worker; `ended` is infinite while it runs."""

    task: str
    kind: str
    machine: str
    process: str
    attempt: str
    started: float
    ended: float
    state: str


def read_runs(
    entries: Iterable[JournalEntry], killed_at: Mapping[str, float]
) -> list[Run]:
    """Pairs the start and end entries of each run.

    Args:
        entries: Journal entries of all workers.
        killed_at: Times at which worker processes were killed, by process id.
    """
    runs: dict[tuple[str, str, str], Run] = {}
    for entry in sorted(entries):
        run_key = (entry.process, entry.subject, entry.attempt)
        if entry.event is JournalEvent.STARTED:
            ended = killed_at.get(entry.process, float("inf"))
            runs[run_key] = Run(
                entry.subject,
                entry.kind,
                entry.machine,
                entry.process,
                entry.attempt,
                entry.at,
                ended,
                "running",
            )
        elif entry.event is JournalEvent.ENDED and run_key in runs:
            ended = min(entry.at, runs[run_key].ended)
            runs[run_key] = runs[run_key]._replace(
                ended=ended, state=entry.detail
            )
    return list(runs.values())


def find_concurrent_runs(runs: Iterable[Run]) -> list[str]:
    """Returns batch tasks and watches that ran on two workers at once."""
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if run.kind in _EXCLUSIVE_KINDS:
            by_task[run.task].append(run)
    violations = []
    for task, tries in by_task.items():
        tries.sort(key=lambda run: run.started)
        latest = tries[0]
        for run in tries[1:]:
            if run.started < latest.ended:
                violations.append(
                    f"{task} ran on {run.machine} from {run.started:.3f} while"
                    f" {latest.machine} ran it until {latest.ended:.3f}"
                )
            if run.ended > latest.ended:
                latest = run
    return violations


def find_overcommitted_workers(
    entries: Iterable[JournalEntry], capacity: Resources
) -> list[str]:
    """Returns the times at which a worker's load exceeded its capacity."""
    violations = []
    for entry in entries:
        if entry.event is JournalEvent.SERVED:
            continue
        processors, memory = entry.load
        if processors > capacity.processors or memory > capacity.memory:
            violations.append(
                f"{entry.machine} carried {entry.load} at {entry.at}"
            )
    return violations


def find_duplicate_requests(entries: Iterable[JournalEntry]) -> list[str]:
    """Returns non-idempotent requests that ran more than once."""
    served = Counter(
        entry.subject
        for entry in entries
        if entry.event is JournalEvent.SERVED
        and entry.attempt not in _IDEMPOTENT_METHODS
    )
    return [f"{key} ran {n} times" for key, n in served.items() if n > 1]


def find_wrongly_refused(
    entries: Iterable[JournalEntry], refused: Iterable[str]
) -> list[str]:
    """Returns requests that ran although they were refused as "not run"."""
    served = {
        entry.subject for entry in entries if entry.event is JournalEvent.SERVED
    }
    return [
        f"{key} ran, refused as not run" for key in refused if key in served
    ]


def finished_tasks(runs: Iterable[Run]) -> Counter[str]:
    """Returns how many runs of each task finished."""
    return Counter(
        run.task for run in runs if run.state == TaskState.FINISHED.value
    )
