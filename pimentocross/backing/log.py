"""Interface of the platform's append-only log service.

The wire format is an assumption until the platform's specification is
available; see `docs/platform-assumptions.md`. Only the client module depends
on it.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol, TypeAlias

from pimentocross.contracts.progress import AnswerProgress

# A record as JSON: "id" (unique), "kind" and the fields of this kind.
RecordBody: TypeAlias = dict[str, Any]


class Record(NamedTuple):
    """A record of a stream and its offset."""

    offset: int
    body: RecordBody


class ReadPage(NamedTuple):
    """Result of a read.

    Attributes:
        first_kept: Lowest offset that the service still retains.
        end: Offset that the next appended record will get.
        records: Records from the requested offset on, in order; possibly not
            up to the end.
    """

    first_kept: int
    end: int
    records: list[Record]


class LogUnavailableError(Exception):
    """The log service did not answer, or reported an error.

    Attributes:
        sent: Whether the operation may have taken effect anyway.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Initializes the error; `sent` is true if it may have taken effect."""
        super().__init__(reason)
        self.sent = sent


class LogService(Protocol):
    """Appends to and reads from streams, whose offsets start at 0."""

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        """Appends records in one operation.

        Returns:
            The offset of the first appended record.

        Raises:
            LogUnavailableError: The append failed, or its result is unknown;
                see `sent`.
        """
        ...

    async def read(
        self,
        stream: str,
        start: int,
        wait: float,
        progress: AnswerProgress | None = None,
    ) -> ReadPage:
        """Reads from `start` on, waiting up to `wait` seconds for a record.

        Args:
            stream: Name of the stream.
            start: The first offset to read.
            wait: Seconds for which the service waits for a record.
            progress: Counts the bytes of the answer as they arrive.

        Raises:
            LogUnavailableError: The read failed.
        """
        ...
