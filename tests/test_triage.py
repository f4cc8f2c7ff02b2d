"""The order of jobs in a burst, simulated with a small list scheduler.

Guards against a burst in which every job becomes a little late. For 5 s, jobs
of one queue arrive 2.6 times as often at workers that are used to 90 %. Jobs
have about ten tasks of half a second, or about twenty of two seconds.
"""

import math
import random
from typing import NamedTuple

from pimentocross.owner.backlog import Backlog, CapacityPool
from pimentocross.owner.worker import Worker
from pimentocross.placement.durations import Durations
from pimentocross.placement.triage import (
    Order,
    WaitingJob,
    cost_ratio,
    order_of,
    overloaded_priorities,
)
from pimentocross.placement.urgency import (
    LATE_FACTOR,
    MARGIN,
    DeadlineClass,
    Urgency,
)
from pimentocross.work.spec import Size, StepSpec
from pimentocross.work.state import Step
from tests.owner_fixtures import QUEUE, life
from tests.pass_fixtures import add_running_tasks, make_step, make_worker

_CORES_PER_TASK = 3.6
_TICK = 0.1
_BURSTS = 3


class _Kind(NamedTuple):
    width: int
    seconds: float
    slack: float
    latency: float
    slots: int


_KINDS = (_Kind(10, 0.6, 1.5, 0.3, 110), _Kind(20, 1.8, 2.0, 1.0, 330))


class _Job(NamedTuple):
    arrived_at: float
    name: str
    width: int
    seconds: float
    estimate: float
    objective: float

    @property
    def work(self) -> float:
        return self.width * self.estimate * _CORES_PER_TASK

    def waiting(self, now: float, tasks: int) -> WaitingJob:
        """Returns the entry of the job while some of its tasks wait."""
        spare = self.objective - (now - self.arrived_at) - self.estimate
        margin = MARGIN * self.objective
        if spare < 0:
            spare += (LATE_FACTOR - 1) * self.objective
            chance = DeadlineClass.HOPELESS if spare < 0 else DeadlineClass.LATE
        elif tasks < self.width:
            chance = DeadlineClass.BEGUN
        else:
            chance = (
                DeadlineClass.COMFORTABLE
                if spare >= margin
                else DeadlineClass.TIGHT
            )
        rank = Urgency(0, chance, spare)
        return WaitingJob(rank, self.work * tasks / self.width, margin)


def _jobs(kind: _Kind, seed: int) -> list[_Job]:
    draw = random.Random(seed)
    rate = 0.9 * kind.slots / (kind.width * kind.seconds)
    jobs: list[_Job] = []
    now = 0.0
    while now < 16:
        now += draw.expovariate(rate * (2.6 if 5 <= now < 10 else 1))
        width = round(draw.lognormvariate(math.log(kind.width) - 0.18, 0.6))
        width = min(max(width, 1), 4 * kind.width)
        seconds = draw.lognormvariate(math.log(kind.seconds) - 0.125, 0.5)
        estimate = seconds * math.exp(draw.uniform(-0.5, 0.5))
        objective = kind.slack * seconds + kind.latency
        jobs.append(
            _Job(now, f"j{len(jobs)}", width, seconds, estimate, objective)
        )
    return jobs


def _orders(
    waits: dict[_Job, WaitingJob], room: float, mean: float
) -> list[Order]:
    """Returns the sort keys of jobs; if mean work is 0, without cost ratios."""
    if not mean or not overloaded_priorities(waits.values(), room):
        return [order_of(each.rank) for each in waits.values()]
    return [
        order_of(each.rank, cost_ratio(job.name, job.work / mean))
        if each.rank.chance is DeadlineClass.COMFORTABLE
        else order_of(each.rank)
        for job, each in waits.items()
    ]


def _simulate(
    jobs: list[_Job], slots: int, mean: float, lost: bool
) -> dict[_Job, float]:
    """Returns the time at which a list scheduler has done each job.

    Args:
        jobs: The jobs by arrival.
        slots: Tasks that run at a time.
        mean: Mean work of jobs, or 0 for the usual order.
        lost: Whether a third of the slots is lost for some seconds.
    """
    arriving, waits = list(jobs), dict[_Job, int]()
    running: list[tuple[float, _Job]] = []
    done: dict[_Job, float] = {}
    tick = 0
    while arriving or waits or running:
        now = tick * _TICK
        tick += 1
        total = slots * 2 // 3 if lost and 6 <= now < 14 else slots
        done.update({job: end for end, job in running if end <= now})
        running = [run for run in running if run[0] > now]
        while arriving and arriving[0].arrived_at <= now:
            waits[arriving[0]] = arriving[0].width
            del arriving[0]
        free = max(total - len(running), 0)
        scarce = sum(waits.values()) > free
        orders = _orders(
            {job: job.waiting(now, n) for job, n in waits.items()},
            total * _CORES_PER_TASK,
            mean if scarce else 0.0,
        )
        for _, job in sorted(zip(orders, waits, strict=True)):
            starts = min(free, waits[job])
            free -= starts
            running += [(now + job.seconds, job)] * starts
            waits[job] -= starts
        waits = {job: n for job, n in waits.items() if n}
    return done


