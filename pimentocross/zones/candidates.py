"""Ranks owner candidates by rendezvous hashing, preferring the same zone."""

from collections.abc import Iterable
import math
from typing import Final, NamedTuple

import xxhash

_SAME_ZONE_WEIGHT: Final = 8.0
_OTHER_ZONE_WEIGHT: Final = 1.0
_HASH_SPAN: Final = float(2**64)


class Candidate(NamedTuple):
    """A live member process and its availability zone."""

    process: str
    zone: str


def rank_candidates(
    resource: str, zone: str, candidates: Iterable[Candidate]
) -> list[str]:
    """Returns the candidates' processes, the preferred owner first.

    Every process that sees the same candidates computes the same order.

    Args:
        resource: Name of the resource to be owned.
        zone: Zone of the resource; its candidates get a higher weight.
        candidates: Live members.
    """
    scored = sorted(
        ((_score(resource, zone, c), c.process) for c in candidates),
        reverse=True,
    )
    return [process for _, process in scored]


def _score(resource: str, zone: str, candidate: Candidate) -> float:
    digest = xxhash.xxh3_64_intdigest(
        f"{resource}\0{candidate.process}".encode()
    )
    unit = (digest + 1) / (_HASH_SPAN + 1)
    weight = _SAME_ZONE_WEIGHT if candidate.zone == zone else _OTHER_ZONE_WEIGHT
    return weight / -math.log(unit)
