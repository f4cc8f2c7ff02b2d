"""One HTTP/1.1 connection to a target, for one request at a time.

Answers that have a content length are parsed here, all others by `h11`. The
connection classes of hypercorn and httpcore, which build on `h11` too, take
locks and set timers that a forwarder doesn't need: these cost a fifth of the
CPU time of a forwarded request.
"""

import select
import socket
from typing import Final

import h11
import trio

from pimentocross.contracts.progress import AnswerProgress
from pimentocross.links import const
from pimentocross.links.asgi import Headers, HttpReply, HttpRequest
from pimentocross.links.plain_http import (
    HEAD_END,
    HOP_HEADERS,
    MAX_HEAD_BYTES,
    PlainHead,
    read_head,
    write_head,
)

_GENERATED_HEADERS: Final = frozenset({b"host", b"content-length"})
_BODY_METHODS: Final = frozenset({"POST", "PUT", "PATCH"})
# Methods whose answers have no body, whatever their content length says.
_METHODS_WITHOUT_PLAIN_ANSWER: Final = frozenset({"HEAD", "CONNECT"})
_CHUNK: Final = 65536
_NO_WAIT: Final = 0


class TargetConnectionError(Exception):
    """The connection was lost, or the target violated the protocol."""


class TargetConnection:
    """An open connection to a target.

    Attributes:
        opened_at: When it was opened, monotonic.
    """

    def __init__(self, stream: trio.SocketStream, address: str) -> None:
        """Wraps a stream that is just connected; `aclose` closes it."""
        self.opened_at = trio.current_time()
        self._stream = stream
        self._host = address.encode()
        # False while an answer is pending, and once the connection can carry no
        # further request.
        self._open = True
        self._used_at = self.opened_at
        self._progress: AnswerProgress | None = None

    @property
    def reusable(self) -> bool:
        """True if another request may be sent on this connection."""
        idle_for = trio.current_time() - self._used_at
        return self._open and idle_for < const.TARGET_KEEP_ALIVE

    def is_stale(self) -> bool:
        """Returns whether the target closed or wrote to the idle connection."""
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(_NO_WAIT))

    async def exchange(
        self,
        request: HttpRequest,
        extra: Headers,
        progress: AnswerProgress | None = None,
    ) -> HttpReply:
        """Sends a request and returns the complete answer.

        Args:
            request: The request.
            extra: Headers to send in addition.
            progress: Counts the bytes of the answer as they arrive.

        Raises:
            TargetConnectionError: There is no complete and valid answer.
        """
        self._open = False
        self._progress = progress
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

    async def _receive(self) -> bytes:
        """Returns the next bytes of the answer, b"" at its end."""
        chunk = await self._stream.receive_some(_CHUNK)
        if self._progress is not None:
            self._progress.note_received(len(chunk))
        return bytes(chunk)

    async def aclose(self) -> None:
        """Closes the connection without a graceful shutdown."""
        await trio.aclose_forcefully(self._stream)

    def _headers(self, request: HttpRequest, extra: Headers) -> Headers:
        """Returns the headers to send, without `host`."""
        headers = [
            header
            for header in request.headers
            if header[0] not in HOP_HEADERS
            and header[0] not in _GENERATED_HEADERS
        ]
        if request.body or request.method in _BODY_METHODS:
            headers.append((b"content-length", b"%d" % len(request.body)))
        headers.extend(extra)
        return headers

    def _encode(self, request: HttpRequest, headers: Headers) -> bytes:
        """Returns the whole request, to be sent with one write."""
        head = write_head(request.method, _target(request), self._host, headers)
        if head is None:
            raise TargetConnectionError("the request can't be written")
        return head + request.body

    async def _read_reply(
        self, request: HttpRequest, headers: Headers
    ) -> HttpReply:
        received = chunk = await self._receive()
        while (
            chunk
            and HEAD_END not in received
            and len(received) < MAX_HEAD_BYTES
        ):
            chunk = await self._receive()
            received += chunk
        head = read_head(received)
        if head is None or request.method in _METHODS_WITHOUT_PLAIN_ANSWER:
            return await self._read_any_reply(request, headers, received)
        return await self._read_body(head, received)

    async def _read_body(self, head: PlainHead, received: bytes) -> HttpReply:
        if head.body_length > const.MAX_ANSWER_BYTES:
            raise TargetConnectionError("the answer is too long")
        chunks = [received[head.body_start :]]
        size = len(chunks[0])
        while size < head.body_length:
            chunk = await self._receive()
            if not chunk:
                raise TargetConnectionError("closed within the answer")
            chunks.append(chunk)
            size += len(chunk)
        # Surplus bytes must not be taken for the answer to the next request.
        self._open = size == head.body_length
        body = b"".join(chunks)[: head.body_length]
        return HttpReply(head.status, head.headers, body)

    async def _read_any_reply(
        self, request: HttpRequest, headers: Headers, received: bytes
    ) -> HttpReply:
        """Reads an answer of any form with `h11`.

        Args:
            request: The request that was sent.
            headers: Headers that were sent with it.
            received: Bytes of the answer that have been read already.
        """
        state = self._state_after_request(request, headers)
        state.receive_data(received)
        status = 0
        answer_headers: Headers = []
        chunks: list[bytes] = []
        size = 0
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await self._receive())
            elif isinstance(event, h11.Response):
                status = event.status_code
                answer_headers = [
                    (name, value)
                    for name, value in event.headers
                    if name not in HOP_HEADERS
                ]
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > const.MAX_ANSWER_BYTES:
                    raise TargetConnectionError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                done = state.our_state is state.their_state is h11.DONE
                self._open = done and state.trailing_data == (b"", False)
                return HttpReply(status, answer_headers, b"".join(chunks))
            elif isinstance(event, h11.ConnectionClosed):
                raise TargetConnectionError("closed before the answer")

    def _state_after_request(
        self, request: HttpRequest, headers: Headers
    ) -> h11.Connection:
        """Returns the `h11` state of a connection that has sent `request`."""
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
        OSError: The connection failed.
        trio.TooSlowError: There was no connection in time.
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
    """Connects to a numeric IPv4 address.

    `open_tcp_stream` resolves a name and tries its addresses concurrently in a
    nursery, which takes 1.6 times the CPU time.
    """
    connecting = trio.socket.socket()
    try:
        await connecting.connect((host, port))
    except BaseException:
        connecting.close()
        raise
    return trio.SocketStream(connecting)
