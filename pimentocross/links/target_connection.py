"""One HTTP/1.1 connection to a target, for one request at a time.

Answers in their plain form are read here, all others by `h11`, which both HTTP
libraries of the house build on: their own connection classes take locks and set
timers for uses that a forwarder has not, at a fifth of the processor time of a
forwarded request.
"""

import select
import socket
from typing import Final

import h11
import trio

from pimentocross.links import const
from pimentocross.links.asgi import Headers, HttpReply, HttpRequest
from pimentocross.links.plain_http import (
    HEAD_END,
    HEAD_MOST,
    HOP_HEADERS,
    PlainHead,
    read_head,
    write_head,
)

_SET_HERE: Final = frozenset({b"host", b"content-length"})
_BODY_METHODS: Final = frozenset({"POST", "PUT", "PATCH"})
# Methods whose answers aren't what their heads say.
_NO_PLAIN_ANSWER: Final = frozenset({"HEAD", "CONNECT"})
_CHUNK: Final = 65536
_NOW: Final = 0


class TargetConnectionError(Exception):
    """The connection broke, or the target broke the protocol."""


class TargetConnection:
    """A connection that stands."""

    def __init__(self, stream: trio.SocketStream, address: str) -> None:
        """Takes a connected stream and owns it."""
        self._stream = stream
        self._host = address.encode()
        # False while an answer is owed, and once no other can follow.
        self._open = True
        self._used_at = trio.current_time()

    @property
    def reusable(self) -> bool:
        """True if the next request may be sent on it."""
        idle_for = trio.current_time() - self._used_at
        return self._open and idle_for < const.TARGET_KEEP_ALIVE

    def is_stale(self) -> bool:
        """True if the other side has closed it while it was kept."""
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(_NOW))

    async def exchange(self, request: HttpRequest, extra: Headers) -> HttpReply:
        """Sends a request and returns the whole answer.

        Raises:
            TargetConnectionError: There is no whole answer.
        """
        self._open = False
        headers = self._headers(request, extra)
        try:
            await self._stream.send_all(self._encode(request, headers))
            reply = await self._read_reply(request, headers)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ) as error:
            reason = str(error) or type(error).__name__
            raise TargetConnectionError(reason) from error
        self._used_at = trio.current_time()
        return reply

    async def aclose(self) -> None:
        """Closes it at once."""
        await trio.aclose_forcefully(self._stream)

    def _headers(self, request: HttpRequest, extra: Headers) -> Headers:
        """Returns a request's headers but the host."""
        headers = [
            header
            for header in request.headers
            if header[0] not in HOP_HEADERS and header[0] not in _SET_HERE
        ]
        if request.body or request.method in _BODY_METHODS:
            headers.append((b"content-length", b"%d" % len(request.body)))
        headers.extend(extra)
        return headers

    def _encode(self, request: HttpRequest, headers: Headers) -> bytes:
        """Returns the whole request, so that it goes out in one piece."""
        head = write_head(request.method, _target(request), self._host, headers)
        if head is None:
            raise TargetConnectionError("the request can't be written")
        return head + request.body

    async def _read_reply(
        self, request: HttpRequest, headers: Headers
    ) -> HttpReply:
        received = chunk = await self._stream.receive_some(_CHUNK)
        while chunk and HEAD_END not in received and len(received) < HEAD_MOST:
            chunk = await self._stream.receive_some(_CHUNK)
            received += chunk
        head = read_head(received)
        if head is None or request.method in _NO_PLAIN_ANSWER:
            return await self._read_any_reply(request, headers, received)
        return await self._read_body(head, received)

    async def _read_body(self, head: PlainHead, received: bytes) -> HttpReply:
        if head.length > const.ANSWER_MOST:
            raise TargetConnectionError("the answer is too long")
        chunks = [received[head.start :]]
        size = len(chunks[0])
        while size < head.length:
            chunk = await self._stream.receive_some(_CHUNK)
            if not chunk:
                raise TargetConnectionError("closed within the answer")
            chunks.append(chunk)
            size += len(chunk)
        # What follows an answer unasked is no answer to the next request.
        self._open = size == head.length
        body = b"".join(chunks)[: head.length]
        return HttpReply(head.status, head.headers, body)

    async def _read_any_reply(
        self, request: HttpRequest, headers: Headers, received: bytes
    ) -> HttpReply:
        """Reads an answer of any form, of which something has come."""
        state = self._sent_state(request, headers)
        state.receive_data(received)
        status = 0
        answered: Headers = []
        chunks: list[bytes] = []
        size = 0
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await self._stream.receive_some(_CHUNK))
            elif isinstance(event, h11.Response):
                status = event.status_code
                answered = [
                    (name, value)
                    for name, value in event.headers
                    if name not in HOP_HEADERS
                ]
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > const.ANSWER_MOST:
                    raise TargetConnectionError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                done = state.our_state is state.their_state is h11.DONE
                self._open = done and state.trailing_data == (b"", False)
                return HttpReply(status, answered, b"".join(chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise TargetConnectionError("closed before the answer")

    def _sent_state(
        self, request: HttpRequest, headers: Headers
    ) -> h11.Connection:
        """Returns the state of a connection that has sent a request."""
        state = h11.Connection(h11.CLIENT)
        state.send(
            h11.Request(
                method=request.method,
                target=_target(request),
                headers=[*headers, (b"host", self._host)],
            )
        )
        if request.body:
            state.send(h11.Data(data=request.body))
        state.send(h11.EndOfMessage())
        return state


def _target(request: HttpRequest) -> str:
    if not request.query:
        return request.path
    return f"{request.path}?{request.query.decode('latin-1')}"


async def connect_target(address: str) -> TargetConnection:
    """Connects to a target at host:port.

    Raises:
        OSError: It refused.
        trio.TooSlowError: It did not answer in time.
    """
    host, _, port = address.rpartition(":")
    connect = _connect_numeric if _is_numeric(host) else trio.open_tcp_stream
    with trio.move_on_after(const.TARGET_CONNECT_TIMEOUT):
        return TargetConnection(await connect(host, int(port)), address)
    raise trio.TooSlowError


def _is_numeric(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


async def _connect_numeric(host: str, port: int) -> trio.SocketStream:
    """Connects to the one address that a numeric host has.

    `open_tcp_stream` races the addresses of a name, in a nursery of its own: it
    takes 1.6 times the processor time.
    """
    connecting = trio.socket.socket()
    try:
        await connecting.connect((host, port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting)
