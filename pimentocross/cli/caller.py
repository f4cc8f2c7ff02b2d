"""Commands that send requests as a caller: submit, cancel, call."""

import json
from typing import Annotated

import msgspec
import typer

from pimentocross.cli.client import exit_on_error, send_request
from pimentocross.cli.options import AsJson, CallerAddress
from pimentocross.cli.output import print_json
from pimentocross.links.headers import (
    IDEMPOTENCY_KEY,
    REQUEST_TIMEOUT,
    TENANT,
)

Key = Annotated[str, typer.Option("--key", help="Idempotency key.")]
Tenant = Annotated[str, typer.Option("--tenant", help="The caller's team.")]


def submit(
    class_name: Annotated[str, typer.Argument(help="Batch class.")],
    entry: CallerAddress,
    job_input: Annotated[str, typer.Option("--input")] = "",
    tasks: Annotated[int, typer.Option("--tasks", min=1)] = 1,
    key: Key = "",
    tenant: Tenant = "",
    as_json: AsJson = False,
) -> None:
    """Submits a batch job and prints its id when it has been accepted."""
    body = {"class": class_name, "input": job_input, "tasks": tasks}
    answer = send_request(
        "POST",
        entry,
        "/jobs",
        headers=_headers(key, tenant),
        content=msgspec.json.encode(body),
    )
    exit_on_error(answer)
    if as_json:
        print_json(answer.body)
    else:
        typer.echo(answer.body["job"])


def cancel(
    job: Annotated[str, typer.Argument(help="The job's id.")],
    entry: CallerAddress,
) -> None:
    """Cancels a batch job."""
    exit_on_error(send_request("DELETE", entry, f"/jobs/{job}"))
    typer.echo(f"{job} is cancelled")


def call(
    service: Annotated[str, typer.Argument(help="Service.")],
    entry: CallerAddress,
    path: Annotated[str, typer.Argument(help="Path of the request.")] = "/",
    method: Annotated[str, typer.Option("--method")] = "GET",
    body: Annotated[str, typer.Option("--body")] = "",
    key: Key = "",
    tenant: Tenant = "",
    timeout: Annotated[
        float | None, typer.Option("--timeout", help="Seconds.")
    ] = None,
) -> None:
    """Sends one request to a service and prints the body of the reply."""
    headers = _headers(key, tenant)
    if timeout is not None:
        headers.append((REQUEST_TIMEOUT, str(timeout).encode()))
    answer = send_request(
        method,
        entry,
        f"/services/{service}/{path.lstrip('/')}",
        headers=headers,
        content=body.encode(),
    )
    exit_on_error(answer)
    shown = answer.body
    typer.echo(shown if isinstance(shown, str) else json.dumps(shown))


def _headers(key: str, tenant: str) -> list[tuple[bytes, bytes]]:
    headers = []
    if key:
        headers.append((IDEMPOTENCY_KEY, key.encode()))
    if tenant:
        headers.append((TENANT, tenant.encode()))
    return headers
