"""A queue of records to append to a stream of the log, in order."""

from collections import deque
from collections.abc import Sequence
from enum import StrEnum
import math
from typing import NamedTuple

import trio

from pimentocross.backing.log import (
    LogService,
    LogUnavailableError,
    RecordBody,
)
from pimentocross.contracts import const


class Outcome(StrEnum):
    """The result of publishing a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class Verdict(NamedTuple):
    """The outcome of publishing a record, with its offset or the reason.

    Attributes:
        outcome: Whether the record was folded, was rejected, was never sent,
            or may or may not be in the log.
        offset: The offset at which the record was read back, or -1.
        reason: Why the record was not accepted, or "".
    """

    outcome: Outcome
    offset: int = -1
    reason: str = ""

    @property
    def accepted(self) -> bool:
        """True if the record was accepted, as every reader folds it alike."""
        return self.outcome is Outcome.ACCEPTED


class Pending:
    """A record that is to be appended and has no verdict yet.

    Attributes:
        body: The body of the record.
        urgent: Whether it is appended at once instead of being batched.
        maybe_sent: Whether an append of it may have taken effect.
        verdict: The verdict, or None until there is one.
        done: Set once there is a verdict.
    """

    def __init__(self, body: RecordBody, *, urgent: bool) -> None:
        """Initializes an unsent record."""
        self.body = body
        self.urgent = urgent
        self.maybe_sent = False
        self.verdict: Verdict | None = None
        self.done = trio.Event()

    def settle(self, verdict: Verdict) -> None:
        """Sets the verdict, unless there is one already."""
        if self.verdict is None:
            self.verdict = verdict
            self.done.set()

    def settle_unconfirmed(self) -> None:
        """Sets the verdict of a record that was not read back in time."""
        if self.maybe_sent:
            self.settle(
                Verdict(Outcome.UNKNOWN, reason="not read back in time")
            )
        else:
            self.settle(Verdict(Outcome.NOT_SENT, reason="log service away"))


class Outbox:
    """Appends records in the order in which they were queued."""

    def __init__(self, log: LogService, stream: str) -> None:
        """Initializes an empty outbox for a stream of the log."""
        self._log = log
        self._stream = stream
        self._waiting: deque[Pending] = deque()
        self._filled = trio.Event()
        self._appended_at = float("-inf")

    def put(self, pending: Pending) -> None:
        """Queues a record."""
        self._waiting.append(pending)
        self._filled.set()

    def put_bounded(self, pending: Pending) -> None:
        """Queues a record that nobody waits for.

        Beyond `MAX_OUTBOX_RECORDS`, the oldest records are dropped.
        """
        self._waiting.append(pending)
        while len(self._waiting) > const.MAX_OUTBOX_RECORDS:
            self._waiting.popleft().settle(Verdict(Outcome.NOT_SENT))
        self._filled.set()

    async def append_next(self) -> None:
        """Waits for records to append and appends a batch in one operation.

        Raises:
            LogUnavailableError: The append failed; its records stay queued.
        """
        await self._append(await self._next_batch())

    async def _next_batch(self) -> list[Pending]:
        while True:
            unsettled = [p for p in self._waiting if p.verdict is None]
            self._waiting = deque(unsettled)
            linger_until = self._appended_at + const.LINGER
            is_batching = trio.current_time() < linger_until
            if unsettled and not is_batching:
                return unsettled[: const.MAX_APPEND_BATCH]
            if any(pending.urgent for pending in unsettled):
                return unsettled[: const.MAX_APPEND_BATCH]
            self._filled = trio.Event()
            with trio.move_on_at(linger_until if unsettled else math.inf):
                await self._filled.wait()

    async def _append(self, batch: Sequence[Pending]) -> None:
        self._appended_at = trio.current_time()
        sent_before = [pending.maybe_sent for pending in batch]
        for pending in batch:
            # If the publisher's wait times out during the append, the verdict
            # must not be "not sent".
            pending.maybe_sent = True
        try:
            await self._log.append(self._stream, [p.body for p in batch])
        except LogUnavailableError as error:
            for pending, before in zip(batch, sent_before, strict=True):
                pending.maybe_sent = before or error.sent
            raise
        for pending in batch:
            self._waiting.remove(pending)
