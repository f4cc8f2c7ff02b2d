"""Connections to the other entry VMs, and membership in the cluster."""

from typing import Protocol

import trio

from pimentocross.backing.follower import VmFollower
from pimentocross.backing.log import Record
from pimentocross.backing.vms import VmRole
from pimentocross.contracts.authority import Authority, Statement
from pimentocross.contracts.fold import FoldDump, FoldedId, StreamFold
from pimentocross.contracts.ownership import Member, MemberJoined
from pimentocross.entry import const
from pimentocross.links import const as link_const
from pimentocross.links.greeting import Credentials, PeerIdentity
from pimentocross.links.messages import (
    PEER_MESSAGES,
    Acknowledge,
    Acknowledged,
    AskFold,
    AskRecords,
    EntryLink,
    FoldAnswer,
    Heartbeat,
    HeartbeatReply,
    PeerMessage,
    RecordsAnswer,
)
from pimentocross.links.peer import (
    PeerUnreachableError,
    StreamDialer,
    dial_tcp,
)
from pimentocross.zones.candidates import Candidate, rank_candidates


class PeerCallbacks(Protocol):
    """Called by `Peers` for each link to another entry VM."""

    def heartbeat(self) -> Heartbeat:
        """Returns the heartbeat to send to a peer now."""
        ...

    async def on_peer_connected(self, link: EntryLink) -> None:
        """Handles a link whose greeting has completed."""
        ...


