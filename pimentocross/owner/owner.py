"""Owns a cell: all parts put together under one epoch."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from pimentocross.contracts.adviser import Adviser
from pimentocross.contracts.store import Store
from pimentocross.contracts.switches import Part, Switches
from pimentocross.contracts.worker_link import (
    WorkerDialer,
    WorkerDirectory,
)
from pimentocross.contracts.zones import EveryZone, ZoneAccess
from pimentocross.observe.decisions import note
from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const
from pimentocross.owner.admission import Admission
from pimentocross.owner.call_timeouts import CallTimeouts
from pimentocross.owner.collector import survivors_left_out, uncollected
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.crashes import Crashes
from pimentocross.owner.desk import Desk, JobReply, Outcome
from pimentocross.owner.dispatcher import Dispatcher
from pimentocross.owner.former_leases import FormerLeases, Predecessor
from pimentocross.owner.intake import Intake
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.learned import Learned
from pimentocross.owner.ledger import Ledger, PlainRecord
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.lived_runs import LivedRuns
from pimentocross.owner.orders import Orders
from pimentocross.owner.resent_starts import ResentStarts
from pimentocross.owner.roster import Roster, RosterParts
from pimentocross.owner.silent_lives import SilentLives
from pimentocross.owner.take_over_log import TakeOverLog
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.time_slice import TimeSlice
from pimentocross.owner.worker_ends import WorkerEnds
from pimentocross.work import records
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import RecordError
from pimentocross.work.state import Job, Run, Task

PRODUCER = "owner"


class CellPlatform(NamedTuple):
    """What an owner needs of the platform."""

    store: Store
    directory: WorkerDirectory
    workers: WorkerDialer
    adviser: Adviser | None = None
    terms: OwnerTerms = OwnerTerms()
    zones: ZoneAccess = EveryZone()
    switches: Switches = Switches()


class Claim(NamedTuple):
    """The right to own a cell.

    Attributes:
        topic: Where the cell's records are.
        epoch: Of the claim; the fencing token at workers.
        former_quiet: Whether no former owner renews leases any more, as far
            as the newest claim tells.
        predecessors: Former owners that are known, the newest first.
    """

    topic: str
    epoch: int
    former_quiet: bool
    predecessors: tuple[Predecessor, ...] = ()


class Owner:
    """Runs a cell's jobs until another owner takes over.

    Attributes:
        epoch: Its claim's.
        desk: Answers callers.
        opened: Set once no former owner can write any more.
        ready: Set once it has taken the cell's state over.
        settled: Set once it has heard what runs on the workers, too.
        lateness: How late its thread is while it runs.
    """

    def __init__(
        self,
        claim: Claim,
        platform: CellPlatform,
        config: Callable[[], WorkConfig],
    ) -> None:
        """Puts the parts together; `run` starts them."""
        self.epoch = claim.epoch
        self.opened = trio.Event()
        self.ready = trio.Event()
        self.settled = trio.Event()
        self.lateness = LoopLateness()
        self._log = TakeOverLog(self.epoch)
        self._claim = claim
        self._platform = platform
        self._ledger = Ledger(
            platform.store, claim.topic, PRODUCER, claim.epoch
        )
        self._book = JobBook(self._ledger, platform.terms.ended_kept)
        self._former_leases = FormerLeases(
            claim.epoch,
            claim.predecessors,
            platform.terms,
            self._ledger,
            quiet=claim.former_quiet,
        )
        self._roster = Roster(
            platform.directory,
            platform.workers,
            self._ledger,
            self._former_leases,
            config,
            platform.zones,
        )
        self._learned = Learned(platform.switches)
        self._dispatcher = Dispatcher(
            self._book,
            self._roster,
            self._learned,
            config,
            platform.adviser,
            platform.switches,
        )
        formers = claim.predecessors
        self._repeats = ResentStarts(
            claim.epoch, formers[0].epoch if formers else None, self._ledger
        )
        self._late_starts = LateStarts(
            self._book, self._ledger, self._dispatcher.wake, self._repeats
        )
        self._doubts = SilentLives(self._ledger)
        self._ends = WorkerEnds(self._ledger)
        self._lived_runs = LivedRuns(self._ledger, self._roster.workers)
        self._admission = Admission(
            self._dispatcher.backlog,
            self._learned,
            self._settled_for,
            refuses=platform.switches.is_on(Part.ADMISSION),
        )
        self._takes_up = platform.switches.is_on(Part.INTAKE)
        self._intake = Intake(
            platform.store,
            self._book,
            self._ledger,
            self._dispatcher.wake,
            config,
        )
        self.desk = Desk(
            self._book,
            self._ledger,
            self._dispatcher.wake,
            self._admission,
            lambda: not self._takes_up or self._intake.is_current,
        )
        self._settled_at = 0.0
        self._release = trio.Event()

    @property
    def ledger(self) -> Ledger:
        """Where it records."""
        return self._ledger

    @property
    def takeover_age(self) -> float:
        """For how many seconds it has been taking over; 0 once it has."""
        if self.settled.is_set():
            return 0.0
        return self._log.age

    def backlog(self) -> dict[str, float]:
        """Returns the core-seconds by queue that wait for scarce room."""
        return self._dispatcher.backlog.work_by_queue()

    def _settled_for(self) -> float:
        if not self.settled.is_set():
            return 0.0
        return trio.current_time() - self._settled_at

    async def run(self) -> None:
        """Owns the cell until `release`.

        Raises:
            FencedError: Another owner has taken over, as the store knows.
            WorkerFencedError: The same, as a worker knows.
            StoreUnavailableError: The cell's state can't be read.
            ExceptionGroup: Of these.
        """
        with survivors_left_out():
            await self._run()

    async def _run(self) -> None:
        await self._ledger.open()
        self._former_leases.begin()
        self.opened.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lateness.run)
            # Beats from the first moment on: who suspects a new owner that
            # reads a large state sees that it lives.
            nursery.start_soon(self._ledger.run)
            with uncollected():
                await self._load()
            if self._takes_up:
                await self._intake.open()
            await self._work()
            # What was heard up to now isn't heard by a successor again if its
            # worker leaves.
            with trio.move_on_after(const.LAST_RECORD_WAIT):
                await self._ledger.barrier().stored.wait()
            nursery.cancel_scope.cancel()

    async def _work(self) -> None:
        """Does all that an owner does until the cell is given back."""
        context = self._make_context()
        async with trio.open_nursery() as nursery:
            self._late_starts.open(nursery.start_soon)
            orders = Orders(nursery, context, self._dispatcher.on_refused)
            runs = await self._collect_runs()
            self._roster.open(
                RosterParts(
                    nursery, context, orders, self._dispatcher.forget_life
                )
            )
            self._former_leases.apply_former_record()
            await self._roster.poll()
            # Keepers begin afterwards: none may hear of a run before.
            self._lived_runs.adopt(runs)
            self._roster.adopt(runs)
            self._repeats.begin()
            self._former_leases.start_recording(self._roster.lease_rows)
            self.ready.set()
            self._log.note("owner_ready", jobs=len(self._book))
            nursery.start_soon(self._decide, orders)
            if self._takes_up:
                nursery.start_soon(self._intake.run)
            await self._roster.start_keepers()
            nursery.start_soon(self._settle)
            nursery.start_soon(self._roster.follow)
            nursery.start_soon(self._lived_runs.follow)
            nursery.start_soon(self._sweep, context.crashes)
            nursery.start_soon(self._log.follow_adoption, self._roster.workers)
            nursery.start_soon(self._log.note_start, orders.started)
            await self._release.wait()
            # Leases are renewed until then: the store may be away.
            await self._ledger.barrier().stored.wait()
            self._former_leases.record()
            nursery.cancel_scope.cancel()

    def _make_context(self) -> OwnerContext:
        terms = self._platform.terms
        return OwnerContext(
            self.epoch,
            terms,
            CallTimeouts(self.lateness, terms.lease),
            ListingPace(self.lateness, terms.lease, self._roster.__len__),
            self._book,
            self._ledger,
            self._dispatcher.wake,
            self._dispatcher.on_ending,
            self._learned.on_listed,
            Crashes(self._book, self._roster.workers, self._doubts, self._ends),
            self._roster.may_start_on,
            self._roster,
            self._late_starts,
            self._former_leases,
        )

    async def _decide(self, orders: Orders) -> None:
        """Decides until the cell is given back.

        Decisions take most of a weak VM's thread, which delays the hand-over
        by seconds, and its successor decides anew.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatcher.run, orders)
            nursery.start_soon(self._dispatcher.advice.run)
            await self._release.wait()
            nursery.cancel_scope.cancel()

    def note_former_ended(self, epoch: int) -> None:
        """Notes that a former owner surely renews no lease any more."""
        self._roster.note_former_ended(epoch)

    async def learn_of(self, job_id: str) -> bool:
        """Has a job known that an entry VM has just stored.

        Its caller may ask for it before it was taken up.

        Returns:
            Whether it is known now, or surely wasn't stored before.
        """
        if not self._takes_up or self.desk.knows(job_id):
            return True
        return await self._intake.catch_up() or self.desk.knows(job_id)

    async def cancel(self, job_id: str) -> JobReply:
        """Cancels a job, unless it may be one that isn't known here yet."""
        if not await self.learn_of(job_id):
            return JobReply(Outcome.STORE_AWAY)
        return await self.desk.cancel(job_id)

    def release(self) -> None:
        """Has `run` return once all changes so far are stored."""
        self._release.set()

    async def _settle(self) -> None:
        """Notes when all workers have listed what runs."""
        with trio.move_on_after(const.SETTLE_TIMEOUT):
            while not all(w.adopted for w in self._roster.workers()):
                await trio.sleep(const.SETTLE_CHECK_INTERVAL)
        self._settled_at = trio.current_time()
        self.settled.set()
        self._log.note("owner_settled")

    async def _load(self) -> None:
        page = await self._platform.store.newest(
            self._claim.topic, const.NEWEST_TIMEOUT
        )
        time_slice = TimeSlice()
        jobs: dict[str, Job] = {}
        progress: dict[str, bytes] = {}
        histories: dict[str, bytes] = {}
        for record in page.records:
            await time_slice.yield_if_over()
            kind, name = record.key[:1], record.key[1:]
            if record.value is None or record.key == const.HEARTBEAT_KEY:
                continue
            if kind == records.PROGRESS:
                progress[name] = record.value
                continue
            if kind == records.CRASHES:
                histories[name] = record.value
                continue
            try:
                self._load_record(kind, name, record.value, jobs)
            except (RecordError, ValueError) as error:
                note("record_unreadable", key=record.key, reason=str(error))
        for job in jobs.values():
            await time_slice.yield_if_over()
            _restore(job, progress.get(job.id), records.decode_progress)
            _restore(job, histories.get(job.id), records.decode_crashes)
            self._book.restore(job)
        self._log.note(
            "owner_read", records=len(page.records), jobs=len(self._book)
        )

    async def _collect_runs(self) -> list[tuple[Task, Run]]:
        """Returns the runs that were recorded."""
        time_slice = TimeSlice()
        runs = []
        for job in self._book.jobs():
            await time_slice.yield_if_over()
            for task in job.tasks():
                runs += [(task, run) for run in task.runs.values()]
        return runs

    def _load_record(
        self, kind: str, name: str, value: bytes, jobs: dict[str, Job]
    ) -> None:
        if kind == records.SUBMISSION:
            jobs[name] = records.decode_submission(name, value)
        elif kind == records.LEARNED_ESTIMATES:
            self._learned.restore(records.decode_learned(value))
        elif kind == records.LATE_STARTS:
            self._late_starts.restore(value)
        elif kind == records.SILENT_LIVES:
            self._doubts.restore(records.decode_silent_life(value))
        elif kind == records.WORKER_ENDS:
            self._ends.restore(value)
        elif kind == records.RESENT_STARTS:
            self._repeats.restore(value)
        elif kind == records.LIVED_RUNS:
            self._lived_runs.restore(value)
        elif kind == records.LEASES:
            self._former_leases.restore(value)
        elif kind == records.WORKER:
            self._roster.numbers.restore(
                int(name), records.decode_worker(value)
            )
        elif kind == records.BORN:
            self._roster.numbers.restore_born(
                int(name), records.decode_born(value)
            )

    async def _sweep(self, crashes: Crashes) -> None:
        while True:
            await trio.sleep(const.SWEEP_INTERVAL)
            self._book.sweep()
            crashes.sweep()
            self._ledger.put(
                PlainRecord(records.LEARNED_ESTIMATES, self._learned.encode)
            )


def _restore(
    job: Job, value: bytes | None, decode: Callable[[Job, bytes], None]
) -> None:
    """Brings a job to where one of its records says, if that can be read."""
    if value is None:
        return
    try:
        decode(job, value)
    except RecordError as error:
        note("record_unreadable", key=job.id, reason=str(error))
