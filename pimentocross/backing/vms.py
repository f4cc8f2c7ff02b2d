"""The platform's list of VMs, which lags behind what is so."""

from enum import StrEnum
from typing import NamedTuple, Protocol


class VmRole(StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    WORKER = "worker"


class VmState(StrEnum):
    """What the list says of a VM. One that is gone is not listed."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One VM of the list.

    Attributes:
        name: Its name, which a replacement may take over.
        role: What it is for.
        address: Where its control listener answers, as host:port.
        zone: Its availability zone.
        rack: Its rack.
        state: Live or leaving.
        process: Id of the process that registered it.
    """

    name: str
    role: VmRole
    address: str
    zone: str
    rack: str
    state: VmState
    process: str


class VmListUnavailableError(Exception):
    """The list did not answer."""


class VmList(Protocol):
    """Reads the list."""

    async def fetch(self) -> list[Vm]:
        """Returns all VMs listed.

        Raises:
            VmListUnavailableError: No answer.
        """
        ...
