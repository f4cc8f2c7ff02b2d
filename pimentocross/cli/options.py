"""Options that several commands have."""

from pathlib import Path
from typing import Annotated

import typer

from pimentocross.cli.const import ENV_PREFIX, ExitCode
from pimentocross.cli.output import fail

OperatorAddress = Annotated[
    str,
    typer.Option(
        "--operator",
        envvar=f"{ENV_PREFIX}OPERATOR",
        help="host:port of an entry VM's operator listener.",
    ),
]
OperatorToken = Annotated[
    str,
    typer.Option(
        "--operator-token",
        envvar=f"{ENV_PREFIX}OPERATOR_TOKEN",
        help="The operators' token; the environment variable is safer.",
        show_default=False,
    ),
]
CallerAddress = Annotated[
    str,
    typer.Option(
        "--entry",
        envvar=f"{ENV_PREFIX}ENTRY",
        help="host:port of an entry VM's caller listener.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Folder = Annotated[
    Path,
    typer.Argument(exists=True, file_okay=False, help="Folder of YAML files."),
]


def read_secret(value: str, file: Path | None, what: str) -> str:
    """Returns a secret, from a file if one is given.

    Exits with `USAGE` if the secret is empty.

    Args:
        value: The secret, if it is given directly.
        file: A file that holds it; goes before `value`.
        what: Name of the secret for the error, such as "a peer key".
    """
    if file is not None:
        value = file.read_text("utf-8").strip()
    if not value:
        fail(
            f"{what} is required, from a file or the environment",
            ExitCode.USAGE,
        )
    return value
