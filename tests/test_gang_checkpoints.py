"""Tests that the members of a gang start from one checkpoint."""

from collections import defaultdict

import msgspec
import trio

from pimentocross.contracts.worker_link import (
    HoldReply,
    StartOrder,
    StartVerdict,
)
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskPlan, TaskWorkerStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work import records
from pimentocross.work.records import ProgressRecord, StepRecord, TaskRecord
from pimentocross.work.spec import Size, StepSpec
from pimentocross.work.state import Job
from tests.owner_fixtures import (
    QUEUE,
    life,
    make_owner,
    running,
    spec,
    wait_until,
)

_WIDTH = 4
# A member takes a worker of its own.
_GANG = StepSpec(
    _WIDTH, Size(8000, 1000, 0), 60.0, saves=True, gang=True, per_worker=1
)


class _SavingWorker(TaskWorkerStandin):
    """A worker whose runs save a new checkpoint every second.

    Attributes:
        started_from: Checkpoints of the starts, by run number.
    """

    started_from: dict[int, list[str]]

    def listing(self) -> HoldReply:
        """Returns the listing with checkpoints of its own."""
        reply = super().listing()
        saved = f"{self.life.id} {int(trio.current_time())}"
        runs = [run._replace(checkpoint=saved) for run in reply.running]
        return reply._replace(running=runs)

    def handle_start(self, order: StartOrder) -> StartVerdict:
        """Starts a run and notes its checkpoint."""
        self.started_from[order.run].append(order.checkpoint)
        return super().handle_start(order)


async def test_a_gang_whose_workers_crashed_starts_from_one_checkpoint() -> (
    None
):
    # A listing set the checkpoint of its own member alone.
    started_from: dict[int, list[str]] = defaultdict(list)
    worker_pool = WorkerPool()
    for number in range(_WIDTH):
        worker = _SavingWorker(
            life(number), lambda _: TaskPlan(60.0, _GANG.size), []
        )
        worker.started_from = started_from
        worker_pool.add(worker)
    owner = make_owner(StoreStandin(), worker_pool, 1)
    async with running(owner):
        await owner.job_api.submit("gang", QUEUE, spec(_GANG))
        await wait_until(lambda: len(started_from[1]) == _WIDTH)
        await trio.sleep(3.5)
        for crashed in worker_pool.workers.values():
            crashed.crash()
        await trio.sleep(0.5)
        for crashed in worker_pool.workers.values():
            crashed.restart()
        await wait_until(lambda: len(started_from[2]) >= _WIDTH)
    assert len(set(started_from[2])) == 1, started_from
    assert started_from[2][0]


def test_members_recorded_with_other_checkpoints_are_given_one() -> None:
    # An owner of an earlier version recorded what each member had saved.
    job = Job("gang", QUEUE, spec(_GANG), 0.0)
    tasks = tuple(
        TaskRecord(number, 1, 0, f"saved {number}" if number else "", ())
        for number in range(_WIDTH)
    )
    steps = (StepRecord(0, 0, b"\0", tasks),)
    value = msgspec.msgpack.encode(ProgressRecord(1, "running", 0.0, steps))
    records.decode_progress(job, value)
    found = {task.checkpoint for task in job.tasks()}
    assert found == {"saved 1"}, found
