"""Tracks which steps wait for which capacity, and where capacity is scarce.

It is refreshed a few times a second instead of in each scheduling pass: with
thousands of waiting steps a refresh costs about as much as ranking them.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Final, NamedTuple
from weakref import WeakKeyDictionary, WeakSet

import trio

from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker
from pimentocross.placement.durations import Durations
from pimentocross.placement.forecast import RecentCapacity
from pimentocross.placement.host import left_over
from pimentocross.placement.triage import (
    Order,
    WaitingJob,
    cost_ratio,
    order_of,
    overloaded_priorities,
)
from pimentocross.placement.urgency import (
    MARGIN,
    DeadlineClass,
    Urgency,
    objective,
)
from pimentocross.work.state import Occurrence, Step

# Seconds between two refreshes: short against the slack of any job.
_REFRESH_INTERVAL: Final = 0.2
# The pause is at least this many times the duration of the last refresh. A slow
# VM with a long backlog would otherwise do little but refresh it.
_REFRESH_PAUSE_FACTOR: Final = 10.0
# Seconds; limits the pause after a refresh that took unusually long.
_MAX_REFRESH_SECONDS: Final = 0.1
# Seconds between two log lines.
_LOG_INTERVAL: Final = 1.0
# Number of recent jobs over which a queue's mean work is averaged.
_MEAN_WORK_JOBS: Final = 20
MILLICORES_PER_CORE: Final = 1000.0


class CapacityPool(NamedTuple):
    """Identifies the capacity that a step waits for.

    Attributes:
        service: Service whose workers run the step.
        fills: Whether the step is best-effort, using what reservations leave
            over, instead of reserving capacity itself.
    """

    service: str
    fills: bool


class PoolCapacity(NamedTuple):
    """Cores that a pool has in total, and those that are free."""

    total: float
    free: float


class _WaitingEntry(NamedTuple):
    """A waiting job and the first of its waiting steps."""

    waiting: WaitingJob
    step: Step


class Backlog:
    """Tracks the jobs that wait for capacity.

    Attributes:
        refreshed_at: Monotonic time of the last refresh.
        capacities: Capacity of each pool.
    """

    def __init__(self, durations: Durations, *, puts_back: bool = True) -> None:
        """Initializes an empty backlog.

        Args:
            durations: Estimates of how long tasks take.
            puts_back: Whether an overloaded pool has its costly jobs put back
                behind cheaper ones (see `placement.triage`).
        """
        self._puts_back = puts_back
        self.refreshed_at = float("-inf")
        self.capacities: dict[CapacityPool, PoolCapacity] = {}
        self._durations = durations
        # Core-seconds of a whole job, and their mean by queue.
        self._total_work: WeakKeyDictionary[Occurrence, float] = (
            WeakKeyDictionary()
        )
        self._mean_work: dict[str, float] = {}
        self._jobs_seen: Counter[str] = Counter()
        self._recent: dict[CapacityPool, RecentCapacity] = defaultdict(
            RecentCapacity
        )
        self._entries: dict[CapacityPool, list[_WaitingEntry]] = {}
        # Core-seconds of these jobs.
        self._waiting_work: dict[CapacityPool, float] = {}
        # Overloaded priorities of each pool.
        self._overloaded: dict[CapacityPool, set[int]] = {}
        self._logged_at = float("-inf")
        self._counted_put_back: WeakSet[Occurrence] = WeakSet()
        # Seconds that the last refresh took.
        self._refresh_seconds = 0.0

    def refresh(
        self,
        ranks: Iterable[tuple[Urgency, Step]],
        workers: Iterable[Worker],
        short_share: float,
        now: float,
    ) -> None:
        """Recomputes the backlog unless the last refresh is recent.

        Args:
            ranks: All waiting steps with their urgency in the usual order.
            workers: Workers in use.
            short_share: Capacity that short runs may use ahead of
                long-running ones, in millicores.
            now: Current monotonic time.
        """
        if now - self.refreshed_at < max(
            _REFRESH_INTERVAL, _REFRESH_PAUSE_FACTOR * self._refresh_seconds
        ):
            return
        began = trio.current_time()
        self.refreshed_at = now
        self.capacities = _pool_capacities(
            workers, short_share / MILLICORES_PER_CORE
        )
        for pool, capacity in self.capacities.items():
            self._recent[pool].note(capacity.total, now)
        ranks = [each for each in ranks if not each[1].spec.lasting]
        scarce = self._scarce_pools(step for _, step in ranks)
        self._entries = self._collect_waiting(ranks, scarce)
        self._waiting_work = {
            pool: sum(entry.waiting.work for entry in entries)
            for pool, entries in self._entries.items()
        }
        if self._puts_back:
            self._overloaded = self._find_overloaded()
        self._log_overload(now)
        self._refresh_seconds = min(
            trio.current_time() - began, _MAX_REFRESH_SECONDS
        )

    def _scarce_pools(self, steps: Iterable[Step]) -> set[CapacityPool]:
        """Returns the pools whose waiting steps exceed their free cores."""
        demand: dict[CapacityPool, float] = defaultdict(float)
        for step in steps:
            cores = (
                step.waiting_count * step.spec.size.cpu / MILLICORES_PER_CORE
            )
            demand[capacity_pool_of(step)] += cores
        return {
            pool
            for pool, cores in demand.items()
            if pool in self.capacities and cores > self.capacities[pool].free
        }

    def _collect_waiting(
        self, ranks: Iterable[tuple[Urgency, Step]], scarce: set[CapacityPool]
    ) -> dict[CapacityPool, list[_WaitingEntry]]:
        """Returns the jobs that wait for scarce pools."""
        entries: dict[CapacityPool, list[_WaitingEntry]] = defaultdict(list)
        seen: set[Occurrence] = set()
        for rank, step in ranks:
            pool = capacity_pool_of(step)
            if pool in scarce and step.occurrence not in seen:
                seen.add(step.occurrence)
                entry = _WaitingEntry(self._waiting(rank, step), step)
                entries[pool].append(entry)
        return entries

    def _find_overloaded(self) -> dict[CapacityPool, set[int]]:
        return {
            pool: priorities
            for pool, entries in self._entries.items()
            if (priorities := self._overloaded_priorities(pool, entries))
        }

    def _overloaded_priorities(
        self, pool: CapacityPool, entries: Iterable[_WaitingEntry]
    ) -> set[int]:
        waiting = [entry.waiting for entry in entries]
        return overloaded_priorities(waiting, self.capacities[pool].total)

    def order(self, rank: Urgency, step: Step) -> Order:
        """Returns a step's position in the scheduling order."""
        if rank.chance is not DeadlineClass.COMFORTABLE or not self._overloaded:
            return order_of(rank)
        overloaded = self._overloaded.get(capacity_pool_of(step), ())
        if rank.priority not in overloaded:
            return order_of(rank)
        return order_of(rank, self.cost_ratio(step))

    def cost_ratio(self, step: Step) -> float:
        """Returns a job's cost against the mean of its queue, which is 1."""
        mean = self._mean_work.get(step.job.queue.name, 0.0)
        if mean <= 0:
            return 1.0
        return cost_ratio(step.job.id, self.total_work(step) / mean)

    def total_work(self, step: Step) -> float:
        """Returns the core-seconds of a step's whole job.

        Adds the job to the mean of its queue when it is first seen.
        """
        known = self._total_work.get(step.occurrence)
        if known is not None:
            return known
        steps = step.occurrence.steps
        work = sum(self._work(each, each.spec.width) for each in steps)
        self._total_work[step.occurrence] = work
        queue = step.job.queue.name
        self._jobs_seen[queue] += 1
        mean = self._mean_work.get(queue, 0.0)
        share = 1 / min(self._jobs_seen[queue], _MEAN_WORK_JOBS)
        self._mean_work[queue] = mean + share * (work - mean)
        return work

    def work_ahead(self, pool: CapacityPool, order: Order) -> float:
        """Returns core-seconds that wait for a pool ahead of an order."""
        return sum(
            entry.waiting.work
            for entry in self._entries.get(pool, ())
            if self.order(entry.waiting.rank, entry.step) < order
        )

    def waiting_work(self, pool: CapacityPool) -> float:
        """Returns core-seconds that wait for a pool; 0 if it isn't scarce."""
        return self._waiting_work.get(pool, 0.0)

    def recent_capacity(self, pool: CapacityPool, now: float) -> float:
        """Returns the highest number of cores that a pool had recently."""
        recent = self._recent.get(pool)
        return recent.most(now) if recent is not None else 0.0

    def work_by_queue(self) -> dict[str, float]:
        """Returns core-seconds that wait for scarce pools, by queue."""
        works: dict[str, float] = defaultdict(float)
        for entries in self._entries.values():
            for entry in entries:
                works[entry.step.job.queue.name] += entry.waiting.work
        return works

    def _waiting(self, rank: Urgency, step: Step) -> WaitingJob:
        margin = 0.0
        if rank.chance is DeadlineClass.COMFORTABLE:
            margin = MARGIN * objective(step, self._durations)
        self.total_work(step)
        work = sum(
            self._work(each, max(each.undone - each.run_count, 0))
            for each in step.occurrence.steps
        )
        return WaitingJob(rank, work, margin)

    def _work(self, step: Step, tasks: int) -> float:
        if not tasks:
            return 0.0
        queue = step.job.queue.name
        duration = self._durations.task(queue, step.spec)
        return tasks * step.spec.size.cpu / MILLICORES_PER_CORE * duration

    def _count_put_back(self, step: Step) -> None:
        """Counts a job that is put back, only the first time."""
        if step.occurrence not in self._counted_put_back:
            self._counted_put_back.add(step.occurrence)
            queue = step.job.queue.name
            meters.add(f'jobs_put_back_total{{queue="{queue}"}}')

    def _log_overload(self, now: float) -> None:
        if not self._overloaded or now - self._logged_at < _LOG_INTERVAL:
            return
        self._logged_at = now
        for pool, overloaded in self._overloaded.items():
            entries = self._entries[pool]
            put_back = [
                entry
                for entry in entries
                if self.order(entry.waiting.rank, entry.step).is_put_back
            ]
            for entry in put_back:
                self._count_put_back(entry.step)
            note(
                "triage",
                service=pool.service,
                fills=pool.fills,
                priorities=sorted(overloaded),
                jobs=len(entries),
                put_back=len(put_back),
                work=round(self._waiting_work[pool]),
                room=round(self.capacities[pool].total),
                free=round(self.capacities[pool].free),
            )


