"""Moves serving tasks so that workers are open for what fills."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from pimentocross.observe.decisions import note
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Orders
from pimentocross.owner.worker import Worker
from pimentocross.placement.demand import Demand
from pimentocross.placement.hosts import unconstrained_context
from pimentocross.placement.layout import (
    CapacityValue,
    Compatibility,
    scarcities,
)
from pimentocross.placement.moves import (
    Move,
    MoveCandidate,
    Mover,
    move_candidate,
)
from pimentocross.placement.probes import RETRY_INTERVAL, Probes
from pimentocross.placement.soundness import may_evict_task
from pimentocross.work.state import Destination, Run, Step, Task

# Readings come every half second: more often nothing new is known.
_INTERVAL: Final = 0.5
# Share of what serves that may be on its way at once, so that what callers are
# owed falls by no more while the layout changes.
_MOVING_MOST: Final = 0.05
# A task that has just come is not moved again: its figures say nothing yet.
_SETTLED_AFTER: Final = 2.0
# A moved task waits this long for its place: a stop takes 0.4 s at most, and
# both tasks of an exchange are stopped at once.
_PLACE_WAIT: Final = 1.2


class Arranger:
    """Chooses serving tasks to move, and has them moved.

    Attributes:
        view: What placing goes by, as of the last pass.
    """

    def __init__(self, learned: LearnedEstimates) -> None:
        """Takes what was learned of images."""
        self.view = unconstrained_context(learned.disturbance)
        self._disturbance = learned.disturbance
        self._demand = Demand()
        self._moving: list[_Moving] = []
        # When a doubtful pair of each filling image was last tried again.
        self._retried_at: dict[str, float] = {}
        self._passed_at = float("-inf")

    def pass_over(
        self,
        waiting: Iterable[Step],
        workers: Sequence[Worker],
        orders: Orders,
        now: float,
    ) -> None:
        """Looks at what fills and waits to, and moves what shuts it out.

        Args:
            waiting: Steps that wait and are worth a place.
            workers: Those in use.
            orders: Has tasks stopped.
            now: Present time.
        """
        if now - self._passed_at < _INTERVAL:
            return
        self._passed_at = now
        demand = self._demand.note(_asked_for(waiting, workers), now)
        compatibility = Compatibility(demand, self._disturbance)
        scarcity = scarcities(demand, workers, compatibility)
        capacity_value = CapacityValue(
            scarcity.shares, compatibility, scarcity.worst
        )
        self.view = self.view._replace(capacity_value=capacity_value)
        self._move(workers, capacity_value, orders, now)

    def renew_probes(self, workers: Sequence[Worker], now: float) -> None:
        """Looks anew at which pairs of images are being tried."""
        self._retried_at = {
            image: at
            for image, at in self._retried_at.items()
            if now - at < RETRY_INTERVAL
        }
        probes = Probes(self._disturbance, workers, self._retried_at)
        self.view = self.view._replace(probes=probes)

    def note_filler(self, image: str, worker: Worker, now: float) -> None:
        """Notes a task that is about to fill on a worker."""
        if self.view.probes.note(image, worker):
            self._retried_at[image] = now
            note("pair_retried", image=image, worker=worker.life.id)

    def _move(
        self,
        workers: Sequence[Worker],
        capacity_value: CapacityValue,
        orders: Orders,
        now: float,
    ) -> None:
        """Has the best move made, and more as long as they may be."""
        if capacity_value.is_unconstrained:
            return
        self._moving = [m for m in self._moving if now < m.until]
        serving = sum(sum(worker.serving.values()) for worker in workers)
        most = int(_MOVING_MOST * serving) - sum(m.cpu for m in self._moving)
        if most <= 0 and self._moving:
            return
        candidates = _movable(workers, now)
        mover = Mover(workers, capacity_value)
        while most > 0 or not self._moving:
            busy = {n for m in self._moving for n in m.workers}
            # Each step is looked at once, not for each of its tasks.
            steps = {candidate.task.step for candidate in candidates}
            may_leave = {step for step in steps if may_evict_task(step)}
            candidates = [
                candidate
                for candidate in candidates
                if candidate.host.number not in busy
                and candidate.task.step in may_leave
            ]
            # In a small cell one exchange is more than that share.
            bound = most if self._moving else serving
            move = mover.best(candidates, bound, busy)
            if move is None:
                return
            until = now + _PLACE_WAIT
            self._moving.append(
                _Moving(until, move.cpu, (move.source, move.to))
            )
            most -= move.cpu
            _carry_out(move, workers, orders, now)


class _Moving(NamedTuple):
    """What is on its way: until when, monotonic, and between which workers."""

    until: float
    cpu: int
    workers: tuple[int, int]


def _asked_for(
    waiting: Iterable[Step], workers: Iterable[Worker]
) -> Counter[str]:
    """Returns what tasks ask for that fill or wait to, by image."""
    wanted: Counter[str] = Counter()
    for step in waiting:
        if step.spec.fills:
            wanted[step.spec.image] += step.waiting_count * step.spec.size.cpu
    for worker in workers:
        wanted.update(worker.filling)
    return wanted


def _movable(workers: Iterable[Worker], now: float) -> list[MoveCandidate]:
    """Returns the serving tasks that do as well on any other worker."""
    return [
        move_candidate(task, worker)
        for worker in workers
        for task in worker.settled(now, _SETTLED_AFTER)
        if task.step.spec.target_tail and not _is_bound(task)
    ]


def _is_bound(task: Task) -> bool:
    spec = task.step.spec
    return bool(spec.same_rack or spec.rack or spec.label)


def _carry_out(
    move: Move, workers: Sequence[Worker], orders: Orders, now: float
) -> None:
    by_number = {worker.number: worker for worker in workers}
    _send_to(move.leaves, by_number[move.source], move.to, orders, now)
    if move.comes is not None:
        _send_to(move.comes, by_number[move.to], move.source, orders, now)
    note(
        "serving_moved",
        task=move.leaves.name,
        comes=move.comes and move.comes.name,
        source=by_number[move.source].life.id,
        to=by_number[move.to].life.id,
        gain=int(move.gain),
    )


def _send_to(
    task: Task, worker: Worker, to: int, orders: Orders, now: float
) -> None:
    task.bound_for = Destination(to, now + _PLACE_WAIT)
    reason = "makes room for what fills"
    orders.stop(worker, task, _run_of(task, worker), reason)


def _run_of(task: Task, worker: Worker) -> Run:
    return next(run for t, run in worker.running() if t is task)
