"""What the platform and its operator keep in the store for all to read."""

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
from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.gateway.config_follower import ConfigNews
from pimentocross.observe.decisions import note
from pimentocross.platform.wire import WireError, read_config, read_worker
from pimentocross.work.queue import WorkConfig

_OPERATOR_TOPIC = "op"
_CONFIG_KEY = "config"
_SERVERS_TOPIC = "servers"
# Keys that are remembered as unreadable; others beyond are dropped unlogged, so
# that a writer of ever new keys fills neither memory nor log.
_UNREADABLE_MOST = 1000


class TopicNews(NamedTuple):
    """What was read.

    Attributes:
        records: What is new, in order.
        known_at: Until when nothing newer was there, monotonic; -inf if there
            is more to read.
        whole: Whether this is the newest of each key, and all that there is.
    """

    records: list[Record]
    known_at: float
    whole: bool


class TopicReader:
    """Reads a topic on from where it was read last."""

    def __init__(self, store: Store, topic: str) -> None:
        """Begins with the newest record of each key."""
        self._store = store
        self._topic = topic
        self._position: int | None = None

    async def read(
        self,
        wait: float,
        timeout: float,
        again_after: float = AGAIN_AFTER,
        urgent: trio.Event | None = None,
    ) -> TopicNews:
        """Returns what is new, waiting for it for a while.

        Args:
            wait: Seconds to wait for news.
            timeout: Seconds beyond `wait` to wait for an answer.
            again_after: Seconds after which the store is asked once more.
            urgent: Once set, what is new is asked for at once.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        position = self._position
        if position is not None:
            read = await first_answer(
                partial(self._read, position),
                wait,
                timeout,
                again_after,
                urgent,
            )
            if read.value is not None:
                self._position = position + len(read.value.records)
                known_at = _known_at(read, position)
                return TopicNews(read.value.records, known_at, whole=False)
            note("history_gone", topic=self._topic, position=position)
            self._position = None
        found = await first_answer(self._newest, 0.0, timeout, again_after)
        self._position = found.value.end
        return TopicNews(found.value.records, found.asked_at, whole=True)

    async def _read(self, position: int, question: Question) -> Page | None:
        """Returns what follows a position, or None if it has expired."""
        wait, timeout, again = question
        try:
            return await self._store.read(
                self._topic, position, wait, timeout, fresh=again
            )
        except HistoryGoneError:
            return None

    async def _newest(self, question: Question) -> Page:
        return await self._store.newest(
            self._topic, question.timeout, fresh=question.again
        )


def _known_at(read: Answered[Page | None], position: int) -> float:
    """Returns until when a page told all that there was, at the least."""
    page = read.value
    if page is None or page.end > position + len(page.records):
        return float("-inf")
    # With no record the store answers once it has waited for one.
    waited = trio.current_time() - read.asked_at >= read.wait
    return read.asked_at + (read.wait if waited and not page.records else 0.0)


class OperatorTopic:
    """The operator's configuration."""

    def __init__(self, store: Store) -> None:
        """Takes the store."""
        self._reader = TopicReader(store, _OPERATOR_TOPIC)

    async def next_config(
        self,
        wait: float,
        timeout: float,
        again_after: float = AGAIN_AFTER,
        urgent: trio.Event | None = None,
    ) -> ConfigNews:
        """Returns the newest configuration, if new; see `ConfigSource`."""
        news = await self._reader.read(wait, timeout, again_after, urgent)
        found: WorkConfig | None = None
        for record in news.records:
            if record.key != _CONFIG_KEY or record.value is None:
                continue
            try:
                config = read_config(record.value)
            except WireError as error:
                note("config_unreadable", reason=str(error))
                continue
            if found is None or config.version > found.version:
                found = config
        return ConfigNews(found, news.known_at)


class ServerTopic:
    """The workers' entries; see `WorkerDirectory`."""

    def __init__(self, store: Store) -> None:
        """Takes the store."""
        self._reader = TopicReader(store, _SERVERS_TOPIC)
        self._lives: dict[str, WorkerLife] = {}
        # Keys whose newest entry can't be read, so that each is logged once.
        self._unreadable: set[str] = set()

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns all that are listed now; see `WorkerDirectory`.

        An entry that can't be read lists no worker, also where one that could
        stood under its key before: another writer may have put it there.
        """
        news = await self._reader.read(0.0, timeout)
        if news.whole:
            # Removals may have expired: what isn't told now isn't there.
            self._lives.clear()
        for record in news.records:
            self._take(record)
        await trio.lowlevel.checkpoint()
        return list(self._lives.values())

    def _take(self, record: Record) -> None:
        self._lives.pop(record.key, None)
        if record.value is None:
            self._unreadable.discard(record.key)
            return
        try:
            life = read_worker(record.key, record.value)
        except WireError as error:
            self._note_unreadable(record.key, str(error))
            return
        self._lives[record.key] = life
        self._unreadable.discard(record.key)

    def _note_unreadable(self, key: str, reason: str) -> None:
        if key in self._unreadable or len(self._unreadable) >= _UNREADABLE_MOST:
            return
        self._unreadable.add(key)
        note("worker_unreadable", worker=key, reason=reason)
