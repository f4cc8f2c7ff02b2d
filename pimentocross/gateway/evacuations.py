"""Which availability zones operators have evacuated, as a VM knows."""

import trio

from pimentocross.gateway import const
from pimentocross.observe.decisions import note


class Evacuations:
    """The evacuations in force on this VM; see `ZoneAccess`.

    No zone is open while an evacuation that has to be in force may be missing:
    a start can't be taken back.
    """

    def __init__(self, within: float) -> None:
        """Knows nothing yet, so no zone is open unless `within` is infinite.

        Args:
            within: Seconds after its acknowledgement within which an evacuation
                has to be in force; infinite where none is ever asked for.
        """
        self._current_within = within * const.EVACUATION_CURRENT_SHARE
        self._zones: frozenset[str] = frozenset()
        self._known_at = float("-inf")

    @property
    def zones(self) -> frozenset[str]:
        """The zones that are known to be evacuated."""
        return self._zones

    def is_open(self, zone: str) -> bool:
        """True if new runs may be sent to a zone; see `ZoneAccess`."""
        return zone not in self._zones and self._is_current()

    def take(self, zones: frozenset[str], known_at: float) -> None:
        """Takes in which zones are evacuated.

        Args:
            zones: All that are.
            known_at: Until when nothing newer was there, monotonic; -inf if
                there may be something newer.
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
