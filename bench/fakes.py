"""Simulates workers with interference, to measure placement decisions.

Time advances in steps of a second. Each task slows the others on its worker by
an amount that depends on both classes and the load band, and that placement
has to learn from late and noisy usage reports. Only the decisions are real:
they come from `placement/`.
"""

from collections import Counter, deque
from pathlib import Path
import random
from typing import NamedTuple

import yaml

from pimentocross.backing.workers import Resources, TaskKind
from pimentocross.placement.const import BANDS
from pimentocross.placement.interference import load_band

USAGE_LAG = 8
USAGE_NOISE = 0.1


class FakeClass(NamedTuple):
    """A class of tasks; `seconds` is the work of a batch task."""

    name: str
    kind: TaskKind
    size: Resources
    seconds: float = 0.0


class Matrix:
    """Slowdown that one neighbour adds, by victim, neighbour and load band."""

    def __init__(self, values: dict[str, dict[str, list[float]]]) -> None:
        """Initializes the matrix with a value per load band for each pair."""
        self._values = values

    def added_slowdown(self, victim: str, neighbour: str, band: int) -> float:
        """Returns the slowdown that one neighbour adds; 0 for unknown pairs."""
        bands = self._values.get(victim, {}).get(neighbour)
        return bands[band] if bands else 0.0

    def slowdown(
        self, victim: str, classes: dict[str, int], band: int
    ) -> float:
        """Returns the relative slowdown of a task on a worker; 0 is none.

        Args:
            victim: Class of the task.
            classes: Tasks on the worker by class, including this task.
            band: Load band of the worker.
        """
        total = 0.0
        for name, count in classes.items():
            neighbour_count = count - (name == victim)
            total += neighbour_count * self.added_slowdown(victim, name, band)
        return total


def read_matrix(path: Path) -> Matrix:
    """Reads a YAML matrix: victim, neighbour, and a value per load band.

    Raises:
        ValueError: If a pair has another number of values.
    """
    values = yaml.safe_load(path.read_text())
    for neighbours in values.values():
        for bands in neighbours.values():
            if len(bands) != BANDS:
                raise ValueError(
                    f"{path}: expected {BANDS} values for each pair"
                )
    return Matrix(values)


class FakeTask:
    """A task, its worker and its remaining work."""

    def __init__(
        self, name: str, task_class: FakeClass, queued_at: int
    ) -> None:
        """Initializes a queued task; `queued_at` is in simulated seconds."""
        self.name = name
        self.task_class = task_class
        self.queued_at = queued_at
        self.seconds_left = task_class.seconds
        self.worker: FakeWorker | None = None
        self.avoid: set[str] = set()


class FakeWorker:
    """A worker with the attributes that placement reads."""

    def __init__(self, name: str, rack: int, capacity: Resources) -> None:
        """Initializes a worker without tasks."""
        self.name = name
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.classes: dict[str, int] = {}
        self.tasks: dict[str, FakeTask] = {}
        self.alive = True
        self.fails_all = False

    @property
    def band(self) -> int:
        """Returns the load band of the reserved processors."""
        used = self.capacity.processors - self.free.processors
        return load_band(used, self.capacity.processors)

    def add(self, task: FakeTask) -> None:
        """Starts a task on this worker."""
        self.free = self.free.minus(task.task_class.size)
        assert min(self.free) >= -1e-9, "over capacity"
        name = task.task_class.name
        self.classes[name] = self.classes.get(name, 0) + 1
        self.tasks[task.name] = task
        task.worker = self

    def remove(self, task: FakeTask) -> None:
        """Removes a task from this worker."""
        self.free = self.free.plus(task.task_class.size)
        self.classes[task.task_class.name] -= 1
        del self.tasks[task.name]
        task.worker = None


class Report(NamedTuple):
    """A measured slowdown, available from `known_at` on."""

    known_at: int
    victim: str
    others: dict[str, int]
    band: int
    slowdown: float


class FakeUsage:
    """Measures tasks with noise and reports the results late."""

    def __init__(self, matrix: Matrix, rng: random.Random) -> None:
        """Initializes the measurement with the true slowdowns."""
        self._matrix = matrix
        self._rng = rng
        self._pending: deque[Report] = deque()

    def measure(self, now: int, workers: list[FakeWorker]) -> None:
        """Measures a task of each class on each worker."""
        for worker in workers:
            present = {n: c for n, c in worker.classes.items() if c > 0}
            for victim in present:
                true = self._matrix.slowdown(victim, present, worker.band)
                noise = self._rng.gauss(0.0, USAGE_NOISE * (1 + true))
                others = Counter(present)
                others[victim] -= 1
                self._pending.append(
                    Report(
                        now + USAGE_LAG,
                        victim,
                        +others,
                        worker.band,
                        max(true + noise, 0.0),
                    )
                )

    def pop_known(self, now: int) -> list[Report]:
        """Removes and returns the reports that are available by now."""
        taken = []
        while self._pending and self._pending[0].known_at <= now:
            taken.append(self._pending.popleft())
        return taken
