"""Imports submissions and cancellations that entry VMs stored for the owner.

An entry VM that can't reach the owner appends its callers' requests to the
intake topic, to which all VMs may write. The owner imports them in the order of
the topic, records them among its own jobs and then removes them from the topic.
The record is stored before the removal, so that a successor finds whatever an
owner leaves unfinished. Importing a job is idempotent by its id.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.jitter import jittered
from pimentocross.contracts.poll_pace import PollPace
from pimentocross.contracts.store import Record, Store, StoreUnavailableError
from pimentocross.contracts.topic_reader import TopicReader, TopicUpdate
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.work import records
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import RecordError

TOPIC: Final = "intake"
# Longest waiting read, seconds. Callers ask for a job's state soon after it was
# stored, and half of that time is left for a lost answer.
_MAX_READ_WAIT: Final = 1.0
# Seconds. Entry VMs still confirm jobs that a store takes this long to append.
_READ_TIMEOUT: Final = 1.0
# Longest extra wait of a request for an unknown job, seconds.
_CATCH_UP_TIMEOUT: Final = 0.5
_READ_RETRY_PAUSE: Final = 0.3
# Maximum age in seconds of the owner's copy of the topic at which a missing job
# is reported as unknown. Callers get that reply no sooner than this after a job
# was stored.
_MAX_COPY_AGE: Final = 2.5
_REMOVE_TIMEOUT: Final = 1.5
_REMOVE_RETRY_PAUSE: Final = 0.5
# Removals per append.
_MAX_REMOVALS: Final = 500


class _ImportedRecord(NamedTuple):
    """An imported record and the batch to be stored before its removal."""

    key: str
    batch: Batch


class Intake:
    """Imports the records of the intake topic into one owner's jobs."""

    def __init__(
        self,
        store: Store,
        registry: JobRegistry,
        ledger: Ledger,
        wake: Callable[[], None],
        config: Callable[[], WorkConfig],
    ) -> None:
        """Initializes the intake; nothing is read before `open`.

        Args:
            store: The store.
            registry: The owner's jobs.
            ledger: Ledger that records these jobs.
            wake: Triggers a scheduling pass.
            config: Returns the configuration in force.
        """
        self._config = config
        self._store = store
        self._registry = registry
        self._ledger = ledger
        self._wake = wake
        self._reader = TopicReader(store, TOPIC)
        self._pace = PollPace(_MAX_READ_WAIT)
        self._complete_as_of = float("-inf")
        self._catching_up = trio.Lock()
        self._catch_up_began_at = float("-inf")
        self._imported: list[_ImportedRecord] = []
        self._has_imported = trio.Event()

    @property
    def is_current(self) -> bool:
        """Whether every job that callers may ask for by now is imported."""
        return trio.current_time() - self._complete_as_of <= _MAX_COPY_AGE

    async def open(self) -> None:
        """Imports all records that were stored before this owner began.

        Raises:
            StoreUnavailableError: The topic can't be read.
        """
        await self._read(0.0, const.NEWEST_TIMEOUT)

    async def run(self) -> None:
        """Imports new records and removes imported ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._remove)

    async def catch_up(self) -> bool:
        """Imports all records that were stored before the call.

        Returns False if the store did not show that these are all. Calls that
        arrive during a read share the next one.
        """
        asked_at = trio.current_time()
        async with self._catching_up:
            if self._catch_up_began_at < asked_at:
                self._catch_up_began_at = trio.current_time()
                await self._read_for_catch_up()
        return self._complete_as_of >= asked_at

    async def _read_for_catch_up(self) -> None:
        try:
            await self._read(0.0, _CATCH_UP_TIMEOUT)
        except StoreUnavailableError as error:
            note("intake_unread", reason=str(error))

    async def _follow(self) -> None:
        while True:
            try:
                update = await self._read(self._pace.wait, _READ_TIMEOUT)
            except StoreUnavailableError:
                self._pace.restart()
                await trio.sleep(jittered(_READ_RETRY_PAUSE))
            else:
                self._pace.note_answer(has_changes=bool(update.records))

    async def _read(self, wait: float, timeout: float) -> TopicUpdate:
        update = await self._reader.read(wait, timeout)
        # Compacted records come in any order, and a cancellation needs its job.
        for record in sorted(update.records, key=_is_cancel):
            if record.value is not None:
                self._import_record(record.key, record.value)
        self._complete_as_of = max(self._complete_as_of, update.known_at)
        return update

    def _import_record(self, key: str, value: bytes) -> None:
        kind, job_id = key[:1], key[1:]
        try:
            if kind == records.SUBMISSION:
                batch = self._import_submission(job_id, value)
            elif kind == records.CANCEL:
                batch = self._import_cancel(job_id)
            else:
                raise RecordError("unknown record kind")
        except RecordError as error:
            # It stays in the topic: an owner of another version may be able to
            # read it.
            meters.add_unreadable(TOPIC)
            note("record_unreadable", key=key, reason=str(error))
            return
        self._imported.append(
            _ImportedRecord(key, batch or self._ledger.barrier())
        )
        self._has_imported.set()

    def _import_submission(self, job_id: str, value: bytes) -> Batch | None:
        """Adds a job; returns its record's batch, or None if it is known.

        Raises:
            RecordError: The submission can't be decoded.
        """
        if self._registry.find(job_id) is not None:
            return None
        job = records.decode_submission(job_id, value)
        # The entry VM may have used an older or newer version of the queue.
        job.queue = self._config().latest_queue(job.queue)
        note("job_taken_up", job=job_id, queue=job.queue.name)
        meters.add_intake_processed("submission")
        self._wake()
        return self._registry.add(job)

    def _import_cancel(self, job_id: str) -> Batch | None:
        job = self._registry.find(job_id)
        if job is None or job.ended:
            return None
        note("job_cancelled", job=job_id, state=job.state.value)
        meters.add_intake_processed("cancel")
        self._wake()
        return self._registry.cancel(job)

    async def _remove(self) -> None:
        """Removes imported records from the topic once the ledger has them."""
        while True:
            await self._has_imported.wait()
            imported = self._imported[:_MAX_REMOVALS]
            for _, batch in imported:
                await batch.stored.wait()
            removals = [Record(key, None) for key, _ in imported]
            try:
                await self._store.append(TOPIC, removals, _REMOVE_TIMEOUT)
            except StoreUnavailableError as error:
                note("intake_not_removed", reason=str(error))
                await trio.sleep(jittered(_REMOVE_RETRY_PAUSE))
                continue
            del self._imported[: len(imported)]
            if not self._imported:
                self._has_imported = trio.Event()


def submission_key(job_id: str) -> str:
    """Returns the key under which a submission is stored."""
    return records.SUBMISSION + job_id


def cancel_key(job_id: str) -> str:
    """Returns the key under which a cancellation is stored."""
    return records.CANCEL + job_id


def _is_cancel(record: Record) -> bool:
    return record.key.startswith(records.CANCEL)
