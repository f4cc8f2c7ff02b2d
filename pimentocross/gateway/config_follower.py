"""Follows the operators' configuration and knows how old its copy may be."""

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

# Within which a change is in force where nobody says otherwise, in seconds.
_WITHIN: Final = 2.0


class ConfigNews(NamedTuple):
    """What a source answered.

    Attributes:
        config: The newest configuration, or None if it hasn't changed.
        known_at: Until when nothing newer was there, monotonic; -inf if there
            may be something newer.
        asked_at: When the question that was answered was sent, monotonic.
        evacuated: All availability zones that are evacuated.
    """

    config: WorkConfig | None
    known_at: float
    asked_at: float
    evacuated: frozenset[str] = frozenset()


class ConfigSource(Protocol):
    """Where operators publish the configuration."""

    async def next_config(
        self,
        wait: float,
        timeout: float,
        again_after: float,
        urgent: trio.Event | None,
    ) -> ConfigNews:
        """Returns the newest configuration if there is news within `wait`.

        Args:
            wait: Seconds to wait for news.
            timeout: Seconds beyond `wait` to wait for an answer.
            again_after: Seconds after which the source is asked once more.
            urgent: Once set, what is new is asked for at once.

        Raises:
            StoreUnavailableError: The source did not answer.
        """
        ...


class ConfigFollower:
    """The configuration in force on this VM.

    Attributes:
        away: Whether the source is known not to answer.
        evacuations: The zones that operators have evacuated.
    """

    def __init__(
        self,
        source: ConfigSource,
        within: float = _WITHIN,
        evacuated_within: float = float("inf"),
    ) -> None:
        """Knows none yet; `run` follows the source.

        Args:
            source: Where it is published.
            within: Seconds after its acknowledgement within which a change
                has to be in force.
            evacuated_within: The same of an evacuation.
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
        self._current_within = within * const.CONFIG_CURRENT_SHARE
        self._config: WorkConfig | None = None
        self._known_at = float("-inf")
        self._urgent = trio.Event()
        self._answered = trio.Event()

    @property
    def config(self) -> WorkConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    def age(self) -> float:
        """Seconds since the copy in force was surely the newest, or inf."""
        return trio.current_time() - self._known_at

    async def make_current(self) -> bool:
        """Returns whether no change that has to be in force can be missing.

        A copy that isn't fresh is looked up anew first, see `known_since`: it
        may lack a change that was confirmed a moment ago. Where the source is
        too slow for that, a copy counts until a change has to be in force.
        """
        now = trio.current_time()
        await self.known_since(now - self._fresh_within)
        return self._known_at >= now - self._current_within

    async def known_since(self, moment: float) -> bool:
        """Returns whether the copy was surely the newest at a moment or later.

        If it wasn't, the source is asked now, once for all who wait. Nobody
        waits for a source that is known not to answer.

        Args:
            moment: Monotonic, not later than now.
        """
        if self._known_at < moment and not self.away:
            with trio.move_on_after(const.CONFIG_LOOK_UP):
                while self._known_at < moment and not self.away:
                    self._urgent.set()
                    await self._answered.wait()
            self.away = self.away or self._known_at < moment
        return self._known_at >= moment

    async def in_force(self, queue: Queue) -> Queue | None:
        """Returns the newest form of a queue, or None if it was dropped.

        Whoever took it from a copy of its own may have missed a change, as
        while the store turns it away, or may know of one that isn't here yet.
        """
        asked_at = trio.current_time()
        newest = self._find(queue.name)
        if newest is None:
            dropped = await self.known_since(asked_at)
            newest = self._find(queue.name) or (None if dropped else queue)
        return newest

    def _find(self, name: str) -> Queue | None:
        queues = self._config.queues if self._config is not None else ()
        return next((queue for queue in queues if queue.name == name), None)

    async def run(self) -> None:
        """Follows the source for ever."""
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
            news = await self._source.next_config(
                # What isn't there can't be waited for.
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
                age=self._told_age(),
            )
            return
        self.away = False
        self._pace.note_answer(news=news.config is not None)
        if news.config is not None:
            self._apply(news.config, news.asked_at)
        self.evacuations.take(news.evacuated, news.known_at)
        self._known_at = max(self._known_at, news.known_at)

    def _apply(self, config: WorkConfig, asked_at: float) -> None:
        known = self._config
        if known is not None and config.version <= known.version:
            return
        note(
            "config_in_force",
            version=config.version,
            queues=len(config.queues),
            waited=round(trio.current_time() - asked_at, 3),
            age=self._told_age(),
        )
        self._config = config

    def _told_age(self) -> float | None:
        return round(self.age(), 3) if self._config is not None else None
