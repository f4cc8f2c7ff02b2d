"""What the platform and its operator keep in the store for all to read."""

import trio

from pimentocross.contracts.hedging import HEDGE_DELAY
from pimentocross.contracts.store import Record, Store
from pimentocross.contracts.topic_reader import TopicReader
from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.gateway.config_follower import ConfigNews
from pimentocross.observe.decisions import note
from pimentocross.platform.wire import WireError, read_config, read_worker
from pimentocross.work.queue import WorkConfig

_OPERATOR_TOPIC = "op"
_CONFIG_KEY = "config"
# What follows names a zone; the record's value tells nothing more.
_EVACUATE_PREFIX = "evacuate/"
_SERVERS_TOPIC = "servers"
# Keys that are remembered as unreadable; others beyond are dropped unlogged, so
# that a writer of ever new keys fills neither memory nor log.
_UNREADABLE_MOST = 1000


class OperatorTopic:
    """The operator's configuration and evacuations of zones."""

    def __init__(self, store: Store) -> None:
        """Takes the store."""
        self._reader = TopicReader(store, _OPERATOR_TOPIC)
        self._evacuated: set[str] = set()

    async def next_config(
        self,
        wait: float,
        timeout: float,
        again_after: float = HEDGE_DELAY,
        urgent: trio.Event | None = None,
    ) -> ConfigNews:
        """Returns the newest configuration, if new; see `ConfigSource`."""
        news = await self._reader.read(wait, timeout, again_after, urgent)
        if news.is_snapshot:
            # Removals may have expired: what isn't told now isn't there.
            self._evacuated.clear()
        found: WorkConfig | None = None
        for record in news.records:
            self._take_evacuation(record)
            if record.key != _CONFIG_KEY or record.value is None:
                continue
            try:
                config = read_config(record.value)
            except WireError as error:
                note("config_unreadable", reason=str(error))
                continue
            if found is None or config.version > found.version:
                found = config
        return ConfigNews(
            found, news.known_at, news.asked_at, frozenset(self._evacuated)
        )

    def _take_evacuation(self, record: Record) -> None:
        if not record.key.startswith(_EVACUATE_PREFIX):
            return
        zone = record.key.removeprefix(_EVACUATE_PREFIX)
        if record.value is None:
            self._evacuated.discard(zone)
        else:
            self._evacuated.add(zone)


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
        if news.is_snapshot:
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
