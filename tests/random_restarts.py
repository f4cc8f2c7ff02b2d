"""Random restarts of workers under their ids, while owners follow one another.

Real owners run in virtual time. Workers go dark and come back under their ids,
with clocks behind or ahead of the former ones; calls that were sent meanwhile
reach the next life. Entries stay stale, workers are cut off right after their
restart, orders come late, owners are killed or cut off alive. No task may run
twice, and what waits has to go on in time after the last fault.

`python -m tests.random_restarts FIRST LAST` runs more seeds than CI does. With
`late-listings` behind them, listings that are meant for a former life also
acknowledge endings of the next one, which is a known gap: starts that follow
from it are counted apart.
"""

from collections import Counter
from collections.abc import Callable
import random
import sys
from typing import Final, NamedTuple
from unittest import mock

import trio

from pimentocross.contracts.store import FencedError, StoreUnavailableError
from pimentocross.contracts.worker_link import WorkerFencedError, WorkerLife
from pimentocross.owner import const, wall
from pimentocross.owner.former_leases import Predecessor
from pimentocross.owner.job_api import Outcome
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.owner.terms import OwnerTerms
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import (
    TaskWorkerLink,
    WorkerPool,
    WorkerPoolAccess,
)
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from pimentocross.work.state import TERMINAL, JobState
from tests import run_virtual
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    crashed_twice_under,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    spec,
)

_WORKER_COUNT: Final = 6
_MIN_WORKERS: Final = 5
# After the last fault. With this many workers, some of which are full, the
# tasks of a job still find workers of their own.
_LAST_WORKERS: Final = 8
_LASTING_JOB: Final = "watch"
_LONG_JOB_PREFIX: Final = "long"
_LASTING_TASK_COUNT: Final = 4
# Jobs of long tasks beyond this number of tasks take the place of former ones.
_MAX_LONG_TASKS: Final = 16
# Workers that are restarted, or cut off after that, at one time.
_MAX_BUSY_WORKERS: Final = 3
_LONG_SIZE: Final = Size(1200, 1000, 0)
_SHORT_SIZE: Final = Size(300, 300, 0)
_LONGEST_TASK: Final = 60.0
_TERMS: Final = OwnerTerms()
# A new owner is ready, its workers have listed their runs, and a start that was
# decided in the next pass has been answered.
_SETTLING: Final = (
    const.SETTLE_TIMEOUT
    + const.ROSTER_INTERVAL
    + const.LISTING_WAIT
    + const.LISTING_SLACK
    + const.START_VALIDITY
)
# Seconds within which each task runs again once no fault is left: a call that
# was sent before its worker counted as silent may come as late as it can, and
# grants the longest lease.
RECOVERY_TIME: Final = (
    const.ADOPTED_LATE_START_WINDOW
    + _TERMS.confirmed_lease_most
    + _TERMS.granted_lease_most
    + _SETTLING
)
# A task with three crashes waits this much longer until they are decided.
_CRASH_DECISION_TIME: Final = 30.0
_CRASHES_TO_DECIDE: Final = 3


class Violations(NamedTuple):
    """What a simulation found wrong; the lists are empty if nothing was.

    Attributes:
        overlapping: Starts of a task while another run of it was on a worker.
        repeated: Starts of a task after a run of it had succeeded.
        late: Tasks and jobs that didn't go on in time after the last fault.
    """

    overlapping: list[RunEvent]
    repeated: list[RunEvent]
    late: list[str]


class Figures(NamedTuple):
    """What happened in a simulation.

    Attributes:
        restarts: Restarts of workers under their ids.
        owners: Owners in turn.
        starts: Starts that were carried out.
        lapsed: Runs that ended with their lease.
        forgotten: Starts after an end that a listing had forgotten which was
            meant for a former life.
        longest_wait: Seconds from the last fault until all tasks that were away
            ran or were over.
    """

    restarts: int
    owners: int
    starts: int
    lapsed: int
    forgotten: int
    longest_wait: float


class _Pool(WorkerPool):
    """Workers and what listings for former lives made them forget."""

    def __init__(self, *, late_listings: bool) -> None:
        super().__init__()
        self.late_listings = late_listings
        self.forgotten: set[TaskName] = set()

    def access(self, vm: str) -> WorkerPoolAccess:
        return _Access(self, self.cut.setdefault(vm, set()))


