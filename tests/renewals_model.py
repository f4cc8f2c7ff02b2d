"""Model of who may still renew leases, with the real rules under random faults.

Processes own a cell in turn and renew leases on workers. Each process has
clocks of its own and is suspended, frozen or cut off at times; calls arrive
seconds late, answers are lost, appends are stored without an acknowledgement,
and workers end. An owner that waits for a worker that it doesn't reach must
find no lease of a former owner there once it stops waiting.

`python -m tests.renewals_model FIRST LAST` plays more worlds than CI does.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
import random
import sys
from typing import Final, NamedTuple
from unittest import mock

import trio

from pimentocross.owner import boot_clock, const
from pimentocross.owner.clock import WorkerClock
from pimentocross.owner.confirmation import Confirmation
from pimentocross.owner.former_leases import FormerLeases, Predecessor
from pimentocross.owner.ledger import Recordable
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.witnesses import Witnesses
from pimentocross.work import records
from pimentocross.work.records import ClockRow, LeaseRow

_STEP: Final = 0.1
_DURATION: Final = 150.0
_PROCESSES: Final = 4
_WORKERS: Final = 5
_TERMS: Final = OwnerTerms()
_MOST_LATE: Final = 12.0
# Seconds without an answer after which an owner may bar a worker.
_SILENT_AFTER: Final = 2.0


class Violation(NamedTuple):
    """A lease that lasted although an owner had stopped waiting for it."""

    at: float
    owner: int
    granted_by: int
    worker: int


class _Worker:
    """A worker life; its clock may be slow."""

    def __init__(self, world: "World", number: int, machine: str) -> None:
        self.number = number
        self.machine = machine
        self.token = 0
        self.granted_by = 0
        self.ended = False
        self._world = world
        self._rate = world.draw.uniform(1 - const.CLOCK_DRIFT, 1.0)
        self._offset = world.draw.uniform(0.0, 1000.0)
        self._lease_end = 0.0

    def clock(self) -> float:
        return self._offset + self._rate * self._world.now

    @property
    def leased(self) -> bool:
        return not self.ended and self.clock() < self._lease_end

    def hold(self, epoch: int, deadline: float | None) -> bool:
        """Carries a call out; returns False if its owner is fenced."""
        if epoch < self.token:
            return False
        self.token = epoch
        if deadline is not None and deadline > self._lease_end:
            self._lease_end, self.granted_by = deadline, epoch
        return True


class _Stored:
    """Whether a batch of records is stored."""

    def __init__(self) -> None:
        self._set = False

    def set(self) -> None:
        self._set = True

    def is_set(self) -> bool:
        return self._set


class _Batch:
    def __init__(self) -> None:
        self.items: dict[str, Recordable] = {}
        self.values: dict[str, bytes | None] = {}
        self.began = boot_clock.NEVER
        self.is_stored = False
        self.stored = _Stored()


class _Ledger:
    """A ledger whose appends the world carries out."""

    def __init__(self) -> None:
        self.confirmed_at = boot_clock.NEVER
        self.open_batch = _Batch()
        self.in_flight: _Batch | None = None

    def put(self, item: Recordable) -> _Batch:
        self.open_batch.items[item.key] = item
        return self.open_batch

    def put_with_next(self, item: Recordable) -> None:
        self.open_batch.items[item.key] = item


class _Store:
    def __init__(self) -> None:
        self.epoch = 0
        self.newest: dict[str, bytes | None] = {}


class _Known:
    """What an owner knows of a worker life."""

    def __init__(self, worker: _Worker) -> None:
        self.worker = worker
        self.clock = WorkerClock()
        self.heard = False
        self.barred = False
        self.unbarred: _Stored | None = None
        self.until = float("inf")
        self.lease_end = 0.0
        self.answered_at = 0.0

    @property
    def lapses_at(self) -> float:
        """When all leases on the worker must have ended, monotonic."""
        if not self.heard:
            return self.until
        return self.clock.latest_time_of(self.lease_end)


class _Owner:
    """One owner, made of the real rules."""

    def __init__(self, process: "_Process", epoch: int) -> None:
        self.process = process
        self.world = process.world
        self.epoch = epoch
        self.ledger = _Ledger()
        self.known: dict[int, _Known] = {}
        formers = [
            Predecessor(e, ended=False, confirms=True)
            for e in range(epoch - 1, 0, -1)
        ]
        ledger = self.ledger
        self.leases = FormerLeases(
            epoch,
            formers,
            _TERMS,
            ledger,  # type: ignore[arg-type]
            quiet=False,
        )
        self.witnesses = Witnesses(epoch, ledger)  # type: ignore[arg-type]
        self.confirmation = Confirmation(
            ledger,  # type: ignore[arg-type]
            self.witnesses,
            _TERMS,
        )

    def open(self) -> None:
        """Fences the store, and reads what former owners recorded."""
        store = self.world.store
        store.epoch = self.epoch
        self.ledger.confirmed_at = boot_clock.now()
        self.leases.begin()
        for key, restore in (
            (records.LEASES, self.leases.restore),
            (records.WITNESSES, self.witnesses.restore),
        ):
            value = store.newest.get(key)
            if value is not None:
                restore(value)
        self.leases.apply_former_record()
        for worker in self.world.workers:
            self._add(worker)
        self.witnesses.open(
            trio.current_time(),
            lambda number: self.world.workers[number].machine,
            self._on_fenced,
            self._heard_numbers,
        )
        self.leases.start_recording(self._lease_rows, self._lease_clocks)

    def _add(self, worker: _Worker) -> _Known:
        known = self.known[worker.number] = _Known(worker)
        known.until = self.leases.until(worker.number)
        return known

    def _on_fenced(self) -> None:
        self.leases.note_fenced()
        self._shorten()
        self.leases.record()

    def _shorten(self) -> None:
        for number, known in self.known.items():
            known.until = min(known.until, self.leases.until(number))

    def _heard_numbers(self) -> list[int]:
        return [n for n, known in self.known.items() if known.heard]

    def _lease_rows(self) -> Iterator[LeaseRow]:
        now = trio.current_time()
        for number, known in self.known.items():
            if known.barred or not known.heard:
                left = max(known.lapses_at - now, 0.0)
                yield LeaseRow(number, left, known.barred)

    def _lease_clocks(self) -> Iterator[ClockRow]:
        now = trio.current_time()
        for number, known in self.known.items():
            if known.heard:
                yield ClockRow(number, 1, known.clock.latest_reading(now))

    def step(self) -> None:
        """Writes, calls workers, and counts what it has waited for."""
        draw = self.world.draw
        self.witnesses.update()
        self.leases.refresh()
        for worker in self.world.workers:
            known = self.known.get(worker.number) or self._add(worker)
            silent = trio.current_time() - known.answered_at > _SILENT_AFTER
            if silent and not known.barred and draw.random() < 0.2:
                known.barred = True
                self.leases.record()
            if draw.random() < 0.4:
                self._call(known)
        self.world.append(self)

    def _call(self, known: _Known) -> None:
        now, asked = trio.current_time(), boot_clock.now()
        deadline = None
        may_renew = known.unbarred is None or known.unbarred.is_set()
        if known.heard and not known.barred and may_renew:
            lease = self.confirmation.lease(asked)
            if lease > 0:
                deadline = known.clock.after(lease, now)
                known.lease_end = max(known.lease_end, deadline)
        self.world.send(self, known.worker, deadline, now, asked)

    def on_answer(
        self, worker: _Worker, reading: float, sent_at: float, asked: float
    ) -> None:
        """Processes a worker's answer."""
        now = trio.current_time()
        known = self.known.get(worker.number) or self._add(worker)
        known.clock.note(reading, sent_at, now)
        known.answered_at = now
        if known.barred:
            known.barred = False
            known.unbarred = self.leases.record()  # type: ignore[assignment]
        if not known.heard:
            known.heard = True
            known.lease_end = known.clock.after(_TERMS.lease, now)
            if self.leases.note_clock(worker.number, 1, known.clock.reading):
                self._shorten()
        self.witnesses.note_answer(worker.number, asked)
        for number in self.witnesses.formers_on(worker.machine):
            if number != worker.number:
                self.witnesses.note_ended(number)

    def no_longer_awaited(self) -> Iterator[_Worker]:
        """Yields the silent workers whose leases must have ended."""
        now = trio.current_time()
        for known in self.known.values():
            silent = known.barred or not known.heard
            if silent and now > known.lapses_at:
                yield known.worker


