"""The HTTP API for callers: requests to services, and batch jobs."""

from collections.abc import Callable
import math
from typing import NamedTuple

from expression import Result
import msgspec
import trio
import xxhash

from pimentocross.config.schema import Configuration, ServiceConfig
from pimentocross.contracts.drain import Drain, DrainingError
from pimentocross.decoding import json_decoder
from pimentocross.entry import const
from pimentocross.entry.forwarder import Call, Forwarder
from pimentocross.entry.idempotency import IdempotencyTable, hash_key
from pimentocross.entry.jobs import JobRouter
from pimentocross.entry.rates import TenantRates
from pimentocross.links.asgi import (
    CallerGoneError,
    HttpReply,
    HttpRequest,
    Receive,
    RequestTooLargeError,
    RequestTooSlowError,
    Scope,
    Send,
    json_reply,
    read_request,
    send_reply,
)
from pimentocross.links.headers import (
    CLASS,
    IDEMPOTENCY_KEY,
    REQUEST_TIMEOUT,
    TENANT,
)
from pimentocross.observe.histograms import Histograms, Label
from pimentocross.observe.logs import log_action
from pimentocross.observe.problems import Problem, not_run

_decode_fields = json_decoder(dict[str, str | int])

SERVICES = "/services/"
JOBS = "/jobs"
HEALTH = "/-/health"


class JobRequest(NamedTuple):
    """The body of a request that submits a job."""

    class_name: str
    input: str = ""
    tasks: int = 1


