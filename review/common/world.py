"""Runs entry VMs as processes against stand-ins of the platform on loopback."""

import argparse
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Sequence,
)
from contextlib import asynccontextmanager, suppress
import json
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from typing import Any

import trio

from pimentocross.links.http_pool import HttpCallError, HttpPool
from pimentocross.links.listener import HttpListener, ListenerLimits
from review.common.store import Store
from review.common.workers import Plan, Worker, Workers

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
# The bounds of the small deployments' settings.
BOUNDS = {
    "contact_ms": 3000.0,
    "ack_ms": 4000.0,
    "drain_ms": 2000.0,
    "grace_s": 6.0,
    "config_apply_ms": 2000.0,
    "max_hold_ms": 6000.0,
    "stop_ms": 400.0,
    "gang_timeout_ms": 3000.0,
    "cancel_ms": 3000.0,
    "visible_ms": 3000.0,
    "finish_s": 14.0,
    "status_s": 120.0,
    "checkpoint_s": 2.0,
}
RECORD_BYTES = 262_144
BEAT_SECONDS = 1.5
HEADERS = 16 * 1024
BODY = 4 * 1024 * 1024
PREFIX = "/plans/"
SERVICE = "stock"


class Job:
    """A submission, as it was sent.

    Attributes:
        attempts: Status of each attempt to hand it in, 0 for none.
        accepted_at: Time of the first 2xx, or None.
    """

    def __init__(
        self,
        job: str,
        body: dict[str, Any],
        seconds: Sequence[float],
        fails: Sequence[int] = (),
    ) -> None:
        """Initializes a submission.

        Args:
            job: Its id.
            body: What is sent.
            seconds: Work of a task of each step.
            fails: How many runs of each task of a step fail first.
        """
        self.id = job
        self.body = body
        self.seconds = list(seconds)
        self.fails = list(fails) or [0] * len(self.seconds)
        self.attempts: list[int] = []
        self.accepted_at: float | None = None
        self.state = ""


