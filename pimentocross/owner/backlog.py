"""What waits for which room, and where that is short.

Looked at a few times a second, not in each pass: with thousands of steps that
wait, a look costs about as much as ranking them.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final, NamedTuple
from weakref import WeakKeyDictionary

from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker
from pimentocross.placement.durations import Durations
from pimentocross.placement.host import left_over
from pimentocross.placement.triage import (
    Order,
    Waiting,
    burden,
    order_of,
    short_priorities,
)
from pimentocross.placement.urgency import MARGIN, Chance, Urgency, objective
from pimentocross.work.state import Occurrence, Step

# Seconds between two looks: short against the time to spare of any job.
_INTERVAL: Final = 0.2
# Seconds between two lines in the log.
_LOG_INTERVAL: Final = 1.0
# Share of a new job in the running mean of its queue's work.
_LEARNING: Final = 0.05
# Thousandths of a core in a core.
_CORE: Final = 1000.0


class Account(NamedTuple):
    """Names the room that work waits for.

    Attributes:
        service: Whose workers run it.
        fills: Whether it takes what is left over, or reserves what it takes.
    """

    service: str
    fills: bool


class Room(NamedTuple):
    """Cores that work of an account has: all, and those that are free."""

    whole: float
    free: float


class _Entry(NamedTuple):
    """A job that waits, by the first of its steps that do."""

    waiting: Waiting
    step: Step


class Backlog:
    """Follows what waits for room.

    Attributes:
        looked_at: When it last looked, monotonic.
        rooms: The room of each account.
    """

    def __init__(self, durations: Durations) -> None:
        """Takes how long tasks take."""
        self.looked_at = float("-inf")
        self.rooms: dict[Account, Room] = {}
        self._durations = durations
        # Work of whole jobs, and the mean of it by queue, core-seconds.
        self._works: WeakKeyDictionary[Occurrence, float] = WeakKeyDictionary()
        self._means: dict[str, float] = {}
        self._entries: dict[Account, list[_Entry]] = {}
        # Priorities of which work is short of room.
        self._short: dict[Account, set[int]] = {}
        self._logged_at = float("-inf")

    def look(
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
        if now - self.looked_at < _INTERVAL:
            return
        self.looked_at = now
        self.rooms = _rooms(workers, short_share / _CORE)
        self._entries = defaultdict(list)
        asked: dict[Account, float] = defaultdict(float)
        seen: set[Occurrence] = set()
        for rank, step in ranks:
            if step.spec.lasting:
                continue
            account = account_of(step)
            asked[account] += step.waiting_count * step.spec.size.cpu / _CORE
            if step.occurrence not in seen:
                seen.add(step.occurrence)
                entry = _Entry(self._waiting(rank, step), step)
                self._entries[account].append(entry)
        self._short = {}
        for account, entries in self._entries.items():
            room = self.rooms.get(account)
            if room is not None and asked[account] > room.free:
                waiting = [entry.waiting for entry in entries]
                short = short_priorities(waiting, room.whole)
                if short:
                    self._short[account] = short
        self._log(now)

    def order(self, rank: Urgency, step: Step) -> Order:
        """Returns where a step goes."""
        if rank.chance is not Chance.COMFORTABLE or not self._short:
            return order_of(rank)
        short = self._short.get(account_of(step), ())
        if rank.priority not in short:
            return order_of(rank)
        return order_of(rank, self.burden(step))

    def burden(self, step: Step) -> float:
        """Returns what a step's job takes for its worth; the mean is 1."""
        mean = self._means.get(step.job.queue.name, 0.0)
        if mean <= 0:
            return 1.0
        return burden(step.job.id, self._whole_work(step) / mean)

    def work_before(self, account: Account, order: Order) -> float:
        """Returns the core-seconds that wait for a room and go first."""
        return sum(
            entry.waiting.work
            for entry in self._entries.get(account, ())
            if self.order(entry.waiting.rank, entry.step) < order
        )

    def work_by_account(self) -> dict[Account, float]:
        """Returns the core-seconds that wait for each room."""
        return {
            account: sum(entry.waiting.work for entry in entries)
            for account, entries in self._entries.items()
        }

    def _waiting(self, rank: Urgency, step: Step) -> Waiting:
        margin = 0.0
        if rank.chance is Chance.COMFORTABLE:
            margin = MARGIN * objective(step, self._durations)
        self._whole_work(step)
        work = sum(
            self._work(each, max(each.undone - each.run_count, 0))
            for each in step.occurrence.steps
        )
        return Waiting(rank, work, margin)

    def _whole_work(self, step: Step) -> float:
        """Returns the work of a whole job; a new one counts in the mean."""
        known = self._works.get(step.occurrence)
        if known is not None:
            return known
        steps = step.occurrence.steps
        work = sum(self._work(each, each.spec.width) for each in steps)
        self._works[step.occurrence] = work
        queue = step.job.queue.name
        mean = self._means.get(queue, work)
        self._means[queue] = mean + _LEARNING * (work - mean)
        return work

    def _work(self, step: Step, tasks: int) -> float:
        if not tasks:
            return 0.0
        queue = step.job.queue.name
        duration = self._durations.task(queue, step.spec)
        return tasks * step.spec.size.cpu / _CORE * duration

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
            note(
                "triage",
                service=account.service,
                fills=account.fills,
                priorities=sorted(short),
                jobs=len(entries),
                put_back=len(put_back),
                work=round(sum(e.waiting.work for e in entries)),
                room=round(self.rooms[account].whole),
                free=round(self.rooms[account].free),
            )


def account_of(step: Step) -> Account:
    """Returns which room a step waits for."""
    return Account(step.job.queue.service, step.spec.fills)


def _rooms(
    workers: Iterable[Worker], short_share: float
) -> dict[Account, Room]:
    """Returns the room of each account.

    Work that fills has what it uses and what is left over; work that reserves
    what it has, what is free and what others would give up for it.
    """
    taken: dict[Account, float] = defaultdict(float)
    free: dict[Account, float] = defaultdict(float)
    for worker in workers:
        fills = Account(worker.life.service, fills=True)
        reserves = Account(worker.life.service, fills=False)
        taken[fills] += _used_by_fillers(worker) / _CORE
        free[fills] += max(left_over(worker), 0) / _CORE
        taken[reserves] += _reserved_briefly(worker) / _CORE
        free[reserves] += max(worker.free.cpu, 0) / _CORE
    rooms = {}
    for account, cores in free.items():
        whole = taken[account] + cores
        if not account.fills:
            whole = max(whole, short_share)
        rooms[account] = Room(whole, cores)
    return rooms


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
