"""Finds out which owners of before have surely ended.

One that can't reach the store may renew leases for some time yet, and what a
new owner can't reach has to wait for that. One that has ended renews none.
"""

import trio

from pimentocross.gateway import const
from pimentocross.gateway.cluster import Cluster, FormerOwner, OwnerClaim
from pimentocross.gateway.own_time import OwnTime
from pimentocross.gateway.owner_link import OwnerLink
from pimentocross.links.greeting import PeerIdentity
from pimentocross.owner.owner import Owner


class FormerOwners:
    """The owners before a claim, as this process knows them."""

    def __init__(
        self,
        mine: PeerIdentity,
        cluster: Cluster,
        time: OwnTime,
        longest: float,
    ) -> None:
        """Takes who this is and what it goes by.

        Args:
            mine: This process.
            cluster: Members and claims.
            time: This process's own time.
            longest: Seconds after which a former owner matters no more.
        """
        self._mine = mine
        self._cluster = cluster
        self._time = time
        self._longest = longest

    def up_to(self, claim: OwnerClaim | None) -> list[FormerOwner]:
        """Returns the owners up to a claim, the newest first."""
        owners = claim.owners if claim is not None else ()
        return [o._replace(ended=self.has_ended(o)) for o in owners]

    def has_ended(self, former: FormerOwner) -> bool:
        """True if a former owner is known to renew no lease any more."""
        member = self._cluster.members.get(former.vm)
        replaced = member is not None and member.process != former.process
        is_mine = former.process == self._mine.process
        return former.ended or replaced or is_mine

    async def watch(self, former: FormerOwner, owner: Owner) -> None:
        """Asks a former owner until it has surely ended, and tells a new one.

        It is asked once it can write no more: it owns then, or never will
        again, and what it answers otherwise proves that its last renewal is
        past.
        """
        if former.ended:
            return
        await owner.opened.wait()
        claim = OwnerClaim(*former[:4], quiet=False)
        link = OwnerLink(
            claim, self._mine, self._time, lambda: const.HEARTBEAT_INTERVAL
        )
        with trio.move_on_after(self._longest):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.run)
                while not (link.has_ended or self.has_ended(former)):
                    await trio.sleep(const.ELECTION_TICK)
                owner.note_former_ended(former.epoch)
                nursery.cancel_scope.cancel()
