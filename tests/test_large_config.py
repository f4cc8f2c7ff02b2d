"""Tests of configurations that take long to arrive on a VM's link.

Guards against a recorded failure. The links of weak VMs carry 625 KB/s. The
operator added 1,400 routes three times, up to 890 KB in all. A read gave up
after 1.0 s and started over, and a hedged attempt took half of the link from
the first one. So these VMs never had the version, and served a route 4.0 s
after its removal had been acknowledged.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
import random

import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway.config_follower import ConfigFollower
from pimentocross.gateway.const import JOBS_TOPIC
from pimentocross.platform.store import StoreClient
from pimentocross.platform.topics import OperatorTopic
from tests import run_virtual
from tests.gateway_fixtures import WEAK, VmCell
from tests.operator_fixtures import (
    FollowingVm,
    fault_then_calm,
    following_vm,
)
from tests.platform_fixtures import (
    PREFIX,
    Caller,
    loopback_platform,
    running_node,
    slow_link,
    wait_until_ready,
)
from tests.test_http import real_time

# Seconds within which a change must be in force, as large sites require.
_APPLY_WITHIN = 3.0
_LINK_BYTES_PER_S = 625_000.0
# Routes of a version of 890 KB.
_ROUTES = 4_300
# Seconds between requests to unknown routes. Each has the copy looked up.
_UNKNOWN_ROUTE_INTERVAL = 0.17


@asynccontextmanager
async def _vm_on_slow_link() -> AsyncIterator[FollowingVm]:
    """Runs a VM on a slow link whose callers ask for unknown routes."""
    async with following_vm(_APPLY_WITHIN) as followed:
        followed.store.faults.link_bytes_per_s = _LINK_BYTES_PER_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ask_for_unknown_routes, followed)
            yield followed
            nursery.cancel_scope.cancel()


async def _ask_for_unknown_routes(followed: FollowingVm) -> None:
    while True:
        await followed.follower.check_current()
        await trio.sleep(_UNKNOWN_ROUTE_INTERVAL)


async def _max_lag(fault: Callable[[FollowingVm], None], routes: int) -> float:
    """Returns the longest time until a version is in force.

    Args:
        fault: Injects a fault just before the version is written.
        routes: Number of routes of the version.
    """
    lags = []
    for step in range(40):
        async with _vm_on_slow_link() as followed:
            await trio.sleep(1.03 + step * 0.1)
            fault(followed)
            lags.append(await followed.lag(await followed.publish(routes)))
    return max(lags)


async def test_a_version_that_outlasts_a_read_is_in_force_in_time() -> None:
    """The recorded failure, at different phases of a poll."""
    assert await _max_lag(lambda _: None, _ROUTES) < _APPLY_WITHIN


async def test_a_slow_store_does_not_send_a_large_version_twice() -> None:
    """All attempts are answered at the same time, after the hedge delay."""

    def slow_down(followed: FollowingVm) -> None:
        followed.store.faults.delay = 0.6

    assert await _max_lag(slow_down, _ROUTES) < _APPLY_WITHIN


async def test_a_vm_that_starts_anew_gets_a_large_version_in_time() -> None:
    """It reads the newest records, which have a third more bytes."""
    async with following_vm(_APPLY_WITHIN) as followed:
        await followed.publish(_ROUTES)
        followed.store.faults.link_bytes_per_s = _LINK_BYTES_PER_S
        source = OperatorTopic(followed.store.client("new"))
        follower = ConfigFollower(source, _APPLY_WITHIN)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            lag = await followed.lag_until(lambda: follower.config is not None)
            assert lag < _APPLY_WITHIN
            nursery.cancel_scope.cancel()


async def test_an_answer_that_stalls_is_asked_for_again() -> None:
    """The link is cut for longer than an answer may stall."""
    async with _vm_on_slow_link() as followed:
        await trio.sleep(2.0)
        version = await followed.publish(_ROUTES)
        await trio.sleep(0.7)
        faults = followed.store.faults
        faults.link_bytes_per_s = _LINK_BYTES_PER_S / 1000
        await trio.sleep(4.0)
        faults.link_bytes_per_s = _LINK_BYTES_PER_S
        assert await followed.lag(version) < _APPLY_WITHIN


def test_large_versions_after_any_faults_are_in_force_in_time() -> None:
    """Outages, refusals, silence and delays, then a healthy store."""
    for seed in range(30):
        run_virtual(partial(_faults_then_calm, seed), seed)


async def _faults_then_calm(seed: int) -> None:
    rng = random.Random(seed)
    async with _vm_on_slow_link() as followed:
        for _ in range(6):
            kind = await fault_then_calm(followed, rng, 0.9)
            routes = rng.choice((1, _ROUTES // 3, _ROUTES))
            lag = await followed.lag(await followed.publish(routes))
            assert lag < _APPLY_WITHIN, (seed, kind, routes, lag)


async def test_an_owner_on_a_slow_link_reads_a_large_state() -> None:
    """The state takes longer to arrive than a read may stall."""
    cell = VmCell()
    records = [Record(f"z{number}", b"x" * 1000) for number in range(400)]
    await cell.store.client("any").append(JOBS_TOPIC, records, 1.0)
    async with cell.running():
        cell.store.faults.link_bytes_per_s = 100_000.0
        cell.start("vm0", WEAK)
        with trio.fail_after(10.0):
            while not cell.owners():
                await trio.sleep(0.01)


@real_time
async def test_a_large_version_arrives_on_real_connections() -> None:
    async with loopback_platform(0) as platform:
        async with slow_link(platform.store_address, _LINK_BYTES_PER_S) as link:
            source = OperatorTopic(StoreClient(link.address))
            follower = ConfigFollower(source, _APPLY_WITHIN)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(0.5)
                prefixes = [f"/{number}/" for number in range(_ROUTES)]
                await platform.configure(2, *prefixes)
                with trio.fail_after(_APPLY_WITHIN):
                    while follower.config is None or (
                        follower.config.version < 2
                    ):
                        await follower.check_current()
                        await trio.sleep(0.05)
                nursery.cancel_scope.cancel()


@real_time
async def test_a_removed_route_is_not_served_by_a_vm_with_an_old_copy() -> None:
    """The owner has the version that removes it, the asked VM does not."""
    async with (
        loopback_platform(1) as platform,
        slow_link(platform.store_address, _LINK_BYTES_PER_S) as first,
        slow_link(platform.store_address, _LINK_BYTES_PER_S) as second,
        running_node(platform, "vm1", first.address) as (node, settings),
        running_node(platform, "vm2", second.address) as (_, other),
    ):
        await wait_until_ready(settings)
        await wait_until_ready(other)
        await platform.configure(2, PREFIX, "/removed/")
        asked, link = settings, first
        if node.gauges()["owned_epoch"]:
            asked, link = other, second
        caller = Caller(asked["listen_addrs.frontend"])
        with trio.fail_after(5):
            while (await caller.call("GET", "/removed/")).status != 200:
                await trio.sleep(0.05)
        link.bytes_per_s = 1.0
        await platform.configure(3, PREFIX)
        await trio.sleep(1.0)
        assert (await caller.call("GET", PREFIX)).status == 200
        reply = await caller.call("GET", "/removed/")
        assert reply.status == 503, reply
        assert int(dict(reply.headers)[b"retry-after"]) >= 1
