"""Where a cell's tasks go: the decisions, fed with what the owner sees."""

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


class View(NamedTuple):
    """A worker as placement sees it."""

    name: str
    free: Resources
    capacity: Resources
    classes: dict[str, int]


class Placer:
    """Chooses workers for the tasks of one cell, and learns from usage."""

    def __init__(self, policy: PlacementPolicy | None = None) -> None:
        """Takes a policy, or makes the one that the configuration asks for."""
        self._fixed = policy
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
        """Returns a worker for a task, or why there is none."""
        usable = _usable(workers)
        if task.kind is TaskKind.BATCH:
            now = trio.current_time()
            admits = self._quarantine.admits
            usable = [w for w in usable if admits(w.name, now)]
        # A task that failed on a worker tries others first.
        fresh = [w for w in usable if w.name not in task.avoid]
        views = self._views(fresh or usable)
        if config is not None:
            task.size = self._sizes.correct(
                task.class_name, task.declared, config.workers.resources
            )
        return self._policy(config).choose(_wanted(task), views)

    def choose_move(
        self,
        tasks: Iterable[WantedTask],
        workers: Iterable[Worker],
        config: Configuration | None,
    ) -> Move | None:
        """Returns a replica that would do better elsewhere, if there is one."""
        policy = self._policy(config)
        if not isinstance(policy, WeightedPolicy):
            return None
        placed = [
            PlacedReplica(_wanted(task), task.worker)
            for task in tasks
            if task.kind is TaskKind.SERVICE
        ]
        return choose_move(placed, self._views(_usable(workers)), policy)

    def note_started(self, task: WantedTask, worker: Worker) -> None:
        """Notes that a task is sent to a worker."""
        if task.kind is TaskKind.BATCH:
            self._quarantine.note_started(worker.name)
        counts = self._classes.setdefault(worker.name, {})
        counts[task.class_name] = counts.get(task.class_name, 0) + 1
        self._note_history(worker, counts)

    def note_ended(self, worker: str, job: str, *, finished: bool) -> None:
        """Notes how a try at a batch task ended."""
        if finished:
            self._quarantine.note_finished(worker)
        else:
            self._quarantine.note_failed(worker, job, trio.current_time())

    def note_lost(self, worker: str) -> None:
        """Notes that a try ended without saying anything of the worker."""
        self._quarantine.note_lost(worker)

    def count_classes(
        self, worker: Worker, tasks: Mapping[str, WantedTask]
    ) -> None:
        """Counts anew what a worker holds."""
        counts: dict[str, int] = {}
        for name in worker.commitments.tasks:
            task = tasks.get(name)
            if task is not None:
                counts[task.class_name] = counts.get(task.class_name, 0) + 1
        self._classes[worker.name] = counts
        self._note_history(worker, counts)

    def learn(self, worker: Worker, usage: Sequence[Usage]) -> None:
        """Takes usage in, attributed to what ran when it was measured."""
        history = self._history.get(worker.name)
        if history is None:
            return
        now = trio.current_time()
        for seen in usage:
            self._sizes.note(seen.class_name, seen.processors, seen.memory)
            then = history.at(seen.measured_at)
            if then is None:
                continue
            self._interference.learn(
                seen.class_name,
                others(then.classes, seen.class_name),
                then.band,
                max(seen.slowdown - 1.0, 0.0),
                now,
            )

    def explain(self, worker: str) -> str:
        """Returns why a worker gets no batch tasks, or ""."""
        return self._quarantine.explain(worker, trio.current_time())

    def _policy(self, config: Configuration | None) -> PlacementPolicy:
        if self._fixed is not None:
            return self._fixed
        if config is None:
            return LeastLoaded()
        return make_weighted_policy(self._interference, config)

    def _views(self, workers: Sequence[Worker]) -> list[View]:
        return [
            View(
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


def _wanted(task: WantedTask) -> PlacementRequest:
    return PlacementRequest(task.task, task.kind, task.class_name, task.size)
