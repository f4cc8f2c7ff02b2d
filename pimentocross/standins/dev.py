"""Runs the platform, workers, entry VMs and callers in one process."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
import random
import socket
from typing import NamedTuple

import trio

from pimentocross.backing.vms import Vm, VmRole, VmState
from pimentocross.backing.workers import TaskKind
from pimentocross.config.schema import Configuration
from pimentocross.config.state import KINDS, ConfigChanged
from pimentocross.entry.node import EntryNode, Platform, Ports, open_entry
from pimentocross.entry.settings import EntrySettings
from pimentocross.links.greeting import Credentials
from pimentocross.links.http_server import HttpListener, serve_http
from pimentocross.observe.histograms import Histograms, Summary
from pimentocross.standins.caller import CallerStandin, CallKind
from pimentocross.standins.checks import (
    find_concurrent_runs,
    find_duplicate_requests,
    find_overcommitted_workers,
    find_wrongly_refused,
    finished_tasks,
    read_runs,
)
from pimentocross.standins.direct import DirectDialer
from pimentocross.standins.journal import Journal
from pimentocross.standins.log import LogStandin
from pimentocross.standins.service import make_service_app
from pimentocross.standins.vms import VmListStandin
from pimentocross.standins.worker import WorkerShape, WorkerStandin

_HOST = "127.0.0.1"
_CALL_INTERVAL = 0.02
_JOB_INTERVAL = 0.25
_JOB_SECONDS = 1.0
_POST_PROBABILITY = 0.1
_SETTLE_TIMEOUT = 20.0
_FIRST_PORT = 15_000
_LAST_PORT = 30_000
_port_rng = random.SystemRandom()
_issued_ports: set[int] = set()


class WorkLine(NamedTuple):
    """The report's line on a batch class or watch."""

    name: str
    kind: str
    accepted: int
    finished: int
    ran_twice: int
    running: int


class CallLine(NamedTuple):
    """Number of calls with the same result and reason."""

    kind: str
    reason: str
    total: int


class DevReport(NamedTuple):
    """Results of a dev run; `broken` lists the violated guarantees."""

    latencies: list[Summary]
    work: list[WorkLine]
    calls: list[CallLine]
    broken: list[str]


class DevCluster(NamedTuple):
    """The components of a cluster that runs in one process."""

    config: Configuration
    log: LogStandin
    vms: VmListStandin
    journal: Journal
    workers: list[WorkerStandin]
    entries: list[EntryNode]
    ports: list[Ports]


def free_port() -> int:
    """Returns a free port that has not been returned before.

    The port is below the range that the system uses for outgoing connections,
    so that no such connection can take it before the caller binds it.
    """
    while True:
        port = _port_rng.randrange(_FIRST_PORT, _LAST_PORT)
        if port in _issued_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
        _issued_ports.add(port)
        return port


async def run_dev(
    files: dict[str, str], config: Configuration, seconds: float
) -> DevReport:
    """Runs a configuration under sample traffic for `seconds`."""
    async with open_dev_cluster(config) as cluster:
        await apply_files(cluster, files)
        await wait_services(cluster)
        caller = CallerStandin()
        jobs: dict[str, str] = {}
        refused: list[str] = []
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                await _send_traffic(nursery, cluster, caller, jobs, refused)
            # The nursery waits here until requests in flight are answered.
        await _wait_jobs(cluster, caller, jobs)
        return _report(cluster, caller, jobs, refused)


@asynccontextmanager
async def open_dev_cluster(
    config: Configuration,
) -> AsyncIterator[DevCluster]:
    """Starts the stand-ins and one entry VM in each availability zone."""
    log = LogStandin()
    vms = VmListStandin()
    journal = Journal()
    dialer = DirectDialer()
    async with trio.open_nursery() as nursery:
        workers = []
        for zone, declared in config.zones.items():
            for number in range(declared.workers):
                worker = _make_worker(config, zone, number, journal)
                await _start_worker(nursery, worker, dialer, vms)
                workers.append(worker)
        async with AsyncExitStack() as stack:
            entries: list[EntryNode] = []
            ports: list[Ports] = []
            for zone in config.zones:
                settings = _entry_settings(config, zone)
                platform = Platform(log, vms, dialer)
                node = EntryNode(settings, platform)
                _register_entry(vms, node)
                opened = await stack.enter_async_context(
                    open_entry(node, settings)
                )
                entries.append(node)
                ports.append(opened)
            yield DevCluster(config, log, vms, journal, workers, entries, ports)
        nursery.cancel_scope.cancel()


def _make_worker(
    config: Configuration, zone: str, number: int, journal: Journal
) -> WorkerStandin:
    shape = WorkerShape(
        f"{zone}-w{number}",
        zone,
        config.workers.resources,
        config.workers.connections,
    )
    return WorkerStandin(shape, journal)


async def _start_worker(
    nursery: trio.Nursery,
    worker: WorkerStandin,
    dialer: DirectDialer,
    vms: VmListStandin,
) -> None:
    nursery.start_soon(worker.run)
    port = await nursery.start(
        serve_http,
        make_service_app(worker.service),
        HttpListener(_HOST, 0),
        trio.sleep_forever,
    )
    worker.service_address = f"{_HOST}:{port}"
    name = worker.shape.name
    dialer.workers[name] = worker
    vms.put(
        Vm(
            name,
            VmRole.WORKER,
            name,
            worker.shape.cell,
            "rack-0",
            VmState.LIVE,
            worker.incarnation,
        )
    )


