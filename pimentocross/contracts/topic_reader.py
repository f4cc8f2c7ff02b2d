"""Reads a topic of the store on, and anew when its history has expired."""

from functools import partial
from typing import NamedTuple

import trio

from pimentocross.contracts.asking import (
    AGAIN_AFTER,
    Answered,
    Question,
    first_answer,
)
from pimentocross.contracts.store import (
    HistoryGoneError,
    Page,
    Record,
    Store,
)
from pimentocross.observe.decisions import note


class TopicNews(NamedTuple):
    """What was read.

    Attributes:
        records: What is new, in order.
        known_at: Until when nothing newer was there, monotonic; -inf if there
            is more to read.
        whole: Whether this is the newest of each key, and all that there is.
        asked_at: When the question that was answered was sent, monotonic.
    """

    records: list[Record]
    known_at: float
    whole: bool
    asked_at: float


class TopicReader:
    """Reads a topic on from where it was read last."""

    def __init__(self, store: Store, topic: str) -> None:
        """Begins with the newest record of each key."""
        self._store = store
        self._topic = topic
        self._end: int | None = None

    @property
    def end(self) -> int | None:
        """Offset up to which the topic was read; None if it is read anew."""
        return self._end

    async def read(
        self,
        wait: float,
        timeout: float,
        again_after: float = AGAIN_AFTER,
        urgent: trio.Event | None = None,
    ) -> TopicNews:
        """Returns what is new, waiting for it for a while.

        Reads may overlap: each begins where the topic was read to by then.

        Args:
            wait: Seconds to wait for news.
            timeout: Seconds beyond `wait` to wait for an answer.
            again_after: Seconds after which the store is asked once more.
            urgent: Once set, what is new is asked for at once.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        start = self._end
        if start is not None:
            read = await first_answer(
                partial(self._ask, start),
                wait,
                timeout,
                again_after,
                urgent,
            )
            if read.value is not None:
                self._advance(start + len(read.value.records))
                return self._page_news(read, read.value, start)
            note("history_gone", topic=self._topic, position=start)
            self._end = None
        found = await first_answer(self._ask_newest, 0.0, timeout, again_after)
        self._advance(found.value.end)
        return TopicNews(
            found.value.records,
            known_at=found.asked_at,
            whole=True,
            asked_at=found.asked_at,
        )

    def _page_news(
        self, read: Answered[Page | None], page: Page, start: int
    ) -> TopicNews:
        if page.end > start and not page.records:
            note(
                "records_withheld",
                topic=self._topic,
                position=start,
                end=page.end,
            )
        return TopicNews(
            page.records,
            known_at=_known_at(read, page, start),
            whole=False,
            asked_at=read.asked_at,
        )

    def _advance(self, end: int) -> None:
        """Notes how far was read; a read that overlapped may be further."""
        self._end = end if self._end is None else max(self._end, end)

    async def _ask(self, start: int, question: Question) -> Page | None:
        """Returns what follows an offset, or None if it has expired."""
        wait, timeout, again = question
        try:
            return await self._store.read(
                self._topic, start, wait, timeout, fresh=again
            )
        except HistoryGoneError:
            return None

    async def _ask_newest(self, question: Question) -> Page:
        return await self._store.newest(
            self._topic, question.timeout, fresh=question.again
        )


def _known_at(read: Answered[Page | None], page: Page, start: int) -> float:
    """Returns until when a page told all that there was, at the least."""
    if page.end > start + len(page.records):
        return float("-inf")
    # With no record the store answers once it has waited for one.
    waited = trio.current_time() - read.asked_at >= read.wait
    return read.asked_at + (read.wait if waited and not page.records else 0.0)
