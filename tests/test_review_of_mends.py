"""Tests for faults that a code review found in the fixes for large cells.

Member records with an added field: a process of the former version can't decode
them and keeps the record of the VM's previous process. It takes a claim of the
new process for one of a process that was replaced, so it claims the cell at
once, without watching the new owner first and as if no leases could be left.
During a rolling update every take-over by a new process ends that way.

Interrupted dispatch passes: a pass continues where the last one was
interrupted, and tasks without a free place are skipped until all tasks were
tried. If a kind of task is skipped after too many misses, that must not include
tasks that arrived since, or an urgent task with a free place waits for seconds.
And a task that found no place early in the pass must not evict lasting tasks at
its end if a place has become free meanwhile.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple
from unittest import mock

import msgspec
import trio

from pimentocross.gateway import const
from pimentocross.gateway.cluster import Cluster, member_record
from pimentocross.owner.orders import Placement
from pimentocross.owner.placer import Placer
from pimentocross.standins.store import StoreStandin
from pimentocross.work.spec import JobSpec, Size, StepSpec
from pimentocross.work.state import Step
from tests.owner_fixtures import QUEUE, chain, life, wait_until
from tests.pass_fixtures import (
    DispatcherHarness,
    add_running_tasks,
    make_step,
    make_worker,
)
from tests.slow_vm import ChargingClock, run_on_slow_vm
from tests.test_pass_share import _busy_cell, _Cell, _more_starts

# More than the steps without room after which their kind is skipped.
_STEPS_WITHOUT_ROOM = 45
# Seconds for two passes and the other work of the thread, as in
# tests/test_pass_share.py.
_STARTED_WITHIN = 0.5
# Simulated processor seconds for placing a step, and the number of steps
# without room: trying each once takes 1.2 s.
_PLACE_COST = 0.02
_BEST_EFFORT_JOBS = 60
# Enough that the share of lasting tasks that may be evicted is one task.
_WORKERS = 8
# Half of a worker's capacity.
_HALF = Size(4_000, 1_000, 0)
_Place = Callable[[Placer, Step], list[Placement]]
# Ranks after QUEUE because it has more slack, and before best-effort tasks.
_LAST = QUEUE._replace(name="last", priority=1)
_LARGE = QUEUE._replace(name="large", target_latency=600.0)


class _FormerMember(NamedTuple):
    """A member's record as the former version decodes it."""

    form: int
    vm: str
    process: str
    address: str


async def test_the_former_version_reads_who_is_a_member() -> None:
    store = StoreStandin()
    cluster = Cluster(store.client("vm0"))
    await cluster.register(member_record("vm0", "vm0:new", "h:1", 2.15))
    page = await store.client("vm1").newest(const.CLUSTER_TOPIC, 1.0)
    values = [r.value for r in page.records if r.key == "m/vm0"]
    assert values and values[-1] is not None
    member = msgspec.msgpack.decode(values[-1], type=_FormerMember)
    assert member.process == "vm0:new"


def test_an_urgent_task_with_room_is_not_held_up_by_former_misses() -> None:
    async def play(clock: ChargingClock) -> None:
        async with _cell_with_misses(clock) as cell:
            slow = []
            for number in range(9):
                await trio.sleep(0.37)
                began = trio.current_time()
                await cell.owner.job_api.submit(
                    f"u{number}", QUEUE, chain(1, 1)
                )
                with _more_starts(cell.worker_pool) as has_started:
                    await wait_until(has_started)
                took = trio.current_time() - began
                if took >= _STARTED_WITHIN:
                    slow.append((number, round(took, 2)))
            assert not slow, slow

    run_on_slow_vm(1.0, play)


@asynccontextmanager
async def _cell_with_misses(clock: ChargingClock) -> AsyncIterator[_Cell]:
    """Runs a busy cell with waiting, less urgent tasks of the same kind."""
    async with _busy_cell(clock) as cell:
        step = StepSpec(1, Size(1_000, 20_000, 0), 1.0)
        for number in range(_STEPS_WITHOUT_ROOM):
            await cell.owner.job_api.submit(
                f"r{number}", _LARGE, JobSpec("", (step,))
            )
        await trio.sleep(1.0)
        yield cell


def test_nothing_gives_way_to_a_task_for_which_there_is_room() -> None:
    async def play(clock: ChargingClock) -> None:
        workers = [
            make_worker(life(number), number) for number in range(_WORKERS)
        ]
        lasting = StepSpec(2, _HALF, lasting=True, image="serve")
        for number, worker in enumerate(workers):
            step = make_step(f"last{number}", lasting)
            add_running_tasks(worker, step)
            for run in worker.runs.values():
                run.began_at = trio.current_time() - 60.0
        cell = DispatcherHarness(workers)
        short = JobSpec("", (StepSpec(1, _HALF, 1.0),))
        cell.book.accept("short", QUEUE, short)
        for number in range(_BEST_EFFORT_JOBS):
            cell.book.accept(f"f{number}", _LAST, _make_best_effort_job(number))
        placer = _ChargedPlacer(clock)
        with mock.patch.object(Placer, "place", placer.place(Placer.place)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cell.run)
                # In the middle of the second round over all tasks.
                await wait_until(lambda: placer.calls > _BEST_EFFORT_JOBS * 1.5)
                assert not cell.recorded.stopped
                task, run = next(iter(workers[1].running()))
                task.done = True
                workers[1].remove(task, run.number)
                cell.dispatcher.wake()
                await wait_until(lambda: placer.calls > _BEST_EFFORT_JOBS * 2.5)
                nursery.cancel_scope.cancel()
        names = [task.name.job for _, task, _ in cell.recorded.stopped]
        assert not names, names
        assert [p.task.name.job for p in cell.recorded.started] == ["short"]

    run_on_slow_vm(1.0, play)


class _ChargedPlacer:
    """Charges the same processor time for each call of `Placer.place`."""

    def __init__(self, clock: ChargingClock) -> None:
        self.calls = 0
        self._clock = clock

    def place(self, real: _Place) -> _Place:
        """Returns a replacement for `Placer.place` that charges the clock."""

        def charged(placer: Placer, step: Step) -> list[Placement]:
            self.calls += 1
            self._clock.charge(_PLACE_COST / self._clock.factor)
            return real(placer, step)

        return charged


def _make_best_effort_job(number: int) -> JobSpec:
    """Returns a best-effort job that needs more memory than any worker has."""
    size = Size(1_000, 20_000, 0)
    step = StepSpec(1, size, 1.0, image=f"fill{number}", fills=True)
    return JobSpec("", (step,))
