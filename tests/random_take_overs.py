"""Random take-overs while workers end, go unlisted and are cut off.

Real elections in virtual time: VMs are killed and refused by the store, appends
come late or stay unanswered, links between single VMs and workers are cut, and
workers end or only disappear from the directory for a while. No task may run
twice, and lasting tasks have to run again in time after the last fault.

`python -m tests.random_take_overs FIRST LAST` runs more seeds than CI does.
"""

from collections.abc import Callable
from functools import partial
import random
import sys
from typing import Final, NamedTuple
from unittest import mock

import trio

from pimentocross.owner import wall
from pimentocross.owner.job_api import Outcome
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests import run_virtual
from tests.gateway_fixtures import STRONG, WEAK, VmCell
from tests.owner_fixtures import (
    QUEUE,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    make_worker_pool,
    spec,
)

_VMS: Final = {
    "strong-1": STRONG,
    "strong-2": STRONG,
    "weak-1": WEAK,
    "weak-2": WEAK,
    "weak-3": WEAK,
}
_WORKER_COUNT: Final = 6
# This many workers have the capacity for all tasks.
_MIN_WORKERS: Final = 4
_JOB_COUNT: Final = 3
_TASK_COUNT: Final = 3
_LASTING_JOB_PREFIX: Final = "watch"
# Two such tasks and some short ones fit on a worker.
_LASTING_TASK_SIZE: Final = Size(2500, 1000, 0)
_SHORT_TASK_SIZE: Final = Size(1000, 1000, 0)
_ROUND_COUNT: Final = 2
_FAULT_ROUNDS: Final = 7
# Users count a lasting task as lost 9 s after its last run; 3 s more are for a
# take-over.
RECOVERY_TIME: Final = 12.0
# Longest time for which a running worker is unlisted. The best outcome is that
# no owner treats it as gone meanwhile.
_MAX_UNLISTED_SECONDS: Final = 12.0


class Violations(NamedTuple):
    """What a simulation found wrong; the lists are empty if nothing was.

    Attributes:
        overlapping: Starts of a task while another run of it was on a worker.
        repeated: Starts of a task after a run of it had succeeded.
        missing: Lasting tasks that weren't running at the end of a period
            without faults.
    """

    overlapping: list[RunEvent]
    repeated: list[RunEvent]
    missing: list[str]


