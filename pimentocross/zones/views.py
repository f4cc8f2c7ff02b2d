"""What others see of a cell: its load, and where its services answer."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import trio

from pimentocross.config.schema import Configuration
from pimentocross.vms.worker import Worker
from pimentocross.zones import const
from pimentocross.zones.tasks import TaskPhase, WantedTask


class Target(NamedTuple):
    """Where a service answers.

    Attributes:
        service: Its name.
        worker: The worker that runs it.
        address: host:port.
        concurrency: Requests that it runs at once.
        connections: Connections that it accepts from all entry VMs.
        zone: Its availability zone.
    """

    service: str
    worker: str
    address: str
    concurrency: int
    connections: int
    zone: str


class CellLoad(NamedTuple):
    """How full a cell is, for the choice of a cell for a new job."""

    pending: int
    running: int
    free_slots: int


def find_targets(
    zone: str,
    tasks: Iterable[WantedTask],
    workers: Mapping[str, Worker],
    config: Configuration | None,
) -> list[Target]:
    """Returns where services answer, without leaving workers."""
    found: list[Target] = []
    if config is None:
        return found
    for task in tasks:
        worker = workers.get(task.worker)
        runs = task.phase is TaskPhase.RUNNING
        service = config.services.get(task.class_name)
        if worker is None or service is None or not runs or worker.leaving:
            continue
        found.append(
            Target(
                task.class_name,
                worker.name,
                worker.service_address,
                service.concurrency,
                worker.connections,
                zone,
            )
        )
    return found


def count_load(
    tasks: Mapping[str, WantedTask], workers: Mapping[str, Worker]
) -> CellLoad:
    """Returns how full a cell is."""
    pending = sum(t.phase is TaskPhase.PENDING for t in tasks.values())
    free = sum(
        max(w.commitments.free.slots, 0)
        for w in workers.values()
        if w.is_synced
    )
    return CellLoad(pending, len(tasks) - pending, free)


class LoadGauge:
    """Counts a cell's load anew at most every `LOAD_INTERVAL`."""

    def __init__(self) -> None:
        """Has counted nothing yet."""
        self._load = CellLoad(0, 0, 0)
        self._counted_at = float("-inf")

    def read(
        self, tasks: Mapping[str, WantedTask], workers: Mapping[str, Worker]
    ) -> CellLoad:
        """Returns how full the cell was a moment ago."""
        now = trio.current_time()
        if now - self._counted_at >= const.LOAD_INTERVAL:
            self._load = count_load(tasks, workers)
            self._counted_at = now
        return self._load
