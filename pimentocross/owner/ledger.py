"""Writes changed records to the store: batched, in order, as sole writer."""

from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeAlias

import trio

from pimentocross.contracts.hedging import (
    HEDGE_DELAY,
    FirstAnswer,
    RequestAttempt,
    first_answer,
)
from pimentocross.contracts.store import (
    FencedError,
    ProducerMark,
    Record,
    SequenceGapError,
    Store,
    StoreUnavailableError,
    record_size,
)
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import boot_clock, const
from pimentocross.work.limits import DEFAULT_RECORD_BYTES

_Refusal: TypeAlias = FencedError | SequenceGapError


class Recordable(Protocol):
    """A record whose current value is stored under a key."""

    @property
    def key(self) -> str:
        """Key in the store."""
        ...

    def encode(self) -> bytes | None:
        """Returns the current value, or None to remove the key."""
        ...

    def stored(self) -> None:
        """Called once the value that was last encoded is stored."""
        ...


class Batch:
    """Changes that are written together; `stored` is set afterwards."""

    def __init__(self) -> None:
        """Initializes an empty batch."""
        self.items: dict[str, Recordable] = {}
        self.stored = trio.Event()


class Ledger:
    """The cell's records, written under the epoch of one owner.

    Attributes:
        stored_at: Monotonic time at which the newest acknowledged append was
            sent.
        confirmed_at: When the newest acknowledged append was first sent, on
            the boot clock. At that time the store had met no later owner.
        appends: Number of appends that the store acknowledged.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        producer: str,
        epoch: int,
        record_bytes: int = DEFAULT_RECORD_BYTES,
    ) -> None:
        """Initializes a ledger; nothing is written before `open`.

        Args:
            store: The store.
            topic: Topic to write to.
            producer: Producer name by which the store fences former writers.
            epoch: Epoch under which all records are written.
            record_bytes: Longest record that the store takes.
        """
        self.stored_at = float("-inf")
        self.confirmed_at = boot_clock.NEVER
        self.appends = 0
        self._store = store
        self._topic = topic
        self._producer = producer
        self._epoch = epoch
        self._record_bytes = record_bytes
        # Keys of the records whose newest value is too long for the store.
        self._too_long: set[str] = set()
        self._sequence = 0
        self._open_batch = Batch()
        self._changed = trio.Event()
        self._append_began_at: float | None = None
        # Failed attempts of the append in progress.
        self._failed_attempts = 0

    @property
    def store_away(self) -> bool:
        """Whether the store has not acknowledged an append for a while."""
        since = self._append_began_at
        if since is None:
            return False
        if self._failed_attempts >= const.AWAY_FAILURES:
            return True
        return trio.current_time() - since > const.AWAY_AFTER

    def age(self) -> float:
        """Seconds since the newest acknowledged append was sent."""
        return trio.current_time() - self.stored_at

    def put(self, item: Recordable) -> Batch:
        """Queues an item for the next append; returns the batch that holds it.

        `run` encodes and writes the item later, with its value of that time.
        """
        self._open_batch.items[item.key] = item
        self._changed.set()
        return self._open_batch

    def put_with_next(self, item: Recordable) -> None:
        """Adds an item to the next append without triggering one."""
        self._open_batch.items[item.key] = item

    def barrier(self) -> Batch:
        """Returns a batch that is stored once all changes so far are."""
        self._changed.set()
        return self._open_batch

    async def open(self) -> None:
        """Fences all writers of lower epochs by an empty append.

        Raises:
            FencedError: A writer of a higher epoch exists.
            StoreUnavailableError: The store did not answer.
        """
        began = boot_clock.now()
        answered = await self._append_once([])
        if isinstance(answered.value, Exception):
            raise answered.value
        self.stored_at = answered.asked_at
        self.confirmed_at = began

    async def run(self) -> None:
        """Writes batches until cancelled, and heartbeats while idle.

        Raises:
            FencedError: Another owner has taken over.
        """
        while True:
            with trio.move_on_after(const.HEARTBEAT_INTERVAL):
                await self._changed.wait()
                await trio.sleep(const.BATCH_PAUSE)
            batch, self._open_batch = self._open_batch, Batch()
            self._changed = trio.Event()
            await self._write(batch)
            for item in batch.items.values():
                if item.key not in self._too_long:
                    item.stored()
            batch.stored.set()

    async def _write(self, batch: Batch) -> None:
        records = [Record(i.key, i.encode()) for i in batch.items.values()]
        records = [record for record in records if self._fits(record)]
        if not records:
            records = [Record(const.HEARTBEAT_KEY, b"")]
        for chunk in _split_by_size(records):
            await self._append(chunk)

    def _fits(self, record: Record) -> bool:
        """Returns whether the store takes a record; logs one that is too long.

        All other records would wait for ever behind an append that the store
        refuses.
        """
        size = record_size(record)
        if size <= self._record_bytes:
            self._too_long.discard(record.key)
            return True
        if record.key not in self._too_long:
            note("record_too_long", key=record.key, bytes=size)
        meters.add("records_too_long_total")
        self._too_long.add(record.key)
        return False

    async def _append(self, records: list[Record]) -> None:
        """Repeats an append until the store has acknowledged it.

        Raises:
            FencedError: Another owner has taken over.
        """
        began = boot_clock.now()
        self._append_began_at = trio.current_time()
        while True:
            try:
                answered = await self._append_once(records)
            except StoreUnavailableError as error:
                if not self._failed_attempts:
                    note("append_failed", reason=str(error), epoch=self._epoch)
                self._failed_attempts += 1
                await trio.sleep(const.APPEND_RETRY_PAUSE)
                continue
            refusal = answered.value
            if refusal is None:
                break
            if isinstance(refusal, FencedError):
                raise refusal
            note(
                "append_out_of_sequence",
                sequence=self._sequence,
                expected=refusal.expected,
            )
            if refusal.expected == self._sequence + 1:
                break
            self._sequence = refusal.expected
        if self._failed_attempts:
            note(
                "append_stored", after=self._failed_attempts, epoch=self._epoch
            )
        self._failed_attempts = 0
        self._sequence += 1
        self.appends += 1
        self.stored_at = answered.asked_at
        # A repeated append may be acknowledged after a later owner has begun.
        self.confirmed_at = began
        self._append_began_at = None

    async def _append_once(
        self, records: list[Record]
    ) -> FirstAnswer[_Refusal | None]:
        """Appends with this epoch's next sequence number.

        Sends the append again if its answer is overdue: a request that the
        store never got would otherwise delay all records after an outage until
        its timeout. The sequence number makes the repeat idempotent.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        mark = ProducerMark(self._producer, self._epoch, self._sequence)
        append = partial(self._send_append, records, mark)
        return await first_answer(
            append, 0.0, const.APPEND_TIMEOUT, HEDGE_DELAY
        )

    async def _send_append(
        self,
        records: list[Record],
        mark: ProducerMark,
        question: RequestAttempt,
    ) -> _Refusal | None:
        """Returns why the store refuses an append for good, or None."""
        try:
            await self._store.append(
                self._topic,
                records,
                question.timeout,
                mark=mark,
                new_connection=question.is_hedge,
            )
        except (FencedError, SequenceGapError) as error:
            return error
        return None


def _split_by_size(records: list[Record]) -> list[list[Record]]:
    chunks: list[list[Record]] = [[]]
    size = 0
    for record in records:
        length = len(record.key) + len(record.value or b"")
        if size + length > const.APPEND_BYTES and chunks[-1]:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += length
    return chunks


class LazyRecord:
    """A record whose value is computed when it is written."""

    def __init__(
        self,
        key: str,
        encode: Callable[[], bytes | None],
    ) -> None:
        """Initializes a record with its key and a function for its value."""
        self._key = key
        self._encode = encode

    @property
    def key(self) -> str:
        """Key in the store."""
        return self._key

    def encode(self) -> bytes | None:
        """Returns the current value, or None to remove the key."""
        return self._encode()

    def stored(self) -> None:
        """Does nothing: no state depends on whether it is stored."""
