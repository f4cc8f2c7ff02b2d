"""Owns a cell: all parts put together under one epoch."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from pimentocross.contracts.adviser import Adviser
from pimentocross.contracts.store import Store
from pimentocross.contracts.worker_link import (
    WorkerDialer,
    WorkerDirectory,
)
from pimentocross.observe.decisions import note
from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const
from pimentocross.owner.desk import Desk
from pimentocross.owner.dispatcher import Dispatcher
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.keeper import CellParts
from pimentocross.owner.learned import Learned
from pimentocross.owner.ledger import Ledger, PlainRecord
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.orders import Orders
from pimentocross.owner.patience import Patience
from pimentocross.owner.roster import Roster
from pimentocross.owner.terms import OwnerTerms
from pimentocross.work import records
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import RecordError
from pimentocross.work.state import Job

PRODUCER = "owner"


class CellPlatform(NamedTuple):
    """What an owner needs of the platform."""

    store: Store
    directory: WorkerDirectory
    workers: WorkerDialer
    adviser: Adviser | None = None
    terms: OwnerTerms = OwnerTerms()


class Claim(NamedTuple):
    """The right to own a cell.

    Attributes:
        topic: Where the cell's records are.
        epoch: Of the claim; the fencing token at workers.
        former_quiet: Whether the former owner surely renews no lease any more.
    """

    topic: str
    epoch: int
    former_quiet: bool


class Owner:
    """Runs a cell's jobs until another owner takes over.

    Attributes:
        epoch: Its claim's.
        desk: Answers callers.
        ready: Set once it has taken the cell's state over.
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
        self.ready = trio.Event()
        self.lateness = LoopLateness()
        self._claim = claim
        self._platform = platform
        self._ledger = Ledger(
            platform.store, claim.topic, PRODUCER, claim.epoch
        )
        self._book = JobBook(self._ledger, platform.terms.ended_kept)
        self._roster = Roster(
            platform.directory,
            platform.workers,
            self._ledger,
            trio.current_time() + _former_lease(claim, platform.terms),
            config,
        )
        self._learned = Learned()
        self._dispatcher = Dispatcher(
            self._book, self._roster, self._learned, config, platform.adviser
        )
        self.desk = Desk(self._book, self._ledger, self._dispatcher.wake)
        self._release = trio.Event()

    @property
    def ledger(self) -> Ledger:
        """Where it records."""
        return self._ledger

    async def run(self) -> None:
        """Owns the cell until `release`.

        Raises:
            FencedError: Another owner has taken over, as the store knows.
            WorkerFencedError: The same, as a worker knows.
            StoreUnavailableError: The cell's state can't be read.
        """
        await self._ledger.open()
        await self._load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lateness.run)
            lease = self._platform.terms.lease
            parts = CellParts(
                self.epoch,
                lease,
                Patience(self.lateness, lease),
                ListingPace(self.lateness, lease, self._roster.__len__),
                self._book,
                self._ledger,
                self._dispatcher.wake,
                self._learned.judge,
                self._learned.on_listed,
            )
            orders = Orders(nursery, parts, self._dispatcher.on_refused)
            await self._roster.poll(nursery, parts, orders)
            self._roster.adopt_absent(self._book)
            self.ready.set()
            note("owner_ready", epoch=self.epoch, jobs=len(self._book))
            nursery.start_soon(self._ledger.run)
            nursery.start_soon(self._roster.follow, nursery, parts, orders)
            nursery.start_soon(self._dispatcher.run, orders)
            nursery.start_soon(self._dispatcher.advice.run)
            nursery.start_soon(self._sweep)
            await self._release.wait()
            await self._ledger.barrier().stored.wait()
            nursery.cancel_scope.cancel()

    def release(self) -> None:
        """Has `run` return once all changes so far are stored."""
        self._release.set()

    async def _load(self) -> None:
        page = await self._platform.store.newest(
            self._claim.topic, const.NEWEST_TIMEOUT
        )
        jobs: dict[str, Job] = {}
        progress: dict[str, bytes] = {}
        for record in page.records:
            kind, name = record.key[:1], record.key[1:]
            if record.value is None or record.key == const.BEAT_KEY:
                continue
            if kind == records.PROGRESS:
                progress[name] = record.value
                continue
            try:
                self._load_record(kind, name, record.value, jobs)
            except (RecordError, ValueError) as error:
                note("record_unreadable", key=record.key, reason=str(error))
        for job in jobs.values():
            self._load_progress(job, progress.get(job.id))
            self._book.restore(job)

    def _load_record(
        self, kind: str, name: str, value: bytes, jobs: dict[str, Job]
    ) -> None:
        if kind == records.SUBMISSION:
            jobs[name] = records.decode_submission(name, value)
        elif kind == records.LEARNED:
            self._learned.restore(records.decode_learned(value))
        elif kind == records.WORKER:
            self._roster.restore(int(name), records.decode_worker(value))

    def _load_progress(self, job: Job, value: bytes | None) -> None:
        if value is None:
            return
        try:
            records.decode_progress(job, value)
        except RecordError as error:
            note("record_unreadable", key=job.id, reason=str(error))

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(const.SWEEP_INTERVAL)
            self._book.sweep()
            self._ledger.put(PlainRecord(records.LEARNED, self._learned.encode))


def _former_lease(claim: Claim, terms: OwnerTerms) -> float:
    """Returns how long a former owner's leases may last from now on."""
    return terms.lease_most if claim.former_quiet else terms.loud_for
