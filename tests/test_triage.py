"""Which jobs go first in a burst, replayed by a small list scheduler.

Callers of one queue come 2.6 times as often for 5 s, to workers that are in use
to 90 %: jobs of some ten tasks of half a second or of twenty of two seconds.
"""

from collections.abc import Callable
import math
import random
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from pimentocross.owner.backlog import Account, Backlog
from pimentocross.owner.worker import Worker
from pimentocross.placement.durations import Durations
from pimentocross.placement.triage import (
    Order,
    Waiting,
    burden,
    order_of,
    short_priorities,
)
from pimentocross.placement.urgency import (
    LATE_FACTOR,
    MARGIN,
    Chance,
    Urgency,
)
from pimentocross.work.spec import Size, StepSpec
from pimentocross.work.state import Step
from tests.owner_fixtures import life
from tests.pass_fixtures import make_step, make_worker, put_to_work

_CORES_A_TASK = 3.6
_TICK = 0.1
_BURSTS = 5
_ALL = 1.0
_PART = 2 / 3


class _Kind(NamedTuple):
    width: int
    seconds: float
    slack: float
    latency: float
    slots: int


_SHORT = _Kind(10, 0.6, 1.5, 0.3, 110)
_LONG = _Kind(20, 1.8, 2.0, 1.0, 330)


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

    def rank(self, now: float, waiting: int) -> Urgency:
        spare = self.aim - (now - self.came) - self.guess
        begun = waiting < self.width
        if spare < 0:
            spare += (LATE_FACTOR - 1) * self.aim
            chance = Chance.LATE_BEGUN if begun else Chance.LATE
            return Urgency(0, Chance.HOPELESS if spare < 0 else chance, spare)
        if begun:
            return Urgency(0, Chance.BEGUN, spare)
        comfortable = spare >= MARGIN * self.aim
        chance = Chance.COMFORTABLE if comfortable else Chance.TIGHT
        return Urgency(0, chance, spare)


class _Served(NamedTuple):
    """Shares of all jobs, and of the largest tenth, that were in time."""

    all: float
    largest: float


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


_Orders = Callable[[list[tuple[_Job, Waiting]], float, bool], list[Order]]


def _usual(
    waiting: list[tuple[_Job, Waiting]], room: float, scarce: bool
) -> list[Order]:
    return [order_of(each.rank) for _, each in waiting]


def _triage(mean: float) -> _Orders:
    def orders(
        waiting: list[tuple[_Job, Waiting]], room: float, scarce: bool
    ) -> list[Order]:
        if not scarce or not short_priorities([w for _, w in waiting], room):
            return _usual(waiting, room, scarce)
        return [
            order_of(each.rank, burden(job.name, job.work / mean))
            if each.rank.chance is Chance.COMFORTABLE
            else order_of(each.rank)
            for job, each in waiting
        ]

    return orders


def _play(
    jobs: list[_Job], slots: int, orders: _Orders, lost: bool
) -> dict[str, float]:
    """Returns when each job was done."""
    coming, waits = list(jobs), dict[_Job, int]()
    running: list[tuple[float, _Job]] = []
    done: dict[str, float] = {}
    tick = 0
    while coming or waits or running:
        now = tick * _TICK
        tick += 1
        whole = round(slots * (_PART if lost and 6 <= now < 14 else _ALL))
        done.update({job.name: end for end, job in running if end <= now})
        running = [run for run in running if run[0] > now]
        while coming and coming[0].came <= now:
            job = coming.pop(0)
            waits[job] = job.width
        ranked = [
            (job, Waiting(job.rank(now, n), _left(job, n), MARGIN * job.aim))
            for job, n in waits.items()
        ]
        free = whole - len(running)
        scarce = sum(waits.values()) > free
        order = orders(ranked, whole * _CORES_A_TASK, scarce)
        for _, job in sorted(zip(order, waits, strict=True)):
            starts = max(min(free, waits[job]), 0)
            free -= starts
            running += [(now + job.seconds, job)] * starts
            waits[job] -= starts
        waits = {job: n for job, n in waits.items() if n}
    return done


def _left(job: _Job, waiting: int) -> float:
    return job.work * waiting / job.width


