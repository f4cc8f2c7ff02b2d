"""Restarts crashed stand-in workers, as their VMs do."""

from collections.abc import Callable
import random
from typing import Final, NamedTuple

import trio

from pimentocross.standins.task_worker import TaskPlan, TaskWorkerStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import TaskName

# Seconds after a worker's last report at which its entry is removed.
_ENTRY_EXPIRY: Final = 4.5
# Seconds between checks for crashed workers.
_POLL_INTERVAL: Final = 0.02


class DownTime(NamedTuple):
    """Range, in seconds, of the time for which a crashed worker is down."""

    min_seconds: float = 1.0
    max_seconds: float = 3.0


DEFAULT_DOWN_TIME: Final = DownTime()


class Supervisor:
    """Restarts crashed workers, under their former id or a new one.

    Attributes:
        crashes: Number of worker lives that have crashed.
    """

    def __init__(
        self,
        pool: WorkerPool,
        plan: Callable[[TaskName], TaskPlan],
        down: DownTime = DEFAULT_DOWN_TIME,
        seed: int = 0,
        *,
        keeps_ids: bool = False,
    ) -> None:
        """Initializes the supervisor.

        Args:
            pool: The workers to watch.
            plan: Returns how a task behaves on restarted workers.
            down: Range of the down time after a crash.
            seed: Seed of the down times.
            keeps_ids: Whether a worker restarts under its former id.
        """
        self._keeps_ids = keeps_ids
        self.crashes = 0
        self._pool = pool
        self._restarting: set[TaskWorkerStandin] = set()
        self._plan = plan
        self._down = down
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Restarts crashed workers until it is cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for worker in list(self._pool.workers.values()):
                    worker.advance()
                    if worker.down and worker not in self._restarting:
                        self._restarting.add(worker)
                        nursery.start_soon(self._restart, worker)
                await trio.sleep(_POLL_INTERVAL)

    async def _restart(self, old: TaskWorkerStandin) -> None:
        self.crashes += 1
        crashed_at = trio.current_time()
        await trio.sleep(self._random.uniform(*self._down))
        self._restarting.discard(old)
        if not old.dead:
            # Something else has restarted the worker.
            return
        if self._keeps_ids:
            old.restart()
            return
        if self._pool.workers.pop(old.life.id, None) is None:
            # The VM already runs another worker life.
            return
        life = old.life._replace(
            id=f"{old.life.machine}-again{self.crashes}",
            born=old.life.born + 1,
        )
        new = TaskWorkerStandin(
            life, self._plan, self._pool.journal, seed=self.crashes
        )
        self._pool.add(new)
        old.down = False
        self._pool.lingering_entries[old.life.id] = old.life
        left = crashed_at + _ENTRY_EXPIRY - trio.current_time()
        await trio.sleep(max(left, 0.0))
        del self._pool.lingering_entries[old.life.id]
