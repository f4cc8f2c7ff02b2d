"""The command that tells the story of one job out of collected logs."""

from pathlib import Path
import re
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from pimentocross.cli.const import ExitCode
from pimentocross.cli.output import fail

# What may stand before a line's JSON: a collector's time and host.
_LINE = re.compile(r"^[^{]*(\{.*\})\s*$")
# Kinds that change who answers or what can run, told beside a job's own lines.
_AROUND = frozenset(
    {
        "append_failed",
        "append_stored",
        "claim",
        "owner_ready",
        "owner_ends",
        "suspect",
        "runs_lost",
        "worker_suspect",
        "worker_unsound",
    }
)
_SKIPPED = ("t", "vm", "is")


class LogLine(NamedTuple):
    """One line of a decision log."""

    at: float
    vm: str
    kind: str
    fields: dict[str, Any]

    def concerns(self, job: str) -> bool:
        """True if it is about a job or one of its tasks."""
        task = self.fields.get("task") or self.fields.get("step") or [""]
        return self.fields.get("job") == job or task[0] == job


def read_lines(text: str) -> list[LogLine]:
    """Returns the decision lines of a log; others are left out."""
    lines = []
    for raw in text.splitlines():
        match = _LINE.match(raw)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match.group(1))
            line = LogLine(fields["t"], fields["vm"], fields["is"], fields)
        except (msgspec.DecodeError, KeyError, TypeError):
            continue
        lines.append(line)
    return lines


def tell(lines: list[LogLine], job: str) -> list[LogLine]:
    """Returns a job's lines in order, with what happened around them."""
    own = [line for line in lines if line.concerns(job)]
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    around = [
        line
        for line in lines
        if line.kind in _AROUND and first <= line.at <= last
    ]
    return sorted(own + around, key=lambda line: line.at)


def explain(
    job: Annotated[str, typer.Argument(help="The job's id.")],
    files: Annotated[
        list[Path],
        typer.Argument(exists=True, dir_okay=False, help="Logs of all VMs."),
    ],
) -> None:
    """Prints the story of one job, over all processes, in order."""
    lines: list[LogLine] = []
    for file in files:
        lines.extend(read_lines(file.read_text("utf-8", errors="replace")))
    story = tell(lines, job)
    if not story:
        fail(f"no line of {job} in {len(lines)} lines", ExitCode.FINDINGS)
    began = story[0].at
    for line in story:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in _SKIPPED
        )
        typer.echo(f"{line.at - began:8.3f}  {line.vm}  {line.kind}  {fields}")
