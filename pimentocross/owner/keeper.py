"""Keeps the lease of one worker and takes in what it lists."""

from typing import Final

import trio

from pimentocross.contracts.worker_link import (
    Ending,
    EndKind,
    HoldReply,
    ListedRun,
    WorkerFencedError,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.context import OwnerContext, RunStopper
from pimentocross.owner.endings import apply_ending, note_lost
from pimentocross.owner.late_starts import clear_late_starts, may_resend_start
from pimentocross.owner.ledger import Batch
from pimentocross.owner.worker import Worker
from pimentocross.work.state import TERMINAL, Job, Run, RunState, Task

# Ends to which a run comes by itself: its task doesn't crash what starts it.
_PROVE_HARMLESS: Final = frozenset({EndKind.DONE, EndKind.FAILED})


class Keeper:
    """Holds one worker until its life has ended."""

    def __init__(
        self, worker: Worker, context: OwnerContext, stops: RunStopper
    ) -> None:
        """Takes the worker, what the parts share, and who stops runs."""
        self._worker = worker
        self._context = context
        self._stops = stops
        self._applied = 0
        self._unrecorded = False
        # Whether the last call failed and that was our own lateness.
        self._excused = False

    async def run(self) -> None:
        """Holds until the life has ended.

        Raises:
            WorkerFencedError: Another owner has taken over.
        """
        worker = self._worker
        while not worker.gone:
            sent_at = trio.current_time()
            wait = self._wait(sent_at)
            timeout = self._timeout(wait, sent_at)
            meters.add(meters.HOLDS)
            try:
                reply = await self._hold(sent_at, wait, timeout)
            except WorkerUnreachableError as error:
                worker.doubtful = True
                self._excused = self._is_excused(sent_at, wait, timeout)
                if self._excused:
                    # Its lease goes on: it is asked again at once.
                    note("listing_late", worker=worker.life.id)
                    continue
                self._on_silence(str(error))
                await trio.sleep(self._retry_pause())
                continue
            except WorkerFencedError:
                # As `Worker.calling`, which would cost each listing.
                if not worker.gone:
                    raise
                break
            except WorkerReplacedError:
                self.bury("another life answers at its address", replaced=True)
                break
            if reply.born and reply.born != worker.life.born:
                if worker.life.is_after(reply.born):
                    # It was on its way while the worker started again.
                    await trio.sleep(const.HOLD_RETRY_PAUSE)
                    continue
                self._context.lives.note_born(worker, reply.born)
                if worker.gone:
                    break
            self._on_heard(reply, sent_at)
            batch = self._take_in(reply, sent_at)
            self._context.pace.note(trio.current_time() - worker.heard_at)
            if reply.endings:
                await self._note_endings(reply.endings[-1].number, batch)
            if worker.cleared is not None:
                # Its lease is renewed with the next call, which comes at once.
                with trio.move_on_after(const.ENDINGS_RECORD_TIMEOUT):
                    await worker.cleared.wait()
                    worker.cleared = None

    def bury(self, reason: str, *, replaced: bool) -> None:
        """Notes that the life has ended, and all that ran on it.

        Args:
            reason: For the log.
            replaced: Whether its machine is known to have another life.
        """
        worker = self._worker
        if worker.gone:
            return
        worker.gone = True
        worker.replaced = replaced
        if replaced:
            clear_late_starts(worker)
            self._context.crashes.note_replaced(worker)
        else:
            self._context.crashes.note_absent(worker)
        self._drop_all(reason)
        if replaced:
            self._context.lives.note_replaced(worker)

    def hand_over(self, reason: str) -> list[tuple[Task, Run]]:
        """Buries the life, as the next one of its id answers in its place.

        Returns:
            Runs that may begin on the next life: those whose start was sent and
            that this life never listed, or of which another start is still
            under way.
        """
        worker = self._worker
        if worker.gone:
            return []
        worker.gone = True
        self._context.crashes.note_replaced(worker)
        now = trio.current_time()
        unsure = [
            (task, run)
            for (task, _), run in worker.runs.items()
            if run.state is not RunState.DECIDED
            and (not run.began_at or run.may_come_late(now))
        ]
        for task, run in unsure:
            worker.remove(task, run.number)
        self._drop_all(reason)
        return unsure

    async def _hold(self, now: float, wait: float, timeout: float) -> HoldReply:
        worker = self._worker
        deadline = self._next_deadline(now)
        if deadline is not None:
            worker.lease_end = max(worker.lease_end or 0.0, deadline)
        # The ends of another life must not be forgotten unread.
        seen = 0 if worker.doubtful else worker.seen
        token = self._context.token_for(worker)
        return await worker.link.hold(token, seen, deadline, wait, timeout)

    def _timeout(self, wait: float, now: float) -> float:
        """Returns the timeout of a listing."""
        timeout = self._context.patience.for_hold(wait, now)
        left = self._worker.lapses_at - now
        if self._worker.reached or left <= 0:
            return timeout
        # What ran on a silent worker is given up as soon as it may be.
        return min(timeout, max(left, wait + const.HOLD_SLACK))

    def _is_excused(self, sent_at: float, wait: float, timeout: float) -> bool:
        """True if a call of a worker in use failed by our own lateness."""
        worker = self._worker
        if not worker.reached or not worker.adopted:
            return False
        patience = self._context.patience
        return patience.excuses(sent_at, wait, timeout, worker.heard_at)

    def _retry_pause(self) -> float:
        worker, now = self._worker, trio.current_time()
        if now > worker.late_until:
            return const.HOLD_RETRY_PAUSE
        if now - worker.silent_at > const.HOLD_RETRY_QUICK_FOR:
            return const.HOLD_RETRY_PAUSE
        return const.HOLD_RETRY_QUICK

    def _next_deadline(self, now: float) -> float | None:
        """Returns to when the lease is extended, or None to let it be."""
        worker = self._worker
        if not worker.reached or not worker.adopted:
            # What can't be heard is left to lapse.
            return None
        if worker.cleared is not None:
            return None
        if now - self._context.ledger.stored_at > const.RENEWALS_WITHOUT_STORE:
            return None
        return worker.clock.after(self._context.terms.lease, now)

    def _wait(self, now: float) -> float:
        worker = self._worker
        if not worker.adopted or not worker.reached or worker.doubtful:
            return 0.0
        if self._unrecorded or self._excused or worker.cleared is not None:
            return 0.0
        if not worker.serves:
            return self._context.pace.wait(now, serving=False)
        wait = self._context.pace.wait(now, serving=worker.filled > 0)
        # A filler that comes meanwhile is first read at the next listing, and
        # what it disturbs must not be over its target for four seconds.
        return min(wait, const.HOLD_WAIT)

    def _on_silence(self, reason: str) -> None:
        worker = self._worker
        meters.add_unanswered("hold")
        if worker.reached:
            note("worker_silent", worker=worker.life.id, reason=reason)
            worker.reached = False
            worker.silent_at = trio.current_time()
            self._context.crashes.note_silent(worker)
        if worker.lapsed(trio.current_time()):
            if worker.listed:
                self._context.crashes.note_lapsed(worker)
                self._drop_all("its lease has lapsed")
            else:
                reason = "its lease has lapsed and it isn't listed"
                self.bury(reason, replaced=False)

    def _on_heard(self, reply: HoldReply, sent_at: float) -> None:
        worker = self._worker
        now = trio.current_time()
        if worker.clock.is_behind(reply.clock):
            note("worker_clock_back", worker=worker.life.id, clock=reply.clock)
        worker.clock.note(reply.clock, now)
        worker.heard_at = now
        self._excused = worker.doubtful = False
        if not worker.reached:
            note("worker_heard", worker=worker.life.id)
            worker.reached = True
            self._context.crashes.note_responding(worker)
        elif not worker.adopted:
            self._context.crashes.note_responding(worker)
        if worker.barred:
            self._context.former_leases.clear(worker)
        if worker.lease_end is None:
            # A former owner is fenced from now on; this is the most that it
            # may have granted. A deadline on the clock of a former life lies
            # far ahead, and is cut to the longest lease that there is.
            terms = self._context.terms
            lease = terms.granted_most if worker.follows else terms.lease
            worker.lease_end = worker.clock.after(lease, now)

    def _take_in(self, reply: HoldReply, sent_at: float) -> Batch | None:
        """Takes a listing in; returns the batch of what it changed."""
        changed: dict[Job, None] = {}
        found = self._take_running(reply.running, changed)
        self._take_endings(reply.endings, changed)
        if len(reply.endings) < const.ENDINGS_PAGE:
            self._settle_missing(found, sent_at, changed)
        self._context.listed(self._worker)
        if self._worker.suspects:
            isolating = self._worker.is_isolating
            self._context.crashes.note_listed_runs(self._worker)
            if isolating:
                self._context.wake()
        first_time = not self._worker.adopted
        self._worker.adopted = True
        batch: Batch | None = None
        for job in changed:
            batch = self._context.book.changed(job)
        if changed or first_time:
            self._context.wake()
        return batch

    def _take_running(
        self, listed: list[ListedRun], changed: dict[Job, None]
    ) -> set[tuple[Task, int]]:
        now = self._worker.heard_at
        runs = self._worker.runs
        find_task = self._context.book.find_task
        found = set()
        for entry in listed:
            task = find_task(entry.task)
            if task is None:
                self._stops.stop_unknown(self._worker, entry.task, entry.run)
                continue
            key = (task, entry.run)
            run = runs.get(key)
            if run is None:
                run = self._take_unexpected(task, entry.run)
                changed[task.step.job] = None
            found.add(key)
            if (
                entry.figure != run.figure
                or entry.percent != run.percent
                or run.state is not RunState.RUNNING
                or not run.began_at
            ):
                _update(task, run, entry, now)
            if entry.checkpoint and entry.run == task.last_run:
                task.checkpoint = entry.checkpoint
            if task.done or task.step.job.state in TERMINAL:
                self._stops.stop(self._worker, task, run, "not needed")
        return found

    def _take_unexpected(self, task: Task, number: int) -> Run:
        """Takes in a run that is listed though it was not expected there."""
        worker = self._worker
        held = self._context.late_starts.attach_held(task, number, worker)
        if held is not None:
            return held
        wanted = task.waiting and not task.step.job.ended
        run = Run(number, worker.number, trio.current_time())
        run.enter(RunState.RUNNING, trio.current_time())
        task.add_run(run)
        task.note_begun()
        worker.add(task, run)
        note(
            "run_unexpected",
            task=task.name,
            run=number,
            worker=worker.life.id,
            adopted=wanted,
        )
        if not wanted:
            self._stops.stop(worker, task, run, "not expected there")
        return run

    def _take_endings(
        self, endings: list[Ending], changed: dict[Job, None]
    ) -> None:
        if endings and endings[0].number <= self._applied - len(endings):
            note(
                "endings_passed_over",
                worker=self._worker.life.id,
                first=endings[0].number,
                applied=self._applied,
            )
        for ending in endings:
            if ending.number <= self._applied:
                continue
            self._applied = ending.number
            task = self._context.book.find_task(ending.task)
            if task is None:
                continue
            self._context.late_starts.attach_held(
                task, ending.run, self._worker
            )
            run = apply_ending(task, ending, self._worker)
            if run is not None:
                run.note_start_settled()
                self._context.late_starts.hold(task, run)
            self._context.on_ending(self._worker, task, run, ending)
            if ending.how in _PROVE_HARMLESS:
                self._context.crashes.note_ended(task, run)
            changed[task.step.job] = None

    def _settle_missing(
        self,
        found: set[tuple[Task, int]],
        sent_at: float,
        changed: dict[Job, None],
    ) -> None:
        """Settles runs that should be there, or may be, and aren't listed."""
        for key, run in list(self._worker.runs.items()):
            if key in found or run.state_at >= sent_at:
                continue
            task, number = key
            if self._may_repeat(task, run):
                # Nothing is started before a first listing was taken in.
                if self._worker.adopted:
                    self._stops.start_again(self._worker, task, run)
            elif run.state in (RunState.RUNNING, RunState.UNSURE):
                # It may begin yet: once its stop is answered, this life won't.
                self._stops.stop(self._worker, task, run, "not listed")
            elif (
                run.state is RunState.STOPPING and 0 < run.stopped_at < sent_at
            ):
                self._context.late_starts.drop(task, number, self._worker)
                changed[task.step.job] = None

    def _may_repeat(self, task: Task, run: Run) -> bool:
        """True if an unanswered start is repeated where it was sent."""
        return (
            run.state is RunState.UNSURE
            and run.may_come_late(trio.current_time())
            and may_resend_start(task)
            # It may have crashed the former life, which would count once only.
            and not self._worker.follows
            and (
                not self._worker.adopted
                or self._context.may_start_on(self._worker)
            )
        )

    async def _note_endings(self, newest: int, batch: Batch | None) -> None:
        """Waits until endings are recorded; only then they're taken note of."""
        if batch is None:
            # All were known: those of an earlier listing, or of no known job.
            batch = self._context.ledger.barrier()
        with trio.move_on_after(const.ENDINGS_RECORD_TIMEOUT):
            await batch.stored.wait()
        self._unrecorded = not batch.stored.is_set()
        if not self._unrecorded:
            self._worker.seen = max(self._worker.seen, newest)

    def _drop_all(self, reason: str) -> None:
        worker = self._worker
        worker.adopted = False
        worker.lease_end = 0.0
        if not worker.runs:
            return
        note_lost(worker, reason)
        jobs: dict[Job, None] = {}
        for task, number in list(worker.runs):
            self._context.late_starts.drop(task, number, worker)
            jobs[task.step.job] = None
        for job in jobs:
            self._context.book.changed(job)
        self._context.wake()


def _update(task: Task, run: Run, entry: ListedRun, now: float) -> None:
    if run.state is RunState.SENT or run.state is RunState.UNSURE:
        run.enter(RunState.RUNNING, now)
        run.note_start_settled()
        task.note_begun()
    if not run.began_at:
        run.began_at = now
        run.percent_at = now
    if entry.percent != run.percent:
        run.percent = entry.percent
        run.percent_at = now
    run.figure = entry.figure
