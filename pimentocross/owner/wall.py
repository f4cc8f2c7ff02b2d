"""Wall-clock time, read in one place so that tests can use virtual time."""

import time


def now() -> float:
    """Returns seconds since the Unix epoch."""
    return time.time()
