"""The order in which members claim a cell without an owner, and their delays.

VMs with the most cores go first: a new owner reads the state and calls every
worker at once, which takes a weak VM seconds. Among equal VMs a hash of name
and epoch decides, so that not always the same VM is first. Only the first few
turns are far enough apart for a claim to be known before the next one. The
others share one short period, because members that are down are listed too and
a full delay for each would take long. Two concurrent claims only cost one
refused append.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from pimentocross.gateway import const
from pimentocross.gateway.cluster import Member


class Turn(NamedTuple):
    """When a member may claim.

    Attributes:
        early: Whether the member is one of the first, usually the only ones to
            check in the store whether a suspected owner still writes.
        delay: Seconds to wait, so that the members before it can claim.
        claim_delay: Further seconds to wait for stronger members if the owner
            is suspected, since these may suspect it a little later.
    """

    early: bool
    delay: float
    claim_delay: float = 0.0


def find_turn(
    name: str, members: Mapping[str, Member], epoch: int, suspect: str
) -> Turn:
    """Returns a member's turn.

    Args:
        name: The member's VM.
        members: All members by VM, including those that are down.
        epoch: Epoch of the newest claim, or 0.
        suspect: The VM of the owner to be replaced, or "".
    """

    def order(vm: str) -> tuple[float, int]:
        return -_cores(members, vm), xxhash.xxh64_intdigest(
            f"{vm} {epoch}".encode()
        )

    mine = order(name)
    others = [vm for vm in members if vm not in (suspect, name)]
    rank = sum(order(vm) < mine for vm in others)
    turn = make_turn(rank, len(others) + 1)
    min_cores = _cores(members, name) * const.HAND_OVER_FACTOR
    if min_cores and any(_cores(members, vm) >= min_cores for vm in others):
        # Members late in the shared period already wait longer than most
        # stronger ones, so half of that wait is deducted.
        late = max(turn.delay - const.LATE_TURNS_AFTER, 0.0)
        turn = turn._replace(claim_delay=const.WEAKER_VM_CLAIM_DELAY - late / 2)
    return turn


def _cores(members: Mapping[str, Member], vm: str) -> float:
    """Returns the number of a VM's cores, or 0 if it isn't known."""
    member = members.get(vm)
    return member.cores if member is not None else 0.0


def make_turn(rank: int, candidates: int) -> Turn:
    """Returns the turn for a rank (from 0) among so many candidates."""
    late = rank - const.EARLY_TURNS
    if late < 0:
        return Turn(True, rank * const.TURN_STEP)
    rest = candidates - const.EARLY_TURNS
    step = min(const.TURN_STEP, const.LATE_TURNS_SPAN / rest)
    return Turn(False, const.LATE_TURNS_AFTER + late * step)


def find_stronger(
    name: str, members: Mapping[str, Member], reachable: Iterable[str]
) -> str:
    """Returns a reachable VM with far more cores than the owner's, or "".

    Load pattern: all strong VMs are down when the cell is claimed, so a weak
    one still owns hundreds of workers when they come back.

    Args:
        name: The owner's VM.
        members: All members by VM.
        reachable: VMs with which there was contact recently.
    """
    mine = members.get(name)
    if mine is None or not mine.cores:
        return ""
    min_cores = mine.cores * const.HAND_OVER_FACTOR
    return next(
        (
            vm
            for vm in reachable
            if vm in members and members[vm].cores >= min_cores
        ),
        "",
    )


def heartbeat_interval(members: int, *, early: bool) -> float:
    """Returns the seconds between two heartbeats of a member to the owner.

    Load pattern: with hundreds of VMs, heartbeats at the usual interval would
    take much of the processor of an owner on a small VM. Members with early
    turns keep the short interval, so that the end of an owner is detected as
    fast as in a small cluster. The others learn of the new owner from the
    store.

    Args:
        members: Number of members.
        early: Whether this member has an early turn.
    """
    if early:
        return const.HEARTBEAT_INTERVAL
    fair = members / const.MAX_HEARTBEATS_PER_SECOND
    return min(
        max(const.HEARTBEAT_INTERVAL, fair), const.MAX_HEARTBEAT_INTERVAL
    )
