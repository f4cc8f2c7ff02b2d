"""Keeps a copy of the VM list by fetching it every second."""

import trio

from pimentocross.backing.vms import Vm, VmList, VmListUnavailableError

_FETCH_INTERVAL = 1.0


class VmFollower:
    """Holds the newest VM list that was fetched."""

    def __init__(self, vm_list: VmList) -> None:
        """Initializes the follower with the list to fetch."""
        self._vm_list = vm_list
        self._vms: list[Vm] = []
        self._ever_listed: set[str] = set()

    @property
    def vms(self) -> list[Vm]:
        """All listed VMs."""
        return self._vms

    def is_gone(self, name: str) -> bool:
        """Returns whether a VM was listed before and no longer is.

        A VM that was never listed may be too new, as the list lags behind.
        """
        listed = any(vm.name == name for vm in self._vms)
        return name in self._ever_listed and not listed

    async def run(self) -> None:
        """Fetches the list periodically until cancelled."""
        while True:
            try:
                self._vms = await self._vm_list.fetch()
                self._ever_listed.update(vm.name for vm in self._vms)
            except VmListUnavailableError:
                pass
            await trio.sleep(_FETCH_INTERVAL)
