"""`python -m bench causes LOG`: why jobs took long, added up over a day.

Counts the jobs that took more than twice as long as they worked or came to
nothing, by what `explain` names as the cause, with the work that they held.
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

# Objectives are between 1.5 and 2.2 times the work; a second is allowed each.
_LATE_FACTOR: Final = 2.0
_ALLOWED: Final = 1.0
# What differs from job to job of one cause.
_NUMBERS: Final = re.compile(r"\d+(\.\d+)?")
_IMAGE: Final = re.compile(r"image \S+")


class Row(NamedTuple):
    """A cause, and the jobs that had it.

    Attributes:
        kind: "fills" or "short".
        cause: As `explain` words it, without its numbers.
        jobs: How many.
        work: Core-seconds that they asked for, by their estimates.
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
    """Returns the causes of late and lost jobs, most work first."""
    found: dict[tuple[str, str], list[_Job]] = defaultdict(list)
    for job in _jobs(lines):
        diagnosis = diagnose(lines, job.name)
        if _is_late(diagnosis):
            found[(job.kind, _wording(diagnosis))].append(job)
    rows = [
        Row(kind, cause, len(jobs), sum(job.work for job in jobs))
        for (kind, cause), jobs in found.items()
    ]
    return sorted(rows, key=lambda row: -row.work)


def main(arguments: list[str]) -> int:
    """Prints the table of a log file."""
    for name in arguments:
        rows = causes(read_lines(Path(name).read_text()))
        print(f"{Path(name).stem}: kind, jobs, core-seconds, cause")
        for row in rows:
            print(f"  {row.kind:6}{row.jobs:5}{row.work:9.0f}  {row.cause}")
    return 0


def _jobs(lines: Iterable[LogLine]) -> list[_Job]:
    """Returns the jobs that end by themselves, as they were accepted."""
    found: dict[str, _Job] = {}
    for line in lines:
        if line.kind != "job_accepted":
            continue
        steps = msgspec.convert(line.fields["steps"], list[StepSpec])
        name = line.fields["job"]
        if not any(step.lasting for step in steps):
            found.setdefault(name, _Job(name, steps))
    return list(found.values())


def _is_late(diagnosis: Diagnosis) -> bool:
    if diagnosis.outcome == "cancelled":
        return False
    if diagnosis.outcome != "completed":
        return True
    whole = sum(part.seconds for part in diagnosis.parts)
    worked = sum(p.seconds for p in diagnosis.parts if p.span is Span.WORKED)
    return whole > _LATE_FACTOR * worked + _ALLOWED


def _wording(diagnosis: Diagnosis) -> str:
    _, _, cause = diagnosis.cause.rpartition(" s ")
    alike = _IMAGE.sub("its image", cause or diagnosis.cause)
    return _NUMBERS.sub("N", alike)
