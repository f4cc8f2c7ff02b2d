"""Tests that an owner doesn't take its own lateness for silent workers.

With 246 workers the owner's thread was busy for most of each second. It read
answers only after their timeout, marked 121 workers as silent within six
seconds and let their leases lapse, so that tasks of responding workers were
lost. The tests block the thread at regular intervals.
"""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
import random
from typing import NamedTuple

import trio

from bench.large_jobs import serving_job
from pimentocross.observe import decisions
from pimentocross.observe.late_log import LoopLatenessLog
from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RunEvent
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    count,
    find_overlapping_starts,
    running,
)
from tests.slow_vm import (
    ChargingClock,
    LargeWorkerPool,
    make_large_worker_pool,
    plan_of,
    run_on_slow_vm,
)

_WORKERS = 12
_JOBS = 2
_SECONDS = 15.0
_WARM_UP = 3.0


class _Stalls(NamedTuple):
    """Longest busy period of the thread and the pause after it, seconds."""

    busy: float
    free: float


# Three patterns of scheduling passes in close succession, and one of a long
# operation from time to time.
_STALLS = (
    _Stalls(0.3, 0.01),
    _Stalls(0.6, 0.01),
    _Stalls(0.9, 0.01),
    _Stalls(1.6, 3.7),
)
# Counted from the cut. While it is unclear whether the owner or the worker is
# late, the owner may renew a lease once more, within three seconds of the last
# listing.
_MAX_LAPSE_SECONDS = const.LEASE + 4.0
# A decision, its record and a start order each wait for the thread.
_MAX_START_SECONDS = 6.0


def test_a_late_owner_takes_no_worker_for_silent() -> None:
    for stalls in _STALLS:
        run_on_slow_vm(1.0, _with_stalls(stalls, _keep_leases))


def test_a_worker_that_is_cut_off_lapses_under_a_late_owner() -> None:
    for stalls in _STALLS:
        run_on_slow_vm(1.0, _with_stalls(stalls, _lose_one))


def test_lateness_is_read_and_noted_once_a_second() -> None:
    run_on_slow_vm(1.0, _read_lateness)


async def _read_lateness(clock: ChargingClock) -> None:
    lateness = LoopLateness()
    log = LoopLatenessLog()
    noted = decisions.counts()["late"]
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lateness.run)
        await trio.sleep(1.0)
        assert lateness.recent < 0.1
        clock.charge(0.5 / clock.factor)
        # The lateness shows at once, even before the timer has run.
        assert 0.4 < lateness.recent < 0.7
        log.record(lateness.recent)
        for _ in range(2):
            await trio.sleep(0.1)
            clock.charge(0.3 / clock.factor)
            log.record(lateness.recent)
        assert 0.4 < lateness.recent < 0.7
        await trio.sleep(1.5)
        assert lateness.recent < 0.1
        assert 0.4 < lateness.since(began) < 0.7
        nursery.cancel_scope.cancel()
    # All of this was within one second.
    assert decisions.counts()["late"] - noted == 1


async def _keep_leases(worker_pool: LargeWorkerPool) -> None:
    before = Counter(decisions.counts())
    await trio.sleep(_SECONDS)
    _list_all(worker_pool)
    silent = decisions.counts()["worker_silent"] - before["worker_silent"]
    lapsed = count(worker_pool.journal, "lapsed")
    assert (silent, lapsed) == (0, 0), (silent, lapsed)


async def _lose_one(worker_pool: LargeWorkerPool) -> None:
    await trio.sleep(_WARM_UP)
    starts = count(worker_pool.journal, "start")
    lost = decisions.counts()["runs_lost"]
    victim = worker_pool.journal[0].worker
    on_it = len({e.task for e in worker_pool.journal if e.worker == victim})
    worker_pool.cut["a"].add(victim)
    with trio.fail_after(_MAX_LAPSE_SECONDS):
        while decisions.counts()["runs_lost"] == lost:
            await trio.sleep(0.05)
    with trio.fail_after(_MAX_START_SECONDS):
        while count(worker_pool.journal, "start") < starts + on_it:
            await trio.sleep(0.05)
    _list_all(worker_pool)
    assert not find_overlapping_starts(sorted(worker_pool.journal, key=_when))


def _when(event: RunEvent) -> tuple[float, bool]:
    return event.at, event.what == "start"


def _list_all(worker_pool: LargeWorkerPool) -> None:
    """Asks all workers for a listing, as only then they log lapsed runs."""
    for worker in worker_pool.workers.values():
        worker.listing()


def _with_stalls(
    stalls: _Stalls, scenario: Callable[[LargeWorkerPool], Awaitable[None]]
) -> Callable[[ChargingClock], Awaitable[None]]:
    async def run(clock: ChargingClock) -> None:
        async with _stalled_cell(clock, stalls) as worker_pool:
            await scenario(worker_pool)

    return run


@asynccontextmanager
async def _stalled_cell(
    clock: ChargingClock, stalls: _Stalls
) -> AsyncIterator[LargeWorkerPool]:
    """Runs an owner of long-running tasks and blocks its thread repeatedly."""
    worker_pool = make_large_worker_pool(clock, _WORKERS, plan_of)
    access = worker_pool.access("a")
    platform = CellPlatform(StoreStandin().client("a"), access, access)
    owner = Owner(Claim("jobs", 1, True), platform, lambda: CONFIG)
    async with running(owner), trio.open_nursery() as nursery:
        for number in range(_JOBS):
            await owner.job_api.submit(
                f"last{number}", QUEUE, serving_job(number)
            )
        with trio.fail_after(10.0):
            while count(worker_pool.journal, "start") < 14 * _JOBS:
                await trio.sleep(0.1)
        nursery.start_soon(_keep_busy, clock, stalls)
        yield worker_pool
        nursery.cancel_scope.cancel()


async def _keep_busy(clock: ChargingClock, stalls: _Stalls) -> None:
    draw = random.Random(1)
    while True:
        clock.charge(draw.uniform(0.5, 1.0) * stalls.busy / clock.factor)
        await trio.sleep(stalls.free)
