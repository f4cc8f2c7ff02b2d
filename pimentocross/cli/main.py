"""The entry point of the program `pimentocross`."""

import platform
import sys
from typing import Annotated

import typer

import pimentocross
from pimentocross.cli import (
    caller,
    config_commands,
    dev,
    entry,
    explain,
    operate,
    standin,
)
from pimentocross.cli.output import print_json

app = typer.Typer(
    name="pimentocross",
    help="Schedules services, batch jobs and watches on shared VMs.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

for command in (
    entry.entry,
    config_commands.check,
    config_commands.diff,
    config_commands.apply,
    operate.status,
    operate.jobs,
    operate.vms,
    operate.why,
    operate.drain,
    operate.histograms,
    caller.submit,
    caller.cancel,
    caller.call,
    dev.dev,
    explain.explain,
):
    app.command()(command)
app.add_typer(standin.app, name="standin")


@app.command()
def version(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Prints the versions of the program and of Python."""
    build = {
        "version": pimentocross.__version__,
        "python": platform.python_version(),
        "machine": platform.machine(),
        "frozen": bool(getattr(sys, "frozen", False)),
    }
    if as_json:
        print_json(build)
    else:
        typer.echo(f"pimentocross {build['version']}, Python {build['python']}")


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
