"""A fake of workers with hidden interference, for measuring decisions.

Time goes in steps of a second. Each class slows each other by a hidden
amount for each neighbour and load band; usage is reported late and with
noise. Only the decisions are real: they come from `placement/`.
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
    """A class of tasks: its kind, size, and seconds of work if it is batch."""

    name: str
    kind: TaskKind
    size: Resources
    seconds: float = 0.0


class Matrix:
    """Hidden slowdown that one neighbour adds, by victim, neighbour, band."""

    def __init__(self, values: dict[str, dict[str, list[float]]]) -> None:
        """Takes three values, for low, middle and high load, for each pair."""
        self._values = values

    def added(self, victim: str, neighbour: str, band: int) -> float:
        """Returns what one neighbour adds; 0 for a pair not given."""
        bands = self._values.get(victim, {}).get(neighbour)
        return bands[band] if bands else 0.0

    def slowdown(
        self, victim: str, classes: dict[str, int], band: int
    ) -> float:
        """Returns a task's slowdown beside others, 0 for none."""
        total = 0.0
        for name, count in classes.items():
            besides = count - (name == victim)
            total += besides * self.added(victim, name, band)
        return total


def read_matrix(path: Path) -> Matrix:
    """Reads a matrix: victim, neighbour, and a value for each band."""
    values = yaml.safe_load(path.read_text())
    for neighbours in values.values():
        for bands in neighbours.values():
            if len(bands) != BANDS:
                raise ValueError(f"{path}: {BANDS} values for each pair")
    return Matrix(values)


class FakeTask:
    """One task: where it runs and how much of its work is left."""

    def __init__(self, name: str, of: FakeClass, queued_at: int) -> None:
        """Starts queued."""
        self.name = name
        self.of = of
        self.queued_at = queued_at
        self.left = of.seconds
        self.worker: FakeWorker | None = None
        self.avoid: set[str] = set()


class FakeWorker:
    """One worker, as placement sees it."""

    def __init__(self, name: str, rack: int, capacity: Resources) -> None:
        """Starts empty."""
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
        """Its load band."""
        used = self.capacity.processors - self.free.processors
        return load_band(used, self.capacity.processors)

    def add(self, task: FakeTask) -> None:
        """Starts a task here."""
        self.free = self.free.minus(task.of.size)
        assert min(self.free) >= -1e-9, "over capacity"
        name = task.of.name
        self.classes[name] = self.classes.get(name, 0) + 1
        self.tasks[task.name] = task
        task.worker = self

    def remove(self, task: FakeTask) -> None:
        """Ends a task here."""
        self.free = self.free.plus(task.of.size)
        self.classes[task.of.name] -= 1
        del self.tasks[task.name]
        task.worker = None


class Report(NamedTuple):
    """A measurement, known only some seconds after it was made."""

    known_at: int
    victim: str
    others: dict[str, int]
    band: int
    slowdown: float


class FakeUsage:
    """Measures tasks and tells of it late."""

    def __init__(self, matrix: Matrix, draw: random.Random) -> None:
        """Takes what is hidden."""
        self._matrix = matrix
        self._draw = draw
        self._pending: deque[Report] = deque()

    def measure(self, now: int, workers: list[FakeWorker]) -> None:
        """Measures one task of each class on each worker."""
        for worker in workers:
            present = {n: c for n, c in worker.classes.items() if c > 0}
            for victim in present:
                true = self._matrix.slowdown(victim, present, worker.band)
                noise = self._draw.gauss(0.0, USAGE_NOISE * (1 + true))
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

    def take(self, now: int) -> list[Report]:
        """Returns what has become known."""
        taken = []
        while self._pending and self._pending[0].known_at <= now:
            taken.append(self._pending.popleft())
        return taken
