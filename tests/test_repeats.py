"""Tests which starts a new owner may treat as sent once."""

import trio

from pimentocross.owner.ledger import Ledger
from pimentocross.owner.resent_starts import ResentStarts
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import RUNS_FOREVER, TaskPlan
from pimentocross.work import records
from pimentocross.work.spec import StepSpec, TaskName
from pimentocross.work.state import Run
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    count,
    find_overlapping_starts,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.pass_fixtures import make_step

_WATCH_JOB = spec(StepSpec(1, SMALL, lasting=True))


def _plan(_: TaskName) -> TaskPlan:
    return TaskPlan(RUNS_FOREVER, SMALL)


def test_only_the_newest_former_owner_tells_what_was_sent_once() -> None:
    (task,) = make_step("watch", StepSpec(1, SMALL, lasting=True)).tasks
    for former, recorded, runs, expected in (
        (3, 3, (), True),
        (3, 3, ((task.name, 1),), False),
        # An owner of a former version followed and resent without a record.
        (3, 2, (), False),
        (None, 3, (), False),
    ):
        ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 4)
        resent_starts = ResentStarts(4, former, ledger)
        assert not resent_starts.was_sent_at_most_once(task, Run(1, 0))
        resent_starts.restore(records.encode_resent_starts(recorded, runs))
        assert resent_starts.was_sent_at_most_once(task, Run(1, 0)) is expected


async def test_no_start_is_repeated_before_that_is_recorded() -> None:
    # Otherwise the next owner treats the start as settled, and a late start
    # runs the task twice.
    store, worker_pool = StoreStandin(), make_worker_pool(1, _plan)
    (worker,) = worker_pool.workers.values()
    async with running(make_owner(store, worker_pool, 1)) as owner:
        await trio.sleep(0.5)
        worker.faults.late = 1.0
        await owner.job_api.submit("watch", QUEUE, _WATCH_JOB)
        await trio.sleep(0.1)
        worker.faults.late = 0.0
        store.faults.away = True
        await trio.sleep(1.5)
        before = count(worker_pool.journal, "start")
        store.faults.away = False
        await wait_until(lambda: count(worker_pool.journal, "start") == 1)
        page = await store.client("a").newest("jobs", 1.0)
    assert not before
    (value,) = [r.value for r in page.records if r.key == records.RESENT_STARTS]
    assert value is not None
    assert [run for _, run in records.decode_resent_starts(value).runs] == [1]
    assert not find_overlapping_starts(worker_pool.journal)
