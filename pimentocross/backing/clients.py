"""HTTP clients of the platform's services, in an assumed wire format."""

from collections.abc import Sequence

import msgspec

from pimentocross.backing import const
from pimentocross.backing.http import JsonClient, JsonError
from pimentocross.backing.log import (
    LogUnavailableError,
    ReadPage,
    RecordBody,
)
from pimentocross.backing.vms import Vm, VmListUnavailableError
from pimentocross.backing.workers import (
    Exchange,
    ExchangeReply,
    Refusal,
    WorkerLink,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from pimentocross.contracts.progress import AnswerProgress

_OK = 200
_NOT_MODIFIED = 304
_CONFLICT = 409


class HttpLogService:
    """Client of the log service over HTTP."""

    def __init__(self, address: str) -> None:
        """Initializes the client with the service's host:port."""
        self._client = JsonClient(address)

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        return self._client.bytes_moved

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        """Appends records; see `LogService`."""
        path = f"/streams/{stream}/append"
        try:
            reply = await self._client.request_json(
                "POST", path, list(bodies), const.APPEND_TIMEOUT
            )
        except JsonError as error:
            raise LogUnavailableError(str(error), sent=error.sent) from error
        if reply.status != _OK:
            raise LogUnavailableError(f"status {reply.status}", sent=True)
        return int(reply.body["first"])

    async def read(
        self,
        stream: str,
        start: int,
        wait: float,
        progress: AnswerProgress | None = None,
    ) -> ReadPage:
        """Reads records; see `LogService`."""
        path = f"/streams/{stream}?from={start}&wait={wait}"
        timeout = wait + const.READ_TIMEOUT
        try:
            reply = await self._client.request_json(
                "GET", path, None, timeout, progress=progress
            )
            if reply.status != _OK:
                raise LogUnavailableError(f"status {reply.status}", sent=False)
            return msgspec.convert(reply.body, ReadPage)
        except (JsonError, msgspec.ValidationError) as error:
            raise LogUnavailableError(str(error), sent=False) from error


class HttpVmList:
    """Client of the VM list; the list is transferred only when it changed."""

    def __init__(self, address: str) -> None:
        """Initializes the client with the service's host:port."""
        self._client = JsonClient(address)
        self._etag = ""
        self._vms: list[Vm] = []

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        return self._client.bytes_moved

    async def fetch(self) -> list[Vm]:
        """Returns all listed VMs; see `VmList`."""
        try:
            reply = await self._client.request_json(
                "GET", "/vms", None, const.VM_LIST_TIMEOUT, etag=self._etag
            )
            if reply.status != _NOT_MODIFIED:
                self._vms = msgspec.convert(reply.body, list[Vm])
                self._etag = reply.etag
            return self._vms
        except (JsonError, msgspec.ValidationError) as error:
            raise VmListUnavailableError(str(error)) from error


class HttpWorkerLink:
    """Link to one worker over HTTP."""

    def __init__(self, address: str, key: str) -> None:
        """Initializes the link with the worker's host:port and access key."""
        self._client = JsonClient(address, key)

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received since the start."""
        return self._client.bytes_moved

    async def exchange(self, request: Exchange) -> ExchangeReply:
        """Sends commands; see `WorkerLink`."""
        try:
            reply = await self._client.request_json(
                "POST", "/exchange", request, const.EXCHANGE_TIMEOUT
            )
            if reply.status == _OK:
                return msgspec.convert(reply.body, ExchangeReply)
            if reply.status == _CONFLICT:
                refusal = Refusal(reply.body["refusal"])
                raise WorkerRefusedError(refusal)
            raise WorkerUnreachableError(f"status {reply.status}")
        except (JsonError, msgspec.ValidationError) as error:
            raise WorkerUnreachableError(str(error)) from error


class HttpWorkerDialer:
    """Creates and caches HTTP links to workers."""

    def __init__(self, key: str) -> None:
        """Initializes the dialer with the access key of the workers."""
        self._key = key
        self._links: dict[str, HttpWorkerLink] = {}

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received on all links since the start."""
        return sum(link.bytes_moved for link in self._links.values())

    def link(self, address: str) -> WorkerLink:
        """Returns the link to the worker at host:port."""
        if address not in self._links:
            self._links[address] = HttpWorkerLink(address, self._key)
        return self._links[address]
