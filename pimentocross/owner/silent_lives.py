"""Records the runs of silent workers until each worker's fate is known.

Failure pattern: a worker crashes, and its owner is killed before the next life
of the VM is known. Only that owner saw how soon after its start a run ended
with its worker, so without a record its successor can't tell whether the run
may have caused the crash.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.life_numbers import KnownLife
from pimentocross.work import records
from pimentocross.work.crash_history import MAX_UNDECIDED_WAIT
from pimentocross.work.records import SilentLifeRecord, SuspectRunRow
from pimentocross.work.spec import TaskName


class _SilentLife(NamedTuple):
    """A silent worker life and the runs that may have crashed it.

    Attributes:
        life: The worker life.
        rows: Runs that may have crashed it, by task and number.
        until: When the record expires, monotonic.
    """

    life: KnownLife
    rows: dict[tuple[TaskName, int], SuspectRunRow]
    until: float

    def encode(self) -> bytes:
        return records.encode_silent_life(*self.life, tuple(self.rows.values()))


class SilentLives:
    """Worker lives that went silent, until they answer or are replaced."""

    def __init__(self, ledger: Ledger) -> None:
        """Initializes the records, which are written to a ledger."""
        self._ledger = ledger
        self._lives: dict[str, _SilentLife] = {}

    def restore(self, record: SilentLifeRecord) -> None:
        """Restores the record that a former owner wrote of one life."""
        rows = {(row.task, row.run): row for row in record.rows}
        life = KnownLife(record.life, record.machine, record.born)
        until = trio.current_time() + MAX_UNDECIDED_WAIT
        self._lives[record.life] = _SilentLife(life, rows, until)

    def restored(self) -> Iterator[tuple[KnownLife, Sequence[SuspectRunRow]]]:
        """Yields the restored lives, each with its recorded runs."""
        for life, rows, _ in self._lives.values():
            yield life, tuple(rows.values())

    def note_silent(
        self, life: WorkerLife, rows: Sequence[SuspectRunRow]
    ) -> None:
        """Records the runs that may have crashed a life that went silent.

        An empty record is written too: it says that all runs of the life had
        lived long enough not to be the cause.
        """
        former = self._lives.get(life.id)
        entry = _SilentLife(
            KnownLife(life.id, life.machine, life.born),
            dict(former.rows) if former is not None else {},
            trio.current_time() + MAX_UNDECIDED_WAIT,
        )
        for row in rows:
            entry.rows[row.task, row.run] = row
        self._lives[life.id] = entry
        self._put(life.id, entry)

    def has_record(self, life: WorkerLife) -> bool:
        """Returns whether a record of the life exists."""
        entry = self._lives.get(life.id)
        return entry is not None and not life.is_after(entry.life.born)

    def forget(self, life: str) -> None:
        """Removes the record of a life whose fate is known."""
        if self._lives.pop(life, None) is not None:
            self._put(life, None)

    def sweep(self) -> None:
        """Removes the records of lives that have been silent for too long."""
        now = trio.current_time()
        for life, entry in list(self._lives.items()):
            if entry.until < now:
                self.forget(life)

    def _put(self, life: str, entry: _SilentLife | None) -> None:
        self._ledger.put(
            LazyRecord(
                records.SILENT_LIVES + life,
                lambda: None if entry is None else entry.encode(),
            )
        )
