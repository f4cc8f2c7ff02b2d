"""Attributes worker crashes to the tasks that ran on the crashed worker."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
import math
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.life_numbers import KnownLife
from pimentocross.owner.silent_lives import SilentLives
from pimentocross.owner.worker import RunKey, Worker
from pimentocross.owner.worker_ends import WorkerEnd, WorkerEnds
from pimentocross.work.crash_history import (
    MAX_UNDECIDED_WAIT,
    NO_CRASHES,
    OUTAGE_WINDOW,
    STARTUP_CRASH_WINDOW,
    SURE_CRASH_WINDOW,
    Crash,
    is_outage,
)
from pimentocross.work.records import SuspectRunRow
from pimentocross.work.state import Run, RunState, Task

# Workers of one rack that ended within so many seconds of each other count as
# one outage. Their ends are detected at different times, each when the next
# life of the VM answers.
_RACK_OUTAGE_SPAN: Final = 4.0


class _AffectedRun(NamedTuple):
    """A task that may have crashed its worker, and the evidence of its run."""

    task: Task
    crash: Crash


class Crashes:
    """Counts worker crashes per task and gives up the tasks that cause them.

    A worker that doesn't answer may only be cut off from the network, so a
    crash is counted only once another life of the same VM is known.
    """

    def __init__(
        self,
        book: JobRegistry,
        workers: Callable[[], Iterable[Worker]],
        silent_lives: SilentLives,
        ends: WorkerEnds,
    ) -> None:
        """Initializes the tracker without any crashes.

        Args:
            book: The jobs of the cell.
            workers: Returns the workers in use.
            silent_lives: Records which runs silent workers had.
            ends: Records which workers have ended recently.
        """
        self._book = book
        self._silent_lives = silent_lives
        self._ends = ends
        # Crash data that a former owner recorded of runs whose workers haven't
        # answered this owner yet.
        self._recorded_crashes: dict[RunKey, Crash] = {}
        self._workers = workers
        # Runs whose lease lapsed on silent workers, until the worker answers or
        # is replaced.
        self._lapsed: dict[Worker, list[_AffectedRun]] = {}
        # Lives that were given up and have no successor yet, by VM.
        self._unreplaced: dict[str, tuple[KnownLife, list[_AffectedRun]]] = {}
        # Number of likely crashes per task among the lapsed runs.
        self._undecided: Counter[Task] = Counter()

    def adopt(self, workers: Iterable[Worker]) -> None:
        """Restores what a former owner recorded about silent workers.

        Args:
            workers: All workers that may run something, listed or not. Their
                runs must already be assigned to them.
        """
        known = list(workers)
        for life, rows in self._silent_lives.restored():
            self._adopt(life, rows, known)
        for worker in known:
            if worker.listed:
                self.note_listed(worker.life)

    def _adopt(
        self,
        life: KnownLife,
        rows: Iterable[SuspectRunRow],
        known: list[Worker],
    ) -> None:
        lapsed = []
        for row in rows:
            task = self._book.find_task(row.task)
            if task is None or task.done or task.step.job.ended:
                continue
            crash = Crash(row.run, row.lived, row.sure, row.isolated)
            if row.run in task.runs:
                self._recorded_crashes[task, row.run] = crash
            else:
                lapsed.append(_AffectedRun(task, crash))
        if not lapsed:
            return
        for worker in known:
            is_same_life = worker.life.id == life.id
            if is_same_life and not worker.life.is_after(life.born):
                self._add_lapsed(worker, lapsed)
                return
        if life.machine:
            self._unreplaced[life.machine] = (life, lapsed)

    def note_silent(self, worker: Worker) -> None:
        """Records the runs that may have crashed a worker that went silent."""
        # A draining worker is expected to leave. What ran on a worker that
        # never answered this owner is known to the former owner alone.
        if worker.life.draining or worker.last_reply_at == float("-inf"):
            return
        rows = [
            SuspectRunRow(
                task.name, crash.run, crash.lived, crash.sure, crash.isolated
            )
            for task, crash in self._observed_runs(worker)
            if crash.is_early or task.crash_history.crashes
        ]
        self._silent_lives.note_silent(worker.life, rows)

    def sweep(self) -> None:
        """Drops records of silent workers that are too old to be resolved."""
        self._silent_lives.sweep()

    def note_lapsed(self, worker: Worker) -> None:
        """Keeps the runs of a silent worker whose lease has lapsed."""
        self._add_lapsed(worker, self._affected_runs(worker))

    def _add_lapsed(self, worker: Worker, affected: list[_AffectedRun]) -> None:
        self._lapsed.setdefault(worker, []).extend(affected)
        until = trio.current_time() + MAX_UNDECIDED_WAIT
        for task, crash in affected:
            if crash.is_early:
                self._undecided[task] += 1
            if task.crash_history.must_wait(self._undecided[task]):
                task.not_before = until

    def note_responding(self, worker: Worker) -> None:
        """Clears suspicion of a crash after a worker's first answer.

        Also called for the first answer after a silence.
        """
        self._silent_lives.forget(worker.life.id)
        if self._recorded_crashes:
            for key in worker.runs:
                self._recorded_crashes.pop(key, None)
        self._release_waiting(self._lapsed.pop(worker, []))

    def note_replaced(self, worker: Worker) -> None:
        """Counts a crash, as another life has taken the place of this one.

        A worker that was draining, or that had ended before, isn't counted.

        Args:
            worker: The life that has ended. Its runs must still be assigned
                to it.
        """
        lapsed = self._lapsed.pop(worker, [])
        # A draining worker was expected to leave. The entry of a worker may
        # still be listed after a former owner saw it end: that end isn't new.
        if worker.was_up and not worker.life.draining:
            self._record_crash(worker, [*lapsed, *self._affected_runs(worker)])
        self._silent_lives.forget(worker.life.id)
        self._release_waiting(lapsed)

    def note_absent(self, worker: Worker) -> None:
        """Keeps the runs of a life that was given up for an unknown reason.

        They count as crashed once the next life of its VM is listed, unless
        the life was draining.
        """
        lapsed = self._lapsed.pop(worker, [])
        life = worker.life
        affected = [*lapsed, *self._affected_runs(worker)]
        if affected and life.machine and not life.draining:
            known = KnownLife(life.id, life.machine, life.born)
            self._unreplaced[life.machine] = (known, affected)
        else:
            self._silent_lives.forget(life.id)
        self._release_waiting(lapsed)

    def note_listed(self, life: WorkerLife) -> None:
        """Counts the crash of a former life as the VM's next one is listed."""
        if life.machine not in self._unreplaced:
            return
        former, affected = self._unreplaced.pop(life.machine)
        self._silent_lives.forget(former.id)
        if former.id != life.id or life.is_after(former.born):
            self._attribute_crash(former.id, affected, in_outage=False)

    def _release_waiting(self, lapsed: list[_AffectedRun]) -> None:
        """Lets tasks start that waited until these crashes were resolved."""
        now = trio.current_time()
        for task, crash in lapsed:
            if not crash.is_early:
                continue
            self._undecided[task] -= 1
            if not task.crash_history.must_wait(self._undecided[task]):
                task.not_before = min(task.not_before, now)
            if not self._undecided[task]:
                del self._undecided[task]

    def note_ended(self, task: Task, run: Run | None) -> None:
        """Clears a task's crashes after a run that ended without a crash."""
        if run is not None and task.crash_history.crashes:
            task.crash_history = NO_CRASHES
            self._book.record_crashes(task.step.job)

    def note_listed_runs(self, worker: Worker) -> None:
        """Clears tasks whose runs have lived long enough, and ends isolation.

        The change is recorded at once, as a new owner doesn't know for how long
        the runs had lived.
        """
        for task, number in list(worker.suspects):
            former, run = task.crash_history, worker.runs[task, number]
            task.crash_history = former.after_living(
                worker.lived(run), lasting=task.step.spec.lasting
            )
            if task.crash_history is not former:
                self._book.record_crashes(task.step.job)
            if not task.crash_history.crashes:
                worker.suspects.discard((task, number))
        worker.end_isolation(trio.current_time())

    def _affected_runs(self, worker: Worker) -> list[_AffectedRun]:
        return [
            _AffectedRun(task, self._crash_of(worker, task, run))
            for (task, _), run in worker.runs.items()
            if run.state is not RunState.DECIDED
        ]

    def _crash_of(self, worker: Worker, task: Task, run: Run) -> Crash:
        crash = _crash_of(worker, task, run)
        if not _is_unconfirmed(run):
            return crash
        recorded = self._recorded_crashes.get((task, run.number))
        if recorded is not None:
            return recorded
        if self._silent_lives.has_record(worker.life):
            # The record holds every run that had just started there, so this
            # one had lived longer.
            return crash._replace(lived=max(crash.lived, STARTUP_CRASH_WINDOW))
        return crash

    def _observed_runs(self, worker: Worker) -> Iterator[_AffectedRun]:
        """Yields the runs that this owner started, saw or has a record of."""
        for found in self._affected_runs(worker):
            key = (found.task, found.crash.run)
            if key in self._recorded_crashes or not _is_unconfirmed(
                worker.runs[key]
            ):
                yield found

    def _record_crash(
        self, worker: Worker, affected: list[_AffectedRun]
    ) -> None:
        in_outage = self._is_outage(worker)
        explained = any(found.crash.is_early for found in affected)
        rack = worker.life.rack
        self._ends.note(WorkerEnd(_ended_at(worker), rack, explained))
        note(
            "worker_crashed",
            worker=worker.life.id,
            runs=len(affected),
            outage=in_outage,
        )
        self._attribute_crash(worker.life.id, affected, in_outage)

    def _is_outage(self, worker: Worker) -> bool:
        """Returns whether a worker may have crashed independently of its tasks.

        That is so if another worker of its rack ended on which nothing had just
        started, or if many such workers ended anywhere in the cell.
        """
        now, rack = trio.current_time(), worker.life.rack
        unexplained = [e for e in self._ends.recent() if not e.explained]
        workers = list(self._workers())
        if is_outage((e.at for e in unexplained), len(workers)):
            return True
        if any(
            ended.rack == rack and ended.at >= now - _RACK_OUTAGE_SPAN
            for ended in unexplained
        ):
            return True
        return any(
            other.life.rack == rack
            and not other.reachable
            and not other.gone
            and other.was_up
            and other is not worker
            and not any(
                found.crash.is_early for found in self._affected_runs(other)
            )
            for other in workers
        )

    def _background_hazard(self, task: Task) -> float:
        """Returns the rate of worker ends that a task didn't cause.

        The unit is ends per second and worker.
        """
        workers = sum(1 for _ in self._workers())
        own = task.crash_history.crashes + 1
        others = max(len(self._ends.recent()) - own, 0)
        return others / (OUTAGE_WINDOW * max(workers, 1))

    def _attribute_crash(
        self, life: str, affected: list[_AffectedRun], in_outage: bool
    ) -> None:
        for task, found in affected:
            job = task.step.job
            if task.done or job.ended:
                continue
            crash = found._replace(
                in_outage=in_outage,
                hazard=max(found.hazard, self._background_hazard(task)),
            )
            lasting = task.step.spec.lasting
            former, task.crash_history = (
                task.crash_history,
                task.crash_history.after(crash, lasting=lasting),
            )
            if task.crash_history is former:
                continue
            self._book.record_crashes(job)
            note(
                "task_crashed",
                task=task.name,
                worker=life,
                crashes=task.crash_history.crashes,
                early=task.crash_history.early,
                lived=round(crash.lived, 3),
                isolated=crash.isolated,
            )
            if task.crash_history.gives_up(crash, lasting=lasting):
                note(
                    "task_given_up",
                    task=task.name,
                    worker=life,
                    crashes=task.crash_history.crashes,
                )
                job.given_up = True
                self._book.changed(job)


