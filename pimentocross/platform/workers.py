"""Client of the platform's workers: one HTTP call for each order."""

from typing import Any, Final

import msgspec

from pimentocross.contracts.worker_link import (
    HoldReply,
    StartOrder,
    StartReply,
    StartVerdict,
    WorkerFencedError,
    WorkerLife,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from pimentocross.links.asgi import Headers, HttpReply
from pimentocross.links.http_pool import HttpCallError, HttpPool
from pimentocross.platform.wire import (
    WireError,
    read_hold,
    read_refusal,
    write_task,
)
from pimentocross.work.spec import TaskName

_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_MISDIRECTED_REQUEST: Final = 421
_MS: Final = 1000
_FENCE: Final = "fence"
_VERDICTS: Final = {
    "old": StartVerdict.SUPERSEDED,
    "late": StartVerdict.LATE,
    "room": StartVerdict.NO_ROOM,
    "ticket": StartVerdict.NO_TICKET,
}
_encode: Final = msgspec.json.Encoder().encode


class HttpWorker:
    """Link to one life of a worker; see `WorkerLink`."""

    def __init__(self, life: WorkerLife) -> None:
        """Initializes the link with the worker life that every call names."""
        self._pool = HttpPool(life.address)
        self._headers: Headers = [
            (b"content-type", b"application/json"),
            (b"x-expected-instance", life.id.encode()),
        ]

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Extends the lease and returns the worker's runs and endings."""
        body: dict[str, Any] = {"fencing_token": token, "last_seen": seen}
        if deadline is not None:
            body["deadline_ms"] = int(deadline * _MS)
        if wait > 0:
            body["wait_ms"] = int(wait * _MS)
        reply = await self._call("hold", body, timeout)
        if reply.status != _OK:
            raise WorkerUnreachableError(f"hold: status {reply.status}")
        try:
            return read_hold(reply.body)
        except WireError as error:
            raise WorkerUnreachableError(str(error)) from error

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Starts a run, or confirms that it has been started already."""
        body: dict[str, Any] = {
            "task": write_task(order.task),
            "run_id": order.run,
            "spec": order.payload,
            "deadline_ms": int(order.deadline * _MS),
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        reply = await self._call("run-start", body, timeout)
        refusal = read_refusal(reply.body)
        clock = None if refusal.clock_ms is None else refusal.clock_ms / _MS
        if reply.status == _OK:
            return StartReply(StartVerdict.STARTED, clock, reply.connected_at)
        if reply.status == _CONFLICT:
            verdict = _VERDICTS.get(refusal.reason, StartVerdict.INVALID)
            return StartReply(verdict, clock)
        if reply.status == _BAD_REQUEST:
            late = refusal.reason == "late"
            verdict = StartVerdict.LATE if late else StartVerdict.INVALID
            return StartReply(verdict, clock)
        return StartReply(StartVerdict.UNHEALTHY, clock)

    async def stop(
        self, task: TaskName, run: int, token: int, timeout: float
    ) -> None:
        """Stops a run."""
        body = {
            "task": write_task(task),
            "run_id": run,
            "fencing_token": token,
        }
        reply = await self._call("run-stop", body, timeout)
        if reply.status != _OK:
            raise WorkerUnreachableError(f"stop: status {reply.status}")

    async def pace(
        self, task: TaskName, run: int, percent: int, token: int, timeout: float
    ) -> None:
        """Limits a run to a percentage of its speed."""
        body = {
            "task": write_task(task),
            "run_id": run,
            "percent": percent,
            "fencing_token": token,
        }
        reply = await self._call("pace", body, timeout)
        if reply.status != _OK:
            raise WorkerUnreachableError(f"pace: status {reply.status}")

    async def aclose(self) -> None:
        """Closes the connections to the worker."""
        await self._pool.aclose()

    async def _call(
        self, name: str, body: dict[str, Any], timeout: float
    ) -> HttpReply:
        try:
            reply = await self._pool.call(
                "POST",
                f"/pimentocross/{name}",
                _encode(body),
                timeout,
                self._headers,
            )
        except HttpCallError as error:
            reason = f"{name}: {error}"
            raise WorkerUnreachableError(reason, sent=error.sent) from error
        if reply.status == _MISDIRECTED_REQUEST:
            raise WorkerReplacedError
        if reply.status == _CONFLICT and _is_fenced(reply):
            raise WorkerFencedError
        return reply


def _is_fenced(reply: HttpReply) -> bool:
    return read_refusal(reply.body).reason == _FENCE


class HttpWorkerDialer:
    """Creates links to workers; see `WorkerDialer`."""

    def link(self, life: WorkerLife) -> HttpWorker:
        """Returns a link to one life of a worker."""
        return HttpWorker(life)
