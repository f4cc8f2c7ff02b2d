"""Simulates tasks that crash their workers in cells of several sizes.

Twenty crashing jobs are submitted along with other work. Workers come back
under new ids or the same ones, and there is one owner or a series of owners
that are killed. `python -m tests.crash_loops [SEEDS]` prints the results.
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
    NEVER,
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import WorkerPool
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
_CRASHING_JOBS: Final = 20
_RACK_SIZE: Final = 8
_LASTING: Final = StepSpec(6, SMALL, lasting=True)
# Seconds between the kill of an owner and the start of the next one.
_TAKE_OVER_TIME: Final = 2.0
# Bounds of the seconds between kills, so that one falls between any two crashes
# of a task.
_KILL_INTERVAL: Final = (1.5, 6.0)
# Upper bound on the virtual time of a simulation, in seconds.
MAX_SECONDS: Final = 120.0


class Scenario(NamedTuple):
    """The setup of a simulation.

    Attributes:
        workers: The number of workers.
        keeps_ids: Whether a worker comes back under the same id.
        kills: Whether owners are killed.
    """

    workers: int
    keeps_ids: bool
    kills: bool


class Outcome(NamedTuple):
    """The result of a simulation.

    Attributes:
        journal: The events of all runs.
        states: The state of each job as last reported to callers.
        seconds: The time until all crashing jobs were given up.
    """

    journal: list[RunEvent]
    states: dict[str, JobState | None]
    seconds: float

    @property
    def crashes(self) -> Counter[TaskName]:
        """The number of workers that each task crashed."""
        return Counter(e.task for e in self.journal if e.what == "crashed")

    @property
    def most_crashes(self) -> int:
        """The highest number of crashes of any task."""
        return max(self.crashes.values(), default=0)

    @property
    def wrongly_given_up(self) -> list[str]:
        """Jobs that were given up without having crashed a worker."""
        return [
            job
            for job, state in self.states.items()
            if state is JobState.FAILED and not _is_crashing(job)
        ]

    def starts_after_third(self) -> int:
        """Counts starts of tasks that had crashed three workers before."""
        crashes: Counter[TaskName] = Counter()
        starts = 0
        for event in self.journal:
            if event.what == "crashed":
                crashes[event.task] += 1
            elif event.what == "start" and crashes[event.task] >= 3:
                starts += 1
        return starts


def simulate(scenario: Scenario, seed: int) -> Outcome:
    """Simulates a scenario in virtual time."""
    outcomes: list[Outcome] = []

    async def simulate_once() -> None:
        with mock.patch.object(wall, "now", trio.current_time):
            outcomes.append(await _simulate(scenario, seed))

    run_virtual(simulate_once, seed)
    return outcomes[0]


def _is_crashing(job: str) -> bool:
    return job.startswith("crash")


def _plan(name: TaskName) -> TaskPlan:
    crashes = _is_crashing(name.job) and not name.position
    return TaskPlan(
        RUNS_FOREVER if name.job.startswith("last") else 1.5,
        SMALL,
        crashes_after=0.01 if crashes else NEVER,
    )


class _Cell:
    """A cell whose owners may be killed, and the states of its jobs."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.worker_pool = WorkerPool()
        self.states: dict[str, JobState | None] = {}
        self._kills = scenario.kills
        self._random = random.Random(seed)
        self._store = StoreStandin(seed)
        self._owner: Owner | None = None
        for number in range(scenario.workers):
            listed = life(number, rack=f"r{number // _RACK_SIZE}")
            journal = self.worker_pool.journal
            self.worker_pool.add(
                TaskWorkerStandin(listed, _plan, journal, seed=number)
            )

    async def run_owners(self) -> None:
        """Runs one owner after the other until cancelled."""
        epoch = 0
        while True:
            epoch += 1
            owner = make_owner(
                self._store,
                self.worker_pool,
                epoch,
                vm=f"vm{epoch % 3}",
                former_quiet=False,
            )
            with trio.move_on_after(self._owner_lifetime()):
                await self._run(owner)
            self._owner = None
            await trio.sleep(_TAKE_OVER_TIME)

    def _owner_lifetime(self) -> float:
        if not self._kills:
            return float("inf")
        return self._random.uniform(*_KILL_INTERVAL)

    async def _run(self, owner: Owner) -> None:
        try:
            async with running(owner):
                self._owner = owner
                await trio.sleep_forever()
        except* OwnerEndedError:
            # The owner could not read the state, so the next one takes over.
            pass

    async def submit(self, job: str, asked: JobSpec) -> None:
        """Submits a job like a caller, again until it is accepted."""
        while job not in self.states:
            if self._owner is not None:
                with trio.move_on_after(1.0):
                    await self._owner.job_api.submit(job, QUEUE, asked)
                    self.states[job] = None
            await trio.sleep(0.05)

    def all_given_up(self) -> bool:
        """Returns whether each crashing job is reported as failed."""
        if self._owner is not None:
            for job in self.states:
                reported = self._owner.job_api.state(job).state
                self.states[job] = reported or self.states[job]
        return all(
            state is JobState.FAILED
            for job, state in self.states.items()
            if _is_crashing(job)
        )


async def _simulate(scenario: Scenario, seed: int) -> Outcome:
    cell = _Cell(scenario, seed)
    async with trio.open_nursery() as nursery:
        supervisor = Supervisor(
            cell.worker_pool, _plan, seed=seed, keeps_ids=scenario.keeps_ids
        )
        nursery.start_soon(supervisor.run)
        nursery.start_soon(cell.run_owners)
        for number in range(scenario.workers // 3):
            await cell.submit(f"last{number}", spec(_LASTING))
        for number in range(_CRASHING_JOBS):
            await cell.submit(f"crash{number}", chain(3, 1))
            await cell.submit(f"brief{number}", chain(3, 1))
        began = trio.current_time()
        with trio.move_on_after(MAX_SECONDS):
            while not cell.all_given_up():
                await trio.sleep(0.1)
        seconds = trio.current_time() - began
        nursery.cancel_scope.cancel()
    return Outcome(cell.worker_pool.journal, cell.states, seconds)


def _scenarios() -> Iterator[Scenario]:
    for workers in _WORKERS:
        for keeps_ids in (False, True):
            for kills in (False, True):
                yield Scenario(workers, keeps_ids, kills)


def main() -> None:
    """Prints the results of each scenario over several seeds."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    print(
        "workers | ids | owners | most crashes of a task | starts after its"
        " third | crashes, mean | other jobs given up | seconds, mean and most"
    )
    for scenario in _scenarios():
        found = [simulate(scenario, seed) for seed in range(seeds)]
        seconds = [outcome.seconds for outcome in found]
        crashes = sum(outcome.crashes.total() for outcome in found)
        cells = [
            str(scenario.workers),
            "kept" if scenario.keeps_ids else "new",
            "killed" if scenario.kills else "one",
            str(max(outcome.most_crashes for outcome in found)),
            str(sum(outcome.starts_after_third() for outcome in found)),
            f"{crashes / seeds:.1f}",
            str(sum(len(outcome.wrongly_given_up) for outcome in found)),
            f"{sum(seconds) / seeds:.1f}, {max(seconds):.1f}",
        ]
        print(" | ".join(cells), flush=True)


if __name__ == "__main__":
    main()
