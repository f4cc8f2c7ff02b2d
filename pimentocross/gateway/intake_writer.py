"""Writes requests that an entry VM accepts without the owner to the store."""

from typing import Final

import trio

from pimentocross.contracts.hedging import (
    HEDGE_DELAY,
    RequestAttempt,
    first_answer,
)
from pimentocross.contracts.store import Record, Store, StoreUnavailableError
from pimentocross.owner.const import APPEND_BYTES
from pimentocross.owner.intake import TOPIC

# Seconds for which records are collected into one append.
_BATCH_PAUSE: Final = 0.015
# Seconds after which the store counts as unavailable: a caller waits for it.
_APPEND_TIMEOUT: Final = 1.0
# Limit of records that wait for an append on one VM: as many as its callers
# send within a few seconds, which takes some megabytes.
_MAX_WAITING_RECORDS: Final = 500
# Seconds after a failed append in which further ones fail immediately, so that
# callers get an answer at once while the store is away.
_RETRY_PAUSE: Final = 0.3


class _Entry:
    """A record that waits for its append.

    Attributes:
        record: The record.
        done: Set once the append has succeeded or failed.
        error: Why the append failed, or None.
    """

    def __init__(self, record: Record) -> None:
        """Initializes the entry as not yet appended."""
        self.record = record
        self.done = trio.Event()
        self.error: StoreUnavailableError | None = None


class IntakeWriter:
    """Appends records to the intake topic in batches."""

    def __init__(self, store: Store) -> None:
        """Initializes the writer; `run` must run for it to write."""
        self._store = store
        self._waiting: list[_Entry] = []
        self._wake = trio.Event()
        self._away_until = float("-inf")

    async def put(self, record: Record) -> None:
        """Stores a record and returns once it is durable.

        Raises:
            StoreUnavailableError: The record isn't stored; if `sent` is set, it
                may be stored.
        """
        if trio.current_time() < self._away_until:
            raise StoreUnavailableError("store away", sent=False)
        if len(self._waiting) >= _MAX_WAITING_RECORDS:
            raise StoreUnavailableError("too much waits for it", sent=False)
        entry = _Entry(record)
        self._waiting.append(entry)
        self._wake.set()
        await entry.done.wait()
        if entry.error is not None:
            raise entry.error

    async def run(self) -> None:
        """Appends the records of `put` in batches, forever."""
        while True:
            await self._wake.wait()
            await trio.sleep(_BATCH_PAUSE)
            entries = self._take_batch()
            if not self._waiting:
                self._wake = trio.Event()
            error = await self._append([entry.record for entry in entries])
            for entry in entries:
                entry.error = error
                entry.done.set()

    def _take_batch(self) -> list[_Entry]:
        """Removes and returns the next entries that fit into one append."""
        count = 0
        bytes_left = APPEND_BYTES
        for entry in self._waiting:
            bytes_left -= len(entry.record.key) + len(entry.record.value or b"")
            if bytes_left < 0 and count:
                break
            count += 1
        next_batch, self._waiting = self._waiting[:count], self._waiting[count:]
        return next_batch

    async def _append(
        self, batch: list[Record]
    ) -> StoreUnavailableError | None:
        if trio.current_time() < self._away_until:
            # These records arrived while the previous append was failing.
            return StoreUnavailableError("store away", sent=False)

        async def ask(question: RequestAttempt) -> int:
            return await self._store.append(
                TOPIC, batch, question.timeout, new_connection=question.is_hedge
            )

        try:
            await first_answer(ask, 0.0, _APPEND_TIMEOUT, HEDGE_DELAY)
        except StoreUnavailableError as error:
            self._away_until = trio.current_time() + _RETRY_PAUSE
            return error
        return None
