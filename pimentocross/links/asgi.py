"""Reads requests and writes replies of ASGI apps, with size and time limits."""

from collections.abc import Awaitable, Callable, Mapping
import math
from typing import Any, Final, NamedTuple, TypeAlias
from urllib.parse import parse_qsl

import msgspec
import trio

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers: TypeAlias = list[tuple[bytes, bytes]]

JSON: Final = b"application/json"
_BODY_HEADERS: Final = (b"content-length", b"transfer-encoding")
PROBLEM_JSON: Final = b"application/problem+json"


class RequestTooLargeError(Exception):
    """The request body exceeds the size limit."""


class RequestTooSlowError(Exception):
    """The request body did not arrive in time."""


class CallerGoneError(Exception):
    """The connection was closed before the whole body had arrived."""


class HttpRequest(NamedTuple):
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: str
    query: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes, default: str = "") -> str:
        """Returns the value of a header, or the default if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return default

    def query_value(self, name: str, default: str = "") -> str:
        """Returns a query parameter's value, or the default if it is absent."""
        for key, value in parse_qsl(self.query.decode("latin-1")):
            if key == name:
                return value
        return default


class HttpReply(NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: The status code.
        headers: The headers.
        body: The body.
        connected_at: When the connection was opened on which it came,
            monotonic; infinite if not known.
    """

    status: int
    headers: Headers
    body: bytes
    connected_at: float = math.inf


async def read_request(
    scope: Scope, receive: Receive, *, max_body_bytes: int, timeout: float
) -> HttpRequest:
    """Reads a complete request.

    Args:
        scope: The ASGI connection scope.
        receive: The ASGI receive callable.
        max_body_bytes: Maximum size of the body.
        timeout: Seconds within which the body has to arrive.

    Raises:
        RequestTooLargeError: The body is larger than `max_body_bytes`.
        RequestTooSlowError: The body did not arrive in time.
        CallerGoneError: The connection was closed before the end of the body.
    """
    headers: Headers = list(scope["headers"])
    if not any(name in _BODY_HEADERS for name, _ in headers):
        # Most requests have no body: this saves the cost of a timer.
        body = await _read_body(receive, max_body_bytes)
    else:
        with trio.move_on_after(timeout) as waited:
            body = await _read_body(receive, max_body_bytes)
        if waited.cancelled_caught:
            raise RequestTooSlowError
    path = scope.get("raw_path") or scope["path"].encode("latin-1")
    return HttpRequest(
        scope["method"],
        path.decode("latin-1").partition("?")[0],
        scope["query_string"],
        headers,
        body,
    )


async def _read_body(receive: Receive, max_body_bytes: int) -> bytes:
    chunks = []
    size = 0
    more = True
    while more:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        chunks.append(event.get("body", b""))
        size += len(chunks[-1])
        if size > max_body_bytes:
            raise RequestTooLargeError
        more = event.get("more_body", False)
    return b"".join(chunks)


async def send_reply(send: Send, reply: HttpReply) -> None:
    """Sends a complete response."""
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": reply.headers,
        }
    )
    await send({"type": "http.response.body", "body": reply.body})


def json_reply(
    body: object,
    status: int = 200,
    content_type: bytes = JSON,
    extra: Mapping[str, str] | None = None,
) -> HttpReply:
    """Returns a response with a JSON body and `extra` as further headers."""
    content = msgspec.json.encode(body)
    headers = [
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(content)),
    ]
    for name, value in (extra or {}).items():
        headers.append((name.lower().encode(), value.encode()))
    return HttpReply(status, headers, content)
