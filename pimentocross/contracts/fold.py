"""A stream of the log, folded into one state that every reader shares.

Every reader applies the same records in the same order and so reaches the
same state; a record that does not apply is rejected by all of them alike.
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
from pimentocross.contracts.asking import AGAIN_AFTER, Question, first_answer
from pimentocross.contracts.outbox import Outbox, Outcome, Pending, Verdict
from pimentocross.contracts.store import StoreUnavailableError

SNAPSHOT_KIND = "snapshot"


class FoldState(Protocol):
    """A state that records are folded into, deterministically."""

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Folds one record; returns why it is rejected, or None."""
        ...

    def dump(self) -> RecordBody:
        """Returns the whole state as JSON values."""
        ...

    def load(self, dump: RecordBody) -> None:
        """Replaces the state by a dumped one."""
        ...


StateT = TypeVar("StateT", bound=FoldState)


class FoldedId(NamedTuple):
    """A record id that was folded lately, where, and why it was rejected."""

    record_id: str
    offset: int
    reason: str | None

    def verdict(self) -> Verdict:
        """Returns what became of the record."""
        accepted = self.reason is None
        outcome = Outcome.ACCEPTED if accepted else Outcome.REJECTED
        return Verdict(outcome, self.offset, self.reason or "")


class FoldDump(NamedTuple):
    """A whole fold, as a peer or a snapshot record carries it."""

    position: int
    state: RecordBody
    ids: list[FoldedId]


