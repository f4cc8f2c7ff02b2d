"""Access to availability zones: to which of them new runs may be sent."""

from typing import Protocol


class ZoneAccess(Protocol):
    """Tells which zones operators have evacuated."""

    def is_open(self, zone: str) -> bool:
        """True if the zone is known to accept new runs now.

        It is False if the zone is evacuated or its state is not known.
        """
        ...


class AllZonesOpen:
    """Zone access for a deployment whose zones are never evacuated."""

    def is_open(self, zone: str) -> bool:
        """Returns True."""
        return True
