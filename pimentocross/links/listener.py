"""A small HTTP/1.1 server on `h11`, for processes that must start fast.

`hypercorn`, which serves the operators' API, takes 0.11 s of CPU time to import
and can't answer on open connections while new ones are still accepted during a
drain. It is built on `h11` too.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import h11
import trio

from pimentocross.links.asgi import Headers, HttpReply, HttpRequest

Handler = Callable[[HttpRequest], Awaitable[HttpReply]]
_CHUNK: Final = 65536
_BACKLOG: Final = 1024
_WRITE_TIMEOUT: Final = 5.0


class ListenerLimits(NamedTuple):
    """Size limits of requests, and timeouts in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 256 * 1024
    request_timeout: float = 3.0
    idle_timeout: float = 15.0


class _TooLargeError(Exception):
    """The request body exceeds the size limit."""


class HttpListener:
    """Serves HTTP/1.1 requests on one address.

    Attributes:
        open_connections: Number of open connections.
        in_flight: Number of requests received and not yet answered.
    """

    def __init__(
        self, handler: Handler, limits: Callable[[], ListenerLimits]
    ) -> None:
        """Initializes the server; each connection reads `limits` once."""
        self.open_connections = 0
        self.in_flight = 0
        self._handler = handler
        self._limits = limits
        self._draining = False

    def drain(self) -> None:
        """Makes every connection close after its next answer."""
        self._draining = True

    async def serve(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves on host:port until cancelled; reports the port when ready."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=_BACKLOG
        )
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self.serve_connection, listeners)

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serves the requests of one connection, then closes it."""
        self.open_connections += 1
        try:
            await self._serve(stream)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            h11.LocalProtocolError,
        ):
            # The caller has closed the connection or reads too slowly, so no
            # error response can be sent.
            pass
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        limits = self._limits()
        state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        while True:
            try:
                request = await self._read_request(state, stream, limits)
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                await _write(state, stream, HttpReply(status, [], b""), True)
                return
            except _TooLargeError:
                await _write(state, stream, HttpReply(413, [], b""), True)
                return
            if request is None:
                return
            self.in_flight += 1
            try:
                reply = await self._handler(request)
                await _write(state, stream, reply, self._draining)
            finally:
                self.in_flight -= 1
            if state.our_state is not h11.DONE or self._draining:
                return
            if state.their_state is not h11.DONE:
                return
            state.start_next_cycle()

    async def _read_request(
        self,
        state: h11.Connection,
        stream: trio.abc.Stream,
        limits: ListenerLimits,
    ) -> HttpRequest | None:
        """Returns the next request, or None at the end of the connection."""
        head: h11.Request | None = None
        body = bytearray()
        with trio.CancelScope() as scope:
            scope.deadline = trio.current_time() + limits.idle_timeout
            while True:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    if state.they_are_waiting_for_100_continue:
                        await _send_continue(state, stream)
                    data = await stream.receive_some(_CHUNK)
                    began = trio.current_time() + limits.request_timeout
                    scope.deadline = min(scope.deadline, began)
                    state.receive_data(bytes(data))
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > limits.body_bytes:
                        raise _TooLargeError
                elif isinstance(event, h11.EndOfMessage):
                    assert head is not None
                    return _request(head, bytes(body))
                else:
                    return None
        return None


def _request(head: h11.Request, body: bytes) -> HttpRequest:
    path, _, query = head.target.partition(b"?")
    headers: Headers = list(head.headers)
    return HttpRequest(
        head.method.decode("ascii"),
        path.decode("latin-1"),
        query,
        headers,
        body,
    )


async def _send_continue(
    state: h11.Connection, stream: trio.abc.Stream
) -> None:
    data = state.send(h11.InformationalResponse(status_code=100, headers=[]))
    await stream.send_all(data or b"")


async def _write(
    state: h11.Connection,
    stream: trio.abc.Stream,
    reply: HttpReply,
    close: bool,
) -> None:
    names = {name for name, _ in reply.headers}
    headers = list(reply.headers)
    if b"content-length" not in names:
        headers.append((b"content-length", b"%d" % len(reply.body)))
    if close:
        headers.append((b"connection", b"close"))
    response = h11.Response(status_code=reply.status, headers=headers)
    parts = [state.send(response) or b""]
    if reply.body:
        parts.append(state.send(h11.Data(data=reply.body)) or b"")
    parts.append(state.send(h11.EndOfMessage()) or b"")
    with trio.fail_after(_WRITE_TIMEOUT):
        await stream.send_all(b"".join(parts))