def _shares_in_time(
    kind: _Kind, *, triage: bool, lost: bool
) -> tuple[float, float]:
    """Returns the shares of all jobs and of the largest tenth done in time."""
    all_jobs: list[bool] = []
    largest: list[bool] = []
    for seed in range(_BURSTS):
        jobs = sorted(_jobs(kind, seed), key=lambda job: job.work)
        mean = sum(job.work for job in jobs) / len(jobs) if triage else 0.0
        done = _simulate(sorted(jobs), kind.slots, mean, lost)
        in_time = [done[job] <= job.arrived_at + job.objective for job in jobs]
        all_jobs += in_time
        largest += in_time[-max(len(jobs) // 10, 1) :]
    return sum(all_jobs) / len(all_jobs), sum(largest) / len(largest)


def _assert_more_in_time(*, lost: bool) -> None:
    for kind in _KINDS:
        before, _ = _shares_in_time(kind, triage=False, lost=lost)
        now, largest = _shares_in_time(kind, triage=True, lost=lost)
        assert now > before + 0.02, (kind, before, now)
        assert largest >= now / 2


def test_more_callers_are_served_in_a_burst() -> None:
    _assert_more_in_time(lost=False)


def test_more_are_served_while_a_third_of_the_workers_is_lost() -> None:
    _assert_more_in_time(lost=True)


def test_large_jobs_draw_lots() -> None:
    drawn = [cost_ratio(f"job{n}", 3.0) for n in range(400)]
    assert 0.4 < drawn.count(1.0) / len(drawn) < 0.6
    assert cost_ratio("j", 0.2) < cost_ratio("j", 1.0) < cost_ratio("j", 1.5)


_WORKER = Size(32_000, 128_000, 0)
_TASKS = StepSpec(20, Size(3_600, 1_000, 0), 1.0)
_FILLING = _TASKS._replace(fills=True, image="i")


def _workers(count: int) -> list[Worker]:
    return [
        make_worker(life(n)._replace(capacity=_WORKER), n) for n in range(count)
    ]


def _rank(spare: float) -> Urgency:
    return Urgency(0, DeadlineClass.COMFORTABLE, spare)


def _mixed_jobs(count: int) -> list[tuple[Urgency, Step]]:
    """Returns waiting jobs of 7 to 72 core-seconds."""
    return [
        (_rank(5.0), make_step(f"j{n}", _TASKS._replace(width=2 + n % 19)))
        for n in range(count)
    ]


def _orders_after_look(
    backlog: Backlog, ranks: list[tuple[Urgency, Step]], workers: int, at: float
) -> list[Order]:
    backlog.refresh(ranks, _workers(workers), 0.0, at)
    return [backlog.order(rank, step) for rank, step in ranks]


async def test_with_enough_room_the_order_is_as_ever() -> None:
    ranks = _mixed_jobs(40)
    orders = _orders_after_look(Backlog(Durations()), ranks, 60, 1.0)
    assert orders == [order_of(rank) for rank, _ in ranks]
    # More work than free cores, but all of it can be done in time.
    orders = _orders_after_look(Backlog(Durations()), ranks, 25, 1.0)
    assert orders == [order_of(rank) for rank, _ in ranks]


async def test_lost_workers_have_large_jobs_put_back_until_they_return() -> (
    None
):
    ranks, backlog = _mixed_jobs(40), Backlog(Durations())
    assert not any(
        o.cost_ratio for o in _orders_after_look(backlog, ranks, 60, 1.0)
    )
    orders = _orders_after_look(backlog, ranks, 6, 1.3)
    first = min(zip(orders, ranks, strict=True), key=lambda pair: pair[0])
    assert first[1][1].spec.width == 2
    assert any(order.is_put_back for order in orders)
    assert backlog.work_by_queue()[QUEUE.name] > 1000
    assert not any(
        o.cost_ratio for o in _orders_after_look(backlog, ranks, 60, 1.6)
    )
    # Once there are enough free cores, no work counts as backlog.
    assert not backlog.work_by_queue()


async def test_what_fills_is_not_short_as_what_reserves_is() -> None:
    workers = _workers(8)
    for worker in workers:
        # Serving tasks reserve nearly all cores and use less than half of them.
        lasting = StepSpec(4, Size(7_500, 1_000, 0), lasting=True)
        serving = lasting._replace(target_tail=4, image="s")
        add_running_tasks(worker, make_step(f"s{worker.number}", serving))
    filling = [(_rank(5.0), make_step(f"f{n}", _FILLING)) for n in range(5)]
    reserving = [(_rank(5.0), make_step(f"r{n}", _TASKS)) for n in range(5)]
    backlog = Backlog(Durations())
    backlog.refresh([*filling, *reserving], workers, 0.0, 1.0)
    assert not any(backlog.order(*each).cost_ratio for each in filling)
    assert all(backlog.order(*each).cost_ratio for each in reserving)
    total = {
        account: room.total for account, room in backlog.capacities.items()
    }
    assert total[CapacityPool("stock", fills=False)] == 16.0
    assert total[CapacityPool("stock", fills=True)] > 100
