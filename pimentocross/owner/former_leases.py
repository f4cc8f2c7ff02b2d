"""Bounds how long leases that former owners granted may last on each worker.

Failure pattern: owners follow one another while workers leave. Tasks that ran
there must wait until their lease has surely ended, and if each owner counted
that wait from its own take-over it would never end. Each owner therefore
records the workers on which leases may last that its own calls don't show, and
for how long, and its successor continues from this record; see `record_age` for
the time between the two.

A former owner that nobody can ask may be cut off and go on renewing leases.
Once it can't be confirmed any more, its leases end in a known time; see
`witnesses`.
"""

from collections.abc import Callable, Iterable, Sequence
import math
from typing import NamedTuple

import trio

from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.record_age import RecordAge
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.work import records
from pimentocross.work.records import ClockRow, LeaseRow, LeasesRecord


class Predecessor(NamedTuple):
    """A former owner of the cell.

    Attributes:
        epoch: The epoch of its claim.
        ended: Whether it surely renews no leases any more.
        confirms: Whether it renews leases only while it is confirmed, which
            owners of earlier versions don't; see `owner.witnesses`.
    """

    epoch: int
    ended: bool
    confirms: bool = False


class FormerLeases:
    """Bounds on leases that former owners granted, and their record."""

    def __init__(
        self,
        epoch: int,
        predecessors: Sequence[Predecessor],
        terms: OwnerTerms,
        ledger: Ledger,
        *,
        quiet: bool,
    ) -> None:
        """Initializes the bounds from the known former owners.

        Args:
            epoch: The epoch of this owner.
            predecessors: The former owners, the newest first, as far as known.
            terms: The limits for leases and renewals.
            ledger: Writes the record.
            quiet: Whether surely no former owner renews leases any more,
                according to the newest claim alone.
        """
        self._epoch = epoch
        self._terms = terms
        self._ledger = ledger
        self._quiet = quiet
        self._predecessors = list(predecessors)
        self._confirming = {f.epoch for f in predecessors if f.confirms}
        self._record_applies = False
        self._former: LeasesRecord | None = None
        self._rows: dict[int, LeaseRow] = {}
        # Epochs of the owners that granted the leases in the rows, if known.
        self._rows_granted_by: set[int] = set()
        self._began = math.inf
        # Monotonic time until which the leases of each predecessor may last, by
        # epoch.
        self._lease_until: dict[int, float] = {}
        # Monotonic time until which each predecessor may renew leases.
        self._renewals_until: dict[int, float] = {}
        self._list_rows: Callable[[], Iterable[LeaseRow]] = tuple
        self._list_clocks: Callable[[], Iterable[ClockRow]] = tuple
        self._former_age = RecordAge()
        self._record = LazyRecord(records.LEASES, self._encode)
        self._has_recorded_rows = False

    def restore(self, value: bytes) -> None:
        """Restores the newest record of a former owner.

        Raises:
            RecordError: The record has an unknown format.
        """
        self._former = records.decode_leases(value)
        self._former_age.restore(self._former.clocks)

    def begin(self) -> None:
        """Starts all waits now, as no former owner can write any more."""
        self._began = trio.current_time()
        self._former_age.begin()
        self._lease_until = {
            former.epoch: self._began + self._longest_lease(former.ended)
            for former in self._predecessors
        }
        self._renewals_until = {
            former.epoch: self._began
            + (0.0 if former.ended else const.RENEWALS_WITHOUT_STORE)
            for former in self._predecessors
        }
        note(
            "former_leases",
            epoch=self._epoch,
            formers=[
                (f.epoch, f.ended, round(self._longest_lease(f.ended), 3))
                for f in self._predecessors
            ],
        )

    def apply_former_record(self) -> None:
        """Applies the restored record if a known predecessor wrote it.

        Its rows cover the leases of all owners before that predecessor.
        """
        former, known = self._former, self._predecessors
        epochs = [predecessor.epoch for predecessor in known]
        if former is not None and former.epoch in epochs:
            del known[epochs.index(former.epoch) + 1 :]
            longest = self._terms.unreleased_lease_most
            self._rows = {
                row.number: row._replace(left=min(row.left, longest))
                for row in former.rows
            }
            self._rows_granted_by = set(former.formers)
            self._record_applies = True

    def start_recording(
        self,
        list_rows: Callable[[], Iterable[LeaseRow]],
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

    def until(self, number: int) -> float:
        """Returns the time until which leases may last on a worker life.

        Args:
            number: The number of the life.

        Returns:
            The monotonic time.
        """
        if not self._record_applies:
            # Without a valid record any former owner may have granted leases.
            return self.leases_until
        row = self._rows.get(number)
        grantors = self._predecessors
        if row is not None and row.barred:
            # The owner that wrote the record, the oldest one here, granted no
            # leases there.
            grantors = grantors[:-1]
        untils = [self._lease_until[former.epoch] for former in grantors]
        if row is not None:
            untils.append(self._row_until(row))
        return max(untils, default=self._began)

    @property
    def leases_until(self) -> float:
        """Until when leases that former owners grant on any life may last."""
        if not self._record_applies:
            return self._began + self._longest_lease(
                self._quiet and self._all_have_ended()
            )
        return max(self._lease_until.values(), default=self._began)

    @property
    def record_epoch(self) -> int | None:
        """Epoch of the owner that wrote the restored record, or None."""
        return None if self._former is None else self._former.epoch

    @property
    def is_record_of_last(self) -> bool:
        """Whether the last known owner wrote the restored record."""
        return self._record_applies and len(self._predecessors) == 1

    def was_barred(self, number: int) -> bool:
        """Returns whether the record says that a life was barred."""
        row = self._rows.get(number)
        return row is not None and row.barred

    @property
    def renewals_until(self) -> float:
        """Until when former owners may send calls that renew leases."""
        if not self._record_applies:
            over = self._quiet and self._all_have_ended()
            wait = 0.0 if over else const.RENEWALS_WITHOUT_STORE
            return self._began + wait
        return max(self._renewals_until.values(), default=self._began)

    def note_clock(self, number: int, born: int, reading: float) -> bool:
        """Counts the time that a worker's clock shows; see `RecordAge`.

        Returns:
            Whether it may shorten a wait.
        """
        return self._former_age.note_clock(number, born, reading)

    def _row_until(self, row: LeaseRow) -> float:
        until = self._former_age.written_at + row.left
        if (
            not self._rows_granted_by
            or not self._rows_granted_by <= self._lease_until.keys()
        ):
            return until
        # The owners that granted the leases may have ended after the row was
        # written, which shortens the wait.
        return min(
            until,
            max(self._lease_until[epoch] for epoch in self._rows_granted_by),
        )

    def _row_lasts(self, row: LeaseRow, now: float) -> bool:
        return self._former_age.written_at + row.left > now

    def note_ended(self, epoch: int) -> None:
        """Notes that a former owner surely renews no leases any more."""
        if epoch in self._lease_until:
            until = trio.current_time() + self._terms.lease_most
            self._lease_until[epoch] = min(self._lease_until[epoch], until)
            self._bound_renewals(epoch, trio.current_time())
            note("former_owner_ended", epoch=self._epoch, former=epoch)

    def note_fenced(self) -> None:
        """Notes that no former owner is confirmed any more."""
        until = trio.current_time() + self._terms.confirmed_lease_most
        for epoch in self._confirming:
            self._lease_until[epoch] = min(self._lease_until[epoch], until)
            self._bound_renewals(epoch, until)

    def _bound_renewals(self, epoch: int, until: float) -> None:
        self._renewals_until[epoch] = min(self._renewals_until[epoch], until)

    def bar(self, worker: Worker) -> None:
        """Bars a worker that doesn't answer from running anything.

        It seems to have left, or it never answered this owner.
        """
        if not worker.barred:
            worker.barred = True
            worker.unbar_recorded = trio.Event()
            self.record()

    def clear(self, worker: Worker) -> None:
        """Lifts the bar. The worker is usable once the new record is stored."""
        worker.barred = False
        worker.unbar_recorded = self.record()

    def record(self) -> trio.Event:
        """Writes the record; returns an event that is set once it is stored."""
        return self._ledger.put(self._record).stored

    def refresh(self) -> None:
        """Rewrites the record with the time that is left by now."""
        if self._has_recorded_rows:
            self._ledger.put_with_next(self._record)

    def _all_have_ended(self) -> bool:
        """Returns whether all known former owners had ended by the claim."""
        return all(former.ended for former in self._predecessors)

    def _longest_lease(self, ended: bool) -> float:
        """Returns the most seconds that leases of a former owner may last."""
        return (
            self._terms.lease_most
            if ended
            else self._terms.unreleased_lease_most
        )

    def _encode(self) -> bytes:
        rows = list(self._list_rows())
        self._has_recorded_rows = bool(rows)
        return records.encode_leases(
            self._epoch,
            rows,
            self._formers_of(rows),
            tuple(self._list_clocks()) if rows else (),
        )

    def _formers_of(self, rows: Sequence[LeaseRow]) -> list[int]:
        """Returns the epochs of the owners whose leases may last.

        Args:
            rows: The worker lives that are recorded.

        Returns:
            The epochs, or nothing if they aren't all known.
        """
        if not self._record_applies:
            return []
        now = trio.current_time()
        found = {former.epoch for former in self._predecessors}
        former_rows = (self._rows.get(row.number) for row in rows)
        if any(row and self._row_lasts(row, now) for row in former_rows):
            if not self._rows_granted_by:
                return []
            found |= self._rows_granted_by
        lasting = [e for e in found if self._lease_until.get(e, now) >= now]
        # Without any, the rows tell of leases that this owner has granted.
        return sorted(lasting) or [self._epoch]
