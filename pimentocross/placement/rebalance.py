"""Chooses a service replica to move away from neighbours that slow it."""

from collections.abc import Sequence
from typing import NamedTuple

from pimentocross.backing.workers import Resources
from pimentocross.placement import const
from pimentocross.placement.policy import Candidate, PlacementRequest
from pimentocross.placement.weighted import WeightedPolicy


class PlacedReplica(NamedTuple):
    """A replica and the name of the worker that it runs on."""

    request: PlacementRequest
    worker: str


class Move(NamedTuple):
    """A replica to move, the cost that this saves, and the new worker."""

    task: str
    gain: float
    to: str


class _WorkerWithoutTask(NamedTuple):
    """A worker as it would be without one of its tasks."""

    name: str
    free: Resources
    capacity: Resources
    classes: dict[str, int]


def choose_move(
    placed: Sequence[PlacedReplica],
    workers: Sequence[Candidate],
    policy: WeightedPolicy,
) -> Move | None:
    """Returns the move that gains most, or None if none gains enough.

    The threshold adds hysteresis: the gain has to outweigh the noise of the
    estimates and the short time in which the moved replica is down.
    """
    best: Move | None = None
    by_name = {worker.name: worker for worker in workers}
    for replica in placed:
        home = by_name.get(replica.worker)
        if home is None:
            continue
        move = _best_move(replica, home, workers, policy)
        if move is not None and (best is None or move.gain > best.gain):
            best = move
    return best


def _best_move(
    replica: PlacedReplica,
    home: Candidate,
    workers: Sequence[Candidate],
    policy: WeightedPolicy,
) -> Move | None:
    request = replica.request
    cost_of_staying = policy.cost(request, _without_task(home, request))
    fitting = [
        w
        for w in workers
        if w.name != home.name and request.size.fits_in(w.free)
    ]
    if not fitting:
        return None
    cost, name = min((policy.cost(request, w), w.name) for w in fitting)
    gain = cost_of_staying - cost
    if gain < const.MIN_MOVE_GAIN:
        return None
    return Move(request.task, gain, name)


def _without_task(
    worker: Candidate, request: PlacementRequest
) -> _WorkerWithoutTask:
    classes = dict(worker.classes)
    classes[request.class_name] = classes.get(request.class_name, 0) - 1
    free = worker.free.plus(request.size)
    return _WorkerWithoutTask(worker.name, free, worker.capacity, classes)
