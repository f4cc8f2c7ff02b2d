"""Keeps a copy of the operators' configuration and tracks its age."""

from typing import Final, NamedTuple, Protocol

import trio

from pimentocross.contracts.hedging import HEDGE_DELAY
from pimentocross.contracts.jitter import jittered
from pimentocross.contracts.poll_pace import PollPace
from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.gateway import const
from pimentocross.gateway.evacuations import Evacuations
from pimentocross.observe.decisions import note
from pimentocross.work.queue import Queue, WorkConfig

# Seconds within which a change must be in force.
_DEFAULT_APPLY_WITHIN: Final = 2.0


class ConfigReply(NamedTuple):
    """A source's reply to a request for the configuration.

    Attributes:
        config: The newest configuration, or None if it hasn't changed.
        known_at: Time at which there surely was nothing newer, monotonic; -inf
            if there may be something newer.
        asked_at: Time at which the answered request was sent, monotonic.
        evacuated: All availability zones that are evacuated.
        received: Bytes of answers that have arrived.
    """

    config: WorkConfig | None
    known_at: float
    asked_at: float
    evacuated: frozenset[str] = frozenset()
    received: int = 0


class ConfigSource(Protocol):
    """The place where operators publish the configuration."""

    async def next_config(
        self,
        wait: float,
        timeout: float,
        again_after: float,
        urgent: trio.Event | None,
    ) -> ConfigReply:
        """Returns the newest configuration if it changes within `wait`.

        Args:
            wait: Seconds to wait for a change.
            timeout: Seconds beyond `wait` to wait for a reply.
            again_after: Seconds beyond `wait` after which the request is sent
                once more.
            urgent: Once set, the source is asked at once without a wait.

        Raises:
            StoreUnavailableError: The source did not answer.
        """
        ...


class ConfigFollower:
    """Keeps this VM's copy of the configuration up to date.

    Attributes:
        away: Whether the last request to the source failed or took too long.
        evacuations: The zones that operators have evacuated.
    """

    def __init__(
        self,
        source: ConfigSource,
        within: float = _DEFAULT_APPLY_WITHIN,
        evacuated_within: float = float("inf"),
    ) -> None:
        """Initializes the follower without a configuration; `run` reads it.

        Args:
            source: Where the configuration is published.
            within: Seconds after its acknowledgement within which a change of
                the configuration must be in force.
            evacuated_within: The same for the evacuation of a zone.
        """
        self.away = False
        self.evacuations = Evacuations(evacuated_within)
        self._source = source
        self._pace = PollPace(
            min(const.FOLLOW_WAIT, within * const.CONFIG_WAIT_SHARE)
        )
        self._again_after = min(
            HEDGE_DELAY, within * const.CONFIG_OVERDUE_SHARE
        )
        self._fresh_within = within * const.CONFIG_FRESH_SHARE
        self._current_within = within * const.CONFIG_MAX_AGE_SHARE
        self._config: WorkConfig | None = None
        self._known_at = float("-inf")
        self._urgent = trio.Event()
        self._answered = trio.Event()

    @property
    def config(self) -> WorkConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    def age(self) -> float:
        """Returns the seconds since this copy surely was the newest, or inf."""
        return trio.current_time() - self._known_at

    async def check_current(self) -> bool:
        """Returns whether the copy has every change that must be in force.

        A copy that isn't fresh may lack a change that was confirmed a moment
        ago, so it is read again first, see `check_newest_since`. If the source
        is too slow for that, the copy stays valid for most of the time within
        which a change must be in force.
        """
        now = trio.current_time()
        await self.check_newest_since(now - self._fresh_within)
        return self._known_at >= now - self._current_within

    async def check_newest_since(self, moment: float) -> bool:
        """Returns whether the copy surely was the newest at a given time.

        If that isn't known, the copy is read again; concurrent calls share one
        request. Returns False if that read times out, and at once if the source
        is known not to answer.

        Args:
            moment: Monotonic time, not in the future.
        """
        if self._known_at < moment and not self.away:
            with trio.move_on_after(const.CONFIG_LOOKUP_TIMEOUT):
                while self._known_at < moment and not self.away:
                    self._urgent.set()
                    await self._answered.wait()
            self.away = self.away or self._known_at < moment
        return self._known_at >= moment

    async def current_queue(self, queue: Queue) -> Queue | None:
        """Returns a queue as now configured, or None if it was removed.

        Args:
            queue: The queue as another VM knows it. That VM may have missed a
                change, for example while the store refuses it, or may know of
                one that has not arrived here yet.
        """
        if await self.is_removed(queue.name):
            return None
        return self._find_queue(queue.name) or queue

    async def is_removed(self, name: str) -> bool:
        """Returns whether a queue that another VM knows surely was removed.

        Args:
            name: Name of the queue; see `current_queue`.
        """
        asked_at = trio.current_time()
        if self._find_queue(name) is not None:
            return False
        is_newest = await self.check_newest_since(asked_at)
        return is_newest and self._find_queue(name) is None

    def _find_queue(self, name: str) -> Queue | None:
        queues = self._config.queues if self._config is not None else ()
        return next((queue for queue in queues if queue.name == name), None)

    async def run(self) -> None:
        """Reads the configuration from the source, forever."""
        while True:
            self._urgent = trio.Event()
            await self._ask()
            self._answered.set()
            self._answered = trio.Event()
            if self.away:
                await trio.sleep(jittered(const.FOLLOW_RETRY))

    async def _ask(self) -> None:
        asked_at = trio.current_time()
        try:
            reply = await self._source.next_config(
                # Without a wait, so that a returning source answers at once.
                0.0 if self.away else self._pace.wait,
                const.FOLLOW_TIMEOUT,
                self._again_after,
                self._urgent,
            )
        except StoreUnavailableError as error:
            self.away = True
            self._pace.restart()
            note(
                "config_unread",
                reason=str(error),
                waited=round(trio.current_time() - asked_at, 3),
                received=error.received,
                age=self._age_to_log(),
            )
            return
        self.away = False
        self._pace.note_answer(has_changes=reply.config is not None)
        if reply.config is not None:
            self._apply(reply.config, reply)
        self.evacuations.update(reply.evacuated, reply.known_at)
        self._known_at = max(self._known_at, reply.known_at)

    def _apply(self, config: WorkConfig, reply: ConfigReply) -> None:
        known = self._config
        if known is not None and config.version <= known.version:
            return
        note(
            "config_in_force",
            version=config.version,
            queues=len(config.queues),
            waited=round(trio.current_time() - reply.asked_at, 3),
            received=reply.received,
            age=self._age_to_log(),
        )
        self._config = config

    def _age_to_log(self) -> float | None:
        return round(self.age(), 3) if self._config is not None else None
