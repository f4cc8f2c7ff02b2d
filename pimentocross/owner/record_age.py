"""How long ago a former owner wrote a record.

Records hold the seconds that are left of a wait, as the clocks of VMs differ.
The time from the last record to the take-over would not count, and owners that
follow one another without being able to write would wait again and again. So a
record also holds readings of the steady clocks of a few workers: the seconds
that such a clock has counted since then have surely passed.
"""

from collections.abc import Iterable
import math

import trio

from pimentocross.owner import const
from pimentocross.work.records import ClockRow


class RecordAge:
    """The age of a record that a former owner wrote."""

    def __init__(self) -> None:
        """Initializes the age of a record without clocks."""
        self._clocks: dict[int, ClockRow] = {}
        self._written_at = math.inf

    @property
    def written_at(self) -> float:
        """The latest time at which the record may be written, monotonic."""
        return self._written_at

    def restore(self, clocks: Iterable[ClockRow]) -> None:
        """Restores the clocks of the record."""
        self._clocks = {row.number: row for row in clocks}

    def begin(self) -> None:
        """Notes that no former owner can write from now on."""
        self._written_at = trio.current_time()

    def note_clock(self, number: int, born: int, reading: float) -> bool:
        """Counts the time that a clock shows.

        Args:
            number: The number of a worker life.
            born: When the life started, as in `WorkerLife`.
            reading: A reading of its clock that was received just now.

        Returns:
            Whether the record is older than was known before.
        """
        row = self._clocks.pop(number, None)
        if row is None or row.born != born:
            return False
        passed = (reading - row.reading) * (1 - const.CLOCK_DRIFT)
        written_at = trio.current_time() - passed
        is_older = written_at < self._written_at
        self._written_at = min(self._written_at, written_at)
        return is_older
