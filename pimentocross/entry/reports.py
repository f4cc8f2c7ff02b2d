"""Builds the reports of one entry VM for operators."""

from collections.abc import Callable

import trio

from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import NEVER, Authority
from pimentocross.contracts.drain import Drain
from pimentocross.contracts.fold import StreamFold
from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellManager
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
    """Builds reports on this entry VM and the cells that it owns."""

    def __init__(
        self,
        authority: Authority,
        config: StreamFold[ConfigState],
        peers: Peers,
        cell_manager: CellManager,
        histograms: Histograms,
        drain: Drain,
        is_log_away: Callable[[], bool],
    ) -> None:
        """Initializes the reports.

        Args:
            authority: This process's membership and ownership rules.
            config: The configuration stream's fold.
            peers: Links to the other entry VMs.
            cell_manager: Runs the cells that this process owns.
            histograms: Latencies of requests to this process.
            drain: Counts requests in flight.
            is_log_away: Returns True while the log is unavailable.
        """
        self._authority = authority
        self._config = config
        self._peers = peers
        self._cell_manager = cell_manager
        self._histograms = histograms
        self._drain = drain
        self._is_log_away = is_log_away

    def status(self) -> StatusAnswer:
        """Returns the status of this entry VM and its cells."""
        confirmed_at = self._authority.confirmed_at
        age = None
        if confirmed_at != NEVER:
            age = trio.current_time() - confirmed_at
        live = self._peers.live()
        names = sorted(link.identity.name for link in live if link.identity)
        local_identity = self._peers.local_identity
        return StatusAnswer(
            local_identity.name,
            local_identity.process,
            local_identity.zone,
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

    def jobs(self, limit: int) -> list[JobStatus]:
        """Returns up to `limit` jobs of the cells owned here, cell by cell.

        These are the last of that list, not the newest jobs of all cells.
        """
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
        return found[-limit:]

    def explain(self, subject: str) -> list[str]:
        """Returns lines that explain the state of a job, task or worker."""
        reasons: list[str] = []
        for owner in self._owners():
            reasons.extend(_explain(owner, subject))
        return reasons

    def histograms(self) -> list[tuple[str, str, bytes]]:
        """Returns the latency histograms, encoded."""
        return self._histograms.encoded()

    def _owners(self) -> list[CellOwner]:
        owned = self._cell_manager.owned
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


def _explain(owner: CellOwner, subject: str) -> list[str]:
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
        lines.insert(0, _explain_worker(owner, worker))
    return lines


def _explain_worker(owner: CellOwner, worker: Worker) -> str:
    if worker.leaving:
        state = "leaving, gets nothing new"
    elif worker.is_synced:
        state = "met"
    elif worker.ever_synced:
        state = "silent"
    else:
        state = f"not met since epoch {owner.epoch}"
    health_reason = owner.explain_worker(worker.name)
    if health_reason:
        state = f"{state}, {health_reason}"
    tasks = ", ".join(sorted(worker.commitments.tasks)) or "nothing"
    return f"worker {worker.name}: {state}; holds {tasks}"
