"""A fake VM list that can lag behind."""

from collections import deque

import msgspec
import trio
import xxhash

from pimentocross.backing.vms import Vm, VmListUnavailableError, VmState
from pimentocross.links.asgi import (
    App,
    HttpReply,
    HttpRequest,
    Receive,
    Scope,
    Send,
    json_reply,
    read_request,
    send_reply,
)
from pimentocross.standins.faults import FaultError, FaultPlan, Faults

_MAX_BODY_BYTES = 64 * 1024


class VmListStandin:
    """A VM list that is reported with a lag; implements `VmList`.

    Attributes:
        faults: The injected faults.
        lag: Seconds by which the reported list is out of date.
    """

    def __init__(self, lag: float = 0.0) -> None:
        """Initializes an empty list; `lag` is in seconds."""
        self.faults = Faults()
        self.lag = lag
        self._vms: dict[str, Vm] = {}
        self._history: deque[tuple[float, list[Vm]]] = deque()

    def put(self, vm: Vm) -> None:
        """Adds a VM, replacing one of the same name."""
        self._vms[vm.name] = vm
        self._record_snapshot()

    def remove(self, name: str) -> None:
        """Removes a VM, if it is listed."""
        self._vms.pop(name, None)
        self._record_snapshot()

    def leave(self, name: str) -> None:
        """Marks a listed VM as leaving."""
        if name in self._vms:
            vm = self._vms[name]
            self._vms[name] = vm._replace(state=VmState.LEAVING)
            self._record_snapshot()

    async def fetch(self) -> list[Vm]:
        """Returns the list as it was `lag` seconds ago; see `VmList`."""
        try:
            await self.faults.before()
        except FaultError as error:
            raise VmListUnavailableError(str(error)) from error
        seen_at = trio.current_time() - self.lag
        while len(self._history) > 1 and self._history[1][0] <= seen_at:
            self._history.popleft()
        if not self._history or self._history[0][0] > seen_at:
            return []
        return self._history[0][1]

    def _record_snapshot(self) -> None:
        entry = (trio.current_time(), list(self._vms.values()))
        self._history.append(entry)


def make_vms_app(vms: VmListStandin) -> App:
    """Returns an ASGI app that serves a VM list stand-in over HTTP."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        request = await read_request(
            scope, receive, max_body_bytes=_MAX_BODY_BYTES, timeout=10.0
        )
        name = request.path.removeprefix("/vms").strip("/")
        try:
            if request.path == "/faults":
                plan = msgspec.json.decode(request.body)
                vms.faults.plan = FaultPlan(**plan)
            elif request.method == "PUT":
                vms.put(msgspec.json.decode(request.body, type=Vm))
            elif request.method == "POST":
                vms.leave(name)
            elif request.method == "DELETE":
                vms.remove(name)
            reply = _with_etag(json_reply(await vms.fetch()), request)
        except VmListUnavailableError:
            reply = json_reply({"error": "injected fault"}, status=503)
        await send_reply(send, reply)

    return app


def _with_etag(reply: HttpReply, request: HttpRequest) -> HttpReply:
    """Adds an ETag; replies 304 if the requester has this version."""
    etag = xxhash.xxh3_64_hexdigest(reply.body)
    headers = [*reply.headers, (b"etag", etag.encode())]
    if request.header(b"if-none-match") == etag:
        return HttpReply(304, [(b"etag", etag.encode())], b"")
    return HttpReply(reply.status, headers, reply.body)
