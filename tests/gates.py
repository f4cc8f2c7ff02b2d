"""Network fault injection for tests: pauses or cuts off a process."""

from collections.abc import Sequence

import trio

from pimentocross.backing.log import LogUnavailableError, ReadPage, RecordBody
from pimentocross.backing.workers import (
    Exchange,
    ExchangeReply,
    WorkerLink,
    WorkerUnreachableError,
)
from pimentocross.contracts.progress import AnswerProgress
from pimentocross.standins.direct import DirectDialer
from pimentocross.standins.log import LogStandin


class Gate:
    """Controls the messages of one process: pauses all or cuts off some peers.

    Attributes:
        cut: Addresses that the process can't reach; "log" is the log service.
    """

    def __init__(self) -> None:
        """Initializes an open gate without cut addresses."""
        self.cut: set[str] = set()
        self._open = trio.Event()
        self._open.set()

    def pause(self) -> None:
        """Holds back all messages from and to the process."""
        self._open = trio.Event()

    def resume(self) -> None:
        """Lets messages pass again, also those held back."""
        self._open.set()

    async def wait(self) -> None:
        """Waits while the process is paused."""
        await self._open.wait()


class GatedLog:
    """The log service, reached by one process through its gate."""

    def __init__(self, log: LogStandin, gate: Gate) -> None:
        """Wraps the log service for the process with this gate."""
        self._log = log
        self._gate = gate

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        """Appends through the gate."""
        await self._pass()
        first = await self._log.append(stream, bodies)
        await self._pass(sent=True)
        return first

    async def read(
        self,
        stream: str,
        start: int,
        wait: float,
        progress: AnswerProgress | None = None,
    ) -> ReadPage:
        """Reads through the gate."""
        await self._pass()
        page = await self._log.read(stream, start, wait, progress)
        await self._pass()
        return page

    async def _pass(self, *, sent: bool = False) -> None:
        await self._gate.wait()
        if "log" in self._gate.cut:
            raise LogUnavailableError("cut off", sent=sent)


class GatedDialer:
    """Workers, reached by one process through its gate."""

    def __init__(self, dialer: DirectDialer, gate: Gate) -> None:
        """Wraps the workers' dialer for the process with this gate."""
        self._dialer = dialer
        self._gate = gate

    def link(self, address: str) -> WorkerLink:
        """Returns a link to a worker that passes the gate."""
        return _GatedLink(self._dialer.link(address), address, self._gate)


class _GatedLink:
    def __init__(self, link: WorkerLink, address: str, gate: Gate) -> None:
        self._link = link
        self._address = address
        self._gate = gate

    async def exchange(self, request: Exchange) -> ExchangeReply:
        """Exchanges through the gate, with a delay of 1 ms each way."""
        await self._pass()
        reply = await self._link.exchange(request)
        await self._pass()
        return reply

    async def _pass(self) -> None:
        await trio.sleep(0.001)
        await self._gate.wait()
        if self._address in self._gate.cut:
            raise WorkerUnreachableError("cut off")


class GatedStream(trio.abc.Stream):
    """A stream between entry VMs; while cut, data is lost but it stays open."""

    def __init__(self, stream: trio.abc.Stream, gate: Gate, other: str) -> None:
        """Wraps a stream to the entry VM at `other` for this side's gate."""
        self._stream = stream
        self._gate = gate
        self._other = other

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends, or drops the data while cut."""
        await trio.sleep(0.0005)
        await self._gate.wait()
        if self._other not in self._gate.cut:
            await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Returns at once: memory streams never block on sending."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receives data, and holds it back while the process is paused."""
        data = await self._stream.receive_some(max_bytes)
        await self._gate.wait()
        return bytes(data)

    async def aclose(self) -> None:
        """Closes the stream; while cut, the other side doesn't notice."""
        if self._other not in self._gate.cut:
            await self._stream.aclose()
