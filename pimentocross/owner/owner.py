"""Runs the owner of a cell: schedules its jobs under one epoch."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from pimentocross.contracts.adviser import Adviser
from pimentocross.contracts.store import Store
from pimentocross.contracts.switches import Part, Switches
from pimentocross.contracts.topic_reader import read_newest
from pimentocross.contracts.worker_link import (
    WorkerDialer,
    WorkerDirectory,
)
from pimentocross.contracts.zones import AllZonesOpen, ZoneAccess
from pimentocross.decoding import whole_number
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const
from pimentocross.owner.admission import Admission
from pimentocross.owner.call_timeouts import CallTimeouts
from pimentocross.owner.collector import collection_paused, freeze_survivors
from pimentocross.owner.confirmation import Confirmation
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.crashes import Crashes
from pimentocross.owner.dispatcher import Dispatcher
from pimentocross.owner.former_leases import FormerLeases, Predecessor
from pimentocross.owner.intake import Intake
from pimentocross.owner.job_api import JobApi, JobReply, Outcome
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.lived_runs import LivedRuns
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.orders import Orders
from pimentocross.owner.resent_starts import ResentStarts
from pimentocross.owner.roster import Roster, RosterParts
from pimentocross.owner.silent_lives import SilentLives
from pimentocross.owner.take_over_log import TakeOverLog
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.time_slice import TimeSlice
from pimentocross.owner.witnesses import Witnesses
from pimentocross.owner.worker_ends import WorkerEnds
from pimentocross.work import records
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import RecordError
from pimentocross.work.state import Job, Run, Task

PRODUCER = "owner"


class CellPlatform(NamedTuple):
    """Platform services and settings that an owner uses."""

    store: Store
    directory: WorkerDirectory
    workers: WorkerDialer
    adviser: Adviser | None = None
    terms: OwnerTerms = OwnerTerms()
    zones: ZoneAccess = AllZonesOpen()
    switches: Switches = Switches()


class Claim(NamedTuple):
    """The right to own a cell.

    Attributes:
        topic: Topic that holds the cell's records.
        epoch: Epoch of the claim; the fencing token at workers.
        former_quiet: Whether no former owner renews leases any more, as far
            as the newest claim tells.
        predecessors: Known former owners, the newest first.
    """

    topic: str
    epoch: int
    former_quiet: bool
    predecessors: tuple[Predecessor, ...] = ()


class Owner:
    """Runs a cell's jobs until another owner takes over.

    Attributes:
        epoch: Epoch of its claim.
        job_api: Submits, cancels and looks up jobs for callers.
        opened: Set once no former owner can write to the store any more.
        ready: Set once the owner has loaded the cell's state.
        settled: Set once all workers have listed their runs, or the time
            limit for that has passed.
        lateness: How late the event loop is while the owner runs.
    """

    def __init__(
        self,
        claim: Claim,
        platform: CellPlatform,
        config: Callable[[], WorkConfig],
    ) -> None:
        """Creates all components; `run` starts them."""
        self.epoch = claim.epoch
        self.opened = trio.Event()
        self.ready = trio.Event()
        self.settled = trio.Event()
        self.lateness = LoopLateness()
        self._take_over_log = TakeOverLog(self.epoch)
        self._claim = claim
        self._platform = platform
        self._ledger = Ledger(
            platform.store,
            claim.topic,
            PRODUCER,
            claim.epoch,
            platform.terms.record_bytes,
        )
        self._registry = JobRegistry(self._ledger, platform.terms.ended_kept)
        self._former_leases = FormerLeases(
            claim.epoch,
            claim.predecessors,
            platform.terms,
            self._ledger,
            quiet=claim.former_quiet,
        )
        formers = claim.predecessors
        self._next_lives = NextLives(
            claim.epoch,
            self._ledger,
            platform.terms,
            has_formers=bool(formers),
        )
        self._witnesses = Witnesses(claim.epoch, self._ledger)
        self._roster = Roster(
            platform.directory,
            platform.workers,
            self._ledger,
            self._former_leases,
            self._next_lives,
            self._witnesses,
            config,
            platform.zones,
        )
        self._learned = LearnedEstimates(platform.switches)
        self._dispatcher = Dispatcher(
            self._registry,
            self._roster,
            self._learned,
            config,
            platform.adviser,
            platform.switches,
        )
        self._resent_starts = ResentStarts(
            claim.epoch, formers[0].epoch if formers else None, self._ledger
        )
        self._late_starts = LateStarts(
            self._registry,
            self._ledger,
            platform.terms.granted_lease_most,
            self._dispatcher.wake,
            self._resent_starts,
        )
        self._doubts = SilentLives(self._ledger)
        self._ends = WorkerEnds(self._ledger)
        self._lived_runs = LivedRuns(self._ledger, self._roster.workers)
        self._admission = Admission(
            self._dispatcher.backlog,
            self._learned,
            self._seconds_since_settled,
            refuses=platform.switches.is_on(Part.ADMISSION),
        )
        self._uses_intake = platform.switches.is_on(Part.INTAKE)
        self._intake = Intake(
            platform.store,
            self._registry,
            self._ledger,
            self._dispatcher.wake,
            config,
        )
        self.job_api = JobApi(
            self._registry,
            self._ledger,
            self._dispatcher.wake,
            self._admission,
            lambda: not self._uses_intake or self._intake.is_current,
        )
        self._opened_at = 0.0
        self._settled_at = 0.0
        self._release = trio.Event()

    @property
    def ledger(self) -> Ledger:
        """Writer of the cell's records."""
        return self._ledger

    @property
    def takeover_age(self) -> float:
        """Seconds since the take-over began; 0 once it is complete."""
        if self.settled.is_set():
            return 0.0
        return self._take_over_log.age

    @property
    def jobs_memory(self) -> int:
        """Bytes of memory that the jobs take at most."""
        return self._registry.memory

    def backlog(self) -> dict[str, float]:
        """Returns core-seconds that wait for scarce capacity, by queue."""
        return self._dispatcher.backlog.work_by_queue()

    def _seconds_since_settled(self) -> float:
        if not self.settled.is_set():
            return 0.0
        return trio.current_time() - self._settled_at

    async def run(self) -> None:
        """Owns the cell until `release` is called.

        Raises:
            FencedError: The store has met the epoch of a newer owner.
            WorkerFencedError: A worker has met the epoch of a newer owner.
            StoreUnavailableError: The cell's state can't be read.
            ExceptionGroup: Several of these errors.
        """
        with freeze_survivors():
            await self._run()

    async def _run(self) -> None:
        await self._ledger.open()
        self._opened_at = trio.current_time()
        self._former_leases.begin()
        self._next_lives.begin()
        self.opened.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lateness.run)
            # Heartbeats start before the state is loaded: peers would
            # otherwise suspect an owner that is busy reading a large state.
            nursery.start_soon(self._ledger.run)
            with collection_paused():
                await self._load_state()
            if self._uses_intake:
                await self._intake.open()
            await self._work()
            # Stores the endings received so far: a successor doesn't get them
            # again if their worker has left meanwhile.
            with trio.move_on_after(const.LAST_RECORD_WAIT):
                await self._ledger.barrier().stored.wait()
            nursery.cancel_scope.cancel()

    async def _work(self) -> None:
        """Schedules jobs and follows workers until the cell is released."""
        context = self._make_context()
        async with trio.open_nursery() as nursery:
            self._late_starts.open(
                nursery.start_soon,
                self._roster.lease_clocks,
                self._former_leases,
                self._next_lives,
            )
            orders = Orders(nursery, context, self._dispatcher.on_refused)
            runs = await self._collect_runs()
            self._roster.numbers.reserve(run.worker for _, run in runs)
            self._roster.open(
                RosterParts(
                    nursery, context, orders, self._dispatcher.forget_life
                )
            )
            self._former_leases.apply_former_record()
            self._next_lives.apply_former_record(
                self._former_leases.record_epoch
            )
            self._witnesses.open(
                self._opened_at,
                lambda number: self._roster.numbers.find(number).machine,
                self._roster.note_formers_fenced,
                self._roster.heard_numbers,
            )
            await self._roster.poll()
            # Keepers start after this: a listing must not report a run before
            # the recorded runs are adopted.
            self._lived_runs.adopt(runs)
            self._roster.adopt(runs)
            self._resent_starts.begin()
            self._former_leases.start_recording(
                self._roster.lease_rows, self._roster.lease_clocks
            )
            self._next_lives.start_recording(
                self._roster.next_life_rows, self._roster.lease_clocks
            )
            self.ready.set()
            self._take_over_log.note("owner_ready", jobs=len(self._registry))
            nursery.start_soon(self._run_decisions, orders)
            if self._uses_intake:
                nursery.start_soon(self._intake.run)
            await self._roster.start_keepers()
            nursery.start_soon(self._wait_for_adoption)
            nursery.start_soon(self._roster.follow)
            nursery.start_soon(self._lived_runs.follow)
            nursery.start_soon(self._sweep_periodically, context.crashes)
            nursery.start_soon(
                self._take_over_log.log_adoption, self._roster.workers
            )
            nursery.start_soon(
                self._take_over_log.log_first_start, orders.started
            )
            await self._release.wait()
            # Leases are renewed until everything is stored, since the store
            # may be unavailable for a while.
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
            self._registry,
            self._ledger,
            self._dispatcher.wake,
            self._dispatcher.on_ending,
            self._learned.on_listed,
            Crashes(
                self._registry, self._roster.workers, self._doubts, self._ends
            ),
            self._roster.may_start_on,
            self._roster,
            self._late_starts,
            self._former_leases,
            self._next_lives,
            Confirmation(self._ledger, self._witnesses, terms),
        )

    async def _run_decisions(self, orders: Orders) -> None:
        """Makes scheduling decisions until the cell is released.

        They stop at the release, as they take most of a slow VM's processor
        time and would delay the hand-over by seconds. The successor makes its
        own decisions.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatcher.run, orders)
            nursery.start_soon(self._dispatcher.advice.run)
            await self._release.wait()
            nursery.cancel_scope.cancel()

    def note_former_ended(self, epoch: int) -> None:
        """Records that a former owner certainly renews no lease any more."""
        self._roster.note_former_ended(epoch)

    async def import_if_stored(self, job_id: str) -> bool:
        """Imports a job that an entry VM may just have stored.

        Its caller may ask for the job before the intake has imported it.

        Returns:
            True if the job is known now, or certainly wasn't stored before
            this call.
        """
        if not self._uses_intake or self.job_api.knows(job_id):
            return True
        return await self._intake.catch_up() or self.job_api.knows(job_id)

    async def cancel(self, job_id: str) -> JobReply:
        """Cancels a job.

        Replies `STORE_AWAY` if the job may be stored but not imported yet.
        """
        if not await self.import_if_stored(job_id):
            return JobReply(Outcome.STORE_AWAY)
        return await self.job_api.cancel(job_id)

    def release(self) -> None:
        """Makes `run` return once all changes so far are stored."""
        self._release.set()

    async def _wait_for_adoption(self) -> None:
        """Sets `settled` once all workers have listed their runs.

        Stops waiting after a time limit.
        """
        with trio.move_on_after(const.SETTLE_TIMEOUT):
            while not all(w.adopted for w in self._roster.workers()):
                await trio.sleep(const.SETTLE_CHECK_INTERVAL)
        self._settled_at = trio.current_time()
        self.settled.set()
        self._take_over_log.note("owner_settled")

    async def _load_state(self) -> None:
        found = await read_newest(
            self._platform.store, self._claim.topic, const.NEWEST_TIMEOUT
        )
        page = found.value
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
                self._load_life(kind, name, record.value, record.offset)
            except (RecordError, ValueError) as error:
                meters.add_unreadable(self._claim.topic)
                note("record_unreadable", key=record.key, reason=str(error))
        for job in jobs.values():
            await time_slice.yield_if_over()
            _apply_record(job, progress.get(job.id), records.decode_progress)
            _apply_record(job, histories.get(job.id), records.decode_crashes)
            self._registry.restore(job)
        self._take_over_log.note(
            "owner_read", records=len(page.records), jobs=len(self._registry)
        )

    async def _collect_runs(self) -> list[tuple[Task, Run]]:
        """Returns all recorded runs and their tasks."""
        time_slice = TimeSlice()
        runs = []
        for job in self._registry.jobs():
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
            self._resent_starts.restore(value)
        elif kind == records.LIVED_RUNS:
            self._lived_runs.restore(value)
        elif kind == records.LEASES:
            self._former_leases.restore(value)
        elif kind == records.WITNESSES:
            self._witnesses.restore(value)

    def _load_life(
        self, kind: str, name: str, value: bytes, offset: int
    ) -> None:
        """Loads a record of a worker life, or of lives that hold leases."""
        numbers = self._roster.numbers
        if kind == records.NEXT_LIVES:
            self._next_lives.restore(value, offset)
        elif kind == records.WORKER:
            number = whole_number(name)
            numbers.restore(number, records.decode_worker(value))
            self._next_lives.restore_life(number, offset)
        elif kind == records.BORN:
            number = whole_number(name)
            numbers.restore_born(number, records.decode_born(value))
            self._next_lives.restore_life(number, offset)

    async def _sweep_periodically(self, crashes: Crashes) -> None:
        while True:
            await trio.sleep(const.SWEEP_INTERVAL)
            self._registry.sweep()
            crashes.sweep()
            self._ledger.put(
                LazyRecord(records.LEARNED_ESTIMATES, self._learned.encode)
            )


def _apply_record(
    job: Job, value: bytes | None, decode: Callable[[Job, bytes], None]
) -> None:
    """Applies a record to a job; logs a record that can't be decoded."""
    if value is None:
        return
    try:
        decode(job, value)
    except RecordError as error:
        note("record_unreadable", key=job.id, reason=str(error))
