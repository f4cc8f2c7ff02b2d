"""Prints results as tables or as JSON, and errors."""

from collections.abc import Mapping, Sequence
import json
from typing import Any, NoReturn

import typer

from pimentocross.cli.const import ExitCode


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    typer.echo(json.dumps(value, indent=2))


def print_table(rows: Sequence[Mapping[str, Any]], columns: list[str]) -> None:
    """Prints rows as a table, each column as wide as its longest cell."""
    cells = [[_format_cell(row.get(name)) for name in columns] for row in rows]
    titles = [name.replace("_", " ") for name in columns]
    widths = [
        max(len(line[i]) for line in [titles, *cells])
        for i in range(len(columns))
    ]
    for line in [titles, *cells]:
        padded = (text.ljust(w) for text, w in zip(line, widths, strict=True))
        typer.echo("  ".join(padded).rstrip())


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1 else f"{value:.2f}"
    if isinstance(value, list):
        return ",".join(_format_cell(item) for item in value)
    return str(value)


def fail(message: str, code: ExitCode) -> NoReturn:
    """Prints a message to standard error and exits with a code."""
    typer.echo(message, err=True)
    raise typer.Exit(code)
