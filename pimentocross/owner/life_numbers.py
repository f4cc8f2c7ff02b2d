"""Numbers that identify worker lives in stored records."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.work import records
from pimentocross.work.records import WorkerRecord


class KnownLife(NamedTuple):
    """A worker life that has a number.

    Attributes:
        id: Its worker id.
        machine: The id of its VM.
        born: When it started, as in `WorkerLife`; 0 if unknown.
    """

    id: str
    machine: str
    born: int


_UNKNOWN: Final = KnownLife("", "", 0)


class LifeNumbers:
    """Assigns a unique number to each worker life and records it."""

    def __init__(self, ledger: Ledger) -> None:
        """Initializes an empty mapping that is recorded in the ledger."""
        self._ledger = ledger
        self._known_lives: dict[int, KnownLife] = {}
        self._next_number = 0
        # Numbers that this owner has assigned.
        self._given_here: set[int] = set()

    def restore(self, number: int, record: WorkerRecord) -> None:
        """Restores a life's number from its stored record."""
        born = self.find(number).born
        self._known_lives[number] = KnownLife(record.life, record.machine, born)
        self._next_number = max(self._next_number, number + 1)

    def restore_born(self, number: int, born: int) -> None:
        """Restores the birth time of the life with a number."""
        self._known_lives[number] = self.find(number)._replace(born=born)

    def reserve(self, numbers: Iterable[int]) -> None:
        """Assigns none of some numbers that records still name."""
        highest = max(numbers, default=-1)
        self._next_number = max(self._next_number, highest + 1)

    def is_known(self, number: int) -> bool:
        """True unless the life of a number has ended and was removed."""
        return number in self._known_lives

    def is_inherited(self, number: int) -> bool:
        """True if a former owner has assigned a number."""
        return number not in self._given_here

    def find(self, number: int) -> KnownLife:
        """Returns the life of a number, or one with an empty id if unknown."""
        return self._known_lives.get(number, _UNKNOWN)

    def number_of(self, life: WorkerLife) -> int:
        """Returns the number of a life, and assigns one if it has none."""
        for number, known in self._known_lives.items():
            if known.id == life.id and known.born in (0, life.born):
                self.note_born(number, life.born)
                return number
        number = self._next_number
        self._next_number += 1
        self._given_here.add(number)
        self._known_lives[number] = KnownLife(life.id, life.machine, 0)
        self._put_record(
            records.WORKER,
            number,
            lambda: records.encode_worker(life.id, life.machine),
        )
        self.note_born(number, life.born)
        return number

    def note_born(self, number: int, born: int) -> None:
        """Records the birth time of the life with a number."""
        known = self._known_lives.get(number)
        if known is None:
            # The life has ended, and its directory entry is still changing.
            return
        if born and known.born != born:
            self._known_lives[number] = known._replace(born=born)
            self._put_record(
                records.BORN, number, lambda: records.encode_born(born)
            )

    def forget(self, number: int) -> None:
        """Removes the number of a life that has ended."""
        known = self._known_lives.pop(number, None)
        self._given_here.discard(number)
        if known is None:
            return
        self._put_record(records.WORKER, number, _encode_removal)
        if known.born:
            self._put_record(records.BORN, number, _encode_removal)

    def _put_record(
        self, kind: str, number: int, encode: Callable[[], bytes | None]
    ) -> None:
        self._ledger.put(LazyRecord(kind + str(number), encode))


def _encode_removal() -> None:
    """Encodes the removal of a key."""
