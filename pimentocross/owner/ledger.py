"""Writes what changed to the store, gathered, in order, as the sole writer."""

from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeAlias

import trio

from pimentocross.contracts.asking import (
    AGAIN_AFTER,
    Answered,
    Question,
    first_answer,
)
from pimentocross.contracts.store import (
    FencedError,
    ProducerMark,
    Record,
    SequenceGapError,
    Store,
    StoreUnavailableError,
)
from pimentocross.observe.decisions import note
from pimentocross.owner import const

_Refusal: TypeAlias = FencedError | SequenceGapError


class Recordable(Protocol):
    """Something whose newest form is kept under a key."""

    @property
    def key(self) -> str:
        """Its key in the store."""
        ...

    def encode(self) -> bytes | None:
        """Returns its present form, or None to remove the key."""
        ...

    def stored(self) -> None:
        """Notes that the form last encoded is in the store."""
        ...


class Batch:
    """Changes that go to the store together; `stored` once they are there."""

    def __init__(self) -> None:
        """Starts empty."""
        self.items: dict[str, Recordable] = {}
        self.stored = trio.Event()


class Ledger:
    """The cell's records, written under the epoch of one owner.

    Attributes:
        stored_at: When the newest acknowledged append was sent, monotonic.
        appends: Appends that the store acknowledged.
        end: Offset after the newest record that it acknowledged.
    """

    def __init__(
        self, store: Store, topic: str, producer: str, epoch: int
    ) -> None:
        """Takes where to write and under which epoch."""
        self.stored_at = float("-inf")
        self.appends = 0
        self._store = store
        self._topic = topic
        self._producer = producer
        self._epoch = epoch
        self._sequence = 0
        self._open = Batch()
        self._changed = trio.Event()
        self._append_since: float | None = None
        # Tries of the append on its way that failed.
        self._failures = 0

    @property
    def store_away(self) -> bool:
        """True if the store has not taken an append for a while."""
        since = self._append_since
        if since is None:
            return False
        if self._failures >= const.AWAY_FAILURES:
            return True
        return trio.current_time() - since > const.AWAY_AFTER

    def age(self) -> float:
        """Seconds since the newest acknowledged append was sent."""
        return trio.current_time() - self.stored_at

    def put(self, item: Recordable) -> Batch:
        """Has an item's newest form written; returns the batch it is in."""
        self._open.items[item.key] = item
        self._changed.set()
        return self._open

    def put_with_next(self, item: Recordable) -> None:
        """Has an item's newest form written with the next append."""
        self._open.items[item.key] = item

    def barrier(self) -> Batch:
        """Returns a batch that is stored after all changes so far."""
        self._changed.set()
        return self._open

    async def open(self) -> None:
        """Fences every former writer.

        Raises:
            FencedError: There is a newer one.
            StoreUnavailableError: The store did not answer.
        """
        answered = await self._ask([])
        if isinstance(answered.value, Exception):
            raise answered.value
        self.stored_at = answered.asked_at

    async def run(self) -> None:
        """Writes batches for ever.

        Raises:
            FencedError: Another owner has taken over.
        """
        while True:
            with trio.move_on_after(const.BEAT_INTERVAL):
                await self._changed.wait()
                await trio.sleep(const.BATCH_PAUSE)
            batch, self._open = self._open, Batch()
            self._changed = trio.Event()
            await self._write(batch)
            for item in batch.items.values():
                item.stored()
            batch.stored.set()

    async def _write(self, batch: Batch) -> None:
        records = [Record(i.key, i.encode()) for i in batch.items.values()]
        if not records:
            records = [Record(const.BEAT_KEY, b"")]
        for part in _split(records):
            await self._append(part)

    async def _append(self, records: list[Record]) -> None:
        """Appends until the store has acknowledged it."""
        self._append_since = trio.current_time()
        while True:
            try:
                answered = await self._ask(records)
            except StoreUnavailableError as error:
                if not self._failures:
                    note("append_failed", reason=str(error), epoch=self._epoch)
                self._failures += 1
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
        if self._failures:
            note("append_stored", after=self._failures, epoch=self._epoch)
        self._failures = 0
        self._sequence += 1
        self.appends += 1
        self.stored_at = answered.asked_at
        self._append_since = None

    async def _ask(self, records: list[Record]) -> Answered[_Refusal | None]:
        """Appends under this epoch's next number; asks again if overdue.

        An append that the store never got would keep records back after its
        return. The number makes a repeat the same append.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        mark = ProducerMark(self._producer, self._epoch, self._sequence)
        append = partial(self._try, records, mark)
        return await first_answer(
            append, 0.0, const.APPEND_TIMEOUT, AGAIN_AFTER
        )

    async def _try(
        self, records: list[Record], mark: ProducerMark, question: Question
    ) -> _Refusal | None:
        """Returns why the store refuses for good, or None if it doesn't."""
        try:
            await self._store.append(
                self._topic,
                records,
                question.timeout,
                mark=mark,
                fresh=question.again,
            )
        except (FencedError, SequenceGapError) as error:
            return error
        return None


def _split(records: list[Record]) -> list[list[Record]]:
    parts: list[list[Record]] = [[]]
    size = 0
    for record in records:
        length = len(record.key) + len(record.value or b"")
        if size + length > const.APPEND_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(record)
        size += length
    return parts


class LazyRecord:
    """A key with a value made when it is written."""

    def __init__(
        self,
        key: str,
        encode: Callable[[], bytes | None],
    ) -> None:
        """Takes the key and what returns its value."""
        self._key = key
        self._encode = encode

    @property
    def key(self) -> str:
        """Its key in the store."""
        return self._key

    def encode(self) -> bytes | None:
        """Returns its present form."""
        return self._encode()

    def stored(self) -> None:
        """Has nothing to note."""
