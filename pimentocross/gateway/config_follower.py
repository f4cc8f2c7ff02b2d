"""Follows the operators' configuration and knows how old its copy may be."""

from typing import Protocol

import trio

from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.gateway import const
from pimentocross.observe.decisions import note
from pimentocross.work.queue import WorkConfig


class ConfigSource(Protocol):
    """Where operators publish the configuration."""

    async def next_config(
        self, wait: float, timeout: float
    ) -> WorkConfig | None:
        """Returns the newest configuration if there is news within `wait`.

        Raises:
            StoreUnavailableError: The source did not answer.
        """
        ...


class ConfigFollower:
    """The configuration in force on this VM."""

    def __init__(self, source: ConfigSource) -> None:
        """Knows none yet; `run` follows the source."""
        self._source = source
        self._config: WorkConfig | None = None
        self._current_at = float("-inf")

    @property
    def config(self) -> WorkConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    def age(self) -> float:
        """Seconds since the copy in force was surely the newest, or inf."""
        return trio.current_time() - self._current_at

    async def run(self) -> None:
        """Follows the source for ever."""
        while True:
            asked_at = trio.current_time()
            try:
                config = await self._source.next_config(
                    const.FOLLOW_WAIT, const.FOLLOW_TIMEOUT
                )
            except StoreUnavailableError as error:
                note(
                    "config_unread",
                    reason=str(error),
                    waited=round(trio.current_time() - asked_at, 3),
                    age=self._told_age(),
                )
                await trio.sleep(const.FOLLOW_RETRY)
                continue
            if config is not None:
                self._apply(config)
            self._current_at = asked_at

    def _apply(self, config: WorkConfig) -> None:
        known = self._config
        if known is not None and config.version <= known.version:
            return
        note(
            "config_in_force",
            version=config.version,
            queues=len(config.queues),
            age=self._told_age(),
        )
        self._config = config

    def _told_age(self) -> float | None:
        return round(self.age(), 3) if self._config is not None else None
