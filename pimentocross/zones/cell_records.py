"""Publishes a cell's records until every reader has judged them."""

from collections.abc import Callable

import trio

from pimentocross.backing.workers import Attempt, TaskReport, TaskState
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome, Verdict
from pimentocross.vms.worker import Worker
from pimentocross.zones import const
from pimentocross.zones.cell_state import (
    KINDS,
    CellRecord,
    CellState,
    TaskEnded,
    TaskEvicted,
    WorkerRostered,
)
from pimentocross.zones.tasks import TaskPhase, WantedTask


class CellRecorder:
    """Records what an owner sees, for as long as its ownership stands.

    Attributes:
        stopped: Set once the owner acts no more.
        nursery: Where publishing goes on beside the owner, once it runs.
    """

    def __init__(
        self,
        resource: str,
        authority: Authority,
        fold: StreamFold[CellState],
        tasks: dict[str, WantedTask],
        wake: Callable[[], None],
    ) -> None:
        """Takes the ownership's newest epoch, the tasks and who to wake."""
        self.stopped = False
        self.nursery: trio.Nursery | None = None
        self._resource = resource
        self._authority = authority
        self._epoch = authority.epoch(resource)
        self._fold = fold
        self._tasks = tasks
        self._wake = wake
        self._recording: set[tuple[str, Attempt]] = set()

    async def settle(
        self, record: CellRecord, *, urgent: bool = True
    ) -> Verdict | None:
        """Publishes until every reader has judged the record.

        Returns:
            None if the ownership ended first.
        """
        body = self._fold.new_body(KINDS.encode(record))
        while not self.stopped and self._authority.owns(self._resource):
            verdict = await self._fold.publish(
                body, timeout=const.PUBLISH_TIMEOUT, urgent=urgent
            )
            if self._fold.state.epoch > self._epoch:
                # Superseded, though the claim may not have been read yet.
                return None
            if verdict.outcome in (Outcome.ACCEPTED, Outcome.REJECTED):
                return verdict
        return None

    def record_end(
        self, worker: Worker, task: WantedTask, report: TaskReport
    ) -> bool:
        """Records a batch task's end; False if that is under way."""
        attempt = report.spec.attempt
        if (task.task, attempt) in self._recording or self.nursery is None:
            return False
        self._recording.add((task.task, attempt))
        record = TaskEnded(
            self._epoch,
            task.job,
            task.index,
            attempt,
            report.state is TaskState.FINISHED,
            report.result[: const.RESULT_MOST],
            worker.name,
        )
        self.nursery.start_soon(self._publish_end, worker, task, record)
        return True

    def record_eviction(
        self, worker: Worker, task: WantedTask, report: TaskReport
    ) -> None:
        """Records the checkpoint of a task that was moved off a worker."""
        if self.nursery is None:
            return
        record = TaskEvicted(
            self._epoch,
            task.job,
            task.index,
            report.spec.attempt,
            report.checkpoint,
        )
        self.nursery.start_soon(self._publish_eviction, worker, task, record)

    async def record_worker(self, name: str, address: str) -> bool:
        """Records that a worker is of the cell; True once it is."""
        if (name, Attempt(0, 0)) in self._recording:
            return False
        self._recording.add((name, Attempt(0, 0)))
        record = WorkerRostered(self._epoch, name, address)
        verdict = await self.settle(record)
        self._recording.discard((name, Attempt(0, 0)))
        return verdict is not None and verdict.accepted

    async def _publish_end(
        self, worker: Worker, task: WantedTask, record: TaskEnded
    ) -> None:
        # The worker keeps the end until it is recorded, so it can wait.
        verdict = await self.settle(record, urgent=False)
        self._recording.discard((task.task, record.attempt))
        if verdict is None:
            return
        worker.forget(task.task, record.attempt)
        wanted = self._tasks.get(task.task)
        if wanted is not None and wanted.phase is TaskPhase.ENDING:
            if record.finished:
                del self._tasks[task.task]
            else:
                _retry_failed(wanted, record)
        self._wake()

    async def _publish_eviction(
        self, worker: Worker, task: WantedTask, record: TaskEvicted
    ) -> None:
        await self.settle(record, urgent=False)
        worker.forget(task.task, record.attempt)


def _retry_failed(task: WantedTask, record: TaskEnded) -> None:
    now = trio.current_time()
    task.requeue(now, f"failed on {record.worker}: {record.result}")
    task.not_before = now + const.FAILURE_BACKOFF
    task.avoid.add(record.worker)
