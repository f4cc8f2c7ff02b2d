"""Stand-ins for the users' platform: store, workers, requester and VMs.

All of them run in one process on loopback addresses and the real clock. They
follow PROTOCOL.md and DEPLOY.md. Nothing but Python's library is used.
"""

import asyncio
import base64
from collections.abc import Awaitable, Callable
import contextlib
import json
import os
from pathlib import Path
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
QUEUE_HOST = "queues.example"
SERVICE = "stock"
GANG_TIMEOUT = 3.0
MAX_HOLD = 6.0
STOP_SECONDS = 0.1

Handler = Callable[["Request"], Awaitable["Reply | None"]]


class Request(NamedTuple):
    """An HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """An HTTP response; without one the channel stays open and silent."""

    status: int
    body: bytes = b""


def json_reply(status: int, value: object) -> Reply:
    """Returns a response with a JSON body."""
    return Reply(status, json.dumps(value).encode())


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


class HttpServer:
    """Serves HTTP/1.1 requests, one at a time on each channel."""

    def __init__(self, handler: Handler, host: str = HOST) -> None:
        """Initializes a server that isn't listening yet."""
        self.host = host
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Returns host:port."""
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Starts to listen on a free port, later on the same one again."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ")
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                parts = urlsplit(target)
                reply = await self._handler(
                    Request(
                        method,
                        parts.path,
                        dict(parse_qsl(parts.query)),
                        headers,
                        body,
                    )
                )
                if reply is None:
                    await asyncio.sleep(3600)
                    return
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n"
                    % (reply.status, len(reply.body))
                    + reply.body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: Path) -> None:
        """Opens the file."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the record was opened."""
        return time.monotonic() - self._began

    def note(self, *words: object) -> None:
        """Writes a line."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.next: int | None = None
        self.answered: list[tuple[int, int]] = []


class _Topic:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.producers: dict[str, _Producer] = {}
        self.grown = asyncio.Event()


class Store:
    """The platform's store, as far as keyed topics of one partition go.

    Attributes:
        away: Whether no call is answered or carried out.
        busy: Whether all calls are refused with status 503.
        lost: Share of appends that are carried out and not answered.
        late: Whether those are carried out 1 to 6 seconds later.
    """

    def __init__(self, record: Record, seed: int = 0) -> None:
        """Initializes an empty store."""
        self.server = HttpServer(self._handle)
        self.away = self.busy = self.late = False
        self.lost = 0.0
        self.random = random.Random(seed)
        self._record = record
        self._topics: dict[str, _Topic] = {}

    def topic(self, name: str) -> _Topic:
        """Returns a topic; it is created on first use."""
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: object) -> int:
        """Appends one record, as the operator and the workers do."""
        content = b"" if value is None else json.dumps(value).encode()
        return self._append(topic, [(key, content)])

    def _append(self, name: str, records: list[tuple[str, bytes]]) -> int:
        topic = self.topic(name)
        first = len(topic.records)
        topic.records += records
        if records:
            topic.grown.set()
            topic.grown = asyncio.Event()
        return first

    async def _handle(self, request: Request) -> Reply | None:
        await asyncio.sleep(0.004)
        if self.away:
            return None
        if self.busy:
            return json_reply(503, {})
        name = request.path.rpartition("/")[2]
        topic = request.query.get("topic", "")
        if name == "log-read":
            return await self._read(topic, request.query)
        if name == "log-newest":
            return self._newest(topic, request.query)
        if name != "log-append":
            return json_reply(404, {})
        if topic in ("keyed.op", "keyed.servers"):
            return json_reply(403, {})
        if self.random.random() < self.lost:
            if self.late:
                asyncio.get_running_loop().call_later(
                    self.random.uniform(1, 6), self._carry_out, topic, request
                )
            else:
                self._carry_out(topic, request)
            return None
        return self._carry_out(topic, request)

    def _carry_out(self, name: str, request: Request) -> Reply:
        topic, query = self.topic(name), request.query
        records = _unframe(request.body)
        producer = None
        if "producer_id" in query:
            epoch, number = int(query["epoch"]), int(query["sequence"])
            producer = topic.producers.setdefault(
                query["producer_id"], _Producer()
            )
            if epoch < producer.epoch:
                return json_reply(409, {"reason": "fenced"})
            if epoch > producer.epoch:
                producer.epoch, producer.next = epoch, None
                producer.answered = []
            for answered, offset in producer.answered:
                if answered == number and records:
                    end = len(topic.records)
                    return json_reply(
                        200, {"offset": offset, "end_offset": end}
                    )
            expected = number if producer.next is None else producer.next
            if records and number != expected:
                return json_reply(409, {"reason": "seq", "sequence": expected})
        if "at" in query and int(query["at"]) != len(topic.records):
            return json_reply(412, {"end_offset": len(topic.records)})
        offset = self._append(name, records)
        if producer is not None and records:
            producer.next = number + 1
            producer.answered = [*producer.answered, (number, offset)][-5:]
        end = len(topic.records)
        return json_reply(200, {"offset": offset, "end_offset": end})

    async def _read(self, name: str, query: dict[str, str]) -> Reply | None:
        topic, start = self.topic(name), int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(topic.records) and time.monotonic() < until:
            grown = topic.grown
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    grown.wait(), max(until - time.monotonic(), 0)
                )
        if self.away:
            return None
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return Reply(200, body)

    def _newest(self, name: str, query: dict[str, str]) -> Reply:
        records = self.topic(name).records
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        after = query.get("after", "")
        keys = sorted(k for k, (_, v) in newest.items() if v and k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        return json_reply(
            200,
            {
                "items": items,
                "has_more": len(keys) > 500,
                "end_offset": len(records),
            },
        )


def _unframe(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


class StepPlan(NamedTuple):
    """How the tasks of a step behave."""

    spec: dict[str, Any]
    seconds: float


class Run:
    """A run on a worker."""

    def __init__(
        self, worker: "Worker", task: str, number: int, saved: str, at: float
    ) -> None:
        """Initializes a run that has just started."""
        self.worker = worker
        self.task = task
        self.number = number
        self.saved = saved
        self.started = at
        # When the work began; for a member of a gang, once all are there.
        self.began: float | None = at
        self.stopping_until = float("inf")
        self.fails_at = float("inf")
        self.first_ms = 0.0


class World:
    """What all workers share: submissions, gangs and the checks' journal.

    Attributes:
        steps: Plans by "ID.STEP".
        journal: Rows of time, what, worker, task and run.
    """

    def __init__(self, record: Record) -> None:
        """Initializes an empty world."""
        self.record = record
        self.steps: dict[str, StepPlan] = {}
        self.journal: list[tuple[float, str, str, str, int]] = []
        self.gangs: dict[tuple[str, int], dict[str, Run]] = {}

    def note(self, what: str, worker: str, task: str, run: int) -> None:
        """Adds a row to the journal and a line to the record."""
        self.journal.append((self.record.now(), what, worker, task, run))
        self.record.note(what, worker, task, run)

    def plan(self, task: str) -> StepPlan | None:
        """Returns the plan of a task's step, None for an unknown one."""
        job, _, step, _ = task.rsplit(".", 3)
        return self.steps.get(f"{job}.{step}")


