"""Random take-overs while workers leave, vanish and are cut off.

Real elections in virtual time: VMs are killed and turned away by the store,
appends are done late or unanswered, links of single VMs to single workers are
cut, workers leave for good or only vanish from the directory and come back. No
task ever runs twice, and once all is calm what is to last is at work in time.

`python -m tests.random_take_overs FIRST LAST` plays more seeds than CI does.
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
    LASTS,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests import run_virtual
from tests.gateway_fixtures import STRONG, WEAK, VmCell
from tests.owner_fixtures import (
    QUEUE,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    make_hall,
    spec,
)

_VMS: Final = {
    "strong-1": STRONG,
    "strong-2": STRONG,
    "weak-1": WEAK,
    "weak-2": WEAK,
    "weak-3": WEAK,
}
_WORKERS: Final = 6
# So many have room for everything.
_WORKERS_LEAST: Final = 4
_JOBS: Final = 3
_TASKS: Final = 3
_LASTING: Final = "watch"
# Two of them and some short work fit on a worker.
_SIZE: Final = Size(2500, 1000, 0)
_SHORT: Final = Size(1000, 1000, 0)
_SERIES: Final = 2
_STRIKES: Final = 7
# Users count what lasts as lost 9 s after its last run; 3 s for a take-over.
CALM: Final = 12.0
# What serves a vanished worker best is that nobody takes it for gone.
_VANISHED_MOST: Final = 12.0


class Broken(NamedTuple):
    """Promises that a history broke, each empty if it wasn't.

    Attributes:
        twice: Starts of a task while another run of it was on a worker.
        again: Starts of a task after a run of it had ended well.
        away: Lasting tasks that weren't at work at the end of a calm spell.
    """

    twice: list[RunEvent]
    again: list[RunEvent]
    away: list[str]


class RandomTakeOvers:
    """One random history."""

    def __init__(self, seed: int) -> None:
        """Draws what a seed decides once."""
        self._draw = random.Random(seed)
        self._cell = VmCell()
        self._hall: WorkerHall = make_hall(_WORKERS, self._plan)
        self._cell.hall = self._hall
        self._cell.reading_takes = self._draw.choice((0.0, 0.3, 1.0))
        # Where workers don't tell when they were born, no start is waited for
        # that may come late.
        self._births = self._draw.random() < 0.5
        # Shares of appends that aren't answered, and that come seconds later.
        self._lost = self._draw.choice((0.0, 0.0, 0.05))
        self._late = self._draw.choice((0.0, 0.0, 0.05))
        for worker in self._hall.workers.values():
            self._dress(worker)
        self._generations = dict.fromkeys(_VMS, 1)
        self._worker_number = _WORKERS
        self._submitted = 0
        self._accepted: set[str] = set()
        self._away: list[str] = []
        self._is_calm = True
        # Undoes a fault, by what it is called.
        self._undo: dict[str, Callable[[], None]] = {}
        self._nursery: trio.Nursery | None = None

    async def play(self) -> Broken:
        """Plays it; returns what it broke."""
        with mock.patch.object(wall, "now", trio.current_time):
            async with self._cell.running(), trio.open_nursery() as nursery:
                self._nursery = nursery
                for name, cores in _VMS.items():
                    self._cell.start(name, cores)
                for _ in range(_SERIES):
                    await self._submit_lasting()
                    await self._strike_often()
                    self._calm()
                    await trio.sleep(CALM)
                    self._away += self._lasting_away()
                nursery.cancel_scope.cancel()
        for worker in self._hall.workers.values():
            worker.advance()
        journal = sorted(
            self._hall.journal, key=lambda e: (e.at, e.what == "start")
        )
        assert self._accepted, "no job was taken in"
        return Broken(
            find_overlapping_starts(journal),
            find_starts_after_success(journal),
            self._away,
        )

    def _plan(self, name: TaskName) -> TaskPlan:
        if name.job.startswith(_LASTING):
            return TaskPlan(LASTS, _SIZE)
        return TaskPlan(self._draw.uniform(0.2, 4.0), _SHORT)

    def _dress(self, worker: TaskWorkerStandin) -> None:
        if not self._births:
            worker.life = worker.life._replace(born=0)

    async def _submit(self, job: str, asked: JobSpec) -> bool:
        """Submits a job as callers do, within a time."""
        with trio.move_on_after(2.0):
            for vm in self._cell.owners():
                owner = vm.election.owner
                if owner is None:
                    # It has ended while another one was asked.
                    continue
                reply = await owner.job_api.submit(job, QUEUE, asked)
                if reply.outcome is Outcome.OK:
                    self._accepted.add(job)
                    return True
        return False

    async def _submit_lasting(self) -> None:
        lasting = spec(StepSpec(_TASKS, _SIZE, lasting=True))
        with trio.move_on_after(CALM):
            for number in range(_JOBS):
                while not await self._submit(f"{_LASTING}{number}", lasting):
                    await trio.sleep(0.2)
        await trio.sleep(self._draw.uniform(0.2, 3.0))

    async def _submit_short(self) -> None:
        self._submitted += 1
        short = spec(StepSpec(3, _SHORT, 0.5), StepSpec(2, _SHORT, 0.5, (0,)))
        await self._submit(f"job{self._submitted}", short)

    async def _strike_often(self) -> None:
        assert self._nursery is not None
        self._is_calm = False
        faults = self._cell.store.faults
        faults.lost, faults.late = self._lost, self._late
        strikes = (
            self._refuse,
            self._refuse,
            self._kill_owner,
            self._kill_some,
            self._stop_owner,
            self._cut_link,
            self._cut_link,
            self._part,
            self._flap,
            self._leave,
            self._leave,
            self._vanish,
            self._vanish,
            self._hide_directory,
        )
        for _ in range(_STRIKES):
            self._nursery.start_soon(self._submit_short)
            for strike in self._draw.sample(strikes, 2):
                strike()
            await trio.sleep(self._draw.uniform(0.3, 6.0))

    def _refuse(self) -> None:
        """Has the store turn some VMs away, or let them in again."""
        faults = self._cell.store.faults
        if faults.refused:
            faults.refused = set()
            return
        share = self._draw.choice((0.3, 0.6))
        faults.refused = {n for n in _VMS if self._draw.random() < share}
        if self._draw.random() < 0.5:
            faults.refused |= {vm.name for vm in self._cell.owners()}

    def _kill_owner(self) -> None:
        for vm in self._cell.owners():
            self._kill(vm.name)

    def _kill_some(self) -> None:
        self._kill(self._draw.choice(sorted(_VMS)))

    def _kill(self, name: str) -> None:
        vm = self._cell.vms.get(name)
        if vm is None:
            return
        self._cell.kill(vm)
        self._later(f"down {name}", 4.0, lambda: self._start(name))

    def _start(self, name: str) -> None:
        self._generations[name] += 1
        self._cell.start(name, _VMS[name], self._generations[name])

    def _stop_owner(self) -> None:
        """Has the owner give the cell back, and end seconds later."""
        for vm in self._cell.owners():
            vm.election.leave()
            end = partial(self._kill, vm.name)
            self._later(f"stop {vm.name}", 3.0, end)

    def _cut_link(self) -> None:
        """Cuts a VM off a worker, or mends all its links."""
        cut = self._hall.cut.setdefault(self._draw.choice(sorted(_VMS)), set())
        if len(cut) > 1:
            cut.clear()
        else:
            cut.add(self._draw.choice(self._alive()))

    def _part(self) -> None:
        """Has one VM without the store reach one worker, and it alone."""
        apart = self._draw.choice(self._alive())
        if self._draw.random() < 0.7:
            self._hall.unlisted.add(apart)
        self._part_off(self._owner_or_any(), apart)

    def _flap(self) -> None:
        """The same once the VM has taken that worker for one that left."""
        owner, apart = self._owner_or_any(), self._draw.choice(self._alive())
        self._hall.unlisted.add(apart)
        self._hall.cut.setdefault(owner, set()).add(apart)
        silent = self._draw.uniform(2.0, 4.0)
        assert self._nursery is not None
        self._nursery.start_soon(self._part_later, owner, apart, silent)

    async def _part_later(self, name: str, apart: str, wait: float) -> None:
        await trio.sleep(wait)
        if not self._is_calm and not self._hall.workers[apart].dead:
            self._part_off(name, apart)

    def _part_off(self, alone: str, apart: str) -> None:
        for name in _VMS:
            cut = self._hall.cut.setdefault(name, set())
            cut.discard(apart)
            others = set(self._alive()) - {apart}
            cut |= others if name == alone else {apart}
        self._cell.store.faults.refused |= {alone}
        self._later(f"part {apart}", 15.0, lambda: self._mend(apart))

    def _owner_or_any(self) -> str:
        owners = [vm.name for vm in self._cell.owners()]
        return self._draw.choice(owners or sorted(_VMS))

    def _mend(self, apart: str) -> None:
        for cut in self._hall.cut.values():
            cut.clear()
        if not self._hall.workers[apart].dead:
            self._hall.unlisted.discard(apart)

    def _leave(self) -> None:
        """Has a worker end for good; its entry may outlive it."""
        alive = self._alive()
        if len(alive) <= _WORKERS_LEAST:
            self._add_worker()
            return
        gone = self._draw.choice(alive)
        worker = self._hall.workers[gone]
        worker.crash()
        worker.faults.silent = True
        self._later(f"entry {gone}", 3.0, lambda: self._hall.unlisted.add(gone))
        if self._draw.random() < 0.5:
            self._add_worker()

    def _add_worker(self) -> None:
        number = self._worker_number
        self._worker_number += 1
        worker = TaskWorkerStandin(
            life(number), self._plan, self._hall.journal, seed=number
        )
        self._dress(worker)
        self._hall.add(worker)

    def _vanish(self) -> None:
        """Takes a worker that runs on out of the directory, for a while."""
        gone = self._draw.choice(self._alive())
        self._hall.unlisted.add(gone)
        if self._draw.random() < 0.5:
            names = self._draw.sample(sorted(_VMS), 3)
            for name in names:
                self._hall.cut.setdefault(name, set()).add(gone)

        def come_back() -> None:
            if not self._hall.workers[gone].dead:
                self._hall.unlisted.discard(gone)

        self._later(f"vanished {gone}", _VANISHED_MOST, come_back)

    def _hide_directory(self) -> None:
        """Has the directory answer nobody for a while."""
        self._hall.directory_away = True
        self._later("directory", 4.0, self._show_directory)

    def _show_directory(self) -> None:
        self._hall.directory_away = False

    def _alive(self) -> list[str]:
        return sorted(n for n, w in self._hall.workers.items() if not w.dead)

    def _later(self, what: str, most: float, undo: Callable[[], None]) -> None:
        """Undoes a fault after a while, at the latest when all is calm."""
        if what in self._undo:
            return
        assert self._nursery is not None
        self._undo[what] = undo
        wait = self._draw.uniform(0.0, most)
        self._nursery.start_soon(self._undo_after, what, wait)

    async def _undo_after(self, what: str, wait: float) -> None:
        await trio.sleep(wait)
        self._undo_now(what)

    def _undo_now(self, what: str) -> None:
        undo = self._undo.pop(what, None)
        if undo is not None:
            undo()

    def _calm(self) -> None:
        """Ends all faults; what has gone for good stays so."""
        self._is_calm = True
        faults = self._cell.store.faults
        faults.refused, faults.lost, faults.late = set(), 0.0, 0.0
        while self._undo:
            self._undo_now(next(iter(self._undo)))
        for cut in self._hall.cut.values():
            cut.clear()
        for name, worker in self._hall.workers.items():
            if not worker.dead:
                self._hall.unlisted.discard(name)
        while len(self._alive()) < _WORKERS_LEAST:
            self._add_worker()

    def _lasting_away(self) -> list[str]:
        """Returns accepted lasting tasks that run on no worker that is up."""
        wanted = {
            str(TaskName(job, 0, 0, index))
            for job in self._accepted
            if job.startswith(_LASTING)
            for index in range(_TASKS)
        }
        for worker in self._hall.workers.values():
            if not worker.dead:
                for entry in worker.listing().running:
                    wanted.discard(str(entry.task))
        at = round(trio.current_time(), 1)
        return [f"{task} at {at}" for task in sorted(wanted)]


def play_seed(seed: int) -> Broken:
    """Plays one history; returns what it broke."""
    found: list[Broken] = []

    async def play() -> None:
        found.append(await RandomTakeOvers(seed).play())

    run_virtual(play, seed)
    return found[0]


def main() -> None:
    """Plays the seeds given; prints what each breaks."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    broken = 0
    for seed in seeds:
        found = play_seed(seed)
        broken += any(found)
        if any(found):
            print(
                f"seed {seed}: {len(found.twice)} twice, "
                f"{len(found.again)} again, {len(found.away)} away; "
                f"{(*found.twice, *found.again, *found.away)[0]}",
                flush=True,
            )
    print(f"{broken} of {len(seeds)} seeds broke a promise")


if __name__ == "__main__":
    main()
