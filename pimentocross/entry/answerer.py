"""What this entry VM answers its peers."""

from typing import Any, Protocol

import trio

from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.fold import StreamFold
from pimentocross.entry.idempotency import IdempotencyTable
from pimentocross.entry.jobs import answer_for_cell, cell_of
from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellKeeper
from pimentocross.entry.reports import Reports
from pimentocross.entry.targets import TargetBook
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
    FoldAnswer,
    Heartbeat,
    HeartbeatReply,
    HistogramsAnswer,
    JobsAnswer,
    LeaveWorker,
    Left,
    PeerMessage,
    PushTargets,
    RecordsAnswer,
    Refused,
    SubmitJob,
    VmsAnswer,
    WaitConfig,
    WhyAnswer,
)


class LoadBook(Protocol):
    """Takes in what peers tell of their cells."""

    def note_heartbeat(self, process: str, heartbeat: Heartbeat) -> None:
        """A peer's heartbeat came in."""
        ...


class Answerer:
    """Answers peers' questions from what this process holds."""

    def __init__(
        self,
        authority: Authority,
        config: StreamFold[ConfigState],
        folds: dict[str, StreamFold[Any]],
        keeper: CellKeeper,
        keys: IdempotencyTable,
        book: TargetBook,
        reports: Reports,
        loads: LoadBook,
        peers: Peers,
    ) -> None:
        """Takes what the answers come from."""
        self._authority = authority
        self._config = config
        self._folds = folds
        self._keeper = keeper
        self._keys = keys
        self._book = book
        self._reports = reports
        self._loads = loads
        self._peers = peers

    def refuse(self, reason: str) -> PeerMessage:
        """Returns the answer to a question that can't be read."""
        return Refused(reason)

    async def answer(
        self, peer: PeerIdentity, message: PeerMessage
    ) -> PeerMessage:
        """Returns the answer to one question; see `PeerAnswerer`."""
        match message:
            case Heartbeat():
                return self._on_heartbeat(peer, message)
            case Acknowledge(process):
                return Acknowledged(self._authority.acknowledge(process))
            case PushTargets(cell, epoch, version, targets):
                self._book.put(cell, epoch, version, targets)
                return Done()
            case SubmitJob() | CancelJob() | AskJob():
                return await self._for_cell(message)
            case AskKey(key, timeout):
                return await self._keys.answer(key, timeout)
            case WaitConfig(version, timeout):
                return await self._wait_config(version, timeout)
            case AskFold(stream):
                return self._whole_fold(stream)
            case AskRecords(stream, start):
                return self._records(stream, start)
            case _:
                return self._report(message)

    def _on_heartbeat(
        self, peer: PeerIdentity, message: Heartbeat
    ) -> HeartbeatReply:
        self._peers.note_dialed_in(peer)
        self._loads.note_heartbeat(peer.process, message)
        self._book.note_elsewhere(peer.process, message.in_flight)
        said = self._authority.statement()
        return HeartbeatReply(
            said.position,
            said.read_age,
            said.acknowledged,
            self._config.state.version,
        )

    async def _for_cell(
        self, message: SubmitJob | CancelJob | AskJob
    ) -> PeerMessage:
        cell = cell_of(message.job)
        owner = self._keeper.owned.get(cell)
        if owner is None:
            return Refused(f"{cell!r} is not owned here")
        return await answer_for_cell(owner, message)

    async def _wait_config(self, version: int, timeout: float) -> ConfigInForce:
        with trio.move_on_after(timeout):
            while self._config.state.version < version:
                await self._config.wait_change()
        return ConfigInForce(self._config.state.version)

    def _whole_fold(self, stream: str) -> FoldAnswer:
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
            case AskJobs(most):
                return JobsAnswer(self._reports.jobs(most))
            case AskWhy(subject):
                return WhyAnswer(self._reports.why(subject))
            case AskHistograms():
                return HistogramsAnswer(self._reports.histograms())
            case LeaveWorker(worker):
                owners = self._keeper.owned.values()
                return Left(any(owner.drain_worker(worker) for owner in owners))
            case _:
                return Refused("not a question")
