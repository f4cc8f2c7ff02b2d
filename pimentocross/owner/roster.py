"""Tracks the workers of a cell and runs a lease keeper for each of them."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
import itertools
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
from pimentocross.owner.keeper import LeaseKeeper
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.life_numbers import LifeNumbers
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.witnesses import Witnesses
from pimentocross.owner.worker import Worker
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import ClockRow, LeaseRow, NextLifeRow
from pimentocross.work.state import Run, RunState, Task


class RosterParts(NamedTuple):
    """Parts of a running owner that its roster uses.

    Attributes:
        nursery: Runs the owner's background tasks.
        cell: State shared by the owner's parts.
        stops: Stops runs.
        forget_life: Drops what other parts keep for a worker id.
    """

    nursery: trio.Nursery
    cell: OwnerContext
    stops: RunStopper
    forget_life: Callable[[str], None]


class Roster:
    """The worker lives of a cell, under numbers that are in the store.

    Attributes:
        numbers: Assigns and records the numbers of lives.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        dialer: WorkerDialer,
        ledger: Ledger,
        former_leases: FormerLeases,
        next_lives: NextLives,
        witnesses: Witnesses,
        config: Callable[[], WorkConfig],
        zones: ZoneAccess,
    ) -> None:
        """Initializes an empty roster.

        Args:
            directory: Lists the workers.
            dialer: Makes links to workers.
            ledger: Records the numbers of lives.
            former_leases: Bounds the leases that former owners granted.
            next_lives: Bounds the leases for calls to former lives.
            witnesses: Gets the answers of workers.
            config: Returns the configuration in force. Workers of services
                that it doesn't name are not called.
            zones: Tells to which zones new runs may be sent.
        """
        self.numbers = LifeNumbers(ledger)
        # Set by `open`.
        self._parts: RosterParts
        self._config = config
        self._zones = zones
        self._directory = directory
        self._dialer = dialer
        self._former_leases = former_leases
        self._next_lives = next_lives
        self._witnesses = witnesses
        # The newest known life of each worker id.
        self._by_life: dict[str, Worker] = {}
        self._absent = AbsentWorkers(self.numbers, dialer, self._leases_until)
        self._keepers: dict[str, LeaseKeeper] = {}
        # Keepers that have not been started yet.
        self._idle_keepers: list[LeaseKeeper] = []
        # Birth times of ended lives that the directory may still list, by id.
        self._ended_birth_times: dict[str, int] = {}
        # Number of lives in the newest directory list.
        self._listed_count = 0
        # How many lives of each id this owner has met.
        self._met_lives: Counter[str] = Counter()
        self._directory_away = False
        # Whether the restored runs were assigned to their workers.
        self._has_adopted = False
        # When the newest directory list was requested, monotonic.
        self._read_at = float("-inf")

    def __len__(self) -> int:
        """Returns the number of lives that may still run something."""
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
        return [worker for worker in usable if self._refuses_excess(worker)]

    def unreachable_runs(self) -> Iterator[tuple[Task, Run]]:
        """Yields runs that may still go on, on workers that don't answer."""
        unreachable = (w for w in self._by_life.values() if not w.reachable)
        for worker in [*self._absent, *unreachable]:
            for (task, _), run in worker.runs.items():
                yield task, run

    def closed_capacity(self) -> int:
        """Returns the capacity in closed zones, thousandths of a core."""
        usable = [worker for worker in self.workers() if worker.usable]
        closed = self._closed_zones(usable)
        return sum(w.life.capacity.cpu for w in usable if w.life.zone in closed)

    def closed_zones(self) -> set[str]:
        """Returns the zones of usable workers that take no new runs."""
        return self._closed_zones(w for w in self.workers() if w.usable)

    def _closed_zones(self, workers: Iterable[Worker]) -> set[str]:
        """Returns the zones of workers to which no new runs may be sent.

        Each zone is looked up once, not for each of its workers.
        """
        zones = {worker.life.zone for worker in workers}
        return {zone for zone in zones if not self._zones.is_open(zone)}

    def may_start_on(self, worker: Worker) -> bool:
        """True if new runs may be sent to a worker now."""
        if not worker.usable or not self._zones.is_open(worker.life.zone):
            return False
        # The capacity was read recently, or the worker enforces it itself.
        return self._is_current() or self._refuses_excess(worker)

    def _is_current(self) -> bool:
        return trio.current_time() - self._read_at <= const.ROSTER_MAX_AGE

    def _refuses_excess(self, worker: Worker) -> bool:
        """True if a worker itself refuses runs beyond its capacity."""
        pool = self._config().services.get(worker.life.service)
        return pool is not None and pool.enforces_capacity

    def open(self, parts: RosterParts) -> None:
        """Sets the owner's other parts; called before all other methods."""
        self._parts = parts

    async def follow(self) -> None:
        """Polls the directory and starts keepers until cancelled."""
        while True:
            await self.poll()
            await self.start_keepers()
            self._witnesses.update()
            self._former_leases.refresh()
            self._next_lives.refresh()
            self._parts.cell.late_starts.refresh()
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        """Drops the runs of silent lives as soon as their leases have ended."""
        now = trio.current_time()
        end = now + const.ROSTER_INTERVAL
        while now < end:
            lapse = max(self._next_lapse(), now) + const.LAPSE_PAUSE
            await trio.sleep_until(min(lapse, end))
            now = trio.current_time()
            self._end_absent_lives()
            for worker in list(self._by_life.values()):
                if worker.runs and not worker.reachable:
                    self._keepers[worker.life.id].drop_lapsed_runs()

    def _next_lapse(self) -> float:
        """Returns when the next leases of a silent life end, monotonic."""
        silent = [w for w in self.workers() if w.runs and not w.reachable]
        return min(
            (worker.lapses_at for worker in [*self._absent, *silent]),
            default=float("inf"),
        )

    def lease_rows(self) -> Iterator[LeaseRow]:
        """Yields rows of lives on which former owners' leases may last."""
        now = trio.current_time()
        for worker in [*self._absent, *self._by_life.values()]:
            may_last = worker.barred or worker.lease_end is None
            if may_last and not worker.gone:
                left = max(worker.lapses_at - now, 0.0)
                yield LeaseRow(worker.number, round(left, 3), worker.barred)

    def next_life_rows(self) -> Iterator[NextLifeRow]:
        """Yields rows of lives with leases for calls to former lives."""
        now = trio.current_time()
        for worker in [*self._absent, *self._by_life.values()]:
            if worker.gone:
                continue
            if worker.unfenced:
                yield NextLifeRow(worker.number, 0.0, fenced=False)
            elif worker.long_lease_until > now:
                left = round(worker.long_lease_until - now, 3)
                yield NextLifeRow(worker.number, left, fenced=True)

    def lease_clocks(self) -> Iterator[ClockRow]:
        """Yields the clocks of a few workers that answer."""
        now = trio.current_time()
        heard = (w for w in self._by_life.values() if _is_heard(w))
        for worker in itertools.islice(heard, const.MAX_RECORDED_CLOCKS):
            reading = round(worker.clock.latest_reading(now), 3)
            yield ClockRow(worker.number, worker.life.born, reading)

    def heard_numbers(self) -> list[int]:
        """Returns the numbers of the lives that answer."""
        return [w.number for w in self._by_life.values() if _is_heard(w)]

    def note_former_ended(self, epoch: int) -> None:
        """Shortens former leases, as a former owner renews none any more."""
        self._former_leases.note_ended(epoch)
        self._shorten_former_leases()

    def note_formers_fenced(self) -> None:
        """Shortens former leases, as no former owner is confirmed any more."""
        self._former_leases.note_fenced()
        self._shorten_former_leases()
        if self._has_adopted:
            # A successor counts from the clocks that have been heard by now.
            self._former_leases.record()

    def _shorten_former_leases(self) -> None:
        for worker in [*self._absent, *self._by_life.values()]:
            until = self._leases_until(worker.number, worker.life.born)
            worker.former_leases_until = min(worker.former_leases_until, until)
        if self._has_adopted:
            self._end_absent_lives()

    def _leases_until(self, number: int, born: int) -> float:
        """Returns until when leases may last that others granted on a life."""
        until = self._former_leases.until(number)
        return max(until, self._next_lives.until(number)) if born else until

    async def start_keepers(self) -> None:
        """Starts the keepers of new lives, one per pass of the event loop.

        Each keeper makes its first call in the next pass, and that call is
        what costs time.
        """
        while self._idle_keepers:
            self._parts.nursery.start_soon(self._idle_keepers.pop(0).run)
            await trio.lowlevel.checkpoint()

    async def poll(self) -> None:
        """Reads the directory and applies its present list."""
        asked_at = trio.current_time()
        try:
            lives = await self._directory.poll(const.ROSTER_TIMEOUT)
        except StoreUnavailableError as error:
            if not self._directory_away:
                note("directory_lost", reason=str(error))
            self._directory_away = True
            return
        if self._directory_away:
            note("directory_regained", workers=len(lives))
        self._directory_away = False
        self._read_at = asked_at
        lives = self._filter_ended(lives)
        listed = {life.id: life for life in lives}
        self._listed_count = len(listed)
        services = self._config().services
        for life in lives:
            if life.service in services or life.id in self._by_life:
                self._apply_listed_life(life)
        if self._has_adopted:
            self._end_replaced_lives(lives)
        for worker in self._by_life.values():
            worker.listed = worker.life.id in listed
            # Without the store, a bar couldn't be lifted.
            may_bar = not self._parts.cell.ledger.store_away
            lease_unknown = not worker.listed or worker.lease_end is None
            if not worker.reachable and (may_bar or lease_unknown):
                self._former_leases.bar(worker)
        self._end_absent_lives()
        for life_id, worker in list(self._by_life.items()):
            if worker.gone and not worker.runs:
                del self._by_life[life_id]
                self._keepers.pop(life_id)
                self._forget_worker(worker)
                if worker.replaced:
                    # The directory entry outlives its worker by seconds.
                    self._ended_birth_times[life_id] = worker.life.born

    def _filter_ended(self, lives: Iterable[WorkerLife]) -> list[WorkerLife]:
        """Leaves out lives that have ended; forgets those no longer listed."""
        listed = list(lives)
        ids = {life.id for life in listed}
        self._ended_birth_times = {
            i: born for i, born in self._ended_birth_times.items() if i in ids
        }
        return [
            life
            for life in listed
            if life.id not in self._ended_birth_times
            or life.is_after(self._ended_birth_times[life.id])
        ]

    def adopt(self, runs: Iterable[tuple[Task, Run]]) -> None:
        """Assigns restored runs to their workers, listed or not."""
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
            late_starts.adopt(
                task, run, worker.life, silent=self._was_silent(run.worker)
            )
            worker.add(task, run)
        for worker in by_number.values():
            worker.isolate_adopted(trio.current_time())
        self._parts.cell.crashes.adopt(by_number.values())
        for worker in self._absent:
            successor = self._by_life.get(worker.life.id)
            if successor is not None:
                self._replace_absent(worker, successor)
        self._end_absent_lives()
        self._absent.log_waits()
        self._has_adopted = True

    def _was_silent(self, number: int) -> bool:
        """Returns whether the former owner surely renewed no lease on a life.

        Only such calls to a life may come late to a later one of its id.
        """
        return self._former_leases.is_record_of_last and (
            self._former_leases.was_barred(number)
            or self._next_lives.was_unfenced(number)
        )

    def note_born(self, worker: Worker, born: int) -> None:
        """Records the birth time in a worker's reply.

        It may be that of the next life of this id, which the directory lists
        later. That life then replaces the former one.
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
            self._bound_long_leases(worker)

    def note_replaced(self, worker: Worker) -> None:
        """Drops the number of a replaced life; no run may be on it any more.

        Its removal is recorded together with the changes to its jobs.
        Otherwise a new owner would take it for a life that has only just ended.
        """
        self.numbers.forget(worker.number)
        self._witnesses.note_ended(worker.number)

    def note_answer(self, worker: Worker, asked: float) -> None:
        """Counts an answer; see `LifeListener`."""
        if not worker.adopted:
            clock = worker.number, worker.life.born, worker.clock.reading
            self._parts.cell.late_starts.note_clock(*clock)
            is_older = self._next_lives.note_clock(*clock)
            if self._former_leases.note_clock(*clock) or is_older:
                self._shorten_former_leases()
        self._witnesses.note_answer(worker.number, asked)
        if not self._witnesses.formers_fenced:
            # A machine runs one life at a time, so its other lives have ended.
            for number in self._witnesses.formers_on(worker.life.machine):
                if number != worker.number:
                    self._witnesses.note_ended(number)

    def _end_absent_lives(self) -> None:
        machines = {w.life.machine for w in self._by_life.values()}
        self._absent.end_lives(machines, self._parts.cell)

    def _replace_absent(self, absent: Worker, successor: Worker) -> None:
        """Moves the runs of an absent life to the next life of its id.

        A start that the former owner sent may still begin there.
        """
        self._absent.remove(absent.number)
        self.numbers.forget(absent.number)
        self._parts.cell.crashes.note_replaced(absent)
        runs = [(task, run) for (task, _), run in absent.runs.items()]
        self._move_runs(runs, successor)

    def _apply_listed_life(self, life: WorkerLife) -> None:
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
        """Replaces a life by the next one of its id."""
        note("worker_restarted", worker=life.id, born=life.born)
        unsure = self._keepers[life.id].end_for_next_life(
            "it has started again"
        )
        self._forget_worker(former)
        self._witnesses.note_ended(former.number)
        worker = self._add(life)
        self._move_runs(unsure, worker)
        self._parts.cell.wake()

    def _move_runs(
        self, runs: Iterable[tuple[Task, Run]], worker: Worker
    ) -> None:
        """Assigns runs to a life on which they may begin, until it lists."""
        worker.may_get_former_orders = True
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
        at_once = self._parts.cell.terms.orders_at_once(self._listed_count)
        worker = Worker(life, number, self._dialer.link(life), at_once)
        worker.former_leases_until = self._leases_until(number, life.born)
        if life.draining:
            worker.draining_since = trio.current_time()
        worker.newly_listed = not self.numbers.is_inherited(number)
        worker.restarts = self._met_lives[life.id]
        self._met_lives[life.id] += 1
        self._bound_long_leases(worker)
        self._by_life[life.id] = worker
        keeper = LeaseKeeper(worker, self._parts.cell, self._parts.stops)
        self._keepers[life.id] = keeper
        self._idle_keepers.append(keeper)
        self._parts.cell.crashes.note_listed(life)
        note("worker_listed", worker=life.id, number=number)
        same = self._absent.remove(number)
        if same is not None:
            self._former_leases.bar(worker)
            for (task, _), run in same.runs.items():
                worker.add(task, run)
        for absent in self._absent:
            if absent.life.id == life.id:
                self._replace_absent(absent, worker)
        return worker

    def _bound_long_leases(self, worker: Worker) -> None:
        """Bounds the leases for calls to former lives of a worker's id."""
        if not worker.life.born:
            # An id names one life.
            return
        if self.numbers.is_inherited(worker.number):
            worker.unfenced = self._next_lives.may_be_unfenced(worker.number)
            worker.long_lease_until = self._next_lives.until(worker.number)
        else:
            worker.unfenced = (
                worker.restarts > 0 or self._next_lives.has_formers
            )
        # Also without a row: the record tells that it knows the life.
        self._next_lives.record()

    def _forget_worker(self, worker: Worker) -> None:
        """Drops what is kept for a life that has ended."""
        self.numbers.forget(worker.number)
        self._witnesses.forget(worker.number)
        self._parts.forget_life(worker.life.id)
        self._parts.nursery.start_soon(worker.link.aclose)

    def _end_replaced_lives(self, lives: list[WorkerLife]) -> None:
        """Ends lives of VMs of which another life is listed.

        A directory entry outlives its worker by seconds: a life that is still
        listed has ended if a later born one of its VM is listed.
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
                self._keepers[life_id].end_life(
                    "its machine has another life", replaced=True
                )


def _is_heard(worker: Worker) -> bool:
    """Returns whether a life has answered this owner and still does."""
    return worker.adopted and worker.reachable and not worker.gone
