"""Random faults of workers whose tasks fail or crash them, under real owners.

Each cause for which an owner gives a worker no new tasks comes up, and runs end
on all paths: done, failed, stopped, lapsed, refused, crashed, dropped before
their start. Owners are killed and follow one another. No worker that answers
may be withheld for longer than the limit of its reason, and once no fault is
left, each worker has to run a task in time.

`python -m tests.random_withheld FIRST LAST` runs more seeds than CI does.
"""

from collections import Counter
from collections.abc import Callable
import random
import sys
from typing import Final, NamedTuple
from unittest import mock

import trio

from pimentocross.owner import const, wall
from pimentocross.owner.owner import Owner
from pimentocross.owner.withheld import LIMITS, Reason, Withholding
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.supervisor import Supervisor
from pimentocross.standins.task_worker import (
    NEVER,
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.work.crash_history import MAX_RESERVATION
from pimentocross.work.queue import Queue
from pimentocross.work.spec import Size, StepSpec, TaskName
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    ZONES,
    ClosedZones,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
)

_OWNERS: Final = 4
_SIZE: Final = Size(400, 100, 0)
_LONGEST_FAULT: Final = 30.0
# Response times that a worker reports, and their target, as tenths of a second.
_BAD_FIGURE: Final = 60
_TARGET: Final = 20
_MAX_WATCHES: Final = 8
_ACTS: Final = (
    "submit",
    "cancel",
    "fails_all",
    "silent",
    "late",
    "lost",
    "is_slow",
    "crash",
    "zone",
    "store",
)
_KINDS: Final = ("watch", "bad", "crash", "good")
# Seconds between two looks at what is withheld, which has such a step itself.
_LOOK_INTERVAL: Final = 0.25
_LOOK_SLACK: Final = 2 * const.PASS_INTERVAL + 2 * _LOOK_INTERVAL
# Seconds after the last fault until no reason may hold any more.
_LAST_END: Final = const.LATE_START_WINDOW + max(LIMITS.values())
# Seconds within which a task runs on each worker then.
_STARTED_WITHIN: Final = 3.0


class _Mix(NamedTuple):
    """What a cell consists of and how often each thing happens there.

    Attributes:
        workers: Number of workers.
        acts: Weights of `_ACTS`.
        kinds: Weights of `_KINDS`.
    """

    workers: int
    acts: tuple[int, ...]
    kinds: tuple[int, ...]


_MIXES: Final = (
    _Mix(5, (50, 8, 12, 7, 3, 4, 4, 5, 5, 4), (30, 10, 20, 40)),
    # Many runs that may crash workers, and starts that nobody answers.
    _Mix(3, (50, 2, 1, 2, 20, 5, 1, 2, 1, 1), (15, 1, 60, 25)),
    # Serving tasks that can't be moved away from slow workers.
    _Mix(4, (30, 1, 1, 1, 1, 1, 30, 1, 1, 1), (70, 1, 1, 30)),
)


class Findings(NamedTuple):
    """What a simulation found.

    Attributes:
        overdue: Reasons that held for longer than their limit.
        idle: Workers on which no task ran after the last fault.
        begun: How often each reason began to hold.
    """

    overdue: list[str]
    idle: list[str]
    begun: Counter[Reason]


def _make_plan(draw: random.Random) -> Callable[[TaskName], TaskPlan]:
    """Returns how tasks behave, by the first word of their job's name."""

    def plan(name: TaskName) -> TaskPlan:
        kind = name.job.partition("-")[0]
        if kind == "watch":
            return TaskPlan(RUNS_FOREVER, _SIZE)
        if kind == "bad":
            return TaskPlan(0.3, _SIZE, fails=True)
        if kind == "crash" and draw.random() < 0.6:
            after = draw.choice((0.01, 0.3, 1.0, 4.0))
            return TaskPlan(20.0, _SIZE, crashes_after=after)
        return TaskPlan(draw.uniform(0.1, 3.0), _SIZE, crashes_after=NEVER)

    return plan


class _Worker(TaskWorkerStandin):
    """A worker that may report bad figures of the tasks that serve on it.

    Attributes:
        is_slow: Whether it does so now.
    """

    is_slow = False

    def figure(self, plan: TaskPlan) -> int:
        return _BAD_FIGURE if self.is_slow else 0


