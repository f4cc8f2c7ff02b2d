"""Tests of configurations that take long to arrive on a VM's link.

Guards against a recorded failure. The links of weak VMs carry 625 KB/s. The
operator added 1,400 routes three times, up to 890 KB in all. A read gave up
after 1.0 s and started over, and a hedged attempt took half of the link from
the first one. So these VMs never had the version, and served a route 3.8 s
after its removal had been acknowledged.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from tests.operator_fixtures import FollowingVm, following_vm

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


async def test_a_version_that_outlasts_a_reads_timeout_is_in_force_in_time() -> (
    None
):
    """The recorded failure, at different phases of a poll."""
    lags = []
    for step in range(40):
        async with _vm_on_slow_link() as followed:
            await trio.sleep(1.03 + step * 0.1)
            lags.append(await followed.lag(await followed.publish(_ROUTES)))
    assert max(lags) < _APPLY_WITHIN, max(lags)
