"""The share of the owner's single thread that scheduling passes take.

Guards against passes that starve lease renewals and listings. With 246 workers
a pass took up to 0.7 s of a core, and the next one began 10 ms later: the
owner's VM was out of processor time for a minute and a half. In these tests
placing a step is charged 20 ms, whatever choosing a worker really costs, so
that a pass over all waiting steps takes over a second.
"""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

import trio

from pimentocross.owner.owner import Owner
from pimentocross.owner.placer import Placer
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import JobSpec, Size, StepSpec
from pimentocross.work.state import Step
from tests.owner_fixtures import (
    QUEUE,
    chain,
    count,
    make_owner,
    make_worker_pool,
    running,
    wait_until,
)
from tests.slow_vm import ChargingClock, run_on_slow_vm

# Processor seconds that placing a step is charged.
_PLACE_SECONDS = 0.02
# Steps that fit on no worker: trying each once takes 1.2 s.
_WAITING = 60
_SECONDS = 6.0
# Peers suspect an owner after a second of silence. The rest of that second is
# left for heartbeats, renewals and callers.
_MAX_LATENESS = 0.25
# Half of the time plus a margin for other measured work.
_MAX_SHARE = 0.6
# The passes still have to make progress.
_MIN_SHARE = 0.2
_LOW_PRIORITY = QUEUE._replace(name="patient", priority=1)
_LOWEST_PRIORITY = QUEUE._replace(name="last", priority=2)


class _Cell:
    """An owner under test, its workers, and the seconds spent on placing."""

    def __init__(self, owner: Owner, worker_pool: WorkerPool) -> None:
        self.owner = owner
        self.worker_pool = worker_pool
        self.placing_seconds = 0.0


def test_a_long_pass_lets_others_have_the_thread() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock):
            max_lateness = await _measure_max_lateness()
            assert max_lateness < _MAX_LATENESS, max_lateness

    run_on_slow_vm(1.0, play)


def test_passes_take_a_bounded_share_of_the_time() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock) as cell:
            before = cell.placing_seconds
            await trio.sleep(_SECONDS)
            share = (cell.placing_seconds - before) / _SECONDS
            assert _MIN_SHARE < share < _MAX_SHARE, share

    run_on_slow_vm(1.0, play)


def test_urgent_tasks_do_not_wait_for_a_pass_to_end() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock) as cell:
            for number in range(9):
                await trio.sleep(0.37)
                began = trio.current_time()
                await cell.owner.job_api.submit(
                    f"u{number}", QUEUE, chain(1, 1)
                )
                with _more_starts(cell.worker_pool) as has_started:
                    await wait_until(has_started)
                took = trio.current_time() - began
                assert took < 2 * _MAX_LATENESS, (number, took)

    run_on_slow_vm(1.0, play)


def test_the_least_urgent_task_starts_though_none_before_it_fits() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock) as cell:
            await cell.owner.job_api.submit(
                "last", _LOWEST_PRIORITY, chain(1, 1)
            )
            # With half of the thread, a round over all waiting steps takes
            # 2.4 s. It takes two rounds if the job arrived just after its turn.
            with (
                trio.fail_after(6.0),
                _more_starts(cell.worker_pool) as has_started,
            ):
                await wait_until(has_started)

    run_on_slow_vm(1.0, play)


@asynccontextmanager
async def _busy_cell(clock: ChargingClock) -> AsyncIterator[_Cell]:
    """Runs an owner with more waiting steps than it can try in a second."""
    worker_pool = make_worker_pool()
    cell = _Cell(make_owner(StoreStandin(), worker_pool, 1), worker_pool)
    with _placing_charged(clock, cell):
        async with running(cell.owner) as owner:
            for number in range(_WAITING):
                await owner.job_api.submit(
                    f"f{number}", _LOW_PRIORITY, _unplaceable(number)
                )
            await trio.sleep(1.0)
            yield cell


def _unplaceable(number: int) -> JobSpec:
    """Returns a job too large for any worker, with an image of its own."""
    size = Size(1_000, 20_000, 0)
    step = StepSpec(1, size, 1.0, image=f"fill{number}", fills=True)
    return JobSpec("", (step,))


@contextmanager
def _placing_charged(clock: ChargingClock, cell: _Cell) -> Iterator[None]:
    real = Placer.place

    def charged(self: Placer, step: Step, *args: object) -> object:
        # Independent of the present speed of the computer that runs the test.
        clock.charge(_PLACE_SECONDS / clock.factor)
        cell.placing_seconds += _PLACE_SECONDS
        return real(self, step, *args)

    with mock.patch.object(Placer, "place", charged):
        yield


@contextmanager
def _more_starts(worker_pool: WorkerPool) -> Iterator[Callable[[], bool]]:
    before = count(worker_pool.journal, "start")
    yield lambda: count(worker_pool.journal, "start") > before


async def _measure_max_lateness() -> float:
    """Returns the maximum lateness of a 50 ms timer within `_SECONDS`."""
    max_lateness = 0.0
    ends = trio.current_time() + _SECONDS
    while (began := trio.current_time()) < ends:
        await trio.sleep(0.05)
        max_lateness = max(max_lateness, trio.current_time() - began - 0.05)
    return max_lateness
