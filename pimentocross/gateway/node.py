"""One process on an entry VM: its parts put together, started and stopped."""

import secrets
from typing import NamedTuple

import trio

from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.contracts.switches import Part
from pimentocross.gateway import const
from pimentocross.gateway.caller_desk import CallerDesk
from pimentocross.gateway.cluster import Cluster, Member, member_record
from pimentocross.gateway.config_follower import ConfigFollower, ConfigSource
from pimentocross.gateway.election import Election
from pimentocross.gateway.hand_over import Neighbour, Neighbours
from pimentocross.gateway.heard_peers import HeardPeers
from pimentocross.gateway.intake import DurableIntake
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    AskPending,
    AskStanding,
    AskState,
    BriefStanding,
    CancelJob,
    GatewayMessage,
    HandOver,
    Heartbeat,
    NotOwner,
    PendingAnswer,
    SubmitJob,
    job_answer,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.gateway.settings import GatewaySettings
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.listener import Handler, HttpListener, ListenerLimits
from pimentocross.links.peer import (
    PeerListener,
    PeerUnreachableError,
    dial_tcp,
)
from pimentocross.observe.decisions import note, write_lines
from pimentocross.observe.late_log import LateLog
from pimentocross.owner.job_api import JobReply, Outcome
from pimentocross.owner.owner import CellPlatform, Owner
from pimentocross.work.queue import Queue, WorkConfig
from pimentocross.work.spec import JobSpec


class Surfaces(NamedTuple):
    """What answers HTTP requests."""

    callers: Handler
    ready: Handler
    metrics: Handler


