"""How long leases that former owners granted may last on each worker.

Failure pattern: owners follow one another while workers leave. What ran there
has to wait until its lease has surely ended; counted anew from each take-over,
that wait has no end. So each owner records on which workers leases may last of
which its own calls don't tell, and for how long. Its successor goes on from
there. The record tells seconds that are left, not moments: clocks of VMs
differ. What passes between the last record and the take-over isn't counted.
"""

from collections.abc import Callable, Iterable, Sequence
import math
from typing import NamedTuple

import trio

from pimentocross.observe.decisions import note
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.work import records
from pimentocross.work.records import LeaseRow, LeasesRecord


class Predecessor(NamedTuple):
    """An owner of before.

    Attributes:
        epoch: Of its claim.
        ended: Whether it surely renews no lease any more.
    """

    epoch: int
    ended: bool


class FormerLeases:
    """Bounds of leases that former owners granted, and their record."""

    def __init__(
        self,
        epoch: int,
        predecessors: Sequence[Predecessor],
        terms: OwnerTerms,
        ledger: Ledger,
        *,
        quiet: bool,
    ) -> None:
        """Takes who owned before, the newest first.

        Args:
            epoch: Of the owner here.
            predecessors: As many as are known.
            terms: Bound leases and renewals.
            ledger: Where the record goes.
            quiet: Whether surely no former owner renews leases any more, told
                by the newest claim alone.
        """
        self._epoch = epoch
        self._terms = terms
        self._ledger = ledger
        self._quiet = quiet
        self._predecessors = list(predecessors)
        self._is_related = False
        self._former: LeasesRecord | None = None
        self._rows: dict[int, LeaseRow] = {}
        # Epochs of the owners whose leases the rows are about, if known.
        self._rows_of: set[int] = set()
        self._began = math.inf
        # Until when leases of each predecessor may last, monotonic, by epoch.
        self._until: dict[int, float] = {}
        self._list_rows: Callable[[], Iterable[LeaseRow]] = tuple
        self._record = LazyRecord(records.LEASES, self._encode)
        self._has_told_rows = False

    def restore(self, value: bytes) -> None:
        """Takes in the newest record of a former owner.

        Raises:
            RecordError: It is of another form.
        """
        self._former = records.decode_leases(value)

    def begin(self) -> None:
        """Counts from now on, as no former owner can write any more."""
        self._began = trio.current_time()
        self._until = {
            former.epoch: self._began + self._lasts(former.ended)
            for former in self._predecessors
        }

    def relate(self) -> None:
        """Relates what a former owner has recorded to who owned since."""
        former, known = self._former, self._predecessors
        epochs = [predecessor.epoch for predecessor in known]
        if former is not None and former.epoch in epochs:
            del known[epochs.index(former.epoch) + 1 :]
            self._rows = {row.number: row for row in former.rows}
            self._rows_of = set(former.formers)
            self._is_related = True

    def begin_record(self, list_rows: Callable[[], Iterable[LeaseRow]]) -> None:
        """Begins a record of its own, now that all lives are known.

        Args:
            list_rows: Returns its rows.
        """
        self._list_rows = list_rows
        self.record()

    def until(self, number: int) -> float:
        """Returns until when leases may last on a life, monotonic."""
        if not self._is_related:
            # Anybody may have granted anything.
            return self._began + self._lasts(self._quiet and self._have_ended())
        row = self._rows.get(number)
        granted = self._predecessors
        if row is not None and row.barred:
            # Whoever wrote the record granted nothing there.
            granted = granted[:-1]
        untils = [self._until[former.epoch] for former in granted]
        if row is not None:
            untils.append(self._row_until(row))
        return max(untils, default=self._began)

    def _row_until(self, row: LeaseRow) -> float:
        until = self._began + row.left
        if not self._rows_of or not self._rows_of <= self._until.keys():
            return until
        # Those owners may have ended since the row was written.
        return min(until, max(self._until[epoch] for epoch in self._rows_of))

    def note_ended(self, epoch: int) -> None:
        """Notes that a former owner surely renews no lease any more."""
        if epoch in self._until:
            until = trio.current_time() + self._terms.lease_most
            self._until[epoch] = min(self._until[epoch], until)
            note("former_owner_ended", epoch=self._epoch, former=epoch)

    def bar(self, worker: Worker) -> None:
        """Lets nothing run on a worker that nobody hears.

        It seems to have left, or this owner never heard it.
        """
        if not worker.barred:
            worker.barred = True
            worker.cleared = trio.Event()
            self.record()

    def clear(self, worker: Worker) -> None:
        """Lets a worker be used again once the record doesn't bar it."""
        worker.barred = False
        worker.cleared = self.record()

    def record(self) -> trio.Event:
        """Has the record written; returns what is set once it is stored."""
        return self._ledger.put(self._record).stored

    def refresh(self) -> None:
        """Has the record written if its rows tell less time by now."""
        if self._has_told_rows:
            self._ledger.put_with_next(self._record)

    def _have_ended(self) -> bool:
        """True if all owners of before that are known had ended at once."""
        return all(former.ended for former in self._predecessors)

    def _lasts(self, ended: bool) -> float:
        """Returns for how many seconds leases of a former owner may last."""
        return self._terms.lease_most if ended else self._terms.loud_for

    def _encode(self) -> bytes:
        rows = list(self._list_rows())
        self._has_told_rows = bool(rows)
        return records.encode_leases(self._epoch, rows, self._formers_of(rows))

    def _formers_of(self, rows: Sequence[LeaseRow]) -> list[int]:
        """Returns whose leases may last there; none if that isn't known."""
        if not self._is_related:
            return []
        now = trio.current_time()
        found = {former.epoch for former in self._predecessors}
        former_rows = (self._rows.get(row.number) for row in rows)
        if any(row and self._began + row.left > now for row in former_rows):
            if not self._rows_of:
                return []
            found |= self._rows_of
        return sorted(
            epoch for epoch in found if self._until.get(epoch, now) >= now
        )
