"""Where a task goes."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from pimentocross.backing.workers import Resources, TaskKind


class Candidate(Protocol):
    """A worker as placement sees it."""

    @property
    def name(self) -> str:
        """Its name."""
        ...

    @property
    def free(self) -> Resources:
        """What is not reserved."""
        ...

    @property
    def capacity(self) -> Resources:
        """What it can carry."""
        ...

    @property
    def classes(self) -> dict[str, int]:
        """How many tasks of each class it holds."""
        ...


class Wanted(NamedTuple):
    """A task to be placed."""

    task: str
    kind: TaskKind
    class_name: str
    size: Resources


class Choice(NamedTuple):
    """A worker's name, or "" and why there is none."""

    worker: str
    reason: str


class PlacementPolicy(Protocol):
    """Chooses a worker for one task."""

    def choose(self, wanted: Wanted, workers: Sequence[Candidate]) -> Choice:
        """Returns the worker, which the task fits on."""
        ...


class LeastLoaded:
    """Takes the worker whose fullest part stays the emptiest."""

    def choose(self, wanted: Wanted, workers: Sequence[Candidate]) -> Choice:
        """Returns the worker; see `PlacementPolicy`."""
        fitting = [w for w in workers if wanted.size.fits_in(w.free)]
        if not fitting:
            return Choice("", explain_no_fit(wanted, workers))
        best = min(fitting, key=lambda w: (_rank(wanted, w), w.name))
        return Choice(best.name, f"least loaded of {len(fitting)}")


def _rank(wanted: Wanted, worker: Candidate) -> tuple[int, float]:
    # Replicas of one service are spread before load is looked at.
    same = worker.classes.get(wanted.class_name, 0)
    spread = same if wanted.kind is TaskKind.SERVICE else 0
    return spread, fullness_with(wanted.size, worker)


def fullness_with(size: Resources, worker: Candidate) -> float:
    """Returns the fullest part's share once the size is placed there."""
    after = worker.free.minus(size)
    parts = zip(after, worker.capacity, strict=True)
    return max(1 - free / most for free, most in parts if most > 0)


def explain_no_fit(wanted: Wanted, workers: Sequence[Candidate]) -> str:
    """Returns why no worker takes the task, with numbers."""
    if not workers:
        return "no worker of the cell can be reached"
    lacking = dict.fromkeys(Resources._fields, 0)
    for worker in workers:
        for name in Resources._fields:
            if getattr(wanted.size, name) > getattr(worker.free, name):
                lacking[name] += 1
    parts = [f"{n} on {count}" for n, count in lacking.items() if count]
    return f"too little free on {len(workers)} workers: {', '.join(parts)}"
