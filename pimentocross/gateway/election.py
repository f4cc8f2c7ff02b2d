"""Decides when this process claims the cell, and runs the owner if it has it.

The store decides who owns: a claim is appended only if nothing else was since
this process last read, and its offset is the epoch that fences former owners
at the store and at the workers. Suspicion may therefore be wrong: it costs a
needless take-over, never two owners.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

import trio

from pimentocross.contracts.asking import (
    AGAIN_AFTER,
    Question,
    first_answer,
)
from pimentocross.contracts.store import (
    ConditionFailedError,
    FencedError,
    Store,
    StoreUnavailableError,
)
from pimentocross.contracts.worker_link import WorkerFencedError
from pimentocross.gateway import const
from pimentocross.gateway.cluster import (
    Cluster,
    OwnerClaim,
    claim_record,
    release_record,
)
from pimentocross.gateway.former_owners import FormerOwners
from pimentocross.gateway.heard_peers import HeardPeers
from pimentocross.gateway.messages import Standing
from pimentocross.gateway.own_time import OwnAge, OwnTime
from pimentocross.gateway.owner_link import OwnerLink
from pimentocross.gateway.patience import OwnerPatience
from pimentocross.gateway.turns import (
    Turn,
    find_stronger,
    find_turn,
    heartbeat_interval,
)
from pimentocross.links.greeting import PeerIdentity
from pimentocross.observe.decisions import note
from pimentocross.owner.former_leases import Predecessor
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.work.queue import WorkConfig

# An offset that no topic reaches: a read from there tells the end alone.
_BEYOND_ALL: Final = 1 << 40


class Election:
    """Watches the owner, claims, and owns.

    Attributes:
        link: To the owner, unless it is this process or unknown.
        owner: The owner that runs here, or None.
    """

    def __init__(
        self,
        mine: PeerIdentity,
        cluster: Cluster,
        platform: CellPlatform,
        config: Callable[[], WorkConfig | None],
        heard: HeardPeers,
    ) -> None:
        """Takes who this is and what it decides by.

        Args:
            mine: This process.
            cluster: Members and claims.
            platform: What an owner needs.
            config: The configuration in force.
            heard: Peers that were heard.
        """
        self.link: OwnerLink | None = None
        self.owner: Owner | None = None
        self._mine = mine
        self._cluster = cluster
        self._platform = platform
        self._config = config
        self._heard = heard
        self._time = OwnTime()
        self._formers = FormerOwners(
            mine, cluster, self._time, platform.terms.loud_for
        )
        self._patience = OwnerPatience(self._time)
        # Time since the owner here has written, if there is one.
        self._written = OwnAge(self._time, lambda: 0.0)
        self._served_epoch = 0
        self._leaving = False
        self._not_before = 0.0
        # Until when a cell that is owned here isn't handed to a stronger VM.
        self._keeps_until = 0.0
        # The interval of heartbeats, and for which epoch and members it is.
        self._pace = const.HEARTBEAT_INTERVAL
        self._paced_for = (-1, 0)
        # Whether stronger VMs may replace the owner.
        self._leaves_to_stronger = False
        self._unowned_since = trio.current_time()
        self._former_quiet = False
        self._owned_since = trio.current_time()

    @property
    def store(self) -> Store:
        """The store."""
        return self._platform.store

    def owner_absent(self) -> float:
        """Returns for how many seconds no owner could be asked."""
        owner, link = self.owner, self.link
        here = owner is not None and owner.ready.is_set()
        if here or (link is not None and link.usable):
            self._unowned_since = trio.current_time()
        return trio.current_time() - self._unowned_since

    def owner_silence(self) -> float:
        """Returns the seconds since the owner was heard, 0 if it is here."""
        if self.owner is not None or self.link is None:
            return 0.0
        return self.link.silence()

    def standing(self) -> Standing:
        """Returns how this process stands."""
        owner = self.owner
        if owner is None:
            return Standing(0, False, 0.0)
        # What was acknowledged while this process was late isn't read yet:
        # such an owner is no worse at writing.
        age = min(owner.ledger.age(), self._written.seconds())
        ready = owner.ready.is_set()
        return Standing(
            owner.epoch, ready, age if ready else 0.0, owner.takeover_age
        )

    def leave(self) -> None:
        """Gives the cell back if it is owned here; claims no more."""
        self._leaving = True
        if self.owner is not None:
            self.owner.release()

    async def run(self) -> None:
        """Follows the claims for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._time.run)
            nursery.start_soon(self._follow_claims)

    async def _follow_claims(self) -> None:
        while True:
            claim = self._cluster.claim
            self._patience.note_claim(claim)
            if claim is not None and claim.process == self._mine.process:
                await self._own_or_wait(claim)
            elif claim is None or claim.released:
                await self._consider(claim, "no owner")
            else:
                await self._watch(claim)

    async def _own_or_wait(self, claim: OwnerClaim) -> None:
        if claim.epoch > self._served_epoch and not self._leaving:
            self._served_epoch = claim.epoch
            await self._own(claim)
        else:
            await self._give_back(claim)
            await self._pause()

    async def _own(self, claim: OwnerClaim) -> None:
        formers = self._formers.up_to(claim)[1:]
        note(
            "owner_begins",
            epoch=claim.epoch,
            quiet=self._former_quiet,
            formers=[(f.epoch, f.ended) for f in formers],
        )
        self._owned_since = trio.current_time()
        owner = Owner(
            Claim(
                const.JOBS_TOPIC,
                claim.epoch,
                self._former_quiet,
                tuple(Predecessor(f.epoch, f.ended) for f in formers),
            ),
            self._platform,
            self._config_or_wait,
        )
        self.owner = owner
        self._written = OwnAge(self._time, lambda: owner.ledger.stored_at)
        reason = "released"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_standing, owner, claim)
                for former in formers:
                    nursery.start_soon(self._formers.watch, former, owner)
                await owner.run()
                nursery.cancel_scope.cancel()
        except* (FencedError, WorkerFencedError):
            reason = "another owner has taken over"
        except* StoreUnavailableError as errors:
            reason = f"its state can't be read: {_innermost(errors)}"
        finally:
            self.owner = None
        note("owner_ends", epoch=claim.epoch, reason=reason)
        if reason != "another owner has taken over":
            await self._give_back(claim)
        else:
            await self._pause()

    def _config_or_wait(self) -> WorkConfig:
        config = self._config()
        assert config is not None
        return config

    async def _watch_standing(self, owner: Owner, claim: OwnerClaim) -> None:
        """Gives the cell up once it is claimed by another, or nobody hears."""
        heard = OwnAge(self._time, lambda: self._heard.newest_at)
        while True:
            await trio.sleep(const.ELECTION_TICK)
            self.standing()
            newest = self._cluster.claim
            if newest is not None and newest.epoch > claim.epoch:
                note("owner_superseded", epoch=claim.epoch, by=newest.epoch)
                raise FencedError
            # Peers are heard as late as this process comes to listen: counted
            # in its own time, a stall makes no owner give the cell back.
            alone = heard.seconds()
            if alone > const.ALONE_AFTER and len(self._cluster.members) > 1:
                if trio.current_time() < self._not_before:
                    continue
                note("owner_alone", seconds=round(alone, 1))
                self._not_before = trio.current_time() + const.ALONE_PAUSE
                owner.release()
                return
            stronger = self._find_stronger(owner)
            if stronger:
                note("owner_hands_over", epoch=claim.epoch, to=stronger)
                self._keeps_until = trio.current_time() + const.HAND_OVER_PAUSE
                owner.release()
                return

    def _find_stronger(self, owner: Owner) -> str:
        """Returns a VM to which the cell should be handed now, or ""."""
        now = trio.current_time()
        if not owner.settled.is_set() or owner.ledger.store_away:
            return ""
        if now - self._owned_since < const.HAND_OVER_AFTER:
            return ""
        if now < self._keeps_until:
            return ""
        lately = self._heard.since(now - const.HEARD_LATELY)
        return find_stronger(self._mine.name, self._cluster.members, lately)

    async def _give_back(self, claim: OwnerClaim) -> None:
        """Appends that the cell has no owner, unless another has it."""
        if self._cluster.claim is not claim:
            return
        try:
            await self._cluster.append_claim(
                release_record(claim, quiet=self._is_quiet()),
                self._cluster.end,
            )
        except ConditionFailedError:
            pass
        except StoreUnavailableError as error:
            note("release_failed", reason=str(error))
        await self._refresh()

    def _is_quiet(self) -> bool:
        """True if surely no owner of before renews leases any more."""
        owned_for = trio.current_time() - self._owned_since
        return self._former_quiet or owned_for > self._platform.terms.loud_for

    async def _watch(self, claim: OwnerClaim) -> None:
        """Keeps a link to another process that owns, until a newer claim."""
        async with self._linked(claim) as link:
            not_before = 0.0
            while self._cluster.claim is claim:
                await trio.sleep(const.ELECTION_TICK)
                reason = self._suspicion(claim, link)
                if not reason or self._leaving:
                    continue
                if self._time.now() < not_before:
                    continue
                # Waiting comes first: whoever's turn is late reads nothing
                # if the suspect is replaced or heard meanwhile.
                turn = self._turn(claim)
                await self._wait_unchanged(claim, turn.delay + turn.handicap)
                reason = self._suspicion(claim, link)
                if not reason or self._cluster.claim is not claim:
                    continue
                if await self._confirmed(claim, link, reason):
                    await self._claim(claim, reason)
                elif not turn.early:
                    not_before = self._time.now() + const.LATE_TURNS_PAUSE

    @asynccontextmanager
    async def _linked(self, claim: OwnerClaim) -> AsyncIterator[OwnerLink]:
        link = OwnerLink(
            claim,
            self._mine,
            self._time,
            lambda: self._heartbeat_interval(claim),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            self.link = link
            try:
                yield link
            finally:
                self.link = None
                nursery.cancel_scope.cancel()

    def _suspicion(self, claim: OwnerClaim, link: OwnerLink) -> str:
        if self._surely_gone(claim, link):
            return "its process was replaced"
        factor = self._factor(claim, link)
        if link.silence() > self._silence_most(claim, factor):
            return "silent"
        standing = link.standing
        if standing is None:
            return ""
        if standing.epoch != claim.epoch:
            # It may not have read yet that its claim was taken.
            begins = self._patience.age < const.SILENCE * factor
            return "" if begins else "it does not own"
        if standing.store_age > const.STORE_SILENCE * factor:
            return "it can't write"
        return ""

    def _silence_most(self, claim: OwnerClaim, factor: float) -> float:
        """Returns for how many seconds an owner may be silent.

        A strong VM that has just learned of the owner waits for it as long as
        for a new one, and a weak one doesn't come before it.
        """
        most = const.HEARTBEATS_IN_SILENCE * self._heartbeat_interval(claim)
        if self._leaves_to_stronger:
            factor = max(factor, const.TAKEOVER_FACTOR)
        return max(const.SILENCE, most) * factor

    def _heartbeat_interval(self, claim: OwnerClaim) -> float:
        """Returns the seconds from one heartbeat to the next."""
        members = len(self._cluster.members)
        if self._paced_for != (claim.epoch, members):
            # A turn is found among all members: too dear for each tick.
            self._paced_for = (claim.epoch, members)
            turn = self._turn(claim)
            self._pace = heartbeat_interval(members, early=turn.early)
            self._leaves_to_stronger = turn.handicap > 0
        return self._pace

    def _factor(self, claim: OwnerClaim, link: OwnerLink) -> float:
        """Returns how many times longer than usual the owner is waited for."""
        standing = link.standing
        if standing is not None and standing.epoch == claim.epoch:
            self._patience.note_standing(standing)
            return self._patience.factor(standing)
        return self._patience.factor(None)

    def _surely_gone(self, claim: OwnerClaim, link: OwnerLink) -> bool:
        return link.replaced or self._formers.has_ended(claim.owners[0])

    async def _confirmed(
        self, claim: OwnerClaim, link: OwnerLink, reason: str
    ) -> bool:
        """Returns whether a suspect doesn't write either."""
        if self._surely_gone(claim, link):
            self._former_quiet = True
            return True
        self._former_quiet = False
        try:
            # A claim that this VM wasn't told of explains any silence.
            await self._cluster.refresh(0.0)
            if self._cluster.claim is not claim:
                return False
            began = trio.current_time()
            first = await self._jobs_end()
            took = trio.current_time() - began
            # Longer only for an owner that is given more than a first
            # take-over: its beats come further apart.
            factor = max(self._factor(claim, link) / const.TAKEOVER_FACTOR, 1)
            observe = const.OBSERVE * factor + 3 * took
            await self._wait_unchanged(claim, observe)
            if self._cluster.claim is not claim:
                return False
            second = await self._jobs_end()
        except StoreUnavailableError as error:
            note("suspect_unconfirmed", reason=reason, store=str(error))
            return False
        writes = second > first
        note("suspect", owner=claim.vm, reason=reason, writes=writes)
        return not writes and bool(self._suspicion(claim, link))

    async def _jobs_end(self) -> int:
        """Returns the end of the owner's records."""
        answered = await first_answer(
            self._ask_jobs_end, 0.0, const.READ_TIMEOUT, AGAIN_AFTER
        )
        return answered.value

    async def _ask_jobs_end(self, question: Question) -> int:
        page = await self.store.read(
            const.JOBS_TOPIC,
            _BEYOND_ALL,
            0.0,
            question.timeout,
            fresh=question.again,
        )
        return page.end

    async def _consider(self, claim: OwnerClaim | None, reason: str) -> None:
        """Claims a cell that nobody owns, once it is this member's turn."""
        self._former_quiet = claim is None or claim.quiet
        await self._wait_unchanged(claim, self._turn(claim).delay)
        await self._claim(claim, reason)

    async def _claim(self, claim: OwnerClaim | None, reason: str) -> None:
        """Claims, unless something speaks against it."""
        now = trio.current_time()
        if (
            self._leaving
            or self._config() is None
            or now < self._not_before
            or self._cluster.claim is not claim
            or self._cluster.end < 0
        ):
            await self._pause()
            return
        note("claim", reason=reason, at=self._cluster.end)
        mine = self._mine
        formers = self._formers.up_to(claim)
        if formers and self._former_quiet:
            # Its process is gone, as a peer's answer may be the first to tell.
            formers[0] = formers[0]._replace(ended=True)
        record = claim_record(mine.name, mine.process, mine.address, formers)
        try:
            await self._cluster.append_claim(record, self._cluster.end)
        except ConditionFailedError:
            note("claim_too_late")
        except StoreUnavailableError as error:
            note("claim_unanswered", reason=str(error))
        await self._refresh()

    def _turn(self, claim: OwnerClaim | None) -> Turn:
        epoch = claim.epoch if claim is not None else 0
        suspect = claim.vm if claim is not None else ""
        members = self._cluster.members
        return find_turn(self._mine.name, members, epoch, suspect)

    async def _wait_unchanged(
        self, claim: OwnerClaim | None, seconds: float
    ) -> None:
        """Waits, but no longer than a claim is the newest."""
        with trio.move_on_after(seconds):
            while self._cluster.claim is claim:
                await self._cluster.changed.wait()

    async def _refresh(self) -> None:
        try:
            await self._cluster.refresh(0.0)
        except StoreUnavailableError:
            await self._pause()

    async def _pause(self) -> None:
        await trio.sleep(const.ELECTION_TICK)


def _innermost(error: BaseException) -> BaseException:
    """Returns the first error that isn't a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
