"""The time of day, in one place so that tests can run in virtual time."""

import time


def now() -> float:
    """Returns seconds since 1970."""
    return time.time()
