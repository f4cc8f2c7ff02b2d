"""Records on their way into a stream of the log, in order."""

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
    """How publishing a record ended."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class Verdict(NamedTuple):
    """What became of a published record.

    Attributes:
        outcome: Whether it was folded, refused, never sent or is unknown.
        offset: Where it was read back, or -1.
        reason: Why it was not accepted, or "".
    """

    outcome: Outcome
    offset: int = -1
    reason: str = ""

    @property
    def accepted(self) -> bool:
        """True if every reader folds the record."""
        return self.outcome is Outcome.ACCEPTED


class Pending:
    """A record on its way into the log.

    Attributes:
        body: The record.
        urgent: Whether it is appended at once, or may gather with others.
        maybe_sent: Whether an append of it may have taken effect.
        verdict: What became of it, once that is settled.
        done: Set once it is settled.
    """

    def __init__(self, body: RecordBody, *, urgent: bool) -> None:
        """Takes the record, unsent."""
        self.body = body
        self.urgent = urgent
        self.maybe_sent = False
        self.verdict: Verdict | None = None
        self.done = trio.Event()

    def settle(self, verdict: Verdict) -> None:
        """Sets the verdict, once."""
        if self.verdict is None:
            self.verdict = verdict
            self.done.set()

    def settle_unanswered(self) -> None:
        """Sets the verdict of a record that was not read back."""
        if self.maybe_sent:
            self.settle(
                Verdict(Outcome.UNKNOWN, reason="not read back in time")
            )
        else:
            self.settle(Verdict(Outcome.NOT_SENT, reason="log service away"))


class Outbox:
    """Appends records in the order in which they were put in."""

    def __init__(self, log: LogService, stream: str) -> None:
        """Takes where to append."""
        self._log = log
        self._stream = stream
        self._waiting: deque[Pending] = deque()
        self._filled = trio.Event()
        self._appended_at = float("-inf")

    def put(self, pending: Pending) -> None:
        """Queues a record."""
        self._waiting.append(pending)
        self._filled.set()

    def put_dropping(self, pending: Pending) -> None:
        """Queues a record that nobody waits for; too many push out old ones."""
        self._waiting.append(pending)
        while len(self._waiting) > const.OUTBOX_MOST:
            self._waiting.popleft().settle(Verdict(Outcome.NOT_SENT))
        self._filled.set()

    async def append_next(self) -> None:
        """Appends the next records in one operation, once there are some.

        Raises:
            LogUnavailableError: They stay queued.
        """
        await self._append(await self._next_batch())

    async def _next_batch(self) -> list[Pending]:
        while True:
            unsettled = [p for p in self._waiting if p.verdict is None]
            self._waiting = deque(unsettled)
            linger_until = self._appended_at + const.LINGER
            lingering = trio.current_time() < linger_until
            if unsettled and not lingering:
                return unsettled[: const.APPEND_BATCH_MOST]
            if any(pending.urgent for pending in unsettled):
                return unsettled[: const.APPEND_BATCH_MOST]
            self._filled = trio.Event()
            with trio.move_on_at(linger_until if unsettled else math.inf):
                await self._filled.wait()

    async def _append(self, batch: Sequence[Pending]) -> None:
        self._appended_at = trio.current_time()
        sent_before = [pending.maybe_sent for pending in batch]
        for pending in batch:
            # A verdict that is due meanwhile must not say "not sent".
            pending.maybe_sent = True
        try:
            await self._log.append(self._stream, [p.body for p in batch])
        except LogUnavailableError as error:
            for pending, before in zip(batch, sent_before, strict=True):
                pending.maybe_sent = before or error.sent
            raise
        for pending in batch:
            self._waiting.remove(pending)
