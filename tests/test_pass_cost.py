"""What a pass of decisions costs grows as workers plus placements do.

In a cell of 246 workers each task that was placed had all workers looked at
anew. A pass took 0.07 s on average and up to 0.7 s of a core, in the one thread
that also renews leases and reads listings, on a VM of two cores; listings came
to be read too late, and leases lapsed under an owner that lived. What is
counted here are looks at a worker and calls of functions, not seconds.
"""

import sys
from types import FrameType
from unittest import mock

import trio

from pimentocross.owner import care, const
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.worker import Worker
from pimentocross.placement import field, hosts
from pimentocross.placement.pacing import next_paces
from pimentocross.work.spec import JobSpec, Size, StepSpec
from tests import run_virtual
from tests.owner_fixtures import QUEUE, life
from tests.pass_fixtures import (
    DispatcherHarness,
    add_running_tasks,
    make_step,
    make_worker,
)

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
# Seconds.
_PACED_FOR = 2.0


class _Counter:
    """Counts calls of functions in the package."""

    def __init__(self) -> None:
        self.calls = 0

    def note(self, frame: FrameType, event: str, _: object) -> None:
        """Takes an event of the interpreter."""
        if event == "call" and "pimentocross" in frame.f_code.co_filename:
            self.calls += 1


def _worker(number: int) -> Worker:
    """Returns a worker on which two tasks of an image serve."""
    listed = life(number, rack=f"r{number // 20}")
    worker = make_worker(listed._replace(capacity=_CAPACITY), number)
    spec = _SERVING._replace(
        width=2, image=f"serve{number % 2}", size=Size(6_000, 9_000, 0)
    )
    add_running_tasks(worker, make_step(f"old{number}", spec))
    return worker


def _submit(book: JobRegistry, parts: int) -> int:
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
    cell = DispatcherHarness(map(_worker, range(workers)))
    # All pairs are known: else few tasks fill before the first readings.
    for _ in range(9):
        for n in range(4):
            image, loads = f"serve{n % 2}", {f"fill{n // 2}": 0.9}
            cell.learned.disturbance.learn(image, loads, 0.45, 0.0)
    tasks = _submit(cell.book, parts)
    counter = _Counter()
    with trio.move_on_after(1.0):
        sys.setprofile(counter.note)
        try:
            await cell.run()
        finally:
            sys.setprofile(None)
    assert len(cell.recorded.started) == tasks, len(cell.recorded.started)
    return counter.calls


async def _pass_while_looks_are_counted(workers: int, parts: int) -> None:
    with mock.patch.object(field, "fit", wraps=hosts.fit) as fit:
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


async def _pace_in_short_passes() -> None:
    workers = list(map(_worker, range(50)))
    cell = DispatcherHarness(workers)
    for worker in workers:
        spec = _FILLING._replace(width=2, image="fill0")
        filling = make_step(f"fill{worker.number}", spec)
        add_running_tasks(worker, filling, figure=1_000)
    passes = 0
    with mock.patch.object(care, "next_paces", wraps=next_paces) as paces:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cell.run)
            while trio.current_time() < _PACED_FOR:
                cell.dispatcher.wake()
                passes += 1
                await trio.sleep(const.PASS_PAUSE)
            nursery.cancel_scope.cancel()
    # As often as a cell in which nothing happens passes over its workers.
    most = 50 * (_PACED_FOR / const.PASS_INTERVAL + 1)
    assert paces.call_count <= most, (paces.call_count, passes)
    assert paces.call_count >= most / 3, paces.call_count


def test_workers_on_which_nothing_changed_are_not_paced_in_each_pass() -> None:
    # Care for what runs took 12 ms of each pass over 246 workers, and each
    # listing of one worker asks for a pass over all.
    run_virtual(_pace_in_short_passes)
