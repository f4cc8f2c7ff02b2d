"""Puts crashes of workers down to the tasks that ran there."""

from collections import Counter, deque
from collections.abc import Callable, Iterable
import math
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.observe.decisions import note
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.worker import Worker
from pimentocross.work.crash_history import (
    HELD_MOST,
    NO_CRASHES,
    OUTAGE_SPAN,
    SURE_WITHIN,
    Crash,
    is_outage,
)
from pimentocross.work.state import Run, RunState, Task

# Workers of a rack that went within this of each other, in seconds, went
# together: their ends are learned of as each one's next life answers.
_TOGETHER: Final = 4.0


class _Affected(NamedTuple):
    """A task that may have crashed its worker, and what its run shows."""

    task: Task
    crash: Crash


class _Unexplained(NamedTuple):
    """An end of a worker on which nothing had just started.

    Attributes:
        at: When it went, as far as can be told, monotonic.
        rack: The worker's.
    """

    at: float
    rack: str


class Crashes:
    """Counts crashes by task, and gives up the tasks that cause them.

    A worker that is silent may be cut off; a crash is counted once another life
    of its machine is known.
    """

    def __init__(
        self, book: JobBook, workers: Callable[[], Iterable[Worker]]
    ) -> None:
        """Takes the jobs, and what returns the workers in use."""
        self._book = book
        self._workers = workers
        self._unexplained: deque[_Unexplained] = deque()
        # When workers ended within `OUTAGE_SPAN`, monotonic.
        self._ends: deque[float] = deque()
        # Runs that lapsed on silent workers, until those are heard or replaced.
        self._lapsed: dict[Worker, list[_Affected]] = {}
        # Lives that are gone and have no successor yet, by machine.
        self._unreplaced: dict[str, tuple[WorkerLife, list[_Affected]]] = {}
        # Likely crashes of each task among those that lapsed.
        self._undecided: Counter[Task] = Counter()

    def note_lapsed(self, worker: Worker) -> None:
        """Remembers what ran on a silent worker that may have crashed."""
        affected = _affected(worker)
        self._lapsed.setdefault(worker, []).extend(affected)
        until = trio.current_time() + HELD_MOST
        for task, crash in affected:
            if crash.is_early:
                self._undecided[task] += 1
            if task.crash_history.holds(self._undecided[task]):
                task.not_before = until

    def note_heard(self, worker: Worker) -> None:
        """Notes that a worker which was silent lives."""
        self._decide(self._lapsed.pop(worker, []))

    def note_replaced(self, worker: Worker) -> None:
        """Notes that a life has ended, as another one took its place.

        Its runs have to be tied to it still.
        """
        lapsed = self._lapsed.pop(worker, [])
        # One that drained was expected to leave.
        if not worker.life.draining:
            self._count(worker, [*lapsed, *_affected(worker)])
        self._decide(lapsed)

    def note_absent(self, worker: Worker) -> None:
        """Notes that a life is given up, how it ended not being known."""
        lapsed = self._lapsed.pop(worker, [])
        machine = worker.life.machine
        affected = [*lapsed, *_affected(worker)]
        if affected and machine and not worker.life.draining:
            self._unreplaced[machine] = (worker.life, affected)
        self._decide(lapsed)

    def note_listed(self, life: WorkerLife) -> None:
        """Notes a life that is listed, maybe the next one of a machine."""
        if life.machine not in self._unreplaced:
            return
        former, affected = self._unreplaced.pop(life.machine)
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
            self._book.note_crashes(task.step.job)

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
                self._book.note_crashes(task.step.job)
            if not task.crash_history.crashes:
                worker.suspects.discard((task, number))
        worker.end_isolation()

    def _count(self, worker: Worker, affected: list[_Affected]) -> None:
        self._ends.append(_gone_at(worker))
        in_outage = self._is_outage(worker)
        if not any(found.crash.is_early for found in affected):
            ended = _Unexplained(_gone_at(worker), worker.life.rack)
            self._unexplained.append(ended)
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
        while self._unexplained and self._unexplained[0].at < now - OUTAGE_SPAN:
            self._unexplained.popleft()
        workers = list(self._workers())
        if is_outage((e.at for e in self._unexplained), len(workers)):
            return True
        if any(
            ended.rack == rack and ended.at >= now - _TOGETHER
            for ended in self._unexplained
        ):
            return True
        return any(
            other.life.rack == rack
            and not other.reached
            and not other.gone
            and other is not worker
            and not any(found.crash.is_early for found in _affected(other))
            for other in workers
        )

    def _hazard_beside(self, task: Task) -> float:
        """Returns ends of workers, a second and worker, but for a task's."""
        while self._ends and self._ends[0] < trio.current_time() - OUTAGE_SPAN:
            self._ends.popleft()
        workers = sum(1 for _ in self._workers())
        own = task.crash_history.crashes + 1
        others = max(len(self._ends) - own, 0)
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
            self._book.note_crashes(job)
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


def _affected(worker: Worker) -> list[_Affected]:
    return [
        _Affected(task, _crash_of(worker, task, run))
        for (task, _), run in worker.runs.items()
        if run.state is not RunState.DECIDED
    ]


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
    unknown = run.is_adopted and not run.began_at
    if unknown and history.crashes and not history.early:
        return crash._replace(lived=history.survived, hazard=math.inf)
    return crash
