"""Sends the HTTP requests of the commands to entry VMs."""

from typing import Any, NamedTuple

import httpcore
import msgspec

from pimentocross.cli.const import ExitCode
from pimentocross.cli.output import fail

_TIMEOUT_SECONDS = 45.0
_MIN_ERROR_STATUS = 400


class Answer(NamedTuple):
    """A reply: its HTTP status and its decoded body."""

    status: int
    body: Any

    @property
    def failed(self) -> bool:
        """True if the status is 400 or above."""
        return self.status >= _MIN_ERROR_STATUS


def send_request(
    method: str,
    address: str,
    path: str,
    *,
    token: str = "",
    headers: list[tuple[bytes, bytes]] | None = None,
    content: bytes = b"",
) -> Answer:
    """Sends one request and returns the reply.

    A body that isn't JSON is returned as text. Exits with `UNREACHABLE` if
    there is no reply.

    Args:
        method: The HTTP method.
        address: host:port of the entry VM.
        path: Path and query.
        token: The operators' token, or "" to send none.
        headers: Further headers.
        content: The body.
    """
    sent = list(headers or [])
    if token:
        sent.append((b"Authorization", f"Bearer {token}".encode()))
    reply = _request(method, address, path, sent, content)
    try:
        return Answer(reply.status, msgspec.json.decode(reply.content))
    except msgspec.DecodeError:
        return Answer(reply.status, reply.content.decode("utf-8", "replace"))


def fetch_text(address: str, path: str) -> str:
    """Returns a page as text; exits if it can't be fetched."""
    reply = _request("GET", address, path, [], b"")
    if reply.status >= _MIN_ERROR_STATUS:
        fail(f"{address} answers {reply.status}", ExitCode.UNREACHABLE)
    return reply.content.decode("utf-8", "replace")


def _request(
    method: str,
    address: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    content: bytes,
) -> httpcore.Response:
    timeouts = dict.fromkeys(
        ["connect", "read", "write", "pool"], _TIMEOUT_SECONDS
    )
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


def exit_on_error(answer: Answer) -> None:
    """Exits with the state and detail of the problem in an error reply."""
    if not answer.failed:
        return
    body = answer.body if isinstance(answer.body, dict) else {}
    state = body.get("state", "")
    text = f"{state or 'failed'}: {body.get('detail', answer.body)}"
    code = ExitCode.NOT_RUN if state == "not run" else ExitCode.UNKNOWN
    fail(text, code)
