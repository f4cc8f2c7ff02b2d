"""Stores what entry VMs take in for an owner, gathered into few calls."""

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

# Records gathered into one append, seconds.
_BATCH_PAUSE: Final = 0.015
# A store that takes longer is away for a caller that waits, seconds.
_APPEND_TIMEOUT: Final = 1.0
# Records that wait for an append on one VM: as many as its callers send within
# a few seconds, and some megabytes.
_WAITING_MOST: Final = 500
# After a failed append nothing is tried for this long, seconds: callers of a
# store that is away are told so at once.
_AWAY_PAUSE: Final = 0.3


class _Entry:
    """A record on its way to the store.

    Attributes:
        record: The record.
        done: Set once its append has ended.
        error: Why it isn't known to be stored, or None.
    """

    def __init__(self, record: Record) -> None:
        """Takes the record."""
        self.record = record
        self.done = trio.Event()
        self.error: StoreUnavailableError | None = None


class IntakeWriter:
    """Appends records to the topic, gathered into few calls."""

    def __init__(self, store: Store) -> None:
        """Takes the store."""
        self._store = store
        self._waiting: list[_Entry] = []
        self._wake = trio.Event()
        self._away_until = float("-inf")

    async def put(self, record: Record) -> None:
        """Stores a record.

        Raises:
            StoreUnavailableError: It isn't stored, or may be if `sent`.
        """
        if trio.current_time() < self._away_until:
            raise StoreUnavailableError("store away", sent=False)
        if len(self._waiting) >= _WAITING_MOST:
            raise StoreUnavailableError("too much waits for it", sent=False)
        entry = _Entry(record)
        self._waiting.append(entry)
        self._wake.set()
        await entry.done.wait()
        if entry.error is not None:
            raise entry.error

    async def run(self) -> None:
        """Appends what comes, for ever."""
        while True:
            await self._wake.wait()
            await trio.sleep(_BATCH_PAUSE)
            entries = self._take_some()
            if not self._waiting:
                self._wake = trio.Event()
            error = await self._append([entry.record for entry in entries])
            for entry in entries:
                entry.error = error
                entry.done.set()

    def _take_some(self) -> list[_Entry]:
        """Returns those that are next and fit into one append."""
        taken = 0
        room = APPEND_BYTES
        for entry in self._waiting:
            room -= len(entry.record.key) + len(entry.record.value or b"")
            if room < 0 and taken:
                break
            taken += 1
        some, self._waiting = self._waiting[:taken], self._waiting[taken:]
        return some

    async def _append(
        self, batch: list[Record]
    ) -> StoreUnavailableError | None:
        if trio.current_time() < self._away_until:
            # They came while the append before was failing.
            return StoreUnavailableError("store away", sent=False)

        async def ask(question: RequestAttempt) -> int:
            return await self._store.append(
                TOPIC, batch, question.timeout, new_connection=question.is_hedge
            )

        try:
            await first_answer(ask, 0.0, _APPEND_TIMEOUT, HEDGE_DELAY)
        except StoreUnavailableError as error:
            self._away_until = trio.current_time() + _AWAY_PAUSE
            return error
        return None
