"""Renews the leases on one worker and processes what it lists."""

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
from pimentocross.owner import boot_clock, const
from pimentocross.owner.context import OwnerContext, RunStopper
from pimentocross.owner.endings import (
    apply_ending,
    log_lost_runs,
    log_waiting_runs,
)
from pimentocross.owner.late_starts import may_resend_start
from pimentocross.owner.ledger import Batch
from pimentocross.owner.worker import Worker
from pimentocross.work.state import (
    SETTLED,
    TERMINAL,
    Job,
    Run,
    RunState,
    Task,
)

# Endings that a run reaches by itself: its task did not crash the worker.
_NORMAL_ENDINGS: Final = frozenset({EndKind.DONE, EndKind.FAILED})
_NEVER: Final = float("-inf")


class LeaseKeeper:
    """Renews leases on one worker life and lists its runs until it ends."""

    def __init__(
        self, worker: Worker, context: OwnerContext, stops: RunStopper
    ) -> None:
        """Initializes the keeper of a worker.

        Args:
            worker: The worker life.
            context: State shared by the owner's parts.
            stops: Stops runs.
        """
        self._worker = worker
        self._context = context
        self._stops = stops
        # Number of the newest ending that was applied to its task.
        self._applied_ending = 0
        # Whether the newest endings were not stored within
        # `const.ENDINGS_RECORD_TIMEOUT`.
        self._endings_unrecorded = False
        # Whether the newest call renews the lease.
        self._renews = False
        # Whether the last call failed because this process was late.
        self._failed_by_own_lateness = False

    async def run(self) -> None:
        """Calls the worker in a loop until its life has ended.

        Raises:
            WorkerFencedError: Another owner has taken over.
        """
        worker = self._worker
        while not worker.gone:
            sent_at = trio.current_time()
            asked = boot_clock.now()
            wait = self._reply_wait(sent_at)
            timeout = self._timeout(wait, sent_at)
            meters.add(meters.HOLDS)
            try:
                reply = await self._request_listing(
                    sent_at, asked, wait, timeout
                )
            except WorkerUnreachableError as error:
                worker.maybe_replaced = True
                if self._renews and error.sent:
                    self._context.late_starts.note_renewal(
                        worker, answered=False
                    )
                self._failed_by_own_lateness = self._is_own_lateness(
                    sent_at, wait, timeout
                )
                if self._failed_by_own_lateness:
                    # The lease continues: the worker is called again at once.
                    note("listing_late", worker=worker.life.id)
                    continue
                self._on_no_reply(str(error))
                await trio.sleep(self._retry_pause())
                continue
            except WorkerFencedError:
                # As in `Worker.calling`, which would cost time per listing.
                if not worker.gone:
                    raise
                break
            except WorkerReplacedError:
                self.end_life(
                    "another life answers at its address", replaced=True
                )
                break
            if reply.born and reply.born != worker.life.born:
                if worker.life.is_after(reply.born):
                    # The former life sent this reply before the restart.
                    await trio.sleep(const.LISTING_RETRY_PAUSE)
                    continue
                if self._renews:
                    self._context.late_starts.note_renewal(
                        worker, answered=True
                    )
                self._context.lives.note_born(worker, reply.born)
                if worker.gone:
                    break
            self._on_reply(reply, sent_at)
            self._context.lives.note_answer(worker, asked)
            batch = self._process_reply(reply, sent_at)
            self._context.pace.note(trio.current_time() - worker.last_reply_at)
            if reply.endings:
                await self._note_endings(reply.endings[-1].number, batch)
            if worker.unbar_recorded is not None:
                # The next call follows at once and renews the lease.
                with trio.move_on_after(const.ENDINGS_RECORD_TIMEOUT):
                    await worker.unbar_recorded.wait()
                    worker.unbar_recorded = None

    def end_life(self, reason: str, *, replaced: bool) -> None:
        """Ends the life and drops all runs on it.

        Args:
            reason: For the log.
            replaced: Whether another life of its VM is known.
        """
        worker = self._worker
        if worker.gone:
            return
        worker.gone = True
        worker.replaced = replaced
        if replaced:
            self._context.late_starts.note_replaced(worker)
            self._context.crashes.note_replaced(worker)
        else:
            self._context.crashes.note_absent(worker)
        self._drop_all_runs(reason)
        if replaced:
            self._context.lives.note_replaced(worker)

    def drop_lapsed_runs(self) -> None:
        """Drops the runs of a silent life once its leases have ended."""
        worker = self._worker
        if worker.reachable or not worker.lapsed(trio.current_time()):
            return
        if worker.listed:
            self._context.crashes.note_lapsed(worker)
            self._drop_all_runs("its lease has lapsed")
        else:
            reason = "its lease has lapsed and it isn't listed"
            self.end_life(reason, replaced=False)

    def end_for_next_life(self, reason: str) -> list[tuple[Task, Run]]:
        """Ends the life, as the next life of its id answers in its place.

        Args:
            reason: For the log.

        Returns:
            Runs that may begin on the next life: their start was sent, and
            either this life never listed them or another start is still in
            transit.
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
            and (not run.began_at or run.may_start_late(now))
        ]
        for task, run in unsure:
            worker.remove(task, run.number)
        self._drop_all_runs(reason)
        return unsure

    async def _request_listing(
        self, now: float, asked: float, wait: float, timeout: float
    ) -> HoldReply:
        worker = self._worker
        deadline = self._next_lease_deadline(now, asked)
        self._renews = deadline is not None
        if deadline is not None:
            worker.lease_end = max(worker.lease_end or 0.0, deadline)
        # If the next life answers, it must not drop endings that nobody read.
        last_seen = 0 if worker.maybe_replaced else worker.newest_stored_ending
        token = self._context.token_for(worker)
        return await worker.link.hold(token, last_seen, deadline, wait, timeout)

    def _timeout(self, wait: float, now: float) -> float:
        """Returns the timeout of a listing."""
        timeout = self._context.patience.for_hold(wait, now)
        if self._worker.reachable:
            return timeout
        left = self._worker.lapses_at - now
        if left <= 0:
            return timeout
        # Runs on an unreachable worker are given up once their leases ended.
        return min(timeout, max(left, wait + const.LISTING_SLACK))

    def _is_own_lateness(
        self, sent_at: float, wait: float, timeout: float
    ) -> bool:
        """True if a call to a worker in use failed as this process was late."""
        worker = self._worker
        if not worker.reachable or not worker.adopted:
            return False
        patience = self._context.patience
        return patience.is_own_lateness(
            sent_at, wait, timeout, worker.last_reply_at
        )

    def _retry_pause(self) -> float:
        worker, now = self._worker, trio.current_time()
        if now > worker.late_until:
            return const.LISTING_RETRY_PAUSE
        if now - worker.silent_since > const.LISTING_QUICK_RETRY_SECONDS:
            return const.LISTING_RETRY_PAUSE
        return const.LISTING_QUICK_RETRY_PAUSE

    def _next_lease_deadline(self, now: float, asked: float) -> float | None:
        """Returns the next lease deadline, or None to leave the lease as it is.

        The deadline is a reading of the worker's clock.

        Args:
            now: Present time, monotonic.
            asked: Present time on the boot clock.
        """
        worker = self._worker
        if not worker.reachable or not worker.adopted:
            # Leases on a worker that doesn't answer are left to lapse.
            return None
        if worker.unbar_recorded is not None:
            return None
        lease = self._context.confirmation.lease(asked)
        if lease <= 0:
            return None
        return worker.clock.after(lease, now)

    def _reply_wait(self, now: float) -> float:
        worker = self._worker
        if not worker.adopted or not worker.reachable or worker.maybe_replaced:
            return 0.0
        if (
            self._endings_unrecorded
            or self._failed_by_own_lateness
            or worker.unbar_recorded is not None
        ):
            return 0.0
        late_starts = self._context.late_starts
        if worker.life.id in late_starts.held:
            due = late_starts.listing_due(worker.life.id) - now
            return min(max(due, 0.0), const.LISTING_WAIT_SERVING)
        if not worker.serves:
            return self._context.pace.wait(now, serving=False)
        wait = self._context.pace.wait(now, serving=worker.best_effort_cpu > 0)
        # The figures of a best-effort task that starts meanwhile are first read
        # with the next listing, and serving tasks that it disturbs must not be
        # over their target for four seconds.
        return min(wait, const.LISTING_WAIT)

    def _on_no_reply(self, reason: str) -> None:
        worker = self._worker
        meters.add_unanswered("hold")
        if worker.reachable:
            note("worker_silent", worker=worker.life.id, reason=reason)
            worker.reachable = False
            worker.silent_since = trio.current_time()
            self._context.crashes.note_silent(worker)
            if not worker.adopted:
                log_waiting_runs(worker)
            if not self._context.ledger.store_away:
                self._context.former_leases.bar(worker)
        self.drop_lapsed_runs()

    def _on_reply(self, reply: HoldReply, sent_at: float) -> None:
        worker = self._worker
        now = trio.current_time()
        if worker.clock.is_behind(reply.clock):
            note("worker_clock_back", worker=worker.life.id, clock=reply.clock)
        worker.clock.note(reply.clock, sent_at, now)
        is_first = worker.last_reply_at == _NEVER
        worker.last_reply_at = now
        worker.heard_asked_at = sent_at
        self._failed_by_own_lateness = worker.maybe_replaced = False
        if not worker.reachable:
            note("worker_heard", worker=worker.life.id)
            worker.reachable = True
            self._context.crashes.note_responding(worker)
        elif not worker.adopted:
            self._context.crashes.note_responding(worker)
        if worker.barred:
            self._context.former_leases.clear(worker)
        if is_first:
            self._count_leases_of_others(now)

    def _count_leases_of_others(self, now: float) -> None:
        """Bounds the leases that the first answered call finds on a life.

        From now on the life refuses former owners, and calls that were sent to
        the former life of its id.
        """
        worker, terms = self._worker, self._context.terms
        lease = terms.lease
        if worker.unfenced:
            # A deadline that was meant for the clock of a former life may lie
            # far ahead: the worker cuts it to its longest lease.
            lease = max(lease, terms.granted_most)
        elif worker.long_lease_until > now:
            left = worker.long_lease_until - now
            lease = max(lease, min(left, terms.granted_most))
        lease_end = worker.clock.after(lease, now)
        worker.lease_end = max(worker.lease_end or 0.0, lease_end)
        if worker.unfenced:
            worker.unfenced = False
            worker.long_lease_until = worker.clock.latest_time_of(lease_end)
            self._context.next_lives.record()
        note(
            "leases_counted",
            worker=worker.life.id,
            clock=round(worker.clock.reading, 3),
            lease=round(lease, 3),
        )

    def _process_reply(self, reply: HoldReply, sent_at: float) -> Batch | None:
        """Applies a listing; returns the batch of the records it changed."""
        changed: dict[Job, None] = {}
        found = self._process_running(reply.running, changed)
        self._process_endings(reply.endings, changed)
        if len(reply.endings) < const.ENDINGS_PAGE:
            self._reconcile_missing(found, sent_at, changed)
        self._context.listed(self._worker)
        # A run may be cleared of its crashes before its isolation is over.
        isolating = self._worker.is_isolating
        if isolating or self._worker.suspects:
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

    def _process_running(
        self, listed: list[ListedRun], changed: dict[Job, None]
    ) -> set[tuple[Task, int]]:
        now = self._worker.last_reply_at
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
                run = self._adopt_unexpected(task, entry.run)
                changed[task.step.job] = None
            found.add(key)
            if (
                entry.figure != run.figure
                or entry.percent != run.percent
                or run.state is not RunState.RUNNING
                or not run.began_at
            ):
                _update_run(task, run, entry, now)
            if entry.checkpoint and entry.run == task.last_run:
                task.note_checkpoint(entry.checkpoint)
            if task.done or task.step.job.state in TERMINAL:
                self._stops.stop(self._worker, task, run, "not needed")
        return found

    def _adopt_unexpected(self, task: Task, number: int) -> Run:
        """Adds a run that is listed but was not expected on this worker."""
        worker = self._worker
        held = self._context.late_starts.attach_held(task, number, worker)
        if held is not None:
            return held
        wanted = task.waiting and not task.step.job.ended
        run = Run(number, worker.number, trio.current_time())
        run.enter(RunState.RUNNING, trio.current_time())
        task.add_run(run)
        task.note_has_run()
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

    def _process_endings(
        self, endings: list[Ending], changed: dict[Job, None]
    ) -> None:
        if endings and endings[0].number <= self._applied_ending - len(endings):
            note(
                "endings_passed_over",
                worker=self._worker.life.id,
                first=endings[0].number,
                applied=self._applied_ending,
            )
        for ending in endings:
            if ending.number <= self._applied_ending:
                continue
            self._applied_ending = ending.number
            task = self._context.book.find_task(ending.task)
            if task is None:
                continue
            self._context.late_starts.attach_held(
                task, ending.run, self._worker
            )
            run = apply_ending(task, ending, self._worker)
            if run is not None:
                run.note_start_settled()
                self._context.late_starts.hold(task, run, self._worker.life.id)
            self._context.on_ending(self._worker, task, run, ending)
            if ending.how in _NORMAL_ENDINGS:
                self._context.crashes.note_ended(task, run)
            changed[task.step.job] = None

    def _reconcile_missing(
        self,
        found: set[tuple[Task, int]],
        sent_at: float,
        changed: dict[Job, None],
    ) -> None:
        """Resends, stops or drops runs of the worker that it did not list."""
        for key, run in list(self._worker.runs.items()):
            if key in found or run.state_at >= sent_at:
                continue
            task, number = key
            if self._may_resend_start(task, run):
                # Nothing is started before the first listing was processed.
                if self._worker.adopted:
                    self._stops.start_again(self._worker, task, run)
            elif run.state in (RunState.RUNNING, RunState.UNSURE):
                # It may still begin. This life won't start it any more once
                # it has answered the stop.
                self._stops.stop(self._worker, task, run, "not listed")
            elif (
                run.state is RunState.STOPPING and 0 < run.stopped_at < sent_at
            ):
                if run.late_until <= sent_at:
                    run.late_until = SETTLED
                self._context.late_starts.drop(task, number, self._worker)
                changed[task.step.job] = None
        late_starts = self._context.late_starts
        if self._worker.life.id in late_starts.held:
            late_starts.note_listed(self._worker.life.id, sent_at)

    def _may_resend_start(self, task: Task, run: Run) -> bool:
        """True if an unanswered start may be sent again to this worker."""
        return (
            run.state is RunState.UNSURE
            and run.may_start_late(trio.current_time())
            and may_resend_start(task)
            # It may have crashed the former life: a second crash by a resent
            # start would not be counted.
            and not self._worker.may_get_former_orders
            and (
                not self._worker.adopted
                or self._context.may_start_on(self._worker)
            )
        )

    async def _note_endings(self, newest: int, batch: Batch | None) -> None:
        """Waits until endings are stored; only then they are acknowledged."""
        if batch is None:
            # Nothing changed: all endings were applied before, or are of
            # unknown jobs.
            batch = self._context.ledger.barrier()
        with trio.move_on_after(const.ENDINGS_RECORD_TIMEOUT):
            await batch.stored.wait()
        self._endings_unrecorded = not batch.stored.is_set()
        if not self._endings_unrecorded:
            self._worker.newest_stored_ending = max(
                self._worker.newest_stored_ending, newest
            )

    def _drop_all_runs(self, reason: str) -> None:
        worker = self._worker
        worker.adopted = False
        worker.lease_end = 0.0
        if not worker.runs:
            return
        log_lost_runs(worker, reason)
        jobs: dict[Job, None] = {}
        for task, number in list(worker.runs):
            self._context.late_starts.drop(task, number, worker)
            jobs[task.step.job] = None
        for job in jobs:
            self._context.book.changed(job)
        self._context.wake()


def _update_run(task: Task, run: Run, entry: ListedRun, now: float) -> None:
    if run.state is RunState.SENT or run.state is RunState.UNSURE:
        run.enter(RunState.RUNNING, now)
        task.note_has_run()
    if not run.began_at:
        if run.late_until != SETTLED:
            run.note_start_settled()
        run.began_at = now
        run.percent_at = now
    if entry.percent != run.percent:
        run.percent = entry.percent
        run.percent_at = now
    run.figure = entry.figure
