"""Tests of a store that recovers from an outage or wakes no waiting reads.

Guards against a recorded failure. A cell's store was silent for 8 s; more than
half of the VMs were killed meanwhile and restarted. On the store's recovery,
five versions of the configuration were acknowledged at intervals of 27 ms. Two
VMs that had not been restarted denied a route of the last version 2.5 s later.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from pimentocross.contracts.poll_pace import PollPace
from pimentocross.contracts.store import Record
from pimentocross.gateway.config_follower import ConfigFollower
from pimentocross.platform.topics import OperatorTopic
from pimentocross.standins.store import StoreFaults, StoreStandin
from pimentocross.standins.users_platform import operator_config
from tests import run_virtual
from tests.gateway_fixtures import WEAK, VmCell
from tests.owner_fixtures import wait_until

# Seconds within which a change must be in force everywhere after its
# acknowledgement, as the users' documentation demands.
_MAX_APPLY_LAG = 2.0
# The same for a change for which the store wakes no waiting read: a quarter.
_MAX_APPLY_LAG_WITHOUT_WAKE = 0.5
# Seconds after an owner's death within which all VMs must know its successor,
# as large cells require.
_MAX_SUCCESSION_TIME = 3.0
_VMS = 8
# Number of VMs that are killed while the store is silent.
_KILLED = 5
_OUTAGE = 8.05
_VERSIONS = 5
_VERSION_INTERVAL = 0.027


class _Vm:
    """The part of a VM's process that follows the configuration."""

    def __init__(self, store: StoreStandin, name: str) -> None:
        source = OperatorTopic(store.client(name))
        self.follower = ConfigFollower(source, _MAX_APPLY_LAG)
        self._scope = trio.CancelScope()

    @property
    def version(self) -> int:
        config = self.follower.config
        return config.version if config is not None else 0

    async def run(self) -> None:
        with self._scope:
            await self.follower.run()

    def kill(self) -> None:
        self._scope.cancel()


class _Vms:
    """VMs that follow one operator's configuration."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = StoreStandin()
        self._nursery = nursery
        self._vms = [self._start(number) for number in range(_VMS)]
        self._version = 0

    @property
    def first(self) -> _Vm:
        return self._vms[0]

    def kill(self, count: int) -> None:
        for vm in self._vms[:count]:
            vm.kill()

    def restart(self, count: int) -> None:
        self._vms[:count] = [self._start(number) for number in range(count)]

    async def publish(self, count: int = 1) -> None:
        """Writes versions in sequence, each after the previous is stored."""
        for number in range(count):
            if number:
                await trio.sleep(_VERSION_INTERVAL)
            self._version += 1
            queues = {f"/q{self._version}/": "stock"}
            value = operator_config(self._version, queues)
            await self.store.client("operator").append(
                "op", [Record("config", value)], 1.0
            )

    async def lag(self) -> float:
        """Returns the seconds until all VMs have the newest version."""
        began = trio.current_time()
        with trio.fail_after(30):
            while any(vm.version < self._version for vm in self._vms):
                await trio.sleep(0.005)
        return trio.current_time() - began

    def _start(self, number: int) -> _Vm:
        vm = _Vm(self.store, f"vm{number}")
        self._nursery.start_soon(vm.run)
        return vm


@asynccontextmanager
async def _running_vms() -> AsyncIterator[_Vms]:
    """Runs VMs that have the first version."""
    async with trio.open_nursery() as nursery:
        vms = _Vms(nursery)
        await vms.publish()
        await vms.lag()
        yield vms
        nursery.cancel_scope.cancel()


async def test_versions_on_a_silent_stores_return_are_in_force_in_time() -> (
    None
):
    """The recorded failure, with its events at different phases of a poll."""
    lags = []
    for step in range(40):
        async with _running_vms() as vms:
            await trio.sleep(2.0)
            vms.store.faults.away = True
            await trio.sleep(3.0)
            vms.kill(_KILLED)
            await trio.sleep(1.0)
            vms.restart(_KILLED)
            await trio.sleep(_OUTAGE - 4.0 + step * 0.1)
            vms.store.faults.away = False
            await vms.publish(_VERSIONS)
            lags.append(await vms.lag())
    assert max(lags) < _MAX_APPLY_LAG, max(lags)


async def test_a_confirmed_route_is_not_denied_by_a_vm_that_was_not_told() -> (
    None
):
    """The VM's read keeps waiting although the version is stored."""
    for step in range(10):
        async with _running_vms() as vms:
            vms.store.faults.drop_read_notifications = True
            await trio.sleep(5.0 + step * 0.1)
            await vms.publish()
            await trio.sleep(0.2)
            assert await vms.first.follower.check_current()
            assert vms.first.version == 2


