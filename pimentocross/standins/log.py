"""An in-memory fake of the log service."""

from collections import deque
from collections.abc import Sequence
from urllib.parse import parse_qsl

import msgspec
import trio

from pimentocross.backing.log import (
    LogUnavailableError,
    ReadPage,
    Record,
    RecordBody,
)
from pimentocross.contracts.progress import AnswerProgress
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
from pimentocross.standins.link import LinkStandin

_MAX_PAGE_RECORDS = 500
_MAX_BODY_BYTES = 8 * 1024 * 1024


class _Stream:
    """The records of one stream that have not expired."""

    def __init__(self) -> None:
        self.first_kept = 0
        self.end = 0
        self.kept: deque[tuple[float, Record]] = deque()
        self.appended = trio.Event()

    def append(self, bodies: Sequence[RecordBody]) -> int:
        """Appends records; returns the offset of the first one."""
        first = self.end
        now = trio.current_time()
        for body in bodies:
            self.kept.append((now, Record(self.end, body)))
            self.end += 1
        self.appended.set()
        self.appended = trio.Event()
        return first

    def expire(self, before: float) -> None:
        """Drops records that were appended before a time on trio's clock."""
        while self.kept and self.kept[0][0] < before:
            self.kept.popleft()
            self.first_kept += 1

    def page(self, start: int) -> ReadPage:
        """Returns up to a page of records, beginning at an offset."""
        skip = max(start - self.first_kept, 0)
        stop = min(skip + _MAX_PAGE_RECORDS, len(self.kept))
        records = [self.kept[i][1] for i in range(skip, stop)]
        return ReadPage(self.first_kept, self.end, records)


class LogStandin:
    """In-memory streams; implements `LogService` for in-process tests.

    Attributes:
        faults: The injected faults.
        appends: Number of append operations carried out, by stream.
        link_bytes_per_s: What the readers' link carries, or None if pages take
            no time on it.
    """

    def __init__(self, retention: float = 3600.0, seed: int = 0) -> None:
        """Initializes the log; `retention` is in seconds."""
        self.faults = Faults(seed)
        self.appends: dict[str, int] = {}
        self.link_bytes_per_s: float | None = None
        self._link = LinkStandin()
        self._retention = retention
        self._streams: dict[str, _Stream] = {}

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        """Appends records; see `LogService`."""
        try:
            await self.faults.before()
            first = self._stream(stream).append(bodies)
            self.appends[stream] = self.appends.get(stream, 0) + 1
            self.faults.after()
        except FaultError as error:
            # A client cannot distinguish a lost request from a lost reply.
            sent = error.happened or not self.faults.plan.away
            raise LogUnavailableError(str(error), sent=sent) from error
        return first

    async def read(
        self,
        stream: str,
        start: int,
        wait: float,
        progress: AnswerProgress | None = None,
    ) -> ReadPage:
        """Reads records; see `LogService`."""
        try:
            await self.faults.before()
            kept = self._stream(stream)
            if kept.end <= start and wait > 0:
                with trio.move_on_after(wait):
                    await kept.appended.wait()
                await self.faults.before()
        except FaultError as error:
            raise LogUnavailableError(str(error), sent=False) from error
        page = kept.page(start)
        size = len(msgspec.json.encode(page))
        await self._link.transfer(size, self.link_bytes_per_s, progress)
        return page

    def records(self, stream: str) -> list[Record]:
        """Returns all unexpired records of a stream, for checks."""
        return [record for _, record in self._stream(stream).kept]

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        stream.expire(trio.current_time() - self._retention)
        return stream


def make_log_app(log: LogStandin) -> App:
    """Returns an ASGI app that serves a log stand-in over HTTP."""

    async def answer(request: HttpRequest) -> HttpReply:
        if request.path == "/faults":
            plan = msgspec.json.decode(request.body)
            log.faults.plan = FaultPlan(**plan)
            return json_reply({})
        _, _, rest = request.path.partition("/streams/")
        stream, _, verb = rest.partition("/")
        if verb == "append":
            bodies = msgspec.json.decode(request.body)
            return json_reply({"first": await log.append(stream, bodies)})
        query = dict(parse_qsl(request.query.decode()))
        page = await log.read(
            stream, int(query.get("from", 0)), float(query.get("wait", 0))
        )
        return json_reply(page)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        request = await read_request(
            scope, receive, max_body_bytes=_MAX_BODY_BYTES, timeout=30.0
        )
        try:
            reply = await answer(request)
        except LogUnavailableError:
            reply = json_reply({"error": "injected fault"}, status=503)
        await send_reply(send, reply)

    return app
