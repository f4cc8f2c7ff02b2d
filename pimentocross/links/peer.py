"""Connections between entry VMs, with requests and answers by number."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, Generic, Protocol

import trio

from pimentocross.codec import MessageError, MessageT, MessageTags
from pimentocross.links import const
from pimentocross.links.framing import FrameError, FrameStream
from pimentocross.links.greeting import (
    Credentials,
    GreetingError,
    PeerIdentity,
    answer_greeting,
    greet,
)
from pimentocross.observe.decisions import note

_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    FrameError,
    GreetingError,
    MessageError,
)


class PeerUnreachableError(Exception):
    """A peer did not answer a request.

    Attributes:
        sent: True if the request may have reached the peer.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Initializes the error; `sent` is False if no request was sent."""
        super().__init__(reason)
        self.sent = sent


class PeerAnswerer(Protocol[MessageT]):
    """Handles the requests of peers."""

    async def answer(self, peer: PeerIdentity, message: MessageT) -> MessageT:
        """Returns the answer to one request."""
        ...

    def refuse(self, reason: str) -> MessageT:
        """Returns the answer to a request that can't be decoded."""
        ...


StreamDialer = Callable[[str], Awaitable[trio.abc.Stream]]


async def dial_tcp(address: str) -> trio.abc.Stream:
    """Connects to host:port.

    Raises:
        OSError: The connection failed.
    """
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


class _PendingRequest(Generic[MessageT]):
    """A request that waits for its answer; None means that there is none."""

    def __init__(self) -> None:
        self.answer: MessageT | None = None
        self.done = trio.Event()


class PeerLink(Generic[MessageT]):
    """A connection to one peer's listener, reopened whenever it is lost.

    Attributes:
        identity: The peer that answered the last greeting, or None.
        last_reply_at: Trio time of the peer's last frame.
        timeout_count: Connections, or attempts at one, that timed out.
        closed_connection_bytes: Bytes sent and received on earlier connections.
    """

    def __init__(
        self,
        address: str,
        local_identity: PeerIdentity,
        credentials: Credentials,
        messages: MessageTags[MessageT],
        dial: StreamDialer = dial_tcp,
    ) -> None:
        """Initializes a closed link, which `run` opens and keeps open.

        Args:
            address: The peer's listener, as host:port.
            local_identity: Identity of this process.
            credentials: Keys that both sides prove in the greeting.
            messages: Message types and their tags.
            dial: Opens a stream to an address.
        """
        self._messages = messages
        self.identity: PeerIdentity | None = None
        self.last_reply_at = float("-inf")
        self.timeout_count = 0
        self.closed_connection_bytes = 0
        self._address = address
        self._local_identity = local_identity
        self._credentials = credentials
        self._dial = dial
        self._frames: FrameStream | None = None
        self._pending_requests: dict[int, _PendingRequest[MessageT]] = {}
        self._next_id = 0

    @property
    def address(self) -> str:
        """The address of the peer's listener."""
        return self._address

    @property
    def connected(self) -> bool:
        """True while a connection is open and its greeting has succeeded."""
        return self._frames is not None

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        frames = self._frames
        now = frames.sent + frames.received if frames is not None else 0
        return self.closed_connection_bytes + now

    async def run(
        self, on_connected: Callable[["PeerLink[MessageT]"], Awaitable[None]]
    ) -> None:
        """Keeps the connection open and receives answers until cancelled.

        Args:
            on_connected: Runs on each new connection; is cancelled when the
                peer closes it. When it returns, the connection is closed
                and a new one opened.
        """
        backoff = const.FIRST_REDIAL_DELAY
        while True:
            try:
                async with self._connection():
                    backoff = const.FIRST_REDIAL_DELAY
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._receive_answers, nursery)
                        await on_connected(self)
                        nursery.cancel_scope.cancel()
            except* _CONNECTION_ERRORS:
                pass
            except* trio.TooSlowError:
                self.timeout_count += 1
            await trio.sleep(backoff)
            backoff = min(backoff * 2, const.MAX_REDIAL_DELAY)

    async def ask(self, message: MessageT, timeout: float) -> MessageT:
        """Sends a request and returns the answer.

        Raises:
            PeerUnreachableError: There was no answer within `timeout`.
        """
        frames = self._frames
        if frames is None:
            raise PeerUnreachableError("not connected", sent=False)
        self._next_id += 1
        request_id = self._next_id
        request = self._pending_requests[request_id] = _PendingRequest[
            MessageT
        ]()
        try:
            with trio.move_on_after(timeout):
                array = [request_id, *self._messages.pack(message)]
                await frames.send(array)
                await request.done.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnreachableError("connection lost", sent=True) from error
        finally:
            self._pending_requests.pop(request_id, None)
        if request.answer is None:
            raise PeerUnreachableError("no answer", sent=True)
        return request.answer

    @asynccontextmanager
    async def _connection(self) -> AsyncIterator[None]:
        with trio.fail_after(const.DIAL_TIMEOUT):
            stream = await self._dial(self._address)
        frames = FrameStream(stream)
        try:
            with trio.fail_after(const.GREETING_TIMEOUT):
                self.identity = await greet(
                    frames, self._local_identity, self._credentials
                )
            self.last_reply_at = trio.current_time()
            self._frames = frames
            yield
        finally:
            self._frames = None
            self.closed_connection_bytes += frames.sent + frames.received
            self._fail_pending_requests()
            await frames.aclose()

    async def _receive_answers(self, nursery: trio.Nursery) -> None:
        frames = self._frames
        assert frames is not None
        while True:
            array = await frames.receive(const.MAX_FRAME_BYTES)
            if array is None:
                break
            self.last_reply_at = trio.current_time()
            request = self._pending_requests.get(array[0]) if array else None
            if request is not None:
                request.answer = self._messages.unpack(array[1:])
                request.done.set()
        nursery.cancel_scope.cancel()

    def _fail_pending_requests(self) -> None:
        for request in self._pending_requests.values():
            request.done.set()


