"""Commands for the configuration: check, diff, apply."""

import difflib
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import typer

from pimentocross.cli.client import Answer, exit_on_error, send_request
from pimentocross.cli.const import ExitCode
from pimentocross.cli.options import (
    AsJson,
    Folder,
    OperatorAddress,
    OperatorToken,
)
from pimentocross.cli.output import fail, print_json
from pimentocross.config.findings import Finding
from pimentocross.config.load import load_configuration, read_folder

_UNPROCESSABLE = 422


class FolderChange(NamedTuple):
    """The difference between a folder and the version in force.

    Attributes:
        base: The version in force.
        files: Text of each new or changed file, by name.
        removed: Names of files that the folder lacks.
    """

    base: int
    files: dict[str, str]
    removed: list[str]


def check(folder: Folder, as_json: AsJson = False) -> None:
    """Merges the files of a folder and prints all errors in them."""
    findings = _validate(_read_files(folder))
    if as_json:
        items = [{**f.place._asdict(), "message": f.message} for f in findings]
        print_json(items)
    else:
        for finding in findings:
            typer.echo(finding)
    if findings:
        raise typer.Exit(ExitCode.FINDINGS)
    if not as_json:
        typer.echo("no findings")


def diff(
    folder: Folder, operator: OperatorAddress, operator_token: OperatorToken
) -> None:
    """Prints what `apply` would change; exits with 1 if that is anything."""
    files = _read_files(folder)
    active = _fetch_active(operator, operator_token)["files"]
    lines: list[str] = []
    for name in sorted({*files, *active}):
        lines += difflib.unified_diff(
            active.get(name, "").splitlines(),
            files.get(name, "").splitlines(),
            f"in force/{name}",
            f"folder/{name}",
            lineterm="",
        )
    for line in lines:
        typer.echo(line)
    if lines:
        raise typer.Exit(ExitCode.FINDINGS)


def apply(
    folder: Folder,
    operator: OperatorAddress,
    operator_token: OperatorToken,
    as_json: AsJson = False,
) -> None:
    """Publishes a folder and waits until all entry VMs have applied it."""
    files = _read_files(folder)
    findings = _validate(files)
    if findings:
        for finding in findings:
            typer.echo(finding, err=True)
        raise typer.Exit(ExitCode.FINDINGS)
    change = _compare(files, _fetch_active(operator, operator_token))
    if not change.files and not change.removed:
        typer.echo(f"version {change.base} is in force already")
        return
    answer = send_request(
        "POST",
        operator,
        "/config",
        token=operator_token,
        content=msgspec.json.encode(change._asdict()),
    )
    _exit_on_findings(answer)
    exit_on_error(answer)
    _print_applied(answer.body, as_json)


def _read_files(folder: Path) -> dict[str, str]:
    try:
        return read_folder(folder)
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{folder}: {error}", ExitCode.FINDINGS)


def _validate(files: dict[str, str]) -> list[Finding]:
    loaded = load_configuration(files)
    return [] if loaded.is_ok() else loaded.error


def _fetch_active(operator: str, token: str) -> dict[str, Any]:
    answer = send_request("GET", operator, "/config", token=token)
    exit_on_error(answer)
    body: dict[str, Any] = answer.body
    return body


def _compare(files: dict[str, str], active: dict[str, Any]) -> FolderChange:
    before: dict[str, str] = active["files"]
    changed = {n: text for n, text in files.items() if before.get(n) != text}
    removed = sorted(before.keys() - files.keys())
    return FolderChange(active["version"], changed, removed)


def _exit_on_findings(answer: Answer) -> None:
    if answer.status != _UNPROCESSABLE:
        return
    for finding in answer.body.get("findings", []):
        typer.echo(finding, err=True)
    raise typer.Exit(ExitCode.FINDINGS)


def _print_applied(body: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(body)
    else:
        typer.echo(
            f"version {body['version']} in force on {body['entry_vms']}"
            f" entry VMs after {body['seconds']:.3f} s"
        )
    if body["late"]:
        late = ", ".join(body["late"])
        fail(f"accepted, but not yet in force on {late}", ExitCode.UNKNOWN)