class StreamFold(Generic[StateT]):
    """Reads one stream into its state and publishes records to it.

    Attributes:
        state: The folded state.
        log_failures: Reads and appends that failed, since the start.
    """

    def __init__(self, log: LogService, stream: str, state: StateT) -> None:
        """Prepares the fold; `run` reads, `open_stream_fold` owns it."""
        self.state = state
        self.log_failures = 0
        self._log = log
        self._stream = stream
        self._position = 0
        self._read_to_end_at = float("-inf")
        # Records read past a gap, kept until a snapshot bridges it.
        self._gap: list[Record] | None = None
        self._gap_start = 0
        self._applied_position = 0
        self._whole = False
        self._at_end = False
        self._recent: deque[Record] = deque(maxlen=const.RECENT_RECORDS)
        self._ids: OrderedDict[str, FoldedId] = OrderedDict()
        self._waiting: dict[str, Pending] = {}
        self._outbox = Outbox(log, stream)
        self._changed = trio.Event()
        self._failing_since = float("inf")
        self._steady_since = float("inf")
        self._snapshot_at = 0
        self._snapshots_seen = 0

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
        """True once the state holds all up to `position`."""
        return self._gap is None and self._whole

    @property
    def read_to_end_at(self) -> float:
        """When the read was sent that last reached the stream's end."""
        return self._read_to_end_at

    @property
    def log_away(self) -> bool:
        """True once every operation on the log has failed for a while."""
        failed_for = trio.current_time() - self._failing_since
        return failed_for >= const.AWAY_AFTER

    @property
    def steady_since(self) -> float:
        """Since when every read has been answered; infinite if not."""
        return self._steady_since

    @property
    def since_snapshot(self) -> int:
        """Offsets folded since the newest snapshot that was read."""
        return self._position - self._snapshot_at

    @property
    def snapshots_seen(self) -> int:
        """How many snapshot records were read."""
        return self._snapshots_seen

    async def run(self) -> None:
        """Reads the stream for ever."""
        backoff = const.READ_BACKOFF_FIRST
        while True:
            # What isn't there can't be waited for.
            answers = self._failing_since == float("inf")
            wait = const.LONG_POLL if self._at_end and answers else 0.0
            try:
                read = await first_answer(
                    partial(self._read, self._position),
                    wait,
                    const.READ_PATIENCE,
                    AGAIN_AFTER,
                )
            except StoreUnavailableError:
                self._note_failure()
                self._steady_since = float("inf")
                await trio.sleep(backoff)
                backoff = min(backoff * 2, const.READ_BACKOFF_MOST)
                continue
            backoff = const.READ_BACKOFF_FIRST
            self._failing_since = float("inf")
            self._steady_since = min(self._steady_since, trio.current_time())
            self._take_page(read.value, read.asked_at)

    async def _read(self, start: int, question: Question) -> ReadPage:
        try:
            with trio.fail_after(question.timeout):
                return await self._log.read(self._stream, start, question.wait)
        except LogUnavailableError as error:
            raise StoreUnavailableError(str(error), sent=error.sent) from error
        except trio.TooSlowError as error:
            raise StoreUnavailableError("no answer", sent=True) from error

    async def run_writer(self) -> None:
        """Appends what `publish` queues, many records in one append."""
        backoff = const.APPEND_BACKOFF_FIRST
        while True:
            try:
                await self._outbox.append_next()
            except LogUnavailableError:
                self._note_failure()
                await trio.sleep(backoff)
                backoff = min(backoff * 2, const.APPEND_BACKOFF_MOST)
                continue
            backoff = const.APPEND_BACKOFF_FIRST
            self._failing_since = float("inf")

    @staticmethod
    def new_body(body: RecordBody) -> RecordBody:
        """Gives a record its id, so that it can be published repeatedly."""
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
        every reader folds once; so the verdict never rests on a guess.

        Args:
            body: The record's kind and fields; its id is added here.
            timeout: Seconds until the caller wants an answer anyway.
            fail_fast: Refuse at once, unsent, while the log is away.
            urgent: Append at once; else it may gather with others first.
        """
        if fail_fast and self.log_away:
            return Verdict(Outcome.NOT_SENT, reason="log service away")
        if "id" not in body:
            body = self.new_body(body)
        record_id = str(body["id"])
        if record_id in self._ids:
            return self._ids[record_id].verdict()
        pending = Pending(body, urgent=urgent)
        self._waiting[record_id] = pending
        self._outbox.put(pending)
        try:
            with trio.move_on_after(timeout):
                await pending.done.wait()
        finally:
            self._waiting.pop(record_id, None)
            pending.settle_unanswered()
        assert pending.verdict is not None
        return pending.verdict

    def publish_later(self, body: RecordBody) -> None:
        """Queues a record that nobody waits for; it is sent until it is in."""
        self._outbox.put_dropping(Pending(self.new_body(body), urgent=False))

    async def wait_position(self, offset: int) -> None:
        """Waits until everything below `offset` is folded."""
        while self._position < offset or self._gap is not None:
            await self._changed.wait()

    async def wait_change(self) -> None:
        """Waits until another record is folded."""
        await self._changed.wait()

    def dump(self) -> FoldDump:
        """Returns the whole fold for a peer or a snapshot."""
        return FoldDump(
            self._position, self.state.dump(), list(self._ids.values())
        )

    def load(self, dump: FoldDump) -> bool:
        """Takes over a peer's fold if it is further on than this one."""
        if dump.position <= self._applied_position:
            return False
        self.state.load(dump.state)
        self._ids = OrderedDict((i.record_id, i) for i in dump.ids)
        self._position = dump.position
        self._snapshot_at = dump.position
        self._applied_position = dump.position
        self._gap = None
        # A peer's fold is whole, though how fresh it is stays unknown.
        self._whole = True
        self._announce()
        return True

    def recent_since(self, offset: int) -> list[Record] | None:
        """Returns the records from `offset` on, or None if not all kept."""
        if offset >= self._position:
            return []
        if not self._recent or self._recent[0].offset > offset:
            return None
        return [r for r in self._recent if r.offset >= offset]

    def feed(self, records: Iterable[Record]) -> None:
        """Folds records that a peer read, as far as they connect."""
        if self._gap is None:
            for record in records:
                if record.offset == self._position:
                    self._fold(record)
        self._announce()

    async def append_snapshot(self) -> None:
        """Appends a snapshot of the state as of now.

        Raises:
            LogUnavailableError: It is unknown whether it was appended.
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

    def _take_page(self, page: ReadPage, sent_at: float) -> None:
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
            self._whole = True
        self._announce()

    def _fold(self, record: Record) -> None:
        self._position = record.offset + 1
        self._recent.append(record)
        if record.body.get("kind") == SNAPSHOT_KIND:
            self._take_snapshot(record)
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
            self._forget_ids(record.offset)
        pending = self._waiting.get(record_id)
        if pending is not None:
            pending.settle(folded.verdict())

    def _forget_ids(self, newest: int) -> None:
        oldest = newest - const.DEDUPLICATION_WINDOW
        while next(iter(self._ids.values())).offset < oldest:
            self._ids.popitem(last=False)

    def _take_snapshot(self, record: Record) -> None:
        self._snapshot_at = record.offset
        self._snapshots_seen += 1
        position = int(record.body["position"])
        if self._gap is None:
            return
        if position < max(self._gap_start, self._applied_position):
            return
        self.state.load(record.body["state"])
        ids = [FoldedId(*item) for item in record.body["ids"]]
        self._ids = OrderedDict((i.record_id, i) for i in ids)
        replay = [r for r in self._gap if r.offset >= position]
        self._gap = None
        for kept in replay:
            self._apply(kept)

    def _announce(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
