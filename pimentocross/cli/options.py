"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

from pimentocross.cli.const import ENV, ExitCode
from pimentocross.cli.output import fail

OperatorAddress = Annotated[
    str,
    typer.Option(
        "--operator",
        envvar=f"{ENV}OPERATOR",
        help="host:port of an entry VM's operator listener.",
    ),
]
OperatorToken = Annotated[
    str,
    typer.Option(
        "--operator-token",
        envvar=f"{ENV}OPERATOR_TOKEN",
        help="The operators' token; better given in the environment.",
        show_default=False,
    ),
]
CallerAddress = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar=f"{ENV}ENTRY",
        help="host:port of an entry VM's caller listener.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Folder = Annotated[
    Path,
    typer.Argument(exists=True, file_okay=False, help="Folder of YAML files."),
]


def read_secret(value: str, file: Path | None, what: str) -> str:
    """Returns a secret given directly or in a file; ends if there is none."""
    if file is not None:
        value = file.read_text("utf-8").strip()
    if not value:
        fail(
            f"{what} is needed, from a file or the environment", ExitCode.USAGE
        )
    return value
