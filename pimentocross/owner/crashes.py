"""Puts crashes of workers down to the tasks that ran there."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
import math
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner.doubts import Doubts
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.life_numbers import KnownLife
from pimentocross.owner.worker import RunKey, Worker
from pimentocross.owner.worker_ends import WorkerEnd, WorkerEnds
from pimentocross.work.crash_history import (
    HELD_MOST,
    NO_CRASHES,
    OUTAGE_SPAN,
    PROVEN_AFTER,
    SURE_WITHIN,
    Crash,
    is_outage,
)
from pimentocross.work.records import DoubtRow
from pimentocross.work.state import Run, RunState, Task

# Workers of a rack that went within this of each other, in seconds, went
# together: their ends are learned of as each one's next life answers.
_TOGETHER: Final = 4.0


class _Affected(NamedTuple):
    """A task that may have crashed its worker, and what its run shows."""

    task: Task
    crash: Crash


class Crashes:
    """Counts crashes by task, and gives up the tasks that cause them.

    A worker that is silent may be cut off; a crash is counted once another life
    of its machine is known.
    """

    def __init__(
        self,
        book: JobRegistry,
        workers: Callable[[], Iterable[Worker]],
        doubts: Doubts,
        ends: WorkerEnds,
    ) -> None:
        """Takes what it goes by.

        Args:
            book: The jobs.
            workers: Returns the workers in use.
            doubts: Where it is recorded what silent workers carried.
            ends: Where it is recorded which have ended of late.
        """
        self._book = book
        self._doubts = doubts
        self._ends = ends
        # What a former owner saw of runs whose workers haven't been heard yet.
        self._foretold: dict[RunKey, Crash] = {}
        self._workers = workers
        # Runs that lapsed on silent workers, until those are heard or replaced.
        self._lapsed: dict[Worker, list[_Affected]] = {}
        # Lives that are gone and have no successor yet, by machine.
        self._unreplaced: dict[str, tuple[KnownLife, list[_Affected]]] = {}
        # Likely crashes of each task among those that lapsed.
        self._undecided: Counter[Task] = Counter()

    def adopt(self, workers: Iterable[Worker]) -> None:
        """Takes over what a former owner had seen of silent workers.

        Args:
            workers: All that may run something, listed or not. Their runs have
                to be tied to them.
        """
        known = list(workers)
        for life, rows in self._doubts.restored():
            self._adopt(life, rows, known)
        for worker in known:
            if worker.listed:
                self.note_listed(worker.life)

    def _adopt(
        self, life: KnownLife, rows: Iterable[DoubtRow], known: list[Worker]
    ) -> None:
        lapsed = []
        for row in rows:
            task = self._book.find_task(row.task)
            if task is None or task.done or task.step.job.ended:
                continue
            crash = Crash(row.run, row.lived, row.sure, row.isolated)
            if row.run in task.runs:
                self._foretold[task, row.run] = crash
            else:
                lapsed.append(_Affected(task, crash))
        if not lapsed:
            return
        for worker in known:
            same = worker.life.id == life.id
            if same and not worker.life.is_after(life.born):
                self._lapse(worker, lapsed)
                return
        if life.machine:
            self._unreplaced[life.machine] = (life, lapsed)

    def note_silent(self, worker: Worker) -> None:
        """Records what may have crashed a worker that has fallen silent."""
        # One that drains is expected to leave; what ran on one that was never
        # heard is for a former owner to tell.
        if worker.life.draining or worker.heard_at == float("-inf"):
            return
        rows = [
            DoubtRow(
                task.name, crash.run, crash.lived, crash.sure, crash.isolated
            )
            for task, crash in self._seen(worker)
            if crash.is_early or task.crash_history.crashes
        ]
        self._doubts.note_silent(worker.life, rows)

    def sweep(self) -> None:
        """Forgets what is too old to be decided."""
        self._doubts.sweep()

    def note_lapsed(self, worker: Worker) -> None:
        """Remembers what ran on a silent worker that may have crashed."""
        self._lapse(worker, self._affected(worker))

    def _lapse(self, worker: Worker, affected: list[_Affected]) -> None:
        self._lapsed.setdefault(worker, []).extend(affected)
        until = trio.current_time() + HELD_MOST
        for task, crash in affected:
            if crash.is_early:
                self._undecided[task] += 1
            if task.crash_history.holds(self._undecided[task]):
                task.not_before = until

    def note_heard(self, worker: Worker) -> None:
        """Notes that a worker lives which was silent, or is heard first."""
        self._doubts.settle(worker.life.id)
        if self._foretold:
            for key in worker.runs:
                self._foretold.pop(key, None)
        self._decide(self._lapsed.pop(worker, []))

    def note_replaced(self, worker: Worker) -> None:
        """Notes that a life has ended, as another one took its place.

        Its runs have to be tied to it still.
        """
        lapsed = self._lapsed.pop(worker, [])
        # One that drained was expected to leave; one that a former owner saw
        # end, whose entry is listed still, tells nothing of the present.
        if worker.was_up and not worker.life.draining:
            self._count(worker, [*lapsed, *self._affected(worker)])
        self._doubts.settle(worker.life.id)
        self._decide(lapsed)

    def note_absent(self, worker: Worker) -> None:
        """Notes that a life is given up, how it ended not being known."""
        lapsed = self._lapsed.pop(worker, [])
        life = worker.life
        affected = [*lapsed, *self._affected(worker)]
        if affected and life.machine and not life.draining:
            known = KnownLife(life.id, life.machine, life.born)
            self._unreplaced[life.machine] = (known, affected)
        else:
            self._doubts.settle(life.id)
        self._decide(lapsed)

    def note_listed(self, life: WorkerLife) -> None:
        """Notes a life that is listed, maybe the next one of a machine."""
        if life.machine not in self._unreplaced:
            return
        former, affected = self._unreplaced.pop(life.machine)
        self._doubts.settle(former.id)
        if former.id != life.id or life.is_after(former.born):
            self._judge(former.id, affected, in_outage=False)

    def _decide(self, lapsed: list[_Affected]) -> None:
        """Lets tasks start that waited for what became of these."""
        now = trio.current_time()
        for task, crash in lapsed:
            if not crash.is_early:
                continue
            self._undecided[task] -= 1
            if not task.crash_history.holds(self._undecided[task]):
                task.not_before = min(task.not_before, now)
            if not self._undecided[task]:
                del self._undecided[task]

    def note_ended(self, task: Task, run: Run | None) -> None:
        """Clears a task of which a run ended in another way than by a crash."""
        if run is not None and task.crash_history.crashes:
            task.crash_history = NO_CRASHES
            self._book.record_crashes(task.step.job)

    def note_listed_runs(self, worker: Worker) -> None:
        """Clears tasks whose runs live, and lets others start beside them.

        It is recorded at once: a new owner can't tell how long they lived.
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
        worker.end_isolation()

    def _affected(self, worker: Worker) -> list[_Affected]:
        return [
            _Affected(task, self._crash_of(worker, task, run))
            for (task, _), run in worker.runs.items()
            if run.state is not RunState.DECIDED
        ]

    def _crash_of(self, worker: Worker, task: Task, run: Run) -> Crash:
        crash = _crash_of(worker, task, run)
        if not _is_unheard(run):
            return crash
        foretold = self._foretold.get((task, run.number))
        if foretold is not None:
            return foretold
        if self._doubts.knows(worker.life):
            # All that had just started there is recorded.
            return crash._replace(lived=max(crash.lived, PROVEN_AFTER))
        return crash

    def _seen(self, worker: Worker) -> Iterator[_Affected]:
        """Yields those of which this owner or a former one has seen it."""
        for found in self._affected(worker):
            key = (found.task, found.crash.run)
            if key in self._foretold or not _is_unheard(worker.runs[key]):
                yield found

    def _count(self, worker: Worker, affected: list[_Affected]) -> None:
        in_outage = self._is_outage(worker)
        explained = any(found.crash.is_early for found in affected)
        rack = worker.life.rack
        self._ends.note(WorkerEnd(_gone_at(worker), rack, explained))
        note(
            "worker_crashed",
            worker=worker.life.id,
            runs=len(affected),
            outage=in_outage,
        )
        self._judge(worker.life.id, affected, in_outage)

    def _is_outage(self, worker: Worker) -> bool:
        """True if a worker may have crashed for another reason than its tasks.

        One of its rack went too, on which nothing had just started, or many
        such workers anywhere.
        """
        now, rack = trio.current_time(), worker.life.rack
        unexplained = [e for e in self._ends.recent() if not e.explained]
        workers = list(self._workers())
        if is_outage((e.at for e in unexplained), len(workers)):
            return True
        if any(
            ended.rack == rack and ended.at >= now - _TOGETHER
            for ended in unexplained
        ):
            return True
        return any(
            other.life.rack == rack
            and not other.reached
            and not other.gone
            and other.was_up
            and other is not worker
            and not any(found.crash.is_early for found in self._affected(other))
            for other in workers
        )

    def _hazard_beside(self, task: Task) -> float:
        """Returns ends of workers, a second and worker, but for a task's."""
        workers = sum(1 for _ in self._workers())
        own = task.crash_history.crashes + 1
        others = max(len(self._ends.recent()) - own, 0)
        return others / (OUTAGE_SPAN * max(workers, 1))

    def _judge(
        self, life: str, affected: list[_Affected], in_outage: bool
    ) -> None:
        for task, found in affected:
            job = task.step.job
            if task.done or job.ended:
                continue
            crash = found._replace(
                in_outage=in_outage,
                hazard=max(found.hazard, self._hazard_beside(task)),
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
    """True if a worker went soon after a run had surely begun there."""
    if run.state is not RunState.RUNNING:
        return False
    return _gone_at(worker) - run.state_at <= SURE_WITHIN


def _gone_at(worker: Worker) -> float:
    """Returns when a worker that has ended went at the latest, monotonic."""
    return trio.current_time() if worker.reached else worker.silent_at


def _is_unheard(run: Run) -> bool:
    """True if a former owner has started a run, and this one heard nothing."""
    return run.is_adopted and not run.began_at


def _crash_of(worker: Worker, task: Task, run: Run) -> Crash:
    """Returns what the end of a worker says of a run.

    How long a former owner saw a run live that was not listed to this one isn't
    known, nor how often workers ended then. If it had outlived the crashes
    before it, which is recorded, this one may have any cause.
    """
    history = task.crash_history
    crash = Crash(
        run.number,
        worker.lived(run),
        _is_sure(worker, run),
        (task, run.number) in worker.isolated,
    )
    if _is_unheard(run) and history.crashes and not history.early:
        lived = max(history.survived, crash.lived)
        return crash._replace(lived=lived, hazard=math.inf)
    return crash
