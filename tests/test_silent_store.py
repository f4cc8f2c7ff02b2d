"""A store that was silent comes back, or answers a waiting read too late.

In the record, a cell's store is silent for 8 s. More than half of the VMs are
killed meanwhile and start again, and on its return five versions of the
configuration are acknowledged 27 ms after one another. Two VMs that ran on
denied a route of the last one 2.5 s later.
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

# A change is in force everywhere this long after its acknowledgement, in
# seconds, as the users' pages ask.
_APPLY_WITHIN = 2.0
# A change that the store doesn't tell a waiting read of is in force within a
# quarter of that.
_UNTOLD_WITHIN = 0.5
# All VMs know an owner again this long after the former one's death at most, in
# seconds, as large cells ask.
_SUCCEED_WITHIN = 3.0
_VMS = 8
# Of the VMs, those that are killed while the store is silent.
_KILLED = 5
_SILENCE = 8.05
_VERSIONS = 5
_BETWEEN_VERSIONS = 0.027


class _Vm:
    """A VM's process, as far as it follows the configuration."""

    def __init__(self, store: StoreStandin, name: str) -> None:
        source = OperatorTopic(store.client(name))
        self.follower = ConfigFollower(source, _APPLY_WITHIN)
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
        """Writes versions one after the other, each once the last is stored."""
        for number in range(count):
            if number:
                await trio.sleep(_BETWEEN_VERSIONS)
            self._version += 1
            queues = {f"/q{self._version}/": "stock"}
            value = operator_config(self._version, queues)
            await self.store.client("operator").append(
                "op", [Record("config", value)], 1.0
            )

    async def lag(self) -> float:
        """Returns how long it takes until all have the newest version."""
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
    """VMs that have the first version."""
    async with trio.open_nursery() as nursery:
        vms = _Vms(nursery)
        await vms.publish()
        await vms.lag()
        yield vms
        nursery.cancel_scope.cancel()


async def test_versions_on_a_silent_stores_return_are_in_force_in_time() -> (
    None
):
    """The recorded order of events, at any moment of a reader's rhythm."""
    lags = []
    for step in range(40):
        async with _running_vms() as vms:
            await trio.sleep(2.0)
            vms.store.faults.away = True
            await trio.sleep(3.0)
            vms.kill(_KILLED)
            await trio.sleep(1.0)
            vms.restart(_KILLED)
            await trio.sleep(_SILENCE - 4.0 + step * 0.1)
            vms.store.faults.away = False
            await vms.publish(_VERSIONS)
            lags.append(await vms.lag())
    assert max(lags) < _APPLY_WITHIN, max(lags)


async def test_a_confirmed_route_is_not_denied_by_a_vm_that_was_not_told() -> (
    None
):
    """Its read waits on though the version is there."""
    for step in range(10):
        async with _running_vms() as vms:
            vms.store.faults.deaf = True
            await trio.sleep(5.0 + step * 0.1)
            await vms.publish()
            await trio.sleep(0.2)
            assert await vms.first.follower.ensure_current()
            assert vms.first.version == 2


async def test_callers_of_unknown_routes_cost_few_questions() -> None:
    """However many they are, a VM asks ten times a second at most."""
    async with _running_vms() as vms:
        await trio.sleep(5.0)
        asked = vms.store.calls
        for _ in range(200):
            assert await vms.first.follower.ensure_current()
            await trio.sleep(0.005)
        # Each look-up, and the waiting read that follows it.
        assert vms.store.calls - asked <= 2 * 10 + 2 * _VMS


async def test_a_slow_store_has_callers_wait_briefly_once() -> None:
    """An answer that takes 0.4 s is too late to be waited for."""
    async with _running_vms() as vms:
        await trio.sleep(5.0)
        vms.store.faults.delay = 0.4
        began = trio.current_time()
        for _ in range(20):
            await vms.first.follower.ensure_current()
        assert trio.current_time() - began < 0.25


async def test_versions_in_series_are_in_force_soon_though_none_is_told() -> (
    None
):
    async with _running_vms() as vms:
        vms.store.faults.deaf = True
        await trio.sleep(5.0)
        await vms.publish()
        await vms.lag()
        await vms.publish(_VERSIONS)
        assert await vms.lag() < _UNTOLD_WITHIN


async def test_a_first_version_is_in_force_soon_though_it_is_not_told() -> None:
    """The operator writes it just as the processes start."""
    async with trio.open_nursery() as nursery:
        vms = _Vms(nursery)
        vms.store.faults.deaf = True
        await trio.sleep(0.01)
        await vms.publish()
        assert await vms.lag() < _UNTOLD_WITHIN
        nursery.cancel_scope.cancel()


def test_waits_are_short_after_news_and_grow_to_the_longest() -> None:
    """Each record of a series starts the growth again, as an outage does."""
    pace = PollPace(1.0)
    waits = []
    for news in (False, False, False, False, True, True, False):
        waits.append(pace.wait)
        pace.note_answer(news=news)
    assert waits == [0.125, 0.25, 0.5, 1.0, 1.0, 0.125, 0.125]
    pace.restart()
    assert pace.wait == 0.125


def test_a_dead_owner_is_followed_in_time_though_connections_go_silent() -> (
    None
):
    """Those to the store, at any moment of the succession."""

    def silence(faults: StoreFaults) -> None:
        faults.silenced += 1

    _check_succession(silence)


def test_a_dead_owner_is_followed_in_time_though_claims_are_not_told() -> None:
    """Whoever wasn't told of a claim takes its owner for a stranger."""

    def deafen(faults: StoreFaults) -> None:
        faults.deaf = True

    _check_succession(deafen)


def _check_succession(fault: Callable[[StoreFaults], None]) -> None:
    lags: list[float] = []
    for step in range(20):

        async def run(after: float = step * 0.1) -> None:
            lags.append(await _succession(fault, after))

        run_virtual(run, step)
    assert max(lags) < _SUCCEED_WITHIN, max(lags)


async def _succession(
    fault: Callable[[StoreFaults], None], after: float
) -> float:
    """Returns how long after an owner's death some VM knows none."""
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