class Worker:
    """One life of a worker.

    Attributes:
        grey: Whether it fails all that it starts.
        cut: Whether it answers nobody and writes nothing.
    """

    def __init__(
        self,
        world: World,
        store: Store,
        name: str,
        machine: str,
        capacity: dict[str, int],
        labels: list[str],
        service: str = SERVICE,
        guards: bool = True,
        born: int = 0,
    ) -> None:
        """Initializes a life that isn't open yet.

        Args:
            world: What all workers share.
            store: The store to which it writes its entry.
            name: Its id.
            machine: Its machine.
            capacity: What its tasks may take together.
            labels: Its kind and its rack.
            service: The service that it belongs to.
            guards: Whether it refuses what doesn't fit.
            born: The Unix millisecond of its start, 0 if it doesn't tell.
        """
        self.born = born
        self.world = world
        self.store = store
        self.id = name
        self.machine = machine
        self.capacity = capacity
        self.labels = labels
        self.service = service
        self.guards = guards
        self.zone = "north"
        self.server = HttpServer(self._handle)
        self.grey = self.cut = self.draining = self.dead = False
        self.late_share = 0.0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[list[Any]] = []
        self._count = 0
        self._token = 0
        self._lease_end = 0.0
        self._lapsed = True
        self._barred: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._origin = time.monotonic() - 400
        self._sequence = 0
        self.lapses = 0
        self._lapses_at_end: dict[int, int] = {}

    def clock(self) -> float:
        """Returns the worker's steady clock."""
        return time.monotonic() - self._origin

    async def open(self) -> None:
        """Starts to serve and to write its entry."""
        await self.server.open()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]
        self.write_entry()

    def crash(self) -> None:
        """Ends the life and all that runs on it."""
        self.dead = True
        self.server.close()
        for task in self._tasks:
            task.cancel()
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            self.world.note("lost", self.id, run.task, run.number)
        for run in lost:
            self._break_gang(run)

    def go_dark(self) -> None:
        """Ends the life; its machine doesn't answer any more."""
        self.dead = self.cut = True
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.world.note("lost", self.id, run.task, run.number)
        self.runs.clear()

    def write_entry(self) -> None:
        """Writes the worker's report about itself."""
        self._sequence += 1
        entry = {
            "backend": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine_id": self.machine,
            "clock_ms": int(self.clock() * 1000),
            "sequence": self._sequence,
        }
        if self.draining:
            entry["remaining_ms"] = 4500
        if self.born:
            entry["born"] = self.born
        self.store.put("keyed.servers", self.id, entry)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            if not self.cut and not self.store.away:
                self.write_entry()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        if not self._lapsed and self.clock() > self._lease_end:
            self._lapsed = True
            self.lapses += 1
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
            return
        for run in list(self.runs.values()):
            if (run.task, run.number) not in self.runs:
                continue
            plan = self.world.plan(run.task)
            if now >= run.stopping_until:
                self._end(run, "stopped")
            elif now >= run.fails_at:
                self._end(run, "failed")
            elif plan is None or plan.spec.get("long_running"):
                continue
            elif run.began is None:
                if now - run.started > GANG_TIMEOUT:
                    self._end(run, "alone")
            elif now - run.began >= plan.seconds:
                self._finish(run, plan)

    def _finish(self, run: Run, plan: StepPlan) -> None:
        if not plan.spec.get("gang"):
            self._end(run, "done")
            return
        members = self._gang(run)
        for member in list(members.values()):
            member.worker.finish_member(member)
        members.clear()

    def finish_member(self, run: Run) -> None:
        """Ends a member of a gang as done."""
        self._end(run, "done")

    def break_member(self, run: Run) -> None:
        """Ends a member of a gang of which another member has ended."""
        if (run.task, run.number) in self.runs:
            self._end(run, "broken")

    def _gang(self, run: Run) -> dict[str, Run]:
        step = run.task.rpartition(".")[0]
        return self.world.gangs.setdefault((step, run.number), {})

    def _break_gang(self, run: Run) -> None:
        plan = self.world.plan(run.task)
        if plan is None or not plan.spec.get("gang"):
            return
        members = self._gang(run)
        members.pop(run.task, None)
        if run.began is None:
            return
        others = list(members.values())
        members.clear()
        for other in others:
            if other.fails_at == float("inf"):
                other.worker.break_member(other)

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self._count += 1
        self._lapses_at_end[self._count] = self.lapses
        saved = self._saved(run)
        self.ends.append([self._count, run.task, run.number, how, saved])
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self.world.note(how, self.id, run.task, run.number)
        self._changed.set()
        self._changed = asyncio.Event()
        if how != "done":
            self._break_gang(run)

    def _saved(self, run: Run) -> str:
        plan = self.world.plan(run.task)
        if plan is None or not plan.spec.get("checkpointing"):
            return ""
        if run.began is None:
            return run.saved
        worked = run.first_ms + (time.monotonic() - run.began) * 1000
        job = run.task.partition(".")[0]
        return f"{int(worked):08x}{job[:8]}"

    def _percent(self, run: Run) -> int:
        plan = self.world.plan(run.task)
        if plan is None or plan.spec.get("long_running"):
            return 100
        if run.began is None:
            return 0
        worked = time.monotonic() - run.began
        return min(int(worked / max(plan.seconds, 0.01) * 100), 99)

    def _free(self) -> dict[str, int]:
        free = dict(self.capacity)
        for run in self.runs.values():
            plan = self.world.plan(run.task)
            if plan is not None:
                for name, value in _size(plan.spec).items():
                    free[name] -= value
        return free

    async def _handle(self, request: Request) -> Reply | None:
        await asyncio.sleep(0.001)
        if self.cut:
            return None
        if request.headers.get("x-expected-instance") != self.id:
            return json_reply(421, {})
        body = json.loads(request.body)
        name = request.path.rpartition("/")[2]
        if (
            name in ("run-start", "run-stop")
            and self.late_share
            and self.store.random.random() < self.late_share
        ):
            asyncio.get_running_loop().call_later(
                self.store.random.uniform(2, 12), self._call, name, body
            )
            return None
        if name == "hold":
            return await self._hold(body)
        return self._call(name, body)

    def _refuse(self, reason: str) -> Reply:
        return json_reply(
            409, {"clock_ms": int(self.clock() * 1000), "reason": reason}
        )

    def _check_token(self, body: dict[str, Any]) -> bool:
        token = int(body.get("fencing_token", 0))
        if token < self._token:
            return False
        self._token = token
        return True

    def _extend(self, body: dict[str, Any]) -> None:
        if "deadline_ms" in body:
            deadline = min(body["deadline_ms"] / 1000, self.clock() + MAX_HOLD)
            self._lease_end = max(self._lease_end, deadline)
            self._lapsed = self.clock() > self._lease_end

    def _call(self, name: str, body: dict[str, Any]) -> Reply:
        if self.dead:
            return json_reply(421, {})
        self._advance()
        if not self._check_token(body):
            return self._refuse("fence")
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            self._stop(body)
        return json_reply(200, {"clock_ms": int(self.clock() * 1000)})

    def _start(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run_id"]
        ok = json_reply(200, {"clock_ms": int(self.clock() * 1000)})
        if (task, number) in self.runs:
            return ok
        if body["deadline_ms"] / 1000 <= self.clock():
            return self._refuse("late")
        plan = self.world.plan(task)
        if plan is None:
            self.world.note("unasked", self.id, task, number)
            return json_reply(400, {})
        if number <= self._barred.get(task, 0):
            self._extend(body)
            return self._refuse("old")
        size, free = _size(plan.spec), self._free()
        over = any(size[name] > free[name] for name in size)
        if over and self.guards:
            self._extend(body)
            return self._refuse("room")
        if over:
            self.world.note("over", self.id, task, number)
        self._extend(body)
        run = Run(
            self, task, number, body.get("checkpoint", ""), time.monotonic()
        )
        if run.saved:
            run.first_ms = int(run.saved[:8], 16)
        self.runs[task, number] = run
        self.world.note("start", self.id, task, number)
        if self.grey:
            run.fails_at = time.monotonic() + 0.2
        if plan.spec.get("gang"):
            run.began = None
            members = self._gang(run)
            members[task] = run
            if len(members) == plan.spec["count"]:
                for member in members.values():
                    member.began = time.monotonic()
                    member.fails_at = (
                        time.monotonic() + 0.2
                        if member.worker.grey
                        else float("inf")
                    )
        return ok

    def _stop(self, body: dict[str, Any]) -> None:
        task, number = body["task"], body["run_id"]
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None:
            run.stopping_until = min(
                run.stopping_until, time.monotonic() + STOP_SECONDS
            )

    async def _hold(self, body: dict[str, Any]) -> Reply | None:
        self._advance()
        if not self._check_token(body):
            return self._refuse("fence")
        for end in self.ends:
            is_valid = self._lapses_at_end[end[0]] == self.lapses
            if end[0] <= body["last_seen"] and is_valid:
                self.world.note("noted-" + end[3], self.id, end[1], end[2])
        self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
        self._extend(body)
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    changed.wait(), max(until - time.monotonic(), 0)
                )
        self._advance()
        if self.cut:
            return None
        running = [
            [r.task, r.number, self._saved(r), self._percent(r), 0]
            for r in self.runs.values()
        ]
        listing = {
            "clock_ms": int(self.clock() * 1000),
            "running": running,
            "completions": self.ends[:500],
        }
        if self.born:
            listing["born"] = self.born
        return json_reply(200, listing)