class _Access(WorkerPoolAccess):
    """One VM's access, with links that know for which life they are."""

    def __init__(self, pool: _Pool, cut: set[str]) -> None:
        super().__init__(pool, cut)
        self._workers = pool

    def link(self, life: WorkerLife) -> TaskWorkerLink:
        worker = self._workers.workers.get(life.id)
        if worker is None:
            return super().link(life)
        return _Link(self._workers, worker, self._cut, life.born)


class _Link(TaskWorkerLink):
    def __init__(
        self,
        pool: _Pool,
        worker: TaskWorkerStandin,
        cut: set[str],
        born: int,
    ) -> None:
        super().__init__(worker, cut)
        self._pool = pool
        self._born = born

    def seen_on_arrival(self, seen: int) -> int:
        worker = self._worker
        if worker.life.born == self._born or worker.dead:
            return seen
        if not self._pool.late_listings:
            return 0
        for ending in worker.listing().endings:
            if ending.number <= seen:
                self._pool.forgotten.add(ending.task)
        return seen


class _OwnerProcess:
    """An owner on a VM of its own."""

    def __init__(self, owner: Owner, vm: str) -> None:
        self.owner = owner
        self.vm = vm
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.is_cut_off = False

    async def run(self) -> None:
        try:
            with self.scope:
                await self.owner.run()
        except* (FencedError, WorkerFencedError, StoreUnavailableError):
            # It was superseded or can't read the store.
            pass
        finally:
            self.ended.set()


class _Cut(NamedTuple):
    """A worker that some VMs can't reach.

    Attributes:
        worker: The worker's id.
        is_cut: Whether a VM can't reach it.
    """

    worker: str
    is_cut: Callable[[str], bool]