class World:
    """The platform and the callers of one script.

    Attributes:
        events: Everything that was sent, answered and run, in order.
    """

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        """Initializes a world without VMs and workers."""
        self.events: list[dict[str, Any]] = []
        self.jobs: dict[str, Job] = {}
        self.store = Store(RECORD_BYTES, self.note)
        self.workers = Workers(self.plan_of, BOUNDS, self.note)
        self.vms: dict[str, EntryVm] = {}
        self.adviser_address = ""
        self._folder = folder
        self._nursery = nursery
        self._began = trio.current_time()
        self._lives = 0
        self.store_address = ""

    def now(self) -> float:
        """Returns the seconds since the beginning."""
        return round(trio.current_time() - self._began, 3)

    def note(self, kind: str, **fields: Any) -> None:
        """Takes down what happened."""
        self.events.append({"t": self.now(), "is": kind, **fields})

    def find(self, kind: str, **fields: Any) -> list[dict[str, Any]]:
        """Returns the events of a kind with these fields."""
        return [
            event
            for event in self.events
            if event["is"] == kind
            and all(event.get(name) == value for name, value in fields.items())
        ]

    def plan_of(self, task: str) -> Plan | None:
        """Returns how a task behaves, or None if nobody sent it."""
        name, _, step, _ = task.rsplit(".", 3)
        job = self.jobs.get(name)
        if job is None:
            return None
        number = int(step)
        steps = job.body["job_steps"]
        return Plan(steps[number], job.seconds[number], job.fails[number])

    async def serve(self, handler: Any) -> str:
        """Serves a handler on a free port and returns host:port."""
        limits = ListenerLimits(HEADERS, BODY, 30.0, 60.0)
        listener = HttpListener(handler, lambda: limits)
        port = await self._nursery.start(listener.serve, f"{HOST}:0")
        return f"{HOST}:{port}"

    async def begin(self) -> None:
        """Starts the store and the workers' clockwork."""
        self.store_address = await self.serve(self.store.handle)
        self._nursery.start_soon(self.workers.run)

    def configure(
        self, version: int, routes: Sequence[dict[str, Any]] = ({},)
    ) -> None:
        """Publishes a configuration like the operator."""
        self.store.put("op", "config", _config(version, routes))

    async def add_worker(
        self,
        machine: str,
        rack: str,
        zone: str = "north",
        *,
        cpu: int = 16_000,
        mem_mb: int = 64_000,
        gpus: int = 0,
        kind: str = "a",
        life: str = "",
        born: int = 0,
    ) -> Worker:
        """Starts a worker, which then reports to the store."""
        self._lives += 1
        life = life or f"i-{random.getrandbits(24):06x}{self._lives:03}"
        entry = {
            "backend": SERVICE,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "machine_id": machine,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpus": gpus},
            "labels": [kind, rack],
            "sequence": 0,
        }
        if born:
            entry["born"] = born
        worker = Worker(self.workers, life, entry)
        entry["address"] = await self.serve(worker.handle)
        self._nursery.start_soon(self._beat, worker)
        return worker

    async def _beat(self, worker: Worker) -> None:
        while not worker.dead:
            worker.entry["sequence"] += 1
            self.store.put("servers", worker.life, worker.entry)
            await trio.sleep(BEAT_SECONDS)
        # An entry is removed after three missed reports.
        await trio.sleep(3 * BEAT_SECONDS)
        if worker.life not in self.workers.alive:
            self.store.put("servers", worker.life, None)

    async def crash(self, lives: Collection[str], seconds: float) -> None:
        """Crashes workers; their machines have new ones after some seconds."""
        workers = [self.workers.alive[life] for life in lives]
        for worker in workers:
            worker.crash()
        await trio.sleep(seconds)
        for worker in workers:
            entry = worker.entry
            await self.add_worker(entry["machine_id"], entry["labels"][1])

    def supervise(self, vm: "EntryVm", memory_mb: int = 0) -> None:
        """Starts a VM's process again whenever it ends.

        Args:
            vm: The VM.
            memory_mb: What the process may use before it is killed, 0 for any
                amount.
        """
        self._nursery.start_soon(vm.supervise, memory_mb)

    async def start_vm(self, name: str, **extra: str) -> "EntryVm":
        """Starts an entry VM and waits until it takes requests."""
        vm = self.vms.get(name) or EntryVm(self, name, self._folder, extra)
        self.vms[name] = vm
        vm.start()
        return vm

    async def call(
        self,
        vm: "EntryVm",
        method: str,
        path: str,
        body: Any = None,
        seconds: float = 3.0,
    ) -> tuple[int, Any]:
        """Sends a caller's request; returns status and body, or 0."""
        content = b"" if body is None else json.dumps(body).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"x-deadline-ms", b"%d" % int(seconds * 1000)),
        ]
        try:
            reply = await HttpPool(vm.frontend).call(
                method, path, content, seconds, headers
            )
        except HttpCallError as error:
            self.note(
                "no answer",
                vm=vm.name,
                method=method,
                path=path,
                why=str(error),
            )
            return 0, None
        answer = json.loads(reply.body) if reply.body else None
        self.note(
            "answer",
            vm=vm.name,
            method=method,
            path=path,
            status=reply.status,
            body=answer,
        )
        return reply.status, answer

    async def submit(
        self, job: Job, vms: Sequence["EntryVm"], tries: int = 5
    ) -> bool:
        """Hands a submission in, at another VM after each failure."""
        self.jobs[job.id] = job
        for number in range(tries):
            vm = vms[number % len(vms)]
            self.note("submit", job=job.id, vm=vm.name)
            status, _ = await self.call(vm, "POST", PREFIX + job.id, job.body)
            job.attempts.append(status)
            if status == 200:
                job.accepted_at = self.now()
                return True
            await trio.sleep(0.7)
        return False

    def begin_submit(self, job: Job, vms: Sequence["EntryVm"]) -> None:
        """Hands a submission in while the script goes on."""
        self._nursery.start_soon(self.submit, job, vms)

    def find_idle(self, jobs: Sequence[Job], seconds: float) -> list[str]:
        """Returns accepted submissions of which nothing runs.

        A submission is named if a task's turn has come and, for so many seconds
        up to now, none of its tasks was on a worker. That the workers have room
        is up to the script.
        """
        now = self.now()
        running: dict[str, int] = {}
        changed: dict[str, float] = {}
        done: dict[str, set[str]] = {}
        for event in self.events:
            task = event.get("task")
            if task is None or event["is"] not in ("began", "end", "lost"):
                continue
            job = task.split(".")[0]
            changed[job] = event["t"]
            began = event["is"] == "began"
            running[job] = running.get(job, 0) + (1 if began else -1)
            if event.get("how") == "done":
                done.setdefault(job, set()).add(task)
        return [
            f"LOST: {job.id}, accepted at {job.accepted_at}, has nothing"
            f" running from {changed.get(job.id, job.accepted_at)} to {now}"
            f" with {len(done.get(job.id, ()))} tasks done"
            for job in jobs
            if job.accepted_at is not None
            and not running.get(job.id)
            and len(done.get(job.id, ())) < _task_count(job)
            and now - changed.get(job.id, job.accepted_at) >= seconds
        ]

    async def state(self, job: str, vm: "EntryVm") -> str:
        """Returns a submission's state, or the status if it isn't 200."""
        status, body = await self.call(vm, "GET", PREFIX + job)
        return body["state"] if status == 200 else str(status)

    async def wait_for_state(
        self, job: Job, state: str, seconds: float, vm: "EntryVm"
    ) -> bool:
        """Asks for a submission until it has a state; returns whether."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            job.state = await self.state(job.id, vm)
            if job.state == state:
                return True
            await trio.sleep(0.25)
        return False


class EntryVm:
    """An entry VM: the program of the deploy file, as a process."""

    def __init__(
        self, world: World, name: str, folder: Path, extra: dict[str, str]
    ) -> None:
        """Writes the settings file; `start` starts the process."""
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.exits: list[int] = []
        self._world = world
        self._log = folder / f"{name}.log"
        ports = _free_ports(4)
        self.frontend = f"{HOST}:{ports[0]}"
        self.ready = f"{HOST}:{ports[1]}"
        self._metrics_port = str(ports[3])
        values = {
            "node_name": name,
            "role": "entry",
            "machine_class": "edge",
            "serves": "edge",
            "ip": HOST,
            "zone": "north",
            "region": "land",
            "zones.north": "land",
            "listen_addrs.frontend": self.frontend,
            "listen_addrs.ready": self.ready,
            "internal_ports": f"{ports[2]},{ports[2]}",
            "bootstrap": "true",
            "limits.cpu_share": "0.43",
            "limits.cpu_cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "heartbeat_ms": "1500",
            "control_mode": "invocation",
            "platform.address": world.store_address,
            "platform.form": "log",
            "platform.record_bytes": str(RECORD_BYTES),
            "platform.request_bytes": "2097152",
            **{f"bounds.{key}": f"{value:g}" for key, value in BOUNDS.items()},
            **extra,
        }
        if world.adviser_address:
            values["recommendation"] = world.adviser_address
        self._settings = folder / f"{name}.conf"
        lines = [f"{key}={value}\n" for key, value in values.items()]
        self._settings.write_text("".join(lines), "utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PIMENTOCROSS_BOOT": str(self._settings),
            "PIMENTOCROSS_METRICS_PORT": self._metrics_port,
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._world.note("vm started", vm=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._world.note("signal", vm=self.name, signal=number.name)
        self.process.send_signal(number)

    def poll(self) -> bool:
        """Returns whether it runs, and takes down an end by itself."""
        assert self.process is not None
        code = self.process.poll()
        if code is not None and len(self.exits) < 1000:
            self.exits.append(code)
            tail = self._log.read_text("utf-8", "replace").splitlines()[-1:]
            self._world.note("vm ended", vm=self.name, code=code, says=tail)
        return code is None

    async def supervise(self, memory_mb: int) -> None:
        """Starts the process again after each end, like the platform.

        Args:
            memory_mb: Limit of its memory, or 0; see `World.supervise`.
        """
        while True:
            await trio.sleep(0.1)
            used = self.memory_mb()
            if memory_mb and used > memory_mb:
                self._world.note("over its memory", vm=self.name, mb=used)
                self.kill()
            if not self.poll():
                await trio.sleep(0.5)
                self.start()

    def memory_mb(self) -> int:
        """Returns the memory that the process uses, in megabytes."""
        assert self.process is not None
        with suppress(OSError, IndexError):
            status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
            return int(status.partition("VmRSS:")[2].split()[0]) // 1024
        return 0

    async def wait_until_ready(self, seconds: float = 15.0) -> bool:
        """Waits for a 200 at its ready address."""
        pool = HttpPool(self.ready)
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            with suppress(HttpCallError):
                reply = await pool.call("GET", "/pimentocross/readyz", b"", 1.0)
                if reply.status == 200:
                    return True
            await trio.sleep(0.1)
        return False

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def _task_count(job: Job) -> int:
    """Returns the tasks of a submission that doesn't repeat."""
    return sum(step["count"] for step in job.body["job_steps"])


