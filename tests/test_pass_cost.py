"""What a pass of decisions costs grows as workers plus placements do.

In a cell of 246 workers each task that was placed had all workers looked at
anew. A pass took 0.07 s on average and up to 0.7 s of a core, in the one thread
that also renews leases and reads listings, on a VM of two cores; listings came
to be read too late, and leases lapsed under an owner that lived. What is
counted here are looks at a worker and calls of functions, not seconds.
"""

from collections.abc import Iterator, Sequence
import sys
from types import FrameType
from typing import cast
from unittest import mock

import trio

from pimentocross.owner.dispatcher import Dispatcher
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.learned import Learned
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.placement import hosts
from pimentocross.standins.store import StoreStandin
from pimentocross.work.spec import JobSpec, Size, StepSpec
from pimentocross.work.state import Job, Run, RunState, Step, Task
from tests import run_virtual
from tests.owner_fixtures import CONFIG, QUEUE, life, make_hall

_CAPACITY = Size(32_000, 128_000, 0)
_SERVING = StepSpec(
    10,
    Size(1_500, 2_000, 0),
    lasting=True,
    target_tail=45,
)
_FILLING = StepSpec(20, Size(1_500, 1_000, 0), 2.0, fills=True)
_QUICK = StepSpec(10, Size(1_000, 2_000, 0), 1.0)
# Two images that fill, two that serve, and what is short.
_KINDS = 5


class _Roster:
    """Workers that are all in use, each with tasks that serve."""

    def __init__(self, count: int) -> None:
        access = make_hall(1).access("a")
        self._workers = [
            _worker(number, access.link(life(number)))
            for number in range(count)
        ]

    def workers(self) -> Iterator[Worker]:
        """Yields the workers."""
        yield from self._workers


class _Orders:
    """Keeps what is to be started."""

    def __init__(self) -> None:
        self.started: list[Placement] = []

    def start(self, placements: Sequence[Placement], batch: Batch) -> None:
        """Takes what is to be started."""
        self.started.extend(placements)

    def stop(self, worker: Worker, task: Task, run: Run, reason: str) -> None:
        """Leaves what runs as it is."""

    def pace(self, worker: Worker, task: Task, run: Run, percent: int) -> None:
        """Leaves what runs as it is."""


class _Counter:
    """Counts calls of functions in the package."""

    def __init__(self) -> None:
        self.calls = 0

    def note(self, frame: FrameType, event: str, _: object) -> None:
        """Takes an event of the interpreter."""
        if event == "call" and "pimentocross" in frame.f_code.co_filename:
            self.calls += 1


def _worker(number: int, link: object) -> Worker:
    listed = life(number, rack=f"r{number // 20}")
    worker = Worker(
        listed._replace(capacity=_CAPACITY),
        number,
        link,  # type: ignore[arg-type]
    )
    worker.adopted = True
    spec = _SERVING._replace(
        width=2, image=f"serve{number % 2}", size=Size(6_000, 9_000, 0)
    )
    for task in _step(f"old{number}", spec).tasks:
        run = Run(1, number)
        run.state, run.percent, run.figure = RunState.RUNNING, 100, 20
        task.add_run(run)
        worker.add(task, run)
    return worker


def _step(name: str, spec: StepSpec) -> Step:
    return Job(name, QUEUE, JobSpec("", (spec,)), 0.0).occurrences[0].steps[0]


def _submit(book: JobBook, parts: int) -> int:
    """Brings forty tasks a part; returns how many in all."""
    tasks = 0
    for part in range(parts):
        for spec in (
            _FILLING._replace(image=f"fill{part % 2}"),
            _SERVING._replace(image=f"serve{part % 2}"),
            _QUICK,
        ):
            book.accept(f"{part}.{spec.size}", QUEUE, JobSpec("", (spec,)))
            tasks += spec.width
    return tasks


async def _pass_over(workers: int, parts: int) -> int:
    """Has what waits placed; returns how many calls it took."""
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobBook(ledger, 150.0)
    learned = Learned()
    # All pairs are known: else few tasks fill before the first readings.
    for _ in range(9):
        for n in range(4):
            image = f"serve{n % 2}"
            learned.disturbance.learn(image, {f"fill{n // 2}": 0.9}, 0.45, 0.0)
    roster = cast(Roster, _Roster(workers))
    dispatcher = Dispatcher(book, roster, learned, lambda: CONFIG, None)
    orders = _Orders()
    tasks = _submit(book, parts)
    counter = _Counter()
    with trio.move_on_after(1.0):
        sys.setprofile(counter.note)
        try:
            await dispatcher.run(cast(Orders, orders))
        finally:
            sys.setprofile(None)
    assert len(orders.started) == tasks, len(orders.started)
    return counter.calls


async def _pass_while_looks_are_counted(workers: int, parts: int) -> None:
    with mock.patch.object(hosts, "fit", wraps=hosts.fit) as fit:
        await _pass_over(workers, parts)
    most = _KINDS * workers + 4 * 40 * parts
    assert fit.call_count <= most, (fit.call_count, most)


def test_a_pass_looks_at_a_worker_a_few_times() -> None:
    run_virtual(lambda: _pass_while_looks_are_counted(246, 10))


async def _compare() -> None:
    small = await _pass_over(61, 5)
    large = await _pass_over(244, 20)
    assert large <= 5 * small, (small, large, large / small)


def test_a_pass_over_a_cell_four_times_as_large_costs_four_times() -> None:
    run_virtual(_compare)