class Peers:
    """Keeps links to all other entry VMs, and joins and removes members."""

    def __init__(
        self,
        local_identity: PeerIdentity,
        credentials: Credentials,
        authority: Authority,
        shared_folds: dict[str, StreamFold],  # type: ignore[type-arg]
        vms: VmFollower,
        callbacks: PeerCallbacks,
        *,
        dial: StreamDialer = dial_tcp,
    ) -> None:
        """Initializes without links; `run` connects to the other VMs.

        Args:
            local_identity: Identity of this process.
            credentials: Cluster name and keys of the greeting.
            authority: This process's membership and ownership rules.
            shared_folds: Folds that are caught up from peers, by stream.
            vms: The VM list.
            callbacks: Called for each link.
            dial: Opens a connection to an address.
        """
        self._local_identity = local_identity
        self._credentials = credentials
        self._authority = authority
        self._folds = shared_folds
        self._vms = vms
        self._callbacks = callbacks
        self._dial = dial
        self._links: dict[str, EntryLink] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._inbound_seen_at: dict[str, float] = {}
        self._gone_since: dict[str, float] = {}
        self._acknowledged_by: set[str] = set()
        self._claim_allowed: set[str] = set()

    @property
    def links(self) -> list[EntryLink]:
        """All links, connected or not."""
        return list(self._links.values())

    @property
    def local_identity(self) -> PeerIdentity:
        """Identity of this process."""
        return self._local_identity

    def live(self) -> list[EntryLink]:
        """Returns the links whose peer replied within `SUSPECT_AFTER`."""
        oldest = trio.current_time() - const.SUSPECT_AFTER
        return [
            link
            for link in self._links.values()
            if link.identity is not None and link.last_reply_at >= oldest
        ]

    def link_to(self, process: str) -> EntryLink | None:
        """Returns the link to a process, if it is live."""
        for link in self.live():
            if link.identity is not None and link.identity.process == process:
                return link
        return None

    def candidates(self) -> list[Candidate]:
        """Returns the live members that may claim cells, and this process.

        A member that still waits to be acknowledged is left out: if it ranked
        first, no process would claim until a dead member is removed.
        """
        members = self._authority.fold.state.members
        found = [
            Candidate(link.identity.process, link.identity.zone)
            for link in self.live()
            if link.identity is not None
            and link.identity.process in members
            and link.identity.process in self._claim_allowed
        ]
        if self._local_identity.process in members:
            found.append(
                Candidate(
                    self._local_identity.process, self._local_identity.zone
                )
            )
        return found

    def set_may_claim(self, process: str, takes_over: bool) -> None:
        """Records whether a peer may claim cells, as its heartbeat says."""
        if takes_over:
            self._claim_allowed.add(process)
        else:
            self._claim_allowed.discard(process)

    def record_inbound(self, peer: PeerIdentity) -> None:
        """Records that a peer sent a heartbeat on an inbound connection."""
        self._inbound_seen_at[peer.address] = trio.current_time()

    async def run(self) -> None:
        """Maintains the links and the membership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            nursery.start_soon(self._remove_gone)
            while True:
                self._sync_links(nursery)
                await trio.sleep(const.SYNC_INTERVAL)

    def _sync_links(self, nursery: trio.Nursery) -> None:
        wanted = self._peer_addresses()
        for address in wanted - self._links.keys():
            link = EntryLink(
                address,
                self._local_identity,
                self._credentials,
                PEER_MESSAGES,
                self._dial,
            )
            self._links[address] = link
            self._scopes[address] = trio.CancelScope()
            nursery.start_soon(self._run_link, link, self._scopes[address])
        for address in self._links.keys() - wanted:
            self._scopes.pop(address).cancel()
            del self._links[address]

    def _peer_addresses(self) -> set[str]:
        oldest = trio.current_time() - link_const.PEER_IDLE_TIMEOUT
        self._inbound_seen_at = {
            a: at for a, at in self._inbound_seen_at.items() if at >= oldest
        }
        listed = {vm.address for vm in self._vms.vms if vm.role is VmRole.ENTRY}
        members = self._authority.fold.state.members.values()
        wanted = (
            listed | {m.address for m in members} | set(self._inbound_seen_at)
        )
        wanted.discard(self._local_identity.address)
        return wanted

    async def _run_link(self, link: EntryLink, scope: trio.CancelScope) -> None:
        with scope:
            await link.run(self._exchange_heartbeats)

    async def _exchange_heartbeats(self, link: EntryLink) -> None:
        """Sends a heartbeat per interval until the peer stops replying."""
        await self._callbacks.on_peer_connected(link)
        while True:
            asked_at = trio.current_time()
            with trio.fail_after(link_const.HEARTBEAT_TIMEOUT):
                reply = await self._ask(link, self._callbacks.heartbeat())
            if isinstance(reply, HeartbeatReply):
                await self._apply_statement(link, reply, asked_at)
            await self._ask_acknowledgement(link)
            await trio.sleep(link_const.HEARTBEAT_INTERVAL)

    async def _ask(self, link: EntryLink, message: PeerMessage) -> PeerMessage:
        """Sends a request; raises `trio.TooSlowError` if there is no reply.

        The error ends the connection.
        """
        try:
            timeout = link_const.HEARTBEAT_TIMEOUT
            return await link.ask(message, timeout)
        except PeerUnreachableError as error:
            raise trio.TooSlowError from error

    async def _apply_statement(
        self, link: EntryLink, reply: HeartbeatReply, asked_at: float
    ) -> None:
        assert link.identity is not None
        statement = Statement(
            link.identity.process,
            reply.position,
            reply.read_age,
            reply.acknowledged,
        )
        self._authority.note_statement(statement, asked_at)
        ownership = self._authority.fold
        if reply.position > ownership.position or not ownership.ready:
            await self._catch_up(link, ownership)
        config = self._folds[const.CONFIG_STREAM]
        if reply.config > config.state.version or not config.ready:
            await self._catch_up(link, config)

    async def _catch_up(self, link: EntryLink, fold: StreamFold) -> None:  # type: ignore[type-arg]
        """Fetches records or the whole state from a peer if the log can't."""
        if fold.ready and not fold.log_away:
            return
        if fold.ready:
            question = AskRecords(fold.stream, fold.position)
            answer = await self._ask(link, question)
            if isinstance(answer, RecordsAnswer) and answer.known:
                fold.feed(Record(o, body) for o, body in answer.records)
                return
        fold_answer = await self._ask(link, AskFold(fold.stream))
        if isinstance(fold_answer, FoldAnswer) and fold_answer.position >= 0:
            ids = [FoldedId(*item) for item in fold_answer.ids]
            fold.load(FoldDump(fold_answer.position, fold_answer.state, ids))

    async def _ask_acknowledgement(self, link: EntryLink) -> None:
        assert link.identity is not None
        member = link.identity.process
        if not self._authority.is_member or member in self._acknowledged_by:
            return
        answer = await self._ask(
            link, Acknowledge(self._local_identity.process)
        )
        if isinstance(answer, Acknowledged) and answer.promised:
            self._acknowledged_by.add(member)
            self._authority.note_acknowledged_by(member)

    async def _join(self) -> None:
        """Appends join records to the log until this process is a member."""
        fold = self._authority.fold
        while not fold.ready:
            await trio.sleep(const.CLAIM_INTERVAL)
        joined = MemberJoined(*self._local_identity)
        while not self._authority.is_member:
            if fold.state.is_removed(self._local_identity.process):
                return
            await self._authority.join(joined, const.JOIN_TIMEOUT)
            await trio.sleep(const.CLAIM_INTERVAL)

    async def _remove_gone(self) -> None:
        """Removes members that are gone once the take-over wait has passed."""
        while True:
            await trio.sleep(const.SYNC_INTERVAL)
            for member in list(self._authority.fold.state.members.values()):
                if self._may_remove(member):
                    await self._authority.remove(
                        member.process, const.JOIN_TIMEOUT
                    )

    def _may_remove(self, member: Member) -> bool:
        if member.process == self._local_identity.process or not self._is_gone(
            member
        ):
            self._gone_since.pop(member.process, None)
            return False
        now = trio.current_time()
        since = self._gone_since.setdefault(member.process, now)
        wait = self._authority.timing.takeover_wait
        return now - since >= wait + self._removal_delay(member)

    def _removal_delay(self, member: Member) -> float:
        """Returns how long to wait for higher-ranked candidates, in seconds.

        The candidate ranked first removes the member; the others only do so
        if it does not.
        """
        ranked = rank_candidates(
            f"remove:{member.process}", member.zone, self.candidates()
        )
        rank = len(ranked)
        if self._local_identity.process in ranked:
            rank = ranked.index(self._local_identity.process)
        return rank * const.SYNC_INTERVAL * 2

    def _is_gone(self, member: Member) -> bool:
        if self._vms.is_gone(member.name):
            return True
        link = self._links.get(member.address)
        if member.address == self._local_identity.address:
            return started_at(self._local_identity.process) > started_at(
                member.process
            )
        if link is None or link.identity is None or not link.connected:
            return False
        is_newer = started_at(link.identity.process) > started_at(
            member.process
        )
        return is_newer and link.identity.process != member.process


def started_at(process: str) -> int:
    """Returns when a process started, in ms, from its id.

    The time is a hint only; it is 0 if the id holds none.
    """
    parts = process.split(":")
    try:
        return int(parts[1], 16)
    except (IndexError, ValueError):
        return 0
