"""What a cell reports to entry VMs: its load and its service replicas."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import trio

from pimentocross.config.schema import Configuration
from pimentocross.vms.worker import Worker
from pimentocross.zones import const
from pimentocross.zones.tasks import TaskPhase, WantedTask


class Target(NamedTuple):
    """A running replica of a service that requests can be sent to.

    Attributes:
        service: Name of the service.
        worker: Name of the worker that runs the replica.
        address: host:port.
        concurrency: Requests that the replica runs at once.
        connections: Connections that the worker accepts from all entry VMs.
        zone: The worker's availability zone.
    """

    service: str
    worker: str
    address: str
    concurrency: int
    connections: int
    zone: str


class CellLoad(NamedTuple):
    """A cell's load, by which the cell of a new job is chosen.

    Attributes:
        pending: Tasks that wait for a worker.
        running: All other tasks.
        free_slots: Unreserved slots of workers whose tasks are known.
    """

    pending: int
    running: int
    free_slots: int


def find_targets(
    zone: str,
    tasks: Iterable[WantedTask],
    workers: Mapping[str, Worker],
    config: Configuration | None,
) -> list[Target]:
    """Returns the running service replicas, except on leaving workers."""
    found: list[Target] = []
    if config is None:
        return found
    for task in tasks:
        worker = workers.get(task.worker)
        is_running = task.phase is TaskPhase.RUNNING
        service = config.services.get(task.class_name)
        if (
            worker is None
            or service is None
            or not is_running
            or worker.leaving
        ):
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
    """Returns a cell's load as it is now."""
    pending = sum(t.phase is TaskPhase.PENDING for t in tasks.values())
    free = sum(
        max(w.commitments.free.slots, 0)
        for w in workers.values()
        if w.is_synced
    )
    return CellLoad(pending, len(tasks) - pending, free)


class LoadGauge:
    """Caches a cell's load for `LOAD_INTERVAL` seconds."""

    def __init__(self) -> None:
        """Initializes the gauge; the first read counts the load."""
        self._load = CellLoad(0, 0, 0)
        self._counted_at = float("-inf")

    def read(
        self, tasks: Mapping[str, WantedTask], workers: Mapping[str, Worker]
    ) -> CellLoad:
        """Returns the cell's load, at most `LOAD_INTERVAL` seconds old."""
        now = trio.current_time()
        if now - self._counted_at >= const.LOAD_INTERVAL:
            self._load = count_load(tasks, workers)
            self._counted_at = now
        return self._load
