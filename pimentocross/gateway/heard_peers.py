"""Which peers were heard lately."""

import trio


class HeardPeers:
    """When each VM last asked this one something; times are monotonic."""

    def __init__(self) -> None:
        """Has heard nobody yet."""
        self._heard_at: dict[str, float] = {}
        self._newest = float("-inf")

    @property
    def newest_at(self) -> float:
        """When a peer was last heard, or -inf."""
        return self._newest

    def note(self, vm: str) -> None:
        """Notes that a VM is heard now."""
        self._newest = self._heard_at[vm] = trio.current_time()

    def since(self, moment: float) -> list[str]:
        """Returns the VMs that were heard after a moment."""
        return [vm for vm, at in self._heard_at.items() if at > moment]