def _size(spec: dict[str, Any]) -> dict[str, int]:
    cpu = 0 if spec.get("fill_count") else spec.get("cpu", 0)
    return {
        "cpu": cpu,
        "mem_mb": spec.get("mem_mb", 0),
        "gpus": spec.get("gpus", 0),
    }


class Vm:
    """An entry VM, which runs the program of the deploy file."""

    def __init__(
        self, name: str, ip: str, ports: list[int], store: str, folder: Path
    ) -> None:
        """Writes the settings file."""
        self.name = name
        self.ip = ip
        self.frontend = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self.process: subprocess.Popen[bytes] | None = None
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._folder = folder
        self.write_settings(store, ports)

    def write_settings(self, store: str, ports: list[int]) -> None:
        """Writes the settings file, like the platform."""
        lines = [
            f"node_name={self.name}",
            "role=entry",
            "machine_class=edge",
            "serves=edge",
            f"ip={self.ip}",
            "zone=north",
            "region=here",
            f"listen_addrs.frontend={self.frontend}",
            f"listen_addrs.ready={self.ready}",
            f"internal_ports={ports[2]},{ports[3]}",
            "limits.cpu_share=0.43",
            "limits.cpu_cores=1",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "heartbeat_ms=1500",
            "bounds.contact_ms=3000",
            "bounds.ack_ms=4000",
            "bounds.drain_ms=2000",
            "bounds.grace_s=6",
            "bounds.config_apply_ms=2000",
            "bounds.max_hold_ms=6000",
            "bounds.stop_ms=400",
            "bounds.gang_timeout_ms=3000",
            "bounds.status_s=120",
            "control_mode=invocation",
            f"platform.address={store}",
            "platform.form=log",
            "platform.record_bytes=262144",
        ]
        self._path.write_text("\n".join(lines) + "\n", "utf-8")

    def start(self) -> None:
        """Starts the process, with the variables that the platform gives."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PIMENTOCROSS_BOOT": str(self._path),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-P", "-m", "pimentocross.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process, frozen or not."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Returns what the processes of this VM wrote."""
        return self._log.read_text("utf-8", "replace")


