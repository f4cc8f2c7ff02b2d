"""Folds a stream of the log into a replicated state.

Every reader applies the same records in the same order and so reaches the
same state. A record that can't be applied is rejected by every reader alike.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from functools import partial
from typing import Generic, NamedTuple, Protocol, TypeVar
import uuid

import trio

from pimentocross.backing.log import (
    LogService,
    LogUnavailableError,
    ReadPage,
    Record,
    RecordBody,
)
from pimentocross.contracts import const
from pimentocross.contracts.hedging import (
    HEDGE_DELAY,
    RequestAttempt,
    first_answer,
)
from pimentocross.contracts.outbox import Outbox, Outcome, Pending, Verdict
from pimentocross.contracts.store import StoreUnavailableError

SNAPSHOT_KIND = "snapshot"


class FoldState(Protocol):
    """A state into which records are folded deterministically."""

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Folds one record; returns the reason if it is rejected, or None."""
        ...

    def dump(self) -> RecordBody:
        """Returns the whole state as JSON values."""
        ...

    def load(self, dump: RecordBody) -> None:
        """Replaces the state with a dumped one."""
        ...


StateT = TypeVar("StateT", bound=FoldState)


class FoldedId(NamedTuple):
    """Id and offset of a recently folded record; the reason if rejected."""

    record_id: str
    offset: int
    reason: str | None

    def verdict(self) -> Verdict:
        """Returns the verdict on the record."""
        accepted = self.reason is None
        outcome = Outcome.ACCEPTED if accepted else Outcome.REJECTED
        return Verdict(outcome, self.offset, self.reason or "")


class FoldDump(NamedTuple):
    """A complete fold, as sent to a peer or stored in a snapshot record."""

    position: int
    state: RecordBody
    ids: list[FoldedId]


