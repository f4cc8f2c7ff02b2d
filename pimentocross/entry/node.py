"""One entry process: all roles put together, started and stopped."""

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
from pimentocross.entry.answerer import Answerer
from pimentocross.entry.caller_api import CallerApi
from pimentocross.entry.forwarder import Forwarder
from pimentocross.entry.idempotency import IdempotencyTable
from pimentocross.entry.jobs import JobDesk
from pimentocross.entry.keys import KeysState
from pimentocross.entry.membership import Peers
from pimentocross.entry.operator_api import OperatorApi
from pimentocross.entry.ownership import CellKeeper
from pimentocross.entry.reports import Reports
from pimentocross.entry.settings import EntrySettings
from pimentocross.entry.snapshots import write_snapshots
from pimentocross.entry.target_pushes import TargetPushes
from pimentocross.entry.targets import TargetBook
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
    """The platform's services, as one entry process reaches them."""

    log: LogService
    vm_list: VmList
    workers: WorkerDialer


class Ports(NamedTuple):
    """Where an entry process listens."""

    caller: int
    operator: int
    peer: int


class EntryNode:
    """One entry VM's process."""

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        *,
        dial: StreamDialer = dial_tcp,
        process: str = "",
    ) -> None:
        """Puts the roles together; `open_entry` runs them."""
        address = f"{settings.host}:{settings.peer_port}"
        process = process or new_process_id(settings.name)
        mine = PeerIdentity(process, settings.name, address, settings.zone)
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
            mine,
            settings.credentials,
            self._authority,
            self._folds,
            self._vms,
            self,
            dial=dial,
        )
        self._book = TargetBook(settings.zone)
        self._keeper = CellKeeper(
            log,
            self._authority,
            self._config,
            self._peers,
            self._vms,
            platform.workers,
            settings.retention,
            lambda: self._pushes.note_change(),
        )
        self._loads: dict[str, dict[str, CellLoad]] = {}
        self._pushes = TargetPushes(self._keeper, self._book, self._peers)
        self._build_faces(mine)

    def _build_faces(self, mine: PeerIdentity) -> None:
        keys = IdempotencyTable(self._key_fold, mine.process, self._peers)
        self._forwarder = Forwarder(self._book, self.get_config)
        self._jobs = JobDesk(self._peers, self._keeper, self._config, self)
        self._reports = Reports(
            self._authority,
            self._config,
            self._peers,
            self._keeper,
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
        answerer = Answerer(
            self._authority,
            self._config,
            self._folds,
            self._keeper,
            keys,
            self._book,
            self._reports,
            self,
            self._peers,
        )
        self._listener = PeerListener(
            mine, self._settings.credentials, answerer, PEER_MESSAGES
        )

    @property
    def process(self) -> str:
        """This process's id."""
        return self._authority.process

    @property
    def authority(self) -> Authority:
        """Its standing in the ownership stream."""
        return self._authority

    @property
    def config(self) -> StreamFold[ConfigState]:
        """The fold of the configuration stream."""
        return self._config

    @property
    def key_state(self) -> KeysState:
        """The idempotency keys that it knows."""
        return self._key_fold.state

    async def publish_key(self, body: RecordBody) -> Verdict:
        """Publishes a record of the key stream."""
        return await self._key_fold.publish(body, timeout=const.KEY_WAIT)

    @property
    def owned(self) -> dict[str, CellOwner]:
        """Cells that it runs, by name."""
        return self._keeper.owned

    @property
    def peers(self) -> Peers:
        """Its links to other entry VMs."""
        return self._peers

    @property
    def book(self) -> TargetBook:
        """The targets that it knows."""
        return self._book

    @property
    def forwarder(self) -> Forwarder:
        """What forwards its callers' requests."""
        return self._forwarder

    @property
    def jobs(self) -> JobDesk:
        """What submits its callers' jobs."""
        return self._jobs

    @property
    def caller_api(self) -> CallerApi:
        """Its listener for callers."""
        return self._caller_api

    @property
    def operator_api(self) -> OperatorApi:
        """Its listener for operators."""
        return self._operator_api

    @property
    def peer_listener(self) -> EntryListener:
        """Its listener for peers."""
        return self._listener

    def control_bytes(self) -> int:
        """Returns bytes moved with peers and the platform since the start."""
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
        """Latencies that it has measured."""
        return self._histograms

    def leave_balancer(self) -> None:
        """Tells the balancer to send nothing more; requests still run."""
        self._caller_api.leave_balancer()

    def request_stop(self) -> None:
        """Asks for the graceful stop."""
        self._stop_requested.set()

    def heartbeat(self) -> Heartbeat:
        """Returns what to tell peers now; see `PeerCare`."""
        cells = [
            (name, owner.epoch, load.pending, load.free_slots)
            for name, owner in self._keeper.owned.items()
            for load in [owner.load()]
        ]
        return Heartbeat(
            self._config.state.version,
            self._book.in_flight(),
            cells,
            self._authority.may_claim() and not self._drain.begun,
        )

    def note_heartbeat(self, process: str, heartbeat: Heartbeat) -> None:
        """Takes in how full a peer's cells are; see `LoadBook`."""
        self._peers.note_takes_over(process, heartbeat.takes_over)
        self._loads[process] = {
            cell: CellLoad(pending, 0, free)
            for cell, _, pending, free in heartbeat.cells
        }

    def cell_loads(self) -> dict[str, CellLoad]:
        """Returns the newest load known of each cell; see `Loads`."""
        loads: dict[str, CellLoad] = {}
        for told in self._loads.values():
            loads.update(told)
        for name, owner in self._keeper.owned.items():
            loads[name] = owner.load()
        return loads

    async def on_peer_connected(self, link: EntryLink) -> None:
        """Tells a peer this one's targets; see `PeerCare`."""
        await self._pushes.tell(link)

    async def run_roles(self) -> None:
        """Runs everything but the listeners, until cancelled."""
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
            nursery.start_soon(self._keeper.run)
            nursery.start_soon(self._forwarder.run)
            nursery.start_soon(self._pushes.run)
            nursery.start_soon(self._follow_vms)

    async def wait_stop(self) -> None:
        """Waits until the graceful stop is asked for."""
        await self._stop_requested.wait()

    async def drain(self) -> int:
        """Hands everything over and lets requests finish.

        Returns:
            How many requests were still in flight when time ran out.
        """
        self._drain.begin()
        await self._keeper.hand_over(const.CLAIM_TIMEOUT)
        return await self._drain.finish(self._settings.drain_timeout)

    def _leave_worker(self, name: str) -> bool:
        owners = list(self._keeper.owned.values())
        return any(owner.drain_worker(name) for owner in owners)

    def _make_writer_check(self, stream: str) -> Callable[[], bool]:
        def is_writer() -> bool:
            ranked = rank_candidates(
                f"snapshot:{stream}", "", self._peers.candidates()
            )
            return bool(ranked) and ranked[0] == self.process

        return is_writer

    async def _follow_vms(self) -> None:
        while True:
            self._book.set_leaving(
                vm.name
                for vm in self._vms.vms
                if vm.role is VmRole.WORKER and vm.state is VmState.LEAVING
            )
            live = self._peers.live()
            self._book.keep_processes(
                {link.identity.process for link in live if link.identity}
            )
            await trio.sleep(const.SYNC_INTERVAL)


def new_process_id(name: str) -> str:
    """Returns an id unique for ever: name, start in ms, random part."""
    started = int(time.time() * 1000)
    return f"{name}:{started:x}:{secrets.token_hex(4)}"


@asynccontextmanager
async def open_entry(
    node: EntryNode, settings: EntrySettings
) -> AsyncIterator[Ports]:
    """Runs an entry process with its listeners; stops it gracefully.

    The stop leaves the balancer first, hands the cells over, lets requests
    in flight finish, and only then closes the listeners.
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
        node.leave_balancer()
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
