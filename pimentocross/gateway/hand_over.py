"""Hands what a VM can't store to another VM that the store serves.

Load pattern: the store turns a third of the VMs away for seconds, or a link to
it is cut, and no owner can be asked meanwhile. Callers of those VMs are served
through the others, of which most are well.
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

# Another VM answers within this, seconds: one append, and the way there.
_ASK_TIMEOUT: Final = 0.6
# ... and is connected within this.
_CONNECT_TIMEOUT: Final = 0.4
# VMs that are tried for one caller: where a third is in trouble, three in
# trouble on end are rare.
_TRIES: Final = 3
# If none was a help, the store is most likely away from all: callers are told
# so at once for this long, seconds.
_HOPELESS_FOR: Final = 1.0
# A connection that nobody needed for so long is closed, seconds.
_KEPT: Final = 3.0
_LOOK: Final = 0.1


class Neighbour(NamedTuple):
    """Another VM, and its peer listener as host:port."""

    vm: str
    address: str


class Neighbours:
    """Asks one other VM, and another one where that is no help."""

    def __init__(
        self,
        mine: PeerIdentity,
        others: Callable[[], Sequence[Neighbour]],
        dial: StreamDialer,
    ) -> None:
        """Takes who this is, what returns the other VMs, and how to dial."""
        self._mine = mine
        self._others = others
        self._dial = dial
        self._link: PeerLink[GatewayMessage] | None = None
        self._wanted = trio.Event()
        self._wanted_at = float("-inf")
        self._no_help = trio.Event()
        self._hopeless_until = float("-inf")

    async def run(self) -> None:
        """Keeps a connection as long as one is needed, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wanted.wait()
                others = self._others()
                if not others:
                    await trio.sleep(_LOOK)
                    continue
                neighbour = random.choice(others)
                note("asks_neighbour", neighbour=neighbour.vm)
                ended = self._no_help = trio.Event()
                link = self._link = self._link_to(neighbour)
                nursery.start_soon(_keep, link, ended)
                await self._until_unneeded(ended)
                self._give_up(link)

    async def ask(self, message: GatewayMessage) -> GatewayMessage:
        """Returns another VM's answer.

        Raises:
            PeerUnreachableError: None was a help; `sent` tells whether one may
                have done it all the same.
        """
        sent = False
        if trio.current_time() < self._hopeless_until:
            raise PeerUnreachableError("no other VM was a help", sent=sent)
        for _ in range(_TRIES):
            link = await self._connected()
            if link is None:
                continue
            try:
                answer = await link.ask(message, _ASK_TIMEOUT)
            except PeerUnreachableError as error:
                sent = sent or error.sent
            else:
                if _settles(answer, sent):
                    return answer
            self._give_up(link)
        self._hopeless_until = trio.current_time() + _HOPELESS_FOR
        raise PeerUnreachableError("no other VM is a help", sent=sent)

    def _link_to(self, neighbour: Neighbour) -> PeerLink[GatewayMessage]:
        return PeerLink(
            neighbour.address,
            self._mine,
            CREDENTIALS,
            GATEWAY_MESSAGES,
            self._dial,
        )

    async def _until_unneeded(self, no_help: trio.Event) -> None:
        """Waits until the VM was no help, or nobody asks any more."""
        while trio.current_time() - self._wanted_at < _KEPT:
            with trio.move_on_after(_KEPT):
                await no_help.wait()
                return
        self._wanted = trio.Event()

    async def _connected(self) -> PeerLink[GatewayMessage] | None:
        """Returns a link that stands, or None if none does in time."""
        self._wanted_at = trio.current_time()
        self._wanted.set()
        with trio.move_on_after(_CONNECT_TIMEOUT):
            while self._link is None or not self._link.connected:
                await trio.sleep(_LOOK / 10)
            return self._link
        if self._link is not None:
            self._give_up(self._link)
        return None

    def _give_up(self, link: PeerLink[GatewayMessage]) -> None:
        """Has another VM asked, unless that is so already."""
        if link is self._link:
            self._link = None
            self._no_help.set()


def _settles(answer: GatewayMessage, sent: bool) -> bool:
    """True if an answer tells what became of a question.

    Args:
        answer: One VM's.
        sent: Whether another VM may have done what was asked: no refusal of
            this one is true then.
    """
    if isinstance(answer, JobAnswer):
        return answer.outcome is Outcome.OK or not sent
    return isinstance(answer, FullAnswer) and not sent


async def _keep(link: PeerLink[GatewayMessage], ended: trio.Event) -> None:
    """Keeps a connection up until others' questions on it are answered, too."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run, _stay)
        await ended.wait()
        await trio.sleep(_ASK_TIMEOUT)
        nursery.cancel_scope.cancel()


async def _stay(_: PeerLink[GatewayMessage]) -> None:
    await trio.sleep_forever()
