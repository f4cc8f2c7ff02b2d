"""Pauses that differ, so that processes don't act in step."""

import random
from typing import Final

# Of a pause, the share that may be left out.
_SHARE: Final = 0.3


def jittered(pause: float) -> float:
    """Returns a pause that is shorter than another by a random part of it.

    An outage brings all VMs into step; a store that comes back would then be
    asked by all of them at the same moment, again and again.

    Args:
        pause: Seconds, the longest that is returned.
    """
    return pause * random.uniform(1.0 - _SHARE, 1.0)
