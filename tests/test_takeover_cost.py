"""A new owner of a large cell keeps answering while it takes over.

After all entry VMs had restarted, each new owner read the state of a cell of
246 workers in one go, neither answered heartbeats nor wrote meanwhile, and was
replaced as silent within 2 s by one that began from nothing.
"""

from typing import Final

import trio

from bench.large_jobs import filling_job
from pimentocross.contracts.store import Record
from pimentocross.owner import wall
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.state import Job
from tests.owner_fixtures import CONFIG, QUEUE, running
from tests.slow_vm import (
    ChargingClock,
    make_large_hall,
    plan_of,
    run_on_slow_vm,
)

_WORKERS: Final = 246
# What 150 s of 30 jobs a second leave in the store.
_ENDED_JOBS: Final = 4_400
# Peers take an owner for silent after a second without an answer.
_LATE_MOST: Final = 0.3


def test_a_new_owner_answers_and_writes_while_it_reads_the_state() -> None:
    run_on_slow_vm(8.0, _take_over)


async def _take_over(clock: ChargingClock) -> None:
    store = StoreStandin()
    with clock.free():
        hall = make_large_hall(clock, _WORKERS, plan_of)
        kept = [record for n in range(_ENDED_JOBS) for record in _ended_job(n)]
        store.append_now("jobs", kept, None, None)
    access = hall.access("a")
    platform = CellPlatform(store.client("a"), access, access)
    owner = Owner(Claim("jobs", 1, True), platform, lambda: CONFIG)
    late: list[float] = []
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_note_lateness, late)
        async with running(owner):
            took = trio.current_time() - began
            written = len(store.topic("jobs").records) - len(kept)
        nursery.cancel_scope.cancel()
    assert took > 1.0, "the state is too small to tell anything"
    assert max(late) < _LATE_MOST, (took, sorted(late)[-5:])
    assert written >= took, (took, written)


def _ended_job(number: int) -> list[Record]:
    job = Job(f"ended{number}", QUEUE, filling_job(number), wall.now())
    job.cancel(wall.now())
    return [
        Record(records.SUBMISSION + job.id, records.encode_submission(job)),
        Record(records.PROGRESS + job.id, records.encode_progress(job)),
    ]


async def _note_lateness(late: list[float]) -> None:
    """Notes how late a timer of 0.05 s fires, for ever."""
    while True:
        began = trio.current_time()
        await trio.sleep(0.05)
        late.append(trio.current_time() - began - 0.05)
