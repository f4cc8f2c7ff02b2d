"""Fixtures for tests of the owner, with stand-in workers and a store."""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
import random

import trio

from pimentocross.contracts.adviser import Adviser
from pimentocross.contracts.store import FencedError, StoreUnavailableError
from pimentocross.contracts.switches import ALL_ON, Switches
from pimentocross.contracts.worker_link import WorkerFencedError, WorkerLife
from pimentocross.contracts.zones import AllZonesOpen, ZoneAccess
from pimentocross.owner.former_leases import Predecessor
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.queue import (
    CallerLimits,
    Queue,
    ServicePool,
    WorkConfig,
)
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName

QUEUE = Queue("plans", "host", "/plans/", "stock", 0, 3, 2.0, 1.0, False)
CONFIG = WorkConfig(
    1,
    (QUEUE,),
    {"stock": ServicePool("stock", True, 64, False)},
    CallerLimits(16384, 262144, 3.0, 15.0),
)
SMALL = Size(1000, 1000, 0)
WORKER_CAPACITY = Size(8000, 16000, 0)
# Seconds within which an order reaches a stand-in worker.
_ORDER_TRANSIT = 0.01


ZONES = ("north", "south", "west")


class ClosedZones:
    """Zone access that tests open and close; see `ZoneAccess`.

    Attributes:
        closed: Closed zones with the time of their closing.
    """

    def __init__(self) -> None:
        """Initializes access with all zones open."""
        self.closed: dict[str, float] = {}
        self._spans: list[tuple[str, float, float]] = []

    def is_open(self, zone: str) -> bool:
        """Returns whether a zone is open."""
        return zone not in self.closed

    def close(self, *zones: str) -> None:
        """Closes zones."""
        for zone in zones:
            self.closed.setdefault(zone, trio.current_time())

    def open(self, zone: str) -> None:
        """Opens a zone if it is closed."""
        since = self.closed.pop(zone, None)
        if since is not None:
            self._spans.append((zone, since, trio.current_time()))

    def open_all(self) -> None:
        """Opens all zones."""
        for zone in list(self.closed):
            self.open(zone)

    def change(self, draw: random.Random) -> None:
        """Opens or closes a random zone."""
        zone = draw.choice(ZONES)
        if self.is_open(zone):
            self.close(zone)
        else:
            self.open(zone)

    def was_closed(self, zone: str, at: float) -> bool:
        """Returns whether a zone had been closed for a while at a given time.

        Allows for orders that were in transit when the zone was closed.
        """
        now = trio.current_time()
        spans = [
            *self._spans,
            *((zone, since, now) for zone, since in self.closed.items()),
        ]
        return any(
            zone == closed and since + _ORDER_TRANSIT < at < until
            for closed, since, until in spans
        )


def life(number: int, generation: int = 0, rack: str = "r1") -> WorkerLife:
    """Returns a worker life as the directory lists it."""
    return WorkerLife(
        f"w{number}-{generation}",
        f"m{number}",
        "stock",
        f"10.0.0.{number}:80",
        "north",
        ("kind", rack),
        WORKER_CAPACITY,
        False,
        0.0,
        born=1,
    )


def quick(_: TaskName) -> TaskPlan:
    """Returns the plan of a task that takes half a second."""
    return TaskPlan(0.5, SMALL)


def make_worker_pool(
    workers: int = 4, plan: Callable[[TaskName], TaskPlan] = quick
) -> WorkerPool:
    """Returns stand-in workers of 8 cores each."""
    worker_pool = WorkerPool()
    for number in range(workers):
        worker_pool.add(
            TaskWorkerStandin(
                life(number), plan, worker_pool.journal, seed=number
            )
        )
    return worker_pool


def spec(*steps: StepSpec) -> JobSpec:
    """Returns the specification of a job with the given steps."""
    return JobSpec("payload", steps)


def chain(width: int = 3, steps: int = 2) -> JobSpec:
    """Returns a job of equal steps, each of which follows the previous one."""
    return spec(
        *(
            StepSpec(width, SMALL, 0.5, (n - 1,) if n else ())
            for n in range(steps)
        )
    )


def make_owner(
    store: StoreStandin,
    worker_pool: WorkerPool,
    epoch: int,
    *,
    vm: str = "a",
    former_quiet: bool = True,
    formers_confirm: bool = True,
    config: WorkConfig = CONFIG,
    adviser: Adviser | None = None,
    zones: ZoneAccess | None = None,
    switches: Switches = ALL_ON,
) -> Owner:
    """Returns an owner with an epoch; all lower epochs are predecessors."""
    access = worker_pool.access(vm)
    platform = CellPlatform(
        store.client(vm),
        access,
        access,
        adviser,
        zones=zones or AllZonesOpen(),
        switches=switches,
    )
    formers = tuple(
        Predecessor(former, former_quiet, formers_confirm)
        for former in range(epoch - 1, 0, -1)
    )
    claim = Claim("jobs", epoch, former_quiet, formers)
    return Owner(claim, platform, lambda: config)


