"""How often workers are asked what runs there.

Load pattern: hundreds of workers and a slow VM, so that listings at their usual
interval would take most of the owner's thread. What taking one in costs is
measured, and they come as often as a share of the thread allows: soon enough
for leases and for the figures by which tasks that fill are slowed.
"""

from collections.abc import Callable
from typing import Final

from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const

# Share of the thread that listings may take.
_SHARE: Final = 0.25
# A whole call costs the owner this many times what taking its listing in does.
_WHOLE: Final = 3.0
# Weight of a new measurement: of some seconds' listings of a small cell.
_WEIGHT: Final = 0.02
# A lease is asked for at least this many times while it lasts.
_RENEWALS: Final = 3


class ListingPace:
    """Chooses for how long workers wait for news; all times in seconds."""

    def __init__(
        self,
        lateness: LoopLateness,
        lease: float,
        workers: Callable[[], int],
    ) -> None:
        """Takes how late the thread is, the lease, and what counts workers."""
        self._lateness = lateness
        self._most = lease / _RENEWALS
        self._workers = workers
        self._cost = 0.0

    def note(self, took: float) -> None:
        """Notes how many seconds taking one listing in took."""
        self._cost += (took - self._cost) * _WEIGHT

    def wait(self, now: float, *, serving: bool) -> float:
        """Returns for how long a worker may wait before it lists.

        Args:
            now: Present time.
            serving: Whether tasks serve there beside tasks that fill.
        """
        least = const.HOLD_WAIT_SERVING if serving else const.HOLD_WAIT
        most = const.MAX_HOLD_WAIT_SERVING if serving else self._most
        fair = self._workers() * _WHOLE * self._cost / _SHARE
        # A late thread has less to spare than was measured.
        wait = max(least, fair) + self._lateness.recent_at(now)
        return min(wait, most)
