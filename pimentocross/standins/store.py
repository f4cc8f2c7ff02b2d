"""A stand-in of the store of record logs, in memory, that fails as told."""

from collections.abc import Sequence
import random
from typing import NamedTuple

import trio

from pimentocross.contracts.store import (
    ConditionFailedError,
    FencedError,
    HistoryExpiredError,
    Page,
    ProducerMark,
    Record,
    SequenceGapError,
    StoreUnavailableError,
)

# As many newest appends of a producer as are answered again.
_MAX_KEPT_ANSWERS = 5
_MAX_SLEEP = 1e9
# Connections that a client keeps beside those in use.
_IDLE_CONNECTIONS = 3


class StoreFaults:
    """How the stand-in fails; may be changed at any time.

    Attributes:
        away: Answers nobody.
        refused: Clients that it turns away at once.
        delay: Seconds that each answer takes.
        lost: Share of appends that are done and not answered.
        late: Share of appends that are done seconds later, unanswered.
        silenced: How often all connections went silent: what waits on one then
            is never answered, nor what is sent on one that was kept; new ones
            work.
        deaf: Reads that wait aren't told of what comes: they are answered once
            their wait is over.
    """

    def __init__(self, seed: int = 0) -> None:
        """Starts without faults."""
        self.away = False
        self.refused: set[str] = set()
        self.delay = 0.004
        self.lost = 0.0
        self.late = 0.0
        self.silence_count = 0
        self.drop_read_notifications = False
        self.random = random.Random(seed)


class _AppendAnswer(NamedTuple):
    sequence: int
    offset: int


class _Producer:
    """What the store knows of a producer."""

    def __init__(self) -> None:
        self.epoch = -1
        self.next_sequence: int | None = None
        self.answered: list[_AppendAnswer] = []


class _Topic:
    """A log and its producers."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.first = 0
        self.producers: dict[str, _Producer] = {}
        self.changed = trio.Event()

    def append(self, records: Sequence[Record]) -> int:
        """Adds records; returns the first one's offset."""
        first = len(self.records)
        for record in records:
            self.records.append(record._replace(offset=len(self.records)))
        self.changed.set()
        self.changed = trio.Event()
        return first


class StoreStandin:
    """The store itself; `client` gives one VM's access to it.

    Attributes:
        faults: How it fails.
        calls: Calls that reached it.
    """

    def __init__(self, seed: int = 0) -> None:
        """Starts empty."""
        self.faults = StoreFaults(seed)
        self.calls = 0
        self._topics: dict[str, _Topic] = {}

    def client(self, name: str) -> "StoreClientStandin":
        """Returns the access of one VM."""
        return StoreClientStandin(self, name)

    def topic(self, name: str) -> _Topic:
        """Returns a topic, made on first use."""
        return self._topics.setdefault(name, _Topic())

    def forget_history(self, name: str) -> None:
        """Drops all records of a topic but the newest of each key."""
        topic = self.topic(name)
        topic.first = len(topic.records)

    def append_now(
        self,
        name: str,
        records: Sequence[Record],
        at: int | None,
        mark: ProducerMark | None,
    ) -> int:
        """Carries an append out."""
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
    """Returns the first answer of a repeated append, or None for a new one."""
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


class StoreClientStandin:
    """One VM's access to the stand-in; see `Store`."""

    def __init__(self, store: StoreStandin, name: str) -> None:
        """Takes the store and the VM's name."""
        self._store = store
        self._name = name
        self._seen_silence_count = store.faults.silence_count
        # Kept connections that have gone silent.
        self._silent_connections = 0

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
        """Appends records."""
        await self._connect(timeout, new_connection)
        faults = self._store.faults
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
    ) -> Page:
        """Reads records."""
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
        return Page(found.records[start:], len(found.records))

    async def newest(
        self, topic: str, timeout: float, *, new_connection: bool = False
    ) -> Page:
        """Returns the newest record of each key."""
        await self._connect(timeout, new_connection)
        found = self._store.topic(topic)
        newest = {record.key: record for record in found.records}
        kept = [r for r in newest.values() if r.value is not None]
        return Page(kept, len(found.records))

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
            # Its condition holds no more.
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
        """Hangs if the call goes out on a kept connection that is silent."""
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
