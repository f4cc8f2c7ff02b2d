"""The ownership rules under random faults: real code, few processes.

One resource, three members and newcomers, over a log that is away at times,
loses replies and lands appends late, and links that are cut. Each owner
grants leases to a holder that nobody can reach, so that only the rules, and
no fencing, keep two owners apart.
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
from pimentocross.standins.log import LogStandin
from tests import seed_tasks

TIMING = Timing(confidence=8.0, lease=4.0)
_RESOURCE = "cell:x"
_DURATION = 150.0
_STEP = 0.5
_PROCESSES_MOST = 5


class Rules(NamedTuple):
    """Which rules are kept; see `authority`."""

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
    """The log as one process reaches it; may lose or delay what it sends."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._name = name

    async def append(self, stream: str, bodies: Sequence[RecordBody]) -> int:
        self._check()
        draw = self._world.draw.random()
        if draw < 0.1:
            # It lands late, and nobody hears of it.
            self._world.land_later(stream, list(bodies))
            raise LogUnavailableError("lost", sent=True)
        first = await self._world.log.append(stream, bodies)
        if draw < 0.25:
            raise LogUnavailableError("lost", sent=True)
        return first

    async def read(self, stream: str, start: int, wait: float) -> ReadPage:
        self._check()
        await trio.sleep(self._world.draw.uniform(0.01, 0.3))
        page = await self._world.log.read(stream, start, min(wait, 1.0))
        self._check()
        return page

    def _check(self) -> None:
        if self._world.log_away or self._name in self._world.cut_from_log:
            raise LogUnavailableError("away", sent=False)


class _Process:
    """One entry VM's process: its authority and what it does with it."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.scope = trio.CancelScope()
        self.impatience = world.draw.uniform(1.0, 6.0)
        self.fold = StreamFold(_Log(world, name), "ownership", OwnershipState())
        self.authority = Authority(self.fold, name, TIMING)
        self._world = world
        self._epoch = 0

    async def run(self) -> None:
        """Lives until its scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.fold.run)
                nursery.start_soon(self.fold.run_writer)
                nursery.start_soon(self._join)
                nursery.start_soon(self._ask_others)
                nursery.start_soon(self._remove_gone)
                nursery.start_soon(self._claim)
                await self._act()

    async def _join(self) -> None:
        while not self.authority.is_member:
            joined = MemberJoined(self.name, self.name, self.name, "z")
            await self.authority.join(joined, 3.0)
            await trio.sleep(_STEP)

    async def _ask_others(self) -> None:
        while True:
            for other in list(self._world.processes.values()):
                if other is not self:
                    await self._ask(other)
            await trio.sleep(_STEP)

    async def _ask(self, other: "_Process") -> None:
        asked_at = trio.current_time()
        if not self._world.reaches(self.name, other.name):
            return
        await trio.sleep(self._world.draw.uniform(0.0, 0.05))
        said = other.authority.statement()
        if not self._world.reaches(other.name, self.name):
            return
        self.authority.note_statement(said, asked_at)
        if not self.authority.is_member or not self._world.rules.acknowledge:
            return
        if other.authority.acknowledge(self.name):
            self.authority.note_acknowledged_by(other.name)

    async def _remove_gone(self) -> None:
        while True:
            await trio.sleep(_STEP)
            now = trio.current_time()
            for gone, died_at in list(self._world.died.items()):
                member = gone in self.fold.state.members
                if member and now - died_at > TIMING.takeover_wait:
                    await self.authority.remove(gone, 3.0)

    async def _claim(self) -> None:
        """Claims out of mere impatience: the worst that a suspicion can do."""
        while True:
            await trio.sleep(self.impatience)
            rules = self._world.rules
            member = self.authority.is_member
            if rules.acknowledge:
                member = self.authority.may_claim()
            owner = self.fold.state.ownership(_RESOURCE).process
            alone = self._world.draw.random() < 0.2
            if member and owner != self.name and (alone or self._lost(owner)):
                await self.authority.claim(_RESOURCE, 3.0)

    def _lost(self, owner: str) -> bool:
        return not self._world.reaches(self.name, owner)

    async def _act(self) -> None:
        while True:
            await trio.sleep(_STEP)
            if not self.authority.owns(_RESOURCE):
                continue
            epoch = self.authority.epoch(_RESOURCE)
            if epoch != self._epoch:
                self._epoch = epoch
                self.authority.note_claim_read(_RESOURCE)
            if self._may_act():
                self._world.note_act(epoch, self.name)

    def _may_act(self) -> bool:
        now = trio.current_time()
        rules = self._world.rules
        done_at = self.authority.takeover_done_at(_RESOURCE)
        if rules.wait_takeover and now < done_at and self._epoch > 0:
            return False
        return not rules.confirm or self.authority.may_act(_RESOURCE)


