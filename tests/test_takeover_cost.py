"""Tests that a new owner of a large cell stays responsive in the take-over.

After all entry VMs had restarted, each new owner loaded the state of a cell of
246 workers without yielding. It neither answered heartbeats nor wrote to the
store meanwhile, and was replaced as silent within 2 s by an owner that had to
start over.
"""

import gc
from typing import Final
from unittest import mock

import trio

from bench.large_jobs import best_effort_job
from pimentocross.contracts.store import Record
from pimentocross.contracts.worker_link import HoldReply
from pimentocross.owner import wall
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.state import Job
from tests.owner_fixtures import CONFIG, QUEUE, running
from tests.slow_vm import (
    ChargedLink,
    ChargingClock,
    make_large_worker_pool,
    plan_of,
    run_on_slow_vm,
)

_WORKERS: Final = 246
# Ended jobs in the store after 150 s at 30 jobs a second.
_ENDED_JOBS: Final = 4_400
# Seconds; peers take an owner for silent after one second without an answer.
_MAX_LATENESS: Final = 0.3
# Limit for workers first called in one iteration of the event loop: their tasks
# run in any order.
_MAX_CALLS_PER_TURN: Final = 3


def test_a_new_owner_answers_and_writes_while_it_reads_the_state() -> None:
    run_on_slow_vm(8.0, _take_over)


def test_a_new_owner_calls_its_workers_one_after_the_other() -> None:
    # All calls that are started within one time slice run in the same iteration
    # of the event loop.
    run_on_slow_vm(1.0, _call_all)


def test_a_full_collection_after_a_take_over_is_short() -> None:
    run_on_slow_vm(2.0, _collect)


def _make(clock: ChargingClock, ended_jobs: int) -> tuple[StoreStandin, Owner]:
    store = StoreStandin()
    with clock.uncharged():
        worker_pool = make_large_worker_pool(clock, _WORKERS, plan_of)
        kept = [record for n in range(ended_jobs) for record in _ended_job(n)]
        store.append_now("jobs", kept, None, None)
    access = worker_pool.access("a")
    platform = CellPlatform(store.client("a"), access, access)
    owner = Owner(Claim("jobs", 1, True), platform, lambda: CONFIG)
    return store, owner


async def _call_all(clock: ChargingClock) -> None:
    _, owner = _make(clock, 0)
    called: set[ChargedLink] = set()
    hold = ChargedLink.hold

    async def note_call(
        link: ChargedLink,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        called.add(link)
        return await hold(link, token, seen, deadline, wait, timeout)

    most = 0
    with mock.patch.object(ChargedLink, "hold", note_call):
        async with running(owner):
            while len(called) < _WORKERS:
                before = len(called)
                await trio.lowlevel.checkpoint()
                most = max(most, len(called) - before)
    assert most <= _MAX_CALLS_PER_TURN, most


async def _collect(clock: ChargingClock) -> None:
    _, owner = _make(clock, _ENDED_JOBS)
    async with running(owner):
        began = trio.current_time()
        gc.collect()
        took = trio.current_time() - began
    assert took < _MAX_LATENESS, took


async def _take_over(clock: ChargingClock) -> None:
    store, owner = _make(clock, _ENDED_JOBS)
    kept = len(store.topic("jobs").records)
    late: list[float] = []
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_record_lateness, late)
        async with running(owner):
            took = trio.current_time() - began
            written = len(store.topic("jobs").records) - kept
        nursery.cancel_scope.cancel()
    assert took > 1.0, "the state is too small to tell anything"
    assert max(late) < _MAX_LATENESS, (took, sorted(late)[-5:])
    assert written >= took, (took, written)


def _ended_job(number: int) -> list[Record]:
    job = Job(f"ended{number}", QUEUE, best_effort_job(number), wall.now())
    job.cancel(wall.now())
    return [
        Record(records.SUBMISSION + job.id, records.encode_submission(job)),
        Record(records.PROGRESS + job.id, records.encode_progress(job)),
    ]


async def _record_lateness(late: list[float]) -> None:
    """Records how late a timer of 0.05 s fires, until cancelled."""
    while True:
        began = trio.current_time()
        await trio.sleep(0.05)
        late.append(trio.current_time() - began - 0.05)
