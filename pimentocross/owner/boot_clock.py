"""Time since the VM's boot, read in one place so that tests can replace it.

Unlike the event loop's monotonic clock, it goes on while the VM is suspended.
"""

import time
from typing import Final

# Before any time of the clock.
NEVER: Final = float("-inf")


def now() -> float:
    """Returns the seconds since the VM's boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