def _entry_settings(config: Configuration, zone: str) -> EntrySettings:
    return EntrySettings(
        f"entry-{zone}",
        zone,
        _HOST,
        0,
        0,
        free_port(),
        Credentials(config.cluster, [b"dev"]),
        "dev",
        drain_notice=0.0,
    )


def _register_entry(vms: VmListStandin, node: EntryNode) -> None:
    local_identity = node.peers.local_identity
    vms.put(
        Vm(
            local_identity.name,
            VmRole.ENTRY,
            local_identity.address,
            local_identity.zone,
            "rack-0",
            VmState.LIVE,
            local_identity.process,
        )
    )


async def apply_files(cluster: DevCluster, files: dict[str, str]) -> None:
    """Publishes configuration files and waits until they are accepted."""
    record = KINDS.encode(ConfigChanged(0, files, []))
    verdict = await cluster.entries[0].config.publish(record, timeout=10.0)
    assert verdict.accepted, verdict.reason


async def wait_services(cluster: DevCluster) -> None:
    """Waits until every entry VM knows a target of every service."""
    with trio.move_on_after(_SETTLE_TIMEOUT):
        while not all(
            entry.target_registry.is_known(service)
            for entry in cluster.entries
            for service in cluster.config.services
        ):
            await trio.sleep(0.05)


async def _send_traffic(
    nursery: trio.Nursery,
    cluster: DevCluster,
    caller: CallerStandin,
    jobs: dict[str, str],
    refused: list[str],
) -> None:
    rng = random.Random(1)
    number = 0
    next_job = trio.current_time()
    while True:
        number += 1
        nursery.start_soon(_call_once, cluster, caller, rng, number, refused)
        if cluster.config.batch and trio.current_time() >= next_job:
            next_job += _JOB_INTERVAL
            nursery.start_soon(_submit_once, cluster, caller, rng, number, jobs)
        await trio.sleep(_CALL_INTERVAL)


async def _call_once(
    cluster: DevCluster,
    caller: CallerStandin,
    rng: random.Random,
    number: int,
    refused: list[str],
) -> None:
    service = rng.choice(sorted(cluster.config.services))
    method = "POST" if rng.random() < _POST_PROBABILITY else "GET"
    key = f"call-{number}"
    outcome = await caller.call(
        _entry_address(cluster, rng), service, method, f"/x/{number}", key, 5.0
    )
    if outcome.kind is CallKind.NOT_RUN:
        refused.append(key)


async def _submit_once(
    cluster: DevCluster,
    caller: CallerStandin,
    rng: random.Random,
    number: int,
    jobs: dict[str, str],
) -> None:
    class_name = rng.choice(sorted(cluster.config.batch))
    job = await caller.submit(
        _entry_address(cluster, rng), class_name, _JOB_SECONDS, f"job-{number}"
    )
    if job is not None:
        jobs[job] = class_name


def _entry_address(cluster: DevCluster, rng: random.Random) -> str:
    return f"{_HOST}:{rng.choice(cluster.ports).caller}"


async def _wait_jobs(
    cluster: DevCluster, caller: CallerStandin, jobs: dict[str, str]
) -> None:
    entry = f"{_HOST}:{cluster.ports[0].caller}"
    with trio.move_on_after(_SETTLE_TIMEOUT):
        for job in jobs:
            while await caller.job_state(entry, job) != "finished":
                await trio.sleep(0.2)


def _report(
    cluster: DevCluster,
    caller: CallerStandin,
    jobs: dict[str, str],
    refused: list[str],
) -> DevReport:
    entries = cluster.journal.entries
    runs = read_runs(entries, {})
    finished = finished_tasks(runs)
    work = []
    for name in cluster.config.batch:
        tasks = [f"{job}/0" for job, c in jobs.items() if c == name]
        done = [finished[task] for task in tasks]
        work.append(
            WorkLine(
                name,
                TaskKind.BATCH.value,
                len(tasks),
                sum(n > 0 for n in done),
                sum(n > 1 for n in done),
                0,
            )
        )
    running = Counter(
        spec.class_name for w in cluster.workers for spec in w.running.values()
    )
    for name, watch in cluster.config.watches.items():
        work.append(
            WorkLine(
                name, TaskKind.WATCH.value, watch.instances, 0, 0, running[name]
            )
        )
    broken = find_concurrent_runs(runs) + find_duplicate_requests(entries)
    broken += find_overcommitted_workers(
        entries, cluster.config.workers.resources
    )
    broken += find_wrongly_refused(entries, refused)
    broken += _find_unfinished(work)
    if caller.outcomes[(CallKind.MIXED_UP.value, "")]:
        broken.append("an answer went to another caller")
    calls = [
        CallLine(kind, reason, n)
        for (kind, reason), n in sorted(caller.outcomes.items())
    ]
    return DevReport(_latencies(cluster), work, calls, broken)


def _find_unfinished(work: list[WorkLine]) -> list[str]:
    broken = []
    for line in work:
        if line.kind == TaskKind.WATCH.value:
            if line.running != line.accepted:
                broken.append(f"{line.running} of {line.accepted} {line.name}")
        elif line.finished != line.accepted or line.ran_twice:
            broken.append(f"{line.name}: {line.finished} of {line.accepted}")
    return broken


def _latencies(cluster: DevCluster) -> list[Summary]:
    merged = Histograms()
    for entry in cluster.entries:
        merged.add_encoded(entry.histograms.encoded())
    return merged.summaries()
