"""What passes of decisions take of the owner's one thread.

On a day with 246 workers a pass took up to 0.7 s of a core, and the next one
began 10 ms after it: the owner's VM was at all its processor time for a minute
and a half. Renewals and listings waited behind decisions on work that could
have waited longer than they. Here each step costs 20 ms to place, whatever
choosing costs, so that a pass over all that waits takes over a second.
"""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

import trio

from pimentocross.owner.owner import Owner
from pimentocross.owner.placer import Placer
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.worker_hall import WorkerHall
from pimentocross.work.spec import JobSpec, Size, StepSpec
from pimentocross.work.state import Step
from tests.owner_fixtures import (
    QUEUE,
    chain,
    count,
    make_hall,
    make_owner,
    running,
    wait_until,
)
from tests.slow_vm import ChargingClock, run_on_slow_vm

# Processor seconds that placing a step is made to cost.
_PLACE_COST = 0.02
# Steps without room: looking at each once takes 1.2 s.
_WAITING = 60
_SECONDS = 6.0
# Peers take an owner for silent after a second; heartbeats, renewals and
# callers share what this leaves.
_LATE_MOST = 0.25
# Half of the time, and a little that is measured beside it.
_SHARE_MOST = 0.6
# What waits is looked at all the same.
_SHARE_LEAST = 0.2
_PATIENT = QUEUE._replace(name="patient", priority=1)
_LAST = QUEUE._replace(name="last", priority=2)


class _Cell:
    """An owner under test, its workers, and what placing took."""

    def __init__(self, owner: Owner, hall: WorkerHall) -> None:
        self.owner = owner
        self.hall = hall
        self.placing = 0.0


def test_a_long_pass_lets_others_have_the_thread() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock):
            worst = await _worst_lateness()
            assert worst < _LATE_MOST, worst

    run_on_slow_vm(1.0, play)


def test_passes_take_a_bounded_share_of_the_time() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock) as cell:
            before = cell.placing
            await trio.sleep(_SECONDS)
            share = (cell.placing - before) / _SECONDS
            assert _SHARE_LEAST < share < _SHARE_MOST, share

    run_on_slow_vm(1.0, play)


def test_what_is_urgent_does_not_wait_for_a_pass_to_end() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock) as cell:
            for number in range(9):
                await trio.sleep(0.37)
                began = trio.current_time()
                await cell.owner.job_api.submit(
                    f"u{number}", QUEUE, chain(1, 1)
                )
                with _more_starts(cell.hall) as has_started:
                    await wait_until(has_started)
                took = trio.current_time() - began
                assert took < 2 * _LATE_MOST, (number, took)

    run_on_slow_vm(1.0, play)


def test_the_least_urgent_is_reached_though_nothing_before_it_has_room() -> (
    None
):
    async def play(clock: ChargingClock) -> None:
        async with _busy_cell(clock) as cell:
            await cell.owner.job_api.submit("last", _LAST, chain(1, 1))
            # At half of the time all that waits takes 2.4 s to look at, twice
            # if it came in just after its turn.
            with trio.fail_after(6.0), _more_starts(cell.hall) as has_started:
                await wait_until(has_started)

    run_on_slow_vm(1.0, play)


@asynccontextmanager
async def _busy_cell(clock: ChargingClock) -> AsyncIterator[_Cell]:
    """Runs an owner of more waiting steps than it can look at in a second."""
    hall = make_hall()
    cell = _Cell(make_owner(StoreStandin(), hall, 1), hall)
    with _charged_placing(clock, cell):
        async with running(cell.owner) as owner:
            for number in range(_WAITING):
                await owner.job_api.submit(
                    f"f{number}", _PATIENT, _roomless(number)
                )
            await trio.sleep(1.0)
            yield cell


def _roomless(number: int) -> JobSpec:
    """Returns a job that no worker has the memory for, of its own kind."""
    size = Size(1_000, 20_000, 0)
    step = StepSpec(1, size, 1.0, image=f"fill{number}", fills=True)
    return JobSpec("", (step,))


@contextmanager
def _charged_placing(clock: ChargingClock, cell: _Cell) -> Iterator[None]:
    real = Placer.place

    def charged(self: Placer, step: Step, *args: object) -> object:
        # Whatever this machine is like just now.
        clock.charge(_PLACE_COST / clock.factor)
        cell.placing += _PLACE_COST
        return real(self, step, *args)

    with mock.patch.object(Placer, "place", charged):
        yield


@contextmanager
def _more_starts(hall: WorkerHall) -> Iterator[Callable[[], bool]]:
    before = count(hall.journal, "start")
    yield lambda: count(hall.journal, "start") > before


async def _worst_lateness() -> float:
    """Returns the most that a timer of 50 ms is late in some seconds."""
    worst = 0.0
    ends = trio.current_time() + _SECONDS
    while (began := trio.current_time()) < ends:
        await trio.sleep(0.05)
        worst = max(worst, trio.current_time() - began - 0.05)
    return worst
