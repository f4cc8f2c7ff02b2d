"""Keeps a task from running twice when its start is carried out late.

Failure pattern: a worker leaves a start unanswered, crashes and starts again
under the id that it had. The new life has heard no fencing token, its clock is
behind every deadline and nothing in the order tells lives of one id apart. So
until the new life has had an order of its owner, it carries the old one out,
also if the task has run elsewhere meanwhile. Such a task starts nowhere else
before the order can't be carried out any more.

Where workers don't tell when they were born, an id names one life, and nothing
of this is needed.
"""

from collections.abc import Callable

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.endings import drop_run
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.repeats import Repeats
from pimentocross.owner.worker import RunKey, Worker
from pimentocross.work import records
from pimentocross.work.records import LateStart
from pimentocross.work.spec import TaskName
from pimentocross.work.state import Run, RunState, Task

_ON_ITS_WAY = (RunState.DECIDED, RunState.SENT)


def may_be_repeated(task: Task) -> bool:
    """True if a start that wasn't answered may be sent again.

    What lasts would else be away until the first one can't come late any more.
    Where that comes all the same, the run is there already. Other runs end, and
    one that comes after the end was taken note of would do all again.
    """
    spec = task.step.spec
    asks_adviser = task.step.job.queue.asks_adviser
    return spec.lasting and not spec.gang and not asks_adviser


def note_id_ended(worker: Worker) -> None:
    """Settles the starts of a worker whose machine has another id by now.

    Orders that name the former one are refused there.
    """
    for run in worker.runs.values():
        run.late_until = 0.0


class LateStarts:
    """Follows starts from their decision on until they can't be carried out."""

    def __init__(
        self,
        book: JobRegistry,
        ledger: Ledger,
        wake: Callable[[], None],
        repeats: Repeats,
    ) -> None:
        """Takes what it goes by.

        Args:
            book: The jobs.
            ledger: Where to record.
            wake: Has decisions made anew.
            repeats: Starts that may have been sent more than once.
        """
        self._repeats = repeats
        self._book = book
        self._wake = wake
        self._ledger = ledger
        self._record = LazyRecord(records.LATE_STARTS, self._encode)
        # Runs whose starts may be carried out yet, and some that are settled.
        self._open: dict[RunKey, Run] = {}
        # What a former owner has recorded, or None if it hasn't.
        self._former: dict[tuple[TaskName, int], float] | None = None
        # Given by `open`.
        self._start_soon: Callable[..., None]

    def open(self, start_soon: Callable[..., None]) -> None:
        """Takes what runs the owner's tasks, before all else."""
        self._start_soon = start_soon
        former = LazyRecord(records.FORMER_LATE_STARTS, lambda: None)
        self._ledger.put_with_next(former)

    def restore(self, value: bytes) -> None:
        """Takes in what a former owner has recorded.

        Raises:
            RecordError: It is of another form.
        """
        rows = records.decode_late_starts(value)
        self._former = {(row.task, row.run): row.left for row in rows}

    def adopt(self, task: Task, run: Run, life: WorkerLife | None) -> None:
        """Takes over a run that a former owner had decided on.

        Args:
            task: The run's task.
            run: The run, as it was recorded.
            life: Where it was to start, None if that isn't known any more.
        """
        left = (self._former or {}).get((task.name, run.number))
        if left is None:
            # Its start was answered, or a former version doesn't tell.
            task.note_begun()
            if self._former is not None:
                return
        if life is not None and not life.born:
            return
        left = min(left or const.ADOPTED_LATE_MOST, const.ADOPTED_LATE_MOST)
        run.late_until = trio.current_time() + left
        run.starts_sent = 1
        if may_be_repeated(task) and not self._repeats.were_sent_once(
            task, run
        ):
            run.starts_sent = 2
            self._repeats.adopt(task, run)
        self._open[task, run.number] = run
        self._ledger.put_with_next(self._record)

    def was_open(self, task: Task, run: Run) -> bool:
        """True if a former owner has recorded that a start may come late."""
        return self._former is not None and (
            (task.name, run.number) in self._former
        )

    def adopt_held(self, task: Task, run: Run) -> None:
        """Takes over a run that a former owner held: its life has ended."""
        self.adopt(task, run, None)
        task.drop_run(run.number)
        self.hold(task, run)

    def note_decided(self, task: Task, run: Run, life: WorkerLife) -> None:
        """Has a start recorded with its decision, before it is sent."""
        if life.born:
            self._open[task, run.number] = run
            self._ledger.put(self._record)

    def note_repeated(self, task: Task, run: Run) -> trio.Event:
        """Has it recorded that a start is to be sent again.

        Returns:
            Set once it may be.
        """
        return self._repeats.note(task, run)

    def note_sent(self, run: Run, life: WorkerLife, timeout: float) -> None:
        """Notes that a start is on its way.

        Args:
            run: The run.
            life: Where it is sent.
            timeout: Seconds for which the answer is waited for.
        """
        run.starts_sent += 1
        if life.born:
            until = trio.current_time() + timeout + const.LATE_START_MOST
            run.late_until = max(run.late_until, until)

    def note_answered(self) -> None:
        """Has it recorded that no answer to a start is waited for any more."""
        if self._open:
            self._ledger.put_with_next(self._record)

    def refresh(self) -> None:
        """Has the record written if it tells less time by now."""
        if self._open:
            self._ledger.put_with_next(self._record)

    def drop(self, task: Task, number: int, worker: Worker) -> None:
        """Drops a run that isn't on a worker, once it can't begin any more."""
        run = drop_run(task, number, worker)
        if run is not None:
            self.hold(task, run)

    def hold(self, task: Task, run: Run) -> None:
        """Keeps a task waiting while a run that was dropped may begin."""
        now = trio.current_time()
        if not run.may_come_late(now) or task.done or task.step.job.ended:
            return
        if task.step.spec.copies and not task.step.spec.gang:
            # Several runs may be on at once; one that comes late is stopped.
            return
        run.enter(RunState.HELD, now)
        task.add_run(run)
        note(
            "start_held",
            task=task.name,
            run=run.number,
            seconds=round(run.late_until - now, 3),
        )
        self._start_soon(self._release, task, run)

    def take_held(self, task: Task, number: int, worker: Worker) -> Run | None:
        """Ties a held run to a worker that tells of it, if there is one."""
        run = task.runs.get(number)
        if run is None or run.state is not RunState.HELD:
            return None
        run.worker = worker.number
        run.enter(RunState.UNSURE, trio.current_time())
        worker.add(task, run)
        task.step.record = None
        return run

    async def _release(self, task: Task, run: Run) -> None:
        while trio.current_time() < run.late_until:
            await trio.sleep_until(run.late_until)
        if run.state is RunState.HELD and task.runs.get(run.number) is run:
            task.drop_run(run.number)
            self._book.changed(task.step.job)
            self._wake()

    def _encode(self) -> bytes:
        """Returns the record of what may be carried out yet."""
        now = trio.current_time()
        rows = []
        for (task, number), run in list(self._open.items()):
            on_its_way = run.state in _ON_ITS_WAY
            if task.runs.get(number) is not run or not (
                on_its_way or run.may_come_late(now)
            ):
                del self._open[task, number]
                continue
            left = 0.0 if on_its_way else run.late_until - now
            rows.append(LateStart(task.name, number, left))
        return records.encode_late_starts(rows)
