"""A pool of HTTP/1.1 keep-alive connections to one address."""

from typing import Final

import trio

from pimentocross.contracts.progress import AnswerProgress
from pimentocross.links.asgi import Headers, HttpReply, HttpRequest
from pimentocross.links.target_connection import (
    TargetConnection,
    TargetConnectionError,
    connect_target,
)

_NO_HEADERS: Final[Headers] = []


class HttpCallError(Exception):
    """An HTTP call got no complete answer.

    Attributes:
        sent: True if the request may have arrived or may still arrive.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Initializes the error; `sent` is False if no request was sent."""
        super().__init__(reason)
        self.sent = sent


class HttpPool:
    """Keep-alive connections to one address, one request on each at a time.

    A connection whose answer did not come in time is closed: it may be dead,
    and a late answer must not be taken for the answer to a later request.
    """

    def __init__(self, address: str) -> None:
        """Initializes an empty pool for host:port; calls open connections."""
        self._address = address
        self._idle: list[TargetConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        headers: Headers = _NO_HEADERS,
        progress: AnswerProgress | None = None,
    ) -> HttpReply:
        """Sends one request and returns the complete answer.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Body of the request.
            timeout: Seconds to wait for the complete answer.
            headers: Headers of the request.
            progress: Counts the bytes of the answer as they arrive. If it is
                given, an answer that is arriving may take longer than
                `timeout`, see `AnswerProgress.extend`.

        Raises:
            HttpCallError: There was no complete answer in time.
        """
        path, _, query = target.partition("?")
        request = HttpRequest(method, path, query.encode(), headers, body)
        connection: TargetConnection | None = None
        sent = False
        try:
            with trio.fail_after(timeout) as scope:
                connection = await self._acquire()
                sent = True
                if progress is not None:
                    progress.extend(scope)
                reply = await connection.exchange(request, [], progress)
        except trio.TooSlowError as error:
            raise HttpCallError("no answer in time", sent=sent) from error
        except (OSError, TargetConnectionError) as error:
            reason = str(error) or type(error).__name__
            raise HttpCallError(reason, sent=sent) from error
        else:
            opened_at = connection.opened_at
            if connection.reusable:
                self._idle.append(connection)
                connection = None
            return reply._replace(connected_at=opened_at)
        finally:
            if connection is not None:
                await connection.aclose()

    async def _acquire(self) -> TargetConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and not connection.is_stale():
                return connection
            await connection.aclose()
        return await connect_target(self._address)

    async def aclose(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()
