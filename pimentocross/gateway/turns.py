"""In which order members claim a cell without an owner, and how far apart.

The strongest go first: a new owner reads the state and calls every worker at
once, which a weak VM needs seconds for. Among equals a hash with the epoch
decides, so that no VM is always the first. Only the first few turns are far
enough apart for a claim to be known before the next one; the others share a
span, since members that are down are listed as well. Two claims at once cost
one refused append.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from pimentocross.gateway import const
from pimentocross.gateway.cluster import Member


class Turn(NamedTuple):
    """When a member may claim.

    Attributes:
        early: Whether it is one of the first, who look at a suspect.
        delay: Seconds that it leaves to those before it.
        handicap: Seconds more that it leaves to stronger ones if the owner is
            suspected: they notice the same thing at other moments.
    """

    early: bool
    delay: float
    handicap: float = 0.0


def find_turn(
    name: str, members: Mapping[str, Member], epoch: int, suspect: str
) -> Turn:
    """Returns a member's turn.

    Args:
        name: Its VM.
        members: All members by VM, also those that are down.
        epoch: Of the newest claim, or 0.
        suspect: The VM that is to be replaced, or "".
    """

    def order(vm: str) -> tuple[float, int]:
        return -_cores(members, vm), xxhash.xxh64_intdigest(
            f"{vm} {epoch}".encode()
        )

    mine = order(name)
    others = [vm for vm in members if vm not in (suspect, name)]
    rank = sum(order(vm) < mine for vm in others)
    turn = make_turn(rank, len(others) + 1)
    least = _cores(members, name) * const.HAND_OVER_FACTOR
    if least and any(_cores(members, vm) >= least for vm in others):
        # The last ones of a span come no later for it than they have to.
        late = max(turn.delay - const.LATE_TURNS_AFTER, 0.0)
        turn = turn._replace(handicap=const.WEAK_HANDICAP - late / 2)
    return turn


def _cores(members: Mapping[str, Member], vm: str) -> float:
    """Returns a VM's processor in cores, or 0 if it isn't known."""
    member = members.get(vm)
    return member.cores if member is not None else 0.0


def make_turn(rank: int, candidates: int) -> Turn:
    """Returns the turn of a rank, from 0 on."""
    late = rank - const.EARLY_TURNS
    if late < 0:
        return Turn(True, rank * const.TURN_STEP)
    rest = candidates - const.EARLY_TURNS
    step = min(const.TURN_STEP, const.LATE_TURNS_SPAN / rest)
    return Turn(False, const.LATE_TURNS_AFTER + late * step)


def find_stronger(
    name: str, members: Mapping[str, Member], heard: Iterable[str]
) -> str:
    """Returns a VM that carries a cell much better than another, or "".

    Load pattern: all strong VMs are down as the cell is claimed, and a weak one
    owns hundreds of workers when they are back.

    Args:
        name: The VM that owns.
        members: All members by VM.
        heard: VMs that were heard lately.
    """
    mine = members.get(name)
    if mine is None or not mine.cores:
        return ""
    least = mine.cores * const.HAND_OVER_FACTOR
    return next(
        (vm for vm in heard if vm in members and members[vm].cores >= least),
        "",
    )


def heartbeat_interval(members: int, *, early: bool) -> float:
    """Returns the seconds from one heartbeat to the owner to the next.

    Load pattern: hundreds of VMs, whose heartbeats would take an owner on a
    small VM much of its processor. Those with an early turn notice its end as
    soon as ever, and the others learn from the store who replaced it.

    Args:
        members: All members.
        early: Whether this one's turn is early.
    """
    if early:
        return const.HEARTBEAT_INTERVAL
    fair = members / const.MAX_HEARTBEATS_PER_SECOND
    return min(
        max(const.HEARTBEAT_INTERVAL, fair), const.MAX_HEARTBEAT_INTERVAL
    )
