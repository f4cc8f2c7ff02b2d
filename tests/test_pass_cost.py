"""The cost of a scheduling pass grows with workers plus placements.

Guards against evaluating all workers again for each placed task. In a cell of
246 workers a pass then took 0.07 s on average and up to 0.7 s of a core, in the
thread that also renews leases and reads listings, on a VM of two cores.
Listings were read too late, and leases lapsed although the owner was alive. The
tests count evaluations of a worker and function calls, not seconds.
"""

import sys
from types import FrameType
from unittest import mock

import trio

from pimentocross.owner import const, run_control
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
# Two images of best-effort tasks, two serving images and short tasks.
_STEP_KINDS = 5
# Seconds.
_PACING_SECONDS = 2.0


class _CallCounter:
    """Counts function calls within the package."""

    def __init__(self) -> None:
        self.calls = 0

    def note(self, frame: FrameType, event: str, _: object) -> None:
        """Profile function for `sys.setprofile`."""
        if event == "call" and "pimentocross" in frame.f_code.co_filename:
            self.calls += 1


def _worker(number: int) -> Worker:
    """Returns a worker that runs two serving tasks of one image."""
    listed = life(number, rack=f"r{number // 20}")
    worker = make_worker(listed._replace(capacity=_CAPACITY), number)
    spec = _SERVING._replace(
        width=2, image=f"serve{number % 2}", size=Size(6_000, 9_000, 0)
    )
    add_running_tasks(worker, make_step(f"old{number}", spec))
    return worker


def _submit_jobs(book: JobRegistry, job_groups: int) -> int:
    """Submits 40 tasks per group; returns the number of tasks."""
    tasks = 0
    for group in range(job_groups):
        for spec in (
            _FILLING._replace(image=f"fill{group % 2}"),
            _SERVING._replace(image=f"serve{group % 2}"),
            _QUICK,
        ):
            book.accept(f"{group}.{spec.size}", QUEUE, JobSpec("", (spec,)))
            tasks += spec.width
    return tasks


async def _count_calls_of_pass(workers: int, job_groups: int) -> int:
    """Returns the number of function calls to place all waiting tasks."""
    cell = DispatcherHarness(map(_worker, range(workers)))
    # Teaches all pairs of images; otherwise few best-effort tasks are placed
    # before the first readings.
    for _ in range(9):
        for n in range(4):
            image, loads = f"serve{n % 2}", {f"fill{n // 2}": 0.9}
            cell.learned.disturbance.learn(image, loads, 0.45, 0.0)
    tasks = _submit_jobs(cell.book, job_groups)
    counter = _CallCounter()
    with trio.move_on_after(1.0):
        sys.setprofile(counter.note)
        try:
            await cell.run()
        finally:
            sys.setprofile(None)
    assert len(cell.recorded.started) == tasks, len(cell.recorded.started)
    return counter.calls


async def _check_worker_evaluations(workers: int, job_groups: int) -> None:
    with mock.patch.object(field, "fit", wraps=hosts.fit) as fit:
        await _count_calls_of_pass(workers, job_groups)
    most = _STEP_KINDS * workers + 4 * 40 * job_groups
    assert fit.call_count <= most, (fit.call_count, most)


def test_a_pass_evaluates_each_worker_a_few_times() -> None:
    run_virtual(lambda: _check_worker_evaluations(246, 10))


async def _compare_cell_sizes() -> None:
    small = await _count_calls_of_pass(61, 5)
    large = await _count_calls_of_pass(244, 20)
    assert large <= 5 * small, (small, large, large / small)


def test_a_pass_over_a_cell_four_times_as_large_costs_four_times() -> None:
    run_virtual(_compare_cell_sizes)


async def _pace_fillers_in_short_passes() -> None:
    workers = list(map(_worker, range(50)))
    cell = DispatcherHarness(workers)
    for worker in workers:
        spec = _FILLING._replace(width=2, image="fill0")
        filling = make_step(f"fill{worker.number}", spec)
        add_running_tasks(worker, filling, figure=1_000)
    passes = 0
    with mock.patch.object(
        run_control, "next_paces", wraps=next_paces
    ) as next_paces_calls:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cell.run)
            while trio.current_time() < _PACING_SECONDS:
                cell.dispatcher.wake()
                passes += 1
                await trio.sleep(const.MIN_PASS_PAUSE)
            nursery.cancel_scope.cancel()
    # As often as an idle cell checks its workers.
    most = 50 * (_PACING_SECONDS / const.PASS_INTERVAL + 1)
    assert next_paces_calls.call_count <= most, (
        next_paces_calls.call_count,
        passes,
    )
    assert next_paces_calls.call_count >= most / 3, next_paces_calls.call_count


def test_workers_on_which_nothing_changed_are_not_paced_in_each_pass() -> None:
    # Checking all runs took 12 ms of each pass over 246 workers, and each
    # listing of a worker requests a pass.
    run_virtual(_pace_fillers_in_short_passes)
