"""Interface of the platform's VM list, which may be out of date."""

from enum import StrEnum
from typing import NamedTuple, Protocol


class VmRole(StrEnum):
    """Role of a VM."""

    ENTRY = "entry"
    WORKER = "worker"


class VmState(StrEnum):
    """State of a listed VM. A VM that is gone is not listed."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """A listed VM.

    Attributes:
        name: Name, which a replacement VM may reuse.
        role: Entry VM or worker.
        address: host:port of its control listener.
        zone: Availability zone.
        rack: Rack within the zone.
        state: Live or leaving.
        process: Id of the process that registered the VM.
    """

    name: str
    role: VmRole
    address: str
    zone: str
    rack: str
    state: VmState
    process: str


class VmListUnavailableError(Exception):
    """The VM list could not be read."""


class VmList(Protocol):
    """Reads the VM list."""

    async def fetch(self) -> list[Vm]:
        """Returns all listed VMs.

        Raises:
            VmListUnavailableError: The list could not be read.
        """
        ...
