"""A fake service on a target: waits, then echoes the request."""

import random

import msgspec
import trio

from pimentocross.links.asgi import (
    App,
    CallerGoneError,
    Receive,
    Scope,
    Send,
    json_reply,
    read_request,
    send_reply,
)
from pimentocross.links.headers import (
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    SERVICE,
)
from pimentocross.standins.faults import FaultError, Faults
from pimentocross.standins.journal import (
    Journal,
    JournalEntry,
    JournalEvent,
)

_MAX_BODY_BYTES = 16 * 1024 * 1024


class ServiceStandin:
    """Answers the requests to all services that run on a target.

    Attributes:
        faults: The injected faults.
        served: Number of requests that were executed.
        running: Names of the services that answer, or None for all.
    """

    def __init__(
        self,
        name: str,
        process: str,
        journal: Journal,
        *,
        service_time: float = 0.005,
        slots: int = 8,
        seed: int = 0,
    ) -> None:
        """Initializes the service.

        Args:
            name: Name of the target.
            process: Id of the target's process.
            journal: Journal in which executed requests are recorded.
            service_time: Mean of the exponential service time, in seconds.
            slots: Number of requests that run at once.
            seed: Seed of the faults and service times.
        """
        self.faults = Faults(seed)
        self.served = 0
        self.running: set[str] | None = None
        self._name = name
        self._process = process
        self._journal = journal
        self._service_time = service_time
        self._slots = trio.Semaphore(slots)
        self._random = random.Random(seed)

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answers one request; the ASGI entry point."""
        try:
            request = await read_request(
                scope, receive, max_body_bytes=_MAX_BODY_BYTES, timeout=30.0
            )
        except CallerGoneError:
            return
        service = request.header(SERVICE)
        if self.running is not None and service not in self.running:
            refusal = {"error": "service does not run here"}
            await send_reply(send, json_reply(refusal, status=503))
            return
        key = request.header(IDEMPOTENCY_KEY) or request.header(REQUEST_ID)
        try:
            await self.faults.before()
            async with self._slots:
                self._record_request(service, key, request.method)
                await trio.sleep(self._draw_service_time())
            self.faults.after()
        except FaultError:
            await send_reply(send, json_reply({"error": "told"}, status=500))
            return
        reply = json_reply(
            {
                "service": service,
                "target": self._name,
                "path": request.path,
                "key": key,
                "body": request.body.decode("latin-1"),
            }
        )
        await send_reply(send, reply)

    def _draw_service_time(self) -> float:
        if self._service_time <= 0:
            return 0.0
        return self._random.expovariate(1 / self._service_time)

    def _record_request(self, service: str, key: str, method: str) -> None:
        self.served += 1
        self._journal.note(
            JournalEntry(
                trio.current_time(),
                self._name,
                self._process,
                JournalEvent.SERVED,
                "request",
                key,
                method,
                service,
                (0.0, 0),
            )
        )


def make_service_app(service: ServiceStandin) -> App:
    """Returns an ASGI app for the service; /-/faults sets its faults."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["path"] == "/-/faults":
            request = await read_request(
                scope, receive, max_body_bytes=_MAX_BODY_BYTES, timeout=10.0
            )
            plan = msgspec.json.decode(request.body)
            service.faults.plan = service.faults.plan._replace(**plan)
            await send_reply(send, json_reply({}))
            return
        await service.serve(scope, receive, send)

    return app
