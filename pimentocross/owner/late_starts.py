"""Keeps a task from running twice when its start is carried out late.

Failure pattern: a worker leaves a start unanswered, crashes and starts again
under the same id. The new life has received no fencing token, its clock is
behind every deadline, and nothing in the order distinguishes the lives of one
id. Until the new life has received an order of its owner, it therefore carries
out the old one, even if the task has run elsewhere meanwhile. Such a task isn't
started elsewhere until the order can no longer be carried out, and until a
lease that the new life may have granted for it has ended. Other unanswered
calls to the id may lengthen that lease. It may start earlier if a life of the
id lists its runs once the order can't come any more.

Where workers don't report when they were born, an id names a single life and
none of this is needed.
"""

from collections.abc import Callable, Iterable
import math
from typing import NamedTuple

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.endings import drop_run
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.record_age import RecordAge
from pimentocross.owner.resent_starts import ResentStarts
from pimentocross.owner.worker import RunKey, Worker
from pimentocross.work import records
from pimentocross.work.records import ClockRow, LateStart
from pimentocross.work.spec import TaskName
from pimentocross.work.state import SETTLED, Run, RunState, Task

_IN_FLIGHT = (RunState.DECIDED, RunState.SENT)


class _AdoptedStart(NamedTuple):
    """A start that a former owner recorded as possibly late.

    Attributes:
        task: The task.
        run: Its run.
        left: Seconds from the record until it can't be carried out any more,
            None if its call was in flight.
        lasts: Most seconds from the record for which the run may last as far as
            the former owner renewed its lease, None if not known.
        silent: Whether the former owner surely renewed no lease on its worker
            since.
        starts_sent: `Run.starts_sent` when it was adopted.
    """

    task: Task
    run: Run
    left: float | None
    lasts: float | None
    silent: bool
    starts_sent: int


def may_resend_start(task: Task) -> bool:
    """Returns whether a start that wasn't answered may be sent again.

    Otherwise a lasting task would be down until its first start can no longer
    be carried out. If that start is carried out late after all, the run exists
    already. Other runs end, and a start that is carried out after the end was
    recorded would do all the work again.
    """
    spec = task.step.spec
    asks_adviser = task.step.job.queue.asks_adviser
    return spec.lasting and not spec.gang and not asks_adviser


