"""Random jitter for pauses, so that processes don't act simultaneously."""

import random
from typing import Final

# Largest share of a pause that is subtracted at random.
_MAX_REDUCTION: Final = 0.3


def jittered(pause: float) -> float:
    """Returns the pause, shortened by a random share of it.

    An outage synchronizes all VMs. Without jitter they would all query a
    store that has recovered at the same moment, again and again.

    Args:
        pause: The longest pause to return, in seconds.
    """
    return pause * random.uniform(1.0 - _MAX_REDUCTION, 1.0)
