"""Handles the requests that other entry VMs send to this one."""

from typing import Any, Protocol

import trio

from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.fold import StreamFold
from pimentocross.entry.idempotency import IdempotencyTable
from pimentocross.entry.jobs import answer_for_cell, cell_of
from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellManager
from pimentocross.entry.reports import Reports
from pimentocross.entry.targets import TargetRegistry
from pimentocross.links.greeting import PeerIdentity
from pimentocross.links.messages import (
    Acknowledge,
    Acknowledged,
    AskFold,
    AskHistograms,
    AskJob,
    AskJobs,
    AskKey,
    AskRecords,
    AskStatus,
    AskVms,
    AskWhy,
    CancelJob,
    ConfigInForce,
    Done,
    DrainWorker,
    DrainWorkerReply,
    FoldAnswer,
    Heartbeat,
    HeartbeatReply,
    HistogramsAnswer,
    JobsAnswer,
    PeerMessage,
    PushTargets,
    RecordsAnswer,
    Refused,
    SubmitJob,
    VmsAnswer,
    WaitConfig,
    WhyAnswer,
)


class HeartbeatObserver(Protocol):
    """Receives the heartbeats of peers."""

    def note_heartbeat(self, process: str, heartbeat: Heartbeat) -> None:
        """Handles a heartbeat of the given peer process."""
        ...


class PeerRequestHandler:
    """Answers requests of peers from the state of this process.

    Implements `PeerAnswerer`.
    """

    def __init__(
        self,
        authority: Authority,
        config: StreamFold[ConfigState],
        folds: dict[str, StreamFold[Any]],
        cell_manager: CellManager,
        keys: IdempotencyTable,
        target_registry: TargetRegistry,
        reports: Reports,
        heartbeat_observer: HeartbeatObserver,
        peers: Peers,
    ) -> None:
        """Initializes the handler.

        Args:
            authority: This process's membership and ownership rules.
            config: The configuration stream's fold.
            folds: Folds that peers may fetch, by stream.
            cell_manager: Runs the cells that this process owns.
            keys: Idempotency keys that this process claimed.
            target_registry: Updated with the targets that peers push.
            reports: Answers the operator queries that peers pass on.
            heartbeat_observer: Gets each heartbeat received.
            peers: Gets each peer that has opened a connection.
        """
        self._authority = authority
        self._config = config
        self._folds = folds
        self._cell_manager = cell_manager
        self._keys = keys
        self._target_registry = target_registry
        self._reports = reports
        self._heartbeat_observer = heartbeat_observer
        self._peers = peers

    def refuse(self, reason: str) -> PeerMessage:
        """Returns the reply to a message that can't be decoded."""
        return Refused(reason)

    async def answer(
        self, peer: PeerIdentity, message: PeerMessage
    ) -> PeerMessage:
        """Returns the reply to one request; see `PeerAnswerer`."""
        match message:
            case Heartbeat():
                return self._on_heartbeat(peer, message)
            case Acknowledge(process):
                return Acknowledged(self._authority.acknowledge(process))
            case PushTargets(cell, epoch, version, targets):
                self._target_registry.update_cell(cell, epoch, version, targets)
                return Done()
            case SubmitJob() | CancelJob() | AskJob():
                return await self._for_cell(message)
            case AskKey(key, timeout):
                return await self._keys.answer(key, timeout)
            case WaitConfig(version, timeout):
                return await self._wait_config(version, timeout)
            case AskFold(stream):
                return self._fold_dump(stream)
            case AskRecords(stream, start):
                return self._records(stream, start)
            case _:
                return self._report(message)

    def _on_heartbeat(
        self, peer: PeerIdentity, message: Heartbeat
    ) -> HeartbeatReply:
        self._peers.record_inbound(peer)
        self._heartbeat_observer.note_heartbeat(peer.process, message)
        self._target_registry.set_peer_in_flight(
            peer.process, message.in_flight
        )
        statement = self._authority.statement()
        return HeartbeatReply(
            statement.position,
            statement.read_age,
            statement.acknowledged,
            self._config.state.version,
        )

    async def _for_cell(
        self, message: SubmitJob | CancelJob | AskJob
    ) -> PeerMessage:
        cell = cell_of(message.job)
        owner = self._cell_manager.owned.get(cell)
        if owner is None:
            return Refused(f"{cell!r} is not owned here")
        return await answer_for_cell(owner, message)

    async def _wait_config(self, version: int, timeout: float) -> ConfigInForce:
        with trio.move_on_after(timeout):
            while self._config.state.version < version:
                await self._config.wait_change()
        return ConfigInForce(self._config.state.version)

    def _fold_dump(self, stream: str) -> FoldAnswer:
        fold = self._folds.get(stream)
        if fold is None or not fold.ready:
            return FoldAnswer(-1, {}, [])
        dump = fold.dump()
        ids = [(i.record_id, i.offset, i.reason) for i in dump.ids]
        return FoldAnswer(dump.position, dump.state, ids)

    def _records(self, stream: str, start: int) -> RecordsAnswer:
        fold = self._folds.get(stream)
        records = fold.recent_since(start) if fold is not None else None
        if records is None:
            return RecordsAnswer(False, [])
        return RecordsAnswer(True, [(r.offset, r.body) for r in records])

    def _report(self, message: PeerMessage) -> PeerMessage:
        match message:
            case AskStatus():
                return self._reports.status()
            case AskVms():
                return VmsAnswer(self._reports.vms())
            case AskJobs(limit):
                return JobsAnswer(self._reports.jobs(limit))
            case AskWhy(subject):
                return WhyAnswer(self._reports.explain(subject))
            case AskHistograms():
                return HistogramsAnswer(self._reports.histograms())
            case DrainWorker(worker):
                owners = self._cell_manager.owned.values()
                return DrainWorkerReply(
                    any(owner.drain_worker(worker) for owner in owners)
                )
            case _:
                return Refused("not a question")
