"""When a process may act as owner of a resource, and when it may claim one.

Three rules keep two owners from acting at once, without a vote:

1. An owner acts only within the confidence window after it read the
   ownership stream to its end, itself or through a peer, or after every
   other member stated directly that it has read no further.
2. A claimant waits before it acts on anything on which an unreachable holder
   may still have a lease: the confidence window and the lease must have
   passed since the claimant read its own claim.
3. A member may claim only after every earlier member has acknowledged it.
   From then on, each of them includes it in the members it asks under
   rule 1.

All times are on this process's monotonic clock. The time of an answer is the
time before its request was sent.
"""

from typing import NamedTuple

import trio

from pimentocross.contracts import const
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Verdict
from pimentocross.contracts.ownership import (
    KINDS,
    Claimed,
    MemberJoined,
    MemberRemoved,
    OwnershipState,
    Released,
)

NEVER = float("-inf")


class Timing(NamedTuple):
    """Durations of the ownership rules, in seconds.

    Attributes:
        confidence: How long an owner may act after a confirmation.
        lease: The longest lease that an owner grants.
        drift: Largest relative difference between two clocks' rates.
    """

    confidence: float = const.CONFIDENCE_WINDOW
    lease: float = const.LEASE
    drift: float = const.CLOCK_DRIFT

    @property
    def lease_wait(self) -> float:
        """How long a lease timed by another clock can take to expire."""
        return self.lease * (1 + self.drift)

    @property
    def takeover_wait(self) -> float:
        """How long a claimant waits for an unreachable holder's leases."""
        return (self.confidence + self.lease) * (1 + self.drift)


class Statement(NamedTuple):
    """A member's answer to the question how far it has read the stream.

    Attributes:
        member: Process id of the member that answers.
        position: Its position in the ownership stream.
        read_age: Seconds since it sent the latest read that reached the
            stream's end, or None if no read has reached it.
        acknowledged: Newcomers that it has acknowledged but that may not be
            in its fold yet.
    """

    member: str
    position: int
    read_age: float | None
    acknowledged: list[str]


