"""Links to worker stand-ins in the same process, without HTTP."""

from pimentocross.backing.workers import (
    Exchange,
    ExchangeReply,
    WorkerLink,
    WorkerUnreachableError,
)
from pimentocross.standins.worker import WorkerStandin


class DirectDialer:
    """Creates links to workers in this process by their address."""

    def __init__(self) -> None:
        """Initializes the dialer without workers."""
        self.workers: dict[str, WorkerStandin] = {}

    def link(self, address: str) -> WorkerLink:
        """Returns a link that looks up the worker at each exchange."""
        return _DirectLink(self, address)


class _DirectLink:
    """A link to the worker that currently has an address."""

    def __init__(self, dialer: DirectDialer, address: str) -> None:
        self._dialer = dialer
        self._address = address

    async def exchange(self, request: Exchange) -> ExchangeReply:
        """Passes commands to the worker; see `WorkerLink`."""
        worker = self._dialer.workers.get(self._address)
        if worker is None:
            raise WorkerUnreachableError("no worker there")
        return await worker.exchange(request)
