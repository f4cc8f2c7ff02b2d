"""Stops replicas once nobody sends to them and all have answers."""

from collections.abc import Callable

import trio

from pimentocross.backing.workers import TaskSpec
from pimentocross.config.schema import Configuration
from pimentocross.vms.worker import Worker
from pimentocross.zones import const


class Withdrawals:
    """Replicas that are withdrawn from the targets first, stopped later.

    Attributes:
        nursery: Where they wait, once the owner runs.
    """

    def __init__(
        self,
        config: Callable[[], Configuration | None],
        on_targets: Callable[[], None],
    ) -> None:
        """Takes the configuration and who tells the new targets."""
        self.nursery: trio.Nursery | None = None
        self._config = config
        self._on_targets = on_targets

    def withdraw(self, worker: Worker, spec: TaskSpec) -> None:
        """Withdraws a replica; it is stopped after its longest answer."""
        self._on_targets()
        config = self._config()
        declared = config.services.get(spec.class_name) if config else None
        longest = declared.timeout if declared else const.WITHDRAW_DEFAULT
        if self.nursery is not None:
            delay = longest + const.WITHDRAW_NOTICE
            self.nursery.start_soon(self._stop_later, worker, spec, delay)

    async def _stop_later(
        self, worker: Worker, spec: TaskSpec, delay: float
    ) -> None:
        await trio.sleep(delay)
        worker.stop(spec.task, spec.attempt, checkpoint=False)
