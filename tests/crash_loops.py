"""Tasks that crash their workers, in cells of several sizes.

Twenty of them come at once beside other work, on workers that come back under
new ids or their own, with one owner or with owners that are killed one after
the other. `python -m tests.crash_loops [SEEDS]` prints what comes of each.
"""

from collections import Counter
from collections.abc import Iterator
import random
import sys
from typing import Final, NamedTuple
from unittest import mock

import trio

from pimentocross.owner import wall
from pimentocross.owner.owner import Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.supervisor import Supervisor
from pimentocross.standins.task_worker import (
    LASTS,
    NEVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import JobSpec, StepSpec, TaskName
from pimentocross.work.state import JobState
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    OwnerEndedError,
    chain,
    life,
    make_owner,
    running,
    spec,
)

_WORKERS: Final = (12, 24, 60, 246)
_SEEDS: Final = 20
_CRASHING: Final = 20
_RACK: Final = 8
_LASTING: Final = StepSpec(6, SMALL, lasting=True)
# Seconds that a new owner takes to follow one that was killed.
_TAKE_OVER: Final = 2.0
# Seconds between kills: one falls between any two crashes of a task.
_KILLED_EVERY: Final = (1.5, 6.0)
# No play lasts longer, in seconds.
LONGEST: Final = 120.0


class Scene(NamedTuple):
    """What is played.

    Attributes:
        workers: How many there are.
        keeps_ids: Whether a worker comes back under the id that it had.
        kills: Whether owners are killed.
    """

    workers: int
    keeps_ids: bool
    kills: bool


class Outcome(NamedTuple):
    """What came of a play.

    Attributes:
        journal: What happened to runs.
        states: What callers were last told of each job.
        seconds: Until all crashing jobs were given up.
    """

    journal: list[RunEvent]
    states: dict[str, JobState | None]
    seconds: float

    @property
    def crashes(self) -> Counter[TaskName]:
        """Workers that crashed by each task."""
        return Counter(e.task for e in self.journal if e.what == "crashed")

    @property
    def most_crashes(self) -> int:
        """Those of the task that crashed most."""
        return max(self.crashes.values(), default=0)

    @property
    def innocent(self) -> list[str]:
        """Jobs that were given up and crashed nothing."""
        return [
            job
            for job, state in self.states.items()
            if state is JobState.FAILED and not _is_crashing(job)
        ]

    def starts_after_third(self) -> int:
        """Returns starts of tasks by which three workers had crashed."""
        crashes: Counter[TaskName] = Counter()
        starts = 0
        for event in self.journal:
            if event.what == "crashed":
                crashes[event.task] += 1
            elif event.what == "start" and crashes[event.task] >= 3:
                starts += 1
        return starts


def play(scene: Scene, seed: int) -> Outcome:
    """Plays a scene in virtual time."""
    outcomes: list[Outcome] = []

    async def play_once() -> None:
        with mock.patch.object(wall, "now", trio.current_time):
            outcomes.append(await _play(scene, seed))

    run_virtual(play_once, seed)
    return outcomes[0]


def _is_crashing(job: str) -> bool:
    return job.startswith("crash")


def _plan(name: TaskName) -> TaskPlan:
    crashes = _is_crashing(name.job) and not name.position
    return TaskPlan(
        LASTS if name.job.startswith("last") else 1.5,
        SMALL,
        crashes_after=0.01 if crashes else NEVER,
    )


class _Cell:
    """A cell whose owners may be killed, and the jobs that it has taken in."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.hall = WorkerHall()
        self.states: dict[str, JobState | None] = {}
        self._kills = scene.kills
        self._random = random.Random(seed)
        self._store = StoreStandin(seed)
        self._owner: Owner | None = None
        for number in range(scene.workers):
            listed = life(number, rack=f"r{number // _RACK}")
            journal = self.hall.journal
            self.hall.add(
                TaskWorkerStandin(listed, _plan, journal, seed=number)
            )

    async def own(self) -> None:
        """Has owners follow each other, for ever."""
        epoch = 0
        while True:
            epoch += 1
            owner = make_owner(
                self._store,
                self.hall,
                epoch,
                vm=f"vm{epoch % 3}",
                former_quiet=False,
            )
            with trio.move_on_after(self._owned_for()):
                await self._run(owner)
            self._owner = None
            await trio.sleep(_TAKE_OVER)

    def _owned_for(self) -> float:
        if not self._kills:
            return float("inf")
        return self._random.uniform(*_KILLED_EVERY)

    async def _run(self, owner: Owner) -> None:
        try:
            async with running(owner):
                self._owner = owner
                await trio.sleep_forever()
        except* OwnerEndedError:
            # It could not read the state: the next one takes over.
            pass

    async def submit(self, job: str, asked: JobSpec) -> None:
        """Submits a job as a caller does, until it is taken in."""
        while job not in self.states:
            if self._owner is not None:
                with trio.move_on_after(1.0):
                    await self._owner.job_api.submit(job, QUEUE, asked)
                    self.states[job] = None
            await trio.sleep(0.05)

    def all_given_up(self) -> bool:
        """True once callers are told of each crashing job that it failed."""
        if self._owner is not None:
            for job in self.states:
                told = self._owner.job_api.state(job).state
                self.states[job] = told or self.states[job]
        return all(
            state is JobState.FAILED
            for job, state in self.states.items()
            if _is_crashing(job)
        )


async def _play(scene: Scene, seed: int) -> Outcome:
    cell = _Cell(scene, seed)
    async with trio.open_nursery() as nursery:
        supervisor = Supervisor(
            cell.hall, _plan, seed=seed, keeps_ids=scene.keeps_ids
        )
        nursery.start_soon(supervisor.run)
        nursery.start_soon(cell.own)
        for number in range(scene.workers // 3):
            await cell.submit(f"last{number}", spec(_LASTING))
        for number in range(_CRASHING):
            await cell.submit(f"crash{number}", chain(3, 1))
            await cell.submit(f"brief{number}", chain(3, 1))
        began = trio.current_time()
        with trio.move_on_after(LONGEST):
            while not cell.all_given_up():
                await trio.sleep(0.1)
        seconds = trio.current_time() - began
        nursery.cancel_scope.cancel()
    return Outcome(cell.hall.journal, cell.states, seconds)


def _scenes() -> Iterator[Scene]:
    for workers in _WORKERS:
        for keeps_ids in (False, True):
            for kills in (False, True):
                yield Scene(workers, keeps_ids, kills)


def main() -> None:
    """Prints what comes of each scene over some seeds."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    print(
        "workers | ids | owners | most crashes of a task | starts after its"
        " third | crashes, mean | innocent given up | seconds, mean and most"
    )
    for scene in _scenes():
        found = [play(scene, seed) for seed in range(seeds)]
        seconds = [outcome.seconds for outcome in found]
        crashes = sum(outcome.crashes.total() for outcome in found)
        cells = [
            str(scene.workers),
            "kept" if scene.keeps_ids else "new",
            "killed" if scene.kills else "one",
            str(max(outcome.most_crashes for outcome in found)),
            str(sum(outcome.starts_after_third() for outcome in found)),
            f"{crashes / seeds:.1f}",
            str(sum(len(outcome.innocent) for outcome in found)),
            f"{sum(seconds) / seeds:.1f}, {max(seconds):.1f}",
        ]
        print(" | ".join(cells), flush=True)


if __name__ == "__main__":
    main()
