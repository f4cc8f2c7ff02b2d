"""Fixtures of passes of decisions: workers and orders without calls."""

from collections.abc import Iterable, Iterator, Sequence
from typing import cast

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner.dispatcher import Dispatcher
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.learned import Learned
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from pimentocross.work.spec import JobSpec, StepSpec
from pimentocross.work.state import Job, Run, RunState, Step, Task
from tests.owner_fixtures import CONFIG, QUEUE, make_hall


class KeptOrders:
    """Keeps what is to be started, stopped and paced."""

    def __init__(self) -> None:
        """Has kept nothing yet."""
        self.started: list[Placement] = []
        self.stopped: list[tuple[Worker, Task, Run]] = []
        self.paced: list[tuple[Worker, Task, int]] = []

    def start(self, placements: Sequence[Placement], batch: Batch) -> None:
        """Takes what is to be started."""
        self.started.extend(placements)

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Takes what is to be stopped."""
        run.state = RunState.STOPPING
        self.stopped.append((worker, task, run))

    def pace(self, worker: Worker, task: Task, run: Run, percent: int) -> None:
        """Takes what is to be paced."""
        self.paced.append((worker, task, percent))


class PassCell:
    """A dispatcher, what it decides on, and what it ordered."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        """Takes the workers."""
        self.workers = list(workers)
        ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
        self.book = JobBook(ledger, 150.0)
        self.learned = Learned()
        self.kept = KeptOrders()
        self.dispatcher = Dispatcher(
            self.book,
            cast(Roster, _Listed(self.workers)),
            self.learned,
            lambda: CONFIG,
            None,
        )

    async def run(self) -> None:
        """Passes for ever."""
        await self.dispatcher.run(cast(Orders, self.kept))


class _Listed:
    """Workers of a roster."""

    def __init__(self, workers: Sequence[Worker]) -> None:
        self._workers = workers

    def workers(self) -> Iterator[Worker]:
        """Yields the workers."""
        yield from self._workers

    def unreachable_runs(self) -> Iterator[tuple[Task, Run]]:
        """Yields none: all are heard."""
        yield from ()

    def closed_capacity(self) -> int:
        """Returns 0: every zone is open."""
        return 0

    def usable(self) -> list[Worker]:
        """Returns those to which new runs may be sent."""
        return [worker for worker in self._workers if worker.usable]


def make_worker(life: WorkerLife, number: int) -> Worker:
    """Returns a worker that is in use."""
    worker = Worker(life, number, make_hall(0).access("a").link(life))
    worker.adopted = True
    return worker


def make_step(name: str, spec: StepSpec) -> Step:
    """Returns the step of a job."""
    return Job(name, QUEUE, JobSpec("", (spec,)), 0.0).occurrences[0].steps[0]


def put_to_work(worker: Worker, step: Step, figure: int = 20) -> None:
    """Has all tasks of a step run on a worker."""
    for task in step.tasks:
        run = Run(1, worker.number)
        run.state, run.percent, run.figure = RunState.RUNNING, 100, figure
        task.add_run(run)
        worker.add(task, run)
