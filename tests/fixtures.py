"""Shared test fixtures: a whole cluster in one process and virtual time."""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager

import trio
from trio.testing import memory_stream_pair

from pimentocross.backing.vms import Vm, VmRole, VmState
from pimentocross.config.load import load_configuration
from pimentocross.config.schema import Configuration
from pimentocross.config.state import KINDS, ConfigChanged
from pimentocross.contracts.authority import Timing
from pimentocross.contracts.outbox import Verdict
from pimentocross.entry.node import EntryNode, Platform
from pimentocross.entry.settings import EntrySettings
from pimentocross.links.greeting import Credentials
from pimentocross.links.peer import StreamDialer
from pimentocross.standins.checks import (
    Run,
    find_concurrent_runs,
    find_overcommitted_workers,
    read_runs,
)
from pimentocross.standins.direct import DirectDialer
from pimentocross.standins.faults import FaultPlan
from pimentocross.standins.journal import Journal
from pimentocross.standins.log import LogStandin
from pimentocross.standins.vms import VmListStandin
from pimentocross.standins.worker import WorkerShape, WorkerStandin
from tests.gates import Gate, GatedDialer, GatedLog, GatedStream

TIMING = Timing(confidence=20.0, lease=10.0)

FILES = {
    "10.yaml": """\
cluster: test
zones:
  north: {region: r, workers: 3}
  south: {region: r, workers: 3}
workers: {processors: 8, memory: 32GB, slots: 8, connections: 64, per_rack: 8}
tenants:
  counter: {weight: 2}
  planning: {weight: 1}
objective: {tail_latency: 0.7, batch_throughput: 0.2, evictions: 0.1}
services:
  stock:
    tenant: counter
    replicas: 2
    size: {processors: 1, memory: 1GB}
batch:
  plan:
    tenant: planning
    size: {processors: 2, memory: 4GB}
    run_time: 5s
watches:
  labels:
    tenant: planning
    size: {processors: 1, memory: 1GB}
    zone: north
    instances: 2
"""
}


def configuration(files: dict[str, str] | None = None) -> Configuration:
    """Returns the parsed test configuration; fails if it is invalid."""
    loaded = load_configuration(files or FILES)
    assert loaded.is_ok(), loaded.error
    return loaded.ok


