"""Finds out which former owners can no longer renew leases.

A former owner that can't reach the store may still renew leases for some time.
A new owner must wait that long before it starts tasks again whose workers it
can't reach. A former owner that has ended renews no leases.
"""

import trio

from pimentocross.gateway import const
from pimentocross.gateway.cluster import Cluster, FormerOwner, OwnerClaim
from pimentocross.gateway.own_time import LoopClock
from pimentocross.gateway.owner_link import OwnerLink
from pimentocross.links.greeting import PeerIdentity
from pimentocross.owner.owner import Owner


class FormerOwners:
    """The former owners that claims list, and which of them have ended."""

    def __init__(
        self,
        own_identity: PeerIdentity,
        cluster: Cluster,
        clock: LoopClock,
        watch_timeout: float,
    ) -> None:
        """Initializes the former owners from the members and claims.

        Args:
            own_identity: The identity of this process.
            cluster: The members and claims.
            clock: Measures silence without stalls of this event loop.
            watch_timeout: Seconds after which the leases of a former owner
                have ended, so that it needn't be watched any longer.
        """
        self._own_identity = own_identity
        self._cluster = cluster
        self._clock = clock
        self._watch_timeout = watch_timeout

    def up_to(self, claim: OwnerClaim | None) -> list[FormerOwner]:
        """Returns the owners up to and including a claim, newest first."""
        owners = claim.owners if claim is not None else ()
        return [o._replace(ended=self.has_ended(o)) for o in owners]

    def has_ended(self, former: FormerOwner) -> bool:
        """Returns whether a former owner surely renews no lease any more."""
        member = self._cluster.members.get(former.vm)
        replaced = member is not None and member.process != former.process
        is_own_process = former.process == self._own_identity.process
        return former.ended or replaced or is_own_process

    async def watch(self, former: FormerOwner, owner: Owner) -> None:
        """Polls a former owner until it has ended, and then notifies a new one.

        Polling begins once the former owner is fenced at the store. From then
        on it either still is the owner or never will be again, so a reply that
        it isn't the owner proves that its last renewal is over.

        Args:
            former: The former owner.
            owner: The new owner, in this process.
        """
        if former.ended:
            return
        await owner.opened.wait()
        claim = OwnerClaim(*former[:4], quiet=False)
        link = OwnerLink(
            claim,
            self._own_identity,
            self._clock,
            lambda: const.HEARTBEAT_INTERVAL,
        )
        with trio.move_on_after(self._watch_timeout):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run)
                while not (link.has_ended or self.has_ended(former)):
                    await trio.sleep(const.ELECTION_TICK)
                owner.note_former_ended(former.epoch)
                nursery.cancel_scope.cancel()