async def test_callers_of_unknown_routes_cost_few_questions() -> None:
    """A VM looks up the newest version at most ten times a second."""
    async with _running_vms() as vms:
        await trio.sleep(5.0)
        calls_before = vms.store.calls
        for _ in range(200):
            assert await vms.first.follower.check_current()
            await trio.sleep(0.005)
        # Each look-up is followed by a waiting read.
        assert vms.store.calls - calls_before <= 2 * 10 + 2 * _VMS


async def test_a_slow_store_has_callers_wait_briefly_once() -> None:
    """Callers don't wait for an answer that takes 0.4 s."""
    async with _running_vms() as vms:
        await trio.sleep(5.0)
        vms.store.faults.delay = 0.4
        began = trio.current_time()
        for _ in range(20):
            await vms.first.follower.check_current()
        assert trio.current_time() - began < 0.25


async def test_versions_in_series_are_in_force_soon_though_none_is_told() -> (
    None
):
    async with _running_vms() as vms:
        vms.store.faults.drop_read_notifications = True
        await trio.sleep(5.0)
        await vms.publish()
        await vms.lag()
        await vms.publish(_VERSIONS)
        assert await vms.lag() < _MAX_APPLY_LAG_WITHOUT_WAKE


async def test_a_first_version_is_in_force_soon_though_it_is_not_told() -> None:
    """The operator writes the version just as the processes start."""
    async with trio.open_nursery() as nursery:
        vms = _Vms(nursery)
        vms.store.faults.drop_read_notifications = True
        await trio.sleep(0.01)
        await vms.publish()
        assert await vms.lag() < _MAX_APPLY_LAG_WITHOUT_WAKE
        nursery.cancel_scope.cancel()


def test_waits_are_short_after_news_and_grow_to_the_longest() -> None:
    """Each new record of a series, and a restart, reset the wait."""
    pace = PollPace(1.0)
    waits = []
    for has_changes in (False, False, False, False, True, True, False):
        waits.append(pace.wait)
        pace.note_answer(has_changes=has_changes)
    assert waits == [0.125, 0.25, 0.5, 1.0, 1.0, 0.125, 0.125]
    pace.restart()
    assert pace.wait == 0.125


def test_a_dead_owner_is_followed_in_time_though_connections_go_silent() -> (
    None
):
    """Connections to the store go silent at different times of a succession."""

    def silence(faults: StoreFaults) -> None:
        faults.silence_count += 1

    _check_succession(silence)


def test_a_dead_owner_is_followed_in_time_though_claims_are_not_told() -> None:
    """A VM that does not know of a claim rejects its owner as unknown."""

    def stop_waking(faults: StoreFaults) -> None:
        faults.drop_read_notifications = True

    _check_succession(stop_waking)


def _check_succession(fault: Callable[[StoreFaults], None]) -> None:
    lags: list[float] = []
    for step in range(20):

        async def run(after: float = step * 0.1) -> None:
            lags.append(await _succession(fault, after))

        run_virtual(run, step)
    assert max(lags) < _MAX_SUCCESSION_TIME, max(lags)


async def _succession(
    fault: Callable[[StoreFaults], None], after: float
) -> float:
    """Returns the seconds from an owner's death until all VMs know an owner."""
    cell = VmCell()
    async with cell.running():
        for number in range(_VMS):
            cell.start(f"vm{number}", WEAK)
        await wait_until(lambda: bool(cell.owners()))
        await trio.sleep(4.0)
        cell.kill(cell.owners()[0])
        died_at = trio.current_time()
        await trio.sleep(after)
        fault(cell.store.faults)
        with trio.fail_after(20.0):
            while not _all_know_an_owner(cell):
                await trio.sleep(0.01)
        return trio.current_time() - died_at


def _all_know_an_owner(cell: VmCell) -> bool:
    vms = cell.vms.values()
    return all(vm.election.owner_absent() == 0.0 for vm in vms)
