"""Who would own a resource: rendezvous hashing, weighted to be near it."""

from collections.abc import Iterable
import math
from typing import Final, NamedTuple

import xxhash

_NEAR_WEIGHT: Final = 8.0
_FAR_WEIGHT: Final = 1.0
_HASH_SPAN: Final = float(2**64)


class Candidate(NamedTuple):
    """A live member and its availability zone."""

    process: str
    zone: str


def rank_candidates(
    resource: str, zone: str, candidates: Iterable[Candidate]
) -> list[str]:
    """Returns processes, the one that should own the resource first."""
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
    weight = _NEAR_WEIGHT if candidate.zone == zone else _FAR_WEIGHT
    return weight / -math.log(unit)
