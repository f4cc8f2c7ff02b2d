"""Simulation of the ownership rules under random faults, with the real code.

Three members and some newcomers compete for one resource. Their log is
unavailable at times, loses replies and delays appends, and links between
processes are cut. Each owner grants leases to a holder that nobody can reach,
so only the rules, and not fencing, keep two owners from acting at once.
"""

from collections.abc import Sequence
import random
from typing import NamedTuple

import trio
from trio.testing import MockClock

from pimentocross.backing.log import LogUnavailableError, ReadPage, RecordBody
from pimentocross.contracts.authority import NEVER, Authority, Timing
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.ownership import MemberJoined, OwnershipState
from pimentocross.contracts.progress import AnswerProgress
from pimentocross.standins.log import LogStandin
from tests import seed_tasks

TIMING = Timing(confidence=8.0, lease=4.0)
_RESOURCE = "cell:x"
_DURATION = 150.0
_INTERVAL = 0.5
_MAX_PROCESSES = 5


class Rules(NamedTuple):
    """Which of the rules in `authority` are in effect."""

    ask_all: bool = True
    confirm: bool = True
    wait_takeover: bool = True
    acknowledge: bool = True


class Act(NamedTuple):
    """A lease granted by an owner."""

    epoch: int
    process: str
    at: float
    until: float


