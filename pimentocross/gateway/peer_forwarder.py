"""Forwards requests that this VM can't store to a VM that can.

Load pattern: the store refuses a third of the VMs for seconds, or the link from
a VM to the store is cut, while no owner can be reached. Callers of those VMs
are served through other VMs, most of which still reach the store.
"""

from collections.abc import Callable, Sequence
import random
from typing import Final, NamedTuple

import trio

from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    FullAnswer,
    GatewayMessage,
    JobAnswer,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.peer import PeerLink, PeerUnreachableError, StreamDialer
from pimentocross.observe.decisions import note
from pimentocross.owner.job_api import Outcome

# Timeout in seconds for the answer of another VM: one append to the store and a
# round trip.
_REQUEST_TIMEOUT: Final = 0.6
# Timeout in seconds for the connection to another VM.
_CONNECT_TIMEOUT: Final = 0.4
# VMs that are tried for one request. If a third of the VMs fail, three failures
# in a row are rare.
_MAX_ATTEMPTS: Final = 3
# If all attempts failed, the store most likely serves no VM. Further requests
# then fail at once for so many seconds.
_FAILURE_COOLDOWN: Final = 1.0
# Seconds without a request after which the connection is closed.
_IDLE_TIMEOUT: Final = 3.0
_POLL_INTERVAL: Final = 0.1


class PeerAddress(NamedTuple):
    """The name of another VM and its peer listener as host:port."""

    vm: str
    address: str


class PeerForwarder:
    """Forwards requests to one other VM, and to the next one if that fails."""

    def __init__(
        self,
        own_identity: PeerIdentity,
        others: Callable[[], Sequence[PeerAddress]],
        dial: StreamDialer,
    ) -> None:
        """Initializes the forwarder; `run` keeps its connection.

        Args:
            own_identity: The identity of this process.
            others: Returns the other VMs.
            dial: Opens a stream to an address.
        """
        self._own_identity = own_identity
        self._others = others
        self._dial = dial
        self._link: PeerLink[GatewayMessage] | None = None
        self._requested = trio.Event()
        self._last_requested_at = float("-inf")
        self._link_dropped = trio.Event()
        self._cooldown_until = float("-inf")

    async def run(self) -> None:
        """Keeps a connection while requests come in, until it is cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._requested.wait()
                others = self._others()
                if not others:
                    await trio.sleep(_POLL_INTERVAL)
                    continue
                peer = random.choice(others)
                note("asks_neighbour", neighbour=peer.vm)
                ended = self._link_dropped = trio.Event()
                link = self._link = self._make_link(peer)
                nursery.start_soon(_run_link, link, ended)
                await self._wait_until_dropped_or_idle(ended)
                self._drop_link(link)

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Forwards a request and returns the answer of another VM.

        Raises:
            PeerUnreachableError: No VM could serve the request. `sent` tells
                whether one of them may have carried it out nevertheless.
        """
        sent = False
        if trio.current_time() < self._cooldown_until:
            raise PeerUnreachableError("no other VM was a help", sent=sent)
        for _ in range(_MAX_ATTEMPTS):
            link = await self._connect()
            if link is None:
                continue
            try:
                answer = await link.ask(message, _REQUEST_TIMEOUT)
            except PeerUnreachableError as error:
                sent = sent or error.sent
            else:
                if _is_conclusive(answer, sent):
                    return answer
            self._drop_link(link)
        self._cooldown_until = trio.current_time() + _FAILURE_COOLDOWN
        raise PeerUnreachableError("no other VM is a help", sent=sent)

    def _make_link(self, peer: PeerAddress) -> PeerLink[GatewayMessage]:
        return PeerLink(
            peer.address,
            self._own_identity,
            CREDENTIALS,
            GATEWAY_MESSAGES,
            self._dial,
        )

    async def _wait_until_dropped_or_idle(self, dropped: trio.Event) -> None:
        """Waits until the link is dropped or no requests come any more."""
        while trio.current_time() - self._last_requested_at < _IDLE_TIMEOUT:
            with trio.move_on_after(_IDLE_TIMEOUT):
                await dropped.wait()
                return
        self._requested = trio.Event()

    async def _connect(self) -> PeerLink[GatewayMessage] | None:
        """Returns a connected link, or None if there is none in time."""
        self._last_requested_at = trio.current_time()
        self._requested.set()
        with trio.move_on_after(_CONNECT_TIMEOUT):
            while self._link is None or not self._link.connected:
                await trio.sleep(_POLL_INTERVAL / 10)
            return self._link
        if self._link is not None:
            self._drop_link(self._link)
        return None

    def _drop_link(self, link: PeerLink[GatewayMessage]) -> None:
        """Makes `run` connect to another VM, unless it has done so already."""
        if link is self._link:
            self._link = None
            self._link_dropped.set()


def _is_conclusive(answer: GatewayMessage, sent: bool) -> bool:
    """Returns whether an answer settles the outcome of a request.

    Args:
        answer: The answer of one VM.
        sent: Whether another VM may have carried out the request. A refusal by
            this VM doesn't settle it then.
    """
    if isinstance(answer, JobAnswer):
        return answer.outcome is Outcome.OK or not sent
    return isinstance(answer, FullAnswer) and not sent


async def _run_link(link: PeerLink[GatewayMessage], ended: trio.Event) -> None:
    """Keeps a connection until it is dropped and pending requests are over."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run, _hold_open)
        await ended.wait()
        await trio.sleep(_REQUEST_TIMEOUT)
        nursery.cancel_scope.cancel()


async def _hold_open(_: PeerLink[GatewayMessage]) -> None:
    await trio.sleep_forever()
