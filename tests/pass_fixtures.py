"""Fixtures for scheduling passes: workers and orders without remote calls."""

from collections.abc import Iterable, Iterator, Sequence
from typing import cast

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner.dispatcher import Dispatcher
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.work.spec import JobSpec, StepSpec
from pimentocross.work.state import Job, Run, RunState, Step, Task
from tests.owner_fixtures import CONFIG, QUEUE, make_worker_pool


class RecordedOrders:
    """Records the orders of the dispatcher instead of sending them."""

    def __init__(self) -> None:
        """Initializes the records of orders, all empty."""
        self.started: list[Placement] = []
        self.stopped: list[tuple[Worker, Task, Run]] = []
        self.paced: list[tuple[Worker, Task, int]] = []

    def start(self, placements: Sequence[Placement], batch: Batch) -> None:
        """Records tasks to start."""
        self.started.extend(placements)

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Records a run to stop and marks it as stopping."""
        run.state = RunState.STOPPING
        self.stopped.append((worker, task, run))

    def pace(self, worker: Worker, task: Task, run: Run, percent: int) -> None:
        """Records the new pace of a run."""
        self.paced.append((worker, task, percent))


class DispatcherHarness:
    """A dispatcher with its jobs, its workers and its recorded orders."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        """Initializes a dispatcher without jobs on these workers."""
        self.workers = list(workers)
        ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
        self.book = JobRegistry(ledger, 150.0)
        self.learned = LearnedEstimates()
        self.recorded = RecordedOrders()
        self.dispatcher = Dispatcher(
            self.book,
            cast(Roster, _RosterStub(self.workers)),
            self.learned,
            lambda: CONFIG,
            None,
        )

    async def run(self) -> None:
        """Runs scheduling passes until cancelled."""
        await self.dispatcher.run(cast(Orders, self.recorded))


class _RosterStub:
    """A roster stub with a fixed list of workers, all in contact."""

    def __init__(self, workers: Sequence[Worker]) -> None:
        self._workers = workers

    def workers(self) -> Iterator[Worker]:
        """Yields all workers."""
        yield from self._workers

    def unreachable_runs(self) -> Iterator[tuple[Task, Run]]:
        """Yields no runs: no worker is out of contact."""
        yield from ()

    def closed_capacity(self) -> int:
        """Returns 0, as no zone is evacuated."""
        return 0

    def closed_zones(self) -> set[str]:
        """Returns nothing, as no zone is evacuated."""
        return set()

    def usable(self) -> list[Worker]:
        """Returns the workers to which new runs may be sent."""
        return [worker for worker in self._workers if worker.usable]


def make_worker(life: WorkerLife, number: int) -> Worker:
    """Returns a worker that is in use."""
    worker = Worker(life, number, make_worker_pool(0).access("a").link(life))
    worker.adopted = True
    return worker


def make_step(name: str, spec: StepSpec) -> Step:
    """Returns the only step of a new job."""
    return Job(name, QUEUE, JobSpec("", (spec,)), 0.0).occurrences[0].steps[0]


def add_running_tasks(worker: Worker, step: Step, figure: int = 20) -> None:
    """Adds a running run of each task of a step to a worker.

    Args:
        worker: The worker.
        step: The step.
        figure: Figure that the worker has reported for each run.
    """
    for task in step.tasks:
        run = Run(1, worker.number)
        run.state, run.percent, run.figure = RunState.RUNNING, 100, figure
        task.add_run(run)
        worker.add(task, run)
