"""Commands for operators: status, jobs, vms, why, drain, histograms."""

from typing import Annotated, Any
from urllib.parse import quote

import typer

from pimentocross.cli.client import exit_on_error, send_request
from pimentocross.cli.const import ExitCode
from pimentocross.cli.options import AsJson, OperatorAddress, OperatorToken
from pimentocross.cli.output import fail, print_json, print_table

Subject = Annotated[str, typer.Argument(help="A job, task, class or worker.")]
VmName = Annotated[str, typer.Argument(help="A worker or entry VM.")]
MaxJobs = Annotated[
    int, typer.Option("--most", min=1, help="Maximum number of jobs.")
]

_VM_COLUMNS = ["worker", "cell", "met", "leaving", "tasks", "free"]
_JOB_COLUMNS = ["job", "class_name", "tenant", "state", "finished", "tasks"]
_HISTOGRAM_COLUMNS = [
    "kind",
    "name",
    "total",
    "p50",
    "p90",
    "p99",
    "p999",
    "most",
]


def status(
    operator: OperatorAddress,
    operator_token: OperatorToken,
    as_json: AsJson = False,
) -> None:
    """Prints the state of each live entry VM and of its cells."""
    body = _get(operator, operator_token, "/status")
    if as_json:
        print_json(body)
        return
    rows = [{**row, "cells": [c["cell"] for c in row["cells"]]} for row in body]
    columns = ["name", "zone", "config", "draining", "log_away"]
    print_table(rows, [*columns, "confirmed_age", "in_flight", "cells"])
    cells = [cell for row in body for cell in row["cells"]]
    if cells:
        typer.echo("")
        print_table(cells, list(cells[0]))


def vms(
    operator: OperatorAddress,
    operator_token: OperatorToken,
    as_json: AsJson = False,
) -> None:
    """Prints the workers with their free resources."""
    body = _get(operator, operator_token, "/vms")
    _print_rows(body, _VM_COLUMNS, as_json)


def jobs(
    operator: OperatorAddress,
    operator_token: OperatorToken,
    most: MaxJobs = 100,
    as_json: AsJson = False,
) -> None:
    """Prints the newest jobs."""
    body = _get(operator, operator_token, f"/jobs?most={most}")
    _print_rows(body, _JOB_COLUMNS, as_json)


def why(
    subject: Subject,
    operator: OperatorAddress,
    operator_token: OperatorToken,
    as_json: AsJson = False,
) -> None:
    """Prints why a job, task, class or worker is in its state."""
    path = f"/why?subject={quote(subject)}"
    body = _get(operator, operator_token, path)
    if as_json:
        print_json(body)
    for reason in body["reasons"] if not as_json else []:
        typer.echo(reason)
    if not body["reasons"]:
        fail(f"nothing is known about {subject!r}", ExitCode.FINDINGS)


def histograms(
    operator: OperatorAddress,
    operator_token: OperatorToken,
    as_json: AsJson = False,
) -> None:
    """Prints latencies in milliseconds per tenant and class."""
    body = _get(operator, operator_token, "/histograms")
    _print_rows(body, _HISTOGRAM_COLUMNS, as_json)


def drain(
    vm: VmName, operator: OperatorAddress, operator_token: OperatorToken
) -> None:
    """Drains a worker, or drains and stops the entry VM that is addressed."""
    path = f"/drain?vm={quote(vm)}"
    answer = send_request("POST", operator, path, token=operator_token)
    exit_on_error(answer)
    typer.echo(f"{vm} is draining")


def _get(operator: str, token: str, path: str) -> Any:
    answer = send_request("GET", operator, path, token=token)
    exit_on_error(answer)
    return answer.body


def _print_rows(
    body: list[dict[str, Any]], columns: list[str], as_json: bool
) -> None:
    if as_json:
        print_json(body)
    else:
        print_table(body, columns)
