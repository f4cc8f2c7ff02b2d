"""An in-memory fake of the store of record logs, with fault injection."""

from collections.abc import Sequence
import random
from typing import NamedTuple

import trio

from pimentocross.contracts.progress import AnswerProgress
from pimentocross.contracts.store import (
    ConditionFailedError,
    FencedError,
    HistoryExpiredError,
    Page,
    ProducerMark,
    Record,
    SequenceGapError,
    StoreUnavailableError,
    record_size,
)
from pimentocross.standins.link import LinkStandin
from pimentocross.work.limits import DEFAULT_RECORD_BYTES

# Newest appends per producer whose answers are kept for repeated appends.
_MAX_KEPT_ANSWERS = 5
_MAX_SLEEP = 1e9
# Idle connections that a client keeps open for reuse.
_IDLE_CONNECTIONS = 3
# Values have a third more bytes in an answer to `newest`, in base64.
_BASE64_FACTOR = 4 / 3
# Topics that only the platform's own writers append to.
_PLATFORM_TOPICS = frozenset({"op", "servers"})


class StoreFaults:
    """The injected faults; may be changed at any time.

    Attributes:
        away: No call is answered.
        refused: Names of clients whose calls are refused with status 503.
        delay: Seconds by which each answer is delayed.
        lost: Share of appends that are carried out but not answered.
        late: Share of appends that are carried out seconds later and not
            answered.
        record_bytes: Longest record of a VM; appends with a longer one are
            refused. The operator and the workers write any.
        silence_count: Number of times that all open connections went silent.
            Calls that wait on such a connection, or reuse an idle one, are
            never answered; new connections work.
        drop_read_notifications: Waiting reads are not woken by new records;
            they are answered when their wait is over.
        link_bytes_per_s: What the link of each VM carries in each direction,
            shared equally by the calls that use it at the same time; None if
            they take no time on it.
    """

    def __init__(self, seed: int = 0) -> None:
        """Initializes the settings without faults."""
        self.away = False
        self.refused: set[str] = set()
        self.delay = 0.004
        self.lost = 0.0
        self.late = 0.0
        self.record_bytes = DEFAULT_RECORD_BYTES
        self.silence_count = 0
        self.drop_read_notifications = False
        self.link_bytes_per_s: float | None = None
        self.random = random.Random(seed)


class _AppendAnswer(NamedTuple):
    sequence: int
    offset: int


class _Producer:
    """A producer's epoch, next sequence number and newest answers."""

    def __init__(self) -> None:
        self.epoch = -1
        self.next_sequence: int | None = None
        self.answered: list[_AppendAnswer] = []


class _Topic:
    """A record log and its producers."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.first = 0
        self.producers: dict[str, _Producer] = {}
        self.changed = trio.Event()

    def append(self, records: Sequence[Record]) -> int:
        """Appends records; returns the offset of the first one."""
        first = len(self.records)
        for record in records:
            self.records.append(record._replace(offset=len(self.records)))
        self.changed.set()
        self.changed = trio.Event()
        return first


class StoreStandin:
    """The store; `client` returns one VM's access to it.

    Attributes:
        faults: The injected faults.
        calls: Number of accesses by clients; a read that waits counts twice.
    """

    def __init__(self, seed: int = 0) -> None:
        """Initializes an empty store."""
        self.faults = StoreFaults(seed)
        self.calls = 0
        self._topics: dict[str, _Topic] = {}

    def client(self, name: str) -> "StoreClientStandin":
        """Returns the access of one VM."""
        return StoreClientStandin(self, name)

    def topic(self, name: str) -> _Topic:
        """Returns a topic, creating it on first use."""
        return self._topics.setdefault(name, _Topic())

    def forget_history(self, name: str) -> None:
        """Expires a topic's present records for reads, not for `newest`."""
        topic = self.topic(name)
        topic.first = len(topic.records)

    def append_now(
        self,
        name: str,
        records: Sequence[Record],
        at: int | None,
        mark: ProducerMark | None,
    ) -> int:
        """Carries out an append, or returns the offset of a repeated one.

        Raises:
            ConditionFailedError: The topic does not end at offset `at`.
            FencedError: The mark's epoch is older than the producer's.
            SequenceGapError: The mark's sequence is not the next one.
        """
        topic = self.topic(name)
        if mark is not None:
            repeated = _check_mark(topic, mark)
            if repeated is not None:
                return repeated
        if at is not None and at != len(topic.records):
            raise ConditionFailedError(len(topic.records))
        first = topic.append(records)
        if mark is not None and records:
            _record_append(topic.producers[mark.producer], mark, first)
        return first


def _check_mark(topic: _Topic, mark: ProducerMark) -> int | None:
    """Returns the offset of a repeated append, or None for a new one."""
    producer = topic.producers.setdefault(mark.producer, _Producer())
    if mark.epoch < producer.epoch:
        raise FencedError
    if mark.epoch > producer.epoch:
        producer.epoch = mark.epoch
        producer.next_sequence = None
        producer.answered = []
    for answered in producer.answered:
        if answered.sequence == mark.sequence:
            return answered.offset
    expected = producer.next_sequence
    if expected is not None and mark.sequence != expected:
        raise SequenceGapError(expected)
    return None


