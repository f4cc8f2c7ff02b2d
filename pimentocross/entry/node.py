"""The entry VM process: creates, starts and stops its components."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
import secrets
import time
from typing import Any, NamedTuple

import trio

from pimentocross.backing.follower import VmFollower
from pimentocross.backing.log import LogService, RecordBody
from pimentocross.backing.vms import VmList, VmRole, VmState
from pimentocross.backing.workers import WorkerDialer
from pimentocross.config.schema import Configuration
from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.drain import Drain
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Verdict
from pimentocross.contracts.ownership import OwnershipState
from pimentocross.entry import const
from pimentocross.entry.answerer import PeerRequestHandler
from pimentocross.entry.caller_api import CallerApi
from pimentocross.entry.forwarder import Forwarder
from pimentocross.entry.idempotency import IdempotencyTable
from pimentocross.entry.jobs import JobRouter
from pimentocross.entry.keys import KeysState
from pimentocross.entry.membership import Peers
from pimentocross.entry.operator_api import OperatorApi
from pimentocross.entry.ownership import CellManager
from pimentocross.entry.reports import Reports
from pimentocross.entry.settings import EntrySettings
from pimentocross.entry.snapshots import write_snapshots
from pimentocross.entry.target_pushes import TargetPublisher
from pimentocross.entry.targets import TargetRegistry
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.http_server import HttpListener, serve_http
from pimentocross.links.messages import (
    PEER_MESSAGES,
    EntryLink,
    EntryListener,
    Heartbeat,
)
from pimentocross.links.peer import (
    PeerListener,
    StreamDialer,
    dial_tcp,
)
from pimentocross.observe.histograms import Histograms
from pimentocross.zones.candidates import rank_candidates
from pimentocross.zones.cell import CellOwner
from pimentocross.zones.views import CellLoad


class Platform(NamedTuple):
    """Clients of the platform's services that an entry process uses."""

    log: LogService
    vm_list: VmList
    workers: WorkerDialer


class Ports(NamedTuple):
    """Ports on which an entry process listens."""

    caller: int
    operator: int
    peer: int


