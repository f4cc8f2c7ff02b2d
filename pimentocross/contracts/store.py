"""What the coordination parts need of a store of record logs.

A topic is a log of records at offsets, counted from 0. Topics here keep the
newest record of each key for good; older records may go at any time.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol


class Record(NamedTuple):
    """One record.

    Attributes:
        key: What it is about; a newer record of the key replaces it.
        value: Its content, or None to remove the key.
        offset: Where it stands, or -1 before it is appended.
    """

    key: str
    value: bytes | None
    offset: int = -1


class Page(NamedTuple):
    """What a read returns.

    Attributes:
        records: Records in the order of their offsets.
        end: The offset after the last record of the log.
    """

    records: list[Record]
    end: int


class ProducerMark(NamedTuple):
    """Makes an append idempotent and fences former writers.

    Attributes:
        producer: Name that all successive writers share.
        epoch: Of this writer; the store refuses lower ones from then on.
        sequence: Counts the appends of this epoch, from 0.
    """

    producer: str
    epoch: int
    sequence: int


class StoreUnavailableError(Exception):
    """The store did not answer as asked.

    Attributes:
        sent: True if the operation may have taken effect, or still may.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the operation may have happened."""
        super().__init__(reason)
        self.sent = sent


class ConditionFailedError(Exception):
    """The log did not end where the append required.

    Attributes:
        end: Where it ended.
    """

    def __init__(self, end: int) -> None:
        """Notes where the log ended."""
        super().__init__(f"the log ends at {end}")
        self.end = end


class FencedError(Exception):
    """A writer of a higher epoch has taken over."""


class SequenceGapError(Exception):
    """The append's sequence number is not the next one.

    Attributes:
        expected: The number that the store expects.
    """

    def __init__(self, expected: int) -> None:
        """Notes what the store expects."""
        super().__init__(f"sequence {expected} is expected")
        self.expected = expected


class HistoryGoneError(Exception):
    """The records that were asked for have expired."""


class Store(Protocol):
    """Appends to and reads from topics."""

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        timeout: float,
        *,
        at: int | None = None,
        mark: ProducerMark | None = None,
        fresh: bool = False,
    ) -> int:
        """Appends records, all or none.

        Args:
            topic: The log.
            records: What to append; none only sets the mark's epoch.
            timeout: Seconds to wait for the answer.
            at: Append only if the log ends at this offset.
            mark: Append at most once, and only as the newest writer.
            fresh: See `read`.

        Returns:
            The offset of the first record.

        Raises:
            StoreUnavailableError: No usable answer.
            ConditionFailedError: The log ends elsewhere than at `at`.
            FencedError: A higher epoch was seen.
            SequenceGapError: The mark's number is not the next one.
        """
        ...

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        timeout: float,
        *,
        fresh: bool = False,
    ) -> Page:
        """Reads from `start` on, waiting up to `wait` s for a record.

        Args:
            topic: The log.
            start: The first offset.
            wait: Seconds to wait for a record.
            timeout: Seconds to wait for the answer.
            fresh: Trust no connection that was used before: an answer on one is
                overdue, and they may all have gone silent.

        Raises:
            StoreUnavailableError: No usable answer.
            HistoryGoneError: Records from `start` on have expired.
        """
        ...

    async def newest(
        self, topic: str, timeout: float, *, fresh: bool = False
    ) -> Page:
        """Returns the newest record of each key.

        The records are at least as new as the returned end; newer ones may
        be among them, so that reading on from the end may repeat some.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        ...