class CallerApi:
    """The ASGI application that callers use.

    It serves `/services/NAME/...`, `/jobs` and the load balancer's health
    check.
    """

    def __init__(
        self,
        get_config: Callable[[], Configuration | None],
        forwarder: Forwarder,
        jobs: JobRouter,
        keys: IdempotencyTable,
        histograms: Histograms,
        drain: Drain,
    ) -> None:
        """Initializes the API.

        Args:
            get_config: Returns the configuration in force, None before the
                first one was read.
            forwarder: Forwards requests to the targets of services.
            jobs: Submits, cancels and queries jobs.
            keys: Deduplicates requests with an idempotency key.
            histograms: Gets the latency of each request.
            drain: Refuses new requests once it has begun.
        """
        self._get_config = get_config
        self._forwarder = forwarder
        self._jobs = jobs
        self._keys = keys
        self._histograms = histograms
        self._drain = drain
        self._rates = TenantRates()
        self._leaving = False

    def leave_load_balancer(self) -> None:
        """Fails the load balancer's health checks from now on."""
        self._leaving = True

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request; this is the ASGI entry point."""
        if scope["path"] == HEALTH:
            await send_reply(send, self._health())
            return
        try:
            with self._drain.admit():
                reply = await self._answer(scope, receive)
                await send_reply(send, reply)
        except DrainingError:
            detail = "this entry VM is leaving"
            problem = not_run(503, "draining", detail, const.RETRY_AFTER_BUSY)
            await send_reply(send, problem.reply())
        except CallerGoneError:
            return

    def _health(self) -> HttpReply:
        if self._leaving or self._drain.begun:
            return json_reply({"state": "leaving"}, 503)
        if self._get_config() is None:
            return json_reply({"state": "starting"}, 503)
        return json_reply({"state": "live"})

    async def _answer(self, scope: Scope, receive: Receive) -> HttpReply:
        config = self._get_config()
        if config is None:
            detail = "no configuration is in force"
            return not_run(
                503, "no-configuration", detail, const.RETRY_AFTER_BUSY
            ).reply()
        try:
            request = await read_request(
                scope,
                receive,
                max_body_bytes=config.limits.body,
                timeout=const.REQUEST_BODY_TIMEOUT,
            )
        except RequestTooLargeError:
            detail = f"the body exceeds {config.limits.body} bytes"
            return not_run(413, "body-too-long", detail).reply()
        except RequestTooSlowError:
            detail = "the body did not arrive in time"
            return not_run(408, "body-too-slow", detail).reply()
        if request.path.startswith(SERVICES):
            return await self._serve_call(request, config)
        if request.path == JOBS or request.path.startswith(JOBS + "/"):
            return await self._serve_job(request)
        detail = "paths are /services/NAME/... and /jobs"
        return not_run(404, "no-such-path", detail).reply()

    async def _serve_call(
        self, request: HttpRequest, config: Configuration
    ) -> HttpReply:
        name, _, rest = request.path.removeprefix(SERVICES).partition("/")
        service = config.services.get(name)
        if service is None:
            detail = f"no service {name!r} is configured"
            return not_run(404, "no-such-service", detail).reply()
        timeout = _read_timeout(request, service.timeout)
        if isinstance(timeout, Problem):
            return timeout.reply()
        tenant = request.header(TENANT, service.tenant)
        rate = config.limits.calls_per_tenant
        if rate is not None and not self._rates.admit(tenant, rate):
            detail = f"tenant {tenant!r} sends over {rate:g} requests a second"
            return not_run(429, "rate", detail, const.RETRY_AFTER_BUSY).reply()
        began = trio.current_time()
        passed_on = request._replace(path=f"/{rest}")
        call = Call(name, passed_on, began + timeout)
        with log_action("call", service=name, tenant=tenant) as fields:
            result = await self._run_call(call, service, tenant, timeout)
            status = result.ok.status if result.is_ok() else result.error.status
            fields.add(status=status)
        took = trio.current_time() - began
        if result.is_ok():
            self._histograms.record(Label("service", name), took)
            self._histograms.record(Label("tenant", tenant), took)
            class_name = request.header(CLASS)
            if class_name:
                self._histograms.record(Label("class", class_name), took)
            return result.ok
        self._histograms.record(Label("refused", result.error.reason), took)
        return result.error.reply()

    async def _run_call(
        self, call: Call, service: ServiceConfig, tenant: str, timeout: float
    ) -> Result[HttpReply, Problem]:
        key = call.request.header(IDEMPOTENCY_KEY)
        if not key or call.request.method in service.idempotent_methods:
            return await self._forwarder.forward(call)
        if len(key) > const.MAX_KEY_LENGTH:
            detail = f"a key has at most {const.MAX_KEY_LENGTH} characters"
            return Result.Error(not_run(422, "bad-key", detail))
        return await self._keys.run_once(
            hash_key(tenant, key),
            _digest(call),
            timeout,
            lambda: self._forwarder.forward(call),
        )

    async def _serve_job(self, request: HttpRequest) -> HttpReply:
        timeout = _read_timeout(request, const.JOB_TIMEOUT)
        if isinstance(timeout, Problem):
            return timeout.reply()
        job, _, part = request.path.removeprefix(JOBS).strip("/").partition("/")
        match request.method, bool(job), part:
            case "POST", False, "":
                return await self._submit(request, timeout)
            case "GET", True, "" | "result":
                return await self._get_job(job, part == "result", timeout)
            case "DELETE", True, "":
                return await self._cancel(job, timeout)
        detail = "jobs take POST, GET and DELETE"
        return not_run(405, "bad-method", detail).reply()

    async def _submit(self, request: HttpRequest, timeout: float) -> HttpReply:
        try:
            job_request = _read_job(request.body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            detail = f"not a job: {error}"
            return not_run(400, "bad-job", detail).reply()
        tenant = request.header(TENANT)
        job = self._jobs.new_job_id()
        began = trio.current_time()
        key = request.header(IDEMPOTENCY_KEY)
        if key:
            claim = await self._keys.claim(
                hash_key(tenant, f"job:{key[: const.MAX_KEY_LENGTH]}"),
                xxhash.xxh3_128_hexdigest(request.body),
                job,
                timeout,
            )
            if claim.is_error():
                return claim.error.reply()
            # The first claim of the key fixes the job's id, and submitting
            # the same id again is idempotent.
            job = claim.ok.entry.claimed.job
        remaining = max(timeout - (trio.current_time() - began), 0.1)
        with log_action("submit", job=job) as fields:
            result = await self._jobs.submit(
                job,
                tenant,
                job_request.class_name,
                job_request.tasks,
                job_request.input,
                remaining,
            )
            fields.add(accepted=result.is_ok())
        if result.is_error():
            return result.error.reply()
        took = trio.current_time() - began
        self._histograms.record(Label("submit", job_request.class_name), took)
        extra = {"location": f"{JOBS}/{job}"}
        return json_reply({"job": job, "state": "accepted"}, 201, extra=extra)

    async def _get_job(
        self, job: str, with_result: bool, timeout: float
    ) -> HttpReply:
        found = await self._jobs.get_job(job, timeout)
        if found.is_error():
            return found.error.reply()
        answer = found.ok
        if with_result and answer.state != "finished":
            detail = f"the job is {answer.state}; {answer.reason}".rstrip("; ")
            return not_run(
                409, "no-result", detail, const.RETRY_AFTER_BUSY
            ).reply()
        body = {
            "job": job,
            "state": answer.state,
            "class": answer.class_name,
            "tasks": answer.tasks,
            "finished": answer.finished,
            "reason": answer.reason,
        }
        if with_result:
            body["results"] = answer.results
        return json_reply(body)

    async def _cancel(self, job: str, timeout: float) -> HttpReply:
        result = await self._jobs.cancel(job, timeout)
        if result.is_error():
            return result.error.reply()
        return json_reply({"job": job, "state": "cancelled"})


def _read_job(body: bytes) -> JobRequest:
    fields = _decode_fields(body)
    values = [fields.get("class", ""), fields.get("input", "")]
    return msgspec.convert([*values, fields.get("tasks", 1)], JobRequest)


def _read_timeout(request: HttpRequest, default: float) -> float | Problem:
    text = request.header(REQUEST_TIMEOUT)
    if not text:
        return default
    try:
        timeout = float(text)
    except ValueError:
        timeout = math.nan
    if not 0 < timeout <= const.MAX_REQUEST_TIMEOUT:
        max_timeout = const.MAX_REQUEST_TIMEOUT
        detail = f"a timeout is in seconds, over 0 and at most {max_timeout:g}"
        return not_run(400, "bad-timeout", detail)
    return timeout


def _digest(call: Call) -> str:
    request = call.request
    head = f"{call.service}\0{request.method}\0{request.path}\0"
    return xxhash.xxh3_128_hexdigest(
        head.encode() + request.query + b"\0" + request.body
    )