class EntryNode:
    """The process on an entry VM, with all its components."""

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        *,
        dial: StreamDialer = dial_tcp,
        process: str = "",
    ) -> None:
        """Creates the components; `open_entry` runs them.

        Args:
            settings: Settings of the process.
            platform: Clients of the platform's services.
            dial: Opens a connection to a peer's address.
            process: Id of the process; "" for a new one.
        """
        address = f"{settings.host}:{settings.peer_port}"
        process = process or new_process_id(settings.name)
        local_identity = PeerIdentity(
            process, settings.name, address, settings.zone
        )
        log = platform.log
        self._settings = settings
        self._platform = platform
        self._drain = Drain()
        self._stop_requested = trio.Event()
        self._histograms = Histograms()
        self._ownership = StreamFold(
            log, const.OWNERSHIP_STREAM, OwnershipState()
        )
        self._config = StreamFold(log, const.CONFIG_STREAM, ConfigState())
        self._key_fold = StreamFold(log, const.KEYS_STREAM, KeysState())
        self._folds: dict[str, StreamFold[Any]] = {
            fold.stream: fold
            for fold in (self._ownership, self._config, self._key_fold)
        }
        self._vms = VmFollower(platform.vm_list)
        self._authority = Authority(self._ownership, process, settings.timing)
        self._peers = Peers(
            local_identity,
            settings.credentials,
            self._authority,
            self._folds,
            self._vms,
            self,
            dial=dial,
        )
        self._target_registry = TargetRegistry(settings.zone)
        self._cell_manager = CellManager(
            log,
            self._authority,
            self._config,
            self._peers,
            self._vms,
            platform.workers,
            settings.retention,
            lambda: self._target_publisher.notify_change(),
        )
        self._loads: dict[str, dict[str, CellLoad]] = {}
        self._target_publisher = TargetPublisher(
            self._cell_manager, self._target_registry, self._peers
        )
        self._build_apis(local_identity)

    def _build_apis(self, local_identity: PeerIdentity) -> None:
        keys = IdempotencyTable(
            self._key_fold, local_identity.process, self._peers
        )
        self._forwarder = Forwarder(self._target_registry, self.get_config)
        self._jobs = JobRouter(
            self._peers, self._cell_manager, self._config, self
        )
        self._reports = Reports(
            self._authority,
            self._config,
            self._peers,
            self._cell_manager,
            self._histograms,
            self._drain,
            lambda: self._ownership.log_away,
        )
        self._caller_api = CallerApi(
            self.get_config,
            self._forwarder,
            self._jobs,
            keys,
            self._histograms,
            self._drain,
        )
        self._operator_api = OperatorApi(
            self._settings.operator_token,
            self._config,
            self._peers,
            self._reports,
            self.request_stop,
            self.control_bytes,
            self._leave_worker,
        )
        answerer = PeerRequestHandler(
            self._authority,
            self._config,
            self._folds,
            self._cell_manager,
            keys,
            self._target_registry,
            self._reports,
            self,
            self._peers,
        )
        self._listener = PeerListener(
            local_identity, self._settings.credentials, answerer, PEER_MESSAGES
        )

    @property
    def process(self) -> str:
        """Id of this process."""
        return self._authority.process

    @property
    def authority(self) -> Authority:
        """This process's membership and ownerships in the ownership stream."""
        return self._authority

    @property
    def config(self) -> StreamFold[ConfigState]:
        """The fold of the configuration stream."""
        return self._config

    @property
    def key_state(self) -> KeysState:
        """The known idempotency keys."""
        return self._key_fold.state

    async def publish_key(self, body: RecordBody) -> Verdict:
        """Publishes a record to the key stream."""
        return await self._key_fold.publish(
            body, timeout=const.KEY_PUBLISH_TIMEOUT
        )

    @property
    def owned(self) -> dict[str, CellOwner]:
        """Cells that this process runs, by name."""
        return self._cell_manager.owned

    @property
    def peers(self) -> Peers:
        """Links to the other entry VMs."""
        return self._peers

    @property
    def target_registry(self) -> TargetRegistry:
        """The known targets of all services."""
        return self._target_registry

    @property
    def forwarder(self) -> Forwarder:
        """Forwards callers' requests to targets."""
        return self._forwarder

    @property
    def jobs(self) -> JobRouter:
        """Submits callers' jobs to the owners of cells."""
        return self._jobs

    @property
    def caller_api(self) -> CallerApi:
        """The HTTP API for callers."""
        return self._caller_api

    @property
    def operator_api(self) -> OperatorApi:
        """The HTTP API for operators."""
        return self._operator_api

    @property
    def peer_listener(self) -> EntryListener:
        """The listener for connections of peers."""
        return self._listener

    def control_bytes(self) -> int:
        """Returns the bytes exchanged with peers and the platform so far."""
        links = sum(link.bytes_moved for link in self._peers.links)
        platform = sum(
            getattr(part, "bytes_moved", 0) for part in self._platform
        )
        return links + self._listener.bytes_moved + platform

    def get_config(self) -> Configuration | None:
        """Returns the configuration in force."""
        return self._config.state.config

    @property
    def histograms(self) -> Histograms:
        """Latencies of requests to this process."""
        return self._histograms

    def leave_load_balancer(self) -> None:
        """Fails the load balancer's health checks but serves requests."""
        self._caller_api.leave_load_balancer()

    def request_stop(self) -> None:
        """Requests the graceful stop."""
        self._stop_requested.set()

    def heartbeat(self) -> Heartbeat:
        """Returns the heartbeat to send now; see `PeerCallbacks`."""
        cells = [
            (name, owner.epoch, load.pending, load.free_slots)
            for name, owner in self._cell_manager.owned.items()
            for load in [owner.load()]
        ]
        return Heartbeat(
            self._config.state.version,
            self._target_registry.in_flight(),
            cells,
            self._authority.may_claim() and not self._drain.begun,
        )

    def note_heartbeat(self, process: str, heartbeat: Heartbeat) -> None:
        """Stores the load of a peer's cells; see `HeartbeatObserver`."""
        self._peers.set_may_claim(process, heartbeat.takes_over)
        self._loads[process] = {
            cell: CellLoad(pending, 0, free)
            for cell, _, pending, free in heartbeat.cells
        }

    def cell_loads(self) -> dict[str, CellLoad]:
        """Returns the newest known load per cell; see `CellLoadSource`."""
        loads: dict[str, CellLoad] = {}
        for peer_loads in self._loads.values():
            loads.update(peer_loads)
        for name, owner in self._cell_manager.owned.items():
            loads[name] = owner.load()
        return loads

    async def on_peer_connected(self, link: EntryLink) -> None:
        """Pushes this process's targets to a peer; see `PeerCallbacks`."""
        await self._target_publisher.push_all_to(link)

    async def run_roles(self) -> None:
        """Runs all components but the listeners until cancelled."""
        async with trio.open_nursery() as nursery:
            for fold in self._folds.values():
                nursery.start_soon(fold.run)
                nursery.start_soon(fold.run_writer)
                nursery.start_soon(
                    write_snapshots,
                    fold,
                    self._settings.retention,
                    self._make_writer_check(fold.stream),
                )
            nursery.start_soon(self._vms.run)
            nursery.start_soon(self._peers.run)
            nursery.start_soon(self._cell_manager.run)
            nursery.start_soon(self._forwarder.run)
            nursery.start_soon(self._target_publisher.run)
            nursery.start_soon(self._update_targets)

    async def wait_stop(self) -> None:
        """Waits until the graceful stop is requested."""
        await self._stop_requested.wait()

    async def drain(self) -> int:
        """Hands all cells over and lets requests in flight finish.

        Returns:
            Number of requests still in flight at the drain timeout.
        """
        self._drain.begin()
        await self._cell_manager.hand_over(const.CLAIM_TIMEOUT)
        return await self._drain.finish(self._settings.drain_timeout)

    def _leave_worker(self, name: str) -> bool:
        owners = list(self._cell_manager.owned.values())
        return any(owner.drain_worker(name) for owner in owners)

    def _make_writer_check(self, stream: str) -> Callable[[], bool]:
        def is_writer() -> bool:
            ranked = rank_candidates(
                f"snapshot:{stream}", "", self._peers.candidates()
            )
            return bool(ranked) and ranked[0] == self.process

        return is_writer

    async def _update_targets(self) -> None:
        while True:
            self._target_registry.set_leaving_workers(
                vm.name
                for vm in self._vms.vms
                if vm.role is VmRole.WORKER and vm.state is VmState.LEAVING
            )
            live = self._peers.live()
            self._target_registry.retain_processes(
                {link.identity.process for link in live if link.identity}
            )
            await trio.sleep(const.SYNC_INTERVAL)


