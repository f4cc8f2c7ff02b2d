"""What this entry VM knows, put together for operators."""

from collections.abc import Callable

import trio

from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import NEVER, Authority
from pimentocross.contracts.drain import Drain
from pimentocross.contracts.fold import StreamFold
from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellKeeper
from pimentocross.links.messages import (
    CellStatus,
    JobStatus,
    StatusAnswer,
    WorkerStatus,
)
from pimentocross.observe.histograms import Histograms
from pimentocross.vms.worker import Worker
from pimentocross.zones.cell import CellOwner


class Reports:
    """Reports of one entry VM."""

    def __init__(
        self,
        authority: Authority,
        config: StreamFold[ConfigState],
        peers: Peers,
        keeper: CellKeeper,
        histograms: Histograms,
        drain: Drain,
        is_log_away: Callable[[], bool],
    ) -> None:
        """Takes what the reports come from."""
        self._authority = authority
        self._config = config
        self._peers = peers
        self._keeper = keeper
        self._histograms = histograms
        self._drain = drain
        self._is_log_away = is_log_away

    def status(self) -> StatusAnswer:
        """Returns what this entry VM does."""
        confirmed_at = self._authority.confirmed_at
        age = None
        if confirmed_at != NEVER:
            age = trio.current_time() - confirmed_at
        live = self._peers.live()
        names = sorted(link.identity.name for link in live if link.identity)
        mine = self._peers.mine
        return StatusAnswer(
            mine.name,
            mine.process,
            mine.zone,
            self._config.state.version,
            self._drain.begun,
            self._is_log_away(),
            age,
            names,
            [_cell_status(owner) for owner in self._owners()],
            self._drain.in_flight,
        )

    def vms(self) -> list[WorkerStatus]:
        """Returns the workers of the cells owned here."""
        return [
            _worker_status(owner.name, worker)
            for owner in self._owners()
            for worker in owner.workers.values()
        ]

    def jobs(self, most: int) -> list[JobStatus]:
        """Returns the newest jobs of the cells owned here."""
        found = [
            JobStatus(
                name,
                job.accepted.class_name,
                job.accepted.tenant,
                job.state,
                job.accepted.tasks,
                len(job.results),
            )
            for owner in self._owners()
            for name, job in owner.fold.state.jobs.items()
        ]
        return found[-most:]

    def why(self, subject: str) -> list[str]:
        """Returns the deciding reasons of a job, task or worker."""
        reasons: list[str] = []
        for owner in self._owners():
            reasons.extend(_why(owner, subject))
        return reasons

    def histograms(self) -> list[tuple[str, str, bytes]]:
        """Returns the latency histograms, encoded."""
        return self._histograms.encoded()

    def _owners(self) -> list[CellOwner]:
        owned = self._keeper.owned
        return [owned[name] for name in sorted(owned)]


def _cell_status(owner: CellOwner) -> CellStatus:
    load = owner.load()
    return CellStatus(
        owner.name,
        owner.epoch,
        load.pending,
        load.running,
        load.free_slots,
        len(owner.workers),
        sum(worker.is_synced for worker in owner.workers.values()),
        owner.fold.state.open_jobs,
    )


def _worker_status(cell: str, worker: Worker) -> WorkerStatus:
    commitments = worker.commitments
    return WorkerStatus(
        worker.name,
        cell,
        worker.is_synced,
        worker.leaving,
        commitments.capacity,
        commitments.free,
        len(commitments.tasks),
    )


def _why(owner: CellOwner, subject: str) -> list[str]:
    lines = [
        f"task {t.task}: {t.phase.value}: {t.reason}"
        for t in owner.tasks.values()
        if subject in (t.task, t.job, t.class_name)
    ]
    job = owner.fold.state.jobs.get(subject)
    if job is not None:
        reason = f": {job.reason}" if job.reason else ""
        done = f"{len(job.results)} of {job.accepted.tasks} tasks finished"
        lines.insert(0, f"job {subject}: {job.state}, {done}{reason}")
    worker = owner.workers.get(subject)
    if worker is not None:
        lines.insert(0, _why_worker(owner, worker))
    return lines


def _why_worker(owner: CellOwner, worker: Worker) -> str:
    if worker.leaving:
        state = "leaving, gets nothing new"
    elif worker.is_synced:
        state = "met"
    elif worker.ever_synced:
        state = "silent"
    else:
        state = f"not met since epoch {owner.epoch}"
    held_against = owner.explain_worker(worker.name)
    if held_against:
        state = f"{state}, {held_against}"
    tasks = ", ".join(sorted(worker.commitments.tasks)) or "nothing"
    return f"worker {worker.name}: {state}; holds {tasks}"
