"""The command that runs a whole cluster in one process, for trials."""

from typing import Annotated

import trio
import typer

from pimentocross.cli.const import ExitCode
from pimentocross.cli.options import AsJson, Folder
from pimentocross.cli.output import print_json, print_table
from pimentocross.config.load import load_configuration, read_folder
from pimentocross.config.units import parse_duration
from pimentocross.observe.logs import log_to
from pimentocross.standins.dev import DevReport, run_dev


def dev(
    folder: Folder,
    duration: Annotated[
        str, typer.Option("--for", help="Duration, such as 20s.")
    ] = "20s",
    log_file: Annotated[
        str,
        typer.Option("--log-file", help="File for logs; - for standard error."),
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Runs entry VMs, workers and sample traffic in this process."""
    files = read_folder(folder)
    loaded = load_configuration(files)
    if loaded.is_error():
        for finding in loaded.error:
            typer.echo(finding, err=True)
        raise typer.Exit(ExitCode.FINDINGS)
    log_to(log_file)
    try:
        seconds = parse_duration(duration)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    report = trio.run(run_dev, files, loaded.ok, seconds)
    _print_report(report, as_json)
    if report.broken:
        raise typer.Exit(ExitCode.FINDINGS)


def _print_report(report: DevReport, as_json: bool) -> None:
    if as_json:
        print_json(report._asdict())
        return
    print_table(
        [h._asdict() for h in report.latencies],
        ["kind", "name", "total", "p50", "p90", "p99", "p999", "most"],
    )
    typer.echo("(latencies in milliseconds)\n")
    print_table(
        [w._asdict() for w in report.work],
        ["name", "kind", "accepted", "finished", "ran_twice", "running"],
    )
    typer.echo("")
    for line in report.calls:
        typer.echo(f"calls {line.kind} {line.reason}: {line.total}".rstrip())
    for broken in report.broken:
        typer.echo(f"BROKEN: {broken}")
    if not report.broken:
        typer.echo("all checked guarantees were kept")
