"""Moves serving tasks so that more workers can take best-effort tasks.

A best-effort task (`fills`) uses capacity which the serving tasks of its worker
leave over. It is not placed beside images that it would disturb.
"""

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

# Seconds. New readings arrive every half second.
_PASS_INTERVAL: Final = 0.5
# Share of the serving capacity that may be moving at once. It bounds the loss
# of capacity for callers while the layout changes.
_MAX_MOVING_SHARE: Final = 0.05
# Seconds after its start in which a task isn't moved: it has no meaningful
# readings yet.
_SETTLE_TIME: Final = 2.0
# Seconds for which a moved task waits for its destination worker: a stop takes
# at most 0.4 s, and both tasks of an exchange are stopped at once.
_MOVE_TIMEOUT: Final = 1.2


class Rebalancer:
    """Chooses serving tasks to move and orders their moves.

    Attributes:
        view: The view by which workers are compared, as of the last pass.
    """

    def __init__(self, learned: LearnedEstimates) -> None:
        """Initializes the rebalancer with the statistics about images."""
        self.view = unconstrained_context(learned.disturbance)
        self._disturbance = learned.disturbance
        self._demand = Demand()
        self._moving: list[_MoveInProgress] = []
        # Monotonic time at which a pair of a serving image and this best-effort
        # image, whose disturbance was uncertain, was last measured again.
        self._retried_at: dict[str, float] = {}
        self._last_pass_at = float("-inf")

    def pass_over(
        self,
        waiting: Iterable[Step],
        workers: Sequence[Worker],
        orders: Orders,
        now: float,
    ) -> None:
        """Moves serving tasks that keep waiting best-effort tasks off workers.

        Args:
            waiting: Waiting steps that can still meet their objective.
            workers: The healthy workers.
            orders: Sends the stop orders.
            now: Present time, monotonic.
        """
        if now - self._last_pass_at < _PASS_INTERVAL:
            return
        self._last_pass_at = now
        demand = self._demand.note(_best_effort_demand(waiting, workers), now)
        compatibility = Compatibility(demand, self._disturbance)
        scarcity = scarcities(demand, workers, compatibility)
        capacity_value = CapacityValue(
            scarcity.shares, compatibility, scarcity.worst
        )
        self.view = self.view._replace(capacity_value=capacity_value)
        self._move(workers, capacity_value, orders, now)

    def renew_probes(self, workers: Sequence[Worker], now: float) -> None:
        """Recomputes which pairs of images are being measured."""
        self._retried_at = {
            image: at
            for image, at in self._retried_at.items()
            if now - at < RETRY_INTERVAL
        }
        probes = Probes(self._disturbance, workers, self._retried_at)
        self.view = self.view._replace(probes=probes)

    def note_best_effort_start(
        self, image: str, worker: Worker, now: float
    ) -> None:
        """Notes that a best-effort task is about to start on a worker."""
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
        """Starts the best moves as far as the share in progress allows."""
        if capacity_value.is_unconstrained:
            return
        self._moving = [m for m in self._moving if now < m.until]
        serving = sum(sum(worker.serving.values()) for worker in workers)
        budget = int(_MAX_MOVING_SHARE * serving) - sum(
            m.cpu for m in self._moving
        )
        if budget <= 0 and self._moving:
            return
        candidates = _movable(workers, now)
        mover = Mover(workers, capacity_value)
        while budget > 0 or not self._moving:
            busy = {n for m in self._moving for n in m.workers}
            # Each step is checked once instead of once per task.
            steps = {candidate.task.step for candidate in candidates}
            evictable_steps = {step for step in steps if may_evict_task(step)}
            candidates = [
                candidate
                for candidate in candidates
                if candidate.host.number not in busy
                and candidate.task.step in evictable_steps
            ]
            # One move is always allowed: in a small cell even a single exchange
            # exceeds the share.
            bound = budget if self._moving else serving
            move = mover.best(candidates, bound, busy)
            if move is None:
                return
            until = now + _MOVE_TIMEOUT
            self._moving.append(
                _MoveInProgress(until, move.cpu, (move.source, move.to))
            )
            budget -= move.cpu
            _start_move(move, workers, orders, now)


class _MoveInProgress(NamedTuple):
    """A move in progress.

    Attributes:
        until: Monotonic time until which it counts as in progress.
        cpu: The capacity that is moving.
        workers: Numbers of the two workers.
    """

    until: float
    cpu: int
    workers: tuple[int, int]


def _best_effort_demand(
    waiting: Iterable[Step], workers: Iterable[Worker]
) -> Counter[str]:
    """Returns the CPU demand of best-effort tasks, by image.

    Counts the running and the waiting tasks.
    """
    wanted: Counter[str] = Counter()
    for step in waiting:
        if step.spec.fills:
            wanted[step.spec.image] += step.waiting_count * step.spec.size.cpu
    for worker in workers:
        wanted.update(worker.filling)
    return wanted


def _movable(workers: Iterable[Worker], now: float) -> list[MoveCandidate]:
    """Returns the serving tasks that run equally well on any worker."""
    return [
        move_candidate(task, worker)
        for worker in workers
        for task in worker.settled(now, _SETTLE_TIME)
        if task.step.spec.target_tail and not _is_pinned(task)
    ]


def _is_pinned(task: Task) -> bool:
    spec = task.step.spec
    return bool(spec.same_rack or spec.rack or spec.label)


def _start_move(
    move: Move, workers: Sequence[Worker], orders: Orders, now: float
) -> None:
    by_number = {worker.number: worker for worker in workers}
    _move_task(move.leaves, by_number[move.source], move.to, orders, now)
    if move.comes is not None:
        _move_task(move.comes, by_number[move.to], move.source, orders, now)
    note(
        "serving_moved",
        task=move.leaves.name,
        comes=move.comes and move.comes.name,
        source=by_number[move.source].life.id,
        to=by_number[move.to].life.id,
        gain=int(move.gain),
    )


def _move_task(
    task: Task, worker: Worker, to: int, orders: Orders, now: float
) -> None:
    task.destination = Destination(to, now + _MOVE_TIMEOUT)
    reason = "makes room for what fills"
    orders.stop(worker, task, _run_of(task, worker), reason)


def _run_of(task: Task, worker: Worker) -> Run:
    return next(run for t, run in worker.running() if t is task)
