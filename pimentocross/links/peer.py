"""Links between entry VMs: one task for each peer dialed and each answered."""

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

_GONE = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    FrameError,
    GreetingError,
    MessageError,
)


class PeerUnreachableError(Exception):
    """A peer did not answer.

    Attributes:
        sent: True if the question may have reached it.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the question may have arrived."""
        super().__init__(reason)
        self.sent = sent


class PeerAnswerer(Protocol[MessageT]):
    """Answers what peers ask."""

    async def answer(self, peer: PeerIdentity, message: MessageT) -> MessageT:
        """Returns the answer to one question."""
        ...

    def refuse(self, reason: str) -> MessageT:
        """Returns the answer to a question that can't be read."""
        ...


StreamDialer = Callable[[str], Awaitable[trio.abc.Stream]]


async def dial_tcp(address: str) -> trio.abc.Stream:
    """Connects to host:port.

    Raises:
        OSError: No connection.
    """
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


class _Question(Generic[MessageT]):
    """A question that waits for its answer."""

    def __init__(self) -> None:
        self.answer: MessageT | None = None
        self.done = trio.Event()


class PeerLink(Generic[MessageT]):
    """The link to one peer's listener, dialed again whenever it breaks.

    Attributes:
        identity: Who answered last, or None before the first greeting.
        heard_at: When the peer was last heard.
        silences: Connections closed since they went silent.
    """

    def __init__(
        self,
        address: str,
        mine: PeerIdentity,
        credentials: Credentials,
        messages: MessageTags[MessageT],
        dial: StreamDialer = dial_tcp,
    ) -> None:
        """Takes where to dial; `run` keeps the link up."""
        self._messages = messages
        self.identity: PeerIdentity | None = None
        self.heard_at = float("-inf")
        self.silences = 0
        self.bytes_before = 0
        self._address = address
        self._mine = mine
        self._credentials = credentials
        self._dial = dial
        self._frames: FrameStream | None = None
        self._questions: dict[int, _Question[MessageT]] = {}
        self._next_id = 0

    @property
    def address(self) -> str:
        """Where it dials."""
        return self._address

    @property
    def connected(self) -> bool:
        """True while a greeted connection stands."""
        return self._frames is not None

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        frames = self._frames
        now = frames.sent + frames.received if frames is not None else 0
        return self.bytes_before + now

    async def run(
        self, on_connected: Callable[["PeerLink[MessageT]"], Awaitable[None]]
    ) -> None:
        """Dials, greets and reads answers, for ever.

        Args:
            on_connected: Runs for as long as a connection stands; when it
                returns, the connection is closed and dialed afresh.
        """
        backoff = const.REDIAL_FIRST
        while True:
            try:
                async with self._connection():
                    backoff = const.REDIAL_FIRST
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._read_answers, nursery)
                        await on_connected(self)
                        nursery.cancel_scope.cancel()
            except* _GONE:
                pass
            except* trio.TooSlowError:
                self.silences += 1
            await trio.sleep(backoff)
            backoff = min(backoff * 2, const.REDIAL_MOST)

    async def ask(self, message: MessageT, timeout: float) -> MessageT:
        """Asks the peer.

        Raises:
            PeerUnreachableError: No answer in time.
        """
        frames = self._frames
        if frames is None:
            raise PeerUnreachableError("not connected", sent=False)
        self._next_id += 1
        question_id = self._next_id
        question = self._questions[question_id] = _Question[MessageT]()
        try:
            with trio.move_on_after(timeout):
                array = [question_id, *self._messages.pack(message)]
                await frames.send(array)
                await question.done.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnreachableError("connection lost", sent=True) from error
        finally:
            self._questions.pop(question_id, None)
        if question.answer is None:
            raise PeerUnreachableError("no answer", sent=True)
        return question.answer

    @asynccontextmanager
    async def _connection(self) -> AsyncIterator[None]:
        with trio.fail_after(const.DIAL_TIMEOUT):
            stream = await self._dial(self._address)
        frames = FrameStream(stream)
        try:
            with trio.fail_after(const.GREETING_TIMEOUT):
                self.identity = await greet(
                    frames, self._mine, self._credentials
                )
            self.heard_at = trio.current_time()
            self._frames = frames
            yield
        finally:
            self._frames = None
            self.bytes_before += frames.sent + frames.received
            self._fail_questions()
            await frames.aclose()

    async def _read_answers(self, nursery: trio.Nursery) -> None:
        frames = self._frames
        assert frames is not None
        while True:
            array = await frames.receive(const.FRAME_MOST)
            if array is None:
                break
            self.heard_at = trio.current_time()
            question = self._questions.get(array[0]) if array else None
            if question is not None:
                question.answer = self._messages.unpack(array[1:])
                question.done.set()
        nursery.cancel_scope.cancel()

    def _fail_questions(self) -> None:
        for question in self._questions.values():
            question.done.set()


class PeerListener(Generic[MessageT]):
    """Answers peers that dial in.

    Attributes:
        refused: Connections that did not greet as one of ours.
    """

    def __init__(
        self,
        mine: PeerIdentity,
        credentials: Credentials,
        answerer: PeerAnswerer[MessageT],
        messages: MessageTags[MessageT],
        connections_most: int = const.PEER_CONNECTIONS_MOST,
    ) -> None:
        """Takes who this is and what answers.

        Args:
            mine: This process.
            credentials: What peers have to prove.
            answerer: Answers them.
            messages: How messages are packed.
            connections_most: Connections that are answered at once.
        """
        self._messages = messages
        self._connections_most = connections_most
        self.refused = 0
        self._closed_bytes = 0
        self._open: set[FrameStream] = set()
        self._mine = mine
        self._credentials = credentials
        self._answerer = answerer
        self._connections = 0

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        now = sum(f.sent + f.received for f in self._open)
        return self._closed_bytes + now

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Greets and answers one peer until it closes or goes silent."""
        frames = FrameStream(stream)
        self._connections += 1
        self._open.add(frames)
        try:
            if self._connections > self._connections_most:
                note("peer_refused", connections=self._connections)
                return
            with trio.fail_after(const.GREETING_TIMEOUT):
                peer = await answer_greeting(
                    frames, self._mine, self._credentials
                )
            await self._answer_all(frames, peer)
        except* (GreetingError, FrameError, trio.TooSlowError, MessageError):
            self.refused += 1
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connections -= 1
            self._open.discard(frames)
            self._closed_bytes += frames.sent + frames.received
            await frames.aclose()

    async def _answer_all(
        self, frames: FrameStream, peer: PeerIdentity
    ) -> None:
        at_once = trio.Semaphore(const.ANSWERS_AT_ONCE)
        async with trio.open_nursery() as nursery:
            while True:
                with trio.fail_after(const.PEER_IDLE_TIMEOUT):
                    array = await frames.receive(const.FRAME_MOST)
                if array is None:
                    break
                if not array or not isinstance(array[0], int):
                    raise MessageError("a question has no number")
                await at_once.acquire()
                nursery.start_soon(
                    self._answer_one, frames, peer, array, at_once
                )
            nursery.cancel_scope.cancel()

    async def _answer_one(
        self,
        frames: FrameStream,
        peer: PeerIdentity,
        array: list[Any],
        at_once: trio.Semaphore,
    ) -> None:
        reply: MessageT
        try:
            message = self._messages.unpack(array[1:])
            reply = await self._answerer.answer(peer, message)
        except MessageError as error:
            reply = self._answerer.refuse(str(error))
        finally:
            at_once.release()
        await frames.send([array[0], *self._messages.pack(reply)])