def capacity_pool_of(step: Step) -> CapacityPool:
    """Returns the pool whose capacity a step uses."""
    return CapacityPool(step.job.queue.service, step.spec.fills)


def _pool_capacities(
    workers: Iterable[Worker], short_share: float
) -> dict[CapacityPool, PoolCapacity]:
    """Returns the capacity of each pool.

    A best-effort pool has what its runs use and what is left over. A reserving
    pool has what short runs reserve and what is free, or the share of short
    runs if that is larger, as long-running tasks are evicted for it.
    """
    in_use: dict[CapacityPool, float] = defaultdict(float)
    free: dict[CapacityPool, float] = defaultdict(float)
    for worker in workers:
        fills = CapacityPool(worker.life.service, fills=True)
        reserves = CapacityPool(worker.life.service, fills=False)
        in_use[fills] += _best_effort_usage(worker) / MILLICORES_PER_CORE
        free[fills] += max(left_over(worker), 0) / MILLICORES_PER_CORE
        in_use[reserves] += (
            _short_run_reservations(worker) / MILLICORES_PER_CORE
        )
        free[reserves] += max(worker.free.cpu, 0) / MILLICORES_PER_CORE
    capacities = {}
    for pool, cores in free.items():
        total = in_use[pool] + cores
        if not pool.fills:
            total = max(total, short_share)
        capacities[pool] = PoolCapacity(total, cores)
    return capacities


def _best_effort_usage(worker: Worker) -> int:
    """Returns the millicores that best-effort runs use on a worker.

    A run that has just started has no measurement yet and counts with its
    requested size.
    """
    return sum(
        run.figure or task.step.spec.size.cpu
        for (task, _), run in worker.runs.items()
        if task.step.spec.fills
    )


def _short_run_reservations(worker: Worker) -> int:
    """Returns the millicores that short runs reserve on a worker."""
    return sum(
        count * step.spec.size.cpu
        for step, count in worker.short_run_counts().items()
    )