def _config(version: int, routes: Sequence[dict[str, Any]]) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": f"route{number}",
                "hostname": HOST,
                "path_prefix": PREFIX,
                "route_type": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": 0,
                "backend": SERVICE,
                "max_attempts": 4,
                "slack_factor": 2.0,
                **route,
            }
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": True,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def _free_ports(count: int) -> list[int]:
    """Returns free ports below those that outgoing connections get."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            ports.append(port)
    return ports


@asynccontextmanager
async def open_world() -> AsyncIterator[World]:
    """Serves a world for the block and ends all processes after it."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            world = World(Path(folder), nursery)
            await world.begin()
            try:
                yield world
            finally:
                for vm in world.vms.values():
                    vm.kill()
                if os.environ.get("REVIEW_LOGS"):
                    for vm in world.vms.values():
                        log = Path(folder) / f"{vm.name}.log"
                        target = Path(os.environ["REVIEW_LOGS"]) / log.name
                        target.write_bytes(log.read_bytes())
            nursery.cancel_scope.cancel()


Case = Callable[[World, bool], Awaitable[list[str]]]
"""Plays a case, with or without its disruption; returns the broken rules."""


class CannotRunError(Exception):
    """The case couldn't be played."""


def run_case(case: Case, folder: Path, seconds: float = 115.0) -> int:
    """Plays a case, writes its record, and returns the exit code.

    Args:
        case: The case.
        folder: Where the record is written.
        seconds: Time within which the case has to end.

    Returns:
        1 if a rule was broken, 0 if all held, 2 if the case couldn't run.
    """
    argparse.ArgumentParser(description=case.__doc__).parse_args()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lines = [f"trouble: {trouble}"]
    events: list[dict[str, Any]] = []
    broken: list[str] = []

    async def play() -> None:
        async with open_world() as world:
            world.events = events
            with trio.fail_after(seconds):
                broken.extend(await case(world, trouble))

    code = 0
    try:
        trio.run(play)
    except Exception as error:  # Whatever it is, no rule was judged.
        code = 2
        traceback.print_exception(error)
        lines.append(f"could not run: {error!r}")
    else:
        code = 1 if broken else 0
        lines.extend(broken or ["held"])
    head = "\n".join(lines[:6])
    lines.extend(json.dumps(event) for event in events)
    (folder / "record.txt").write_text("\n".join(lines) + "\n", "utf-8")
    sys.stdout.write(f"{head}\nexit {code}\n")
    return code
