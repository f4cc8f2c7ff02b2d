"""Starts a small deployment on loopback and records what it does.

The entry VMs are the project's own program, started as the deploy file says.
Everything that a case starts is ended when the block of `deployment` ends.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import http.client
import json
import os
from pathlib import Path
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import Any, Final

HOST: Final = "127.0.0.1"
PREFIX: Final = "/plans/"
# A queue of a lower priority.
NIGHT: Final = "/night/"
ROOT: Final = Path(__file__).resolve().parents[2]
_HERE: Final = Path(__file__).resolve().parent
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case couldn't be run."""


def free_ports(count: int) -> list[int]:
    """Returns ports that are free on the loopback address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((HOST, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Worker:
    """A machine and the newest life of the worker on it."""

    def __init__(self, number: int, cpu: int, kind: str = "a") -> None:
        """Initializes a machine without a life."""
        self.machine = f"m-{number}"
        self.kind = kind
        self.rack = f"r{number % 2}"
        self.address = f"{HOST}:{free_ports(1)[0]}"
        self.cpu = cpu
        self.life = ""
        self.lives = 0
        self.process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Processes of one deployment, and the record of a case."""

    def __init__(self, record: Path, folder: Path) -> None:
        """Initializes a deployment without processes."""
        self.workers: list[Worker] = []
        self.callers: list[str] = []
        self.vms: list[subprocess.Popen[bytes]] = []
        self._ready: list[str] = []
        self._folder = folder
        self._record = record.open("w", encoding="utf-8")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._store = ""
        self._offsets: dict[Path, int] = {}
        self._events: list[dict[str, Any]] = []
        self._began = time.time()

    def note(self, what: str, **fields: object) -> None:
        """Writes a line to the record."""
        at = round(time.time() - self._began, 3)
        self._record.write(json.dumps({"at": at, "is": what, **fields}) + "\n")
        self._record.flush()

    def _start(
        self, name: str, words: list[str], **env: str
    ) -> subprocess.Popen[bytes]:
        path = f"{ROOT / 'target' / 'deps'}"
        kept = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        output = (self._folder / f"{name}.out").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-P", *words],
            cwd=ROOT,
            env={**kept, "PYTHONPATH": path, **env},
            stdout=output,
            stderr=output,
        )
        self._processes.append(process)
        return process

    def start_store(self) -> None:
        """Starts the store and publishes the first configuration."""
        port = free_ports(1)[0]
        self._store = f"{HOST}:{port}"
        self._start("store", [str(_HERE / "store.py"), str(port)])
        wait_for(lambda: _is_open(self._store), 10, "the store")
        self.configure(1)

    def configure(self, version: int) -> None:
        """Writes a version of the configuration, as the operator does."""
        config = {
            "version": version,
            "routes": [
                _route("r-plans", PREFIX, 0),
                _route("r-night", NIGHT, 2),
            ],
            "services": [
                {
                    "name": "stock",
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
        key = b"config"
        content = bytes([len(key)]) + key + json.dumps(config).encode()
        body = struct.pack(">I", len(content)) + content
        path = "/pimentocross/log-append?topic=keyed.op&part=0"
        status, _ = _http(self._store, "POST", path, body)
        if status != 200:
            raise CaseError(f"the configuration: status {status}")
        self.note("configured", version=version)

    def start_vms(self, count: int) -> None:
        """Starts the entry VMs and waits until they take callers."""
        for number in range(count):
            frontend, ready, peer, metrics = free_ports(4)
            settings = self._folder / f"vm{number}.conf"
            values = {
                "node_name": f"edge-north-{number}",
                "role": "entry",
                "machine_class": "edge",
                "serves": "edge",
                "ip": HOST,
                "zone": "north",
                "region": "r",
                "zones.north": "r",
                "listen_addrs.frontend": f"{HOST}:{frontend}",
                "listen_addrs.ready": f"{HOST}:{ready}",
                "internal_ports": f"{peer},{peer}",
                "limits.cpu_share": "0.43",
                "limits.cpu_cores": "1",
                "limits.memory_mb": "300",
                "limits.max_fds": "4100",
                "bounds.grace_s": "6",
                "bounds.max_hold_ms": "6000",
                "bounds.status_s": "120",
                "bounds.config_apply_ms": "2000",
                "control_mode": "invocation",
                "platform.address": self._store,
                "platform.form": "log",
                "platform.record_bytes": "262144",
            }
            lines = [f"{name}={value}" for name, value in values.items()]
            settings.write_text("\n".join(lines) + "\n", "utf-8")
            self.vms.append(
                self._start(
                    f"vm{number}",
                    ["-m", "pimentocross.platform"],
                    PIMENTOCROSS_BOOT=str(settings),
                    PIMENTOCROSS_METRICS_PORT=str(metrics),
                )
            )
            self.callers.append(f"{HOST}:{frontend}")
            self._ready.append(f"{HOST}:{ready}")
        wait_for(self._all_ready, 20, "ready entry VMs")
        self.note("vms_ready", vms=count)

    def _all_ready(self) -> bool:
        return all(
            _http(address, "GET", "/pimentocross/readyz")[0] == 200
            for address in self._ready
        )

    def start_workers(self, count: int, cpu: int, special: str = "") -> None:
        """Starts one worker on each of some new machines.

        Args:
            count: Number of machines.
            cpu: Processor time of each, in thousandths of a core.
            special: Kind of the first machine; the others are of kind "a".
        """
        for number in range(count):
            kind = special if special and not number else "a"
            worker = Worker(len(self.workers), cpu, kind)
            self.workers.append(worker)
            self.start_life(worker)

    def start_life(self, worker: Worker) -> None:
        """Starts the next life of a machine's worker, at the same address."""
        worker.lives += 1
        worker.life = f"i-{worker.machine}-{worker.lives}"
        worker.process = self._start(
            worker.life,
            [
                str(_HERE / "worker.py"),
                worker.life,
                worker.machine,
                worker.rack,
                worker.address,
                self._store,
                str(worker.cpu),
                worker.kind,
            ],
        )
        self.note("worker_started", worker=worker.life)

    def crash(self, worker: Worker) -> None:
        """Kills the worker on a machine."""
        assert worker.process is not None
        self.note("worker_killed", worker=worker.life)
        worker.process.kill()
        worker.process.wait()

    def call(
        self,
        vm: int,
        method: str,
        job: str,
        body: object = None,
        prefix: str = PREFIX,
    ) -> tuple[int, dict[str, Any]]:
        """Sends a caller's request; the status is 0 without an answer."""
        content = b"" if body is None else json.dumps(body).encode()
        asked = time.time()
        status, answer = _http(self.callers[vm], method, prefix + job, content)
        self.note(
            "call",
            vm=vm,
            method=method,
            path=prefix + job,
            status=status,
            answer=answer,
            took=round(time.time() - asked, 3),
        )
        return status, answer

    def submit(
        self, job: str, *steps: dict[str, object], prefix: str = PREFIX
    ) -> None:
        """Submits a job until it is accepted; each retry asks the next VM."""
        body = {"spec": "text", "job_steps": list(steps)}
        for attempt in range(5):
            vm = attempt % len(self.callers)
            if self.call(vm, "POST", job, body, prefix)[0] == 200:
                return
            time.sleep(0.5)
        raise CaseError(f"{job} wasn't accepted")

    def events(self) -> list[dict[str, Any]]:
        """Returns all events of runs so far; new ones go to the record."""
        for path in sorted(self._folder.glob("i-*.out")):
            with path.open("rb") as file:
                file.seek(self._offsets.get(path, 0))
                for line in file:
                    if not line.endswith(b"\n"):
                        break
                    self._offsets[path] = self._offsets.get(path, 0) + len(line)
                    if line.startswith(b"{"):
                        event = json.loads(line)
                        at = round(event.pop("at") - self._began, 3)
                        self._events.append({**event, "at": at})
                        line_out = {"at": at, "is": "run_event", **event}
                        self._record.write(json.dumps(line_out) + "\n")
        self._record.flush()
        return self._events

    def running(self) -> dict[tuple[str, int], str]:
        """Returns the worker of each run that is in progress now."""
        alive = {w.life for w in self.workers if _is_up(w)}
        found: dict[tuple[str, int], str] = {}
        for event in self.events():
            key = (event["task"], event["run"])
            if event["what"] == "start" and event["worker"] in alive:
                found[key] = event["worker"]
            elif not event["what"].startswith("noted"):
                found.pop(key, None)
        return found

    def worker_of(self, life: str) -> Worker:
        """Returns the machine on which a life runs."""
        return next(w for w in self.workers if w.life == life)

    def stop(self) -> None:
        """Ends all processes that were started here."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
        self.events()
        self._record.close()


def _route(name: str, prefix: str, priority: int) -> dict[str, object]:
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 250,
        "priority": priority,
        "backend": "stock",
        "max_attempts": 3,
        "slack_factor": 1.5,
    }


def _is_up(worker: Worker) -> bool:
    return worker.process is not None and worker.process.poll() is None


def wait_for(condition: Any, seconds: float, what: str) -> None:
    """Waits until a condition holds.

    Raises:
        CaseError: It doesn't hold in time.
    """
    until = time.time() + seconds
    while not condition():
        if time.time() > until:
            raise CaseError(f"no {what} within {seconds} s")
        time.sleep(0.01)


def _is_open(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


def _http(
    address: str, method: str, path: str, body: bytes = b""
) -> tuple[int, dict[str, Any]]:
    connection = http.client.HTTPConnection(address, timeout=4.0)
    headers = {
        "Content-Type": "application/json",
        "Host": HOST,
        "X-Deadline-Ms": "3000",
    }
    try:
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        content = answer.read()
    except OSError:
        return 0, {}
    except http.client.HTTPException:
        return 0, {}
    finally:
        connection.close()
    try:
        decoded = json.loads(content) if content else {}
    except ValueError:
        decoded = {}
    return answer.status, decoded


@contextmanager
def deployment(record: Path) -> Iterator[Deployment]:
    """Yields an empty deployment; ends its processes after the block."""
    with tempfile.TemporaryDirectory() as folder:
        stage = Deployment(record, Path(folder))
        try:
            yield stage
        finally:
            stage.stop()