class StreamFold(Generic[StateT]):
    """Reads one stream into its state and publishes records to it.

    Attributes:
        state: The folded state.
        log_failures: Number of reads and appends that have failed.
    """

    def __init__(self, log: LogService, stream: str, state: StateT) -> None:
        """Initializes the fold; `run` reads and `run_writer` appends."""
        self.state = state
        self.log_failures = 0
        self._log = log
        self._stream = stream
        self._position = 0
        self._read_to_end_at = float("-inf")
        # Records read after a gap, kept until a snapshot covers the gap.
        self._gap: list[Record] | None = None
        self._gap_start = 0
        self._applied_position = 0
        self._complete = False
        self._at_end = False
        self._recent: deque[Record] = deque(maxlen=const.RECENT_RECORDS)
        self._ids: OrderedDict[str, FoldedId] = OrderedDict()
        self._pending: dict[str, Pending] = {}
        self._outbox = Outbox(log, stream)
        self._changed = trio.Event()
        self._failing_since = float("inf")
        self._reads_answered_since = float("inf")
        self._snapshot_at = 0
        self._snapshots_read = 0

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def position(self) -> int:
        """Offset of the next record to fold."""
        return self._position

    @property
    def ready(self) -> bool:
        """True once the state includes all records below `position`."""
        return self._gap is None and self._complete

    @property
    def read_to_end_at(self) -> float:
        """When the latest read that reached the stream's end was sent."""
        return self._read_to_end_at

    @property
    def log_away(self) -> bool:
        """True once all log operations fail for `LOG_UNAVAILABLE_AFTER` s."""
        failed_for = trio.current_time() - self._failing_since
        return failed_for >= const.LOG_UNAVAILABLE_AFTER

    @property
    def reads_answered_since(self) -> float:
        """Since when every read was answered; infinite if the last was not."""
        return self._reads_answered_since

    @property
    def offsets_since_snapshot(self) -> int:
        """Number of offsets read since the newest snapshot."""
        return self._position - self._snapshot_at

    @property
    def snapshots_read(self) -> int:
        """Number of snapshot records that were read."""
        return self._snapshots_read

    async def run(self) -> None:
        """Reads the stream until it is cancelled."""
        backoff = const.INITIAL_READ_BACKOFF
        while True:
            # Long polls only make sense while the log answers.
            log_answers = self._failing_since == float("inf")
            wait = const.LONG_POLL_WAIT if self._at_end and log_answers else 0.0
            try:
                read = await first_answer(
                    partial(self._read, self._position),
                    wait,
                    const.READ_TIMEOUT_MARGIN,
                    HEDGE_DELAY,
                )
            except StoreUnavailableError:
                self._note_failure()
                self._reads_answered_since = float("inf")
                await trio.sleep(backoff)
                backoff = min(backoff * 2, const.MAX_READ_BACKOFF)
                continue
            backoff = const.INITIAL_READ_BACKOFF
            self._failing_since = float("inf")
            self._reads_answered_since = min(
                self._reads_answered_since, trio.current_time()
            )
            self._apply_page(read.value, read.asked_at)

    async def _read(self, start: int, attempt: RequestAttempt) -> ReadPage:
        try:
            with trio.fail_after(attempt.timeout) as scope:
                attempt.progress.extend(scope)
                return await self._log.read(
                    self._stream, start, attempt.wait, attempt.progress
                )
        except LogUnavailableError as error:
            raise StoreUnavailableError(str(error), sent=error.sent) from error
        except trio.TooSlowError as error:
            raise StoreUnavailableError("no answer", sent=True) from error

    async def run_writer(self) -> None:
        """Appends queued records in batches until it is cancelled."""
        backoff = const.INITIAL_APPEND_BACKOFF
        while True:
            try:
                await self._outbox.append_next()
            except LogUnavailableError:
                self._note_failure()
                await trio.sleep(backoff)
                backoff = min(backoff * 2, const.MAX_APPEND_BACKOFF)
                continue
            backoff = const.INITIAL_APPEND_BACKOFF
            self._failing_since = float("inf")

    @staticmethod
    def new_body(body: RecordBody) -> RecordBody:
        """Adds an id to a body, so that it can be published repeatedly."""
        return {"id": uuid.uuid4().hex, **body}

    async def publish(
        self,
        body: RecordBody,
        *,
        timeout: float,
        fail_fast: bool = False,
        urgent: bool = True,
    ) -> Verdict:
        """Appends one record and waits until it is read back.

        An append whose reply was lost is repeated with the same id, which
        every reader folds only once. So the verdict is never a guess: it is
        accepted or rejected only once the record was read back.

        Args:
            body: The record's kind and fields; an id is added if it has none.
            timeout: Seconds after which a verdict is returned even if the
                record was not read back.
            fail_fast: Whether to give up at once, without sending the record,
                while the log is unavailable.
            urgent: Whether to append at once instead of batching.
        """
        if fail_fast and self.log_away:
            return Verdict(Outcome.NOT_SENT, reason="log service away")
        if "id" not in body:
            body = self.new_body(body)
        record_id = str(body["id"])
        if record_id in self._ids:
            return self._ids[record_id].verdict()
        pending = Pending(body, urgent=urgent)
        self._pending[record_id] = pending
        self._outbox.put(pending)
        try:
            with trio.move_on_after(timeout):
                await pending.done.wait()
        finally:
            self._pending.pop(record_id, None)
            pending.settle_unconfirmed()
        assert pending.verdict is not None
        return pending.verdict

    def publish_later(self, body: RecordBody) -> None:
        """Queues a record without waiting for its verdict.

        The append is retried until it succeeds, unless the outbox overflows.
        """
        self._outbox.put_bounded(Pending(self.new_body(body), urgent=False))

    async def wait_position(self, offset: int) -> None:
        """Waits until everything below `offset` is folded."""
        while self._position < offset or self._gap is not None:
            await self._changed.wait()

    async def wait_change(self) -> None:
        """Waits until the fold may have changed."""
        await self._changed.wait()

    def dump(self) -> FoldDump:
        """Returns the complete fold for a peer or a snapshot."""
        return FoldDump(
            self._position, self.state.dump(), list(self._ids.values())
        )

    def load(self, dump: FoldDump) -> bool:
        """Loads a peer's fold; returns False if it is not ahead of this one."""
        if dump.position <= self._applied_position:
            return False
        self.state.load(dump.state)
        self._ids = OrderedDict((i.record_id, i) for i in dump.ids)
        self._position = dump.position
        self._snapshot_at = dump.position
        self._applied_position = dump.position
        self._gap = None
        # A peer's fold is complete, though possibly out of date.
        self._complete = True
        self._notify_changed()
        return True

    def recent_since(self, offset: int) -> list[Record] | None:
        """Returns records from `offset` on, or None if some were dropped."""
        if offset >= self._position:
            return []
        if not self._recent or self._recent[0].offset > offset:
            return None
        return [r for r in self._recent if r.offset >= offset]

    def feed(self, records: Iterable[Record]) -> None:
        """Folds those records read by a peer that follow without a gap."""
        if self._gap is None:
            for record in records:
                if record.offset == self._position:
                    self._fold(record)
        self._notify_changed()

    async def append_snapshot(self) -> None:
        """Appends a snapshot of the current state.

        Raises:
            LogUnavailableError: The snapshot may or may not have been
                appended.
        """
        dump = self.dump()
        body = {
            "id": uuid.uuid4().hex,
            "kind": SNAPSHOT_KIND,
            "position": dump.position,
            "state": dump.state,
            "ids": [list(item) for item in dump.ids],
        }
        await self._log.append(self._stream, [body])

    def _note_failure(self) -> None:
        self._failing_since = min(self._failing_since, trio.current_time())
        self.log_failures += 1

    def _apply_page(self, page: ReadPage, sent_at: float) -> None:
        if page.first_kept > self._position:
            self._gap = []
            self._gap_start = page.first_kept
            self._position = page.first_kept
        for record in page.records:
            if record.offset == self._position:
                self._fold(record)
        self._at_end = self._position >= page.end
        if self._at_end and self._gap is None:
            self._read_to_end_at = max(self._read_to_end_at, sent_at)
            self._complete = True
        self._notify_changed()

    def _fold(self, record: Record) -> None:
        self._position = record.offset + 1
        self._recent.append(record)
        if record.body.get("kind") == SNAPSHOT_KIND:
            self._apply_snapshot(record)
        elif self._gap is not None:
            self._gap.append(record)
        else:
            self._apply(record)
        if self._gap is None:
            self._applied_position = self._position

    def _apply(self, record: Record) -> None:
        record_id = str(record.body.get("id", ""))
        folded = self._ids.get(record_id)
        if folded is None:
            reason = self.state.apply(record.offset, record.body)
            folded = FoldedId(record_id, record.offset, reason)
            self._ids[record_id] = folded
            self._drop_old_ids(record.offset)
        pending = self._pending.get(record_id)
        if pending is not None:
            pending.settle(folded.verdict())

    def _drop_old_ids(self, newest: int) -> None:
        oldest = newest - const.DEDUPLICATION_WINDOW
        while next(iter(self._ids.values())).offset < oldest:
            self._ids.popitem(last=False)

    def _apply_snapshot(self, record: Record) -> None:
        self._snapshot_at = record.offset
        self._snapshots_read += 1
        position = int(record.body["position"])
        if self._gap is None:
            return
        if position < max(self._gap_start, self._applied_position):
            return
        self.state.load(record.body["state"])
        ids = [FoldedId(*item) for item in record.body["ids"]]
        self._ids = OrderedDict((i.record_id, i) for i in ids)
        to_apply = [r for r in self._gap if r.offset >= position]
        self._gap = None
        for later_record in to_apply:
            self._apply(later_record)

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
