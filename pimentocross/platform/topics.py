"""Readers of the platform's topics: configuration, evacuations, workers."""

import trio

from pimentocross.contracts.hedging import HEDGE_DELAY
from pimentocross.contracts.store import Record, Store
from pimentocross.contracts.topic_reader import TopicReader
from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.gateway.config_follower import ConfigReply
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.platform.wire import WireError, read_config, read_worker
from pimentocross.work.queue import WorkConfig

_OPERATOR_TOPIC = "op"
_CONFIG_KEY = "config"
# The rest of the key is the zone's name; the record's value is not used.
_EVACUATE_PREFIX = "evacuate/"
_SERVERS_TOPIC = "servers"
# Maximum number of keys that are logged and remembered as unreadable. Further
# ones are ignored without a log line, so that a writer that keeps adding keys
# can't fill the memory or the log.
_MAX_UNREADABLE_KEYS = 1000


class OperatorTopic:
    """Reads the operator's configuration and the evacuated zones.

    Implements `ConfigSource`.
    """

    def __init__(self, store: Store) -> None:
        """Initializes the reader with the store."""
        self._reader = TopicReader(store, _OPERATOR_TOPIC)
        self._evacuated: set[str] = set()

    async def next_config(
        self,
        wait: float,
        timeout: float,
        again_after: float = HEDGE_DELAY,
        urgent: trio.Event | None = None,
    ) -> ConfigReply:
        """Returns the newest configuration if new; see `ConfigSource`."""
        update = await self._reader.read(wait, timeout, again_after, urgent)
        if update.is_snapshot:
            # Removal records may have expired: only listed keys exist.
            self._evacuated.clear()
        found: WorkConfig | None = None
        for record in update.records:
            self._apply_evacuation(record)
            if record.key != _CONFIG_KEY or record.value is None:
                continue
            try:
                config = read_config(record.value)
            except WireError as error:
                meters.add_unreadable(_OPERATOR_TOPIC)
                note("config_unreadable", reason=str(error))
                continue
            if found is None or config.version > found.version:
                found = config
        return ConfigReply(
            found,
            update.known_at,
            update.asked_at,
            frozenset(self._evacuated),
            update.received,
        )

    def _apply_evacuation(self, record: Record) -> None:
        if not record.key.startswith(_EVACUATE_PREFIX):
            return
        zone = record.key.removeprefix(_EVACUATE_PREFIX)
        if record.value is None:
            self._evacuated.discard(zone)
        else:
            self._evacuated.add(zone)


class WorkerTopic:
    """Reads the entries that workers write; see `WorkerDirectory`."""

    def __init__(self, store: Store) -> None:
        """Initializes the reader with the store."""
        self._reader = TopicReader(store, _SERVERS_TOPIC)
        self._lives: dict[str, WorkerLife] = {}
        # Keys whose newest entry is invalid; each is logged once.
        self._unreadable: set[str] = set()

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns all workers listed now; see `WorkerDirectory`.

        An invalid entry lists no worker, even if the previous entry under its
        key was valid, as other writers may write entries too.
        """
        update = await self._reader.read(0.0, timeout)
        if update.is_snapshot:
            # Removal records may have expired: only listed keys exist.
            self._lives.clear()
        for record in update.records:
            self._apply_record(record)
        await trio.lowlevel.checkpoint()
        return list(self._lives.values())

    def _apply_record(self, record: Record) -> None:
        self._lives.pop(record.key, None)
        if record.value is None:
            self._unreadable.discard(record.key)
            return
        try:
            life = read_worker(record.key, record.value)
        except WireError as error:
            self._log_unreadable(record.key, str(error))
            return
        self._lives[record.key] = life
        self._unreadable.discard(record.key)

    def _log_unreadable(self, key: str, reason: str) -> None:
        meters.add_unreadable(_SERVERS_TOPIC)
        if (
            key in self._unreadable
            or len(self._unreadable) >= _MAX_UNREADABLE_KEYS
        ):
            return
        self._unreadable.add(key)
        note("worker_unreadable", worker=key, reason=reason)
