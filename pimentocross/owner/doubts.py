"""Records what silent workers carried, until it is known what became of them.

Failure pattern: a worker crashes, and its owner is killed before the next life
of its machine is known. How soon after its start a run went with its worker is
seen by that owner only, so that the next one can't tell what the crash proves.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.owner.life_numbers import KnownLife
from pimentocross.work import records
from pimentocross.work.crash_history import HELD_MOST
from pimentocross.work.records import DoubtRecord, DoubtRow
from pimentocross.work.spec import TaskName


class _Doubt(NamedTuple):
    """A life that fell silent, what may have crashed it, and for how long."""

    life: KnownLife
    rows: dict[tuple[TaskName, int], DoubtRow]
    until: float

    def encode(self) -> bytes:
        return records.encode_doubt(*self.life, tuple(self.rows.values()))


class Doubts:
    """Worker lives that fell silent, until they are heard or replaced."""

    def __init__(self, ledger: Ledger) -> None:
        """Takes where they are recorded."""
        self._ledger = ledger
        self._doubts: dict[str, _Doubt] = {}

    def restore(self, record: DoubtRecord) -> None:
        """Takes in what a former owner has recorded."""
        rows = {(row.task, row.run): row for row in record.rows}
        life = KnownLife(record.life, record.machine, record.born)
        until = trio.current_time() + HELD_MOST
        self._doubts[record.life] = _Doubt(life, rows, until)

    def restored(self) -> Iterator[tuple[KnownLife, Sequence[DoubtRow]]]:
        """Yields the lives of which a former owner has recorded something."""
        for life, rows, _ in self._doubts.values():
            yield life, tuple(rows.values())

    def note_silent(self, life: WorkerLife, rows: Sequence[DoubtRow]) -> None:
        """Records what may have crashed a life that has fallen silent.

        If nothing may have, that tells of its other runs that they had lived.
        """
        former = self._doubts.get(life.id)
        doubt = _Doubt(
            KnownLife(life.id, life.machine, life.born),
            dict(former.rows) if former is not None else {},
            trio.current_time() + HELD_MOST,
        )
        for row in rows:
            doubt.rows[row.task, row.run] = row
        self._doubts[life.id] = doubt
        self._put(life.id, doubt)

    def knows(self, life: WorkerLife) -> bool:
        """True if a life's silence is recorded."""
        doubt = self._doubts.get(life.id)
        return doubt is not None and not life.is_after(doubt.life.born)

    def settle(self, life: str) -> None:
        """Forgets a life, as it is known what became of it."""
        if self._doubts.pop(life, None) is not None:
            self._put(life, None)

    def sweep(self) -> None:
        """Forgets lives of which nothing has been heard for long."""
        now = trio.current_time()
        for life, doubt in list(self._doubts.items()):
            if doubt.until < now:
                self.settle(life)

    def _put(self, life: str, doubt: _Doubt | None) -> None:
        self._ledger.put(
            LazyRecord(
                records.DOUBTS + life,
                lambda: None if doubt is None else doubt.encode(),
            )
        )
