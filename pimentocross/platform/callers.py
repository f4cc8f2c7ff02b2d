"""HTTP handlers for callers, metrics and readiness checks."""

from collections.abc import Callable
import math
from typing import Final

import msgspec

from pimentocross.gateway.caller_requests import (
    Answer,
    AnswerKind,
    CallerRequestHandler,
)
from pimentocross.links.asgi import HttpReply, HttpRequest
from pimentocross.observe.decisions import DECISIONS_PATH, recent
from pimentocross.observe.metrics import render
from pimentocross.platform.wire import WireError, read_submission
from pimentocross.work.limits import DEFAULT_RECORD_BYTES, check_records
from pimentocross.work.records import submission_bytes
from pimentocross.work.spec import SpecError, check_spec

_METRICS_PATH: Final = "/metrics"
_TEXT: Final = (b"content-type", b"text/plain")
_READY_PATH: Final = "/pimentocross/readyz"
_DEADLINE_HEADER: Final = b"x-deadline-ms"
# Deadline for callers that send no valid one.
_DEFAULT_DEADLINE_MS: Final = 3000.0
Gauges = Callable[[], dict[str, float]]
_JSON: Final = (b"content-type", b"application/json")

_STATUS: Final = {
    AnswerKind.ACCEPTED: 200,
    AnswerKind.STATE: 200,
    AnswerKind.CANCELLED: 200,
    AnswerKind.PENDING: 200,
    AnswerKind.NO_SUCH_QUEUE: 404,
    AnswerKind.NO_SUCH_JOB: 410,
    AnswerKind.NOT_ACCEPTED: 503,
    AnswerKind.FULL: 429,
    AnswerKind.UNAVAILABLE: 503,
    AnswerKind.UNKNOWN: 504,
}


class CallerHandler:
    """Handles callers' requests: submits, queries and cancels jobs."""

    def __init__(
        self,
        request_handler: CallerRequestHandler,
        record_bytes: int = DEFAULT_RECORD_BYTES,
    ) -> None:
        """Initializes the handler.

        Args:
            request_handler: Carries out the requests.
            record_bytes: Longest record that the store takes. A job with a
                longer one is rejected, as no owner could store it.
        """
        self._request_handler = request_handler
        self._record_bytes = record_bytes

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Returns the reply to a request."""
        host = request.header(b"host").partition(":")[0]
        deadline = _deadline(request)
        path = request.path
        if request.method == "POST":
            return await self._submit(host, path, request.body, deadline)
        if request.method == "GET":
            return _reply(
                await self._request_handler.query(host, path, deadline)
            )
        if request.method == "DELETE":
            return _reply(
                await self._request_handler.cancel(host, path, deadline)
            )
        return HttpReply(405, [(b"allow", b"GET, POST, DELETE")], b"")

    async def _submit(
        self, host: str, path: str, body: bytes, deadline: float
    ) -> HttpReply:
        found = await self._request_handler.find(host, path)
        if isinstance(found, Answer):
            return _reply(found)
        try:
            spec = read_submission(body)
            check_spec(spec)
            size = submission_bytes(found.rest, found.queue, spec)
            check_records(spec, size, self._record_bytes)
        except (WireError, SpecError) as error:
            content = msgspec.json.encode({"error": str(error)})
            return HttpReply(400, [_JSON], content)
        return _reply(await self._request_handler.submit(found, spec, deadline))


class MetricsHandler:
    """Serves the metrics page and the newest lines of the decision log."""

    def __init__(
        self, request_handler: CallerRequestHandler, gauges: Gauges
    ) -> None:
        """Initializes the handler with the sources of histograms and gauges."""
        self._request_handler = request_handler
        self._gauges = gauges

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Returns the reply to a request."""
        if request.path == _METRICS_PATH:
            page = render(self._request_handler.histograms, self._gauges())
            return HttpReply(200, [_TEXT], page)
        if request.path == DECISIONS_PATH:
            return HttpReply(200, [_TEXT], recent())
        return HttpReply(404, [], b"")


class ReadinessHandler:
    """Serves the readiness check: 200 if this VM accepts callers, else 503."""

    def __init__(self, request_handler: CallerRequestHandler) -> None:
        """Initializes the handler with what tracks the readiness."""
        self._request_handler = request_handler

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Returns the reply to a request."""
        if request.path != _READY_PATH:
            return HttpReply(404, [], b"")
        return HttpReply(200 if self._request_handler.ready() else 503, [], b"")


def _deadline(request: HttpRequest) -> float:
    """Returns for how many seconds the caller waits for an answer."""
    header_value = request.header(_DEADLINE_HEADER)
    try:
        milliseconds = float(header_value or _DEFAULT_DEADLINE_MS)
    except ValueError:
        milliseconds = _DEFAULT_DEADLINE_MS
    if not math.isfinite(milliseconds):
        milliseconds = _DEFAULT_DEADLINE_MS
    # A timeout below 0 would raise an error that ends the process.
    return max(milliseconds, 0.0) / 1000


def _reply(answer: Answer) -> HttpReply:
    headers = [_JSON]
    body: dict[str, str | int] = {}
    if answer.kind is AnswerKind.PENDING:
        body["pending"] = answer.pending
    elif answer.state is not None:
        body["state"] = answer.state.value
    elif answer.reason:
        body["error"] = answer.reason
    if answer.retry_after:
        seconds = max(math.ceil(answer.retry_after), 1)
        headers.append((b"retry-after", b"%d" % seconds))
    return HttpReply(_STATUS[answer.kind], headers, msgspec.json.encode(body))
