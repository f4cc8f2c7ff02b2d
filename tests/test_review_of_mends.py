"""What a cold look at the mends of a large cell found.

A member's record became longer. A process of the former version can't read a
longer one and keeps the record of the VM's process before: when the new process
claims, the former version takes its claim for that of a process that was
replaced, and claims at once, without watching it and as if it were quiet. While
VMs are restarted with a new version that ends each take-over by a new process.

A pass that was cut goes on where it ended, and what found no room stays out
until all was looked at. A kind that has used up its misses stays out as well,
with what has come in since: an urgent task with room waits for seconds.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import msgspec
import trio

from pimentocross.gateway import const
from pimentocross.gateway.cluster import Cluster, member_record
from pimentocross.standins.store import StoreStandin
from pimentocross.work.spec import JobSpec, Size, StepSpec
from tests.owner_fixtures import QUEUE, chain, wait_until
from tests.slow_vm import ChargingClock, run_on_slow_vm
from tests.test_pass_share import _busy_cell, _Cell, _more_starts

# More than the steps without room after which a kind is passed over.
_ROOMLESS = 45
# As in the tests of what passes take: two passes and what others take.
_STARTED_WITHIN = 0.5
# Comes after QUEUE by the time that it has to spare, before what fills.
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
                await cell.owner.desk.submit(f"u{number}", QUEUE, chain(1, 1))
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
            await cell.owner.desk.submit(
                f"r{number}", _LARGE, JobSpec("", (step,))
            )
        await trio.sleep(1.0)
        yield cell
