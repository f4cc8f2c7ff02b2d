"""Runs the real owner under overload in virtual time.

Guards against a job order in which an overloaded system starts every job too
late: the shipped order is compared with the order by spare time alone.
"""

from collections.abc import Callable
from unittest import mock

import trio

from pimentocross.owner import dispatcher, wall
from pimentocross.owner.job_api import Outcome
from pimentocross.placement.durations import Durations
from pimentocross.placement.urgency import DeadlineClass, Urgency, urgency
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskPlan
from pimentocross.work.state import JobState, Step
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    make_owner,
    make_worker_pool,
    running,
)

Ranking = Callable[[Step, Durations, float], Urgency]

_SECONDS = 30.0
# Twice the capacity: 32 cores process 2.7 jobs of 12 core-seconds per second.
_JOBS_PER_SECOND = 5.3
# Twice the critical path of 2 s, plus 1 s.
_OBJECTIVE = 5.0


def _least_spare_first(
    step: Step, durations: Durations, today: float
) -> Urgency:
    job = step.job
    spare = _OBJECTIVE - (today - job.accepted_at)
    spare -= durations.remaining_critical_path(step.occurrence)
    return Urgency(job.queue.priority, DeadlineClass.BEGUN, spare)


async def _count_jobs_in_time(
    ranking: Ranking, in_time_counts: list[int]
) -> None:
    """Submits jobs at twice the capacity and counts those done in time.

    Args:
        ranking: Ranks the steps of jobs.
        in_time_counts: The count is appended to this list.
    """
    store = StoreStandin()
    worker_pool = make_worker_pool(4, plan=lambda _: TaskPlan(1.0, SMALL))
    accepted: dict[str, float] = {}
    done: dict[str, float] = {}
    with (
        mock.patch.object(wall, "now", trio.current_time),
        mock.patch.object(dispatcher, "urgency", ranking),
    ):
        async with running(make_owner(store, worker_pool, 1)) as owner:
            for number in range(int(_SECONDS * _JOBS_PER_SECOND)):
                job = f"j{number}"
                reply = await owner.job_api.submit(job, QUEUE, chain(6, 2))
                assert reply.outcome is Outcome.OK
                accepted[job] = trio.current_time()
                await trio.sleep(1 / _JOBS_PER_SECOND)
                for known in accepted:
                    state = owner.job_api.state(known).state
                    if state is JobState.COMPLETED:
                        done.setdefault(known, trio.current_time())
    in_time_counts.append(
        sum(at - accepted[job] <= _OBJECTIVE for job, at in done.items())
    )


def test_a_doubled_load_still_earns_what_fits() -> None:
    shipped: list[int] = []
    by_spare_time: list[int] = []
    run_virtual(lambda: _count_jobs_in_time(urgency, shipped))
    run_virtual(lambda: _count_jobs_in_time(_least_spare_first, by_spare_time))
    # The order by spare time starts every job at the last moment. The capacity
    # is enough for 80 jobs.
    assert shipped[0] >= 2 * by_spare_time[0], (shipped, by_spare_time)
    assert shipped[0] >= 0.7 * 80, shipped
