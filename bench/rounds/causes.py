"""Implements `python -m bench causes LOG`, a summary of why jobs were late.

Counts the jobs that did not complete or took more than twice as long as they
worked, by the cause that `explain` gives, and sums the work they requested.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path
import re
from typing import Final, NamedTuple

import msgspec

from pimentocross.cli.diagnosis import Diagnosis, Span, diagnose
from pimentocross.cli.log_lines import LogLine, read_lines
from pimentocross.work.spec import StepSpec

# Objectives of jobs are between 1.5 and 2.2 times their work. A second more is
# allowed for each job.
_LATE_FACTOR: Final = 2.0
_ALLOWED_SECONDS: Final = 1.0
# Parts of a cause that differ between jobs with the same cause.
_NUMBERS: Final = re.compile(r"\d+(\.\d+)?")
_IMAGE: Final = re.compile(r"image \S+")


class Row(NamedTuple):
    """A cause and its jobs.

    Attributes:
        kind: "fills" or "short".
        cause: The cause that `explain` gives, without numbers.
        jobs: Number of jobs.
        work: Core-seconds that the jobs requested, by their estimates.
    """

    kind: str
    cause: str
    jobs: int
    work: float


class _Job(NamedTuple):
    name: str
    steps: list[StepSpec]

    @property
    def kind(self) -> str:
        return "fills" if any(s.fills for s in self.steps) else "short"

    @property
    def work(self) -> float:
        return sum(s.width * s.size.cpu / 1000 * s.estimate for s in self.steps)


def causes(lines: Sequence[LogLine]) -> list[Row]:
    """Returns the causes of late and failed jobs, most work first."""
    found: dict[tuple[str, str], list[_Job]] = defaultdict(list)
    for job in _jobs(lines):
        diagnosis = diagnose(lines, job.name)
        if _is_late_or_failed(diagnosis):
            found[(job.kind, _normalized_cause(diagnosis))].append(job)
    rows = [
        Row(kind, cause, len(jobs), sum(job.work for job in jobs))
        for (kind, cause), jobs in found.items()
    ]
    return sorted(rows, key=lambda row: -row.work)


def main(arguments: list[str]) -> int:
    """Prints a table for each of the log files."""
    for name in arguments:
        rows = causes(read_lines(Path(name).read_text()))
        print(f"{Path(name).stem}: kind, jobs, core-seconds, cause")
        for row in rows:
            print(f"  {row.kind:6}{row.jobs:5}{row.work:9.0f}  {row.cause}")
    return 0


def _jobs(lines: Iterable[LogLine]) -> list[_Job]:
    """Returns the accepted jobs without lasting tasks."""
    found: dict[str, _Job] = {}
    for line in lines:
        if line.kind != "job_accepted":
            continue
        steps = msgspec.convert(line.fields["steps"], list[StepSpec])
        name = line.fields["job"]
        if not any(step.lasting for step in steps):
            found.setdefault(name, _Job(name, steps))
    return list(found.values())


def _is_late_or_failed(diagnosis: Diagnosis) -> bool:
    if diagnosis.outcome == "cancelled":
        return False
    if diagnosis.outcome != "completed":
        return True
    total = sum(part.seconds for part in diagnosis.parts)
    worked = sum(p.seconds for p in diagnosis.parts if p.span is Span.WORKED)
    return total > _LATE_FACTOR * worked + _ALLOWED_SECONDS


def _normalized_cause(diagnosis: Diagnosis) -> str:
    _, _, cause = diagnosis.cause.rpartition(" s ")
    normalized = _IMAGE.sub("its image", cause or diagnosis.cause)
    return _NUMBERS.sub("N", normalized)