class Authority:
    """What one process may do under the ownership rules."""

    def __init__(
        self,
        fold: StreamFold[OwnershipState],
        process: str,
        timing: Timing,
    ) -> None:
        """Initializes the authority of a process.

        Args:
            fold: The fold of the ownership stream.
            process: The process id, which is never used again.
            timing: The durations of the rules.
        """
        self._fold = fold
        self._process = process
        self._timing = timing
        self._statement_at: dict[str, float] = {}
        self._peer_read_to_end_at = NEVER
        self._acknowledged: set[str] = set()
        self._acknowledged_by: set[str] = set()
        self._claim_read_at: dict[str, float] = {}

    @property
    def timing(self) -> Timing:
        """The durations of the rules."""
        return self._timing

    @property
    def process(self) -> str:
        """This process's id."""
        return self._process

    @property
    def fold(self) -> StreamFold[OwnershipState]:
        """The fold of the ownership stream."""
        return self._fold

    @property
    def confirmed_at(self) -> float:
        """When the latest confirmation under rule 1 was requested."""
        if not self._fold.ready:
            return NEVER
        read_at = max(self._fold.read_to_end_at, self._peer_read_to_end_at)
        return max(read_at, self._all_statements_at())

    @property
    def may_act_until(self) -> float:
        """Until when this process may act on the resources it owns."""
        return self.confirmed_at + self._timing.confidence

    @property
    def is_member(self) -> bool:
        """True if the fold holds this process as a member."""
        return self._process in self._fold.state.members

    def statement(self) -> Statement:
        """Returns how far this member has read the stream, as of now."""
        read_at = self._fold.read_to_end_at
        age = None if read_at == NEVER else trio.current_time() - read_at
        return Statement(
            self._process,
            # The position in the stream is valid even while records are missing
            # before it (a gap): the records after the gap were read.
            self._fold.position,
            age,
            sorted(self._newcomers()),
        )

    def acknowledge(self, newcomer: str) -> bool:
        """Counts a newcomer among the members whose statements are needed.

        Without a statement of each member, this process is confirmed as owner
        only by a read to the end of the ownership stream.

        Returns:
            False if the newcomer was removed and is therefore not included.
        """
        if self._fold.state.is_removed(newcomer):
            return False
        self._acknowledged.add(newcomer)
        return True

    def note_acknowledged_by(self, member: str) -> None:
        """Records that a member has acknowledged this process."""
        self._acknowledged_by.add(member)

    def note_statement(self, statement: Statement, asked_at: float) -> bool:
        """Records a member's statement on how far it has read the stream.

        Returns:
            False if the statement doesn't count as a confirmation, because the
            member has read further than this fold or this fold is not ready.
        """
        for newcomer in statement.acknowledged:
            if newcomer != self._process:
                self.acknowledge(newcomer)
        if not self._fold.ready or statement.position > self._fold.position:
            return False
        self._statement_at[statement.member] = asked_at
        if statement.read_age is not None:
            read_at = asked_at - statement.read_age * (1 + self._timing.drift)
            # This fold's position is not below the end that the member read.
            self._peer_read_to_end_at = max(self._peer_read_to_end_at, read_at)
        return True

    def may_act(self, resource: str) -> bool:
        """True if this process owns the resource and is confirmed."""
        return self.owns(resource) and trio.current_time() < self.may_act_until

    def owns(self, resource: str) -> bool:
        """True if this process owns a resource by its fold of the stream.

        The newest folded claim must be its own and not released, and this
        process must still be a member.
        """
        ownership = self._fold.state.ownership(resource)
        is_own = ownership.process == self._process
        return is_own and not ownership.released and self.is_member

    def epoch(self, resource: str) -> int:
        """Returns the newest folded epoch of a resource, 0 if never claimed."""
        return self._fold.state.ownership(resource).epoch

    def may_claim(self) -> bool:
        """True if every earlier member has acknowledged this one."""
        members = self._fold.state.members
        own = members.get(self._process)
        if own is None or not self._fold.ready:
            return False
        earlier = {m.process for m in members.values() if m.offset < own.offset}
        return earlier <= self._acknowledged_by

    def takeover_done_at(self, resource: str) -> float:
        """Returns when the wait of rule 2 for unreachable holders ends."""
        read_at = self._claim_read_at.get(resource)
        if read_at is None:
            return float("inf")
        return read_at + self._timing.takeover_wait

    async def join(self, joined: MemberJoined, timeout: float) -> Verdict:
        """Appends a request to become a member."""
        return await self._publish(KINDS.encode(joined), timeout)

    async def remove(self, member: str, timeout: float) -> Verdict:
        """Appends that a member's VM is gone."""
        return await self._publish(KINDS.encode(MemberRemoved(member)), timeout)

    async def claim(self, resource: str, timeout: float) -> Verdict:
        """Claims a resource, provided its epoch is still the folded one."""
        base = self.epoch(resource)
        record = Claimed(resource, self._process, base)
        return await self._publish(KINDS.encode(record), timeout)

    async def release(self, resource: str, timeout: float) -> Verdict:
        """Releases a resource; the caller must have stopped acting on it."""
        record = Released(resource, self.epoch(resource))
        return await self._publish(KINDS.encode(record), timeout)

    def note_claim_read(self, resource: str) -> None:
        """Starts the wait of rule 2, as this process read its own claim."""
        self._claim_read_at[resource] = trio.current_time()

    async def _publish(
        self, body: dict[str, object], timeout: float
    ) -> Verdict:
        return await self._fold.publish(body, timeout=timeout)

    def _newcomers(self) -> set[str]:
        state = self._fold.state
        return {
            n
            for n in self._acknowledged
            if n not in state.members and not state.is_removed(n)
        }

    def _all_statements_at(self) -> float:
        asked = set(self._fold.state.members) | self._newcomers()
        asked.discard(self._process)
        if not asked:
            # Without other members, nobody could report a take-over, so only
            # reads count as confirmation.
            return NEVER
        return min(self._statement_at.get(member, NEVER) for member in asked)
