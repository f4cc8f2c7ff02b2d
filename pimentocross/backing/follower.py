"""Keeps a copy of the VM list, as fresh as the list gets."""

import trio

from pimentocross.backing.vms import Vm, VmList, VmListUnavailableError

_INTERVAL = 1.0


class VmFollower:
    """The newest list that was fetched."""

    def __init__(self, vm_list: VmList) -> None:
        """Takes the list to fetch."""
        self._vm_list = vm_list
        self._vms: list[Vm] = []
        self._ever_listed: set[str] = set()

    @property
    def vms(self) -> list[Vm]:
        """All VMs listed."""
        return self._vms

    def is_gone(self, name: str) -> bool:
        """True if a VM was listed once and is not any more.

        One that was never listed may be too new for a lagging list.
        """
        listed = any(vm.name == name for vm in self._vms)
        return name in self._ever_listed and not listed

    async def run(self) -> None:
        """Fetches the list for ever."""
        while True:
            try:
                self._vms = await self._vm_list.fetch()
                self._ever_listed.update(vm.name for vm in self._vms)
            except VmListUnavailableError:
                pass
            await trio.sleep(_INTERVAL)
