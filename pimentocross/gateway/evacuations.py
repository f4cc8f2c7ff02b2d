"""Keeps which availability zones are evacuated, as known to this VM."""

import trio

from pimentocross.gateway import const
from pimentocross.observe.decisions import note


class Evacuations:
    """The evacuations in force on this VM; see `ZoneAccess`.

    No zone is open while this VM may lack an evacuation that has to be in
    force already, since a start can't be undone.
    """

    def __init__(self, within: float) -> None:
        """Initializes an empty set of evacuated zones.

        Until the first `update` no zone is open, unless `within` is infinite.

        Args:
            within: Seconds within which an evacuation has to be in force, from
                its acknowledgement on; infinite in deployments without
                evacuations.
        """
        self._current_within = within * const.EVACUATION_MAX_AGE_SHARE
        self._zones: frozenset[str] = frozenset()
        self._known_at = float("-inf")

    @property
    def zones(self) -> frozenset[str]:
        """The zones that are known to be evacuated."""
        return self._zones

    def is_open(self, zone: str) -> bool:
        """Returns whether runs may be started in a zone; see `ZoneAccess`."""
        return zone not in self._zones and self._is_current()

    def update(self, zones: frozenset[str], known_at: float) -> None:
        """Replaces the set of evacuated zones.

        Args:
            zones: All evacuated zones.
            known_at: Monotonic time up to which there was no newer change, or
                -inf if there may be a newer one.
        """
        for zone in sorted(zones - self._zones):
            note("zone_evacuated", zone=zone)
        for zone in sorted(self._zones - zones):
            note("zone_restored", zone=zone)
        self._zones = zones
        self._known_at = max(self._known_at, known_at)

    def _is_current(self) -> bool:
        if self._current_within == float("inf"):
            return True
        return trio.current_time() - self._known_at < self._current_within
