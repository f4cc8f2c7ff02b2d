"""Exclusive ownership of named resources, claimed in the log and fenced.

A claim is a record whose offset plus one is the epoch and the fencing token.
Every reader folds the same claims, so the order of the log decides races. The
rules on what an owner may do between reads are in `authority`.
"""

from typing import NamedTuple

import msgspec

from pimentocross.backing.log import RecordBody
from pimentocross.contracts.records import RecordKinds

NO_EPOCH = 0
# Removed processes that are remembered, so that none of them joins again.
MAX_REMOVED_PROCESSES = 2_000


class MemberJoined(NamedTuple):
    """A process asks to become a member, which may own resources."""

    process: str
    name: str
    address: str
    zone: str


class MemberRemoved(NamedTuple):
    """A member's VM is gone, or a newer process runs at its address."""

    process: str


class Claimed(NamedTuple):
    """A member claims a resource whose latest known epoch is `base`."""

    resource: str
    process: str
    base: int


class Released(NamedTuple):
    """An owner releases a resource, having stopped acting on it."""

    resource: str
    epoch: int


OwnershipRecord = MemberJoined | MemberRemoved | Claimed | Released

KINDS: RecordKinds[OwnershipRecord] = RecordKinds(
    {
        "member-joined": MemberJoined,
        "member-removed": MemberRemoved,
        "claimed": Claimed,
        "released": Released,
    }
)


class Member(NamedTuple):
    """A folded member; `offset` is that of its `MemberJoined` record."""

    process: str
    name: str
    address: str
    zone: str
    offset: int


class Ownership(NamedTuple):
    """The owner of a resource.

    Attributes:
        resource: The name of the resource.
        epoch: Offset of the claim plus one; 0 means never claimed.
        process: The owner, or the last owner if the resource was released.
        released: True once the owner has released the resource.
    """

    resource: str
    epoch: int
    process: str
    released: bool


class _Dump(NamedTuple):
    members: list[Member]
    removed: list[str]
    ownerships: list[Ownership]


class OwnershipState:
    """The members and owners, folded from the ownership stream."""

    def __init__(self) -> None:
        """Initializes the state without members and owners."""
        self._members: dict[str, Member] = {}
        self._removed: dict[str, None] = {}
        self._ownerships: dict[str, Ownership] = {}

    @property
    def members(self) -> dict[str, Member]:
        """Members by process id."""
        return self._members

    @property
    def ownerships(self) -> dict[str, Ownership]:
        """Ownerships by resource."""
        return self._ownerships

    def is_removed(self, process: str) -> bool:
        """True if the process was removed and may not join again."""
        return process in self._removed

    def ownership(self, resource: str) -> Ownership:
        """Returns the ownership of a resource; epoch 0 if never claimed."""
        unowned = Ownership(resource, NO_EPOCH, "", True)
        return self._ownerships.get(resource, unowned)

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Folds one record; returns the reason if it is rejected, or None."""
        match KINDS.decode(body):
            case MemberJoined() as joined:
                return self._apply_joined(offset, joined)
            case MemberRemoved() as removed:
                return self._apply_removed(removed)
            case Claimed() as claimed:
                return self._apply_claimed(offset, claimed)
            case Released() as released:
                return self._apply_released(released)
            case _:
                return "unknown record"

    def dump(self) -> RecordBody:
        """Returns the whole state as JSON values."""
        return {
            "members": [list(m) for m in self._members.values()],
            "removed": list(self._removed),
            "ownerships": [list(o) for o in self._ownerships.values()],
        }

    def load(self, dump: RecordBody) -> None:
        """Replaces the state with a dumped one."""
        parts = [dump[name] for name in _Dump._fields]
        loaded = msgspec.convert(parts, _Dump)
        self._members = {m.process: m for m in loaded.members}
        self._removed = dict.fromkeys(loaded.removed)
        self._ownerships = {o.resource: o for o in loaded.ownerships}

    def _apply_joined(self, offset: int, joined: MemberJoined) -> str | None:
        if joined.process in self._removed:
            return "process was removed"
        if joined.process in self._members:
            return "process is a member already"
        self._members[joined.process] = Member(*joined, offset)
        return None

    def _apply_removed(self, removed: MemberRemoved) -> str | None:
        if removed.process not in self._members:
            return "process is not a member"
        del self._members[removed.process]
        self._removed[removed.process] = None
        while len(self._removed) > MAX_REMOVED_PROCESSES:
            del self._removed[next(iter(self._removed))]
        return None

    def _apply_claimed(self, offset: int, claimed: Claimed) -> str | None:
        if claimed.process not in self._members:
            return "claimant is not a member"
        current = self.ownership(claimed.resource)
        if claimed.base != current.epoch:
            return f"owned since epoch {current.epoch}"
        self._ownerships[claimed.resource] = Ownership(
            claimed.resource, offset + 1, claimed.process, False
        )
        return None

    def _apply_released(self, released: Released) -> str | None:
        current = self.ownership(released.resource)
        if released.epoch != current.epoch:
            return f"owned since epoch {current.epoch}"
        self._ownerships[released.resource] = current._replace(released=True)
        return None
