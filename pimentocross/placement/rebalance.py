"""Which replica of a service to move, once its neighbours are known."""

from collections.abc import Sequence
from typing import NamedTuple

from pimentocross.backing.workers import Resources
from pimentocross.placement import const
from pimentocross.placement.policy import Candidate, Wanted
from pimentocross.placement.weighted import WeightedPolicy


class Placed(NamedTuple):
    """A replica and the worker that it is on."""

    wanted: Wanted
    worker: str


class Move(NamedTuple):
    """A replica that would do better elsewhere, and by how much."""

    task: str
    gain: float
    to: str


class _Without(NamedTuple):
    """A worker as it would be without one of its tasks."""

    name: str
    free: Resources
    capacity: Resources
    classes: dict[str, int]


def choose_move(
    placed: Sequence[Placed],
    workers: Sequence[Candidate],
    policy: WeightedPolicy,
) -> Move | None:
    """Returns the move that gains most, if one gains enough.

    The threshold is the hysteresis: what is gained has to outweigh a replica
    that is away for a moment, and the estimates' noise.
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
    replica: Placed,
    home: Candidate,
    workers: Sequence[Candidate],
    policy: WeightedPolicy,
) -> Move | None:
    wanted = replica.wanted
    stays = policy.cost(wanted, _without(home, wanted))
    fitting = [
        w
        for w in workers
        if w.name != home.name and wanted.size.fits_in(w.free)
    ]
    if not fitting:
        return None
    cost, name = min((policy.cost(wanted, w), w.name) for w in fitting)
    gain = stays - cost
    if gain < const.MOVE_GAIN_LEAST:
        return None
    return Move(wanted.task, gain, name)


def _without(worker: Candidate, wanted: Wanted) -> _Without:
    classes = dict(worker.classes)
    classes[wanted.class_name] = classes.get(wanted.class_name, 0) - 1
    free = worker.free.plus(wanted.size)
    return _Without(worker.name, free, worker.capacity, classes)
