"""When a process may act as owner, and when it may claim.

Three rules keep two owners from acting at once, without a vote:

1. An owner acts only within the confidence window after it read the
   ownership stream to its end, itself or through a peer, or after every
   other member told it directly that it has read nothing further.
2. A claimant acts on what an unreachable holder may still hold only after
   the confidence window and the lease have passed since it read its claim.
3. A member may claim only after every earlier member has acknowledged it,
   so that each of them asks it too under rule 1.

All times are of this process's monotonic clock and count from before the
question was sent.
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
        confidence: How long one confirmation lets an owner act.
        lease: The longest lease that an owner grants.
        drift: Largest relative difference between two clocks' rates.
    """

    confidence: float = const.CONFIDENCE_WINDOW
    lease: float = const.LEASE
    drift: float = const.CLOCK_DRIFT

    @property
    def lease_wait(self) -> float:
        """How long to wait for a lease of another clock to lapse."""
        return self.lease * (1 + self.drift)

    @property
    def takeover_wait(self) -> float:
        """How long a claimant waits for what it cannot reach."""
        return (self.confidence + self.lease) * (1 + self.drift)


class Statement(NamedTuple):
    """What a member answers to "have you read anything further?".

    Attributes:
        member: Process id of the member that answers.
        position: Its position in the ownership stream.
        read_age: Seconds since it sent the read that last reached the
            stream's end, or None if it never did.
        acknowledged: Newcomers that it has acknowledged and that its fold
            may not hold yet.
    """

    member: str
    position: int
    read_age: float | None
    acknowledged: list[str]


class Authority:
    """One process's standing in the ownership stream."""

    def __init__(
        self,
        fold: StreamFold[OwnershipState],
        process: str,
        timing: Timing,
    ) -> None:
        """Binds a process id, unique for ever, to a fold and its timing."""
        self._fold = fold
        self._process = process
        self._timing = timing
        self._told_at: dict[str, float] = {}
        self._peer_read_at = NEVER
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
        """Start of the newest confirmation under rule 1."""
        if not self._fold.ready:
            return NEVER
        read_at = max(self._fold.read_to_end_at, self._peer_read_at)
        return max(read_at, self._told_by_all_at())

    @property
    def acts_until(self) -> float:
        """Until when this process may act on what it owns."""
        return self.confirmed_at + self._timing.confidence

    @property
    def is_member(self) -> bool:
        """True if the fold holds this process as a member."""
        return self._process in self._fold.state.members

    def statement(self) -> Statement:
        """Returns what this member can say now."""
        read_at = self._fold.read_to_end_at
        age = None if read_at == NEVER else trio.current_time() - read_at
        return Statement(
            self._process,
            # Also while a gap is open: what was read once was read.
            self._fold.position,
            age,
            sorted(self._newcomers()),
        )

    def acknowledge(self, newcomer: str) -> bool:
        """Promises to ask the newcomer too under rule 1.

        Returns:
            False if the newcomer was removed, so that nothing is promised.
        """
        if self._fold.state.is_removed(newcomer):
            return False
        self._acknowledged.add(newcomer)
        return True

    def note_acknowledged_by(self, member: str) -> None:
        """Notes that a member has acknowledged this process."""
        self._acknowledged_by.add(member)

    def note_statement(self, said: Statement, asked_at: float) -> bool:
        """Takes a member's statement in.

        Returns:
            False if the member has read further, so that its statement
            counts only after this fold has caught up.
        """
        for newcomer in said.acknowledged:
            if newcomer != self._process:
                self.acknowledge(newcomer)
        if not self._fold.ready or said.position > self._fold.position:
            return False
        self._told_at[said.member] = asked_at
        if said.read_age is not None:
            read_at = asked_at - said.read_age * (1 + self._timing.drift)
            # The end that it read then lies below this fold's position.
            self._peer_read_at = max(self._peer_read_at, read_at)
        return True

    def may_act(self, resource: str) -> bool:
        """True if this process owns the resource and is confirmed."""
        return self.owns(resource) and trio.current_time() < self.acts_until

    def owns(self, resource: str) -> bool:
        """True if the newest claim folded is this process's."""
        ownership = self._fold.state.ownership(resource)
        mine = ownership.process == self._process
        return mine and not ownership.released and self.is_member

    def epoch(self, resource: str) -> int:
        """Returns the newest epoch folded."""
        return self._fold.state.ownership(resource).epoch

    def may_claim(self) -> bool:
        """True if every earlier member has acknowledged this one."""
        members = self._fold.state.members
        me = members.get(self._process)
        if me is None or not self._fold.ready:
            return False
        earlier = {m.process for m in members.values() if m.offset < me.offset}
        return earlier <= self._acknowledged_by

    def takeover_done_at(self, resource: str) -> float:
        """Returns when rule 2 lets this owner act on unreachable holders."""
        read_at = self._claim_read_at.get(resource)
        if read_at is None:
            return float("inf")
        return read_at + self._timing.takeover_wait

    async def join(self, joined: MemberJoined, timeout: float) -> Verdict:
        """Asks in the log to become a member."""
        return await self._publish(KINDS.encode(joined), timeout)

    async def remove(self, member: str, timeout: float) -> Verdict:
        """Records that a member's VM is gone."""
        return await self._publish(KINDS.encode(MemberRemoved(member)), timeout)

    async def claim(self, resource: str, timeout: float) -> Verdict:
        """Claims a resource from the epoch that this fold holds."""
        base = self.epoch(resource)
        record = Claimed(resource, self._process, base)
        return await self._publish(KINDS.encode(record), timeout)

    async def release(self, resource: str, timeout: float) -> Verdict:
        """Gives a resource up; the caller has stopped acting on it."""
        record = Released(resource, self.epoch(resource))
        return await self._publish(KINDS.encode(record), timeout)

    def note_claim_read(self, resource: str) -> None:
        """Starts rule 2's wait: this process has read its own claim."""
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

    def _told_by_all_at(self) -> float:
        asked = set(self._fold.state.members) | self._newcomers()
        asked.discard(self._process)
        if not asked:
            # Alone, nobody could tell of a take-over: only reads count.
            return NEVER
        return min(self._told_at.get(member, NEVER) for member in asked)
