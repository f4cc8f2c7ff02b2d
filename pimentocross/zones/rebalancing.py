"""Moves service replicas, one at a time, to workers with lower cost."""

from collections.abc import Callable, Mapping

import trio

from pimentocross.backing.workers import TaskKind
from pimentocross.config.schema import Configuration
from pimentocross.placement.const import MOVE_INTERVAL_SECONDS
from pimentocross.vms.worker import Worker
from pimentocross.zones.placer import Placer
from pimentocross.zones.tasks import TaskPhase, WantedTask


async def rebalance(
    tasks: Mapping[str, WantedTask],
    workers: Mapping[str, Worker],
    placer: Placer,
    config: Callable[[], Configuration | None],
    evict: Callable[[WantedTask, str], None],
) -> None:
    """Moves at most one replica per interval, until cancelled.

    Nothing moves while a replica is not running, such as one being moved.

    Args:
        tasks: Tasks of the cell by id.
        workers: Workers of the cell by name.
        placer: Chooses the move.
        config: Returns the configuration, or None if there is none.
        evict: Evicts a task for the given reason; it is then placed again.
    """
    while True:
        await trio.sleep(MOVE_INTERVAL_SECONDS)
        settled = all(
            task.phase is TaskPhase.RUNNING
            for task in tasks.values()
            if task.kind is TaskKind.SERVICE
        )
        if not settled:
            continue
        move = placer.choose_move(tasks.values(), workers.values(), config())
        if move is not None:
            reason = f"moves to {move.to}, cost falls by {move.gain:.2f}"
            evict(tasks[move.task], reason)
