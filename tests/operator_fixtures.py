"""Fixtures for an operator's records and a VM that follows them."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
import random

import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway.config_follower import ConfigFollower
from pimentocross.platform.topics import OperatorTopic
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.users_platform import operator_config

# Seconds after its acknowledgement within which a change must be in force
# everywhere, as the users' pages require.
APPLY_WITHIN = 2.0
VM = "vm"
# An operator on a slow link waits until a large version is stored.
_WRITE_TIMEOUT = 10.0


class FollowingVm:
    """A store, its operator, and a VM that follows the operator's records."""

    def __init__(self, within: float, evacuated_within: float) -> None:
        """Initializes the VM with an empty store and the required delays."""
        self.store = StoreStandin()
        source = OperatorTopic(self.store.client(VM))
        self.follower = ConfigFollower(source, within, evacuated_within)
        self._version = 0

    async def publish(self, routes: int = 1) -> int:
        """Writes the next version; returns it when it is acknowledged.

        Args:
            routes: Number of its routes.
        """
        self._version += 1
        queues = {f"/q{self._version}/": "stock"} | {
            f"/q{self._version}/{number}/": "stock"
            for number in range(1, routes)
        }
        value = operator_config(self._version, queues)
        await self._write(Record("config", value))
        return self._version

    async def evacuate(self, zone: str) -> None:
        """Evacuates a zone, so that nothing new starts in it."""
        await self._write(Record(f"evacuate/{zone}", b"{}"))

    async def restore(self, zone: str) -> None:
        """Removes the evacuation of a zone."""
        await self._write(Record(f"evacuate/{zone}", None))

    async def lag(self, version: int) -> float:
        """Returns the seconds from now until a version is in force."""
        return await self.lag_until(lambda: self._in_force(version))

    async def lag_until(self, condition: Callable[[], bool]) -> float:
        """Returns the seconds from now until a condition is true."""
        began = trio.current_time()
        with trio.fail_after(30):
            while not condition():
                await trio.sleep(0.005)
        return trio.current_time() - began

    async def _write(self, record: Record) -> None:
        await self.store.client("operator").append(
            "op", [record], _WRITE_TIMEOUT
        )

    def _in_force(self, version: int) -> bool:
        config = self.follower.config
        return config is not None and config.version >= version


async def fault_then_calm(
    followed: FollowingVm, rng: random.Random, max_delay: float
) -> str:
    """Injects a random fault of the store for some seconds; returns its kind.

    Args:
        followed: The VM whose store fails.
        rng: Draws the fault and the times.
        max_delay: Longest delay of a slow store's answers, in seconds.
    """
    faults = followed.store.faults
    kind = rng.choice(("away", "refused", "silent", "slow"))
    if kind == "away":
        faults.away = True
    elif kind == "refused":
        faults.refused = {VM}
    elif kind == "silent":
        faults.silence_count += 1
    else:
        faults.delay = rng.uniform(0.05, max_delay)
    await trio.sleep(rng.uniform(0.05, 5.0))
    faults.away, faults.refused, faults.delay = False, set(), 0.004
    await trio.sleep(rng.choice((0.0, rng.uniform(0.0, 1.0))))
    return kind


@asynccontextmanager
async def following_vm(
    within: float = APPLY_WITHIN, evacuated_within: float = float("inf")
) -> AsyncIterator[FollowingVm]:
    """Runs a VM that has the first version for the block."""
    followed = FollowingVm(within, evacuated_within)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.follower.run)
        await followed.lag(await followed.publish())
        yield followed
        nursery.cancel_scope.cancel()
