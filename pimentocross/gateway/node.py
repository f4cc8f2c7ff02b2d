"""The entry VM's process: creates, starts and stops its components."""

import secrets
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.contracts.switches import Part
from pimentocross.gateway import const
from pimentocross.gateway.caller_requests import CallerRequestHandler
from pimentocross.gateway.cluster import Cluster, Member, member_record
from pimentocross.gateway.config_follower import ConfigFollower, ConfigSource
from pimentocross.gateway.election import Election
from pimentocross.gateway.heard_peers import PeerActivity
from pimentocross.gateway.intake import DurableIntake
from pimentocross.gateway.messages import (
    GATEWAY_MESSAGES,
    AskOwnerStatus,
    AskPending,
    AskState,
    BriefOwnerStatus,
    CancelJob,
    ForwardedRequest,
    GatewayMessage,
    Heartbeat,
    NotOwner,
    PendingAnswer,
    SubmitJob,
    job_answer,
)
from pimentocross.gateway.owner_link import CREDENTIALS
from pimentocross.gateway.peer_forwarder import PeerAddress, PeerForwarder
from pimentocross.gateway.settings import GatewaySettings
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.listener import Handler, HttpListener, ListenerLimits
from pimentocross.links.peer import (
    PeerListener,
    PeerUnreachableError,
    dial_tcp,
)
from pimentocross.observe.decisions import note, write_lines
from pimentocross.observe.late_log import LoopLatenessLog
from pimentocross.owner.job_api import JobReply, Outcome
from pimentocross.owner.owner import CellPlatform, Owner
from pimentocross.work.queue import Queue, WorkConfig
from pimentocross.work.spec import JobSpec

_QUEUE_REMOVED: Final = "the queue is not in force"


class HttpHandlers(NamedTuple):
    """HTTP handlers of the caller, readiness and metrics listeners."""

    callers: Handler
    ready: Handler
    metrics: Handler


