"""Fixtures of entry VMs in virtual time: many processes on one clock."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Final
from unittest import mock

import msgspec
import trio
from trio.testing import memory_stream_pair

from pimentocross.contracts.store import (
    Page,
    ProducerMark,
    Record,
    StoreUnavailableError,
)
from pimentocross.gateway import const
from pimentocross.gateway.cluster import ClaimRecord, Cluster
from pimentocross.gateway.election import Election
from pimentocross.gateway.heard_peers import HeardPeers
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    AskStanding,
    BriefStanding,
    GatewayMessage,
    Heartbeat,
    NotOwner,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.peer import PeerListener
from pimentocross.owner.owner import CellPlatform
from pimentocross.standins.store import StoreClientStandin, StoreStandin
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.queue import Queue, WorkConfig
from tests.owner_fixtures import CONFIG, make_hall

STRONG: Final = 2.15
WEAK: Final = 0.52
# Of a process that doesn't tell: its record is of the older form.
UNKNOWN: Final = 0.0
_NETWORK_DELAY: Final = 0.002


class FixedConfig:
    """A configuration that is as told; see `ConfigAccess`.

    Attributes:
        config: It, or None.
        current: Whether nothing newer can be missing.
    """

    def __init__(
        self, config: WorkConfig | None, *, current: bool = True
    ) -> None:
        """Takes the configuration and whether it is current."""
        self.config = config
        self.current = current

    async def make_current(self) -> bool:
        """Returns whether it is current."""
        await trio.lowlevel.checkpoint()
        return self.current

    async def in_force(self, queue: Queue) -> Queue | None:
        """Returns a queue as it is configured, or None."""
        await trio.lowlevel.checkpoint()
        known = self.config.queues if self.config is not None else ()
        return next((q for q in known if q.name == queue.name), None)


class VmStore:
    """A VM's access to the store, which its own processor makes late.

    Attributes:
        claimed_at: When this VM's newest claim was taken, or None.
        silent_until: Until when this VM neither writes nor answers, monotonic.
    """

    def __init__(self, cell: "VmCell", client: StoreClientStandin) -> None:
        """Takes the cell, and the access that isn't late."""
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
        """Appends records, those of a busy new owner late."""
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
    ) -> Page:
        """Reads records."""
        return await self._client.read(
            topic, start, wait, timeout, new_connection=new_connection
        )

    async def newest(
        self, topic: str, timeout: float, *, new_connection: bool = False
    ) -> Page:
        """Returns the newest records; the state of jobs takes its time."""
        if topic == const.JOBS_TOPIC:
            await trio.sleep(self._cell.reading_takes)
        return await self._client.newest(
            topic, timeout, new_connection=new_connection
        )

    async def wait_while_busy(self) -> None:
        """Waits until this VM, if it has claimed, does more than adopt."""
        await trio.sleep(max(self.silent_until - trio.current_time(), 0.0))
        if self.claimed_at is not None:
            until = self.claimed_at + self._cell.silent_for
            await trio.sleep(max(until - trio.current_time(), 0.0))


class Vm:
    """An entry VM without its callers' side.

    Attributes:
        name: Its name.
        cores: Its processor.
        store: Its access to the store.
        election: Its election.
    """

    def __init__(
        self, cell: "VmCell", name: str, cores: float, generation: int
    ) -> None:
        """Puts the parts together."""
        self.name = name
        self.cores = cores
        self.scope = trio.CancelScope()
        self._cell = cell
        self._process = f"{name}:{generation}"
        self._address = f"{name}:7720"
        self.store = VmStore(cell, cell.store.client(name))
        self._heard = HeardPeers()
        access = cell.hall.access(name)
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
        """True if it has the cell and its state."""
        owner = self.election.owner
        return owner is not None and owner.ready.is_set()

    async def run(self) -> None:
        """Lives until it is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._cluster.follow)
                nursery.start_soon(self.election.run)
                await self._cell.list_member(
                    self.name, self._process, self.cores
                )

    def serve(self, stream: trio.abc.Stream) -> None:
        """Answers a peer that has dialed."""
        if self._nursery is None or self.scope.cancel_called:
            raise OSError("refused")
        self._nursery.start_soon(self._listener.serve_connection, stream)

    def refuse(self, reason: str) -> GatewayMessage:
        """Returns the answer to a question that can't be read."""
        return NotOwner(reason)

    async def answer(
        self, peer: PeerIdentity, message: GatewayMessage
    ) -> GatewayMessage:
        """Answers a heartbeat."""
        self._heard.note(peer.name)
        await self.store.wait_while_busy()
        await trio.sleep(self._cell.answers_after)
        if not self._cell.former:
            assert isinstance(message, AskStanding)
            return self.election.standing()
        if not isinstance(message, Heartbeat):
            return self.refuse("unknown")
        return BriefStanding(*self.election.standing()[:3])


class VmCell:
    """Entry VMs that share a store and reach one another.

    Attributes:
        store: The store.
        hall: The workers.
        vms: Those that live, by name.
        former: Whether VMs answer as those of the former version do.
        answers_after: Seconds until a heartbeat is answered.
        reading_takes: Seconds for which a new owner reads the cell's state.
        silent_for: Seconds after its claim for which a VM neither writes nor
            answers.
    """

    def __init__(self) -> None:
        """Starts without VMs."""
        self.store = StoreStandin()
        self.hall: WorkerHall = make_hall()
        self.vms: dict[str, Vm] = {}
        self.former = False
        self.answers_after = _NETWORK_DELAY
        self.reading_takes = 0.0
        self.silent_for = 0.0
        self._nursery: trio.Nursery | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Lets VMs run within the block."""
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
        """Has a VM neither write nor answer for some seconds from now on."""
        vm.store.silent_until = trio.current_time() + seconds

    async def list_member(self, name: str, process: str, cores: float) -> None:
        """Writes a process's record as it is on the wire."""
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

    async def claim_for(self, name: str) -> None:
        """Writes a claim of a VM that is none of those that live, or none."""
        process = f"{name}:0" if name else ""
        claim = ClaimRecord(1, name, process, f"{name}:7720", False)
        record = Record(f"claim/{const.CELL}", msgspec.msgpack.encode(claim))
        await self.store.client("any").append(
            const.CLUSTER_TOPIC, [record], 1.0
        )

    def owners(self) -> list[Vm]:
        """Returns the VMs that own the cell and have its state."""
        return [vm for vm in self.vms.values() if vm.owns]

    def claims(self) -> list[str]:
        """Returns the names of the VMs that claimed, in order."""
        claims = [
            msgspec.msgpack.decode(record.value or b"", type=ClaimRecord)
            for record in self.store.topic(const.CLUSTER_TOPIC).records
            if record.key.startswith("claim/")
        ]
        return [claim.vm for claim in claims if claim.process]

    async def next_claim(self, known: int, timeout: float = 30.0) -> float:
        """Returns how long it takes until there are more claims."""
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


def processors() -> dict[str, float]:
    """Returns the VMs of a grown deployment: 8 strong ones and 26 others."""
    return {f"edge-{n}": STRONG if n % 4 == 1 else WEAK for n in range(34)} | {
        "edge-33": WEAK
    }
