"""Sends start, stop and pace orders to workers, one trio task per order."""

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
from pimentocross.owner import boot_clock, const
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.ledger import Batch
from pimentocross.owner.worker import Worker
from pimentocross.work.spec import TaskName
from pimentocross.work.state import SETTLED, Run, RunState, Task

# Seconds for which a refused task isn't started again, so that it isn't sent to
# the same workers in a tight loop.
_REFUSED_START_PAUSE = 0.3


class Placement(NamedTuple):
    """A run placed on a worker, and the adviser's ticket for it, or ""."""

    task: Task
    run: Run
    worker: Worker
    ticket: str = ""


class Orders:
    """Sends the orders that start, stop and pace runs.

    Attributes:
        started: Set once any worker has confirmed a start.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        context: OwnerContext,
        on_refused: Callable[[Worker, Task, StartVerdict], None],
    ) -> None:
        """Initializes the sender of orders.

        Args:
            nursery: Runs the calls to workers.
            context: What the components of the owner share.
            on_refused: Called when a worker has refused a start.
        """
        self._nursery = nursery
        self._context = context
        self._on_refused = on_refused
        self.started = trio.Event()
        self._stopping: set[tuple[int, TaskName, int]] = set()

    def start(self, placements: Sequence[Placement], batch: Batch) -> None:
        """Starts runs once the records of these decisions are stored."""
        for task, run, worker, _ in placements:
            self._context.late_starts.note_decided(task, run, worker.life)
        self._nursery.start_soon(self._start_all, placements, batch)

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Stops a run; repeats the order until the worker confirms it."""
        if run.state is RunState.DECIDED:
            self._drop_run(worker, task, run)
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
        """Stops a run whose task is unknown to this owner."""
        self._begin_stop(worker, name, run, None)

    def start_again(self, worker: Worker, task: Task, run: Run) -> None:
        """Repeats an unanswered start under the same run number."""
        placement = Placement(task, run, worker)
        self._nursery.start_soon(self._start_again, placement)

    def pace(self, worker: Worker, task: Task, run: Run, percent: int) -> None:
        """Limits a run to a percentage of its full speed."""
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
            # The worker may have been declared dead meanwhile, which drops its
            # runs.
            if task.runs.get(run.number) is not run:
                return
            if run.state is not RunState.DECIDED:
                return
            # Another run of the task may have succeeded meanwhile.
            unneeded = task.done or task.step.job.ended
            if unneeded or not self._may_start(task, worker):
                self._drop_run(worker, task, run)
                return
            reply = await self._send(placement)
        if reply is not None:
            self._on_reply(placement, reply)
            await self._confirm(placement)

    async def _start_again(self, placement: Placement) -> None:
        task, run, worker, _ = placement
        await self._context.late_starts.record_resend(task, run).wait()
        async with worker.calls:
            if task.runs.get(run.number) is not run:
                return
            if run.state is not RunState.UNSURE or worker.gone:
                return
            if task.step.job.ended or not self._may_start(task, worker):
                return
            reply = await self._send(placement)
        if reply is not None:
            self._on_reply(placement, reply)
            await self._confirm(placement)

    async def _confirm(self, placement: Placement) -> None:
        """Settles the start of a lasting run by a listing of its life.

        If its worker were gone before the next regular listing, the task would
        be away for as long as a next life might run it.
        """
        task, run, worker, _ = placement
        unsettled = run.state is RunState.RUNNING and run.late_until != SETTLED
        if not unsettled or not task.step.spec.lasting or worker.gone:
            return
        try:
            async with worker.calls:
                with worker.calling():
                    reply = await worker.link.hold(
                        self._context.token_for(worker),
                        seen=0,
                        deadline=None,
                        wait=0.0,
                        timeout=self._context.patience.for_call(),
                    )
        except (WorkerUnreachableError, WorkerReplacedError):
            return
        listed = any(
            (r.task, r.run) == (task.name, run.number) for r in reply.running
        )
        if listed and reply.born == worker.life.born:
            run.note_start_settled()

    async def _send(self, placement: Placement) -> StartReply | None:
        """Sends a start; returns the worker's reply, or None without one."""
        task, run, worker, ticket = placement
        now = trio.current_time()
        deadline = worker.clock.after(const.START_VALIDITY, now)
        worker.lease_end = max(worker.lease_end or 0.0, deadline)
        order = StartOrder(
            task.name,
            run.number,
            task.step.job.spec.payload,
            deadline,
            self._context.token_for(worker),
            task.checkpoint,
            ticket,
        )
        run.enter(RunState.SENT, now)
        timeout = self._context.patience.for_call()
        late_starts = self._context.late_starts
        late_starts.note_sent(run, worker.life, timeout)
        try:
            with worker.calling():
                reply = await worker.link.start(order, timeout)
        except (WorkerUnreachableError, WorkerReplacedError) as error:
            worker.maybe_replaced = True
            worker.late_until = trio.current_time() + const.LATE_START_WINDOW
            if _may_arrive_late(error):
                run.note_start_unanswered(worker.late_until)
                late_starts.note_renewal(worker, answered=False)
            else:
                run.note_start_settled()
            self._on_unanswered(task, run, str(error))
            return None
        finally:
            late_starts.note_answered()
        self._note_answered(run, worker, reply)
        if reply.clock is not None:
            if worker.clock.is_behind(reply.clock):
                worker.maybe_replaced = True
                note(
                    "start_answered_by_other_clock",
                    task=task.name,
                    run=run.number,
                    worker=worker.life.id,
                    clock=round(reply.clock, 3),
                )
            if not worker.life.born:
                worker.clock.note(reply.clock, now, trio.current_time())
        return reply

    def _note_answered(
        self, run: Run, worker: Worker, reply: StartReply
    ) -> None:
        """Notes which life may have carried a start out.

        The answer doesn't tell. If it was the next life of the worker's id,
        neither the former life's clock nor its leases bound the run. But a
        connection ends with the life that accepted it: the answer is of the
        life that was called if that life has answered a call since then.
        """
        is_known = reply.connected_at <= worker.heard_asked_at
        if not is_known:
            self._context.late_starts.note_renewal(worker, answered=True)
        started = reply.verdict is StartVerdict.STARTED
        if started and worker.life.born and not (is_known or run.began_at):
            run.note_start_answered(trio.current_time())
        else:
            run.note_start_settled()

    def _may_start(self, task: Task, worker: Worker) -> bool:
        # These conditions may have changed since the run was decided.
        if not self._context.may_start_on(worker) or not worker.clock.known:
            return False
        # The worker's capacity may have shrunk while the record was stored.
        if not worker.has_capacity_for(task.step.spec):
            return False
        lease = self._context.confirmation.lease(boot_clock.now())
        return lease >= const.START_VALIDITY

    def _on_unanswered(self, task: Task, run: Run, reason: str) -> None:
        meters.add_unanswered("start")
        note("start_unanswered", task=task.name, run=run.number, reason=reason)
        if run.state is RunState.SENT:
            run.enter(RunState.UNSURE, trio.current_time())

    def _on_reply(self, placement: Placement, reply: StartReply) -> None:
        task, run, worker, _ = placement
        now = trio.current_time()
        if reply.verdict is StartVerdict.STARTED:
            self.started.set()
            task.note_has_run()
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
            task.not_before = now + _REFUSED_START_PAUSE
            self._drop_run(worker, task, run)
        self._on_refused(worker, task, reply.verdict)

    def _drop_run(self, worker: Worker, task: Task, run: Run) -> None:
        self._context.late_starts.drop(task, run.number, worker)
        self._context.book.changed(task.step.job)
        self._context.wake()

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
        token = self._context.token_for(worker)
        try:
            while not worker.gone:
                try:
                    async with worker.calls:
                        with worker.calling():
                            await worker.link.stop(
                                name,
                                number,
                                token,
                                self._context.patience.for_call(),
                            )
                    if run is not None and self._is_on_worker(worker, run):
                        run.stopped_at = trio.current_time()
                    return
                except WorkerUnreachableError as error:
                    meters.add_unanswered("stop")
                    note("stop_unanswered", task=name, reason=str(error))
                except WorkerReplacedError:
                    return
                if run is not None and not self._is_on_worker(worker, run):
                    return
                await trio.sleep(const.STOP_RETRY_PAUSE)
        finally:
            self._stopping.discard((worker.number, name, number))

    def _is_on_worker(self, worker: Worker, run: Run) -> bool:
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
                        self._context.token_for(worker),
                        self._context.patience.for_call(),
                    )
        except (WorkerUnreachableError, WorkerReplacedError) as error:
            meters.add_unanswered("pace")
            note("pace_unanswered", task=task.name, reason=str(error))
            return
        run.pace = percent
        note(
            "run_paced", task=task.name, worker=worker.life.id, percent=percent
        )


def _may_arrive_late(error: Exception) -> bool:
    """Returns whether a failed order may still reach and run on the worker."""
    return isinstance(error, WorkerUnreachableError) and error.sent
