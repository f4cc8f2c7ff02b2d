"""Interface to a store of record logs.

A topic is a log of records at offsets that start at 0. A topic keeps the
newest record of each key forever; older records may expire at any time.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from pimentocross.contracts.progress import AnswerProgress


class Record(NamedTuple):
    """A record of a topic.

    Attributes:
        key: The key; a newer record with the same key replaces this one.
        value: The content, or None to remove the key.
        offset: The offset in the topic, or -1 before the append.
    """

    key: str
    value: bytes | None
    offset: int = -1


def record_size(record: Record) -> int:
    """Returns a record's size in the store, with the length of its key."""
    return 1 + len(record.key.encode()) + len(record.value or b"")


class Page(NamedTuple):
    """The result of a read.

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
        epoch: The writer's epoch; from this append on, the store rejects
            lower epochs of the producer.
        sequence: Number of the append within the epoch, from 0.
    """

    producer: str
    epoch: int
    sequence: int


class StoreUnavailableError(Exception):
    """The store gave no usable answer.

    Attributes:
        sent: True if the operation may have taken effect, or still may.
        received: Bytes of incomplete answers that have arrived.
    """

    def __init__(self, reason: str, *, sent: bool, received: int = 0) -> None:
        """Initializes the error with its reason and the attributes."""
        super().__init__(reason)
        self.sent = sent
        self.received = received


class ConditionFailedError(Exception):
    """The topic did not end at the offset that the append required.

    Attributes:
        end: The offset after the last record of the topic.
    """

    def __init__(self, end: int) -> None:
        """Initializes the error with the end of the topic."""
        super().__init__(f"the log ends at {end}")
        self.end = end


class FencedError(Exception):
    """A writer with a higher epoch has taken over."""


class SequenceGapError(Exception):
    """The append's sequence number is not the next one.

    Attributes:
        expected: The sequence number that the store expects.
    """

    def __init__(self, expected: int) -> None:
        """Initializes the error with the expected sequence number."""
        super().__init__(f"sequence {expected} is expected")
        self.expected = expected


class HistoryExpiredError(Exception):
    """The requested records have expired."""


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
        new_connection: bool = False,
    ) -> int:
        """Appends records, all or none.

        Args:
            topic: Name of the topic.
            records: Records to append; an empty list only registers the
                epoch of `mark`.
            timeout: Seconds to wait for the answer.
            at: Append only if the topic ends at this offset.
            mark: Append at most once, and only if no writer has a higher
                epoch.
            new_connection: See `read`.

        Returns:
            The offset of the first record.

        Raises:
            StoreUnavailableError: The store gave no usable answer.
            ConditionFailedError: The topic does not end at `at`.
            FencedError: The store has seen a higher epoch.
            SequenceGapError: The sequence number of `mark` is not the next
                one.
        """
        ...

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Reads from `start` on, waiting up to `wait` s for a record.

        Args:
            topic: Name of the topic.
            start: The first offset to read.
            wait: Seconds for which the store waits for a record.
            timeout: Seconds to wait for the answer. An answer that is arriving
                may take longer if `progress` is given.
            new_connection: Whether to use no connection that was used before,
                because an answer on one is overdue and all of them may be
                dead.
            progress: Counts the bytes of the answer as they arrive.

        Raises:
            StoreUnavailableError: The store gave no usable answer.
            HistoryExpiredError: Records from `start` on have expired.
        """
        ...

    async def newest(
        self,
        topic: str,
        timeout: float,
        *,
        new_connection: bool = False,
        progress: AnswerProgress | None = None,
    ) -> Page:
        """Returns the newest record of each key; see `read`.

        All records below the returned end are taken into account. Newer ones
        may be included as well, so a read from the end on may repeat some.

        Raises:
            StoreUnavailableError: The store gave no usable answer.
        """
        ...
