"""Reads a topic of the store incrementally.

When the next records have expired, the reader starts over with the newest
record of each key.
"""

from functools import partial
from typing import NamedTuple

import trio

from pimentocross.contracts.hedging import (
    HEDGE_DELAY,
    FirstAnswer,
    RequestAttempt,
    first_answer,
)
from pimentocross.contracts.store import (
    HistoryExpiredError,
    Page,
    Record,
    Store,
)
from pimentocross.observe.decisions import note


class TopicUpdate(NamedTuple):
    """The result of one read of a topic.

    Attributes:
        records: The new records, in order.
        known_at: Monotonic time at which the topic surely held no newer
            records; -inf if there is more to read.
        is_snapshot: Whether `records` are the newest of each key, so that
            keys without a record are removed.
        asked_at: Monotonic time at which the answered attempt was sent.
        received: Bytes of answers that have arrived for all attempts.
    """

    records: list[Record]
    known_at: float
    is_snapshot: bool
    asked_at: float
    received: int


class TopicReader:
    """Reads a topic, each time from where the last read ended."""

    def __init__(self, store: Store, topic: str) -> None:
        """Initializes the reader; its first read gives a snapshot."""
        self._store = store
        self._topic = topic
        self._end: int | None = None

    @property
    def end(self) -> int | None:
        """Offset after the last one read; None before a snapshot is read."""
        return self._end

    async def read(
        self,
        wait: float,
        timeout: float,
        hedge_delay: float = HEDGE_DELAY,
        urgent: trio.Event | None = None,
    ) -> TopicUpdate:
        """Returns new records, waiting up to `wait` seconds for some.

        Reads may overlap. Each starts at the offset that had been reached when
        it was called.

        Args:
            wait: Seconds to wait for new records.
            timeout: Seconds beyond `wait` to wait for an answer.
            hedge_delay: Seconds after which the request is repeated.
            urgent: Once set, the request is repeated at once, without waiting
                for new records.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        start = self._end
        if start is not None:
            read = await first_answer(
                partial(self._request, start),
                wait,
                timeout,
                hedge_delay,
                urgent,
            )
            if read.value is not None:
                self._advance(start + len(read.value.records))
                return self._page_update(read, read.value, start)
            note("history_gone", topic=self._topic, position=start)
            self._end = None
        found = await read_newest(
            self._store, self._topic, timeout, hedge_delay
        )
        self._advance(found.value.end)
        return TopicUpdate(
            found.value.records,
            known_at=found.asked_at,
            is_snapshot=True,
            asked_at=found.asked_at,
            received=found.received,
        )

    def _page_update(
        self, read: FirstAnswer[Page | None], page: Page, start: int
    ) -> TopicUpdate:
        if page.end > start and not page.records:
            note(
                "records_withheld",
                topic=self._topic,
                position=start,
                end=page.end,
            )
        return TopicUpdate(
            page.records,
            known_at=_known_at(read, page, start),
            is_snapshot=False,
            asked_at=read.asked_at,
            received=read.received,
        )

    def _advance(self, end: int) -> None:
        """Advances the end, unless an overlapping read has read further."""
        self._end = end if self._end is None else max(self._end, end)

    async def _request(
        self, start: int, attempt: RequestAttempt
    ) -> Page | None:
        """Returns the records from `start` on, or None if they expired."""
        try:
            return await self._store.read(
                self._topic,
                start,
                attempt.wait,
                attempt.timeout,
                new_connection=attempt.is_hedge,
                progress=attempt.progress,
            )
        except HistoryExpiredError:
            return None


async def read_newest(
    store: Store,
    topic: str,
    timeout: float,
    hedge_delay: float = HEDGE_DELAY,
) -> FirstAnswer[Page]:
    """Returns the newest record of each key of a topic.

    Args:
        store: The store.
        topic: Name of the topic.
        timeout: Seconds without any bytes of an answer after which the read
            fails.
        hedge_delay: Seconds without any bytes after which it is repeated.

    Raises:
        StoreUnavailableError: The store did not answer.
    """

    async def request(attempt: RequestAttempt) -> Page:
        return await store.newest(
            topic,
            attempt.timeout,
            new_connection=attempt.is_hedge,
            progress=attempt.progress,
        )

    return await first_answer(request, 0.0, timeout, hedge_delay)


def _known_at(read: FirstAnswer[Page | None], page: Page, start: int) -> float:
    """Returns the latest time at which the page was surely complete."""
    if page.end > start + len(page.records):
        return float("-inf")
    # An empty page that comes after the full wait shows that there were no new
    # records until then.
    has_waited_fully = trio.current_time() - read.asked_at >= read.wait
    return read.asked_at + (
        read.wait if has_waited_fully and not page.records else 0.0
    )
