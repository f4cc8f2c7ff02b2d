"""HTTP client for JSON requests to a platform service."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

import httpcore
import msgspec

from pimentocross.backing.const import (
    CONNECT_TIMEOUT,
    KEEP_ALIVE,
    MAX_CONNECTIONS,
)
from pimentocross.contracts.progress import AnswerProgress
from pimentocross.decoding import json_decoder

# Size of method, version, status and blank lines of a request and its reply.
_START_LINE_BYTES: Final = 40
# Size of colon, space and line end of a header.
_HEADER_SEPARATOR_BYTES: Final = 4
_decode: Final = json_decoder(object)


class JsonReply(NamedTuple):
    """A reply: status, decoded body (None if empty) and entity tag."""

    status: int
    body: Any
    etag: str


class JsonError(Exception):
    """There is no reply, or it is not valid JSON.

    Attributes:
        sent: Whether the request may have taken effect.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Initializes the error; `sent` is true if it may have been sent."""
        super().__init__(reason)
        self.sent = sent


class JsonClient:
    """Sends requests to one address over persistent connections.

    Attributes:
        bytes_moved: Bytes of requests and replies, including headers.
    """

    def __init__(self, address: str, key: str = "") -> None:
        """Initializes the client with host:port and an optional access key."""
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE,
        )
        self.bytes_moved = 0
        self._headers = [("Content-Type", "application/json")]
        if key:
            self._headers.append(("Authorization", f"Bearer {key}"))

    async def request_json(
        self,
        method: str,
        path: str,
        body: object,
        timeout: float,
        *,
        etag: str = "",
        progress: AnswerProgress | None = None,
    ) -> JsonReply:
        """Sends one request and decodes the reply.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Value that is sent as JSON.
            timeout: Timeout in seconds of each step, such as connect or read.
            etag: Requests the body only if its entity tag differs.
            progress: Counts the bytes of the reply's body as they arrive.

        Raises:
            JsonError: There is no reply, or it is not valid JSON.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT, timeout),
            "read": timeout,
            "write": timeout,
            "pool": timeout,
        }
        content = msgspec.json.encode(body)
        url = self._base + path
        headers = list(self._headers)
        if etag:
            headers.append(("If-None-Match", etag))
        try:
            async with self._pool.stream(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            ) as response:
                reply_body = await _read_body(response, progress)
            sent = len(url) + len(content) + _headers_size(headers)
            received = len(reply_body) + _headers_size(response.headers)
            self.bytes_moved += sent + received + _START_LINE_BYTES
            decoded = None
            if reply_body:
                decoded = _decode(reply_body)
            return JsonReply(response.status, decoded, _etag(response))
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise JsonError(
                str(error) or "no connection", sent=False
            ) from error
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            msgspec.DecodeError,
        ) as error:
            reason = str(error) or type(error).__name__
            raise JsonError(reason, sent=True) from error

    async def aclose(self) -> None:
        """Closes the idle connections."""
        await self._pool.aclose()


async def _read_body(
    response: httpcore.Response, progress: AnswerProgress | None
) -> bytes:
    chunks = []
    async for chunk in response.aiter_stream():
        chunks.append(chunk)
        if progress is not None:
            progress.note_received(len(chunk))
    return b"".join(chunks)


def _headers_size(headers: Iterable[tuple[str | bytes, str | bytes]]) -> int:
    return sum(len(n) + len(v) + _HEADER_SEPARATOR_BYTES for n, v in headers)


def _etag(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"etag":
            return value.decode("latin-1")
    return ""
