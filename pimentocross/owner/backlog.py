"""What waits for which room, and where that is short.

Looked at a few times a second, not in each pass: with thousands of steps that
wait, a look costs about as much as ranking them.
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

# Seconds between two looks: short against the time to spare of any job.
_INTERVAL: Final = 0.2
# ... and this many times what the last look took: a weak VM with much that
# waits would else do little but look.
_REST: Final = 10.0
# Seconds; one look that was held up may not keep the next for long.
_TOOK_MOST: Final = 0.1
# Seconds between two lines in the log.
_LOG_INTERVAL: Final = 1.0
# A queue's mean work is that of about so many jobs.
_MEAN_OF: Final = 20
# Thousandths of a core in a core.
MILLICORES_PER_CORE: Final = 1000.0


class CapacityPool(NamedTuple):
    """Names the room that work waits for.

    Attributes:
        service: Whose workers run it.
        fills: Whether it takes what is left over, or reserves what it takes.
    """

    service: str
    fills: bool


class PoolCapacity(NamedTuple):
    """Cores that work of an account has: all, and those that are free."""

    total: float
    free: float


class _Entry(NamedTuple):
    """A job that waits, by the first of its steps that do."""

    waiting: WaitingJob
    step: Step


class Backlog:
    """Follows what waits for room.

    Attributes:
        looked_at: When it last looked, monotonic.
        rooms: The room of each account.
    """

    def __init__(self, durations: Durations, *, puts_back: bool = True) -> None:
        """Takes how long tasks take, and whether any job is put back."""
        self._puts_back = puts_back
        self.refreshed_at = float("-inf")
        self.capacities: dict[CapacityPool, PoolCapacity] = {}
        self._durations = durations
        # Work of whole jobs, and the mean of it by queue, core-seconds.
        self._works: WeakKeyDictionary[Occurrence, float] = WeakKeyDictionary()
        self._means: dict[str, float] = {}
        self._jobs_seen: Counter[str] = Counter()
        self._recent: dict[CapacityPool, RecentCapacity] = defaultdict(
            RecentCapacity
        )
        self._entries: dict[CapacityPool, list[_Entry]] = {}
        # Core-seconds of those.
        self._totals: dict[CapacityPool, float] = {}
        # Priorities of which work is short of room.
        self._short: dict[CapacityPool, set[int]] = {}
        self._logged_at = float("-inf")
        self._counted: WeakSet[Occurrence] = WeakSet()
        # Seconds that the last look took.
        self._took = 0.0

    def refresh(
        self,
        ranks: Iterable[tuple[Urgency, Step]],
        workers: Iterable[Worker],
        short_share: float,
        now: float,
    ) -> None:
        """Looks at what waits, unless it did a moment ago.

        Args:
            ranks: All that waits and how urgent it is in the usual order.
            workers: Those in use.
            short_share: Room that short work may have before what lasts,
                thousandths of a core.
            now: Present time.
        """
        if now - self.refreshed_at < max(_INTERVAL, _REST * self._took):
            return
        began = trio.current_time()
        self.refreshed_at = now
        self.capacities = _rooms(workers, short_share / MILLICORES_PER_CORE)
        for account, room in self.capacities.items():
            self._recent[account].note(room.total, now)
        ranks = [each for each in ranks if not each[1].spec.lasting]
        scarce = self._scarce(step for _, step in ranks)
        self._entries = self._read(ranks, scarce)
        self._totals = {
            account: sum(entry.waiting.work for entry in entries)
            for account, entries in self._entries.items()
        }
        if self._puts_back:
            self._short = self._find_all_short()
        self._log(now)
        self._took = min(trio.current_time() - began, _TOOK_MOST)

    def _scarce(self, steps: Iterable[Step]) -> set[CapacityPool]:
        """Returns the accounts of which more waits than there is room free."""
        asked: dict[CapacityPool, float] = defaultdict(float)
        for step in steps:
            cores = (
                step.waiting_count * step.spec.size.cpu / MILLICORES_PER_CORE
            )
            asked[capacity_pool_of(step)] += cores
        return {
            account
            for account, cores in asked.items()
            if account in self.capacities
            and cores > self.capacities[account].free
        }

    def _read(
        self, ranks: Iterable[tuple[Urgency, Step]], scarce: set[CapacityPool]
    ) -> dict[CapacityPool, list[_Entry]]:
        """Returns the jobs that wait for room that is scarce."""
        entries: dict[CapacityPool, list[_Entry]] = defaultdict(list)
        seen: set[Occurrence] = set()
        for rank, step in ranks:
            account = capacity_pool_of(step)
            if account in scarce and step.occurrence not in seen:
                seen.add(step.occurrence)
                entry = _Entry(self._waiting(rank, step), step)
                entries[account].append(entry)
        return entries

    def _find_all_short(self) -> dict[CapacityPool, set[int]]:
        return {
            account: short
            for account, entries in self._entries.items()
            if (short := self._find_short(account, entries))
        }

    def _find_short(
        self, account: CapacityPool, entries: Iterable[_Entry]
    ) -> set[int]:
        waiting = [entry.waiting for entry in entries]
        return overloaded_priorities(waiting, self.capacities[account].total)

    def order(self, rank: Urgency, step: Step) -> Order:
        """Returns where a step goes."""
        if rank.chance is not DeadlineClass.COMFORTABLE or not self._short:
            return order_of(rank)
        short = self._short.get(capacity_pool_of(step), ())
        if rank.priority not in short:
            return order_of(rank)
        return order_of(rank, self.cost_ratio(step))

    def cost_ratio(self, step: Step) -> float:
        """Returns what a step's job takes for its worth; the mean is 1."""
        mean = self._means.get(step.job.queue.name, 0.0)
        if mean <= 0:
            return 1.0
        return cost_ratio(step.job.id, self.whole_work(step) / mean)

    def whole_work(self, step: Step) -> float:
        """Returns a whole job's core-seconds; a new one counts in the mean."""
        known = self._works.get(step.occurrence)
        if known is not None:
            return known
        steps = step.occurrence.steps
        work = sum(self._work(each, each.spec.width) for each in steps)
        self._works[step.occurrence] = work
        queue = step.job.queue.name
        self._jobs_seen[queue] += 1
        mean = self._means.get(queue, 0.0)
        share = 1 / min(self._jobs_seen[queue], _MEAN_OF)
        self._means[queue] = mean + share * (work - mean)
        return work

    def work_before(self, account: CapacityPool, order: Order) -> float:
        """Returns the core-seconds that wait for a room and go first."""
        return sum(
            entry.waiting.work
            for entry in self._entries.get(account, ())
            if self.order(entry.waiting.rank, entry.step) < order
        )

    def work(self, account: CapacityPool) -> float:
        """Returns the core-seconds that wait for a room if it is scarce."""
        return self._totals.get(account, 0.0)

    def recent_room(self, account: CapacityPool, now: float) -> float:
        """Returns the most cores there were lately."""
        recent = self._recent.get(account)
        return recent.most(now) if recent is not None else 0.0

    def work_by_queue(self) -> dict[str, float]:
        """Returns the core-seconds that wait for room that is scarce."""
        works: dict[str, float] = defaultdict(float)
        for entries in self._entries.values():
            for entry in entries:
                works[entry.step.job.queue.name] += entry.waiting.work
        return works

    def _waiting(self, rank: Urgency, step: Step) -> WaitingJob:
        margin = 0.0
        if rank.chance is DeadlineClass.COMFORTABLE:
            margin = MARGIN * objective(step, self._durations)
        self.whole_work(step)
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

    def _count(self, step: Step) -> None:
        """Counts a job that is put back, once."""
        if step.occurrence not in self._counted:
            self._counted.add(step.occurrence)
            queue = step.job.queue.name
            meters.add(f'jobs_put_back_total{{queue="{queue}"}}')

    def _log(self, now: float) -> None:
        if not self._short or now - self._logged_at < _LOG_INTERVAL:
            return
        self._logged_at = now
        for account, short in self._short.items():
            entries = self._entries[account]
            put_back = [
                entry
                for entry in entries
                if self.order(entry.waiting.rank, entry.step).is_put_back
            ]
            for entry in put_back:
                self._count(entry.step)
            note(
                "triage",
                service=account.service,
                fills=account.fills,
                priorities=sorted(short),
                jobs=len(entries),
                put_back=len(put_back),
                work=round(self._totals[account]),
                room=round(self.capacities[account].total),
                free=round(self.capacities[account].free),
            )


