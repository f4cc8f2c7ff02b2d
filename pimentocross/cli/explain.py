"""The command that tells the story of one job, from logs or live VMs."""

from pathlib import Path
from typing import Annotated

import typer

from pimentocross.cli.client import ask_text
from pimentocross.cli.const import ExitCode
from pimentocross.cli.log_lines import LogLine, read_lines
from pimentocross.cli.output import fail
from pimentocross.cli.story import diagnose
from pimentocross.observe.decisions import DECISIONS_PATH

# Kinds that change who answers or what can run, told beside a job's own lines.
_AROUND = frozenset(
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
        "worker_suspect",
        "worker_unsound",
    }
)
_SKIPPED = ("t", "vm", "is")


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
        list[Path] | None,
        typer.Argument(exists=True, dir_okay=False, help="Logs of all VMs."),
    ] = None,
    live: Annotated[
        list[str] | None,
        typer.Option(
            "--live", help="Metrics address of a VM to ask, for each VM."
        ),
    ] = None,
) -> None:
    """Prints the story of one job, where its time went, and the cause."""
    lines: list[LogLine] = []
    for file in files or []:
        lines.extend(read_lines(file.read_text("utf-8", errors="replace")))
    for address in live or []:
        lines.extend(read_lines(ask_text(address, DECISIONS_PATH)))
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
    diagnosis = diagnose(lines, job)
    typer.echo(f"\n{diagnosis.outcome}")
    for part in diagnosis.parts:
        typer.echo(
            f"{part.began - began:8.3f}  {part.seconds:7.3f} s  "
            f"{part.span.value}  {part.detail}"
        )
    typer.echo(f"cause: {diagnosis.cause}")
