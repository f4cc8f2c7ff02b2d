"""Commands for operators: status, jobs, vms, why, drain, histograms."""

from typing import Annotated, Any
from urllib.parse import quote

import typer

from pimentocross.cli.client import ask, end_on_problem
from pimentocross.cli.const import ExitCode
from pimentocross.cli.options import AsJson, OperatorAddress, OperatorToken
from pimentocross.cli.output import fail, print_json, print_table

Subject = Annotated[str, typer.Argument(help="A job, task, class or worker.")]
VmName = Annotated[str, typer.Argument(help="A worker or entry VM.")]
Most = Annotated[int, typer.Option("--most", min=1, help="Jobs listed.")]

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
    """Prints what each live entry VM does."""
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
    """Prints the workers with what is free on them."""
    body = _get(operator, operator_token, "/vms")
    _print_rows(body, _VM_COLUMNS, as_json)


def jobs(
    operator: OperatorAddress,
    operator_token: OperatorToken,
    most: Most = 100,
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
    """Prints the deciding reasons for a job, task, class or worker."""
    path = f"/why?subject={quote(subject)}"
    body = _get(operator, operator_token, path)
    if as_json:
        print_json(body)
    for reason in body["reasons"] if not as_json else []:
        typer.echo(reason)
    if not body["reasons"]:
        fail(f"nothing is known of {subject!r}", ExitCode.FINDINGS)


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
    """Empties a worker, or stops the entry VM that is asked."""
    path = f"/drain?vm={quote(vm)}"
    answer = ask("POST", operator, path, token=operator_token)
    end_on_problem(answer)
    typer.echo(f"{vm} is leaving")


def _get(operator: str, token: str, path: str) -> Any:
    answer = ask("GET", operator, path, token=token)
    end_on_problem(answer)
    return answer.body


def _print_rows(
    body: list[dict[str, Any]], columns: list[str], as_json: bool
) -> None:
    if as_json:
        print_json(body)
    else:
        print_table(body, columns)
