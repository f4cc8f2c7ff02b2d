"""The platform's append-only log service, as this project uses it.

The wire form is a guess until the platform's own description arrives; see
`docs/platform-assumptions.md`. Only the client module knows the wire form.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol, TypeAlias

# One record as JSON: at least "id" (unique) and "kind", then its fields.
RecordBody: TypeAlias = dict[str, Any]


class Record(NamedTuple):
    """One record of a stream at its offset."""

    offset: int
    body: RecordBody


class ReadPage(NamedTuple):
    """What a read returns.

    Attributes:
        first_kept: Lowest offset that the service still keeps.
        end: Offset that the next append will get.
        records: Records from the asked offset on, in order, maybe not all.
    """

    first_kept: int
    end: int
    records: list[Record]


class LogUnavailableError(Exception):
    """The log service did not answer as asked.

    Attributes:
        sent: True if the operation may have taken effect all the same.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Notes the reason and whether the operation may have happened."""
        super().__init__(reason)
        self.sent = sent


class LogService(Protocol):
    """Appends to and reads from streams. Offsets start at 0 per stream."""

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        """Appends records in one operation.

        Returns:
            The offset of the first of them.

        Raises:
            LogUnavailableError: No answer; `sent` tells what that may mean.
        """
        ...

    async def read(self, stream: str, start: int, wait: float) -> ReadPage:
        """Reads from `start` on, waiting up to `wait` seconds for a record.

        Raises:
            LogUnavailableError: No answer.
        """
        ...
