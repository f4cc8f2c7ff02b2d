"""Serves the store and worker stand-ins in the users' platform's wire format.

Tests of the adapter and of whole processes use these HTTP handlers on loopback
to run against the published wire format without the users' test bench.
"""

import base64
from collections.abc import Callable, Mapping
import struct
from typing import Any
from urllib.parse import parse_qsl

import msgspec
import trio

from pimentocross.contracts.store import (
    ConditionFailedError,
    FencedError,
    HistoryExpiredError,
    ProducerMark,
    Record,
    SequenceGapError,
    StoreUnavailableError,
)
from pimentocross.contracts.worker_link import (
    EndKind,
    StartOrder,
    StartVerdict,
    WorkerFencedError,
    WorkerLife,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from pimentocross.links.asgi import HttpReply, HttpRequest, json_reply
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskWorkerStandin
from pimentocross.work.spec import TaskName

_KEYED_PREFIX = "keyed."
_TIMEOUT = 60.0
_PAGE_SIZE = 500
_POLL_INTERVAL = 0.02
_CLIENT_NAME = "wire"
_REFUSAL_REASONS = {
    StartVerdict.SUPERSEDED: "old",
    StartVerdict.LATE: "late",
    StartVerdict.NO_ROOM: "room",
    StartVerdict.NO_TICKET: "ticket",
}
_END_NAMES = {
    EndKind.DONE: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LAPSED: "lapsed",
    EndKind.GANG_BROKEN: "broken",
    EndKind.GANG_ALONE: "alone",
}


class StoreHandler:
    """HTTP handler of the store's calls."""

    def __init__(self, store: StoreStandin) -> None:
        """Initializes the handler with the store that runs the calls."""
        self._client = store.client(_CLIENT_NAME)

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answers one HTTP request."""
        query = dict(parse_qsl(request.query.decode()))
        topic = query.get("topic", "").removeprefix(_KEYED_PREFIX)
        try:
            if request.path == "/pimentocross/log-append":
                return await self._append(topic, query, request.body)
            if request.path == "/pimentocross/log-read":
                return await self._read(topic, query)
            if request.path == "/pimentocross/log-newest":
                return await self._newest(topic, query)
        except StoreUnavailableError as error:
            return json_reply({"error": str(error)}, 503)
        return json_reply({}, 404)

    async def _append(
        self, topic: str, query: Mapping[str, str], body: bytes
    ) -> HttpReply:
        records = _unframe(body)
        mark = None
        if "producer_id" in query:
            mark = ProducerMark(
                query["producer_id"],
                int(query["epoch"]),
                int(query["sequence"]),
            )
        at = int(query["at"]) if "at" in query else None
        try:
            offset = await self._client.append(
                topic, records, _TIMEOUT, at=at, mark=mark
            )
        except ConditionFailedError as error:
            return json_reply({"end_offset": error.end}, 412)
        except FencedError:
            return json_reply({"reason": "fenced"}, 409)
        except SequenceGapError as error:
            return json_reply(
                {"reason": "seq", "sequence": error.expected}, 409
            )
        return json_reply(
            {"offset": offset, "end_offset": offset + len(records)}
        )

    async def _read(self, topic: str, query: Mapping[str, str]) -> HttpReply:
        wait = float(query.get("wait_ms", 0)) / 1000
        try:
            page = await self._client.read(
                topic, int(query["from"]), wait, _TIMEOUT
            )
        except HistoryExpiredError:
            return json_reply({"first_offset": 0}, 410)
        body = struct.pack(">QQ", page.end, 0)
        body += b"".join(_frame(record) for record in page.records)
        return HttpReply(200, [], body)

    async def _newest(self, topic: str, query: Mapping[str, str]) -> HttpReply:
        page = await self._client.newest(topic, _TIMEOUT)
        records = sorted(page.records, key=lambda r: r.key)
        after = query.get("after", "")
        records = [record for record in records if record.key > after]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value or b"").decode(),
                "offset": record.offset,
            }
            for record in records[:_PAGE_SIZE]
        ]
        return json_reply(
            {
                "items": items,
                "has_more": len(records) > _PAGE_SIZE,
                "end_offset": page.end,
            }
        )


class WorkerHandler:
    """HTTP handler of one worker's calls."""

    def __init__(self, worker: TaskWorkerStandin) -> None:
        """Initializes the handler with the worker that runs the calls."""
        self._worker = worker

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answers one HTTP request."""
        worker = self._worker
        if request.header(b"x-expected-instance") != worker.life.id:
            return json_reply({}, 421)
        body: dict[str, Any] = msgspec.json.decode(request.body)
        calls: Mapping[str, Callable[[dict[str, Any]], HttpReply]] = {
            "/pimentocross/run-start": self._start,
            "/pimentocross/run-stop": self._stop,
            "/pimentocross/pace": self._pace,
        }
        call = calls.get(request.path)
        try:
            if request.path == "/pimentocross/hold":
                return await self._hold(body)
            if call is not None:
                return call(body)
        except WorkerFencedError:
            return self._refuse("fence")
        except WorkerReplacedError:
            return json_reply({}, 421)
        except WorkerUnreachableError:
            # The worker has crashed.
            return json_reply({}, 503)
        return json_reply({}, 404)

    async def _hold(self, body: dict[str, Any]) -> HttpReply:
        deadline = body.get("deadline_ms")
        self._worker.handle_hold(
            body["fencing_token"],
            body["last_seen"],
            None if deadline is None else deadline / 1000,
        )
        until = trio.current_time() + body.get("wait_ms", 0) / 1000
        listing = self._worker.listing()
        while not listing.endings and trio.current_time() < until:
            await trio.sleep(_POLL_INTERVAL)
            listing = self._worker.listing()
        return json_reply(
            {
                "clock_ms": int(listing.clock * 1000),
                "born": listing.born,
                "running": [
                    [
                        _format_task(r.task),
                        r.run,
                        r.checkpoint,
                        r.percent,
                        r.figure,
                    ]
                    for r in listing.running
                ],
                "completions": [
                    [
                        e.number,
                        _format_task(e.task),
                        e.run,
                        _END_NAMES[e.how],
                        "",
                    ]
                    for e in listing.endings
                ],
            }
        )

    def _start(self, body: dict[str, Any]) -> HttpReply:
        order = StartOrder(
            _read_task(body["task"]),
            body["run_id"],
            body["spec"],
            body["deadline_ms"] / 1000,
            body["fencing_token"],
            body.get("checkpoint", ""),
        )
        verdict = self._worker.handle_start(order)
        if verdict is StartVerdict.STARTED:
            return json_reply({"clock_ms": self._clock()})
        return self._refuse(_REFUSAL_REASONS[verdict])

    def _stop(self, body: dict[str, Any]) -> HttpReply:
        self._worker.handle_stop(
            _read_task(body["task"]), body["run_id"], body["fencing_token"]
        )
        return json_reply({"clock_ms": self._clock()})

    def _pace(self, body: dict[str, Any]) -> HttpReply:
        return json_reply({"clock_ms": self._clock()})

    def _refuse(self, reason: str) -> HttpReply:
        return json_reply({"clock_ms": self._clock(), "reason": reason}, 409)

    def _clock(self) -> int:
        return int(self._worker.clock() * 1000)


def worker_entry(life: WorkerLife) -> bytes:
    """Returns a worker's directory entry as the store holds it."""
    return msgspec.json.encode(
        {
            "backend": life.service,
            "address": life.address,
            "zone": life.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if life.draining else "ready",
            "capacity": {
                "cpu": life.capacity.cpu,
                "mem_mb": life.capacity.memory,
                "gpus": life.capacity.gpus,
            },
            "labels": list(life.labels),
            "machine_id": life.machine,
            "clock_ms": 0,
            "born": life.born,
            "sequence": 1,
        }
    )


def operator_config(version: int, queues: Mapping[str, str]) -> bytes:
    """Returns an operator's configuration in its stored form.

    Args:
        version: Version of the configuration.
        queues: Service by path prefix of each queue.
    """
    routes = [
        {
            "name": f"route{number}",
            "hostname": "127.0.0.1",
            "path_prefix": prefix,
            "route_type": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "backend": service,
            "max_attempts": 3,
            "slack_factor": 1.5,
        }
        for number, (prefix, service) in enumerate(queues.items())
    ]
    services = [
        {
            "name": service,
            "health_path": "/healthz",
            "max_connections": 64,
            "protocol": "h1",
            "tls": False,
            "enforces_capacity": True,
            "standby": False,
        }
        for service in sorted(set(queues.values()))
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
    )


def _format_task(name: TaskName) -> str:
    return f"{name.job}.{name.occurrence}.{name.step}.{name.position}"


def _read_task(text: str) -> TaskName:
    job, occurrence, step, position = text.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(position))


def _frame(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return struct.pack(">I", len(content)) + content


def _unframe(body: bytes) -> list[Record]:
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        content = body[position : position + length]
        position += length
        key_end = 1 + content[0]
        value = content[key_end:] or None
        records.append(Record(content[1:key_end].decode(), value))
    return records
