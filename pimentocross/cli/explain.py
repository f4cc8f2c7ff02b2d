"""The command that explains one job from decision logs or live VMs."""

from pathlib import Path
from typing import Annotated

import typer

from pimentocross.cli.client import fetch_text
from pimentocross.cli.const import ExitCode
from pimentocross.cli.diagnosis import diagnose
from pimentocross.cli.log_lines import LogLine, read_lines
from pimentocross.cli.output import fail
from pimentocross.observe.decisions import DECISIONS_PATH

# Events that affect which VM owns a job or which workers can run it. They are
# shown among the job's own lines.
_CONTEXT_KINDS = frozenset(
    {
        "append_failed",
        "append_stored",
        "claim",
        "late",
        "owner_adopts",
        "owner_read",
        "owner_ready",
        "owner_starts",
        "owner_ends",
        "suspect",
        "runs_lost",
        "withheld",
        "withheld_ended",
        "worker_suspect",
        "worker_unsound",
    }
)
_HIDDEN_FIELDS = ("t", "vm", "is")


def job_timeline(lines: list[LogLine], job: str) -> list[LogLine]:
    """Returns the log lines of a job, with context events, sorted by time.

    Only events between the job's first and last line are included.
    """
    own = [line for line in lines if line.concerns(job)]
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    context = [
        line
        for line in lines
        if line.kind in _CONTEXT_KINDS and first <= line.at <= last
    ]
    return sorted(own + context, key=lambda line: line.at)


def explain(
    job: Annotated[str, typer.Argument(help="The job's id.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(
            exists=True, dir_okay=False, help="Decision logs of all VMs."
        ),
    ] = None,
    live: Annotated[
        list[str] | None,
        typer.Option(
            "--live", help="Metrics address of a VM; repeat for each VM."
        ),
    ] = None,
) -> None:
    """Prints the events of one job, where its time went, and the cause."""
    lines: list[LogLine] = []
    for file in files or []:
        lines.extend(read_lines(file.read_text("utf-8", errors="replace")))
    for address in live or []:
        lines.extend(read_lines(fetch_text(address, DECISIONS_PATH)))
    timeline = job_timeline(lines, job)
    if not timeline:
        fail(
            f"no line about {job} in {len(lines)} log lines", ExitCode.FINDINGS
        )
    began = timeline[0].at
    for line in timeline:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in _HIDDEN_FIELDS
        )
        typer.echo(f"{line.at - began:8.3f}  {line.vm}  {line.kind}  {fields}")
    diagnosis = diagnose(lines, job)
    typer.echo(f"\n{diagnosis.outcome}")
    for part in diagnosis.parts:
        typer.echo(
            f"{part.began - began:8.3f}  {part.seconds:7.3f} s  "
            f"{part.span.value}  {part.detail}"
        )
    typer.echo(f"cause: {diagnosis.cause}")