def capacity_pool_of(step: Step) -> CapacityPool:
    """Returns which room a step waits for."""
    return CapacityPool(step.job.queue.service, step.spec.fills)


def _rooms(
    workers: Iterable[Worker], short_share: float
) -> dict[CapacityPool, PoolCapacity]:
    """Returns the room of each account.

    Work that fills has what it uses and what is left over; work that reserves
    what it has, what is free and what others would give up for it.
    """
    taken: dict[CapacityPool, float] = defaultdict(float)
    free: dict[CapacityPool, float] = defaultdict(float)
    for worker in workers:
        fills = CapacityPool(worker.life.service, fills=True)
        reserves = CapacityPool(worker.life.service, fills=False)
        taken[fills] += _used_by_fillers(worker) / MILLICORES_PER_CORE
        free[fills] += max(left_over(worker), 0) / MILLICORES_PER_CORE
        taken[reserves] += _reserved_briefly(worker) / MILLICORES_PER_CORE
        free[reserves] += max(worker.free.cpu, 0) / MILLICORES_PER_CORE
    capacities = {}
    for account, cores in free.items():
        total = taken[account] + cores
        if not account.fills:
            total = max(total, short_share)
        capacities[account] = PoolCapacity(total, cores)
    return capacities


def _used_by_fillers(worker: Worker) -> int:
    """Returns the thousandths of a core that fillers use there.

    What has just started has no figure yet and counts as asked for.
    """
    return sum(
        run.figure or task.step.spec.size.cpu
        for (task, _), run in worker.runs.items()
        if task.step.spec.fills
    )


def _reserved_briefly(worker: Worker) -> int:
    """Returns what neither lasts nor fills has there, thousandths."""
    return sum(
        count * step.spec.size.cpu for step, count in worker.brief().items()
    )