def _record_append(
    producer: _Producer, mark: ProducerMark, offset: int
) -> None:
    producer.next_sequence = mark.sequence + 1
    producer.answered.append(_AppendAnswer(mark.sequence, offset))
    del producer.answered[:-_MAX_KEPT_ANSWERS]


def _size(records: Sequence[Record]) -> int:
    return sum(len(r.key) + len(r.value or b"") for r in records)


class StoreClientStandin:
    """One VM's client of the stand-in; see `Store`."""

    def __init__(self, store: StoreStandin, name: str) -> None:
        """Initializes the client with the store and the VM's name."""
        self._store = store
        self._name = name
        self._seen_silence_count = store.faults.silence_count
        # Number of idle connections that have gone silent.
        self._silent_connections = 0
        self._uplink = LinkStandin()
        self._downlink = LinkStandin()

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        timeout: float,
        *,
        at: int | None = None,
        mark: ProducerMark | None = None,
        new_connection: bool = False,
    ) -> int:
        """Appends records; see `Store`."""
        until = trio.current_time() + timeout
        await self._connect(timeout, new_connection)
        await self._transfer(self._uplink, _size(records), until)
        faults = self._store.faults
        if topic not in _PLATFORM_TOPICS and any(
            record_size(record) > faults.record_bytes for record in records
        ):
            raise StoreUnavailableError("append: status 400", sent=False)
        if faults.random.random() < faults.late:
            trio.lowlevel.spawn_system_task(
                self._append_late, topic, list(records), at, mark
            )
            await self._hang(timeout)
        first = self._store.append_now(topic, records, at, mark)
        if faults.random.random() < faults.lost:
            await self._hang(timeout)
        return first

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Reads records, waiting for new ones; see `Store`."""
        asked_at = trio.current_time()
        silence_count = self._store.faults.silence_count
        await self._connect(timeout, new_connection)
        found = self._store.topic(topic)
        if start < found.first:
            raise HistoryExpiredError
        if start >= len(found.records) and wait > 0:
            with trio.move_on_after(wait):
                await found.changed.wait()
                if self._store.faults.drop_read_notifications:
                    await trio.sleep_forever()
            left = timeout - (trio.current_time() - asked_at)
            if self._store.faults.silence_count != silence_count:
                await self._hang(left)
            await self._connect(left, new_connection=True)
        page = Page(found.records[start:], len(found.records))
        await self._transfer(
            self._downlink, _size(page.records), asked_at + timeout, progress
        )
        return page

    async def newest(
        self,
        topic: str,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Returns the newest record of each key; see `Store`."""
        until = trio.current_time() + timeout
        await self._connect(timeout, new_connection)
        found = self._store.topic(topic)
        newest = {record.key: record for record in found.records}
        kept = [r for r in newest.values() if r.value is not None]
        page = Page(kept, len(found.records))
        size = _size(kept) * _BASE64_FACTOR
        await self._transfer(self._downlink, size, until, progress)
        return page

    async def _transfer(
        self,
        link: LinkStandin,
        size: float,
        until: float,
        progress: AnswerProgress | None = None,
    ) -> None:
        """Waits while records pass over this VM's link.

        Args:
            link: Direction of the link.
            size: Bytes of the records.
            until: Monotonic time at which the client gives up an answer that
                isn't arriving; without `progress`, any call.
            progress: Counts the bytes of an answer that have arrived.

        Raises:
            StoreUnavailableError: The call took too long.
        """
        with trio.move_on_at(until) as scope:
            if progress is not None:
                progress.extend(scope)
            rate = self._store.faults.link_bytes_per_s
            await link.transfer(size, rate, progress)
            return
        raise StoreUnavailableError("no answer in time", sent=True)

    async def _append_late(
        self,
        topic: str,
        records: list[Record],
        at: int | None,
        mark: ProducerMark | None,
    ) -> None:
        await trio.sleep(self._store.faults.random.uniform(1.0, 6.0))
        try:
            self._store.append_now(topic, records, at, mark)
        except (ConditionFailedError, FencedError, SequenceGapError):
            # The condition of the append no longer holds.
            return

    async def _connect(self, timeout: float, new_connection: bool) -> None:
        faults = self._store.faults
        self._store.calls += 1
        await self._hang_if_silent(timeout, new_connection)
        if self._name in faults.refused:
            await trio.sleep(faults.delay)
            raise StoreUnavailableError("status 503", sent=False)
        if faults.away:
            await self._hang(timeout)
        if faults.delay > timeout:
            await self._hang(timeout)
        await trio.sleep(faults.delay)

    async def _hang_if_silent(
        self, timeout: float, new_connection: bool
    ) -> None:
        """Hangs if the call reuses an idle connection that has gone silent."""
        silence_count = self._store.faults.silence_count
        if silence_count != self._seen_silence_count:
            self._seen_silence_count, self._silent_connections = (
                silence_count,
                _IDLE_CONNECTIONS,
            )
        if new_connection:
            self._silent_connections = 0
        if self._silent_connections:
            self._silent_connections -= 1
            await self._hang(timeout)

    async def _hang(self, timeout: float) -> None:
        await trio.sleep(min(max(timeout, 0.0), _MAX_SLEEP))
        raise StoreUnavailableError("no answer in time", sent=True)
