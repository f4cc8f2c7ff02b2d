"""Starts copies of runs that hold their steps up, and learns whether they win.

Which tasks have a copy is known to the owner that decided on it; a new one
finds both runs in the records and lets the first to end count.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.arranger import Arranger
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Placement
from pimentocross.owner.room import RoomKeeper
from pimentocross.owner.worker import Worker
from pimentocross.placement.copies import (
    CopyBudget,
    CopyHistory,
    Straggler,
    is_worth_copy,
    may_hold_up,
)
from pimentocross.placement.field import HostList
from pimentocross.placement.hosts import common_rack
from pimentocross.placement.urgency import urgency
from pimentocross.work.state import Run, RunState, Step, Task

# Progress changes with listings, a few a second of each worker.
_INTERVAL: Final = 0.1


class _Lagging(NamedTuple):
    """A run that is worth a copy."""

    task: Task
    run: Run
    straggler: Straggler


class _Pair(NamedTuple):
    """A run and its copy, by their numbers.

    Attributes:
        original: The run that was there first.
        copy: The other one.
    """

    original: int
    copy: int


class Copier:
    """Decides on copies once all that waits was looked at."""

    def __init__(
        self,
        book: JobRegistry,
        learned: LearnedEstimates,
        arranger: Arranger,
        room: RoomKeeper,
    ) -> None:
        """Takes what it decides by.

        Args:
            book: The jobs.
            learned: What was learned of tasks and workers.
            arranger: Knows what the room of workers is worth.
            room: Knows what has to stay free.
        """
        self._book = book
        self._learned = learned
        self._arranger = arranger
        self._room = room
        self._history = CopyHistory()
        self._pairs: dict[Task, _Pair] = {}
        self._passed_at = float("-inf")

    def pass_over(
        self, find_sound: Callable[[float], Sequence[Worker]], now: float
    ) -> list[Placement]:
        """Returns the copies to start.

        Args:
            find_sound: Returns the workers that are in no trouble.
            now: Present time.
        """
        if now - self._passed_at < _INTERVAL:
            return []
        self._passed_at = now
        self._forget_ended()
        lagging = sorted(
            self._lagging(now), key=lambda found: -found.straggler.left
        )
        if not lagging:
            return []
        sound = find_sound(now)
        room = self._free_room(sound, now)
        placed = []
        for found in lagging:
            asked = found.task.step.spec.size.cpu
            if not room.admits(asked) or not self._admits(found.task.step, now):
                continue
            placement = self._place(found, sound, now)
            if placement is not None:
                placed.append(placement)
                room = room.after(asked)
        return placed

    def note_ended(self, task: Task, run: Run | None, ending: Ending) -> None:
        """Learns from the end of a run that has a copy, or is one.

        The ending has been taken in, and the other run not been stopped yet.
        """
        pair = self._pairs.get(task)
        if pair is None or run is None:
            return
        if run.number not in (pair.original, pair.copy):
            return
        del self._pairs[task]
        won = run.number == pair.copy
        other = task.runs.get(pair.original if won else pair.copy)
        if ending.how is not EndKind.DONE or other is None:
            return
        if other.state is RunState.RUNNING:
            self._judge(task, other, won=won)

    def _judge(self, task: Task, other: Run, *, won: bool) -> None:
        queue = task.step.job.queue.name
        now = trio.current_time()
        left = self._left(task.step, other, now)
        self._history.note_outcome(queue, won=won)
        if won:
            worked = now - other.state_at + left
            self._learned.durations.note_long_task(task.step, worked)
        kind = "copy_won" if won else "copy_lost"
        meters.add(f"{kind}_total")
        note(
            kind,
            task=task.name,
            queue=queue,
            other=other.number,
            percent=other.percent,
            left=round(left, 3),
            share_won=round(self._history.share_won(queue), 3),
        )

    def _forget_ended(self) -> None:
        """Forgets pairs of which a run is gone without an ending."""
        for task, pair in list(self._pairs.items()):
            if not {pair.original, pair.copy} <= task.runs.keys():
                del self._pairs[task]

    def _lagging(self, now: float) -> Iterator[_Lagging]:
        for step in self._book.active_steps():
            if not _may_have_copies(step):
                continue
            if not self._learned.durations.has_stragglers(step.job.queue.name):
                continue
            chance = urgency(step, self._learned.durations, wall.now()).chance
            for task in step.tasks:
                run = _only_run(task, now)
                if run is None:
                    continue
                straggler = Straggler(
                    self._left(step, run, now),
                    self._fresh(step),
                    step.undone,
                    step.spec.width,
                    chance,
                )
                if is_worth_copy(straggler):
                    yield _Lagging(task, run, straggler)

    def _left(self, step: Step, run: Run, now: float) -> float:
        """Returns how many seconds a run is expected to take on."""
        heard_at = run.percent_at if run.percent else now
        left = self._learned.durations.remaining(
            step,
            max(heard_at - run.state_at, 0.0),
            run.percent,
        )
        return max(left - (now - heard_at), 0.0)

    def _fresh(self, step: Step) -> float:
        return self._learned.durations.duration_from_ended_tasks(step)

    def _free_room(self, sound: Sequence[Worker], now: float) -> CopyBudget:
        waiting = self._book.ready_steps(wall.now())
        spare = self._room.spare(sound, waiting, now) - sum(
            step.waiting_count * step.spec.committed.cpu for step in waiting
        )
        capacity = sum(worker.life.capacity.cpu for worker in sound)
        taken = sum(task.step.spec.size.cpu for task in self._pairs)
        return CopyBudget(capacity, spare, taken)

    def _admits(self, step: Step, now: float) -> bool:
        queue = step.job.queue.name
        undecided = sum(
            task.step.job.queue.name == queue for task in self._pairs
        )
        return self._history.admits(queue, undecided, now)

    def _place(
        self, found: _Lagging, sound: Sequence[Worker], now: float
    ) -> Placement | None:
        task, original, straggler = found
        left_out = task.failed_on | {original.worker}
        places = HostList(
            [w for w in sound if w.number not in left_out],
            self._arranger.view,
        )
        worker = places.choose(task, _rack_of(task.step, sound))
        if worker is None:
            return None
        run = Run(task.last_run + 1, worker.number, now)
        task.add_run(run)
        worker.add(task, run)
        queue = task.step.job.queue.name
        self._learned.quarantine.note_started(worker.life.id)
        self._history.note_started(queue, now)
        self._pairs[task] = _Pair(original.number, run.number)
        meters.add("copies_total")
        note(
            "copy_decided",
            task=task.name,
            run=run.number,
            worker=worker.life.id,
            queue=queue,
            original=original.number,
            percent=original.percent,
            left=round(straggler.left, 3),
            fresh=round(straggler.fresh, 3),
            undone=straggler.undone,
            chance=straggler.chance.name.lower(),
        )
        return Placement(task, run, worker)


def _may_have_copies(step: Step) -> bool:
    """True if copies of a step are allowed, and one may be needed.

    What saves its progress would save that of either run in turn; what fills
    goes at the pace that others leave it.
    """
    spec = step.spec
    if not spec.copies or spec.lasting or spec.gang:
        return False
    if spec.saves or spec.fills or step.job.queue.asks_adviser:
        return False
    return not step.waiting_count and may_hold_up(step.undone, spec.width)


def _only_run(task: Task, now: float) -> Run | None:
    """Returns the run of a task that may have a copy, or None.

    Either run may fail, and the job must not be out of attempts by the first
    that does while the other goes on.
    """
    if task.done or len(task.runs) != 1 or task.not_before > now:
        return None
    if task.failures + 2 > task.step.job.queue.attempts:
        return None
    if task.crash_history.crashes:
        return None
    run = next(iter(task.runs.values()))
    if run.state is not RunState.RUNNING or not run.began_at:
        return None
    # What a former owner had started worked for an unknown time.
    return None if run.is_adopted or run.paced_at else run


def _rack_of(step: Step, workers: Sequence[Worker]) -> str:
    if not step.spec.same_rack:
        return ""
    racks = {worker.number: worker.life.rack for worker in workers}
    return common_rack(step.tasks, racks)
