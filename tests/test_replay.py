"""Replays of load at its worst, through the real owner, in virtual time.

Each compares the shipped order of work with a plain one in the same run.
"""

from collections.abc import Callable
from unittest import mock

import trio

from pimentocross.owner import dispatcher, wall
from pimentocross.owner.desk import Outcome
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
    make_hall,
    make_owner,
    running,
)

Order = Callable[[Step, Durations, float], Urgency]

_SECONDS = 30.0
# 32 cores; a job takes 12 core-seconds: 2.7 jobs a second fit.
_JOBS_PER_SECOND = 5.3
# Two times a chain of 2 s, and 1 s.
_OBJECTIVE = 5.0


def _least_spare_first(
    step: Step, durations: Durations, today: float
) -> Urgency:
    job = step.job
    spare = _OBJECTIVE - (today - job.accepted_at)
    spare -= durations.remaining_critical_path(step.occurrence)
    return Urgency(job.queue.priority, DeadlineClass.BEGUN, spare)


async def _earn(order: Order, earned: list[int]) -> None:
    """Plays a burst at twice the capacity; counts jobs done in time."""
    store = StoreStandin()
    hall = make_hall(4, plan=lambda _: TaskPlan(1.0, SMALL))
    accepted: dict[str, float] = {}
    done: dict[str, float] = {}
    with (
        mock.patch.object(wall, "now", trio.current_time),
        mock.patch.object(dispatcher, "urgency", order),
    ):
        async with running(make_owner(store, hall, 1)) as owner:
            for number in range(int(_SECONDS * _JOBS_PER_SECOND)):
                job = f"j{number}"
                reply = await owner.desk.submit(job, QUEUE, chain(6, 2))
                assert reply.outcome is Outcome.OK
                accepted[job] = trio.current_time()
                await trio.sleep(1 / _JOBS_PER_SECOND)
                for known in accepted:
                    state = owner.desk.state(known).state
                    if state is JobState.COMPLETED:
                        done.setdefault(known, trio.current_time())
    earned.append(
        sum(at - accepted[job] <= _OBJECTIVE for job, at in done.items())
    )


def test_a_doubled_load_still_earns_what_fits() -> None:
    ours: list[int] = []
    plain: list[int] = []
    run_virtual(lambda: _earn(urgency, ours))
    run_virtual(lambda: _earn(_least_spare_first, plain))
    # Least spare time first starts every job at the last moment; 80 jobs fit.
    assert ours[0] >= 2 * plain[0], (ours, plain)
    assert ours[0] >= 0.7 * 80, ours
