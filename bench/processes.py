"""Starts a cluster and its stand-ins as local processes."""

from collections.abc import Iterator
from contextlib import contextmanager
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

import httpcore
import msgspec

from pimentocross.config.load import load_configuration, read_folder
from pimentocross.config.schema import Configuration
from pimentocross.standins.dev import free_port
from pimentocross.standins.journal import JournalEntry, read_journal

HOST = "127.0.0.1"
TOKEN = "bench-token"
_KEY = "bench-key"
_START_TIMEOUT = 60.0


class EntryAddress(NamedTuple):
    """The name, the zone and the host:port addresses of an entry process."""

    name: str
    zone: str
    caller: str
    operator: str
    peer: str


class Resources(NamedTuple):
    """Resources used by a process.

    Attributes:
        cpu_seconds: Processor time since the start.
        memory: Resident memory in bytes.
    """

    cpu_seconds: float
    memory: int


class Processes:
    """Child processes by name."""

    def __init__(self, folder: Path) -> None:
        """Initializes with the folder for outputs and journals."""
        self.folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, *arguments: str) -> None:
        """Starts `pimentocross` with arguments under a name."""
        output = (self.folder / f"{name}.out").open("ab")
        environment = {
            **os.environ,
            "PIMENTOCROSS_PEER_KEYS": _KEY,
            "PIMENTOCROSS_WORKER_KEY": _KEY,
            "PIMENTOCROSS_OPERATOR_TOKEN": TOKEN,
        }
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", "pimentocross", *arguments],
            stdout=output,
            stderr=output,
            env=environment,
        )
        output.close()

    def kill(self, name: str) -> float:
        """Kills a process; returns the monotonic time of its end."""
        process = self._running.pop(name)
        process.kill()
        process.wait()
        return time.monotonic()

    def stop(self, name: str, timeout: float) -> int:
        """Terminates a process gracefully; returns its exit code.

        Raises:
            subprocess.TimeoutExpired: If it still runs after `timeout` seconds.
        """
        process = self._running.pop(name)
        process.terminate()
        return process.wait(timeout)

    def pause(self, name: str) -> None:
        """Suspends a process."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self._running[name].send_signal(signal.SIGCONT)

    def used(self, name: str) -> Resources:
        """Returns the resources used by a process."""
        pid = self._running[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
        parts = fields.split()
        ticks = int(parts[11]) + int(parts[12])
        pages = int(parts[21])
        return Resources(
            ticks / os.sysconf("SC_CLK_TCK"),
            pages * os.sysconf("SC_PAGE_SIZE"),
        )

    def kill_all(self) -> None:
        """Kills all processes that still run."""
        for name in list(self._running):
            self._running[name].send_signal(signal.SIGCONT)
            self.kill(name)


class Cluster(NamedTuple):
    """The processes of a cluster and their addresses."""

    processes: Processes
    config: Configuration
    log: str
    vm_list: str
    entries: dict[str, EntryAddress]
    workers: list[str]

    def start_entry(self, name: str) -> None:
        """Starts an entry process, or restarts one that has ended."""
        entry = self.entries[name]
        arguments = [
            "entry",
            f"--name={name}",
            f"--zone={entry.zone}",
            f"--cluster={self.config.cluster}",
            f"--log={self.log}",
            f"--vm-list={self.vm_list}",
            f"--host={HOST}",
            f"--caller-port={_port(entry.caller)}",
            f"--operator-port={_port(entry.operator)}",
            f"--peer-port={_port(entry.peer)}",
        ]
        self.processes.start(name, *arguments)
        vm = [name, "entry", entry.peer, entry.zone, "rack-0", "live", name]
        request_json("PUT", f"http://{self.vm_list}/vms/{name}", vm)

    def journal(self) -> list[JournalEntry]:
        """Returns the journal entries of all workers."""
        entries: list[JournalEntry] = []
        for path in self.processes.folder.glob("*.journal"):
            with path.open("rb") as lines:
                entries.extend(read_journal(lines))
        return entries


def request_json(
    method: str, url: str, body: object = None, token: str = TOKEN
) -> tuple[int, Any]:
    """Sends a JSON request.

    Returns:
        The status and the decoded reply, or 0 and None on a connection error.
    """
    headers = [("Authorization", f"Bearer {token}")]
    timeouts = dict.fromkeys(["connect", "read", "write", "pool"], 60.0)
    content = msgspec.json.encode(body) if body is not None else b""
    try:
        reply = httpcore.request(
            method,
            url,
            headers=headers,
            content=content,
            extensions={"timeout": timeouts},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return 0, None
    return reply.status, msgspec.json.decode(reply.content)


@contextmanager
def open_processes() -> Iterator[Processes]:
    """Yields a `Processes` and kills its processes on exit."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder))
        try:
            yield processes
        finally:
            processes.kill_all()


@contextmanager
def open_process_cluster(
    folder: Path,
    entries: int,
    *,
    retention: float = 3600.0,
    service_time: float = 0.005,
) -> Iterator[Cluster]:
    """Runs the workers of a configuration and a number of entry processes.

    Args:
        folder: Folder of the configuration files.
        entries: Number of entry processes.
        retention: Seconds for which the log keeps records.
        service_time: Seconds that a worker takes to serve a request.
    """
    config = load_configuration(read_folder(folder)).ok
    with open_processes() as processes:
        log, vm_list = (f"{HOST}:{free_port()}" for _ in range(2))
        processes.start(
            "log",
            "standin",
            "log",
            f"--port={_port(log)}",
            f"--retention={retention}",
        )
        processes.start("vms", "standin", "vms", f"--port={_port(vm_list)}")
        _wait_until_answering(
            [f"http://{log}/streams/x?from=0", f"http://{vm_list}/vms"]
        )
        zones = sorted(config.zones)
        addresses = {}
        for number in range(entries):
            zone = zones[number % len(zones)]
            name = f"entry-{number}"
            ports = [f"{HOST}:{free_port()}" for _ in range(3)]
            addresses[name] = EntryAddress(name, zone, *ports)
        workers = _start_workers(processes, config, vm_list, service_time)
        cluster = Cluster(processes, config, log, vm_list, addresses, workers)
        for name in addresses:
            cluster.start_entry(name)
        _wait_until_answering(
            [f"http://{e.operator}/config" for e in addresses.values()]
        )
        yield cluster


def _start_workers(
    processes: Processes,
    config: Configuration,
    vm_list: str,
    service_time: float,
) -> list[str]:
    names = []
    size = config.workers
    for zone, declared in config.zones.items():
        for number in range(declared.workers):
            name = f"{zone}-w{number}"
            names.append(name)
            processes.start(
                name,
                "standin",
                "worker",
                name,
                f"--zone={zone}",
                f"--vm-list={vm_list}",
                f"--port={free_port()}",
                f"--processors={size.processors}",
                f"--memory={size.memory}",
                f"--slots={size.slots}",
                f"--connections={size.connections}",
                f"--service-time={service_time}",
                f"--journal={processes.folder / name}.journal",
            )
    return names


def _wait_until_answering(urls: list[str]) -> None:
    deadline = time.monotonic() + _START_TIMEOUT
    for url in urls:
        while request_json("GET", url)[0] == 0:
            if time.monotonic() > deadline:
                raise TimeoutError(url)
            time.sleep(0.1)


def _port(address: str) -> str:
    return address.rpartition(":")[2]
