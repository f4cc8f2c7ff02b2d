"""Numbers of worker lives, by which records name them."""

from collections.abc import Callable
from typing import Final, NamedTuple

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.work import records
from pimentocross.work.records import WorkerRecord


class KnownLife(NamedTuple):
    """A life that has a number.

    Attributes:
        id: Its id.
        machine: The machine that it is a life of.
        born: As in `WorkerLife`; 0 if it isn't known.
    """

    id: str
    machine: str
    born: int


_UNKNOWN: Final = KnownLife("", "", 0)


class LifeNumbers:
    """Gives each life a number of its own, which is in the store."""

    def __init__(self, ledger: Ledger) -> None:
        """Starts empty; takes where numbers are recorded."""
        self._ledger = ledger
        self._known: dict[int, KnownLife] = {}
        self._next = 0
        # Numbers that no former owner has given.
        self._given: set[int] = set()

    def restore(self, number: int, record: WorkerRecord) -> None:
        """Takes in a number that is in the store."""
        born = self.find(number).born
        self._known[number] = KnownLife(record.life, record.machine, born)
        self._next = max(self._next, number + 1)

    def restore_born(self, number: int, born: int) -> None:
        """Takes in when the life of a number started."""
        self._known[number] = self.find(number)._replace(born=born)

    def is_known(self, number: int) -> bool:
        """True unless the life of a number has ended for a former owner."""
        return number in self._known

    def is_inherited(self, number: int) -> bool:
        """True if a former owner has given a number."""
        return number not in self._given

    def find(self, number: int) -> KnownLife:
        """Returns the life of a number, one without an id if it has none."""
        return self._known.get(number, _UNKNOWN)

    def number_of(self, life: WorkerLife) -> int:
        """Returns a life's number, a new one if it has none."""
        for number, known in self._known.items():
            if known.id == life.id and known.born in (0, life.born):
                self.note_born(number, life.born)
                return number
        number = self._next
        self._next += 1
        self._given.add(number)
        self._known[number] = KnownLife(life.id, life.machine, 0)
        self._put(
            records.WORKER,
            number,
            lambda: records.encode_worker(life.id, life.machine),
        )
        self.note_born(number, life.born)
        return number

    def note_born(self, number: int, born: int) -> None:
        """Records when the life of a number started."""
        known = self._known.get(number)
        if known is None:
            # It has ended, and its entry changes.
            return
        if born and known.born != born:
            self._known[number] = known._replace(born=born)
            self._put(records.BORN, number, lambda: records.encode_born(born))

    def forget(self, number: int) -> None:
        """Drops the number of a life that has ended."""
        known = self._known.pop(number, None)
        self._given.discard(number)
        if known is None:
            return
        self._put(records.WORKER, number, _nothing)
        if known.born:
            self._put(records.BORN, number, _nothing)

    def _put(
        self, kind: str, number: int, encode: Callable[[], bytes | None]
    ) -> None:
        self._ledger.put(LazyRecord(kind + str(number), encode))


def _nothing() -> None:
    """Returns what removes a key."""