class Platform:
    """The whole platform of one script."""

    def __init__(self, record: Record, folder: Path, seed: int = 0) -> None:
        """Initializes a platform without workers and VMs."""
        self.record = record
        self.folder = folder
        self.store = Store(record, seed)
        self.world = World(record)
        self.workers: list[Worker] = []
        self.vms: list[Vm] = []
        self.queues: dict[str, dict[str, Any]] = {}
        self.services: dict[str, bool] = {SERVICE: True}
        self._version = 0

    async def open(self, vms: int, queues: dict[str, dict[str, Any]]) -> None:
        """Opens the store, publishes a configuration and starts the VMs."""
        await self.store.server.open()
        self.queues = queues
        self.publish()
        ports = _free_ports(4)
        for number in range(vms):
            vm = Vm(
                f"edge-north-{number + 1}",
                f"127.0.0.{11 + number}",
                ports,
                self.store.server.address,
                self.folder,
            )
            self.vms.append(vm)
            vm.start()

    def publish(self) -> None:
        """Publishes the queues as a new version of the configuration."""
        self._version += 3
        routes = [
            {
                "name": "r-" + prefix.strip("/"),
                "hostname": QUEUE_HOST,
                "path_prefix": prefix,
                "route_type": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": 0,
                "backend": SERVICE,
                "max_attempts": 3,
                "slack_factor": 1.5,
            }
            | extra
            for prefix, extra in self.queues.items()
        ]
        services = [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": guards,
                "standby": False,
            }
            for name, guards in self.services.items()
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self._version,
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )

    async def add_worker(
        self,
        number: int,
        life: int = 0,
        cpu: int = 16000,
        service: str = SERVICE,
        labels: tuple[str, ...] = ("a",),
        gpus: int = 0,
        racks: int = 3,
        born: int = 0,
    ) -> Worker:
        """Opens a life of a worker's machine."""
        worker = Worker(
            self.world,
            self.store,
            f"i-{number:04x}{life:04x}",
            f"m-{number:05x}",
            {"cpu": cpu, "mem_mb": 64000, "gpus": gpus},
            [*labels, f"r1-{number % racks + 1}"],
            service,
            self.services[service],
            born,
        )
        await worker.open()
        self.workers.append(worker)
        return worker

    def close(self) -> None:
        """Ends all processes that were started."""
        for vm in self.vms:
            vm.end()

    async def wait_until_ready(self, seconds: float = 15.0) -> bool:
        """Waits until all VMs say that they are ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = [
                await call(vm.ready, "GET", "/pimentocross/readyz", None, 1.0)
                for vm in self.vms
            ]
            if all(reply is not None and reply[0] == 200 for reply in found):
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(
        self,
        vm: Vm,
        method: str,
        path: str,
        body: object = None,
        deadline: float = 3.0,
    ) -> tuple[int, Any] | None:
        """Sends a requester's call and returns the answer, None without."""
        reply = await call(vm.frontend, method, path, body, deadline)
        told = "no answer" if reply is None else f"{reply[0]} {reply[1]}"
        self.record.note(method, path, "at", vm.name, "->", told)
        return reply

    def plan(
        self, job: str, steps: list[dict[str, Any]], seconds: list[float]
    ) -> None:
        """Tells the workers how a submission's tasks behave."""
        for number, (spec, wanted) in enumerate(
            zip(steps, seconds, strict=True)
        ):
            self.world.steps[f"{job}.{number}"] = StepPlan(spec, wanted)

    async def submit(
        self,
        prefix: str,
        job: str,
        steps: list[dict[str, Any]],
        seconds: list[float],
        vms: list[Vm] | None = None,
        **extra: object,
    ) -> bool:
        """Hands a submission in, again at other VMs while it isn't clear."""
        self.plan(job, steps, seconds)
        body = {"spec": "x" + job, "job_steps": steps} | extra
        tried = vms or self.vms
        for attempt in range(5):
            vm = tried[attempt % len(tried)]
            reply = await self.ask(vm, "POST", prefix + job, body)
            if reply is not None and 200 <= reply[0] < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, prefix: str, job: str) -> str:
        """Returns the state that a VM shows, or the status, or ""."""
        for vm in self.vms:
            if vm.process is None or vm.process.poll() is not None:
                continue
            reply = await self.ask(vm, "GET", prefix + job)
            if reply is not None and reply[0] in (200, 410):
                if reply[0] == 410:
                    return "410"
                return str(reply[1].get("state", ""))
        return ""

    async def wait_for_state(
        self, prefix: str, job: str, wanted: set[str], seconds: float
    ) -> str:
        """Waits until a submission is in one of some states."""
        until = time.monotonic() + seconds
        state = ""
        while time.monotonic() < until:
            state = await self.state(prefix, job)
            if state in wanted:
                return state
            await asyncio.sleep(0.5)
        return state


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for probe in sockets:
        probe.bind(("127.0.0.11", 0))
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


