"""Links to targets: connections kept, answers in whole, limits learned."""

from typing import Final

import httpcore
import trio

from pimentocross.contracts.limit import AdaptiveLimit
from pimentocross.entry.const import EJECT_FAILURES, EJECT_FOR
from pimentocross.links import const
from pimentocross.links.asgi import Headers, HttpReply, HttpRequest

# Headers of one hop, which a forwarder does not pass on (RFC 9110, 7.6.1).
_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
    }
)
_BACKEND: Final = httpcore.TrioBackend()


class TargetError(Exception):
    """A target did not answer.

    Attributes:
        sent: True if any byte of the request may have reached it.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the request may have arrived."""
        super().__init__(reason)
        self.sent = sent


class TargetLink:
    """Connections from this entry VM to one target.

    Attributes:
        in_flight: Requests that wait for its answer.
        elsewhere: Requests that other entry VMs have there, as last told.
        silences: Connections that were closed since no answer came.
    """

    def __init__(self, address: str, concurrency: int) -> None:
        """Takes host:port and the requests that it runs at once."""
        host, _, port = address.rpartition(":")
        self.in_flight = 0
        self.elsewhere = 0
        self.silences = 0
        self._address = address
        self._concurrency = concurrency
        self._limit = AdaptiveLimit(concurrency)
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._host = host
        self._port = int(port)
        self._idle: list[httpcore.AsyncHTTP11Connection] = []
        self._suspect: list[httpcore.AsyncHTTP11Connection] = []
        self._failures = 0
        self._ejected_until = 0.0

    @property
    def address(self) -> str:
        """host:port."""
        return self._address

    @property
    def limit(self) -> AdaptiveLimit:
        """How many requests it may have in flight."""
        return self._limit

    @property
    def ejected(self) -> bool:
        """True while it gets nothing since its answers failed."""
        return trio.current_time() < self._ejected_until

    @property
    def load(self) -> float:
        """Requests in flight, from everywhere, over what it runs at once."""
        return (self.in_flight + self.elsewhere) / max(self._concurrency, 1)

    @property
    def has_room(self) -> bool:
        """True if another request may be sent now."""
        return self.in_flight + self.elsewhere < self._limit.limit

    def set_concurrency(self, concurrency: int) -> None:
        """Takes a changed number of requests that it runs at once."""
        if concurrency != self._concurrency:
            self._concurrency = concurrency
            self._limit = AdaptiveLimit(concurrency)

    async def send(
        self, request: HttpRequest, extra: Headers, timeout: float
    ) -> HttpReply:
        """Sends a request and returns the whole answer.

        Raises:
            TargetError: No answer, or only a part of one.
        """
        began = trio.current_time()
        self.in_flight += 1
        try:
            with trio.fail_after(timeout):
                connection = await self._connection()
                try:
                    reply = await self._exchange(connection, request, extra)
                except BaseException:
                    with trio.CancelScope(shield=True):
                        await connection.aclose()
                    raise
        except TargetError:
            self.note_failure()
            raise
        except trio.TooSlowError as error:
            self.note_silence()
            raise TargetError("no answer in time", sent=True) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self.note_failure()
            reason = str(error) or type(error).__name__
            raise TargetError(reason, sent=True) from error
        finally:
            self.in_flight -= 1
        self._keep(connection)
        self._failures = 0
        self._limit.note_answer(trio.current_time() - began)
        return reply

    def note_silence(self) -> None:
        """Counts an answer that was late; kept connections are suspect.

        What lies between may have lost track of them all, while a fresh one
        works, so the next request is sent on a fresh one.
        """
        self.silences += 1
        self._suspect, self._idle = [*self._suspect, *self._idle], []
        self.note_failure()

    def note_failure(self) -> None:
        """Counts a failure; after several in a row it is ejected."""
        self._failures += 1
        self._limit.note_failure()
        if self._failures >= EJECT_FAILURES:
            # Once back, a single failure ejects it again.
            self._failures = EJECT_FAILURES - 1
            self._ejected_until = trio.current_time() + EJECT_FOR

    async def aclose(self) -> None:
        """Closes the kept connections."""
        await self._close_suspect()
        while self._idle:
            await self._idle.pop().aclose()

    async def _close_suspect(self) -> None:
        while self._suspect:
            await self._suspect.pop().aclose()

    async def _connection(self) -> httpcore.AsyncHTTP11Connection:
        if self._suspect:
            await self._close_suspect()
        while self._idle:
            kept = self._idle.pop()
            if not kept.has_expired() and kept.is_idle():
                return kept
            await kept.aclose()
        try:
            stream = await _BACKEND.connect_tcp(
                self._host, self._port, const.TARGET_CONNECT_TIMEOUT
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetError("no connection", sent=False) from error
        return httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=const.TARGET_KEEP_ALIVE
        )

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        request: HttpRequest,
        extra: Headers,
    ) -> HttpReply:
        target = request.path.encode("latin-1")
        if request.query:
            target += b"?" + request.query
        headers = [h for h in request.headers if h[0] not in _HOP_HEADERS]
        headers.append((b"host", self._address.encode()))
        headers.extend(extra)
        outgoing = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http",
                host=self._origin.host,
                port=self._port,
                target=target,
            ),
            headers=headers,
            content=request.body,
        )
        response = await connection.handle_async_request(outgoing)
        body = await response.aread()
        await response.aclose()
        answered = [
            (name.lower(), value)
            for name, value in response.headers
            if name.lower() not in _HOP_HEADERS
        ]
        return HttpReply(response.status, answered, body)

    def _keep(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        if connection.is_idle() and len(self._idle) < const.TARGET_IDLE_KEPT:
            self._idle.append(connection)