class _Process:
    """A process with clocks of its own."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.reaches_store = True
        self.cut: set[int] = set()
        self.owner: _Owner | None = None
        self.stopped_until = 0.0
        self.inbox: list[tuple[float, Callable[[], None]]] = []
        self._steady_lost = 0.0

    def steady(self) -> float:
        return self.world.now - self._steady_lost

    def suspend(self, seconds: float) -> None:
        """Stops the process; its steady clock doesn't count the time."""
        self.freeze(seconds)
        self._steady_lost += seconds

    def freeze(self, seconds: float) -> None:
        self.stopped_until = self.world.now + seconds

    @contextmanager
    def running(self) -> Iterator[None]:
        """Makes the rules in the block read the clocks of this process."""
        with mock.patch.object(trio, "current_time", self.steady):
            yield


class World:
    """A store, workers and the processes that own their cell in turn."""

    def __init__(self, seed: int, *, repeats_confirm: bool = False) -> None:
        """Initializes a world.

        Args:
            seed: Seed of all choices.
            repeats_confirm: Whether a repeated append that is acknowledged
                confirms its owner as of the repeat, which breaks a rule.
        """
        self.now = 0.0
        self.draw = random.Random(seed)
        self.store = _Store()
        self.violations: list[Violation] = []
        # Number of times that an owner stopped waiting for a worker.
        self.waits: list[float] = []
        self.workers: list[_Worker] = []
        self._repeats_confirm = repeats_confirm
        self._unacknowledged = self.draw.choice((0.1, 0.5, 0.9))
        self._stop_rate = self.draw.choice((0.005, 0.03))
        self._replace_rate = self.draw.choice((0.002, 0.02))
        self._processes = [_Process(self, n) for n in range(_PROCESSES)]
        self._events: list[tuple[float, Callable[[], None]]] = []
        self._epoch = 0
        self._reported: set[tuple[int, int]] = set()
        for number in range(_WORKERS):
            self.workers.append(_Worker(self, number, f"m{number}"))

    def play(self) -> list[Violation]:
        """Plays the world and returns its violations."""
        with mock.patch.object(boot_clock, "now", self.boot_time):
            while self.now < _DURATION and not self.violations:
                self.now += _STEP
                self._change()
                self._deliver()
                for process in self._processes:
                    self._step(process)
                self._check()
        return self.violations

    def boot_time(self) -> float:
        """Returns the time since boot, which no suspension stops."""
        return self.now

    def send(
        self,
        owner: _Owner,
        worker: _Worker,
        deadline: float | None,
        sent_at: float,
        asked: float,
    ) -> None:
        """Sends a call that arrives now, late, or never."""
        draw = self.draw
        if worker.ended or worker.number in owner.process.cut:
            return
        late = draw.random() < 0.05
        delay = draw.uniform(1.0, _MOST_LATE) if late else 0.0
        answered = not late and draw.random() < 0.9

        def arrive() -> None:
            if worker.ended or not worker.hold(owner.epoch, deadline):
                if answered and not worker.ended:
                    owner.process.inbox.append(
                        (self.now, lambda: self._end(owner))
                    )
                return
            reading = worker.clock()
            if answered:
                owner.process.inbox.append(
                    (
                        self.now + draw.uniform(0.0, 1.0),
                        lambda: owner.on_answer(
                            worker, reading, sent_at, asked
                        ),
                    )
                )

        self._events.append((self.now + delay, arrive))

    def append(self, owner: _Owner) -> None:
        """Carries out or repeats the append of an owner."""
        ledger, draw = owner.ledger, self.draw
        if ledger.in_flight is None:
            if draw.random() < 0.5:
                return
            batch = ledger.in_flight = ledger.open_batch
            ledger.open_batch = _Batch()
            batch.began = boot_clock.now()
            batch.values = {k: i.encode() for k, i in batch.items.items()}
        batch = ledger.in_flight
        if not owner.process.reaches_store:
            return
        if not batch.is_stored:
            if owner.epoch < self.store.epoch:
                self._end(owner)
                return
            self.store.newest.update(batch.values)
            batch.is_stored = True
        if draw.random() < self._unacknowledged:
            return
        # Also a repeat of a stored append is answered, whoever came after.
        ledger.in_flight = None
        ledger.confirmed_at = batch.began
        if self._repeats_confirm:
            ledger.confirmed_at = boot_clock.now()
        for item in batch.items.values():
            item.stored()
        batch.stored.set()

    def _end(self, owner: _Owner) -> None:
        if owner.process.owner is owner:
            owner.process.owner = None

    def _step(self, process: _Process) -> None:
        if self.now < process.stopped_until:
            return
        with process.running():
            due = [e for e in process.inbox if e[0] <= self.now]
            process.inbox = [e for e in process.inbox if e[0] > self.now]
            for _, act in due:
                act()
            if process.owner is not None:
                process.owner.step()

    def _deliver(self) -> None:
        due = [event for event in self._events if event[0] <= self.now]
        self._events = [event for event in self._events if event[0] > self.now]
        for _, arrive in due:
            arrive()

    def _change(self) -> None:
        draw = self.draw
        process = draw.choice(self._processes)
        if draw.random() < 0.01:
            process.reaches_store = not process.reaches_store
        if draw.random() < 0.02:
            self._cut(process)
        if draw.random() < 0.01:
            self._isolate_owner()
        if draw.random() < self._stop_rate:
            stop = draw.choice((process.suspend, process.freeze))
            stop(draw.uniform(0.5, 20.0))
        if draw.random() < self._replace_rate:
            self._replace_worker(draw.choice(self.workers))
        if draw.random() < 0.02:
            self._claim(draw.choice(self._processes))

    def _cut(self, process: _Process) -> None:
        """Changes which workers a process reaches; often few or all."""
        alive = [w.number for w in self.workers if not w.ended]
        count = self.draw.randint(0, len(alive))
        process.cut = set(self.draw.sample(alive, count))

    def _isolate_owner(self) -> None:
        """Lets an owner reach only workers that no other process reaches."""
        owners = [p for p in self._processes if p.owner is not None]
        if not owners:
            return
        alone = self.draw.choice(owners)
        alive = {w.number for w in self.workers if not w.ended}
        count = self.draw.randint(1, len(alive))
        reached = set(self.draw.sample(sorted(alive), count))
        for process in self._processes:
            process.cut = alive - reached if process is alone else reached
        alone.reaches_store = False

    def _replace_worker(self, worker: _Worker) -> None:
        if not worker.ended:
            worker.ended = True
            self.workers.append(
                _Worker(self, len(self.workers), worker.machine)
            )

    def _claim(self, process: _Process) -> None:
        if not process.reaches_store or self.now < process.stopped_until:
            return
        self._epoch += 1
        with process.running():
            process.owner = _Owner(process, self._epoch)
            process.owner.open()

    def _check(self) -> None:
        for process in self._processes:
            owner = process.owner
            if owner is None or self.now < process.stopped_until:
                continue
            with process.running():
                for worker in owner.no_longer_awaited():
                    self._check_lease(owner, worker)

    def _check_lease(self, owner: _Owner, worker: _Worker) -> None:
        if (owner.epoch, worker.number) not in self._reported:
            self._reported.add((owner.epoch, worker.number))
            self.waits.append(self.now)
        if worker.leased and worker.granted_by <= owner.epoch:
            self.violations.append(
                Violation(
                    round(self.now, 1),
                    owner.epoch,
                    worker.granted_by,
                    worker.number,
                )
            )


def find_violation(seeds: Iterable[int], **rules: bool) -> str:
    """Returns the first violation in the worlds of some seeds, or ""."""
    for seed in seeds:
        found = World(seed, **rules).play()
        if found:
            return f"seed {seed}: {found[0]}"
    return ""


def main() -> None:
    """Plays the worlds of the given seeds and prints their violations."""
    seeds = range(int(sys.argv[1]), int(sys.argv[2]))
    broken = waits = 0
    for seed in seeds:
        world = World(seed)
        found = world.play()
        waits += len(world.waits)
        broken += bool(found)
        if found:
            print(f"seed {seed}: {found[0]}", flush=True)
    print(f"{broken} of {len(seeds)} worlds had violations; {waits} waits")


if __name__ == "__main__":
    main()