@asynccontextmanager
async def running(owner: Owner) -> AsyncIterator[Owner]:
    """Runs an owner and kills it at the end of the block.

    Raises:
        OwnerEndedError: The owner ended before it was ready.
    """
    ended = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run, owner, ended)
        while not owner.ready.is_set():
            if ended.is_set():
                raise OwnerEndedError
            await trio.sleep(0.01)
        yield owner
        nursery.cancel_scope.cancel()


class OwnerEndedError(Exception):
    """An owner ended before its take-over was complete."""


async def _run(owner: Owner, ended: trio.Event) -> None:
    try:
        await owner.run()
    except* (FencedError, WorkerFencedError, StoreUnavailableError):
        # The owner was superseded or can't read the store. It ends, as it does
        # in the entry VM's process.
        pass
    finally:
        ended.set()


async def wait_until(
    condition: Callable[[], bool], timeout: float = 30.0
) -> None:
    """Waits until a condition holds."""
    with trio.fail_after(timeout):
        while not condition():
            await trio.sleep(0.05)


def longest_interruption(journal: list[RunEvent]) -> float:
    """Returns the longest time between a task's stop and its next start."""
    stopped: dict[TaskName, float] = {}
    longest = 0.0
    for event in journal:
        if event.what == "stopped":
            stopped[event.task] = event.at
        elif event.what == "start" and event.task in stopped:
            longest = max(longest, event.at - stopped.pop(event.task))
    return longest


def find_overlapping_starts(journal: list[RunEvent]) -> list[RunEvent]:
    """Returns starts of a task while another run of it was alive."""
    alive: dict[TaskName, set[tuple[str, int]]] = {}
    found = []
    for event in journal:
        runs = alive.setdefault(event.task, set())
        if event.what == "start":
            if runs:
                found.append(event)
            runs.add((event.worker, event.run))
        elif not event.what.startswith("noted"):
            runs.discard((event.worker, event.run))
    return found


def find_starts_after_success(journal: list[RunEvent]) -> list[RunEvent]:
    """Returns starts of a task after a run of it had succeeded.

    Counts only endings that an owner acknowledged, then or later. If a worker
    crashes before that, the ending is lost and the task has to run again.
    """
    noted = {
        (event.worker, event.task, event.run)
        for event in journal
        if event.what == "noted done"
    }
    done = set()
    found = []
    for event in journal:
        if event.what == "start" and event.task in done:
            found.append(event)
        elif (
            event.what == "done"
            and (event.worker, event.task, event.run) in noted
        ):
            done.add(event.task)
    return found


def find_starts_over_attempts(journal: list[RunEvent]) -> list[RunEvent]:
    """Returns starts after all attempts had failed, as acknowledged."""
    noted = {
        (event.worker, event.task, event.run)
        for event in journal
        if event.what == "noted failed"
    }
    failures: Counter[TaskName] = Counter()
    found = []
    for event in journal:
        key = (event.worker, event.task, event.run)
        if event.what == "failed" and key in noted:
            failures[event.task] += 1
        over = failures[event.task] >= QUEUE.attempts
        if event.what == "start" and over:
            found.append(event)
    return found


def find_crash_loops(journal: list[RunEvent]) -> list[RunEvent]:
    """Returns starts beyond the second one after a task's third crash."""
    crashes: Counter[TaskName] = Counter()
    starts: Counter[TaskName] = Counter()
    found = []
    for event in journal:
        if event.what == "crashed":
            crashes[event.task] += 1
        elif event.what == "start" and crashes[event.task] >= 3:
            starts[event.task] += 1
            if starts[event.task] >= 3:
                found.append(event)
    return found


def used_all_attempts(journal: list[RunEvent], job: str) -> bool:
    """Returns whether a task of a job failed as often as its queue allows."""
    failures = Counter(
        event.task
        for event in journal
        if event.what == "failed" and event.task.job == job
    )
    return max(failures.values(), default=0) >= QUEUE.attempts


def crashed_twice_under(journal: list[RunEvent], job: str) -> bool:
    """Returns whether a task of a job was in two worker crashes in a row.

    An ending between them breaks the row only if it was acknowledged;
    otherwise it was lost with its worker.
    """
    crashes: Counter[TaskName] = Counter()
    for event in journal:
        if event.task.job != job:
            continue
        if event.what in ("crashed", "lost"):
            crashes[event.task] += 1
        elif event.what in ("noted done", "noted failed"):
            crashes[event.task] = 0
        if crashes[event.task] >= 2:
            return True
    return False


def count(journal: list[RunEvent], what: str) -> int:
    """Returns the number of events of a kind."""
    return sum(event.what == what for event in journal)
