"""The workers of a cell: follows the directory, keeps one keeper for each."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import trio

from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.contracts.worker_link import (
    WorkerDialer,
    WorkerDirectory,
    WorkerLife,
)
from pimentocross.contracts.zones import ZoneAccess
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.absent import AbsentWorkers
from pimentocross.owner.context import OwnerContext, RunStopper
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.keeper import Keeper
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.life_numbers import LifeNumbers
from pimentocross.owner.worker import Worker
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import LeaseRow
from pimentocross.work.state import Run, RunState, Task


class RosterParts(NamedTuple):
    """What a roster needs of an owner that runs.

    Attributes:
        nursery: Of the owner's tasks.
        cell: What the owner's parts share.
        stops: Stops runs.
        forget_life: Drops what else is known of a life's id.
    """

    nursery: trio.Nursery
    cell: OwnerContext
    stops: RunStopper
    forget_life: Callable[[str], None]


class Roster:
    """Worker lives by number; the numbers are in the store.

    Attributes:
        numbers: Of the lives.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        dialer: WorkerDialer,
        ledger: Ledger,
        former_leases: FormerLeases,
        config: Callable[[], WorkConfig],
        zones: ZoneAccess,
    ) -> None:
        """Takes where workers are listed and how they are reached.

        Args:
            directory: Lists them.
            dialer: Makes links.
            ledger: Where numbers are recorded.
            former_leases: Bounds leases of former owners.
            config: Returns the configuration in force. Lives of services that
                it doesn't name aren't called.
            zones: Knows to which zones new runs may be sent.
        """
        self.numbers = LifeNumbers(ledger)
        # Given by `open`.
        self._parts: RosterParts
        self._config = config
        self._zones = zones
        self._directory = directory
        self._dialer = dialer
        self._former_leases = former_leases
        # Of each id the newest life that is known.
        self._by_life: dict[str, Worker] = {}
        self._absent = AbsentWorkers(self.numbers, dialer, former_leases)
        self._keepers: dict[str, Keeper] = {}
        # Keepers that don't run yet.
        self._idle_keepers: list[Keeper] = []
        # Lives that have ended and may still be listed: when they were born,
        # by id.
        self._ended: dict[str, int] = {}
        # How many lives the directory listed last.
        self._listed = 0
        # Lives of each id that were met.
        self._met: Counter[str] = Counter()
        self._away = False
        # Whether runs of before were tied to their workers.
        self._has_adopted = False
        # When the newest list that was read had been asked for, monotonic.
        self._read_at = float("-inf")

    def __len__(self) -> int:
        """How many lives may still run something."""
        return len(self._by_life)

    def workers(self) -> Iterator[Worker]:
        """Yields the lives that may still run something."""
        yield from self._by_life.values()

    def usable(self) -> list[Worker]:
        """Returns the workers to which new runs may be sent."""
        usable = [worker for worker in self.workers() if worker.usable]
        closed = self._closed_zones(usable)
        if closed:
            usable = [w for w in usable if w.life.zone not in closed]
        if self._is_current():
            return usable
        return [worker for worker in usable if self._is_guarded(worker)]

    def runs_away(self) -> Iterator[tuple[Task, Run]]:
        """Yields runs that nobody can hear of and that may still go on."""
        unheard = (w for w in self._by_life.values() if not w.reached)
        for worker in [*self._absent, *unheard]:
            for (task, _), run in worker.runs.items():
                yield task, run

    def closed_capacity(self) -> int:
        """Returns thousandths of a core in zones that aren't open."""
        usable = [worker for worker in self.workers() if worker.usable]
        closed = self._closed_zones(usable)
        return sum(w.life.capacity.cpu for w in usable if w.life.zone in closed)

    def _closed_zones(self, workers: Iterable[Worker]) -> set[str]:
        """Returns those zones of workers that take nothing new.

        Each zone is asked for once, not for each of its workers.
        """
        zones = {worker.life.zone for worker in workers}
        return {zone for zone in zones if not self._zones.is_open(zone)}

    def may_start_on(self, worker: Worker) -> bool:
        """True if new runs may be sent to a worker now."""
        if not worker.usable or not self._zones.is_open(worker.life.zone):
            return False
        # Its capacity is known well enough to fill it up.
        return self._is_current() or self._is_guarded(worker)

    def _is_current(self) -> bool:
        return trio.current_time() - self._read_at <= const.ROSTER_MAX_AGE

    def _is_guarded(self, worker: Worker) -> bool:
        """True if a worker refuses what doesn't fit any more."""
        pool = self._config().services.get(worker.life.service)
        return pool is not None and pool.guarded

    def open(self, parts: RosterParts) -> None:
        """Takes what the owner's other parts do for it, before all else."""
        self._parts = parts

    async def follow(self) -> None:
        """Follows the directory for ever."""
        while True:
            await self.poll()
            await self.start_keepers()
            self._former_leases.refresh()
            self._parts.cell.late_starts.refresh()
            await trio.sleep(const.ROSTER_INTERVAL)

    def lease_rows(self) -> Iterator[LeaseRow]:
        """Yields lives on which leases of former owners may last."""
        now = trio.current_time()
        for worker in [*self._absent, *self._by_life.values()]:
            may_last = worker.barred or worker.lease_end is None
            if may_last and not worker.gone:
                left = max(worker.lapses_at - now, 0.0)
                yield LeaseRow(worker.number, round(left, 3), worker.barred)

    def note_former_ended(self, epoch: int) -> None:
        """Notes that a former owner surely renews no lease any more."""
        former_leases = self._former_leases
        former_leases.note_ended(epoch)
        for worker in [*self._absent, *self._by_life.values()]:
            until = former_leases.until(worker.number)
            worker.blind_until = min(worker.blind_until, until)

    async def start_keepers(self) -> None:
        """Starts the keepers of lives that came in, one in a turn of the loop.

        What costs is the first call that each makes, in the next turn.
        """
        while self._idle_keepers:
            self._parts.nursery.start_soon(self._idle_keepers.pop(0).run)
            await trio.lowlevel.checkpoint()

    async def poll(self) -> None:
        """Takes the directory's present list in."""
        asked_at = trio.current_time()
        try:
            lives = await self._directory.poll(const.ROSTER_TIMEOUT)
        except StoreUnavailableError as error:
            if not self._away:
                note("directory_lost", reason=str(error))
            self._away = True
            return
        if self._away:
            note("directory_regained", workers=len(lives))
        self._away = False
        self._read_at = asked_at
        lives = self._without_ended(lives)
        listed = {life.id: life for life in lives}
        self._listed = len(listed)
        services = self._config().services
        for life in lives:
            if life.service in services or life.id in self._by_life:
                self._take(life)
        if self._has_adopted:
            self._drop_replaced(lives)
        for worker in self._by_life.values():
            worker.listed = worker.life.id in listed
            unknown = not worker.listed or worker.lease_end is None
            if unknown and not worker.reached:
                self._former_leases.bar(worker)
        self._bury_absent()
        for life_id, worker in list(self._by_life.items()):
            if worker.gone and not worker.runs:
                del self._by_life[life_id]
                self._keepers.pop(life_id)
                self._leave(worker)
                if worker.replaced:
                    # Its entry outlives it by seconds.
                    self._ended[life_id] = worker.life.born

    def _without_ended(self, lives: Iterable[WorkerLife]) -> list[WorkerLife]:
        """Leaves out lives that have ended; forgets those listed no more."""
        listed = list(lives)
        ids = {life.id for life in listed}
        self._ended = {i: born for i, born in self._ended.items() if i in ids}
        return [
            life
            for life in listed
            if life.id not in self._ended or life.is_after(self._ended[life.id])
        ]

    def adopt(self, runs: Iterable[tuple[Task, Run]]) -> None:
        """Ties restored runs to their workers, listed or not."""
        by_number = {w.number: w for w in self._by_life.values()}
        late_starts = self._parts.cell.late_starts
        for task, run in runs:
            known = self.numbers.is_known(run.worker)
            if not known and late_starts.was_unsettled(task, run):
                late_starts.adopt_held(task, run)
                continue
            worker = by_number.get(run.worker)
            if worker is None:
                worker = self._absent.add(run.worker)
                by_number[run.worker] = worker
            late_starts.adopt(task, run, worker.life)
            worker.add(task, run)
        for worker in by_number.values():
            worker.isolate_adopted()
        self._parts.cell.crashes.adopt(by_number.values())
        for worker in self._absent:
            successor = self._by_life.get(worker.life.id)
            if successor is not None:
                self._replace_absent(worker, successor)
        self._bury_absent()
        self._absent.note_waits()
        self._has_adopted = True

    def note_born(self, worker: Worker, born: int) -> None:
        """Notes when the life that answers for a worker started.

        It may be the next life of its id, which the directory tells of later.
        """
        if worker.gone:
            return
        life = worker.life._replace(born=born)
        if worker.life.born:
            self._restart(worker, life._replace(draining=False, remaining=0.0))
            self._parts.nursery.start_soon(self.start_keepers)
        else:
            worker.life = life
            self.numbers.note_born(worker.number, born)

    def note_replaced(self, worker: Worker) -> None:
        """Notes that a life has ended; nothing may be tied to it any more.

        Recorded together with what that means: to a new owner it would else
        seem to have ended only now.
        """
        self.numbers.forget(worker.number)

    def _bury_absent(self) -> None:
        machines = {w.life.machine for w in self._by_life.values()}
        self._absent.bury(machines, self._parts.cell)

    def _replace_absent(self, absent: Worker, successor: Worker) -> None:
        """Has the next life of an id settle what was recorded on the former.

        A start that the former owner had sent may still begin there.
        """
        self._absent.take_out(absent.number)
        self.numbers.forget(absent.number)
        self._parts.cell.crashes.note_replaced(absent)
        runs = [(task, run) for (task, _), run in absent.runs.items()]
        self._move_runs(runs, successor)

    def _take(self, life: WorkerLife) -> None:
        worker = self._by_life.get(life.id)
        if worker is None:
            self._add(life)
            return
        if not life.born:
            life = life._replace(born=worker.life.born)
        if worker.life.is_after(life.born) or life == worker.life:
            return
        if life.is_after(worker.life.born):
            self._restart(worker, life)
            return
        if life.draining and not worker.life.draining:
            worker.draining_since = trio.current_time()
            note("worker_draining", worker=life.id, left=life.remaining)
        worker.life = life
        self.numbers.note_born(worker.number, life.born)
        self._parts.cell.wake()

    def _restart(self, former: Worker, life: WorkerLife) -> None:
        """Takes the next life of an id in the place of the former one."""
        note("worker_restarted", worker=life.id, born=life.born)
        unsure = self._keepers[life.id].hand_over("it has started again")
        self._leave(former)
        self._parts.forget_life(life.id)
        worker = self._add(life)
        self._move_runs(unsure, worker)
        self._parts.cell.wake()

    def _move_runs(
        self, runs: Iterable[tuple[Task, Run]], worker: Worker
    ) -> None:
        """Ties runs that may begin on a life to it, until it tells."""
        worker.follows = True
        now = trio.current_time()
        for task, run in runs:
            run.worker = worker.number
            run.enter(RunState.UNSURE, now)
            run.began_at = run.lived_before = 0.0
            worker.add(task, run)
            task.step.record = None
            self._parts.cell.book.changed(task.step.job)

    def _add(self, life: WorkerLife) -> Worker:
        number = self.numbers.number_of(life)
        at_once = self._parts.cell.terms.orders_at_once(self._listed)
        worker = Worker(life, number, self._dialer.link(life), at_once)
        worker.blind_until = self._former_leases.until(number)
        if life.draining:
            worker.draining_since = trio.current_time()
        worker.unknown = not self.numbers.is_inherited(number)
        worker.restarts = self._met[life.id]
        self._met[life.id] += 1
        self._by_life[life.id] = worker
        keeper = Keeper(worker, self._parts.cell, self._parts.stops)
        self._keepers[life.id] = keeper
        self._idle_keepers.append(keeper)
        self._parts.cell.crashes.note_listed(life)
        note("worker_listed", worker=life.id, number=number)
        same = self._absent.take_out(number)
        if same is not None:
            self._former_leases.bar(worker)
            for (task, _), run in same.runs.items():
                worker.add(task, run)
        for absent in self._absent:
            if absent.life.id == life.id:
                self._replace_absent(absent, worker)
        return worker

    def _leave(self, worker: Worker) -> None:
        """Lets a life go that has ended."""
        self.numbers.forget(worker.number)
        self._parts.nursery.start_soon(worker.link.aclose)

    def _drop_replaced(self, lives: list[WorkerLife]) -> None:
        """Buries lives whose machine is listed with another one.

        An entry outlives its worker by seconds: a life that is still listed has
        ended if one that was born after it is listed with its machine.
        """
        newest: dict[str, WorkerLife] = {}
        for life in lives:
            known = newest.get(life.machine)
            if known is None or not known.is_after(life.born):
                newest[life.machine] = life
        listed = {life.id for life in lives}
        for life_id, worker in self._by_life.items():
            machine = worker.life.machine
            if worker.gone or not machine or machine not in newest:
                continue
            successor = newest[machine]
            if successor.id == life_id:
                continue
            if life_id not in listed or successor.is_after(worker.life.born):
                self._keepers[life_id].bury(
                    "its machine has another life", replaced=True
                )