class RandomWithheld:
    """A cell under random faults, and how long its workers were withheld."""

    def __init__(self, seed: int) -> None:
        """Initializes the cell from a seed."""
        self._draw = random.Random(seed)
        self._mix = _MIXES[seed % len(_MIXES)]
        self._plan = _make_plan(random.Random(seed + 1))
        self._store = StoreStandin()
        self._zones = ClosedZones()
        self._pool = make_worker_pool(0, self._plan)
        for number in range(self._mix.workers):
            listed = life(number)._replace(zone=ZONES[number % len(ZONES)])
            self._pool.add(
                _Worker(listed, self._plan, self._pool.journal, seed=number)
            )
        self._jobs: list[str] = []
        self._store_back_at = 0.0
        # When each worker last began to answer, by id.
        self._answers_since: dict[str, float] = {}
        # Since when the present owner keeps workers reserved for runs.
        self._isolated_since: dict[tuple[str, TaskName, int], float] = {}
        self._found = Findings([], [], Counter())

    async def run(self) -> Findings:
        """Runs the cell; returns what was found."""
        keeps_ids = self._draw.random() < 0.5
        supervisor = Supervisor(self._pool, self._plan, keeps_ids=keeps_ids)
        with mock.patch.object(wall, "now", trio.current_time):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervisor.run)
                for epoch in range(1, _OWNERS + 1):
                    await self._run_owner(epoch)
                nursery.cancel_scope.cancel()
        return self._found

    async def _run_owner(self, epoch: int) -> None:
        owner = make_owner(self._store, self._pool, epoch, zones=self._zones)
        async with running(owner), trio.open_nursery() as faults:
            faults.start_soon(self._look_on, owner)
            until = trio.current_time() + self._draw.uniform(4.0, 30.0)
            while trio.current_time() < until:
                await trio.sleep(self._draw.uniform(0.05, 0.8))
                await self._act(owner, faults)
            if epoch == _OWNERS:
                await self._end_faults(owner)
                await trio.sleep(_LAST_END)
                await self._find_idle(owner)
            faults.cancel_scope.cancel()
        self._clear_faults()

    def _clear_faults(self) -> None:
        for worker in self._pool.workers.values():
            worker.faults.silent = worker.faults.fails_all = False
            worker.faults.late = worker.faults.lost = 0.0
            if isinstance(worker, _Worker):
                worker.is_slow = False
        self._store.faults.away = False

    async def _look_on(self, owner: Owner) -> None:
        """Compares from when on each worker is withheld with the limits."""
        withheld = owner._dispatcher.withheld
        former: set[Withholding] = set()
        self._isolated_since.clear()
        while True:
            now = trio.current_time()
            self._note_answering(owner, now)
            for key, since in withheld.since.items():
                if key not in former:
                    self._found.begun[key.reason] += 1
                if self._is_overdue(key, since, now):
                    self._found.overdue.append(f"{key} for {now - since:.2f} s")
            former = set(withheld.since)
            self._check_isolated(owner, now)
            await trio.sleep(_LOOK_INTERVAL)

    def _note_answering(self, owner: Owner, now: float) -> None:
        if self._store.faults.away:
            self._store_back_at = now
        for worker in owner._roster.workers():
            if not worker.reachable:
                self._answers_since[worker.life.id] = now

    def _check_isolated(self, owner: Owner, now: float) -> None:
        """Checks how long each worker has been reserved for each run."""
        found = {
            (worker.life.id, task.name, number)
            for worker in owner._roster.workers()
            if worker.reachable
            for task, number in worker.isolated
        }
        self._isolated_since = {
            key: self._isolated_since.get(key, now) for key in found
        }
        self._found.overdue.extend(
            f"{key} is isolated for {now - since:.2f} s"
            for key, since in self._isolated_since.items()
            if now - since > MAX_RESERVATION + _LOOK_SLACK
        )

    def _is_overdue(self, key: Withholding, since: float, now: float) -> bool:
        limit = LIMITS.get(key.reason)
        if limit is None:
            return False
        if key.reason is Reason.BARRED:
            since = max(since, self._store_back_at)
        since = max(since, self._answers_since.get(key.subject, since))
        return now - since > limit + _LOOK_SLACK

    async def _act(self, owner: Owner, faults: trio.Nursery) -> None:
        """Submits or cancels a job, or begins a fault."""
        draw = self._draw
        worker = draw.choice(list(self._pool.workers.values()))
        act = draw.choices(_ACTS, self._mix.acts)[0]
        if act == "submit":
            await self._submit(owner)
        elif act == "cancel" and self._jobs:
            await owner.job_api.cancel(draw.choice(self._jobs))
        elif act == "crash":
            worker.crash()
            worker.down = True
        elif act == "zone":
            self._zones.change(draw)
        elif act == "store":
            faults.start_soon(self._set_for_a_while, self._store.faults, "away")
        elif act == "is_slow":
            faults.start_soon(
                self._set_for_a_while, worker, act, _LONGEST_FAULT
            )
        elif act in ("late", "lost"):
            faults.start_soon(self._disturb_orders, worker, act)
        elif act in ("fails_all", "silent"):
            faults.start_soon(self._set_for_a_while, worker.faults, act)

    async def _submit(self, owner: Owner) -> None:
        draw = self._draw
        kind = draw.choices(_KINDS, self._mix.kinds)[0]
        job = f"{kind}-{len(self._jobs)}"
        lasts = kind == "watch"
        step = StepSpec(
            draw.randint(1, 3),
            _SIZE,
            lasting=lasts,
            gang=draw.random() < 0.1,
            image="shop" if lasts else "",
            target_tail=_TARGET if lasts else 0,
            away_most=draw.choice((0, None)) if lasts else None,
        )
        if lasts:
            await self._cancel_a_watch(owner)
        self._jobs.append(job)
        await owner.job_api.submit(job, self._draw_queue(), spec(step))

    async def _cancel_a_watch(self, owner: Owner) -> None:
        """Cancels the oldest job that lasts if there are too many of them."""
        watches = [job for job in self._jobs if job.startswith("watch")]
        if len(watches) >= _MAX_WATCHES:
            self._jobs.remove(watches[0])
            await owner.job_api.cancel(watches[0])

    def _draw_queue(self) -> Queue:
        return QUEUE._replace(attempts=self._draw.choice((1, 3)))

    async def _set_for_a_while(
        self, target: object, fault: str, most: float = 9.0
    ) -> None:
        setattr(target, fault, True)
        await trio.sleep(self._draw.uniform(0.5, most))
        setattr(target, fault, False)

    async def _disturb_orders(
        self, worker: TaskWorkerStandin, fault: str
    ) -> None:
        setattr(worker.faults, fault, 0.7)
        await trio.sleep(self._draw.uniform(0.5, 5.0))
        setattr(worker.faults, fault, 0.0)

    async def _end_faults(self, owner: Owner) -> None:
        """Ends all faults, and the jobs whose tasks fail or crash workers."""
        self._clear_faults()
        self._zones.open_all()
        await trio.sleep(_LONGEST_FAULT)
        for job in self._jobs:
            if not job.startswith("watch"):
                await owner.job_api.cancel(job)

    async def _find_idle(self, owner: Owner) -> None:
        """Finds the workers that run no task of a job that fits on each."""
        began = trio.current_time()
        step = StepSpec(self._mix.workers, _SIZE, 0.5, per_worker=1)
        await owner.job_api.submit("good-last", QUEUE, spec(step))
        await trio.sleep(_STARTED_WITHIN)
        used = {
            event.worker
            for event in self._pool.journal
            if event.what == "start" and event.at >= began
        }
        self._found.idle.extend(sorted(self._pool.workers.keys() - used))


def run_seed(seed: int) -> Findings:
    """Runs the simulation for one seed; returns what it found."""
    found: list[Findings] = []

    async def run() -> None:
        found.append(await RandomWithheld(seed).run())

    run_virtual(run, seed)
    return found[0]


def main() -> None:
    """Runs the given seeds; prints what is wrong, and the reasons in all."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    begun: Counter[Reason] = Counter()
    broken = 0
    for seed in seeds:
        found = run_seed(seed)
        begun += found.begun
        if found.overdue or found.idle:
            broken += 1
            print(f"seed {seed}: {found.overdue[:3]} {found.idle}", flush=True)
    reasons = ", ".join(f"{count} {reason}" for reason, count in begun.items())
    print(f"{broken} of {len(seeds)} seeds had violations; {reasons}")


if __name__ == "__main__":
    main()
