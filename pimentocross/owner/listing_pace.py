"""How often workers are asked to list their runs.

Load pattern: with hundreds of workers and a slow VM, listings at their usual
interval would take most of the owner's thread. So the cost of processing one is
measured, and their rate is limited to a share of the thread. They stay frequent
enough to renew leases and to read the figures by which best-effort tasks are
slowed.
"""

from collections.abc import Callable
from typing import Final

from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const

# Share of the owner's thread that listings may take.
_THREAD_SHARE: Final = 0.25
# Cost of a whole call as a multiple of processing its listing.
_CALL_COST_FACTOR: Final = 3.0
# Weight of a new measurement in the moving average, which covers some seconds
# of listings in a small cell.
_COST_WEIGHT: Final = 0.02
# Least number of renewals while a lease lasts.
_RENEWALS_PER_LEASE: Final = 3


class ListingPace:
    """Chooses how many seconds workers wait for changes before they list."""

    def __init__(
        self,
        lateness: LoopLateness,
        lease: float,
        workers: Callable[[], int],
    ) -> None:
        """Initializes the pace.

        Args:
            lateness: Measures how late the event loop is.
            lease: Length of leases.
            workers: Returns the number of workers.
        """
        self._lateness = lateness
        self._wait_most = lease / _RENEWALS_PER_LEASE
        self._count_workers = workers
        self._listing_cost = 0.0

    def note(self, took: float) -> None:
        """Adds a measurement of the seconds to process one listing."""
        self._listing_cost += (took - self._listing_cost) * _COST_WEIGHT

    def wait(self, now: float, *, serving: bool) -> float:
        """Returns how long a worker may wait for changes before it lists.

        Args:
            now: Present time.
            serving: Whether both serving and best-effort tasks run there.
        """
        least = const.LISTING_WAIT_SERVING if serving else const.LISTING_WAIT
        most = const.MAX_LISTING_WAIT_SERVING if serving else self._wait_most
        affordable = (
            self._count_workers()
            * _CALL_COST_FACTOR
            * self._listing_cost
            / _THREAD_SHARE
        )
        # A late thread has less time to spare than the measured cost suggests.
        wait = max(least, affordable) + self._lateness.recent_at(now)
        return min(wait, most)
