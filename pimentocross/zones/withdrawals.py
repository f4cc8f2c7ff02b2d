"""Stops service replicas after their last requests have been answered."""

from collections.abc import Callable

import trio

from pimentocross.backing.workers import TaskSpec
from pimentocross.config.schema import Configuration
from pimentocross.vms.worker import Worker
from pimentocross.zones import const


class Withdrawals:
    """Removes replicas from the targets first and stops them later.

    Attributes:
        nursery: Runs the delayed stops; None until the owner runs.
    """

    def __init__(
        self,
        config: Callable[[], Configuration | None],
        on_targets_changed: Callable[[], None],
    ) -> None:
        """Initializes without withdrawn replicas.

        Args:
            config: Returns the configuration, or None if there is none.
            on_targets_changed: Called when a replica is withdrawn.
        """
        self.nursery: trio.Nursery | None = None
        self._config = config
        self._on_targets_changed = on_targets_changed

    def withdraw(self, worker: Worker, spec: TaskSpec) -> None:
        """Withdraws a replica and stops it after the longest request time."""
        self._on_targets_changed()
        config = self._config()
        declared = config.services.get(spec.class_name) if config else None
        longest_request = (
            declared.timeout if declared else const.DEFAULT_REQUEST_TIMEOUT
        )
        if self.nursery is not None:
            delay = longest_request + const.TARGET_UPDATE_DELAY
            self.nursery.start_soon(self._stop_later, worker, spec, delay)

    async def _stop_later(
        self, worker: Worker, spec: TaskSpec, delay: float
    ) -> None:
        await trio.sleep(delay)
        worker.stop(spec.task, spec.attempt, checkpoint=False)
