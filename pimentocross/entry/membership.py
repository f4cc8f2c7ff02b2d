"""The other entry VMs: dialed, greeted, asked, and removed when gone."""

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


class PeerCare(Protocol):
    """What the node wants done on each link."""

    def heartbeat(self) -> Heartbeat:
        """Returns what to tell peers now."""
        ...

    async def on_peer_connected(self, link: EntryLink) -> None:
        """A link has been greeted."""
        ...


class Peers:
    """Links to all other entry VMs, and this one's membership."""

    def __init__(
        self,
        mine: PeerIdentity,
        credentials: Credentials,
        authority: Authority,
        shared_folds: dict[str, StreamFold],  # type: ignore[type-arg]
        vms: VmFollower,
        care: PeerCare,
        *,
        dial: StreamDialer = dial_tcp,
    ) -> None:
        """Takes who this is; `run` finds the others."""
        self._mine = mine
        self._credentials = credentials
        self._authority = authority
        self._folds = shared_folds
        self._vms = vms
        self._care = care
        self._dial = dial
        self._links: dict[str, EntryLink] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._dialed_in: dict[str, float] = {}
        self._gone_since: dict[str, float] = {}
        self._acknowledged_by: set[str] = set()
        self._takes_over: set[str] = set()

    @property
    def links(self) -> list[EntryLink]:
        """All links, connected or not."""
        return list(self._links.values())

    @property
    def mine(self) -> PeerIdentity:
        """Who this process is."""
        return self._mine

    def live(self) -> list[EntryLink]:
        """Returns the links whose peer was heard lately."""
        oldest = trio.current_time() - const.SUSPECT_AFTER
        return [
            link
            for link in self._links.values()
            if link.identity is not None and link.heard_at >= oldest
        ]

    def link_to(self, process: str) -> EntryLink | None:
        """Returns the link to a process, if it is live."""
        for link in self.live():
            if link.identity is not None and link.identity.process == process:
                return link
        return None

    def candidates(self) -> list[Candidate]:
        """Returns the live members that may claim, and this one.

        One that still waits to be acknowledged must not stand first, or
        nobody would claim until a dead member is removed.
        """
        members = self._authority.fold.state.members
        found = [
            Candidate(link.identity.process, link.identity.zone)
            for link in self.live()
            if link.identity is not None
            and link.identity.process in members
            and link.identity.process in self._takes_over
        ]
        if self._mine.process in members:
            found.append(Candidate(self._mine.process, self._mine.zone))
        return found

    def note_takes_over(self, process: str, takes_over: bool) -> None:
        """Notes whether a peer may claim cells, as it says itself."""
        if takes_over:
            self._takes_over.add(process)
        else:
            self._takes_over.discard(process)

    def note_dialed_in(self, peer: PeerIdentity) -> None:
        """Notes that a peer has dialed this one."""
        self._dialed_in[peer.address] = trio.current_time()

    async def run(self) -> None:
        """Keeps the links and the membership, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            nursery.start_soon(self._remove_gone)
            while True:
                self._sync_links(nursery)
                await trio.sleep(const.SYNC_INTERVAL)

    def _sync_links(self, nursery: trio.Nursery) -> None:
        wanted = self._wanted_addresses()
        for address in wanted - self._links.keys():
            link = EntryLink(
                address,
                self._mine,
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

    def _wanted_addresses(self) -> set[str]:
        oldest = trio.current_time() - link_const.PEER_IDLE_TIMEOUT
        self._dialed_in = {
            a: at for a, at in self._dialed_in.items() if at >= oldest
        }
        listed = {vm.address for vm in self._vms.vms if vm.role is VmRole.ENTRY}
        members = self._authority.fold.state.members.values()
        wanted = listed | {m.address for m in members} | set(self._dialed_in)
        wanted.discard(self._mine.address)
        return wanted

    async def _run_link(self, link: EntryLink, scope: trio.CancelScope) -> None:
        with scope:
            await link.run(self._keep_connected)

    async def _keep_connected(self, link: EntryLink) -> None:
        """Asks the peer once an interval, until it goes silent."""
        await self._care.on_peer_connected(link)
        while True:
            asked_at = trio.current_time()
            with trio.fail_after(link_const.HEARTBEAT_TIMEOUT):
                reply = await self._ask(link, self._care.heartbeat())
            if isinstance(reply, HeartbeatReply):
                await self._take_statement(link, reply, asked_at)
            await self._ask_acknowledgement(link)
            await trio.sleep(link_const.HEARTBEAT_INTERVAL)

    async def _ask(self, link: EntryLink, message: PeerMessage) -> PeerMessage:
        """Asks and lets silence end the connection."""
        try:
            timeout = link_const.HEARTBEAT_TIMEOUT
            return await link.ask(message, timeout)
        except PeerUnreachableError as error:
            raise trio.TooSlowError from error

    async def _take_statement(
        self, link: EntryLink, reply: HeartbeatReply, asked_at: float
    ) -> None:
        assert link.identity is not None
        said = Statement(
            link.identity.process,
            reply.position,
            reply.read_age,
            reply.acknowledged,
        )
        self._authority.note_statement(said, asked_at)
        ownership = self._authority.fold
        if reply.position > ownership.position or not ownership.ready:
            await self._catch_up(link, ownership)
        config = self._folds[const.CONFIG_STREAM]
        if reply.config > config.state.version or not config.ready:
            await self._catch_up(link, config)

    async def _catch_up(self, link: EntryLink, fold: StreamFold) -> None:  # type: ignore[type-arg]
        """Gets from a peer what the log does not give just now."""
        if fold.ready and not fold.log_away:
            return
        if fold.ready:
            question = AskRecords(fold.stream, fold.position)
            answer = await self._ask(link, question)
            if isinstance(answer, RecordsAnswer) and answer.known:
                fold.feed(Record(o, body) for o, body in answer.records)
                return
        whole = await self._ask(link, AskFold(fold.stream))
        if isinstance(whole, FoldAnswer) and whole.position >= 0:
            ids = [FoldedId(*item) for item in whole.ids]
            fold.load(FoldDump(whole.position, whole.state, ids))

    async def _ask_acknowledgement(self, link: EntryLink) -> None:
        assert link.identity is not None
        member = link.identity.process
        if not self._authority.is_member or member in self._acknowledged_by:
            return
        answer = await self._ask(link, Acknowledge(self._mine.process))
        if isinstance(answer, Acknowledged) and answer.promised:
            self._acknowledged_by.add(member)
            self._authority.note_acknowledged_by(member)

    async def _join(self) -> None:
        """Asks in the log to be a member, until it is one."""
        fold = self._authority.fold
        while not fold.ready:
            await trio.sleep(const.CLAIM_INTERVAL)
        joined = MemberJoined(*self._mine)
        while not self._authority.is_member:
            if fold.state.is_removed(self._mine.process):
                return
            await self._authority.join(joined, const.JOIN_TIMEOUT)
            await trio.sleep(const.CLAIM_INTERVAL)

    async def _remove_gone(self) -> None:
        """Records that members are gone, after the wait of the rules."""
        while True:
            await trio.sleep(const.SYNC_INTERVAL)
            for member in list(self._authority.fold.state.members.values()):
                if self._may_remove(member):
                    await self._authority.remove(
                        member.process, const.JOIN_TIMEOUT
                    )

    def _may_remove(self, member: Member) -> bool:
        if member.process == self._mine.process or not self._is_gone(member):
            self._gone_since.pop(member.process, None)
            return False
        now = trio.current_time()
        since = self._gone_since.setdefault(member.process, now)
        wait = self._authority.timing.takeover_wait
        return now - since >= wait + self._turn(member)

    def _turn(self, member: Member) -> float:
        """Returns how long to leave the removal to the members before."""
        ranked = rank_candidates(
            f"remove:{member.process}", member.zone, self.candidates()
        )
        place = len(ranked)
        if self._mine.process in ranked:
            place = ranked.index(self._mine.process)
        return place * const.SYNC_INTERVAL * 2

    def _is_gone(self, member: Member) -> bool:
        if self._vms.is_gone(member.name):
            return True
        link = self._links.get(member.address)
        if member.address == self._mine.address:
            return started_at(self._mine.process) > started_at(member.process)
        if link is None or link.identity is None or not link.connected:
            return False
        newer = started_at(link.identity.process) > started_at(member.process)
        return newer and link.identity.process != member.process


def started_at(process: str) -> int:
    """Returns when a process started, in ms, from its id; a hint only."""
    parts = process.split(":")
    try:
        return int(parts[1], 16)
    except (IndexError, ValueError):
        return 0