class PeerListener(Generic[MessageT]):
    """Answers the requests of peers that connect.

    Attributes:
        refused: Connections that ended with a failed greeting, an invalid frame
            or message, or a timeout.
    """

    def __init__(
        self,
        local_identity: PeerIdentity,
        credentials: Credentials,
        answerer: PeerAnswerer[MessageT],
        messages: MessageTags[MessageT],
        max_connections: int = const.DEFAULT_MAX_PEER_CONNECTIONS,
    ) -> None:
        """Initializes the listener.

        Args:
            local_identity: Identity of this process.
            credentials: Keys that both sides prove in the greeting.
            answerer: Handles the requests.
            messages: Message types and their tags.
            max_connections: Connections beyond this number are refused.
        """
        self._messages = messages
        self._max_connections = max_connections
        self.refused = 0
        self._closed_connection_bytes = 0
        self._open: set[FrameStream] = set()
        self._local_identity = local_identity
        self._credentials = credentials
        self._answerer = answerer
        self._connections = 0

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        now = sum(f.sent + f.received for f in self._open)
        return self._closed_connection_bytes + now

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it is closed or idle for too long."""
        frames = FrameStream(stream)
        self._connections += 1
        self._open.add(frames)
        try:
            if self._connections > self._max_connections:
                note("peer_refused", connections=self._connections)
                return
            with trio.fail_after(const.GREETING_TIMEOUT):
                peer = await answer_greeting(
                    frames, self._local_identity, self._credentials
                )
            await self._answer_all(frames, peer)
        except* (GreetingError, FrameError, trio.TooSlowError, MessageError):
            self.refused += 1
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connections -= 1
            self._open.discard(frames)
            self._closed_connection_bytes += frames.sent + frames.received
            await frames.aclose()

    async def _answer_all(
        self, frames: FrameStream, peer: PeerIdentity
    ) -> None:
        answer_slots = trio.Semaphore(const.MAX_CONCURRENT_ANSWERS)
        async with trio.open_nursery() as nursery:
            while True:
                with trio.fail_after(const.PEER_IDLE_TIMEOUT):
                    array = await frames.receive(const.MAX_FRAME_BYTES)
                if array is None:
                    break
                if not array or not isinstance(array[0], int):
                    raise MessageError("a request has no number")
                await answer_slots.acquire()
                nursery.start_soon(
                    self._answer_one, frames, peer, array, answer_slots
                )
            nursery.cancel_scope.cancel()

    async def _answer_one(
        self,
        frames: FrameStream,
        peer: PeerIdentity,
        array: list[Any],
        answer_slots: trio.Semaphore,
    ) -> None:
        reply: MessageT
        try:
            message = self._messages.unpack(array[1:])
            reply = await self._answerer.answer(peer, message)
        except MessageError as error:
            reply = self._answerer.refuse(str(error))
        finally:
            answer_slots.release()
        await frames.send([array[0], *self._messages.pack(reply)])