class LateStarts:
    """Tracks starts from the decision until they can't be carried out.

    Attributes:
        held: Held runs by the worker id that their starts named.
    """

    def __init__(
        self,
        book: JobRegistry,
        ledger: Ledger,
        lease_most: float,
        wake: Callable[[], None],
        resent_starts: ResentStarts,
    ) -> None:
        """Initializes the tracker without any starts.

        Args:
            book: The jobs of the cell.
            ledger: Writes the record.
            lease_most: Most seconds that a run may last after its start, unless
                its lease is renewed.
            wake: Triggers another dispatch pass.
            resent_starts: Starts that may have been sent more than once.
        """
        self._resent_starts = resent_starts
        self._book = book
        self._wake = wake
        self._ledger = ledger
        self._lease_most = lease_most
        self.held: dict[str, list[tuple[Task, Run]]] = {}
        self._record = LazyRecord(records.LATE_STARTS, self._encode)
        # Runs whose starts may still be carried out. Settled ones are removed
        # when the record is next written.
        self._unsettled: dict[RunKey, Run] = {}
        # Starts that a former owner recorded, None if there is no record.
        self._former: dict[tuple[TaskName, int], LateStart] | None = None
        self._former_age = RecordAge()
        self._adopted: dict[Run, _AdoptedStart] = {}
        # The worker ids that the starts of held runs named.
        self._held_on: dict[Run, str] = {}
        # Until when calls that renew leases may come, by worker id.
        self._renewals_until: dict[str, float] = {}
        # Set by `open`.
        self._former_leases: FormerLeases
        self._next_lives: NextLives
        self._list_clocks: Callable[[], Iterable[ClockRow]] = tuple
        # Starts a background task of the owner; set by `open`.
        self._start_soon: Callable[..., None]

    def open(
        self,
        start_soon: Callable[..., None],
        list_clocks: Callable[[], Iterable[ClockRow]],
        former_leases: FormerLeases,
        next_lives: NextLives,
    ) -> None:
        """Makes the tracker usable; must be called first.

        Args:
            start_soon: Starts a background task.
            list_clocks: Returns the present clocks of some workers.
            former_leases: Bounds the calls and leases of former owners.
            next_lives: Tells whether the last owner settled starts by listings.
        """
        self._start_soon = start_soon
        self._former_leases = former_leases
        self._next_lives = next_lives
        self._list_clocks = list_clocks
        self._former_age.begin()
        former = LazyRecord(records.OBSOLETE_LATE_STARTS_KEY, lambda: None)
        self._ledger.put_with_next(former)

    def restore(self, value: bytes) -> None:
        """Restores the record of a former owner.

        Raises:
            RecordError: The record has an unknown format.
        """
        record = records.decode_late_starts(value)
        self._former = {(row.task, row.run): row for row in record.starts}
        self._former_age.restore(record.clocks)

    def adopt(
        self, task: Task, run: Run, life: WorkerLife | None, *, silent: bool
    ) -> None:
        """Adopts a run that a former owner had decided on.

        Args:
            task: The run's task.
            run: The run, as it was recorded.
            life: The worker life that it was to start on, None if no longer
                known.
            silent: Whether the former owner surely renewed no lease there.
        """
        row = (self._former or {}).get((task.name, run.number))
        if row is None:
            # The start was answered, or the former owner was of a version that
            # doesn't record late starts.
            task.note_has_run()
            if self._former is not None and self._next_lives.is_former_known:
                return
        if life is not None and not life.born:
            return
        window = const.ADOPTED_LATE_START_WINDOW
        left = min(row.left, window) if row is not None and row.left else None
        # A record of an earlier version doesn't tell how long a run lasts.
        lasts = min(row.lasts, 2 * window) if row is not None else 0.0
        run.late_until = trio.current_time() + window
        if row is None and self._former is not None:
            # The former owner took the answer for that of the life it called.
            run.late_until = trio.current_time()
        run.starts_sent = 1
        if may_resend_start(
            task
        ) and not self._resent_starts.was_sent_at_most_once(task, run):
            run.starts_sent = 2
            self._resent_starts.adopt(task, run)
        if left is not None:
            run.late_until = self._former_age.written_at + left
        run.unanswered_until = run.late_until
        self._adopted[run] = _AdoptedStart(
            task, run, left, lasts or None, silent, run.starts_sent
        )
        self._unsettled[task, run.number] = run
        self._ledger.put_with_next(self._record)

    def note_clock(self, number: int, born: int, reading: float) -> None:
        """Counts the time that a worker's clock shows; see `RecordAge`."""
        if not self._former_age.note_clock(number, born, reading):
            return
        for adopted in self._adopted.values():
            task, run = adopted.task, adopted.run
            if adopted.left is None or run.starts_sent != adopted.starts_sent:
                # If it was sent again since, that start may be late as well.
                continue
            until = self._former_age.written_at + adopted.left
            run.late_until = min(run.late_until, until)
            run.unanswered_until = min(run.unanswered_until, until)
            if run.state is RunState.HELD:
                self._start_soon(self._release, task, run)

    def was_unsettled(self, task: Task, run: Run) -> bool:
        """Returns whether a former owner recorded a start as unsettled."""
        return self._former is not None and (
            (task.name, run.number) in self._former
        )

    def adopt_held(self, task: Task, run: Run) -> None:
        """Adopts a held run of a former owner. Its worker life has ended."""
        row = (self._former or {}).get((task.name, run.number))
        self.adopt(task, run, None, silent=True)
        task.drop_run(run.number)
        self.hold(task, run, row.life if row is not None else "")

    def note_decided(self, task: Task, run: Run, life: WorkerLife) -> None:
        """Records a start together with its decision, before it is sent."""
        if life.born:
            self._unsettled[task, run.number] = run
            self._ledger.put(self._record)

    def record_resend(self, task: Task, run: Run) -> trio.Event:
        """Records that a start is about to be sent again.

        Returns:
            An event that is set once the start may be sent.
        """
        return self._resent_starts.note(task, run)

    def note_sent(self, run: Run, life: WorkerLife, timeout: float) -> None:
        """Notes that a start is being sent.

        Args:
            run: The run.
            life: The worker life that it is sent to.
            timeout: Seconds to wait for the answer.
        """
        run.starts_sent += 1
        if life.born:
            until = trio.current_time() + timeout + const.LATE_START_WINDOW
            run.late_until = max(run.late_until, until)

    def note_renewal(self, worker: Worker, *, answered: bool) -> None:
        """Notes a call that may have renewed leases on a later life of an id.

        Args:
            worker: The life that was called.
            answered: Whether the call was answered, perhaps by a later life.
                Otherwise it may still come.
        """
        if not worker.life.born:
            return
        until = trio.current_time()
        if not answered:
            until += const.LATE_START_WINDOW
        former = self._renewals_until.get(worker.life.id, SETTLED)
        self._renewals_until[worker.life.id] = max(former, until)
        held = (run for _, run in self.held.get(worker.life.id, ()))
        for run in (*worker.runs.values(), *held):
            if run.late_until != SETTLED:
                run.renewable_until = max(run.renewable_until, until)

    def note_answered(self) -> None:
        """Records that a start is no longer waiting for its answer."""
        if self._unsettled:
            self._ledger.put_with_next(self._record)

    def refresh(self) -> None:
        """Rewrites the record with the time that is left by now."""
        now = trio.current_time()
        for life_id, until in list(self._renewals_until.items()):
            if until + self._lease_most < now:
                del self._renewals_until[life_id]
        if self._unsettled:
            self._ledger.put_with_next(self._record)

    def drop(self, task: Task, number: int, worker: Worker) -> None:
        """Drops a run that isn't on a worker, or holds it if it may last."""
        run = drop_run(task, number, worker)
        if run is not None:
            self.hold(task, run, worker.life.id)

    def hold(self, task: Task, run: Run, life_id: str) -> None:
        """Keeps a task waiting while a dropped run may begin or last.

        Args:
            task: The task.
            run: Its dropped run.
            life_id: The worker id that the start named, or "" if not known.
        """
        now = trio.current_time()
        until = self._renewals_until.get(life_id, SETTLED)
        run.renewable_until = max(run.renewable_until, until)
        if not self._may_last(run, now) or task.done or task.step.job.ended:
            return
        if task.step.spec.copies and not task.step.spec.gang:
            # Several runs of the task may run at once. One that begins late is
            # stopped.
            return
        run.enter(RunState.HELD, now)
        task.add_run(run)
        note(
            "start_held",
            task=task.name,
            run=run.number,
            seconds=round(self._lasts_until(run) - now, 3),
        )
        if life_id:
            self.held.setdefault(life_id, []).append((task, run))
            self._held_on[run] = life_id
        self._unsettled[task, run.number] = run
        self._ledger.put_with_next(self._record)
        self._start_soon(self._release, task, run)

    def listing_due(self, life_id: str) -> float:
        """Returns when a life's listing releases a run, monotonic.

        It is infinite without a run that is held for a life of the id.
        """
        held = self.held.get(life_id, ())
        return min((run.late_until for _, run in held), default=math.inf)

    def note_replaced(self, worker: Worker) -> None:
        """Settles the starts to a worker, as its VM has another id now.

        The VM refuses orders that name the former id, and all lives of that id
        have ended.
        """
        for run in worker.runs.values():
            run.late_until = SETTLED
        for task, run in list(self.held.get(worker.life.id, ())):
            self._end_hold(task, run)

    def note_listed(self, life_id: str, asked_at: float) -> None:
        """Releases runs that a life would list if they weren't over.

        Args:
            life_id: The id of the life that has listed all its runs.
            asked_at: When it was asked, monotonic.
        """
        for task, run in list(self.held.get(life_id, ())):
            if run.late_until <= asked_at or run.state is not RunState.HELD:
                self._end_hold(task, run)

    def attach_held(
        self, task: Task, number: int, worker: Worker
    ) -> Run | None:
        """Assigns a held run, if there is one, to the worker that lists it."""
        run = task.runs.get(number)
        if run is None or run.state is not RunState.HELD:
            return None
        run.worker = worker.number
        run.enter(RunState.UNSURE, trio.current_time())
        worker.add(task, run)
        task.step.record = None
        return run

    async def _release(self, task: Task, run: Run) -> None:
        while self._may_last(run, trio.current_time()):
            await trio.sleep_until(self._lasts_until(run))
        self._end_hold(task, run)

    def _end_hold(self, task: Task, run: Run) -> None:
        """Lets a task start again if its run is still held."""
        life_id = self._held_on.pop(run, "")
        left = [
            held for held in self.held.pop(life_id, ()) if held[1] is not run
        ]
        if left:
            self.held[life_id] = left
        if run.state is RunState.HELD and task.runs.get(run.number) is run:
            task.drop_run(run.number)
            self._book.changed(task.step.job)
            self._wake()

    def _may_last(self, run: Run, now: float) -> bool:
        """Returns whether a run may last on a life that nobody hears."""
        return now < self._lasts_until(run)

    def _lasts_until(self, run: Run) -> float:
        """Returns until when a run may last on a life that nobody hears."""
        if run.late_until == SETTLED:
            return SETTLED
        until = max(run.late_until, run.renewable_until) + self._lease_most
        adopted = self._adopted.get(run)
        if adopted is not None:
            until = max(until, self._former_until(adopted))
        return until

    def _former_until(self, adopted: _AdoptedStart) -> float:
        """Returns until when calls of former owners let a run last."""
        leases = self._former_leases
        if adopted.silent:
            # Later calls were meant for the life on which the run is.
            until = leases.leases_until
        else:
            until = leases.renewals_until + const.ADOPTED_LATE_START_WINDOW
            until += self._lease_most
        if adopted.lasts is not None:
            until = max(until, self._former_age.written_at + adopted.lasts)
        return until

    def _encode(self) -> bytes:
        """Returns the record of the starts that may still be carried out."""
        now = trio.current_time()
        rows = []
        for (task, number), run in list(self._unsettled.items()):
            in_flight = run.state in _IN_FLIGHT
            if task.runs.get(number) is not run or not (
                in_flight or self._may_last(run, now)
            ):
                del self._unsettled[task, number]
                self._adopted.pop(run, None)
                continue
            left = lasts = 0.0
            if not in_flight:
                left = run.late_until - now
                lasts = self._lasts_until(run) - now
            life_id = self._held_on.get(run, "")
            rows.append(
                LateStart(
                    task.name, number, round(left, 3), round(lasts, 3), life_id
                )
            )
        return records.encode_late_starts(
            rows, tuple(self._list_clocks()) if rows else ()
        )
