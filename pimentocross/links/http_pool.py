"""Kept connections to one address, each for one request at a time."""

from typing import Final

import trio

from pimentocross.links.asgi import Headers, HttpReply, HttpRequest
from pimentocross.links.target_connection import (
    TargetConnection,
    TargetConnectionError,
    connect_target,
)

_NO_HEADERS: Final[Headers] = []


class HttpCallError(Exception):
    """No whole answer.

    Attributes:
        sent: True if the request may have arrived, or still may.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the request may have arrived."""
        super().__init__(reason)
        self.sent = sent


class HttpPool:
    """Connections to host:port.

    A connection whose answer did not come in time is closed: it may have gone
    silent, and a late answer must not be taken for that of a later request.
    """

    def __init__(self, address: str) -> None:
        """Connects with the first call."""
        self._address = address
        self._idle: list[TargetConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        headers: Headers = _NO_HEADERS,
    ) -> HttpReply:
        """Sends one request and returns the whole answer.

        Raises:
            HttpCallError: There is none in time.
        """
        path, _, query = target.partition("?")
        request = HttpRequest(method, path, query.encode(), headers, body)
        connection: TargetConnection | None = None
        sent = False
        try:
            with trio.fail_after(timeout):
                connection = await self._take()
                sent = True
                reply = await connection.exchange(request, [])
        except trio.TooSlowError as error:
            raise HttpCallError("no answer in time", sent=sent) from error
        except (OSError, TargetConnectionError) as error:
            reason = str(error) or type(error).__name__
            raise HttpCallError(reason, sent=sent) from error
        else:
            if connection.reusable:
                self._idle.append(connection)
                connection = None
            return reply
        finally:
            if connection is not None:
                await connection.aclose()

    async def _take(self) -> TargetConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and not connection.is_stale():
                return connection
            await connection.aclose()
        return await connect_target(self._address)

    async def aclose(self) -> None:
        """Closes the connections that are kept."""
        while self._idle:
            await self._idle.pop().aclose()