class GatewayNode:
    """The process.

    Attributes:
        desk: Decides what callers are told.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: CellPlatform,
        configs: ConfigSource,
    ) -> None:
        """Puts the parts together; `run` starts them."""
        process = f"{settings.name}:{secrets.token_hex(4)}"
        address = f"{settings.ip}:{settings.peer_port}"
        self._mine = PeerIdentity(
            process, settings.name, address, settings.zone
        )
        self._settings = settings
        self._configs = ConfigFollower(
            configs, settings.config_within, settings.evacuated_within
        )
        platform = platform._replace(zones=self._configs.evacuations)
        self._heard = HeardPeers()
        self._late_log = LateLog()
        self._cluster = Cluster(platform.store)
        self._election = Election(
            self._mine,
            self._cluster,
            platform,
            self.get_config,
            self._heard,
        )
        self._intake = DurableIntake(
            self,
            self._election.owner_silence,
            self._configs,
            platform.store,
            Neighbours(self._mine, self._other_vms, dial_tcp),
        )
        self._takes_in = settings.switches.is_on(Part.INTAKE)
        self.job_api = CallerDesk(
            self._configs, self._intake if self._takes_in else self
        )
        self._stop = trio.Event()

    def get_config(self) -> WorkConfig | None:
        """Returns the configuration in force, or None before the first."""
        return self._configs.config

    def _other_vms(self) -> list[Neighbour]:
        members = self._cluster.members.values()
        return [
            Neighbour(member.vm, member.address)
            for member in members
            if member.vm != self._mine.name
        ]

    def request_stop(self) -> None:
        """Has `run` drain and return."""
        self._stop.set()

    def owner_absent(self) -> float:
        """Returns for how many seconds no owner could be asked."""
        return self._election.owner_absent()

    async def run(self, surfaces: Surfaces) -> None:
        """Runs until a stop was requested and the drain is over."""
        callers = HttpListener(surfaces.callers, self._limits)
        ready = HttpListener(surfaces.ready, ListenerLimits)
        settings = self._settings
        peers = PeerListener(
            self._mine,
            CREDENTIALS,
            self,
            GATEWAY_MESSAGES,
            settings.descriptors // const.PEERS_SHARE,
        )
        note("start", process=self._mine.process, zone=settings.zone)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_lines, self._late_log.take)
            await nursery.start(ready.serve, settings.ready_address)
            await nursery.start(callers.serve, settings.caller_address)
            nursery.start_soon(self._serve_metrics, surfaces.metrics)
            nursery.start_soon(self._serve_peers, peers)
            nursery.start_soon(self._configs.run)
            nursery.start_soon(self._cluster.follow)
            nursery.start_soon(self._cluster.register, self._member())
            nursery.start_soon(self._election.run)
            nursery.start_soon(self._intake.run)
            await self._stop.wait()
            await self._drain(callers)
            nursery.cancel_scope.cancel()
        note("stopped")

    def _member(self) -> Member:
        mine = self._mine
        cores = self._settings.cores
        return member_record(mine.name, mine.process, mine.address, cores)

    async def _drain(self, callers: HttpListener) -> None:
        """Answers on while the balancer learns that this VM leaves."""
        began = trio.current_time()
        grace = self._settings.grace
        note("stop", in_flight=callers.in_flight, grace=grace)
        self.job_api.draining = True
        self._election.leave()
        callers.drain()
        await trio.sleep(min(const.DRAIN_NOTICE, grace / 2))
        end = began + grace - const.DRAIN_RESERVE
        while callers.in_flight and trio.current_time() < end:
            await trio.sleep(0.02)

    def gauges(self) -> dict[str, float]:
        """Returns present values for the metrics page."""
        config, owner = self._configs.config, self._election.owner
        backlog = owner.backlog() if owner is not None else {}
        return {
            f'backlog_core_seconds{{queue="{queue}"}}': work
            for queue, work in backlog.items()
        } | {
            "config_version": config.version if config is not None else 0,
            "config_age_seconds": (
                self._configs.age() if config is not None else 0
            ),
            "evacuated_zones": len(self._configs.evacuations.zones),
            "owner_absent_seconds": self.owner_absent(),
            "owned_epoch": owner.epoch if owner is not None else 0,
            "store_age_seconds": self._election.standing().store_age,
            "loop_late_most_seconds": self._late_log.most,
        }

    async def _serve_metrics(self, handler: Handler) -> None:
        listener = HttpListener(handler, ListenerLimits)
        address = f"{self._settings.ip}:{self._settings.metrics_port}"
        try:
            await listener.serve(address)
        except OSError as error:
            # Metrics are not worth a process that serves callers.
            note("metrics_unserved", address=address, reason=str(error))

    def _limits(self) -> ListenerLimits:
        config = self._configs.config
        if config is None:
            return ListenerLimits()
        limits = config.limits
        return ListenerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout,
        )

    async def _serve_peers(self, peers: "PeerListener[GatewayMessage]") -> None:
        await trio.serve_tcp(
            peers.serve_connection,
            self._settings.peer_port,
            host=self._settings.ip,
        )

    async def store_answers(self) -> bool:
        """Returns whether the store answers this VM; see `OwnerAccess`."""
        with trio.move_on_after(const.STORE_LOOK):
            try:
                await self._cluster.refresh(0.0)
            except StoreUnavailableError:
                return False
            return True
        return False

    async def ask_owner(
        self, message: GatewayMessage, timeout: float
    ) -> GatewayMessage:
        """Asks the owner, here or on another VM; see `OwnerAccess`."""
        owner, link = self._election.owner, self._election.link
        if owner is not None and owner.ready.is_set():
            with trio.move_on_after(timeout):
                return await self._answer_here(owner, message)
            raise PeerUnreachableError("no answer in time", sent=True)
        if link is None or not link.usable:
            raise PeerUnreachableError("no owner is known", sent=False)
        return await link.ask(message, timeout)

    def refuse(self, reason: str) -> GatewayMessage:
        """Returns the answer to a question that can't be read."""
        return NotOwner(reason)

    async def answer(
        self, peer: PeerIdentity, message: GatewayMessage
    ) -> GatewayMessage:
        """Answers a peer; see `PeerAnswerer`."""
        self._heard.note(peer.name)
        owner = self._election.owner
        if isinstance(message, AskStanding):
            return self._election.standing()
        if isinstance(message, Heartbeat):
            return BriefStanding(*self._election.standing()[:3])
        if isinstance(message, HandOver) and self._takes_in:
            return await self._intake.take_over(message)
        if owner is None or not owner.ready.is_set():
            return NotOwner("the cell is not owned here")
        return await self._answer_here(owner, message)

    async def _answer_here(
        self, owner: Owner, message: GatewayMessage
    ) -> GatewayMessage:
        match message:
            case SubmitJob(job, queue, spec):
                known: Queue | None = queue
                if not owner.job_api.knows(job):
                    known = await self._configs.in_force(queue)
                if known is None:
                    return NotOwner("the queue is not in force")
                return job_answer(await _submit(owner, job, known, spec))
            case AskState(job):
                await owner.ensure_known(job)
                return job_answer(owner.job_api.state(job))
            case CancelJob(job):
                return job_answer(await owner.cancel(job))
            case AskPending(queue):
                return PendingAnswer(owner.job_api.pending(queue))
            case _:
                return NotOwner("not a question")


async def _submit(
    owner: Owner, job: str, queue: Queue, spec: JobSpec
) -> JobReply:
    reply = await owner.job_api.submit(job, queue, spec)
    if reply.outcome is Outcome.FULL:
        # A refusal is only true if no VM has taken the job in before.
        await owner.ensure_known(job)
        if owner.job_api.knows(job):
            reply = await owner.job_api.submit(job, queue, spec)
    return reply
