"""Tests that listings of workers take a limited share of the owner's thread.

Guards against a fixed listing interval: once a second, or twice where serving
and filling tasks share a worker, however many workers there are and however
slow the owner's VM is. A listing costs the owner 0.3 to 0.5 ms of a core. With
246 workers that is up to a quarter of the thread, and all of it on a VM a
quarter as fast.
"""

from unittest import mock

import trio

from bench.large_jobs import serving_job
from pimentocross.owner import const
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.owner.worker import Worker
from pimentocross.standins.store import StoreStandin
from tests.owner_fixtures import CONFIG, QUEUE, count, running
from tests.slow_vm import (
    ChargingClock,
    make_large_worker_pool,
    plan_of,
    run_on_slow_vm,
)

_WORKERS = 60
_JOBS = 8
_SECONDS = 8.0
# Processor seconds charged for each listing: 0.3 of the thread at one listing a
# second and worker.
_LISTING_COST = 0.005
_SHARE_MOST = 0.25
# Renewals per lease, so that one or two may be lost.
_RENEWALS_LEAST = 2


def test_listings_come_less_often_where_they_cost_much() -> None:
    run_on_slow_vm(1.0, _count_listings)


async def _count_listings(clock: ChargingClock) -> None:
    worker_pool = make_large_worker_pool(clock, _WORKERS, plan_of)
    access = worker_pool.access("a")
    platform = CellPlatform(StoreStandin().client("a"), access, access)
    owner = Owner(Claim("jobs", 1, True), platform, lambda: CONFIG)
    listed = 0
    original = LearnedEstimates.on_listed

    def charge_listing(self: LearnedEstimates, worker: Worker) -> None:
        nonlocal listed
        listed += 1
        clock.charge(_LISTING_COST / clock.factor)
        original(self, worker)

    with mock.patch.object(LearnedEstimates, "on_listed", charge_listing):
        async with running(owner):
            for number in range(_JOBS):
                job = f"last{number}"
                await owner.job_api.submit(job, QUEUE, serving_job(number))
            await trio.sleep(6.0)
            before = listed
            await trio.sleep(_SECONDS)
            rate = (listed - before) / _SECONDS
    for worker in worker_pool.workers.values():
        worker.listing()
    assert rate * _LISTING_COST < _SHARE_MOST, rate
    assert rate / _WORKERS * const.LEASE > _RENEWALS_LEAST, rate
    assert not count(worker_pool.journal, "lapsed")