async def call(
    address: str, method: str, path: str, body: object, deadline: float
) -> tuple[int, Any] | None:
    """Sends one request on a channel of its own; None without an answer."""
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
    ):
        return await asyncio.wait_for(
            _exchange(address, method, path, body, deadline), deadline
        )
    return None


async def _exchange(
    address: str, method: str, path: str, body: object, deadline: float
) -> tuple[int, Any]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
            f"Content-Type: application/json\r\n"
            f"X-Deadline-Ms: {int(deadline * 1000)}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        writer.write(head.encode() + content)
        first, headers = await _read_head(reader)
        answer = await reader.readexactly(int(headers["content-length"]))
        status = int(first.split(" ")[1])
        return status, json.loads(answer) if answer else None
    finally:
        writer.close()


def main(
    folder: Path, script: Callable[[Platform, bool], Awaitable[int]]
) -> int:
    """Runs a script's case and returns its exit code.

    Args:
        folder: The case's folder, for the record.
        script: Plays the case with or without trouble.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play() -> int:
        # Open channels end with the process.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with tempfile.TemporaryDirectory() as temporary:
            platform = Platform(
                record, Path(temporary), int(os.environ.get("SEED", "0"))
            )
            try:
                return await asyncio.wait_for(script(platform, trouble), 115)
            except TimeoutError:
                record.note("the case took too long")
                return 2
            finally:
                platform.close()
                if "KEEP_LOGS" in os.environ:
                    for vm in platform.vms:
                        sys.stderr.write(vm.log())

    code = asyncio.run(play())
    record.note("exit code", code)
    return code
