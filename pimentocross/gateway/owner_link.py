"""The link from an entry VM to the process that owns the cell."""

from collections.abc import Callable

import trio

from pimentocross.gateway import const
from pimentocross.gateway.cluster import OwnerClaim
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    AskStanding,
    BriefStanding,
    GatewayMessage,
    Heartbeat,
    NotOwner,
    Standing,
)
from pimentocross.gateway.own_time import OwnTime
from pimentocross.links.greeting import Credentials, PeerIdentity
from pimentocross.links.peer import PeerLink, PeerUnreachableError

CREDENTIALS = Credentials(const.PEER_CLUSTER, [b""])


class OwnerLink:
    """Heartbeats to one owner.

    Attributes:
        claim: The claim that made it the owner.
        standing: Its newest answer, or None.
        heard_at: When that came, or when the link was made, in own time.
    """

    def __init__(
        self,
        claim: OwnerClaim,
        mine: PeerIdentity,
        time: OwnTime,
        interval: Callable[[], float],
    ) -> None:
        """Takes what the link is made by.

        Args:
            claim: The owner's.
            mine: This process.
            time: Its own time.
            interval: Returns the seconds from one heartbeat to the next.
        """
        self.claim = claim
        self.standing: Standing | None = None
        self.heard_at = time.now()
        self._time = time
        self._interval = interval
        self.replaced = False
        self._link: PeerLink[GatewayMessage] = PeerLink(
            claim.address, mine, CREDENTIALS, GATEWAY_MESSAGES
        )

    @property
    def usable(self) -> bool:
        """True if questions can be sent and would be answered."""
        standing = self.standing
        return (
            self._link.connected
            and standing is not None
            and standing.ready
            and standing.epoch == self.claim.epoch
        )

    @property
    def has_ended(self) -> bool:
        """True if the process is gone, or says that it owns no more."""
        standing = self.standing
        return self.replaced or (
            standing is not None and standing.epoch != self.claim.epoch
        )

    def silence(self) -> float:
        """Seconds of own time since it was heard."""
        return self._time.now() - self.heard_at

    async def run(self) -> None:
        """Keeps the link up for ever."""
        await self._link.run(self._keep)

    async def ask(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Asks the owner.

        Raises:
            PeerUnreachableError: No answer in time.
        """
        return await self._link.ask(message, timeout)

    async def _keep(self, link: PeerLink[GatewayMessage]) -> None:
        identity = link.identity
        if identity is not None and identity.process != self.claim.process:
            self.replaced = True
            await trio.sleep(const.SILENCE)
            return
        question: GatewayMessage = AskStanding(self.claim.epoch)
        while True:
            try:
                answer = await link.ask(question, const.HEARTBEAT_TIMEOUT)
            except PeerUnreachableError as error:
                raise trio.TooSlowError from error
            newer = isinstance(question, AskStanding)
            if newer and isinstance(answer, NotOwner):
                # A process of a former version knows the older form alone.
                question = Heartbeat(self.claim.epoch)
                continue
            if isinstance(answer, BriefStanding):
                answer = Standing(*answer)
            if isinstance(answer, Standing):
                self.standing = answer
                self.heard_at = self._time.now()
            await trio.sleep(self._interval())