class RandomTakeOvers:
    """A simulation of take-overs with random faults."""

    def __init__(self, seed: int) -> None:
        """Initializes the simulation with the choices that hold throughout."""
        self._rng = random.Random(seed)
        self._cell = VmCell()
        self._worker_pool: WorkerPool = make_worker_pool(
            _WORKER_COUNT, self._plan_task
        )
        self._cell.worker_pool = self._worker_pool
        self._cell.read_duration = self._rng.choice((0.0, 0.3, 1.0))
        # If workers don't report when they were started, owners don't wait for
        # task starts that may arrive late.
        self._reports_births = self._rng.random() < 0.5
        # Shares of appends that aren't answered and that arrive seconds later.
        self._lost_share = self._rng.choice((0.0, 0.0, 0.05))
        self._late_share = self._rng.choice((0.0, 0.0, 0.05))
        for worker in self._worker_pool.workers.values():
            self._set_birth_reporting(worker)
        self._generations = dict.fromkeys(_VMS, 1)
        self._worker_number = _WORKER_COUNT
        self._submitted = 0
        self._accepted: set[str] = set()
        self._missing_tasks: list[str] = []
        self._are_faults_cleared = True
        # The functions that undo current faults, by the name of the fault.
        self._pending_undos: dict[str, Callable[[], None]] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> Violations:
        """Runs the simulation and returns its violations."""
        with mock.patch.object(wall, "now", trio.current_time):
            async with self._cell.running(), trio.open_nursery() as nursery:
                self._nursery = nursery
                for name, cores in _VMS.items():
                    self._cell.start(name, cores)
                for _ in range(_ROUND_COUNT):
                    await self._submit_lasting()
                    await self._inject_faults()
                    self._clear_faults()
                    await trio.sleep(RECOVERY_TIME)
                    self._missing_tasks += self._find_missing_lasting_tasks()
                nursery.cancel_scope.cancel()
        for worker in self._worker_pool.workers.values():
            worker.advance()
        journal = sorted(
            self._worker_pool.journal, key=lambda e: (e.at, e.what == "start")
        )
        assert self._accepted, "no job was accepted"
        return Violations(
            find_overlapping_starts(journal),
            find_starts_after_success(journal),
            self._missing_tasks,
        )

    def _plan_task(self, name: TaskName) -> TaskPlan:
        if name.job.startswith(_LASTING_JOB_PREFIX):
            return TaskPlan(RUNS_FOREVER, _LASTING_TASK_SIZE)
        return TaskPlan(self._rng.uniform(0.2, 4.0), _SHORT_TASK_SIZE)

    def _set_birth_reporting(self, worker: TaskWorkerStandin) -> None:
        if not self._reports_births:
            worker.life = worker.life._replace(born=0)

    async def _submit(self, job: str, asked: JobSpec) -> bool:
        """Submits a job with a timeout; returns whether it was accepted."""
        with trio.move_on_after(2.0):
            for vm in self._cell.owners():
                owner = vm.election.owner
                if owner is None:
                    # The owner has ended while another one was asked.
                    continue
                reply = await owner.job_api.submit(job, QUEUE, asked)
                if reply.outcome is Outcome.OK:
                    self._accepted.add(job)
                    return True
        return False

    async def _submit_lasting(self) -> None:
        lasting = spec(StepSpec(_TASK_COUNT, _LASTING_TASK_SIZE, lasting=True))
        with trio.move_on_after(RECOVERY_TIME):
            for number in range(_JOB_COUNT):
                while not await self._submit(
                    f"{_LASTING_JOB_PREFIX}{number}", lasting
                ):
                    await trio.sleep(0.2)
        await trio.sleep(self._rng.uniform(0.2, 3.0))

    async def _submit_short(self) -> None:
        self._submitted += 1
        short = spec(
            StepSpec(3, _SHORT_TASK_SIZE, 0.5),
            StepSpec(2, _SHORT_TASK_SIZE, 0.5, (0,)),
        )
        await self._submit(f"job{self._submitted}", short)

    async def _inject_faults(self) -> None:
        assert self._nursery is not None
        self._are_faults_cleared = False
        faults = self._cell.store.faults
        faults.lost, faults.late = self._lost_share, self._late_share
        injectors = (
            self._toggle_refusals,
            self._toggle_refusals,
            self._kill_owner,
            self._kill_any,
            self._stop_owner,
            self._toggle_link_cut,
            self._toggle_link_cut,
            self._partition_vm,
            self._partition_after_silence,
            self._end_worker,
            self._end_worker,
            self._unlist_worker,
            self._unlist_worker,
            self._hide_directory,
        )
        for _ in range(_FAULT_ROUNDS):
            self._nursery.start_soon(self._submit_short)
            for inject in self._rng.sample(injectors, 2):
                inject()
            await trio.sleep(self._rng.uniform(0.3, 6.0))

    def _toggle_refusals(self) -> None:
        """Makes the store refuse some VMs, or accept all of them again."""
        faults = self._cell.store.faults
        if faults.refused:
            faults.refused = set()
            return
        share = self._rng.choice((0.3, 0.6))
        faults.refused = {n for n in _VMS if self._rng.random() < share}
        if self._rng.random() < 0.5:
            faults.refused |= {vm.name for vm in self._cell.owners()}

    def _kill_owner(self) -> None:
        for vm in self._cell.owners():
            self._kill(vm.name)

    def _kill_any(self) -> None:
        self._kill(self._rng.choice(sorted(_VMS)))

    def _kill(self, name: str) -> None:
        vm = self._cell.vms.get(name)
        if vm is None:
            return
        self._cell.kill(vm)
        self._undo_later(f"down {name}", 4.0, lambda: self._start(name))

    def _start(self, name: str) -> None:
        self._generations[name] += 1
        self._cell.start(name, _VMS[name], self._generations[name])

    def _stop_owner(self) -> None:
        """Makes the owner release the cell, and kills it seconds later."""
        for vm in self._cell.owners():
            vm.election.leave()
            end = partial(self._kill, vm.name)
            self._undo_later(f"stop {vm.name}", 3.0, end)

    def _toggle_link_cut(self) -> None:
        """Cuts the link from a VM to a worker, or restores all its links."""
        cut = self._worker_pool.cut.setdefault(
            self._rng.choice(sorted(_VMS)), set()
        )
        if len(cut) > 1:
            cut.clear()
        else:
            cut.add(self._rng.choice(self._alive()))

    def _partition_vm(self) -> None:
        """Isolates a VM and a worker together from the store and all others."""
        worker_name = self._rng.choice(self._alive())
        if self._rng.random() < 0.7:
            self._worker_pool.unlisted.add(worker_name)
        self._partition(self._owner_or_any(), worker_name)

    def _partition_after_silence(self) -> None:
        """Does the same after the worker was cut off for some seconds."""
        owner, worker_name = (
            self._owner_or_any(),
            self._rng.choice(self._alive()),
        )
        self._worker_pool.unlisted.add(worker_name)
        self._worker_pool.cut.setdefault(owner, set()).add(worker_name)
        silent = self._rng.uniform(2.0, 4.0)
        assert self._nursery is not None
        self._nursery.start_soon(
            self._partition_later, owner, worker_name, silent
        )

    async def _partition_later(
        self, name: str, worker_name: str, wait: float
    ) -> None:
        await trio.sleep(wait)
        if (
            not self._are_faults_cleared
            and not self._worker_pool.workers[worker_name].dead
        ):
            self._partition(name, worker_name)

    def _partition(self, vm_name: str, worker_name: str) -> None:
        for name in _VMS:
            cut = self._worker_pool.cut.setdefault(name, set())
            cut.discard(worker_name)
            others = set(self._alive()) - {worker_name}
            cut |= others if name == vm_name else {worker_name}
        self._cell.store.faults.refused |= {vm_name}
        self._undo_later(
            f"part {worker_name}",
            15.0,
            lambda: self._heal_partition(worker_name),
        )

    def _owner_or_any(self) -> str:
        owners = [vm.name for vm in self._cell.owners()]
        return self._rng.choice(owners or sorted(_VMS))

    def _heal_partition(self, worker_name: str) -> None:
        for cut in self._worker_pool.cut.values():
            cut.clear()
        if not self._worker_pool.workers[worker_name].dead:
            self._worker_pool.unlisted.discard(worker_name)

    def _end_worker(self) -> None:
        """Ends a worker for good; its directory entry goes up to 3 s later."""
        alive = self._alive()
        if len(alive) <= _MIN_WORKERS:
            self._add_worker()
            return
        gone = self._rng.choice(alive)
        worker = self._worker_pool.workers[gone]
        worker.crash()
        worker.faults.silent = True
        self._undo_later(
            f"entry {gone}", 3.0, lambda: self._worker_pool.unlisted.add(gone)
        )
        if self._rng.random() < 0.5:
            self._add_worker()

    def _add_worker(self) -> None:
        number = self._worker_number
        self._worker_number += 1
        worker = TaskWorkerStandin(
            life(number),
            self._plan_task,
            self._worker_pool.journal,
            seed=number,
        )
        self._set_birth_reporting(worker)
        self._worker_pool.add(worker)

    def _unlist_worker(self) -> None:
        """Takes a running worker out of the directory for a while."""
        gone = self._rng.choice(self._alive())
        self._worker_pool.unlisted.add(gone)
        if self._rng.random() < 0.5:
            names = self._rng.sample(sorted(_VMS), 3)
            for name in names:
                self._worker_pool.cut.setdefault(name, set()).add(gone)

        def come_back() -> None:
            if not self._worker_pool.workers[gone].dead:
                self._worker_pool.unlisted.discard(gone)

        self._undo_later(f"vanished {gone}", _MAX_UNLISTED_SECONDS, come_back)

    def _hide_directory(self) -> None:
        """Makes the directory unavailable for a while."""
        self._worker_pool.directory_away = True
        self._undo_later("directory", 4.0, self._show_directory)

    def _show_directory(self) -> None:
        self._worker_pool.directory_away = False

    def _alive(self) -> list[str]:
        return sorted(
            n for n, w in self._worker_pool.workers.items() if not w.dead
        )

    def _undo_later(
        self, what: str, max_wait: float, undo: Callable[[], None]
    ) -> None:
        """Undoes a fault later, at the latest when faults are cleared."""
        if what in self._pending_undos:
            return
        assert self._nursery is not None
        self._pending_undos[what] = undo
        wait = self._rng.uniform(0.0, max_wait)
        self._nursery.start_soon(self._undo_after, what, wait)

    async def _undo_after(self, what: str, wait: float) -> None:
        await trio.sleep(wait)
        self._undo_now(what)

    def _undo_now(self, what: str) -> None:
        undo = self._pending_undos.pop(what, None)
        if undo is not None:
            undo()

    def _clear_faults(self) -> None:
        """Ends all faults; workers that have ended stay down."""
        self._are_faults_cleared = True
        faults = self._cell.store.faults
        faults.refused, faults.lost, faults.late = set(), 0.0, 0.0
        while self._pending_undos:
            self._undo_now(next(iter(self._pending_undos)))
        for cut in self._worker_pool.cut.values():
            cut.clear()
        for name, worker in self._worker_pool.workers.items():
            if not worker.dead:
                self._worker_pool.unlisted.discard(name)
        while len(self._alive()) < _MIN_WORKERS:
            self._add_worker()

    def _find_missing_lasting_tasks(self) -> list[str]:
        """Returns the accepted lasting tasks that run on no live worker."""
        wanted = {
            str(TaskName(job, 0, 0, index))
            for job in self._accepted
            if job.startswith(_LASTING_JOB_PREFIX)
            for index in range(_TASK_COUNT)
        }
        for worker in self._worker_pool.workers.values():
            if not worker.dead:
                for entry in worker.listing().running:
                    wanted.discard(str(entry.task))
        at = round(trio.current_time(), 1)
        return [f"{task} at {at}" for task in sorted(wanted)]


def run_seed(seed: int) -> Violations:
    """Runs the simulation for one seed and returns its violations."""
    found: list[Violations] = []

    async def run() -> None:
        found.append(await RandomTakeOvers(seed).run())

    run_virtual(run, seed)
    return found[0]


def main() -> None:
    """Runs the given seeds and prints the violations of each."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    broken = 0
    for seed in seeds:
        found = run_seed(seed)
        broken += any(found)
        if any(found):
            print(
                f"seed {seed}: {len(found.overlapping)} overlapping, "
                f"{len(found.repeated)} repeated, "
                f"{len(found.missing)} missing; "
                f"{(*found.overlapping, *found.repeated, *found.missing)[0]}",
                flush=True,
            )
    print(f"{broken} of {len(seeds)} seeds had violations")


if __name__ == "__main__":
    main()
