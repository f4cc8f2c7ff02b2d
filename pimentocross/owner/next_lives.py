"""Bounds the leases that lives granted for calls to former lives of their id.

Failure pattern: a worker starts again under its id. A renewal or a start that
was sent to the former life reaches the next one before any call that is meant
for it. Its deadline, a reading of the former clock, may lie far ahead, and the
worker grants its longest lease. The owner that fences the life knows when that
lease ends, but it is killed, and its successor doesn't reach the worker.

Each owner therefore records the lives that no owner has fenced yet, and for how
long those that were fenced recently may hold such a lease. A life that the
newest record knew and left out was fenced long ago.
"""

from collections.abc import Callable, Iterable
import math

import trio

from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.record_age import RecordAge
from pimentocross.owner.terms import OwnerTerms
from pimentocross.work import records
from pimentocross.work.records import (
    ClockRow,
    NextLifeRow,
    NextLivesRecord,
)

_NEVER = float("-inf")


class NextLives:
    """What former owners recorded of next lives, and the record of this one."""

    def __init__(
        self,
        epoch: int,
        ledger: Ledger,
        terms: OwnerTerms,
        *,
        has_formers: bool,
    ) -> None:
        """Initializes it without a former record.

        Args:
            epoch: The epoch of this owner.
            ledger: Writes the record.
            terms: The limits for leases.
            has_formers: Whether a former owner is known.
        """
        self._epoch = epoch
        self._has_formers = has_formers
        self._ledger = ledger
        self._lease_most = terms.granted_lease_most
        self._record = LazyRecord(records.NEXT_LIVES, self._encode)
        self._former: NextLivesRecord | None = None
        # The rows of the former record by number, None if it doesn't apply.
        self._rows: dict[int, NextLifeRow] | None = None
        self._offset = -1
        # Offset of the newest record of each restored life.
        self._life_offsets: dict[int, int] = {}
        self._age = RecordAge()
        self._began = 0.0
        self._has_recorded_rows = False
        # Set by `start_recording`. A record before that would replace the
        # former one without its rows.
        self._list_rows: Callable[[], Iterable[NextLifeRow]] | None = None
        self._list_clocks: Callable[[], Iterable[ClockRow]] = tuple

    @property
    def has_formers(self) -> bool:
        """Whether a former owner may have called workers."""
        return self._has_formers

    def restore(self, value: bytes, offset: int) -> None:
        """Restores the newest record of a former owner.

        Args:
            value: The record.
            offset: Its offset in the topic.

        Raises:
            RecordError: The record has an unknown format.
        """
        self._has_formers = True
        self._former = records.decode_next_lives(value)
        self._offset = offset

    def restore_life(self, number: int, offset: int) -> None:
        """Notes a life that a former owner recorded.

        Args:
            number: The number of the life.
            offset: The offset of the record in the topic.
        """
        self._has_formers = True
        newest = max(offset, self._life_offsets.get(number, offset))
        self._life_offsets[number] = newest

    def begin(self) -> None:
        """Starts all waits now, as no former owner can write any more."""
        self._began = trio.current_time()
        self._age.begin()

    def apply_former_record(self, leases_epoch: int | None) -> None:
        """Applies the restored record if no other owner has acted since.

        Args:
            leases_epoch: Epoch of the newest record of leases, which each owner
                writes before it starts anything, None if there is none.
        """
        former = self._former
        if former is not None and former.epoch == leases_epoch:
            self._rows = {row.number: row for row in former.rows}
            self._age.restore(former.clocks)

    def start_recording(
        self,
        list_rows: Callable[[], Iterable[NextLifeRow]],
        list_clocks: Callable[[], Iterable[ClockRow]],
    ) -> None:
        """Starts this owner's record. All worker lives must be known.

        Args:
            list_rows: Returns the rows of the record.
            list_clocks: Returns the present clocks of some workers.
        """
        self._list_rows = list_rows
        self._list_clocks = list_clocks
        self.record()

    @property
    def is_former_known(self) -> bool:
        """Whether the record of the last owner that acted applies."""
        return self._rows is not None

    def may_be_unfenced(self, number: int) -> bool:
        """Returns whether perhaps no former owner has fenced a restored life.

        A call to a former life of its id may then still come to it.
        """
        offset = self._life_offsets.get(number, math.inf)
        if self._rows is None or offset > self._offset:
            return True
        row = self._rows.get(number)
        return row is not None and not row.fenced

    def was_unfenced(self, number: int) -> bool:
        """Returns whether the former owner had surely not fenced a life."""
        row = (self._rows or {}).get(number)
        return row is not None and not row.fenced

    def until(self, number: int) -> float:
        """Returns until when leases for calls to former lives may last.

        Args:
            number: The number of a life that a former owner recorded.

        Returns:
            The monotonic time. Nothing was started on a life that no owner had
            fenced, but for starts that are tracked themselves.
        """
        if number not in self._life_offsets:
            return _NEVER
        if self._rows is None:
            return self._began + self._lease_most
        row = self._rows.get(number)
        if row is None or not row.fenced:
            return _NEVER
        return self._age.written_at + min(row.left, self._lease_most)

    def note_clock(self, number: int, born: int, reading: float) -> bool:
        """Counts the time that a worker's clock shows; see `RecordAge`.

        Returns:
            Whether it may shorten a wait.
        """
        return self._age.note_clock(number, born, reading)

    def record(self) -> None:
        """Writes the record, once all worker lives are known."""
        if self._list_rows is not None:
            self._ledger.put(self._record)

    def refresh(self) -> None:
        """Rewrites the record with the time that is left by now."""
        if self._has_recorded_rows:
            self._ledger.put_with_next(self._record)

    def _encode(self) -> bytes:
        rows = tuple(self._list_rows()) if self._list_rows is not None else ()
        self._has_recorded_rows = bool(rows)
        clocks = tuple(self._list_clocks()) if rows else ()
        return records.encode_next_lives(self._epoch, rows, clocks)
