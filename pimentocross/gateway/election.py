"""Elects the cell's owner: claims ownership and runs the owner after a claim.

The store arbitrates. A claim is a conditional append to the cluster topic: it
fails if anything was appended since this process last read. The claim's offset
is the epoch, the fencing token that shuts former owners out at the store and
at the workers. A wrong suspicion therefore costs a needless take-over, but
never leads to two owners.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final

import trio

from pimentocross.contracts.hedging import (
    HEDGE_DELAY,
    RequestAttempt,
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
from pimentocross.gateway.heard_peers import PeerActivity
from pimentocross.gateway.messages import OwnerStatus
from pimentocross.gateway.own_time import ChangeTimer, LoopClock
from pimentocross.gateway.owner_link import OwnerLink
from pimentocross.gateway.patience import OwnerTimeouts
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

# Past the end of any topic: a read from here returns no records, only the end.
_OFFSET_PAST_END: Final = 1 << 40


class Election:
    """Monitors the owner, claims the cell when it fails, and runs the owner.

    Attributes:
        link: Link to the owner; None if the owner is this process or unknown.
        owner: The owner that runs in this process, or None.
    """

    def __init__(
        self,
        own_identity: PeerIdentity,
        cluster: Cluster,
        platform: CellPlatform,
        config: Callable[[], WorkConfig | None],
        peer_activity: PeerActivity,
    ) -> None:
        """Initializes the election; `run` starts it.

        Args:
            own_identity: The identity of this process.
            cluster: The members and claims in the store.
            platform: Store, workers and settings that an owner is run with.
            config: Returns the configuration in force, or None before the
                first.
            peer_activity: When each VM last contacted this one.
        """
        self.link: OwnerLink | None = None
        self.owner: Owner | None = None
        self._own_identity = own_identity
        self._cluster = cluster
        self._platform = platform
        self._config = config
        self._peer_activity = peer_activity
        self._clock = LoopClock()
        self._former_owners = FormerOwners(
            own_identity,
            cluster,
            self._clock,
            platform.terms.unreleased_lease_most,
        )
        self._owner_timeouts = OwnerTimeouts(self._clock)
        # Time since the owner in this process last wrote, if there is one.
        self._write_timer = ChangeTimer(self._clock, lambda: 0.0)
        self._served_epoch = 0
        self._leaving = False
        self._claim_not_before = 0.0
        # Before this time the owner doesn't hand the cell to a stronger VM.
        self._no_hand_over_before = 0.0
        # The heartbeat interval, and the epoch and member count it holds for.
        self._cached_interval = const.HEARTBEAT_INTERVAL
        self._cached_interval_key = (-1, 0)
        # Whether a VM stronger than this one may claim the cell.
        self._yields_to_stronger = False
        self._unowned_since = trio.current_time()
        self._former_renewals_over = False
        self._owned_since = trio.current_time()

    @property
    def store(self) -> Store:
        """The store."""
        return self._platform.store

    def owner_absent(self) -> float:
        """Returns the seconds for which no owner has been reachable, or 0."""
        owner, link = self.owner, self.link
        is_owner_here = owner is not None and owner.ready.is_set()
        if is_owner_here or (link is not None and link.usable):
            self._unowned_since = trio.current_time()
        return trio.current_time() - self._unowned_since

    def owner_silence(self) -> float:
        """Returns the seconds since the owner's last reply.

        It is 0 if the owner is this process or unknown.
        """
        if self.owner is not None or self.link is None:
            return 0.0
        return self.link.silence()

    def owner_status(self) -> OwnerStatus:
        """Returns the ownership status of this process."""
        owner = self.owner
        if owner is None:
            return OwnerStatus(0, False, 0.0)
        # Acknowledgements that arrived while the event loop stalled aren't read
        # yet, so the stall doesn't count as time without a write.
        age = min(owner.ledger.age(), self._write_timer.seconds())
        ready = owner.ready.is_set()
        return OwnerStatus(
            owner.epoch, ready, age if ready else 0.0, owner.takeover_age
        )

    def leave(self) -> None:
        """Releases the cell if this process owns it, and stops claiming."""
        self._leaving = True
        if self.owner is not None:
            self.owner.release()

    async def run(self) -> None:
        """Runs the election until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._clock.run)
            nursery.start_soon(self._follow_claims)

    async def _follow_claims(self) -> None:
        while True:
            claim = self._cluster.claim
            self._owner_timeouts.note_claim(claim)
            if (
                claim is not None
                and claim.process == self._own_identity.process
            ):
                await self._run_or_release(claim)
            elif claim is None or claim.released:
                await self._claim_in_turn(claim, "no owner")
            else:
                await self._watch_owner(claim)

    async def _run_or_release(self, claim: OwnerClaim) -> None:
        if claim.epoch > self._served_epoch and not self._leaving:
            self._served_epoch = claim.epoch
            await self._run_owner(claim)
        else:
            await self._release_cell(claim)
            await self._pause()

    async def _run_owner(self, claim: OwnerClaim) -> None:
        formers = self._former_owners.up_to(claim)[1:]
        note(
            "owner_begins",
            epoch=claim.epoch,
            quiet=self._former_renewals_over,
            formers=[(f.epoch, f.ended) for f in formers],
        )
        self._owned_since = trio.current_time()
        owner = Owner(
            Claim(
                const.JOBS_TOPIC,
                claim.epoch,
                self._former_renewals_over,
                tuple(
                    Predecessor(f.epoch, f.ended, f.epoch in claim.confirming)
                    for f in formers
                ),
            ),
            self._platform,
            self._require_config,
        )
        self.owner = owner
        self._write_timer = ChangeTimer(
            self._clock, lambda: owner.ledger.stored_at
        )
        reason = "released"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._monitor_ownership, owner, claim)
                for former in formers:
                    nursery.start_soon(self._former_owners.watch, former, owner)
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
            await self._release_cell(claim)
        else:
            await self._pause()

    def _require_config(self) -> WorkConfig:
        config = self._config()
        assert config is not None
        return config

    async def _monitor_ownership(self, owner: Owner, claim: OwnerClaim) -> None:
        """Ends the ownership on a newer claim, lost contact or a stronger VM.

        Raises:
            FencedError: Another process has claimed the cell.
        """
        contact_timer = ChangeTimer(
            self._clock, lambda: self._peer_activity.newest_contact_at
        )
        while True:
            await trio.sleep(const.ELECTION_TICK)
            # Reading the status also reads the timer of the last write, which
            # notices changes only when it is read.
            self.owner_status()
            newest = self._cluster.claim
            if newest is not None and newest.epoch > claim.epoch:
                note("owner_superseded", epoch=claim.epoch, by=newest.epoch)
                raise FencedError
            # Counted without stalls of this process's event loop: messages of
            # peers wait unread during one, and a stall alone must not make the
            # owner release the cell.
            seconds_without_contact = contact_timer.seconds()
            if (
                seconds_without_contact > const.PEER_CONTACT_TIMEOUT
                and len(self._cluster.members) > 1
            ):
                if trio.current_time() < self._claim_not_before:
                    continue
                note("owner_alone", seconds=round(seconds_without_contact, 1))
                self._claim_not_before = (
                    trio.current_time() + const.LOST_CONTACT_CLAIM_PAUSE
                )
                owner.release()
                return
            stronger = self._find_stronger_vm(owner)
            if stronger:
                note("owner_hands_over", epoch=claim.epoch, to=stronger)
                self._no_hand_over_before = (
                    trio.current_time() + const.HAND_OVER_PAUSE
                )
                owner.release()
                return

    def _find_stronger_vm(self, owner: Owner) -> str:
        """Returns a stronger VM to hand the cell over to now, or ""."""
        now = trio.current_time()
        if not owner.settled.is_set() or owner.ledger.store_away:
            return ""
        if now - self._owned_since < const.MIN_OWNERSHIP_BEFORE_HAND_OVER:
            return ""
        if now < self._no_hand_over_before:
            return ""
        recent_peers = self._peer_activity.active_since(
            now - const.RECENT_CONTACT_AGE
        )
        return find_stronger(
            self._own_identity.name, self._cluster.members, recent_peers
        )

    async def _release_cell(self, claim: OwnerClaim) -> None:
        """Appends the release of the cell, unless there is a newer claim."""
        if self._cluster.claim is not claim:
            return
        try:
            await self._cluster.append_claim(
                release_record(claim, quiet=self._are_renewals_over()),
                self._cluster.end,
            )
        except ConditionFailedError:
            pass
        except StoreUnavailableError as error:
            note("release_failed", reason=str(error))
        await self._refresh()

    def _are_renewals_over(self) -> bool:
        """Returns whether no former owner can renew leases any more."""
        owned_for = trio.current_time() - self._owned_since
        return (
            self._former_renewals_over
            or owned_for > self._platform.terms.unreleased_lease_most
        )

    async def _watch_owner(self, claim: OwnerClaim) -> None:
        """Monitors an owner in another process until there is a newer claim."""
        async with self._open_link(claim) as link:
            check_not_before = 0.0
            while self._cluster.claim is claim:
                await trio.sleep(const.ELECTION_TICK)
                reason = self._find_suspicion(claim, link)
                if not reason or self._leaving:
                    continue
                if self._clock.now() < check_not_before:
                    continue
                # The wait comes before the store is read: a member with a late
                # turn reads nothing if the suspect is replaced or answers in
                # the meantime.
                turn = self._find_own_turn(claim)
                await self._wait_while_newest(
                    claim, turn.delay + turn.claim_delay
                )
                reason = self._find_suspicion(claim, link)
                if not reason or self._cluster.claim is not claim:
                    continue
                if await self._confirm_suspicion(claim, link, reason):
                    await self._try_claim(claim, reason)
                elif not turn.early:
                    check_not_before = (
                        self._clock.now() + const.LATE_TURNS_PAUSE
                    )

    @asynccontextmanager
    async def _open_link(self, claim: OwnerClaim) -> AsyncIterator[OwnerLink]:
        link = OwnerLink(
            claim,
            self._own_identity,
            self._clock,
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

    def _find_suspicion(self, claim: OwnerClaim, link: OwnerLink) -> str:
        if self._is_owner_gone(claim, link):
            return "its process was replaced"
        timeout_factor = self._timeout_factor(claim, link)
        if link.silence() > self._silence_timeout(claim, timeout_factor):
            return "silent"
        owner_status = link.owner_status
        if owner_status is None:
            return ""
        if owner_status.epoch != claim.epoch:
            # The owner may not have read its own claim back yet.
            is_starting = (
                self._owner_timeouts.claim_age
                < const.SILENCE_TIMEOUT * timeout_factor
            )
            return "" if is_starting else "it does not own"
        if (
            owner_status.store_age
            > const.STORE_SILENCE_TIMEOUT * timeout_factor
        ):
            return "it can't write"
        return ""

    def _silence_timeout(
        self, claim: OwnerClaim, timeout_factor: float
    ) -> float:
        """Returns after how many seconds a silent owner is suspected.

        A strong VM that has just learned of the owner waits as long as for a
        new owner. A weak VM waits at least as long, so as not to claim first.
        """
        heartbeats_timeout = (
            const.HEARTBEATS_PER_SILENCE_TIMEOUT
            * self._heartbeat_interval(claim)
        )
        if self._yields_to_stronger:
            timeout_factor = max(timeout_factor, const.TAKEOVER_FACTOR)
        return max(const.SILENCE_TIMEOUT, heartbeats_timeout) * timeout_factor

    def _heartbeat_interval(self, claim: OwnerClaim) -> float:
        """Returns the seconds from one heartbeat to the next."""
        members = len(self._cluster.members)
        if self._cached_interval_key != (claim.epoch, members):
            # Finding the turn ranks all members: too costly on every tick.
            self._cached_interval_key = (claim.epoch, members)
            turn = self._find_own_turn(claim)
            self._cached_interval = heartbeat_interval(
                members, early=turn.early
            )
            self._yields_to_stronger = turn.claim_delay > 0
        return self._cached_interval

    def _timeout_factor(self, claim: OwnerClaim, link: OwnerLink) -> float:
        """Returns the factor by which timeouts for the owner are extended."""
        owner_status = link.owner_status
        if owner_status is not None and owner_status.epoch == claim.epoch:
            self._owner_timeouts.note_owner_status(owner_status)
            return self._owner_timeouts.timeout_factor(owner_status)
        return self._owner_timeouts.timeout_factor(None)

    def _is_owner_gone(self, claim: OwnerClaim, link: OwnerLink) -> bool:
        return link.replaced or self._former_owners.has_ended(claim.owners[0])

    async def _confirm_suspicion(
        self, claim: OwnerClaim, link: OwnerLink, reason: str
    ) -> bool:
        """Returns whether a suspected owner has ended or stopped writing.

        False also if a newer claim was read or the store does not answer.

        Args:
            claim: The suspect's claim.
            link: The link to the suspect.
            reason: Why it is suspected.
        """
        if self._is_owner_gone(claim, link):
            self._former_renewals_over = True
            return True
        self._former_renewals_over = False
        try:
            # A newer claim that wasn't read yet explains any silence.
            await self._cluster.refresh(0.0)
            if self._cluster.claim is not claim:
                return False
            began = trio.current_time()
            first = await self._read_jobs_end()
            took = trio.current_time() - began
            # Longer only for an owner whose timeouts are extended beyond those
            # of a first take-over: it writes at longer intervals.
            timeout_factor = max(
                self._timeout_factor(claim, link) / const.TAKEOVER_FACTOR, 1
            )
            observation_time = (
                const.OBSERVATION_TIME * timeout_factor + 3 * took
            )
            await self._wait_while_newest(claim, observation_time)
            if self._cluster.claim is not claim:
                return False
            second = await self._read_jobs_end()
        except StoreUnavailableError as error:
            note("suspect_unconfirmed", reason=reason, store=str(error))
            return False
        is_writing = second > first
        note("suspect", owner=claim.vm, reason=reason, writes=is_writing)
        return not is_writing and bool(self._find_suspicion(claim, link))

    async def _read_jobs_end(self) -> int:
        """Returns the end offset of the topic that the owner writes."""
        answered = await first_answer(
            self._request_jobs_end, 0.0, const.READ_TIMEOUT, HEDGE_DELAY
        )
        return answered.value

    async def _request_jobs_end(self, question: RequestAttempt) -> int:
        page = await self.store.read(
            const.JOBS_TOPIC,
            _OFFSET_PAST_END,
            0.0,
            question.timeout,
            new_connection=question.is_hedge,
        )
        return page.end

    async def _claim_in_turn(
        self, claim: OwnerClaim | None, reason: str
    ) -> None:
        """Claims a cell without an owner once it is this member's turn."""
        self._former_renewals_over = claim is None or claim.quiet
        await self._wait_while_newest(claim, self._find_own_turn(claim).delay)
        await self._try_claim(claim, reason)

    async def _try_claim(self, claim: OwnerClaim | None, reason: str) -> None:
        """Appends a claim, unless this process must not claim now.

        It must not while it is leaving, before it has read a configuration and
        the topic, after contact with its peers was lost, or if `claim` is no
        longer the newest.
        """
        now = trio.current_time()
        if (
            self._leaving
            or self._config() is None
            or now < self._claim_not_before
            or self._cluster.claim is not claim
            or self._cluster.end < 0
        ):
            await self._pause()
            return
        note("claim", reason=reason, at=self._cluster.end)
        own_identity = self._own_identity
        formers = self._former_owners.up_to(claim)
        if formers and self._former_renewals_over:
            # The owner's process is gone; that another process answers at its
            # address may be the first sign of it.
            formers[0] = formers[0]._replace(ended=True)
        record = claim_record(
            own_identity.name,
            own_identity.process,
            own_identity.address,
            formers,
            claim.confirming_owners if claim is not None else (),
        )
        try:
            await self._cluster.append_claim(record, self._cluster.end)
        except ConditionFailedError:
            note("claim_too_late")
        except StoreUnavailableError as error:
            note("claim_unanswered", reason=str(error))
        await self._refresh()

    def _find_own_turn(self, claim: OwnerClaim | None) -> Turn:
        epoch = claim.epoch if claim is not None else 0
        suspect = claim.vm if claim is not None else ""
        members = self._cluster.members
        return find_turn(self._own_identity.name, members, epoch, suspect)

    async def _wait_while_newest(
        self, claim: OwnerClaim | None, seconds: float
    ) -> None:
        """Waits for some seconds, or until there is a newer claim."""
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
    """Returns the first error inside nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