class RandomRestarts:
    """A simulation of restarts with random faults."""

    def __init__(self, seed: int, *, late_listings: bool = False) -> None:
        """Initializes the simulation with the choices that hold throughout.

        Args:
            seed: Seed of all choices.
            late_listings: Whether listings that are meant for a former life
                acknowledge endings of the next one.
        """
        self._rng = random.Random(seed)
        self._store = StoreStandin(seed)
        self.pool = _Pool(late_listings=late_listings)
        for _ in range(_WORKER_COUNT):
            self._add_worker()
        self._late_share = self._rng.choice((0.0, 0.1, 0.4, 0.8))
        self._lost_share = self._rng.choice((0.0, 0.0, 0.1, 0.3))
        self._store.faults.lost = self._rng.choice((0.0, 0.0, 0.1))
        self._store.faults.late = self._rng.choice((0.0, 0.0, 0.05))
        # Whether workers are cut off and owners end as in the first incident,
        # soon after the next life has listed its runs.
        self._is_focused = self._rng.random() < 0.5
        # Most seconds between the restarts of two workers.
        self._pace = self._rng.choice((0.5, 2.0, 5.0))
        self._fault_seconds = self._rng.uniform(30.0, 60.0)
        self._processes: list[_OwnerProcess] = []
        self._cuts: list[_Cut] = []
        self._gone: set[str] = set()
        self._busy: set[str] = set()
        self._accepted: set[str] = set()
        self._submitted = 0
        # The number of tasks of each open job of long tasks.
        self._long_jobs: dict[str, int] = {}
        self._restarts = 0
        self._end_owner = trio.Event()
        self._longest_wait = 0.0

    @property
    def journal(self) -> list[RunEvent]:
        """The events of runs on all workers, in order of their time."""
        for worker in self.pool.workers.values():
            worker.advance()
        return sorted(
            self.pool.journal, key=lambda e: (e.at, e.what == "start")
        )

    async def run(self) -> tuple[Violations, Figures]:
        """Runs the simulation; returns its violations and its figures."""
        late: list[str] = []
        with mock.patch.object(wall, "now", trio.current_time):
            async with trio.open_nursery() as owners:
                await self._inject_faults(owners)
                self._end_faults()
                owner = await self._last_owner(owners)
                late += await self._find_late(owner)
                owners.cancel_scope.cancel()
        journal = self.journal
        repeated = find_starts_after_success(journal)
        forgotten = [e for e in repeated if e.task in self.pool.forgotten]
        whats = Counter(event.what for event in journal)
        return (
            Violations(
                find_overlapping_starts(journal),
                [e for e in repeated if e.task not in self.pool.forgotten],
                late,
            ),
            Figures(
                self._restarts,
                len(self._processes),
                whats["start"],
                whats["lapsed"],
                len(forgotten),
                self._longest_wait,
            ),
        )

    def _plan(self, name: TaskName) -> TaskPlan:
        if name.job == _LASTING_JOB:
            return TaskPlan(RUNS_FOREVER, _LONG_SIZE)
        if name.job.startswith(_LONG_JOB_PREFIX):
            return TaskPlan(self._rng.uniform(15.0, _LONGEST_TASK), _LONG_SIZE)
        return TaskPlan(self._rng.uniform(0.1, 3.0), _SHORT_SIZE)

    def _add_worker(self) -> None:
        number = len(self.pool.workers)
        worker = TaskWorkerStandin(
            life(number), self._plan, self.pool.journal, seed=number
        )
        self.pool.add(worker)

    async def _inject_faults(self, owners: trio.Nursery) -> None:
        with trio.move_on_after(self._fault_seconds):
            async with trio.open_nursery() as faults:
                faults.start_soon(self._run_owners, owners)
                faults.start_soon(self._submit_all)
                await trio.sleep(4.0)
                for inject, most in (
                    (self._restart_one, self._pace),
                    (self._change_orders, 6.0),
                    (self._silence_store, 20.0),
                    (self._cut_some, 15.0),
                    (self._lose_worker, 40.0),
                ):
                    faults.start_soon(self._repeat, faults, inject, most)

    async def _repeat(
        self,
        faults: trio.Nursery,
        inject: Callable[[trio.Nursery], None],
        most: float,
    ) -> None:
        while True:
            await trio.sleep(self._rng.uniform(0.0, most))
            inject(faults)

    # Owners.

    async def _run_owners(self, owners: trio.Nursery) -> None:
        while True:
            process = await self._start_owner(owners)
            with trio.move_on_after(self._rng.uniform(0.5, 30.0)):
                await self._end_owner.wait()
            self._end_owner = trio.Event()
            if self._is_focused or self._rng.random() < 0.7:
                process.scope.cancel()
                await process.ended.wait()
            else:
                self._cut_off(owners, process)
            await trio.sleep(self._rng.choice((0.0, 0.0, 0.5, 2.0)))

    async def _start_owner(self, owners: trio.Nursery) -> _OwnerProcess:
        """Starts the next owner; returns it once it is ready or has ended."""
        epoch = len(self._processes) + 1
        vm = f"vm{epoch}"
        access = self.pool.access(vm)
        self._apply_cuts()
        formers = tuple(
            Predecessor(former.owner.epoch, former.ended.is_set(), True)
            for former in reversed(self._processes)
        )
        owner = Owner(
            Claim("jobs", epoch, all(f.ended for f in formers), formers),
            CellPlatform(self._store.client(vm), access, access),
            lambda: CONFIG,
        )
        process = _OwnerProcess(owner, vm)
        self._processes.append(process)
        owners.start_soon(process.run)
        while not owner.ready.is_set() and not process.ended.is_set():
            await trio.sleep(0.02)
        return process

    def _cut_off(self, owners: trio.Nursery, process: _OwnerProcess) -> None:
        """Cuts an owner off from the store, and from some of the workers."""
        process.is_cut_off = True
        self._store.faults.refused.add(process.vm)
        alive = self._alive()
        reached = set(self._rng.sample(alive, self._rng.randrange(4)))
        cuts = [
            _Cut(worker, process.vm.__eq__)
            for worker in alive
            if worker not in reached
        ]
        if self._rng.random() < 0.6:
            cuts += [_Cut(w, process.vm.__ne__) for w in sorted(reached)]
        self._add_cuts(*cuts)
        owners.start_soon(self._end_cut_off, process, cuts)

    async def _end_cut_off(
        self, process: _OwnerProcess, cuts: list[_Cut]
    ) -> None:
        await trio.sleep(self._rng.uniform(2.0, 20.0))
        if self._rng.random() < 0.5:
            process.scope.cancel()
            await process.ended.wait()
            newest = self._processes[-1]
            if newest.owner.ready.is_set() and not newest.ended.is_set():
                newest.owner.note_former_ended(process.owner.epoch)
        self._store.faults.refused.discard(process.vm)
        self._remove_cuts(*cuts)

    async def _last_owner(self, owners: trio.Nursery) -> Owner:
        """Returns the owner that goes on once no fault is left."""
        newest = self._processes[-1]
        if newest.is_cut_off or self._rng.random() < 0.5:
            newest.scope.cancel()
            await newest.ended.wait()
        while not newest.owner.ready.is_set() or newest.ended.is_set():
            if newest.ended.is_set():
                newest = await self._start_owner(owners)
            await trio.sleep(0.02)
        return newest.owner

    # Jobs.

    async def _submit_all(self) -> None:
        lasting = StepSpec(_LASTING_TASK_COUNT, _LONG_SIZE, lasting=True)
        while not await self._submit(_LASTING_JOB, spec(lasting)):
            await trio.sleep(0.1)
        while True:
            await trio.sleep(self._rng.uniform(0.0, 3.0))
            await self._submit_next()

    async def _submit_next(self) -> None:
        self._submitted += 1
        width = self._rng.randint(2, _MIN_WORKERS)
        if self._rng.random() < 0.7:
            await self._make_room(width)
            job = f"{_LONG_JOB_PREFIX}{self._submitted}"
            # Spread out, so that workers that are being restarted get some too.
            per_worker = self._rng.choice((0, 1, 1))
            step = StepSpec(width, _LONG_SIZE, per_worker=per_worker)
            if await self._submit(job, spec(step)):
                self._long_jobs[job] = width
            return
        steps = (
            StepSpec(width, _SHORT_SIZE, 0.5),
            StepSpec(2, _SHORT_SIZE, 0.5, (0,)),
        )
        await self._submit(f"short{self._submitted}", spec(*steps))

    async def _make_room(self, width: int) -> None:
        """Cancels the oldest jobs if there are too many long tasks."""
        while sum(self._long_jobs.values()) + width > _MAX_LONG_TASKS:
            job = next(iter(self._long_jobs))
            del self._long_jobs[job]
            self._accepted.discard(job)
            await self._cancel(job)

    async def _cancel(self, job: str) -> None:
        owner = self._ready_owner()
        if owner is not None:
            with trio.move_on_after(1.0):
                await owner.job_api.cancel(job)

    async def _cancel_unwanted(self, owner: Owner) -> None:
        """Cancels what was stored without an answer, or wasn't cancelled."""
        for job in list(owner._registry.jobs()):
            if job.id not in self._accepted and job.state not in TERMINAL:
                await self._cancel(job.id)

    def _ready_owner(self) -> Owner | None:
        process = self._processes[-1] if self._processes else None
        if process is None or process.ended.is_set():
            return None
        return process.owner if process.owner.ready.is_set() else None

    async def _submit(self, job: str, asked: JobSpec) -> bool:
        owner = self._ready_owner()
        if owner is None:
            return False
        with trio.move_on_after(2.0):
            reply = await owner.job_api.submit(job, QUEUE, asked)
            if reply.outcome is Outcome.OK:
                self._accepted.add(job)
                return True
        return False

    # Workers.

    def _alive(self) -> list[str]:
        return sorted(set(self.pool.workers) - self._gone)

    def _pick_idle(self) -> str | None:
        """Returns a worker to which no fault is just being done."""
        idle = [name for name in self._alive() if name not in self._busy]
        return self._rng.choice(idle) if idle else None

    def _restart_one(self, faults: trio.Nursery) -> None:
        name = self._pick_idle()
        if name is not None and len(self._busy) < _MAX_BUSY_WORKERS:
            self._busy.add(name)
            faults.start_soon(self._restart_in_series, faults, name)

    async def _restart_in_series(self, faults: trio.Nursery, name: str) -> None:
        worker = self.pool.workers[name]
        for _ in range(self._rng.choice((1, 1, 2, 3))):
            if self._rng.random() < 0.3:
                worker.faults.late = self._late_share
                faults.start_soon(self._submit_next)
                await trio.sleep(self._rng.uniform(0.1, 1.0))
            former = worker.life
            worker.go_dark()
            if self._rng.random() < 0.8:
                faults.start_soon(self._submit_next)
            darkest = 0.7 if self._is_focused else 1.5
            await trio.sleep(self._rng.uniform(0.05, darkest))
            worker.restart(self._draw_ahead())
            self._restarts += 1
            if self._rng.random() < 0.5:
                self.pool.stale_entries[name] = former
                faults.start_soon(self._refresh_entry, name, worker.life)
            if self._rng.random() < 0.5:
                await self._cut_after_restart(faults, name)
            await trio.sleep(self._rng.uniform(0.1, 4.0))
        self._busy.discard(name)

    def _draw_ahead(self) -> float | None:
        """Returns how far the next life's clock is ahead of the former one."""
        return self._rng.choice(
            (
                None,
                None,
                self._rng.uniform(-15.0, -5.0),
                self._rng.uniform(-15.0, 0.0),
                self._rng.uniform(0.0, 8.0),
                self._rng.uniform(50.0, 1000.0),
            )
        )

    async def _refresh_entry(self, name: str, listed: WorkerLife) -> None:
        await trio.sleep(self._rng.uniform(0.5, 8.0))
        if self.pool.workers[name].life.born == listed.born:
            self.pool.stale_entries.pop(name, None)

    async def _cut_after_restart(self, faults: trio.Nursery, name: str) -> None:
        """Cuts a worker off soon after its restart, from some or all VMs."""
        draw = self._rng.uniform
        if self._is_focused:
            await trio.sleep(draw(0.2, 1.2))
        else:
            await trio.sleep(
                self._rng.choice((0.0, 0.03, draw(0.0, 0.3), draw(0.3, 2.5)))
            )
        newest = self._processes[-1].vm
        is_cut: Callable[[str], bool] = self._rng.choice(
            (lambda _: True, lambda _: True, newest.__eq__, newest.__ne__)
        )
        if self._is_focused:
            is_cut = lambda _: True  # noqa: E731
        cut = _Cut(name, is_cut)
        self._add_cuts(cut)
        if self._is_focused or self._rng.random() < 0.6:
            faults.start_soon(self._end_owner_soon)
        await trio.sleep(draw(11.0 if self._is_focused else 3.0, 20.0))
        self._remove_cuts(cut)

    async def _end_owner_soon(self) -> None:
        await trio.sleep(self._rng.uniform(0.0, 2.0))
        self._end_owner.set()

    def _cut_some(self, faults: trio.Nursery) -> None:
        """Cuts a worker off from all VMs for a while."""
        faults.start_soon(
            self._cut_for_a_while, self._rng.choice(self._alive())
        )

    async def _cut_for_a_while(self, name: str) -> None:
        cut = _Cut(name, lambda _: True)
        self._add_cuts(cut)
        await trio.sleep(self._rng.uniform(0.3, 8.0))
        self._remove_cuts(cut)

    def _add_cuts(self, *cuts: _Cut) -> None:
        self._cuts += cuts
        self._apply_cuts()

    def _remove_cuts(self, *cuts: _Cut) -> None:
        removed = set(map(id, cuts))
        self._cuts = [cut for cut in self._cuts if id(cut) not in removed]
        self._apply_cuts()

    def _apply_cuts(self) -> None:
        for vm, cut_off in self.pool.cut.items():
            cut_off.clear()
            cut_off.update(c.worker for c in self._cuts if c.is_cut(vm))

    def _lose_worker(self, faults: trio.Nursery) -> None:
        """Ends a worker for good; its entry goes up to 3 s later."""
        name = self._pick_idle()
        if name is None or len(self._alive()) <= _MIN_WORKERS:
            return
        self._gone.add(name)
        worker = self.pool.workers[name]
        worker.crash()
        worker.faults.silent = True
        faults.start_soon(self._unlist_later, name)

    async def _unlist_later(self, name: str) -> None:
        await trio.sleep(self._rng.uniform(0.0, 3.0))
        self.pool.unlisted.add(name)

    # Orders and the store.

    def _change_orders(self, _: trio.Nursery) -> None:
        """Lets orders to some workers come late, or loses their answers."""
        for worker in self.pool.workers.values():
            is_bad = self._rng.random() < 0.3
            worker.faults.late = self._late_share if is_bad else 0.0
            worker.faults.lost = self._lost_share if is_bad else 0.0

    def _silence_store(self, faults: trio.Nursery) -> None:
        faults.start_soon(self._silence_store_for_a_while)

    async def _silence_store_for_a_while(self) -> None:
        self._store.faults.away = True
        await trio.sleep(self._rng.uniform(0.3, 9.0))
        self._store.faults.away = False

    def _end_faults(self) -> None:
        """Ends all faults; workers that are gone stay gone."""
        faults = self._store.faults
        faults.away, faults.refused = False, set()
        faults.lost = faults.late = 0.0
        self.pool.stale_entries.clear()
        self.pool.unlisted |= self._gone
        self._cuts.clear()
        self._apply_cuts()
        for name in self._alive():
            worker = self.pool.workers[name]
            worker.faults.late = worker.faults.lost = 0.0
            if worker.dead:
                worker.restart()
        while len(self._alive()) < _LAST_WORKERS:
            self._add_worker()

    # What has to go on.

    async def _find_late(self, owner: Owner) -> list[str]:
        """Returns what doesn't go on in time after the last fault."""
        ended_at = trio.current_time()
        await self._cancel_unwanted(owner)
        limit = ended_at + RECOVERY_TIME
        while waiting := self._waiting(owner):
            await trio.sleep(0.1)
            now = trio.current_time()
            self._longest_wait = now - ended_at
            late = sorted(t for t in waiting if now > limit + self._more(t))
            if late:
                return [f"{task} at {now:.1f}" for task in late]
        with trio.move_on_after(RECOVERY_TIME + _LONGEST_TASK):
            while open_jobs := self._open_jobs(owner):
                await trio.sleep(0.2)
        without_cause = [
            f"{job} failed"
            for job in sorted(self._accepted)
            if owner.job_api.state(job).state is JobState.FAILED
            and not crashed_twice_under(self.journal, job)
        ]
        lost = self._waiting(owner)
        return [*without_cause, *open_jobs, *sorted(map(str, lost))]

    def _more(self, task: TaskName) -> float:
        crashes = sum(
            e.task == task and e.what == "lost" for e in self.pool.journal
        )
        return _CRASH_DECISION_TIME if crashes >= _CRASHES_TO_DECIDE else 0.0

    def _open_jobs(self, owner: Owner) -> list[str]:
        return sorted(
            job
            for job in self._accepted - {_LASTING_JOB}
            if owner.job_api.state(job).state not in TERMINAL
        )

    def _waiting(self, owner: Owner) -> set[TaskName]:
        """Returns the long and lasting tasks that neither run nor are done."""
        found = {
            task.name
            for job in owner._registry.jobs()
            if job.id in self._accepted and job.state not in TERMINAL
            for task in job.tasks()
            if task.step.spec.size == _LONG_SIZE and not task.done
        }
        for name in self._alive():
            for entry in self.pool.workers[name].listing().running:
                found.discard(entry.task)
        return found


