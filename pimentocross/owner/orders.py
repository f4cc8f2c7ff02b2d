"""Sends starts and stops to workers, one task for each order."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from pimentocross.contracts.worker_link import (
    StartOrder,
    StartReply,
    StartVerdict,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.ledger import Batch
from pimentocross.owner.parts import CellParts
from pimentocross.owner.worker import Worker
from pimentocross.work.spec import TaskName
from pimentocross.work.state import Run, RunState, Task

# After a refusal the task waits this long, so that it isn't sent in a circle.
_REFUSED_PAUSE = 0.3


class Placement(NamedTuple):
    """A run that was decided on, and the ticket that lets it run, or ""."""

    task: Task
    run: Run
    worker: Worker
    ticket: str = ""


class Orders:
    """Starts, stops and paces runs.

    Attributes:
        started: Set once a run has begun.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        parts: CellParts,
        on_refused: Callable[[Worker, Task, StartVerdict], None],
    ) -> None:
        """Takes the nursery of the owner's tasks and what parts share."""
        self._nursery = nursery
        self._parts = parts
        self._on_refused = on_refused
        self.started = trio.Event()
        self._stopping: set[tuple[int, TaskName, int]] = set()

    def start(self, placements: Sequence[Placement], batch: Batch) -> None:
        """Starts runs once their records are stored."""
        for task, run, worker, _ in placements:
            self._parts.late_starts.note_decided(task, run, worker.life)
        self._nursery.start_soon(self._start_all, placements, batch)

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Stops a run, however often it has to be asked."""
        if run.state is RunState.DECIDED:
            self._drop(worker, task, run)
            return
        if run.state is RunState.STOPPING and run.stopped_at:
            return
        if run.state is not RunState.STOPPING:
            note(
                "run_stop",
                task=task.name,
                run=run.number,
                worker=worker.life.id,
                reason=reason,
            )
            run.enter(RunState.STOPPING, trio.current_time())
            run.stopped_at = 0.0
        self._begin_stop(worker, task.name, run.number, run)

    def stop_unknown(self, worker: Worker, name: TaskName, run: int) -> None:
        """Stops a run of a task that isn't known."""
        self._begin_stop(worker, name, run, None)

    def start_again(self, worker: Worker, task: Task, run: Run) -> None:
        """Repeats a start that wasn't answered, under the same number."""
        placement = Placement(task, run, worker)
        self._nursery.start_soon(self._start_again, placement)

    def pace(self, worker: Worker, task: Task, run: Run, percent: int) -> None:
        """Lets a run work at a share of its speed."""
        self._nursery.start_soon(self._pace, worker, task, run, percent)

    async def _start_all(
        self, placements: Sequence[Placement], batch: Batch
    ) -> None:
        await batch.stored.wait()
        for placement in placements:
            self._nursery.start_soon(self._start, placement)

    async def _start(self, placement: Placement) -> None:
        task, run, worker, _ = placement
        async with worker.calls:
            # Its worker may have been given up meanwhile, and the run with it.
            if task.runs.get(run.number) is not run:
                return
            if run.state is not RunState.DECIDED:
                return
            # Another run of it may have ended well meanwhile.
            unneeded = task.done or task.step.job.ended
            if unneeded or not self._may_start(task, worker):
                self._drop(worker, task, run)
                return
            reply = await self._send(placement)
        if reply is not None:
            self._on_verdict(placement, reply)

    async def _start_again(self, placement: Placement) -> None:
        task, run, worker, _ = placement
        await self._parts.late_starts.note_repeated(task, run).wait()
        async with worker.calls:
            if task.runs.get(run.number) is not run:
                return
            if run.state is not RunState.UNSURE or worker.gone:
                return
            if task.step.job.ended or not self._may_start(task, worker):
                return
            reply = await self._send(placement)
        if reply is not None:
            self._on_verdict(placement, reply)

    async def _send(self, placement: Placement) -> StartReply | None:
        """Sends a start; returns the answer, None without one."""
        task, run, worker, ticket = placement
        now = trio.current_time()
        deadline = worker.clock.after(const.START_VALIDITY, now)
        worker.lease_end = max(worker.lease_end or 0.0, deadline)
        order = StartOrder(
            task.name,
            run.number,
            task.step.job.spec.payload,
            deadline,
            self._parts.token_for(worker),
            task.checkpoint,
            ticket,
        )
        run.enter(RunState.SENT, now)
        timeout = self._parts.patience.for_call()
        late_starts = self._parts.late_starts
        late_starts.note_sent(run, worker.life, timeout)
        try:
            with worker.calling():
                reply = await worker.link.start(order, timeout)
        except (WorkerUnreachableError, WorkerReplacedError) as error:
            worker.maybe_replaced = True
            worker.late_until = trio.current_time() + const.LATE_START_MOST
            if not _may_come_late(error):
                run.note_start_settled()
            self._on_unanswered(task, run, str(error))
            return None
        finally:
            late_starts.note_answered()
        run.note_start_settled()
        return reply

    def _may_start(self, task: Task, worker: Worker) -> bool:
        # What allowed it when it was decided may have changed since.
        if not self._parts.may_start_on(worker) or not worker.clock.known:
            return False
        # Its capacity may have shrunk while the record was on its way.
        if not worker.has_capacity_for(task.step.spec):
            return False
        return self._parts.ledger.age() < const.RENEWALS_WITHOUT_STORE

    def _on_unanswered(self, task: Task, run: Run, reason: str) -> None:
        meters.add_unanswered("start")
        note("start_unanswered", task=task.name, run=run.number, reason=reason)
        if run.state is RunState.SENT:
            run.enter(RunState.UNSURE, trio.current_time())

    def _on_verdict(self, placement: Placement, reply: StartReply) -> None:
        task, run, worker, _ = placement
        now = trio.current_time()
        if reply.clock is not None:
            if worker.clock.is_behind(reply.clock):
                worker.maybe_replaced = True
            worker.clock.note(reply.clock, now)
        if reply.verdict is StartVerdict.STARTED:
            self.started.set()
            task.note_begun()
            if run.state is RunState.SENT:
                run.enter(RunState.RUNNING, now)
            return
        note(
            "start_refused",
            task=task.name,
            run=run.number,
            worker=worker.life.id,
            verdict=reply.verdict.value,
        )
        if run.state is RunState.SENT:
            task.not_before = now + _REFUSED_PAUSE
            self._drop(worker, task, run)
        self._on_refused(worker, task, reply.verdict)

    def _drop(self, worker: Worker, task: Task, run: Run) -> None:
        self._parts.late_starts.drop(task, run.number, worker)
        self._parts.book.changed(task.step.job)
        self._parts.wake()

    def _begin_stop(
        self, worker: Worker, name: TaskName, number: int, run: Run | None
    ) -> None:
        key = (worker.number, name, number)
        if key in self._stopping:
            return
        self._stopping.add(key)
        self._nursery.start_soon(self._stop, worker, name, number, run)

    async def _stop(
        self, worker: Worker, name: TaskName, number: int, run: Run | None
    ) -> None:
        token = self._parts.token_for(worker)
        try:
            while not worker.gone:
                try:
                    async with worker.calls:
                        with worker.calling():
                            await worker.link.stop(
                                name,
                                number,
                                token,
                                self._parts.patience.for_call(),
                            )
                    if run is not None and self._on_worker(worker, run):
                        run.stopped_at = trio.current_time()
                    return
                except WorkerUnreachableError as error:
                    meters.add_unanswered("stop")
                    note("stop_unanswered", task=name, reason=str(error))
                except WorkerReplacedError:
                    return
                if run is not None and not self._on_worker(worker, run):
                    return
                await trio.sleep(const.STOP_RETRY_PAUSE)
        finally:
            self._stopping.discard((worker.number, name, number))

    def _on_worker(self, worker: Worker, run: Run) -> bool:
        return any(other is run for other in worker.runs.values())

    async def _pace(
        self, worker: Worker, task: Task, run: Run, percent: int
    ) -> None:
        try:
            async with worker.calls:
                with worker.calling():
                    await worker.link.pace(
                        task.name,
                        run.number,
                        percent,
                        self._parts.token_for(worker),
                        self._parts.patience.for_call(),
                    )
        except (WorkerUnreachableError, WorkerReplacedError) as error:
            meters.add_unanswered("pace")
            note("pace_unanswered", task=task.name, reason=str(error))
            return
        run.pace = percent
        note(
            "run_paced", task=task.name, worker=worker.life.id, percent=percent
        )


def _may_come_late(error: Exception) -> bool:
    """True if an order that failed so may be carried out yet."""
    return isinstance(error, WorkerUnreachableError) and error.sent
