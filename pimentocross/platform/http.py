"""JSON over HTTP to one platform service."""

from typing import Any, NamedTuple

import httpcore
import msgspec

from pimentocross.platform.const import (
    CONNECT_TIMEOUT,
    CONNECTIONS_MOST,
    KEEP_ALIVE,
)


class JsonReply(NamedTuple):
    """Status and decoded body."""

    status: int
    body: Any


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
    """Asks one address; connections are kept between requests."""

    def __init__(self, address: str, key: str = "") -> None:
        """Takes host:port and the key that the service wants, if any."""
        self._base = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MOST,
            max_keepalive_connections=CONNECTIONS_MOST,
            keepalive_expiry=KEEP_ALIVE,
        )
        self._headers = [("Content-Type", "application/json")]
        if key:
            self._headers.append(("Authorization", f"Bearer {key}"))

    async def ask(
        self, method: str, path: str, body: object, timeout: float
    ) -> JsonReply:
        """Sends one request and decodes the reply.

        Raises:
            JsonError: No reply, or one that is not JSON.
        """
        timeouts = {
            "connect": min(CONNECT_TIMEOUT, timeout),
            "read": timeout,
            "write": timeout,
            "pool": timeout,
        }
        try:
            response = await self._pool.request(
                method,
                self._base + path,
                headers=self._headers,
                content=msgspec.json.encode(body),
                extensions={"timeout": timeouts},
            )
            return JsonReply(
                response.status, msgspec.json.decode(response.content)
            )
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
