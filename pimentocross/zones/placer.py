"""Chooses workers for a cell's tasks from measured usage and failures."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import trio

from pimentocross.backing.workers import Resources, TaskKind, Usage
from pimentocross.config.schema import Configuration
from pimentocross.placement.interference import (
    Interference,
    NeighbourHistory,
    load_band,
    others,
)
from pimentocross.placement.policy import (
    Choice,
    LeastLoaded,
    PlacementPolicy,
    PlacementRequest,
)
from pimentocross.placement.quarantine import Quarantine
from pimentocross.placement.rebalance import Move, PlacedReplica, choose_move
from pimentocross.placement.sizes import ObservedSizes
from pimentocross.placement.weighted import (
    WeightedPolicy,
    make_weighted_policy,
)
from pimentocross.vms.worker import Worker
from pimentocross.zones.tasks import WantedTask


class WorkerView(NamedTuple):
    """A worker's capacity and tasks, as the placement policy gets them.

    Attributes:
        name: Name of the worker.
        free: Resources that no task has reserved.
        capacity: Resources for tasks in total.
        classes: Number of tasks by class name.
    """

    name: str
    free: Resources
    capacity: Resources
    classes: dict[str, int]


class Placer:
    """Places the tasks of one cell and learns from their usage."""

    def __init__(self, policy: PlacementPolicy | None = None) -> None:
        """Initializes the placer.

        Args:
            policy: Placement policy; None for the configured one.
        """
        self._fixed_policy = policy
        self._interference = Interference()
        self._quarantine = Quarantine()
        self._sizes = ObservedSizes()
        self._classes: dict[str, dict[str, int]] = {}
        self._history: dict[str, NeighbourHistory] = {}

    def choose(
        self,
        task: WantedTask,
        workers: Iterable[Worker],
        config: Configuration | None,
    ) -> Choice:
        """Returns the worker chosen for a task, or why there is none."""
        usable = _usable(workers)
        if task.kind is TaskKind.BATCH:
            now = trio.current_time()
            admits = self._quarantine.admits
            usable = [w for w in usable if admits(w.name, now)]
        # Workers where the task failed are chosen only if no other is usable.
        untried = [w for w in usable if w.name not in task.avoid]
        views = self._views(untried or usable)
        if config is not None:
            task.size = self._sizes.correct(
                task.class_name, task.declared, config.workers.resources
            )
        return self._policy(config).choose(_to_placement_request(task), views)

    def choose_move(
        self,
        tasks: Iterable[WantedTask],
        workers: Iterable[Worker],
        config: Configuration | None,
    ) -> Move | None:
        """Returns a move of a replica to a better worker, or None."""
        policy = self._policy(config)
        if not isinstance(policy, WeightedPolicy):
            return None
        placed = [
            PlacedReplica(_to_placement_request(task), task.worker)
            for task in tasks
            if task.kind is TaskKind.SERVICE
        ]
        return choose_move(placed, self._views(_usable(workers)), policy)

    def note_started(self, task: WantedTask, worker: Worker) -> None:
        """Records that a task is being started on a worker."""
        if task.kind is TaskKind.BATCH:
            run = (task.task, task.attempt)
            self._quarantine.note_started(worker.name, run, trio.current_time())
        counts = self._classes.setdefault(worker.name, {})
        counts[task.class_name] = counts.get(task.class_name, 0) + 1
        self._note_history(worker, counts)

    def note_ended(self, worker: str, job: str, *, finished: bool) -> None:
        """Records how an attempt at a batch task ended."""
        if finished:
            self._quarantine.note_finished(worker)
        else:
            self._quarantine.note_failed(worker, job, trio.current_time())

    def note_lost(self, worker: str) -> None:
        """Allows another trial task on a worker if it is quarantined."""
        self._quarantine.end_trial(worker)

    def count_classes(
        self, worker: Worker, tasks: Mapping[str, WantedTask]
    ) -> None:
        """Recounts the tasks that a worker holds, by class."""
        counts: dict[str, int] = {}
        for name in worker.commitments.tasks:
            task = tasks.get(name)
            if task is not None:
                counts[task.class_name] = counts.get(task.class_name, 0) + 1
        self._classes[worker.name] = counts
        self._note_history(worker, counts)

    def learn(self, worker: Worker, usage: Sequence[Usage]) -> None:
        """Learns from usage and the tasks that ran beside it when measured."""
        history = self._history.get(worker.name)
        if history is None:
            return
        now = trio.current_time()
        for sample in usage:
            self._sizes.note(
                sample.class_name, sample.processors, sample.memory
            )
            neighbours = history.at(sample.measured_at)
            if neighbours is None:
                continue
            self._interference.learn(
                sample.class_name,
                others(neighbours.classes, sample.class_name),
                neighbours.band,
                max(sample.slowdown - 1.0, 0.0),
                now,
            )

    def explain(self, worker: str) -> str:
        """Returns why a worker is quarantined, or "" if it is not."""
        return self._quarantine.explain(worker, trio.current_time())

    def _policy(self, config: Configuration | None) -> PlacementPolicy:
        if self._fixed_policy is not None:
            return self._fixed_policy
        if config is None:
            return LeastLoaded()
        return make_weighted_policy(self._interference, config)

    def _views(self, workers: Sequence[Worker]) -> list[WorkerView]:
        return [
            WorkerView(
                w.name,
                w.commitments.free,
                w.commitments.capacity,
                self._classes.get(w.name, {}),
            )
            for w in workers
        ]

    def _note_history(self, worker: Worker, counts: dict[str, int]) -> None:
        commitments = worker.commitments
        capacity = commitments.capacity.processors
        used = capacity - commitments.free.processors
        history = self._history.setdefault(worker.name, NeighbourHistory())
        band = load_band(used, capacity)
        history.note(trio.current_time(), counts, band)


def _usable(workers: Iterable[Worker]) -> list[Worker]:
    return [w for w in workers if w.is_synced and not w.leaving]


def _to_placement_request(task: WantedTask) -> PlacementRequest:
    return PlacementRequest(task.task, task.kind, task.class_name, task.size)