class World:
    """Processes, a log, links and faults, all drawn from one seed.

    Attributes:
        violations: Moments at which two owners held the same.
        acts: Leases granted.
    """

    def __init__(self, seed: int, rules: Rules) -> None:
        """Starts with three members-to-be."""
        self.draw = random.Random(seed)
        self.rules = rules
        self.log = LogStandin(seed=seed)
        self.log_away = False
        self.cut_from_log: set[str] = set()
        self.processes: dict[str, _Process] = {}
        self.died: dict[str, float] = {}
        self.violations: list[tuple[Act, Act]] = []
        self.acts = 0
        self._cut: set[frozenset[str]] = set()
        self._latest: dict[int, Act] = {}
        self._started = 0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Lives for a while under random faults."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for _ in range(3):
                self._start()
            with trio.move_on_after(_DURATION):
                await trio.sleep(8.0)
                while not self.violations:
                    self._bring_fault()
                    await trio.sleep(self.draw.uniform(0.5, 8.0))
            nursery.cancel_scope.cancel()

    def reaches(self, name: str, other: str) -> bool:
        """True if a message gets from one process to another."""
        alive = other in self.processes
        return alive and frozenset((name, other)) not in self._cut

    def land_later(self, stream: str, bodies: list[RecordBody]) -> None:
        """Lets an append take effect some time later."""
        assert self._nursery is not None
        self._nursery.start_soon(self._land, stream, bodies)

    async def _land(self, stream: str, bodies: list[RecordBody]) -> None:
        await trio.sleep(self.draw.uniform(0.1, 15.0))
        await self.log.append(stream, bodies)

    def note_act(self, epoch: int, process: str) -> None:
        """Notes a lease and compares it with all others that still stand."""
        now = trio.current_time()
        act = Act(epoch, process, now, now + TIMING.lease)
        for other in self._latest.values():
            if other.epoch != epoch and other.until > now:
                self.violations.append((other, act))
        self._latest[epoch] = act
        self.acts += 1

    def _start(self) -> None:
        assert self._nursery is not None
        self._started += 1
        process = _Process(self, f"p{self._started}")
        if not self.rules.ask_all:
            process.authority._told_by_all_at = (  # type: ignore[method-assign]
                lambda: max(process.authority._told_at.values(), default=NEVER)
            )
        self.processes[process.name] = process
        self._nursery.start_soon(process.run)

    def _kill_or_start(self) -> None:
        crowded = len(self.processes) >= _PROCESSES_MOST
        if crowded or (len(self.processes) > 2 and self.draw.random() < 0.3):
            name = self.draw.choice(sorted(self.processes))
            self.processes.pop(name).scope.cancel()
            self.died[name] = trio.current_time()
        else:
            self._start()

    def _bring_fault(self) -> None:
        names = sorted(self.processes)
        match self.draw.randrange(8):
            case 0:
                self.log_away = not self.log_away
            case 1 | 2:
                # Correlated: a part of the VMs loses the log together.
                most = len(names) + 1
                some = self.draw.sample(names, self.draw.randrange(most))
                self.cut_from_log = set(some)
            case 3 | 4:
                side = set(self.draw.sample(names, 1))
                self._cut = {
                    frozenset((a, b))
                    for a in side
                    for b in names
                    if b not in side and self.draw.random() < 0.8
                }
            case 5:
                self._kill_or_start()
            case 6:
                self._cut.clear()
            case 7:
                self.cut_from_log.clear()
                self.log_away = False


def run_world(seed: int, rules: Rules) -> World:
    """Runs one world in virtual time."""
    world = World(seed, rules)
    seed_tasks(seed)
    trio.run(world.run, clock=MockClock(autojump_threshold=0))
    return world
