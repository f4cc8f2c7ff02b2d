"""JSON over HTTP to one platform service."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

import httpcore
import msgspec

from pimentocross.backing.const import (
    CONNECT_TIMEOUT,
    CONNECTIONS_MOST,
    KEEP_ALIVE,
)

# Method, version, status and blank lines of a request and its reply.
_FIRST_LINES: Final = 40
# Colon, blank and line end of a header.
_HEADER_EXTRA: Final = 4


class JsonReply(NamedTuple):
    """Status, decoded body (None if it is empty) and entity tag."""

    status: int
    body: Any
    etag: str


class JsonError(Exception):
    """No usable reply.

    Attributes:
        sent: True if the request may have taken effect.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the request may have been sent."""
        super().__init__(reason)
        self.sent = sent


class JsonClient:
    """Asks one address; connections are kept between requests.

    Attributes:
        bytes_moved: Bytes of requests and replies, heads included.
    """

    def __init__(self, address: str, key: str = "") -> None:
        """Takes host:port and the key that the service wants, if any."""
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MOST,
            max_keepalive_connections=CONNECTIONS_MOST,
            keepalive_expiry=KEEP_ALIVE,
        )
        self.bytes_moved = 0
        self._headers = [("Content-Type", "application/json")]
        if key:
            self._headers.append(("Authorization", f"Bearer {key}"))

    async def ask(
        self,
        method: str,
        path: str,
        body: object,
        timeout: float,
        *,
        etag: str = "",
    ) -> JsonReply:
        """Sends one request and decodes the reply.

        Args:
            method: Of the request.
            path: With its query.
            body: Sent as JSON.
            timeout: Seconds to wait at each step.
            etag: Asks for the body only if it has another entity tag.

        Raises:
            JsonError: No reply, or one that is not JSON.
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
            response = await self._pool.request(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
            sent = len(url) + len(content) + _size(headers)
            received = len(response.content) + _size(response.headers)
            self.bytes_moved += sent + received + _FIRST_LINES
            decoded = None
            if response.content:
                decoded = msgspec.json.decode(response.content)
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
        """Closes the kept connections."""
        await self._pool.aclose()


def _size(headers: Iterable[tuple[str | bytes, str | bytes]]) -> int:
    return sum(len(n) + len(v) + _HEADER_EXTRA for n, v in headers)


def _etag(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"etag":
            return value.decode("latin-1")
    return ""
