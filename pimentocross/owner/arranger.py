"""Moves serving tasks so that workers are open for what waits to fill."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from pimentocross.observe.decisions import note
from pimentocross.owner.learned import Learned
from pimentocross.owner.orders import Orders
from pimentocross.owner.worker import Worker
from pimentocross.placement.hosts import View
from pimentocross.placement.layout import (
    Exchange,
    Exchanger,
    Opening,
    Seat,
    openings,
    shortages,
)
from pimentocross.placement.soundness import may_take_away
from pimentocross.work.state import Destination, Run, Step, Task

# Readings come every half second: more often nothing new is known.
_INTERVAL: Final = 0.5
# Workers that are being emptied at once: each move takes about a second, and
# what is learned meanwhile may change the next choice.
_AT_ONCE: Final = 3
# Serving tasks stay away from an opened worker for this long: the moves, and
# the time until what fills has come.
_KEPT_FOR: Final = 8.0
# A task that has just come is not moved again: its figures say nothing yet.
_SETTLED_AFTER: Final = 2.0
# A worker that could not be opened is looked at again after this.
_TRIED_AGAIN_AFTER: Final = 1.5
# Plans that are made in one pass before giving up; each looks at all tasks.
_PLANS_MOST: Final = 4
# A moved task waits this long for its place: a stop takes 0.4 s at most, and
# both tasks of an exchange are stopped at once.
_PLACE_WAIT: Final = 1.2


class _Plan(NamedTuple):
    """A worker that is opened, what is left to do, and until when."""

    opening: Opening
    exchanges: list[Exchange]
    until: float


class Arranger:
    """Chooses workers to open, and moves what has to leave them.

    Attributes:
        view: What placing goes by, as of the last pass.
    """

    def __init__(self, learned: Learned) -> None:
        """Takes what was learned of images."""
        self.view = View(learned.disturbance, {}, {})
        self._disturbance = learned.disturbance
        self._plans: dict[int, _Plan] = {}
        self._not_before: dict[int, float] = {}
        self._passed_at = float("-inf")

    def pass_over(
        self,
        waiting: Iterable[Step],
        workers: Sequence[Worker],
        orders: Orders,
        now: float,
    ) -> None:
        """Looks at what waits and opens workers for it.

        Args:
            waiting: Steps that wait and are worth a place.
            workers: Those in use.
            orders: Has tasks stopped.
            now: Present time.
        """
        if now - self._passed_at < _INTERVAL:
            return
        self._passed_at = now
        missing = shortages(_wanted(waiting), workers, self._disturbance)
        self._drop_old_plans(workers, now)
        if missing and self._unfinished < _AT_ONCE:
            self._open(workers, missing, now)
        on_worker = _Whereabouts(workers)
        for plan in self._plans.values():
            self._carry_on(plan, on_worker, orders, now)
        opened = {n: plan.opening for n, plan in self._plans.items()}
        self.view = View(self._disturbance, missing, opened)

    @property
    def _unfinished(self) -> int:
        return sum(bool(plan.exchanges) for plan in self._plans.values())

    def _drop_old_plans(self, workers: Sequence[Worker], now: float) -> None:
        numbers = {worker.number for worker in workers}
        for number, plan in list(self._plans.items()):
            if number not in numbers or plan.until <= now:
                del self._plans[number]

    def _open(
        self, workers: Sequence[Worker], missing: Mapping[str, int], now: float
    ) -> None:
        candidates = [
            worker
            for worker in workers
            if worker.number not in self._plans
            and self._not_before.get(worker.number, 0.0) <= now
        ]
        found = openings(candidates, missing, self._disturbance)
        seats = _movable(workers, now) if found else []
        for opening in found[:_PLANS_MOST]:
            self._not_before[opening.number] = now + _TRIED_AGAIN_AFTER
            exchanges = self._plan(opening, workers, seats, missing)
            if exchanges:
                until = now + _KEPT_FOR
                plan = _Plan(opening, exchanges, until)
                self._plans[opening.number] = plan
                _log(plan, workers, missing)
                return

    def _plan(
        self,
        opening: Opening,
        workers: Sequence[Worker],
        seats: Sequence[Seat],
        missing: Mapping[str, int],
    ) -> list[Exchange] | None:
        opened = next(w for w in workers if w.number == opening.number)
        others = [
            worker
            for worker in workers
            if worker is not opened and worker.number not in self._plans
        ]
        exchanger = Exchanger(
            opening, opened, others, (missing, self._disturbance)
        )
        movable = sum(
            seat.image in opening.leaving
            for seat in seats
            if seat.host is opened
        )
        serving = sum(
            task.step.spec.image in opening.leaving
            for task, _ in opened.running()
            if task.step.spec.target_tail
        )
        if movable < serving:
            return None
        return exchanger.plan(seats)

    def _carry_on(
        self,
        plan: _Plan,
        on_worker: "_Whereabouts",
        orders: Orders,
        now: float,
    ) -> None:
        for exchange in list(plan.exchanges):
            leaves = on_worker.find(exchange.leaves)
            comes = on_worker.find(exchange.comes)
            if leaves is None or (exchange.comes and comes is None):
                # One has ended meanwhile: the other needs no place any more.
                plan.exchanges.remove(exchange)
                continue
            moves = [(leaves, exchange.to)]
            if comes is not None:
                moves.append((comes, plan.opening.number))
            if not all(may_take_away(p.task.step) for p, _ in moves):
                continue
            plan.exchanges.remove(exchange)
            for place, to in moves:
                place.task.bound_for = Destination(to, now + _PLACE_WAIT)
                reason = "makes room for what fills"
                orders.stop(place.worker, place.task, place.run, reason)


class _Place(NamedTuple):
    """A task at work, and where."""

    task: Task
    run: Run
    worker: Worker


class _Whereabouts:
    """Tells where lasting tasks are at work."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        self._places = {
            task: _Place(task, run, worker)
            for worker in workers
            for task, run in worker.running()
            if task.step.spec.lasting
        }

    def find(self, task: Task | None) -> _Place | None:
        return self._places.get(task) if task is not None else None


def _wanted(waiting: Iterable[Step]) -> Mapping[str, int]:
    wanted: Counter[str] = Counter()
    for step in waiting:
        if step.spec.fills:
            wanted[step.spec.image] += step.waiting_count * step.spec.size.cpu
    return wanted


def _movable(workers: Iterable[Worker], now: float) -> list[Seat]:
    """Returns the serving tasks that do as well on any other worker."""
    return [
        Seat(task, worker)
        for worker in workers
        for task in worker.settled(now, _SETTLED_AFTER)
        if task.step.spec.target_tail and not _is_bound(task)
    ]


def _is_bound(task: Task) -> bool:
    spec = task.step.spec
    return bool(spec.same_rack or spec.rack or spec.label)


def _log(
    plan: _Plan, workers: Iterable[Worker], missing: Mapping[str, int]
) -> None:
    worker = next(w for w in workers if w.number == plan.opening.number)
    note(
        "worker_opened",
        worker=worker.life.id,
        image=plan.opening.image,
        leaving=sorted(plan.opening.leaving),
        tasks=len(plan.exchanges),
        exchanged=sum(e.comes is not None for e in plan.exchanges),
        missing=missing[plan.opening.image],
    )
