"""The workers of a cell: follows the directory, keeps one keeper for each."""

from collections.abc import Callable, Iterable, Iterator, Mapping

import trio

from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.contracts.worker_link import (
    WorkerDialer,
    WorkerDirectory,
    WorkerLife,
)
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.breather import Breather
from pimentocross.owner.endings import drop_run, note_lost
from pimentocross.owner.keeper import CellParts, Keeper, Stops
from pimentocross.owner.ledger import Ledger, PlainRecord
from pimentocross.owner.worker import Worker
from pimentocross.work import records
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import WorkerRecord
from pimentocross.work.spec import NO_SIZE
from pimentocross.work.state import Job, Run, Task


class Roster:
    """Worker lives by number; the numbers are in the store."""

    def __init__(
        self,
        directory: WorkerDirectory,
        dialer: WorkerDialer,
        ledger: Ledger,
        blind_until: float,
        config: Callable[[], WorkConfig],
    ) -> None:
        """Takes where workers are listed and how they are reached.

        Args:
            directory: Lists them.
            dialer: Makes links.
            ledger: Where numbers are recorded.
            blind_until: Until when leases of a former owner may last.
            config: Returns the configuration in force. Lives of services that
                it doesn't name aren't called.
        """
        self._config = config
        self._directory = directory
        self._dialer = dialer
        self._ledger = ledger
        self._blind_until = blind_until
        self._known: dict[int, WorkerRecord] = {}
        self._by_life: dict[str, Worker] = {}
        # Lives that runs were recorded on and that aren't listed.
        self._absent: dict[int, Worker] = {}
        self._keepers: dict[str, Keeper] = {}
        # Keepers that don't run yet.
        self._idle_keepers: list[Keeper] = []
        self._next_number = 0
        self._away = False
        # When the newest list that was read had been asked for, monotonic.
        self._read_at = float("-inf")

    def __len__(self) -> int:
        """How many lives may still run something."""
        return len(self._by_life)

    def workers(self) -> Iterator[Worker]:
        """Yields the lives that may still run something."""
        yield from self._by_life.values()

    def knows_room(self, worker: Worker) -> bool:
        """True if a worker's capacity is known well enough to fill it up.

        One that guards its capacity refuses what doesn't fit any more.
        """
        pool = self._config().services.get(worker.life.service)
        if pool is not None and pool.guarded:
            return True
        return trio.current_time() - self._read_at <= const.ROSTER_TRUSTED

    def restore(self, number: int, record: WorkerRecord) -> None:
        """Takes in a number that is in the store."""
        self._known[number] = record
        self._next_number = max(self._next_number, number + 1)

    async def follow(
        self, nursery: trio.Nursery, parts: CellParts, stops: Stops
    ) -> None:
        """Follows the directory for ever."""
        while True:
            await self.poll(nursery, parts, stops)
            await self.start_keepers(nursery)
            await trio.sleep(const.ROSTER_INTERVAL)

    async def start_keepers(self, nursery: trio.Nursery) -> None:
        """Starts the keepers of lives that came in, not all at once."""
        breather = Breather()
        while self._idle_keepers:
            nursery.start_soon(self._idle_keepers.pop(0).run)
            await breather.breathe()

    async def poll(
        self, nursery: trio.Nursery, parts: CellParts, stops: Stops
    ) -> None:
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
        listed = {life.id: life for life in lives}
        services = self._config().services
        for life in lives:
            if life.service in services or life.id in self._by_life:
                self._take(life, parts, stops)
        self._drop_replaced(lives)
        for worker in self._by_life.values():
            worker.listed = worker.life.id in listed
        self._bury_absent(parts)
        for life_id, worker in list(self._by_life.items()):
            if worker.gone and not worker.runs:
                del self._by_life[life_id]
                self._keepers.pop(life_id)
                self._forget(worker.number)
                nursery.start_soon(worker.link.aclose)

    def adopt(self, runs: Iterable[tuple[Task, Run]]) -> None:
        """Ties restored runs to their workers, listed or not."""
        by_number = {w.number: w for w in self._by_life.values()}
        for task, run in runs:
            worker = by_number.get(run.worker)
            if worker is None:
                worker = self._absent_worker(run.worker)
                by_number[run.worker] = worker
            worker.add(task, run)

    def _absent_worker(self, number: int) -> Worker:
        record = self._known.get(number)
        life_id = record.life if record is not None else ""
        machine = record.machine if record is not None else ""
        life = WorkerLife(life_id, machine, "", "", "", (), NO_SIZE, False, 0.0)
        worker = Worker(life, number, self._dialer.link(life))
        worker.blind_until = self._blind_until
        self._absent[number] = worker
        note("worker_absent", worker=life_id, number=number)
        return worker

    def _bury_absent(self, parts: CellParts) -> None:
        """Gives up lives that aren't listed once nothing can run there."""
        now = trio.current_time()
        machines = {w.life.machine for w in self._by_life.values()}
        for number, worker in list(self._absent.items()):
            replaced = worker.life.machine and worker.life.machine in machines
            if now <= worker.blind_until and not replaced:
                continue
            del self._absent[number]
            self._forget(number)
            if replaced:
                parts.crashes.note_replaced(worker)
            else:
                parts.crashes.note_absent(worker)
            note_lost(worker, "never listed")
            jobs: dict[Job, None] = {}
            for task, run_number in list(worker.runs):
                drop_run(task, run_number, worker)
                jobs[task.step.job] = None
            for job in jobs:
                parts.book.changed(job)
            parts.wake()

    def _take(self, life: WorkerLife, parts: CellParts, stops: Stops) -> None:
        worker = self._by_life.get(life.id)
        if worker is None:
            worker = self._add(life)
            parts.crashes.note_listed(life)
            keeper = Keeper(worker, parts, stops)
            self._keepers[life.id] = keeper
            self._idle_keepers.append(keeper)
        elif life != worker.life:
            if life.draining and not worker.life.draining:
                worker.draining_since = trio.current_time()
                note("worker_draining", worker=life.id, left=life.remaining)
            worker.life = life
            parts.wake()

    def _add(self, life: WorkerLife) -> Worker:
        number = self._number(life)
        worker = Worker(life, number, self._dialer.link(life))
        worker.blind_until = self._blind_until
        if life.draining:
            worker.draining_since = trio.current_time()
        self._by_life[life.id] = worker
        absent = self._absent.pop(number, None)
        if absent is not None:
            for (task, _), run in absent.runs.items():
                worker.add(task, run)
        note("worker_listed", worker=life.id, number=number)
        return worker

    def _number(self, life: WorkerLife) -> int:
        for number, record in self._known.items():
            if record.life == life.id:
                return number
        number = self._next_number
        self._next_number += 1
        self._known[number] = WorkerRecord(records.FORM, life.id, life.machine)
        self._ledger.put(
            PlainRecord(
                records.WORKER + str(number),
                lambda: records.encode_worker(life.id, life.machine),
            )
        )
        return number

    def _forget(self, number: int) -> None:
        self._known.pop(number, None)
        key = records.WORKER + str(number)
        self._ledger.put(PlainRecord(key, lambda: None))

    def _drop_replaced(self, lives: list[WorkerLife]) -> None:
        """Buries lives whose machine is listed with another one."""
        newest: Mapping[str, str] = {life.machine: life.id for life in lives}
        listed = {life.id for life in lives}
        for life_id, worker in self._by_life.items():
            machine = worker.life.machine
            if life_id in listed or worker.gone or not machine:
                continue
            if newest.get(machine, life_id) != life_id:
                self._keepers[life_id].bury(
                    "its machine has another life", replaced=True
                )