class GatewayNode:
    """An entry VM's process.

    Attributes:
        request_handler: Answers callers' requests.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        platform: CellPlatform,
        configs: ConfigSource,
    ) -> None:
        """Creates the components; `run` starts them."""
        process = f"{settings.name}:{secrets.token_hex(4)}"
        address = f"{settings.ip}:{settings.peer_port}"
        self._own_identity = PeerIdentity(
            process, settings.name, address, settings.zone
        )
        self._settings = settings
        self._configs = ConfigFollower(
            configs, settings.config_within, settings.evacuated_within
        )
        platform = platform._replace(zones=self._configs.evacuations)
        self._peer_activity = PeerActivity()
        self._late_log = LoopLatenessLog()
        self._cluster = Cluster(platform.store)
        self._election = Election(
            self._own_identity,
            self._cluster,
            platform,
            self.get_config,
            self._peer_activity,
        )
        self._intake = DurableIntake(
            self,
            self._election.owner_silence,
            self._configs,
            platform.store,
            PeerForwarder(self._own_identity, self._other_vms, dial_tcp),
            lambda: len(self._cluster.members),
        )
        self._intake_enabled = settings.switches.is_on(Part.INTAKE)
        self.request_handler = CallerRequestHandler(
            self._configs, self._intake if self._intake_enabled else self
        )
        self._stop = trio.Event()

    def get_config(self) -> WorkConfig | None:
        """Returns the configuration in force, or None before the first."""
        return self._configs.config

    def _other_vms(self) -> list[PeerAddress]:
        members = self._cluster.members.values()
        return [
            PeerAddress(member.vm, member.address)
            for member in members
            if member.vm != self._own_identity.name
        ]

    def request_stop(self) -> None:
        """Makes `run` drain and return."""
        self._stop.set()

    def owner_absent(self) -> float:
        """Returns the seconds for which no owner has been reachable, or 0."""
        return self._election.owner_absent()

    async def run(self, handlers: HttpHandlers) -> None:
        """Runs until a stop is requested and the drain has finished."""
        callers = HttpListener(handlers.callers, self._limits)
        ready = HttpListener(handlers.ready, ListenerLimits)
        settings = self._settings
        peers = PeerListener(
            self._own_identity,
            CREDENTIALS,
            self,
            GATEWAY_MESSAGES,
            settings.descriptors // const.PEER_DESCRIPTOR_SHARE,
        )
        note("start", process=self._own_identity.process, zone=settings.zone)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_lines, self._late_log.record)
            await nursery.start(ready.serve, settings.ready_address)
            await nursery.start(callers.serve, settings.caller_address)
            nursery.start_soon(self._serve_metrics, handlers.metrics)
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
        own_identity = self._own_identity
        cores = self._settings.cores
        return member_record(
            own_identity.name, own_identity.process, own_identity.address, cores
        )

    async def _drain(self, callers: HttpListener) -> None:
        """Releases the cell; serves callers while the balancer drops this VM.

        Then waits for requests in flight, within the grace period.
        """
        began = trio.current_time()
        grace = self._settings.grace
        note("stop", in_flight=callers.in_flight, grace=grace)
        self.request_handler.draining = True
        self._election.leave()
        callers.drain()
        await trio.sleep(min(const.DRAIN_NOTICE, grace / 2))
        end = began + grace - const.DRAIN_SHUTDOWN_RESERVE
        while callers.in_flight and trio.current_time() < end:
            await trio.sleep(0.02)

    def gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges on the metrics page."""
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
            "jobs_memory_bytes": (
                owner.jobs_memory if owner is not None else 0
            ),
            "store_age_seconds": self._election.owner_status().store_age,
            "loop_late_most_seconds": self._late_log.worst_recent,
        }

    async def _serve_metrics(self, handler: Handler) -> None:
        listener = HttpListener(handler, ListenerLimits)
        address = f"{self._settings.ip}:{self._settings.metrics_port}"
        try:
            await listener.serve(address)
        except OSError as error:
            # Without metrics the process still serves callers.
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
        with trio.move_on_after(const.STORE_CHECK_TIMEOUT):
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
                return await self._answer_as_owner(owner, message)
            raise PeerUnreachableError("no answer in time", sent=True)
        if link is None or not link.usable:
            raise PeerUnreachableError("no owner is known", sent=False)
        return await link.ask(message, timeout)

    def refuse(self, reason: str) -> GatewayMessage:
        """Returns the answer to a message that can't be decoded."""
        return NotOwner(reason)

    async def answer(
        self, peer: PeerIdentity, message: GatewayMessage
    ) -> GatewayMessage:
        """Answers a peer; see `PeerAnswerer`."""
        self._peer_activity.note(peer.name)
        owner = self._election.owner
        if isinstance(message, AskOwnerStatus):
            return self._election.owner_status()
        if isinstance(message, Heartbeat):
            return BriefOwnerStatus(*self._election.owner_status()[:3])
        if isinstance(message, ForwardedRequest) and self._intake_enabled:
            return await self._intake.serve_forwarded(message)
        if owner is None or not owner.ready.is_set():
            return NotOwner("the cell is not owned here")
        return await self._answer_as_owner(owner, message)

    async def _answer_as_owner(
        self, owner: Owner, message: GatewayMessage
    ) -> GatewayMessage:
        match message:
            case SubmitJob(job, queue, spec):
                known: Queue | None = queue
                if not owner.job_api.knows(job):
                    known = await self._configs.current_queue(queue)
                if known is None:
                    return NotOwner(_QUEUE_REMOVED)
                return job_answer(await _submit(owner, job, known, spec))
            case AskState(job):
                await owner.import_if_stored(job)
                return job_answer(owner.job_api.state(job))
            case CancelJob(job):
                return job_answer(await owner.cancel(job))
            case AskPending(queue):
                if await self._configs.is_removed(queue):
                    return NotOwner(_QUEUE_REMOVED)
                return PendingAnswer(owner.job_api.pending(queue))
            case _:
                return NotOwner("not a question")


async def _submit(
    owner: Owner, job: str, queue: Queue, spec: JobSpec
) -> JobReply:
    reply = await owner.job_api.submit(job, queue, spec)
    if reply.outcome is Outcome.FULL:
        # A refusal is only correct if no VM has stored the job before.
        await owner.import_if_stored(job)
        if owner.job_api.knows(job):
            reply = await owner.job_api.submit(job, queue, spec)
    return reply