class Entry:
    """An entry VM of the test cluster."""

    def __init__(self, node: EntryNode, gate: Gate) -> None:
        """Initializes a stopped entry VM; `run` runs its process.

        Args:
            node: The entry VM's process.
            gate: Injects faults into its connections.
        """
        self.node = node
        self.gate = gate
        self._nursery: trio.Nursery | None = None

    @property
    def name(self) -> str:
        """Name of the VM."""
        return self.node.peers.local_identity.name

    @property
    def address(self) -> str:
        """Address of its peer listener."""
        return self.node.peers.local_identity.address

    async def run(self) -> None:
        """Runs its components and its peer listener until killed."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.node.run_roles)

    def kill(self) -> None:
        """Kills the process without a graceful stop."""
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
            self._nursery = None

    def accept(self, stream: trio.abc.Stream) -> None:
        """Serves a connection of a peer."""
        if self._nursery is None:
            raise OSError("no listener")
        self._nursery.start_soon(
            self.node.peer_listener.serve_connection, stream
        )


class Cluster:
    """Entry VMs, workers and a platform in one process and virtual time."""

    def __init__(
        self,
        nursery: trio.Nursery,
        files: dict[str, str],
        retention: float = 100_000.0,
    ) -> None:
        """Initializes a cluster with the platform only."""
        self.log = LogStandin(retention=retention, seed=1)
        self._retention = retention
        self.vms = VmListStandin()
        self.journal = Journal()
        self.dialer = DirectDialer()
        self.workers: dict[str, WorkerStandin] = {}
        self.entries: dict[str, Entry] = {}
        self.killed_at: dict[str, float] = {}
        self.config = configuration(files)
        self._files = files
        self._nursery = nursery
        self._entries_started = 0
        self._worker_scopes: dict[str, trio.CancelScope] = {}

    @property
    def nodes(self) -> list[EntryNode]:
        """Processes of the live entry VMs."""
        return [entry.node for entry in self.entries.values()]

    def add_worker(self, name: str, zone: str) -> WorkerStandin:
        """Starts a worker; it replaces an earlier one of the same name."""
        shape = WorkerShape(name, zone, self.config.workers.resources)
        worker = WorkerStandin(shape, self.journal)
        worker.service_address = f"{name}:1"
        self.workers[name] = self.dialer.workers[name] = worker
        scope = self._worker_scopes[name] = trio.CancelScope()
        self._nursery.start_soon(_run_in, scope, worker.run)
        vm = Vm(
            name,
            VmRole.WORKER,
            name,
            zone,
            "rack",
            VmState.LIVE,
            worker.incarnation,
        )
        self.vms.put(vm)
        return worker

    def kill_worker(self, name: str) -> None:
        """Kills a worker; the VM list still has it."""
        worker = self.workers.pop(name)
        del self.dialer.workers[name]
        self._worker_scopes.pop(name).cancel()
        self.killed_at[worker.incarnation] = trio.current_time()

    def add_entry(
        self, name: str, zone: str, *, keys: Sequence[bytes] = (b"key",)
    ) -> Entry:
        """Starts an entry VM; it replaces an earlier one of the same name."""
        settings = EntrySettings(
            name,
            zone,
            name,
            0,
            0,
            1,
            Credentials("test", keys),
            "token",
            TIMING,
            retention=self._retention,
        )
        gate = Gate()
        platform = Platform(
            GatedLog(self.log, gate),
            self.vms,
            GatedDialer(self.dialer, gate),
        )
        # Process ids contain the start time, which virtual time does not
        # have, so a counter stands for it.
        self._entries_started += 1
        process = f"{name}:{self._entries_started:x}:id"
        node = EntryNode(
            settings, platform, dial=self._make_dial(name), process=process
        )
        entry = Entry(node, gate)
        self.entries[name] = entry
        self.vms.put(
            Vm(
                name,
                VmRole.ENTRY,
                entry.address,
                zone,
                "rack",
                VmState.LIVE,
                process,
            )
        )
        self._nursery.start_soon(entry.run)
        return entry

    def kill_entry(self, name: str) -> None:
        """Kills an entry VM's process without a graceful stop."""
        entry = self.entries.pop(name)
        entry.kill()
        self.killed_at[entry.node.process] = trio.current_time()

    def cut(self, name: str, other: str) -> None:
        """Disconnects an entry VM from the log, a worker or another one."""
        self.entries[name].gate.cut.add(other)
        if other in self.entries:
            self.entries[other].gate.cut.add(name)

    def reconnect(self, name: str) -> None:
        """Restores all connections of an entry VM after `cut`."""
        self.entries[name].gate.cut.clear()
        for entry in self.entries.values():
            entry.gate.cut.discard(name)

    async def apply(self, files: dict[str, str], base: int = 0) -> Verdict:
        """Publishes configuration files through an entry VM."""
        record = KINDS.encode(ConfigChanged(base, files, []))
        return await self.nodes[0].config.publish(record, timeout=10.0)

    def owner(self, cell: str) -> EntryNode | None:
        """Returns the live entry VM that runs a cell and may act."""
        for node in self.nodes:
            owner = node.owned.get(cell)
            acts = node.authority.may_act(f"cell:{cell}")
            if owner is not None and owner.opened and acts:
                return node
        return None

    async def wait_owner(self, cell: str) -> EntryNode:
        """Waits until an entry VM runs a cell, and returns the VM."""
        await wait_for(lambda: self.owner(cell) is not None)
        node = self.owner(cell)
        assert node is not None
        return node

    async def submit(
        self, cell: str, job: str, seconds: float = 5.0, timeout: float = 10.0
    ) -> Verdict:
        """Submits a job of one task to the owner of a cell."""
        node = await self.wait_owner(cell)
        return await node.owned[cell].accept(
            f"{cell}.{job}",
            "planning",
            "plan",
            1,
            f'{{"seconds": {seconds}}}',
            timeout,
        )

    def job_state(self, job: str) -> str:
        """Returns a job's state at the owner of its cell, or "" for none."""
        cell = job.partition(".")[0]
        node = self.owner(cell)
        found = node.owned[cell].fold.state.jobs.get(job) if node else None
        return found.state if found is not None else ""

    def runs(self) -> list[Run]:
        """Returns all runs of tasks on workers."""
        return read_runs(self.journal.entries, self.killed_at)

    def check(self) -> None:
        """Checks the invariants over the whole history of runs."""
        violations = find_concurrent_runs(self.runs())
        capacity = self.config.workers.resources
        violations += find_overcommitted_workers(self.journal.entries, capacity)
        assert not violations, violations

    def _make_dial(self, name: str) -> StreamDialer:
        async def dial(address: str) -> trio.abc.Stream:
            other = self.entries.get(address.partition(":")[0])
            gate = self.entries[name].gate
            await gate.wait()
            if other is None or other.name in gate.cut:
                raise OSError("no listener")
            near, far = memory_stream_pair()
            other.accept(GatedStream(far, other.gate, name))
            return GatedStream(near, gate, other.name)

        return dial


async def _run_in(
    scope: trio.CancelScope, run: Callable[[], Awaitable[None]]
) -> None:
    with scope:
        await run()


async def wait_for(
    condition: Callable[[], bool], timeout: float = 120.0
) -> None:
    """Waits, in virtual time, until a condition holds."""
    with trio.fail_after(timeout):
        while not condition():
            await trio.sleep(0.05)


@asynccontextmanager
async def open_cluster(
    *,
    entries: int = 3,
    workers: int = 3,
    files: dict[str, str] | None = None,
    log_faults: FaultPlan | None = None,
    retention: float = 100_000.0,
) -> AsyncIterator[Cluster]:
    """Runs a configured cluster and checks its invariants at the end.

    Args:
        entries: Number of entry VMs, spread over the zones.
        workers: Number of workers in each zone.
        files: Configuration files, by name.
        log_faults: Faults of the log service from the start.
        retention: How long the log keeps records, in seconds.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, files or FILES, retention)
        if log_faults is not None:
            cluster.log.faults.plan = log_faults
        zones = sorted(cluster.config.zones)
        for zone in zones:
            for number in range(workers):
                cluster.add_worker(f"{zone}-w{number}", zone)
        for number in range(entries):
            cluster.add_entry(f"e{number}", zones[number % len(zones)])
        await wait_for(lambda: all(n.config.ready for n in cluster.nodes))
        verdict = await cluster.apply(files or FILES)
        assert verdict.accepted, verdict
        yield cluster
        cluster.check()
        nursery.cancel_scope.cancel()
