"""What a cold look at the mends of a large cell found.

A member's record became longer. A process of the former version can't read a
longer one and keeps the record of the VM's process before: when the new process
claims, the former version takes its claim for that of a process that was
replaced, and claims at once, without watching it and as if it were quiet. While
VMs are restarted with a new version that ends each take-over by a new process.

A pass that was cut goes on where it ended, and what found no room stays out
until all was looked at. A kind that has used up its misses stays out as well,
with what has come in since: an urgent task with room waits for seconds. And a
task that found no room at the beginning has lasting tasks give way at the end,
though by then there is room for it.
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

# More than the steps without room after which a kind is passed over.
_ROOMLESS = 45
# As in the tests of what passes take: two passes and what others take.
_STARTED_WITHIN = 0.5
# Processor seconds that placing a step is made to cost, and steps without
# room: looking at each once takes 1.2 s.
_PLACE_COST = 0.02
_FILLERS = 60
# So many that one lasting task is a share that may give way.
_WORKERS = 8
# Half of a worker.
_HALF = Size(4_000, 1_000, 0)
_Place = Callable[[Placer, Step], list[Placement]]
# Comes after QUEUE by the time that it has to spare, before what fills.
_LAST = QUEUE._replace(name="last", priority=1)
_LARGE = QUEUE._replace(name="large", target_latency=600.0)


class _FormerMember(NamedTuple):
    """A member as the former version knows it."""

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
                with _more_starts(cell.hall) as has_started:
                    await wait_until(has_started)
                took = trio.current_time() - began
                if took >= _STARTED_WITHIN:
                    slow.append((number, round(took, 2)))
            assert not slow, slow

    run_on_slow_vm(1.0, play)


@asynccontextmanager
async def _cell_with_misses(clock: ChargingClock) -> AsyncIterator[_Cell]:
    """Runs a busy cell in which less urgent tasks of the same kind wait."""
    async with _busy_cell(clock) as cell:
        step = StepSpec(1, Size(1_000, 20_000, 0), 1.0)
        for number in range(_ROOMLESS):
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
        for number in range(_FILLERS):
            cell.book.accept(f"f{number}", _LAST, _filling(number))
        placer = _Charged(clock)
        with mock.patch.object(Placer, "place", placer.place(Placer.place)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cell.run)
                # The second time that all is looked at, in its midst.
                await wait_until(lambda: placer.calls > _FILLERS * 1.5)
                assert not cell.recorded.stopped
                task, run = next(iter(workers[1].running()))
                task.done = True
                workers[1].remove(task, run.number)
                cell.dispatcher.wake()
                await wait_until(lambda: placer.calls > _FILLERS * 2.5)
                nursery.cancel_scope.cancel()
        names = [task.name.job for _, task, _ in cell.recorded.stopped]
        assert not names, names
        assert [p.task.name.job for p in cell.recorded.started] == ["short"]

    run_on_slow_vm(1.0, play)


class _Charged:
    """Has each step that is looked at cost the same."""

    def __init__(self, clock: ChargingClock) -> None:
        self.calls = 0
        self._clock = clock

    def place(self, real: _Place) -> _Place:
        """Returns what stands for `Placer.place`."""

        def charged(placer: Placer, step: Step) -> list[Placement]:
            self.calls += 1
            self._clock.charge(_PLACE_COST / self._clock.factor)
            return real(placer, step)

        return charged


def _filling(number: int) -> JobSpec:
    """Returns a job that fills and that no worker has the memory for."""
    size = Size(1_000, 20_000, 0)
    step = StepSpec(1, size, 1.0, image=f"fill{number}", fills=True)
    return JobSpec("", (step,))