def new_process_id(name: str) -> str:
    """Returns a unique process id: VM name, start in ms, random part."""
    started = int(time.time() * 1000)
    return f"{name}:{started:x}:{secrets.token_hex(4)}"


@asynccontextmanager
async def open_entry(
    node: EntryNode, settings: EntrySettings
) -> AsyncIterator[Ports]:
    """Runs an entry process with its listeners; stops it gracefully.

    The stop first fails the load balancer's health checks, then hands the
    cells over, lets requests in flight finish and closes the listeners.
    """
    stop = trio.Event()
    callers = HttpListener(
        settings.host,
        settings.caller_port,
        graceful_timeout=settings.drain_timeout,
    )
    operators = HttpListener(settings.host, settings.operator_port)
    async with trio.open_nursery() as nursery:
        peers = await nursery.start(_serve_peers, node, settings)
        caller = await nursery.start(
            serve_http, node.caller_api.app, callers, stop.wait
        )
        operator = await nursery.start(
            serve_http, node.operator_api.app, operators, stop.wait
        )
        nursery.start_soon(node.run_roles)
        yield Ports(caller, operator, peers)
        node.leave_load_balancer()
        await trio.sleep(settings.drain_notice)
        await node.drain()
        stop.set()
        nursery.cancel_scope.cancel()


async def _serve_peers(
    node: EntryNode,
    settings: EntrySettings,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    listeners = await trio.open_tcp_listeners(
        settings.peer_port, host=settings.host
    )
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(node.peer_listener.serve_connection, listeners)
