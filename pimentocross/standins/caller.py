"""A fake caller: sends requests and jobs and verifies the responses."""

from collections import Counter
from enum import StrEnum
from typing import Any, NamedTuple

import httpcore
import msgspec
import trio

from pimentocross.links.headers import IDEMPOTENCY_KEY, REQUEST_TIMEOUT

_OK = 200
_CREATED = 201
_SERVER_ERROR = 500
_TIMEOUT_MARGIN = 3.0


class CallKind(StrEnum):
    """Result of a call as its caller sees it."""

    ANSWERED = "answered"
    MIXED_UP = "mixed up"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    TARGET_ERROR = "target error"
    NO_ANSWER = "no answer"


class CallOutcome(NamedTuple):
    """Result of a call, the reason for it, and its duration in seconds."""

    kind: CallKind
    reason: str
    seconds: float


class CallerStandin:
    """Callers that reach the entry VMs through a load balancer.

    Attributes:
        outcomes: Number of calls by result and reason.
        latencies: Durations of answered calls, in seconds.
    """

    def __init__(self) -> None:
        """Initializes the caller with an empty connection pool."""
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.latencies: list[float] = []
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=200, keepalive_expiry=5.0
        )

    async def call(
        self,
        entry: str,
        service: str,
        method: str,
        path: str,
        key: str,
        timeout: float,
    ) -> CallOutcome:
        """Calls a service through an entry VM at host:port."""
        started_at = trio.current_time()
        headers = [
            (IDEMPOTENCY_KEY, key.encode()),
            (REQUEST_TIMEOUT, str(timeout).encode()),
        ]
        body = f"body of {key}".encode() if method == "POST" else b""
        url = f"http://{entry}/services/{service}{path}"
        reply = await self._send(
            method, url, headers, body, timeout + _TIMEOUT_MARGIN
        )
        kind, reason = _classify(reply, service, path, key, body)
        outcome = CallOutcome(kind, reason, trio.current_time() - started_at)
        self.outcomes[(kind.value, reason)] += 1
        if kind is CallKind.ANSWERED:
            self.latencies.append(outcome.seconds)
        return outcome

    async def submit(
        self,
        entry: str,
        class_name: str,
        seconds: float,
        key: str,
        tasks: int = 1,
    ) -> str | None:
        """Submits a job whose tasks take `seconds` each.

        Returns:
            The job's id, or None if the job was not accepted.
        """
        task_input = msgspec.json.encode({"seconds": seconds}).decode()
        body = {"class": class_name, "input": task_input, "tasks": tasks}
        reply = await self._send(
            "POST",
            f"http://{entry}/jobs",
            [(IDEMPOTENCY_KEY, key.encode())],
            msgspec.json.encode(body),
            15.0,
        )
        if reply is None or reply.status != _CREATED:
            reason = "no answer" if reply is None else _reason(reply)
            self.outcomes[("job not accepted", reason)] += 1
            return None
        self.outcomes[("job accepted", "")] += 1
        return str(msgspec.json.decode(reply.content)["job"])

    async def job_state(self, entry: str, job: str) -> str:
        """Returns a job's state, or "" if the entry VM did not report one."""
        url = f"http://{entry}/jobs/{job}"
        reply = await self._send("GET", url, [], b"", 5.0)
        if reply is None or reply.status != _OK:
            return ""
        return str(msgspec.json.decode(reply.content)["state"])

    async def _send(
        self,
        method: str,
        url: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout: float,
    ) -> httpcore.Response | None:
        timeouts = dict.fromkeys(["connect", "read", "write", "pool"], timeout)
        try:
            return await self._pool.request(
                method,
                url,
                headers=headers,
                content=body,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ):
            return None


def _classify(
    reply: httpcore.Response | None,
    service: str,
    path: str,
    key: str,
    body: bytes,
) -> tuple[CallKind, str]:
    if reply is None:
        return CallKind.NO_ANSWER, ""
    if reply.status == _OK:
        echo = _decode(reply.content)
        matches = (
            echo.get("service") == service
            and echo.get("path") == path
            and echo.get("key") == key
            and echo.get("body") == body.decode()
        )
        return (CallKind.ANSWERED if matches else CallKind.MIXED_UP), ""
    state = _decode(reply.content).get("state")
    if state in (CallKind.NOT_RUN, CallKind.UNKNOWN):
        return CallKind(state), _reason(reply)
    return CallKind.TARGET_ERROR, str(reply.status)


def _decode(content: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {}


def _reason(reply: httpcore.Response) -> str:
    return str(_decode(reply.content).get("reason", reply.status))
