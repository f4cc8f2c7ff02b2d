"""Records when each peer last contacted this process."""

import trio


class PeerActivity:
    """The monotonic time of the last message from each VM."""

    def __init__(self) -> None:
        """Initializes a record without any contact."""
        self._last_contact_at: dict[str, float] = {}
        self._newest_contact_at = float("-inf")

    @property
    def newest_contact_at(self) -> float:
        """When any peer last contacted this process, or -inf."""
        return self._newest_contact_at

    def note(self, vm: str) -> None:
        """Records a message from a VM at the current time."""
        self._newest_contact_at = self._last_contact_at[vm] = (
            trio.current_time()
        )

    def active_since(self, moment: float) -> list[str]:
        """Returns the VMs that sent a message after a moment."""
        return [vm for vm, at in self._last_contact_at.items() if at > moment]