def _is_sure(worker: Worker, run: Run) -> bool:
    """Returns whether a worker ended soon after a run had surely begun."""
    if run.state is not RunState.RUNNING:
        return False
    return _ended_at(worker) - run.state_at <= SURE_CRASH_WINDOW


def _ended_at(worker: Worker) -> float:
    """Returns the latest monotonic time at which a worker may have ended."""
    return trio.current_time() if worker.reachable else worker.silent_since


def _is_unconfirmed(run: Run) -> bool:
    """Returns whether a former owner's run was never listed to this owner."""
    return run.is_adopted and not run.began_at


def _crash_of(worker: Worker, task: Task, run: Run) -> Crash:
    """Returns the evidence that the end of a worker gives about a run.

    For a run that was never listed to this owner, neither the time that a
    former owner saw it live nor the rate of worker ends at that time is known.
    If the task's record says that a run of it had outlived the earlier crashes,
    this crash may have any cause.
    """
    history = task.crash_history
    crash = Crash(
        run.number,
        worker.lived(run),
        _is_sure(worker, run),
        (task, run.number) in worker.isolated,
    )
    if _is_unconfirmed(run) and history.crashes and not history.early:
        lived = max(history.survived, crash.lived)
        return crash._replace(lived=lived, hazard=math.inf)
    return crash
