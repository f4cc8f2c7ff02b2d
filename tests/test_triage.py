"""Which jobs go first in a burst, replayed by a small list scheduler.

Callers of one queue come 2.6 times as often for 5 s, to workers that are in use
to 90 %: jobs of some ten tasks of half a second or of twenty of two seconds.
"""

import math
import random
from typing import NamedTuple

from pimentocross.owner.backlog import Account, Backlog
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
from tests.pass_fixtures import make_step, make_worker, put_to_work

_CORES_A_TASK = 3.6
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
    came: float
    name: str
    width: int
    seconds: float
    guess: float
    aim: float

    @property
    def work(self) -> float:
        return self.width * self.guess * _CORES_A_TASK

    def waiting(self, now: float, tasks: int) -> WaitingJob:
        """Returns how it stands while some of its tasks wait."""
        spare = self.aim - (now - self.came) - self.guess
        margin = MARGIN * self.aim
        if spare < 0:
            spare += (LATE_FACTOR - 1) * self.aim
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
        guess = seconds * math.exp(draw.uniform(-0.5, 0.5))
        aim = kind.slack * seconds + kind.latency
        jobs.append(_Job(now, f"j{len(jobs)}", width, seconds, guess, aim))
    return jobs


def _orders(
    waits: dict[_Job, WaitingJob], room: float, mean: float
) -> list[Order]:
    """Returns where jobs go; in the usual order without a mean."""
    if not mean or not overloaded_priorities(waits.values(), room):
        return [order_of(each.rank) for each in waits.values()]
    return [
        order_of(each.rank, cost_ratio(job.name, job.work / mean))
        if each.rank.chance is DeadlineClass.COMFORTABLE
        else order_of(each.rank)
        for job, each in waits.items()
    ]


def _play(
    jobs: list[_Job], slots: int, mean: float, lost: bool
) -> dict[_Job, float]:
    """Returns when each job was done, by a list scheduler."""
    coming, waits = list(jobs), dict[_Job, int]()
    running: list[tuple[float, _Job]] = []
    done: dict[_Job, float] = {}
    tick = 0
    while coming or waits or running:
        now = tick * _TICK
        tick += 1
        whole = slots * 2 // 3 if lost and 6 <= now < 14 else slots
        done.update({job: end for end, job in running if end <= now})
        running = [run for run in running if run[0] > now]
        while coming and coming[0].came <= now:
            waits[coming[0]] = coming[0].width
            del coming[0]
        free = max(whole - len(running), 0)
        scarce = sum(waits.values()) > free
        orders = _orders(
            {job: job.waiting(now, n) for job, n in waits.items()},
            whole * _CORES_A_TASK,
            mean if scarce else 0.0,
        )
        for _, job in sorted(zip(orders, waits, strict=True)):
            starts = min(free, waits[job])
            free -= starts
            running += [(now + job.seconds, job)] * starts
            waits[job] -= starts
        waits = {job: n for job, n in waits.items() if n}
    return done


def _served(kind: _Kind, *, triage: bool, lost: bool) -> tuple[float, float]:
    """Returns the shares of all and of the largest tenth that are in time."""
    all_jobs: list[bool] = []
    largest: list[bool] = []
    for seed in range(_BURSTS):
        jobs = sorted(_jobs(kind, seed), key=lambda job: job.work)
        mean = sum(job.work for job in jobs) / len(jobs) if triage else 0.0
        done = _play(sorted(jobs), kind.slots, mean, lost)
        in_time = [done[job] <= job.came + job.aim for job in jobs]
        all_jobs += in_time
        largest += in_time[-max(len(jobs) // 10, 1) :]
    return sum(all_jobs) / len(all_jobs), sum(largest) / len(largest)


def _assert_more_are_served(*, lost: bool) -> None:
    for kind in _KINDS:
        before, _ = _served(kind, triage=False, lost=lost)
        now, largest = _served(kind, triage=True, lost=lost)
        assert now > before + 0.02, (kind, before, now)
        assert largest >= now / 2


def test_more_callers_are_served_in_a_burst() -> None:
    _assert_more_are_served(lost=False)


def test_more_are_served_while_a_third_of_the_workers_is_lost() -> None:
    _assert_more_are_served(lost=True)


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


def _mixed(count: int) -> list[tuple[Urgency, Step]]:
    """Returns jobs of 7 to 72 core-seconds that wait."""
    return [
        (_rank(5.0), make_step(f"j{n}", _TASKS._replace(width=2 + n % 19)))
        for n in range(count)
    ]


def _looked(
    backlog: Backlog, ranks: list[tuple[Urgency, Step]], workers: int, at: float
) -> list[Order]:
    backlog.look(ranks, _workers(workers), 0.0, at)
    return [backlog.order(rank, step) for rank, step in ranks]


async def test_with_enough_room_the_order_is_as_ever() -> None:
    ranks = _mixed(40)
    orders = _looked(Backlog(Durations()), ranks, 60, 1.0)
    assert orders == [order_of(rank) for rank, _ in ranks]
    # More than is free, and all of it can be done in time.
    orders = _looked(Backlog(Durations()), ranks, 25, 1.0)
    assert orders == [order_of(rank) for rank, _ in ranks]


async def test_lost_workers_have_large_jobs_put_back_until_they_return() -> (
    None
):
    ranks, backlog = _mixed(40), Backlog(Durations())
    assert not any(o.cost_ratio for o in _looked(backlog, ranks, 60, 1.0))
    orders = _looked(backlog, ranks, 6, 1.3)
    first = min(zip(orders, ranks, strict=True), key=lambda pair: pair[0])
    assert first[1][1].spec.width == 2
    assert any(order.is_put_back for order in orders)
    assert backlog.work_by_queue()[QUEUE.name] > 1000
    assert not any(o.cost_ratio for o in _looked(backlog, ranks, 60, 1.6))
    # What is free again, or waits no more, is no backlog.
    assert not backlog.work_by_queue()


async def test_what_fills_is_not_short_as_what_reserves_is() -> None:
    workers = _workers(8)
    for worker in workers:
        # Its serving tasks reserve nearly all and use less than a half.
        lasting = StepSpec(4, Size(7_500, 1_000, 0), lasting=True)
        serving = lasting._replace(target_tail=4, image="s")
        put_to_work(worker, make_step(f"s{worker.number}", serving))
    filling = [(_rank(5.0), make_step(f"f{n}", _FILLING)) for n in range(5)]
    reserving = [(_rank(5.0), make_step(f"r{n}", _TASKS)) for n in range(5)]
    backlog = Backlog(Durations())
    backlog.look([*filling, *reserving], workers, 0.0, 1.0)
    assert not any(backlog.order(*each).cost_ratio for each in filling)
    assert all(backlog.order(*each).cost_ratio for each in reserving)
    whole = {account: room.whole for account, room in backlog.rooms.items()}
    assert whole[Account("stock", fills=False)] == 16.0
    assert whole[Account("stock", fills=True)] > 100