class _Log:
    """One process's connection to the log; loses and delays some appends."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._name = name

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        self._check()
        draw = self._world.draw.random()
        if draw < 0.1:
            # The append takes effect late, without a reply.
            self._world.append_later(stream, list(bodies))
            raise LogUnavailableError("lost", sent=True)
        first = await self._world.log.append(stream, bodies)
        if draw < 0.25:
            raise LogUnavailableError("lost", sent=True)
        return first

    async def read(
        self,
        stream: str,
        start: int,
        wait: float,
        progress: AnswerProgress | None = None,
    ) -> ReadPage:
        self._check()
        await trio.sleep(self._world.draw.uniform(0.01, 0.3))
        page = await self._world.log.read(
            stream, start, min(wait, 1.0), progress
        )
        self._check()
        return page

    def _check(self) -> None:
        if self._world.log_away or self._name in self._world.cut_off_from_log:
            raise LogUnavailableError("away", sent=False)


class _Process:
    """An entry VM's process, which uses the authority under test."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.scope = trio.CancelScope()
        self.claim_interval = world.draw.uniform(1.0, 6.0)
        self.fold = StreamFold(_Log(world, name), "ownership", OwnershipState())
        self.authority = Authority(self.fold, name, TIMING)
        self._world = world
        self._epoch = 0

    async def run(self) -> None:
        """Runs until its scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.fold.run)
                nursery.start_soon(self.fold.run_writer)
                nursery.start_soon(self._join)
                nursery.start_soon(self._ask_others)
                nursery.start_soon(self._remove_dead)
                nursery.start_soon(self._claim)
                await self._act()

    async def _join(self) -> None:
        while not self.authority.is_member:
            joined = MemberJoined(self.name, self.name, self.name, "z")
            await self.authority.join(joined, 3.0)
            await trio.sleep(_INTERVAL)

    async def _ask_others(self) -> None:
        while True:
            for other in list(self._world.processes.values()):
                if other is not self:
                    await self._ask(other)
            await trio.sleep(_INTERVAL)

    async def _ask(self, other: "_Process") -> None:
        asked_at = trio.current_time()
        if not self._world.reaches(self.name, other.name):
            return
        await trio.sleep(self._world.draw.uniform(0.0, 0.05))
        statement = other.authority.statement()
        if not self._world.reaches(other.name, self.name):
            return
        self.authority.note_statement(statement, asked_at)
        if not self.authority.is_member or not self._world.rules.acknowledge:
            return
        if other.authority.acknowledge(self.name):
            self.authority.note_acknowledged_by(other.name)

    async def _remove_dead(self) -> None:
        while True:
            await trio.sleep(_INTERVAL)
            now = trio.current_time()
            for dead, died_at in list(self._world.died.items()):
                is_member = dead in self.fold.state.members
                if is_member and now - died_at > TIMING.takeover_wait:
                    await self.authority.remove(dead, 3.0)

    async def _claim(self) -> None:
        """Claims often, as with failure detection that is always wrong."""
        while True:
            await trio.sleep(self.claim_interval)
            rules = self._world.rules
            may_claim = self.authority.is_member
            if rules.acknowledge:
                may_claim = self.authority.may_claim()
            owner = self.fold.state.ownership(_RESOURCE).process
            groundless = self._world.draw.random() < 0.2
            if (
                may_claim
                and owner != self.name
                and (groundless or self._cannot_reach(owner))
            ):
                await self.authority.claim(_RESOURCE, 3.0)

    def _cannot_reach(self, owner: str) -> bool:
        return not self._world.reaches(self.name, owner)

    async def _act(self) -> None:
        while True:
            await trio.sleep(_INTERVAL)
            if not self.authority.owns(_RESOURCE):
                continue
            epoch = self.authority.epoch(_RESOURCE)
            if epoch != self._epoch:
                self._epoch = epoch
                self.authority.note_claim_read(_RESOURCE)
            if self._may_act():
                self._world.record_act(epoch, self.name)

    def _may_act(self) -> bool:
        now = trio.current_time()
        rules = self._world.rules
        done_at = self.authority.takeover_done_at(_RESOURCE)
        if rules.wait_takeover and now < done_at and self._epoch > 0:
            return False
        return not rules.confirm or self.authority.may_act(_RESOURCE)


class World:
    """Processes, a log, links and faults, all derived from one seed.

    Attributes:
        violations: Pairs of overlapping leases of two owners.
        acts: Number of leases granted.
    """

    def __init__(self, seed: int, rules: Rules) -> None:
        """Initializes a world without processes; `run` starts them."""
        self.draw = random.Random(seed)
        self.rules = rules
        self.log = LogStandin(seed=seed)
        self.log_away = False
        self.cut_off_from_log: set[str] = set()
        self.processes: dict[str, _Process] = {}
        self.died: dict[str, float] = {}
        self.violations: list[tuple[Act, Act]] = []
        self.acts = 0
        self._cut_links: set[frozenset[str]] = set()
        self._latest: dict[int, Act] = {}
        self._start_count = 0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Runs for `_DURATION` seconds under random faults."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for _ in range(3):
                self._start()
            with trio.move_on_after(_DURATION):
                await trio.sleep(8.0)
                while not self.violations:
                    self._inject_fault()
                    await trio.sleep(self.draw.uniform(0.5, 8.0))
            nursery.cancel_scope.cancel()

    def reaches(self, name: str, other: str) -> bool:
        """True if a message gets from one process to another."""
        alive = other in self.processes
        return alive and frozenset((name, other)) not in self._cut_links

    def append_later(self, stream: str, bodies: list[RecordBody]) -> None:
        """Makes an append take effect some time later."""
        assert self._nursery is not None
        self._nursery.start_soon(self._append_delayed, stream, bodies)

    async def _append_delayed(
        self, stream: str, bodies: list[RecordBody]
    ) -> None:
        await trio.sleep(self.draw.uniform(0.1, 15.0))
        await self.log.append(stream, bodies)

    def record_act(self, epoch: int, process: str) -> None:
        """Records a lease and compares it with all that have not expired."""
        now = trio.current_time()
        act = Act(epoch, process, now, now + TIMING.lease)
        for other in self._latest.values():
            if other.epoch != epoch and other.until > now:
                self.violations.append((other, act))
        self._latest[epoch] = act
        self.acts += 1

    def _start(self) -> None:
        assert self._nursery is not None
        self._start_count += 1
        process = _Process(self, f"p{self._start_count}")
        if not self.rules.ask_all:
            process.authority._all_statements_at = (  # type: ignore[method-assign]
                lambda: max(
                    process.authority._statement_at.values(), default=NEVER
                )
            )
        self.processes[process.name] = process
        self._nursery.start_soon(process.run)

    def _kill_or_start(self) -> None:
        crowded = len(self.processes) >= _MAX_PROCESSES
        if crowded or (len(self.processes) > 2 and self.draw.random() < 0.3):
            name = self.draw.choice(sorted(self.processes))
            self.processes.pop(name).scope.cancel()
            self.died[name] = trio.current_time()
        else:
            self._start()

    def _inject_fault(self) -> None:
        names = sorted(self.processes)
        match self.draw.randrange(8):
            case 0:
                self.log_away = not self.log_away
            case 1 | 2:
                # Correlated fault: several VMs lose the log at the same time.
                end = len(names) + 1
                affected = self.draw.sample(names, self.draw.randrange(end))
                self.cut_off_from_log = set(affected)
            case 3 | 4:
                isolated = set(self.draw.sample(names, 1))
                self._cut_links = {
                    frozenset((a, b))
                    for a in isolated
                    for b in names
                    if b not in isolated and self.draw.random() < 0.8
                }
            case 5:
                self._kill_or_start()
            case 6:
                self._cut_links.clear()
            case 7:
                self.cut_off_from_log.clear()
                self.log_away = False


def run_world(seed: int, rules: Rules) -> World:
    """Runs one simulation in virtual time."""
    world = World(seed, rules)
    seed_tasks(seed)
    trio.run(world.run, clock=MockClock(autojump_threshold=0))
    return world
