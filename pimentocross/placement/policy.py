"""Placement policies: which worker gets a task."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from pimentocross.backing.workers import Resources, TaskKind


class Candidate(Protocol):
    """The properties of a worker that placement uses."""

    @property
    def name(self) -> str:
        """Name of the worker."""
        ...

    @property
    def free(self) -> Resources:
        """Resources that are not reserved."""
        ...

    @property
    def capacity(self) -> Resources:
        """All resources of the worker."""
        ...

    @property
    def classes(self) -> dict[str, int]:
        """Number of tasks on the worker by class."""
        ...


class PlacementRequest(NamedTuple):
    """A task to be placed."""

    task: str
    kind: TaskKind
    class_name: str
    size: Resources


class Choice(NamedTuple):
    """A worker's name, or "" if no worker fits, and the reason."""

    worker: str
    reason: str


class PlacementPolicy(Protocol):
    """Chooses a worker for one task."""

    def choose(
        self, request: PlacementRequest, workers: Sequence[Candidate]
    ) -> Choice:
        """Returns a worker that the task fits on, or the reason for none."""
        ...


class LeastLoaded:
    """Chooses the worker whose most used resource stays least used."""

    def choose(
        self, request: PlacementRequest, workers: Sequence[Candidate]
    ) -> Choice:
        """Returns the chosen worker; see `PlacementPolicy`."""
        fitting = [w for w in workers if request.size.fits_in(w.free)]
        if not fitting:
            return Choice("", explain_no_fit(request, workers))
        best = min(fitting, key=lambda w: (_rank(request, w), w.name))
        return Choice(best.name, f"least loaded of {len(fitting)}")


def _rank(request: PlacementRequest, worker: Candidate) -> tuple[int, float]:
    # Spreading the replicas of a service has priority over load.
    same = worker.classes.get(request.class_name, 0)
    spread = same if request.kind is TaskKind.SERVICE else 0
    return spread, fullness_with(request.size, worker)


def fullness_with(size: Resources, worker: Candidate) -> float:
    """Returns the used share of the most used resource after placement."""
    after = worker.free.minus(size)
    parts = zip(after, worker.capacity, strict=True)
    return max(1 - free / most for free, most in parts if most > 0)


def explain_no_fit(
    request: PlacementRequest, workers: Sequence[Candidate]
) -> str:
    """Returns why no worker fits, with the lacking resources counted."""
    if not workers:
        return "no worker of the cell can be reached"
    lacking = dict.fromkeys(Resources._fields, 0)
    for worker in workers:
        for name in Resources._fields:
            if getattr(request.size, name) > getattr(worker.free, name):
                lacking[name] += 1
    parts = [f"{n} on {count}" for n, count in lacking.items() if count]
    return f"too little free on {len(workers)} workers: {', '.join(parts)}"
