"""What stands between two VMs in the tests: gates that can be shut."""

from collections.abc import Sequence

import trio

from pimentocross.backing.log import LogUnavailableError, ReadPage, RecordBody
from pimentocross.backing.workers import (
    Exchange,
    ExchangeReply,
    WorkerLink,
    WorkerUnreachableError,
)
from pimentocross.standins.direct import DirectDialer
from pimentocross.standins.log import LogStandin


class Gate:
    """Lets one process's messages pass, or holds them while it is paused.

    Attributes:
        cut: Addresses, and "log", that it can't reach.
    """

    def __init__(self) -> None:
        """Starts open."""
        self.cut: set[str] = set()
        self._open = trio.Event()
        self._open.set()

    def pause(self) -> None:
        """Holds every message from and to the process."""
        self._open = trio.Event()

    def resume(self) -> None:
        """Lets all of them pass."""
        self._open.set()

    async def wait(self) -> None:
        """Waits until messages pass."""
        await self._open.wait()


class GatedLog:
    """The log service as one process reaches it."""

    def __init__(self, log: LogStandin, gate: Gate) -> None:
        """Puts a gate before the log."""
        self._log = log
        self._gate = gate

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        """Appends through the gate."""
        await self._pass()
        first = await self._log.append(stream, bodies)
        await self._pass(sent=True)
        return first

    async def read(self, stream: str, start: int, wait: float) -> ReadPage:
        """Reads through the gate."""
        await self._pass()
        page = await self._log.read(stream, start, wait)
        await self._pass()
        return page

    async def _pass(self, *, sent: bool = False) -> None:
        await self._gate.wait()
        if "log" in self._gate.cut:
            raise LogUnavailableError("cut off", sent=sent)


class GatedDialer:
    """Workers as one process reaches them."""

    def __init__(self, dialer: DirectDialer, gate: Gate) -> None:
        """Puts a gate before the workers."""
        self._dialer = dialer
        self._gate = gate

    def link(self, address: str) -> WorkerLink:
        """Returns a gated link."""
        return _GatedLink(self._dialer.link(address), address, self._gate)


class _GatedLink:
    def __init__(self, link: WorkerLink, address: str, gate: Gate) -> None:
        self._link = link
        self._address = address
        self._gate = gate

    async def exchange(self, request: Exchange) -> ExchangeReply:
        """Exchanges through the gate, in a little time."""
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
    """A stream between two entry VMs; while cut it is silent, not closed."""

    def __init__(self, stream: trio.abc.Stream, gate: Gate, other: str) -> None:
        """Puts this side's gate before a stream to another entry VM."""
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
        """Returns at once: the memory has room."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receives what the other side sent."""
        data = await self._stream.receive_some(max_bytes)
        await self._gate.wait()
        return bytes(data)

    async def aclose(self) -> None:
        """Closes, unseen by the other side while cut."""
        if self._other not in self._gate.cut:
            await self._stream.aclose()