def run_seed(
    seed: int, *, late_listings: bool = False
) -> tuple[Violations, Figures]:
    """Runs the simulation for one seed; returns its violations and figures."""
    found: list[tuple[Violations, Figures]] = []

    async def run() -> None:
        simulation = RandomRestarts(seed, late_listings=late_listings)
        found.append(await simulation.run())

    run_virtual(run, seed)
    return found[0]


def main() -> None:
    """Runs the given seeds; prints the violations of each and the figures."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    late_listings = "late-listings" in sys.argv[3:]
    broken = 0
    all_figures = []
    for seed in seeds:
        found, figures = run_seed(seed, late_listings=late_listings)
        all_figures.append(figures)
        broken += any(found)
        if any(found) or figures.forgotten:
            print(
                f"seed {seed}: {len(found.overlapping)} overlapping, "
                f"{len(found.repeated)} repeated, {len(found.late)} late, "
                f"{figures.forgotten} after forgotten ends; "
                f"{[*found.overlapping, *found.repeated, *found.late][:1]}",
                flush=True,
            )
    totals = Figures(*map(sum, zip(*all_figures, strict=True)))
    longest = max(figures.longest_wait for figures in all_figures)
    print(
        f"{broken} of {len(seeds)} seeds had violations; "
        f"{totals.restarts} restarts, {totals.owners} owners, "
        f"{totals.starts} starts, {totals.lapsed} lapsed runs, "
        f"{totals.forgotten} starts after forgotten ends, "
        f"longest wait {longest:.1f} of {RECOVERY_TIME:.1f} s"
    )


if __name__ == "__main__":
    main()
