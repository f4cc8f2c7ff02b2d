"""The link from an entry VM to the process that owns the cell."""

from collections.abc import Callable

import trio

from pimentocross.gateway import const
from pimentocross.gateway.cluster import OwnerClaim
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    AskOwnerStatus,
    BriefOwnerStatus,
    GatewayMessage,
    Heartbeat,
    NotOwner,
    OwnerStatus,
)
from pimentocross.gateway.own_time import LoopClock
from pimentocross.links.greeting import Credentials, PeerIdentity
from pimentocross.links.peer import PeerLink, PeerUnreachableError

CREDENTIALS = Credentials(const.PEER_CLUSTER, [b""])


class OwnerLink:
    """Sends heartbeats to one owner and keeps its newest status.

    Attributes:
        claim: The owner's claim.
        owner_status: The owner's newest reply, or None.
        last_reply_at: When that reply arrived, or when the link was created,
            by the loop clock.
        replaced: Whether another process answers at the owner's address.
    """

    def __init__(
        self,
        claim: OwnerClaim,
        own_identity: PeerIdentity,
        clock: LoopClock,
        heartbeat_interval: Callable[[], float],
    ) -> None:
        """Initializes the link; `run` connects it.

        Args:
            claim: The owner's claim.
            own_identity: The identity of this process.
            clock: Measures silence without stalls of this event loop.
            heartbeat_interval: Returns the seconds from one heartbeat to the
                next.
        """
        self.claim = claim
        self.owner_status: OwnerStatus | None = None
        self.last_reply_at = clock.now()
        self._clock = clock
        self._heartbeat_interval = heartbeat_interval
        self.replaced = False
        self._link: PeerLink[GatewayMessage] = PeerLink(
            claim.address, own_identity, CREDENTIALS, GATEWAY_MESSAGES
        )

    @property
    def usable(self) -> bool:
        """True if the link is connected and the owner is ready for requests."""
        owner_status = self.owner_status
        return (
            self._link.connected
            and owner_status is not None
            and owner_status.ready
            and owner_status.epoch == self.claim.epoch
        )

    @property
    def has_ended(self) -> bool:
        """True if the process was replaced or says that it isn't the owner."""
        owner_status = self.owner_status
        return self.replaced or (
            owner_status is not None and owner_status.epoch != self.claim.epoch
        )

    def silence(self) -> float:
        """Returns the seconds since the last reply, by the loop clock."""
        return self._clock.now() - self.last_reply_at

    async def run(self) -> None:
        """Keeps the link connected until it is cancelled."""
        await self._link.run(self._send_heartbeats)

    async def ask(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Sends a request to the owner and returns the answer.

        Raises:
            PeerUnreachableError: There was no answer in time.
        """
        return await self._link.ask(message, timeout)

    async def _send_heartbeats(self, link: PeerLink[GatewayMessage]) -> None:
        identity = link.identity
        if identity is not None and identity.process != self.claim.process:
            self.replaced = True
            await trio.sleep(const.SILENCE_TIMEOUT)
            return
        question: GatewayMessage = AskOwnerStatus(self.claim.epoch)
        while True:
            try:
                answer = await link.ask(question, const.HEARTBEAT_TIMEOUT)
            except PeerUnreachableError as error:
                raise trio.TooSlowError from error
            is_current_form = isinstance(question, AskOwnerStatus)
            if is_current_form and isinstance(answer, NotOwner):
                # An earlier version only knows the earlier format.
                question = Heartbeat(self.claim.epoch)
                continue
            if isinstance(answer, BriefOwnerStatus):
                answer = OwnerStatus(*answer)
            if isinstance(answer, OwnerStatus):
                self.owner_status = answer
                self.last_reply_at = self._clock.now()
            await trio.sleep(self._heartbeat_interval())
