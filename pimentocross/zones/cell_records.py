"""Publishes a cell's records until they are accepted or rejected."""

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
    """Records events of a cell while this process owns it.

    Attributes:
        stopped: Set once the owner has stopped acting.
        nursery: Runs the publishing tasks; None until the owner runs.
    """

    def __init__(
        self,
        resource: str,
        authority: Authority,
        fold: StreamFold[CellState],
        tasks: dict[str, WantedTask],
        wake: Callable[[], None],
    ) -> None:
        """Initializes the recorder with the ownership's newest epoch.

        Args:
            resource: Name of the cell as an owned resource.
            authority: Ownerships of this process and their epochs.
            fold: The cell's stream and its state.
            tasks: Tasks of the cell by id; finished ones are removed.
            wake: Called when a task may be placed again.
        """
        self.stopped = False
        self.nursery: trio.Nursery | None = None
        self._resource = resource
        self._authority = authority
        self._epoch = authority.epoch(resource)
        self._fold = fold
        self._tasks = tasks
        self._wake = wake
        self._recording: set[tuple[str, Attempt]] = set()

    async def publish_until_decided(
        self, record: CellRecord, *, urgent: bool = True
    ) -> Verdict | None:
        """Publishes a record until it is accepted or rejected.

        Args:
            record: The record.
            urgent: Whether it is appended at once, or may be batched.

        Returns:
            The verdict, or None if the ownership ended first.
        """
        body = self._fold.new_body(KINDS.encode(record))
        while not self.stopped and self._authority.owns(self._resource):
            verdict = await self._fold.publish(
                body, timeout=const.PUBLISH_TIMEOUT, urgent=urgent
            )
            if self._fold.state.epoch > self._epoch:
                # A newer owner has opened the cell, although its claim may not
                # have been read here yet.
                return None
            if verdict.outcome in (Outcome.ACCEPTED, Outcome.REJECTED):
                return verdict
        return None

    def record_end(
        self, worker: Worker, task: WantedTask, report: TaskReport
    ) -> bool:
        """Starts to record a batch task's end.

        Returns:
            False if it is being recorded already or the owner is not running.
        """
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
            report.result[: const.MAX_RESULT_CHARS],
            worker.name,
        )
        self.nursery.start_soon(self._publish_end, worker, task, record)
        return True

    def record_eviction(
        self, worker: Worker, task: WantedTask, report: TaskReport
    ) -> None:
        """Starts to record the checkpoint of a task evicted from a worker."""
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
        """Records that a worker belongs to the cell.

        Returns:
            True once the record is accepted; False if it is not, or if it is
            being recorded already.
        """
        if (name, Attempt(0, 0)) in self._recording:
            return False
        self._recording.add((name, Attempt(0, 0)))
        record = WorkerRostered(self._epoch, name, address)
        verdict = await self.publish_until_decided(record)
        self._recording.discard((name, Attempt(0, 0)))
        return verdict is not None and verdict.accepted

    async def _publish_end(
        self, worker: Worker, task: WantedTask, record: TaskEnded
    ) -> None:
        # Not urgent: the worker keeps the end until it is told to forget it.
        verdict = await self.publish_until_decided(record, urgent=False)
        self._recording.discard((task.task, record.attempt))
        if verdict is None:
            return
        worker.forget(task.task, record.attempt)
        current = self._tasks.get(task.task)
        if current is not None and current.phase is TaskPhase.ENDING:
            if record.finished:
                del self._tasks[task.task]
            else:
                _retry_failed(current, record)
        self._wake()

    async def _publish_eviction(
        self, worker: Worker, task: WantedTask, record: TaskEvicted
    ) -> None:
        await self.publish_until_decided(record, urgent=False)
        worker.forget(task.task, record.attempt)


def _retry_failed(task: WantedTask, record: TaskEnded) -> None:
    now = trio.current_time()
    task.requeue(now, f"failed on {record.worker}: {record.result}")
    task.not_before = now + const.FAILURE_BACKOFF
    task.avoid.add(record.worker)
