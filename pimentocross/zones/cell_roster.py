"""The workers of a cell: recorded ones, and new ones on the VM list."""

from collections.abc import Callable

import trio

from pimentocross.backing.vms import Vm, VmRole, VmState
from pimentocross.backing.workers import WorkerDialer
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.fold import StreamFold
from pimentocross.vms.worker import Worker, WorkerEvents
from pimentocross.zones import const
from pimentocross.zones.cell_records import CellRecorder
from pimentocross.zones.cell_state import CellState


class CellRoster:
    """Keeps a connection to each worker of a cell.

    Attributes:
        workers: Workers by name; each runs in the owner's nursery.
    """

    def __init__(
        self,
        zone: str,
        epoch: int,
        authority: Authority,
        fold: StreamFold[CellState],
        dialer: WorkerDialer,
        list_vms: Callable[[], list[Vm]],
        recorder: CellRecorder,
        events: WorkerEvents,
    ) -> None:
        """Initializes the roster without workers.

        Args:
            zone: Availability zone, which is also the cell's name.
            epoch: Epoch of the ownership.
            authority: Ownerships of this process and their epochs.
            fold: The cell's stream and its state.
            dialer: Connects to workers.
            list_vms: Returns the VMs that the platform lists.
            recorder: Records new workers.
            events: Receives the workers' events.
        """
        self.workers: dict[str, Worker] = {}
        self._zone = zone
        self._epoch = epoch
        self._authority = authority
        self._fold = fold
        self._dialer = dialer
        self._list_vms = list_vms
        self._recorder = recorder
        self._events = events

    def uncontacted(self) -> list[str]:
        """Returns the workers that have not answered under this ownership."""
        return [w.name for w in self.workers.values() if not w.ever_synced]

    async def follow_vm_list(self) -> None:
        """Updates the workers from the VM list until cancelled."""
        while True:
            self.sync()
            await trio.sleep(const.VM_LIST_INTERVAL)

    def sync(self) -> None:
        """Adds new workers and marks those that are leaving."""
        nursery = self._recorder.nursery
        listed = {
            vm.name: vm
            for vm in self._list_vms()
            if vm.role is VmRole.WORKER and vm.zone == self._zone
        }
        for name, address in self._fold.state.roster.items():
            current = listed[name].address if name in listed else address
            self._add(name, current)
        for name, vm in listed.items():
            if name not in self._fold.state.roster and nursery is not None:
                nursery.start_soon(self._record, name, vm.address)
            worker = self.workers.get(name)
            leaving = vm.state is VmState.LEAVING
            if worker is not None and leaving and not worker.leaving:
                worker.leaving = True
                self._events.on_change(worker)

    async def _record(self, name: str, address: str) -> None:
        if await self._recorder.record_worker(name, address):
            self._add(name, address)

    def _add(self, name: str, address: str) -> None:
        nursery = self._recorder.nursery
        if name in self.workers or nursery is None or self._recorder.stopped:
            return
        worker = Worker(
            name,
            self._zone,
            self._dialer.link(address),
            self._authority,
            self._epoch,
        )
        self.workers[name] = worker
        nursery.start_soon(worker.run, self._events)
