"""Fixtures that run many entry VMs in one process, in virtual time."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Final
from unittest import mock

import msgspec
import trio
from trio.testing import memory_stream_pair

from pimentocross.contracts.progress import AnswerProgress
from pimentocross.contracts.store import (
    Page,
    ProducerMark,
    Record,
    StoreUnavailableError,
)
from pimentocross.gateway import const
from pimentocross.gateway.cluster import ClaimRecord, Cluster
from pimentocross.gateway.election import Election
from pimentocross.gateway.heard_peers import PeerActivity
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    AskOwnerStatus,
    BriefOwnerStatus,
    GatewayMessage,
    Heartbeat,
    NotOwner,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.peer import PeerListener
from pimentocross.owner.owner import CellPlatform
from pimentocross.standins.store import StoreClientStandin, StoreStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.queue import Queue, WorkConfig
from tests.owner_fixtures import CONFIG, make_worker_pool

# Cores of a strong and a weak VM.
STRONG: Final = 2.15
WEAK: Final = 0.52
# Of a process of an older version, which does not publish its cores.
UNKNOWN: Final = 0.0
_NETWORK_DELAY: Final = 0.002


class FixedConfig:
    """A fake `ConfigAccess` that returns what the test sets.

    Attributes:
        config: The configuration, or None.
        current: Whether the configuration counts as current.
    """

    def __init__(
        self, config: WorkConfig | None, *, current: bool = True
    ) -> None:
        """Initializes the fake with a configuration."""
        self.config = config
        self.current = current

    async def check_current(self) -> bool:
        """Returns the fixed answer given at construction."""
        await trio.lowlevel.checkpoint()
        return self.current

    async def current_queue(self, queue: Queue) -> Queue | None:
        """Returns a queue as it is configured, or None."""
        await trio.lowlevel.checkpoint()
        known = self.config.queues if self.config is not None else ()
        return next((q for q in known if q.name == queue.name), None)


class VmStore:
    """A VM's access to the store, slowed down as by an overloaded VM.

    Attributes:
        claimed_at: When this VM's newest claim was stored, monotonic, or None.
        silent_until: Until when this VM neither writes nor answers peers,
            monotonic.
    """

    def __init__(self, cell: "VmCell", client: StoreClientStandin) -> None:
        """Initializes the access with one that is not slowed down."""
        self.claimed_at: float | None = None
        self.silent_until = float("-inf")
        self._cell = cell
        self._client = client

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        timeout: float,
        *,
        at: int | None = None,
        mark: ProducerMark | None = None,
        new_connection: bool = False,
    ) -> int:
        """Appends records; delays those of a new owner that is still busy."""
        if topic == const.JOBS_TOPIC:
            await self.wait_while_busy()
        offset = await self._client.append(
            topic,
            records,
            timeout,
            at=at,
            mark=mark,
            new_connection=new_connection,
        )
        if topic == const.CLUSTER_TOPIC and at is not None:
            self.claimed_at = trio.current_time()
        return offset

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Reads records."""
        return await self._client.read(
            topic,
            start,
            wait,
            timeout,
            new_connection=new_connection,
            progress=progress,
        )

    async def newest(
        self,
        topic: str,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Returns the newest records; delays the state of jobs."""
        if topic == const.JOBS_TOPIC:
            await trio.sleep(self._cell.read_duration)
        return await self._client.newest(
            topic, timeout, new_connection=new_connection, progress=progress
        )

    async def wait_while_busy(self) -> None:
        """Waits until this VM is no longer silent, also not after a claim."""
        await trio.sleep(max(self.silent_until - trio.current_time(), 0.0))
        if self.claimed_at is not None:
            until = self.claimed_at + self._cell.silence_after_claim
            await trio.sleep(max(until - trio.current_time(), 0.0))


class Vm:
    """An entry VM's process without the part that serves callers.

    Attributes:
        name: The VM's name.
        cores: Number of its cores.
        store: Its access to the store.
        election: Its election.
    """

    def __init__(
        self, cell: "VmCell", name: str, cores: float, generation: int
    ) -> None:
        """Initializes the process; `run` starts it."""
        self.name = name
        self.cores = cores
        self.scope = trio.CancelScope()
        self._cell = cell
        self._process = f"{name}:{generation}"
        self._address = f"{name}:7720"
        self.store = VmStore(cell, cell.store.client(name))
        self._heard = PeerActivity()
        access = cell.worker_pool.access(name)
        platform = CellPlatform(self.store, access, access)
        mine = PeerIdentity(self._process, name, self._address, "z")
        self._cluster = Cluster(platform.store)
        self.election = Election(
            mine,
            self._cluster,
            platform,
            lambda: CONFIG,
            self._heard,
        )
        self._listener = PeerListener(mine, CREDENTIALS, self, GATEWAY_MESSAGES)
        self._nursery: trio.Nursery | None = None

    @property
    def owns(self) -> bool:
        """Whether it owns the cell and has read the cell's state."""
        owner = self.election.owner
        return owner is not None and owner.ready.is_set()

    async def run(self) -> None:
        """Runs the process until it is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._cluster.follow)
                nursery.start_soon(self.election.run)
                await self._cell.register_member(
                    self.name, self._process, self.cores
                )

    def serve(self, stream: trio.abc.Stream) -> None:
        """Serves a connection of a peer."""
        if self._nursery is None or self.scope.cancel_called:
            raise OSError("refused")
        self._nursery.start_soon(self._listener.serve_connection, stream)

    def refuse(self, reason: str) -> GatewayMessage:
        """Returns the answer to a message that can't be decoded."""
        return NotOwner(reason)

    async def answer(
        self, peer: PeerIdentity, message: GatewayMessage
    ) -> GatewayMessage:
        """Answers a heartbeat."""
        self._heard.note(peer.name)
        await self.store.wait_while_busy()
        await trio.sleep(self._cell.answer_delay)
        if not self._cell.former:
            assert isinstance(message, AskOwnerStatus)
            return self.election.owner_status()
        if not isinstance(message, Heartbeat):
            return self.refuse("unknown")
        return BriefOwnerStatus(*self.election.owner_status()[:3])


class VmCell:
    """Entry VMs of one cell, with a shared store and a network between them.

    Attributes:
        store: The store.
        worker_pool: The workers.
        vms: Running VMs by name.
        former: Whether VMs answer heartbeats as the former version does.
        answer_delay: Seconds until a heartbeat is answered.
        read_duration: Seconds that a new owner needs to read the cell's state.
        silence_after_claim: Seconds after its claim for which a VM neither
            writes nor answers.
    """

    def __init__(self) -> None:
        """Initializes a cell without VMs."""
        self.store = StoreStandin()
        self.worker_pool: WorkerPool = make_worker_pool()
        self.vms: dict[str, Vm] = {}
        self.former = False
        self.answer_delay = _NETWORK_DELAY
        self.read_duration = 0.0
        self.silence_after_claim = 0.0
        self._nursery: trio.Nursery | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the VMs within the block."""
        with mock.patch.object(trio, "open_tcp_stream", self._dial):
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                yield
                nursery.cancel_scope.cancel()

    def start(self, name: str, cores: float, generation: int = 1) -> Vm:
        """Starts a VM's process."""
        assert self._nursery is not None
        vm = self.vms[name] = Vm(self, name, cores, generation)
        self._nursery.start_soon(vm.run)
        return vm

    def kill(self, vm: Vm) -> None:
        """Kills a VM's process."""
        vm.scope.cancel()
        del self.vms[vm.name]

    def silence(self, vm: Vm, seconds: float) -> None:
        """Has a VM neither write nor answer for some seconds from now."""
        vm.store.silent_until = trio.current_time() + seconds

    async def register_member(
        self, name: str, process: str, cores: float
    ) -> None:
        """Writes the member record of a process in its stored form."""
        fields: list[object] = [1, name, process, f"{name}:7720"]
        records = [Record(f"m/{name}", msgspec.msgpack.encode(fields))]
        if cores != UNKNOWN:
            processor = msgspec.msgpack.encode(cores)
            records.append(Record(f"cores/{name}", processor))
        while True:
            try:
                await self.store.client("any").append(
                    const.CLUSTER_TOPIC, records, const.CLAIM_TIMEOUT
                )
            except StoreUnavailableError:
                await trio.sleep(const.FOLLOW_RETRY)
            else:
                return

    async def write_claim(self, name: str) -> None:
        """Writes a claim for a VM that isn't running, or a release for ""."""
        process = f"{name}:0" if name else ""
        claim = ClaimRecord(1, name, process, f"{name}:7720", False)
        record = Record(f"claim/{const.CELL}", msgspec.msgpack.encode(claim))
        await self.store.client("any").append(
            const.CLUSTER_TOPIC, [record], 1.0
        )

    def owners(self) -> list[Vm]:
        """Returns the VMs that own the cell and have read its state."""
        return [vm for vm in self.vms.values() if vm.owns]

    def claims(self) -> list[str]:
        """Returns the names of the VMs that claimed, in order."""
        claims = [
            msgspec.msgpack.decode(record.value or b"", type=ClaimRecord)
            for record in self.store.topic(const.CLUSTER_TOPIC).records
            if record.key.startswith("claim/")
        ]
        return [claim.vm for claim in claims if claim.process]

    async def wait_for_claim(self, known: int, timeout: float = 30.0) -> float:
        """Waits for more than `known` claims; returns the seconds it took."""
        began = trio.current_time()
        with trio.fail_after(timeout):
            while len(self.claims()) <= known:
                await trio.sleep(0.01)
        return trio.current_time() - began

    async def _dial(self, host: str, port: int) -> trio.abc.Stream:
        await trio.sleep(_NETWORK_DELAY)
        vm = self.vms.get(host)
        if vm is None:
            raise OSError("refused")
        ours, theirs = memory_stream_pair()
        vm.serve(theirs)
        return ours


def vm_cores() -> dict[str, float]:
    """Returns the cores of 34 VMs by name: 8 strong and 26 weak ones."""
    return {f"edge-{n}": STRONG if n % 4 == 1 else WEAK for n in range(34)} | {
        "edge-33": WEAK
    }