def _served(kind: _Kind, *, triage: bool, lost: bool) -> _Served:
    """Returns what is served, a mean over some bursts."""
    all_jobs: list[tuple[float, bool]] = []
    largest: list[tuple[float, bool]] = []
    for seed in range(_BURSTS):
        jobs = _jobs(kind, seed)
        mean = sum(job.work for job in jobs) / len(jobs)
        orders = _triage(mean) if triage else _usual
        done = _play(jobs, kind.slots, orders, lost)
        found = sorted(
            (job.work, done[job.name] <= job.came + job.aim) for job in jobs
        )
        all_jobs += found
        largest += found[-max(len(found) // 10, 1) :]
    return _Served(_share(all_jobs), _share(largest))


def _share(found: list[tuple[float, bool]]) -> float:
    return sum(in_time for _, in_time in found) / len(found)


def test_more_callers_are_served_in_a_burst() -> None:
    for kind in (_SHORT, _LONG):
        before = _served(kind, triage=False, lost=False)
        now = _served(kind, triage=True, lost=False)
        assert now.all > before.all + 0.015, (kind, before, now)
        assert now.largest >= now.all / 2


def test_more_are_served_while_a_third_of_the_room_is_lost() -> None:
    for kind in (_SHORT, _LONG):
        before = _served(kind, triage=False, lost=True)
        now = _served(kind, triage=True, lost=True)
        assert now.all > before.all + 0.015, (kind, before, now)
        assert now.largest >= now.all / 2


_WAITING = st.builds(
    Waiting,
    st.builds(
        Urgency,
        st.integers(0, 2),
        st.sampled_from(Chance),
        st.integers(0, 9).map(float),
    ),
    st.integers(0, 40).map(float),
    st.just(1.0),
)


@given(st.lists(_WAITING, max_size=12), st.integers(1, 20))
def test_shortage_is_what_a_plain_reading_finds(
    waiting: list[Waiting], room: int
) -> None:
    def begins(job: Waiting) -> float:
        return job.rank.spare - job.margin

    short = set()
    for job in waiting:
        if job.rank.chance is not Chance.COMFORTABLE:
            continue
        ahead = sum(
            other.work
            for other in waiting
            if other.rank.priority < job.rank.priority
            or (
                other.rank.priority == job.rank.priority
                and _goes_first(other, job)
            )
        )
        if ahead > room * begins(job):
            short.add(job.rank.priority)
    found = short_priorities(waiting, room)
    assert short <= found
    # Of two that have to begin at the same time either may go first.
    if len({begins(job) for job in waiting}) == len(waiting):
        assert short == found


def _goes_first(other: Waiting, job: Waiting) -> bool:
    if other.rank.chance is Chance.BEGUN:
        return True
    return (
        other.rank.chance is Chance.COMFORTABLE
        and other.rank.spare - other.margin < job.rank.spare - job.margin
    )


def test_large_jobs_draw_lots() -> None:
    drawn = [burden(f"job{n}", 3.0) for n in range(400)]
    assert 0.4 < drawn.count(1.0) / len(drawn) < 0.6
    assert drawn == [burden(f"job{n}", 3.0) for n in range(400)]
    assert burden("j", 0.2) < burden("j", 1.0) < burden("j", 1.5)


_WORKER = Size(32_000, 128_000, 0)
_TASKS = StepSpec(20, Size(3_600, 1_000, 0), 1.0)
_FILLING = _TASKS._replace(fills=True, image="i")


def _workers(count: int) -> list[Worker]:
    return [
        make_worker(life(n)._replace(capacity=_WORKER), n) for n in range(count)
    ]


def _rank(spare: float) -> Urgency:
    return Urgency(0, Chance.COMFORTABLE, spare)


def _mixed(count: int) -> list[tuple[Urgency, Step]]:
    """Returns jobs of 7 to 72 core-seconds that wait."""
    return [
        (_rank(5.0), make_step(f"j{n}", _TASKS._replace(width=2 + n % 19)))
        for n in range(count)
    ]


def _orders(
    backlog: Backlog, ranks: list[tuple[Urgency, Step]], workers: int, at: float
) -> list[Order]:
    backlog.look(ranks, _workers(workers), 0.0, at)
    return [backlog.order(rank, step) for rank, step in ranks]


async def test_with_enough_room_the_order_is_as_ever() -> None:
    ranks = _mixed(40)
    orders = _orders(Backlog(Durations()), ranks, 60, 1.0)
    assert orders == [order_of(rank) for rank, _ in ranks]
    # More than is free, and all of it can be done in time.
    orders = _orders(Backlog(Durations()), ranks, 25, 1.0)
    assert orders == [order_of(rank) for rank, _ in ranks]


async def test_lost_workers_have_large_jobs_put_back_until_they_return() -> (
    None
):
    ranks, backlog = _mixed(40), Backlog(Durations())
    assert not any(o.burden for o in _orders(backlog, ranks, 60, 1.0))
    orders = _orders(backlog, ranks, 6, 1.3)
    first = min(zip(orders, ranks, strict=True), key=lambda pair: pair[0])
    assert first[1][1].spec.width == 2
    assert any(order.is_put_back for order in orders)
    assert not any(o.burden for o in _orders(backlog, ranks, 60, 1.6))


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
    assert not any(backlog.order(*each).burden for each in filling)
    assert all(backlog.order(*each).burden for each in reserving)
    whole = {account: room.whole for account, room in backlog.rooms.items()}
    assert whole[Account("stock", fills=False)] == 16.0
    assert whole[Account("stock", fills=True)] > 100
