"""Takes up what entry VMs have stored for the cell's owner.

A VM that can't ask an owner stores what its callers ask in a topic that all may
append to. An owner takes it up in the order of the topic, records it among its
own jobs and removes it from there: first the record, then the removal, so that
what an owner leaves halfway is found again by the next one. A job that is known
already is the same job, however often it stands there.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.jitter import jittered
from pimentocross.contracts.poll_pace import PollPace
from pimentocross.contracts.store import Record, Store, StoreUnavailableError
from pimentocross.contracts.topic_reader import TopicNews, TopicReader
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.work import records
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import RecordError

TOPIC: Final = "intake"
# Longest wait for news, seconds: callers ask for a job's state a moment after
# it was taken in, and half of that time is left for a lost answer.
_FOLLOW_WAIT: Final = 1.0
# VMs tell callers that a job is accepted by a store that takes so long.
_FOLLOW_TIMEOUT: Final = 1.0
# Who asks for a job that isn't known waits this much longer, seconds.
_LOOK_TIMEOUT: Final = 0.5
_FOLLOW_RETRY: Final = 0.3
# Age of the copy up to which a job that isn't there is taken for unknown,
# seconds: callers are told so no sooner than that after it was taken in.
_CURRENT_WITHIN: Final = 2.5
_REMOVE_TIMEOUT: Final = 1.5
_REMOVE_RETRY: Final = 0.5
# Removals of one append.
_REMOVALS_MOST: Final = 500


class _Taken(NamedTuple):
    """A record that was taken up, and the batch that has to be stored first."""

    key: str
    batch: Batch


class Intake:
    """Follows the topic for one owner."""

    def __init__(
        self,
        store: Store,
        book: JobBook,
        ledger: Ledger,
        wake: Callable[[], None],
        config: Callable[[], WorkConfig],
    ) -> None:
        """Takes what it works on.

        Args:
            store: The store.
            book: The owner's jobs.
            ledger: Where they are recorded.
            wake: Has decisions made once there is more to decide.
            config: Returns the configuration in force.
        """
        self._config = config
        self._store = store
        self._book = book
        self._ledger = ledger
        self._wake = wake
        self._reader = TopicReader(store, TOPIC)
        self._pace = PollPace(_FOLLOW_WAIT)
        self._known_at = float("-inf")
        self._catching_up = trio.Lock()
        self._tried_at = float("-inf")
        self._taken: list[_Taken] = []
        self._has_taken = trio.Event()

    @property
    def is_current(self) -> bool:
        """True if no job that callers may ask for by now can be missing."""
        return trio.current_time() - self._known_at <= _CURRENT_WITHIN

    async def open(self) -> None:
        """Takes up all that was stored before this owner.

        Raises:
            StoreUnavailableError: It can't be read.
        """
        await self._read(0.0, const.NEWEST_TIMEOUT)

    async def run(self) -> None:
        """Takes up what comes, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._remove)

    async def catch_up(self) -> bool:
        """Returns whether all that is there by now is taken up.

        Those who ask while another reads share the next read.
        """
        asked_at = trio.current_time()
        async with self._catching_up:
            if self._tried_at < asked_at:
                self._tried_at = trio.current_time()
                await self._try_read()
        return self._known_at >= asked_at

    async def _try_read(self) -> None:
        try:
            await self._read(0.0, _LOOK_TIMEOUT)
        except StoreUnavailableError as error:
            note("intake_unread", reason=str(error))

    async def _follow(self) -> None:
        while True:
            try:
                news = await self._read(self._pace.wait, _FOLLOW_TIMEOUT)
            except StoreUnavailableError:
                self._pace.restart()
                await trio.sleep(jittered(_FOLLOW_RETRY))
            else:
                self._pace.note_answer(news=bool(news.records))

    async def _read(self, wait: float, timeout: float) -> TopicNews:
        news = await self._reader.read(wait, timeout)
        # The newest of each key come in any order: a cancel needs its job.
        for record in sorted(news.records, key=_is_cancel):
            if record.value is not None:
                self._take(record.key, record.value)
        self._known_at = max(self._known_at, news.known_at)
        return news

    def _take(self, key: str, value: bytes) -> None:
        kind, job_id = key[:1], key[1:]
        try:
            if kind == records.SUBMISSION:
                batch = self._take_submission(job_id, value)
            elif kind == records.CANCEL:
                batch = self._take_cancel(job_id)
            else:
                raise RecordError("of an unknown kind")
        except RecordError as error:
            # An owner of another version may be able to read it.
            note("record_unreadable", key=key, reason=str(error))
            return
        self._taken.append(_Taken(key, batch or self._ledger.barrier()))
        self._has_taken.set()

    def _take_submission(self, job_id: str, value: bytes) -> Batch | None:
        """Takes a job in; returns its record's batch, None if it is known.

        Raises:
            RecordError: It can't be read.
        """
        if self._book.find(job_id) is not None:
            return None
        job = records.decode_submission(job_id, value)
        # Its VM may have known an older or a newer form of the queue.
        job.queue = self._config().latest_queue(job.queue)
        note("job_taken_up", job=job_id, queue=job.queue.name)
        meters.add_taken_up("submission")
        self._wake()
        return self._book.take_in(job)

    def _take_cancel(self, job_id: str) -> Batch | None:
        job = self._book.find(job_id)
        if job is None or job.ended:
            return None
        note("job_cancelled", job=job_id, state=job.state.value)
        meters.add_taken_up("cancel")
        self._wake()
        return self._book.cancel(job)

    async def _remove(self) -> None:
        """Removes what was taken up, once that is recorded."""
        while True:
            await self._has_taken.wait()
            taken = self._taken[:_REMOVALS_MOST]
            for _, batch in taken:
                await batch.stored.wait()
            removals = [Record(key, None) for key, _ in taken]
            try:
                await self._store.append(TOPIC, removals, _REMOVE_TIMEOUT)
            except StoreUnavailableError as error:
                note("intake_not_removed", reason=str(error))
                await trio.sleep(jittered(_REMOVE_RETRY))
                continue
            del self._taken[: len(taken)]
            if not self._taken:
                self._has_taken = trio.Event()


def submission_key(job_id: str) -> str:
    """Returns the key under which a submission is stored."""
    return records.SUBMISSION + job_id


def cancel_key(job_id: str) -> str:
    """Returns the key under which a cancellation is stored."""
    return records.CANCEL + job_id


def _is_cancel(record: Record) -> bool:
    return record.key.startswith(records.CANCEL)
