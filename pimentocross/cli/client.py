"""Asks an entry VM over HTTP, for the commands."""

from typing import Any, NamedTuple

import httpcore
import msgspec

from pimentocross.cli.const import ExitCode
from pimentocross.cli.output import fail

_TIMEOUT = 45.0
_ERRORS_FROM = 400


class Answer(NamedTuple):
    """Status and decoded body."""

    status: int
    body: Any

    @property
    def failed(self) -> bool:
        """True for an error status."""
        return self.status >= _ERRORS_FROM


def ask(
    method: str,
    address: str,
    path: str,
    *,
    token: str = "",
    headers: list[tuple[bytes, bytes]] | None = None,
    content: bytes = b"",
) -> Answer:
    """Sends one request; ends the command if there is no answer."""
    sent = list(headers or [])
    if token:
        sent.append((b"Authorization", f"Bearer {token}".encode()))
    reply = _request(method, address, path, sent, content)
    try:
        return Answer(reply.status, msgspec.json.decode(reply.content))
    except msgspec.DecodeError:
        return Answer(reply.status, reply.content.decode("utf-8", "replace"))


def ask_text(address: str, path: str) -> str:
    """Returns a page as text; ends the command if there is none."""
    reply = _request("GET", address, path, [], b"")
    if reply.status >= _ERRORS_FROM:
        fail(f"{address} answers {reply.status}", ExitCode.UNREACHABLE)
    return reply.content.decode("utf-8", "replace")


def _request(
    method: str,
    address: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    content: bytes,
) -> httpcore.Response:
    timeouts = dict.fromkeys(["connect", "read", "write", "pool"], _TIMEOUT)
    try:
        return httpcore.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeouts},
        )
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as error:
        fail(f"no answer from {address}: {error}", ExitCode.UNREACHABLE)


def end_on_problem(answer: Answer) -> None:
    """Ends the command with what a problem document says."""
    if not answer.failed:
        return
    body = answer.body if isinstance(answer.body, dict) else {}
    state = body.get("state", "")
    text = f"{state or 'failed'}: {body.get('detail', answer.body)}"
    code = ExitCode.NOT_RUN if state == "not run" else ExitCode.UNKNOWN
    fail(text, code)
