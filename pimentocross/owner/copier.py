"""Speculative execution: starts a second run (copy) of a straggling task.

The first of the two runs to end counts. Whether copies win is recorded for each
queue. Only the owner that started a copy knows that the two runs are a pair; a
new owner finds both runs in the records and takes the first that ends.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.capacity_reserve import CapacityReserve
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.orders import Placement
from pimentocross.owner.rebalancer import Rebalancer
from pimentocross.owner.worker import Worker
from pimentocross.placement.copies import (
    CopyBudget,
    CopyHistory,
    Straggler,
    is_worth_copy,
    may_hold_up,
)
from pimentocross.placement.field import HostList
from pimentocross.placement.hosts import rack_with_most_runs
from pimentocross.placement.urgency import urgency
from pimentocross.work.state import Run, RunState, Step, Task

# Seconds. Progress changes only with the listings of workers, which arrive a
# few times a second from each.
_PASS_INTERVAL: Final = 0.1


class _StragglingRun(NamedTuple):
    """A run for which a copy is worthwhile."""

    task: Task
    run: Run
    straggler: Straggler


class _Pair(NamedTuple):
    """The run numbers of a run and its copy.

    Attributes:
        original: Number of the run that was started first.
        copy: Number of the copy.
    """

    original: int
    copy: int


class Copier:
    """Decides which runs get a copy, after all waiting steps were tried."""

    def __init__(
        self,
        book: JobRegistry,
        learned: LearnedEstimates,
        rebalancer: Rebalancer,
        reserve: CapacityReserve,
    ) -> None:
        """Initializes the copier.

        Args:
            book: The jobs.
            learned: Statistics about tasks and workers.
            rebalancer: Holds the view by which workers are chosen.
            reserve: Computes how much capacity has to stay free.
        """
        self._book = book
        self._learned = learned
        self._rebalancer = rebalancer
        self._reserve = reserve
        self._history = CopyHistory()
        self._pairs: dict[Task, _Pair] = {}
        self._last_pass_at = float("-inf")

    def pass_over(
        self, find_healthy: Callable[[float], Sequence[Worker]], now: float
    ) -> list[Placement]:
        """Returns the copies to start.

        Args:
            find_healthy: Returns the workers that are neither unsound nor
                quarantined at a time.
            now: Present time, monotonic.
        """
        if now - self._last_pass_at < _PASS_INTERVAL:
            return []
        self._last_pass_at = now
        self._forget_ended()
        stragglers = sorted(
            self._find_stragglers(now), key=lambda found: -found.straggler.left
        )
        if not stragglers:
            return []
        healthy = find_healthy(now)
        copy_budget = self._copy_budget(healthy, now)
        placed = []
        for found in stragglers:
            cpu_requested = found.task.step.spec.size.cpu
            if not copy_budget.admits(cpu_requested) or not self._admits(
                found.task.step, now
            ):
                continue
            placement = self._place(found, healthy, now)
            if placement is not None:
                placed.append(placement)
                copy_budget = copy_budget.after(cpu_requested)
        return placed

    def note_ended(self, task: Task, run: Run | None, ending: Ending) -> None:
        """Updates the copy statistics when a run of a pair has ended.

        Has to be called after the ending was applied to the task and before
        the other run is stopped.
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
            self._record_verdict(task, other, won=won)

    def _record_verdict(self, task: Task, other: Run, *, won: bool) -> None:
        queue = task.step.job.queue.name
        now = trio.current_time()
        left = self._remaining_seconds(task.step, other, now)
        self._history.note_outcome(queue, won=won)
        if won:
            run_seconds = now - other.state_at + left
            self._learned.durations.note_long_task(task.step, run_seconds)
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
        """Forgets pairs of which a run was dropped without an ending."""
        for task, pair in list(self._pairs.items()):
            if not {pair.original, pair.copy} <= task.runs.keys():
                del self._pairs[task]

    def _find_stragglers(self, now: float) -> Iterator[_StragglingRun]:
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
                    self._remaining_seconds(step, run, now),
                    self._fresh_run_seconds(step),
                    step.undone,
                    step.spec.width,
                    chance,
                )
                if is_worth_copy(straggler):
                    yield _StragglingRun(task, run, straggler)

    def _remaining_seconds(self, step: Step, run: Run, now: float) -> float:
        """Returns the expected remaining seconds of a run."""
        reported_at = run.percent_at if run.percent else now
        left = self._learned.durations.remaining(
            step,
            max(reported_at - run.state_at, 0.0),
            run.percent,
        )
        return max(left - (now - reported_at), 0.0)

    def _fresh_run_seconds(self, step: Step) -> float:
        return self._learned.durations.duration_from_ended_tasks(step)

    def _copy_budget(self, healthy: Sequence[Worker], now: float) -> CopyBudget:
        waiting = self._book.ready_steps(wall.now())
        spare = self._reserve.spare(healthy, waiting, now) - sum(
            step.waiting_count * step.spec.committed.cpu for step in waiting
        )
        capacity = sum(worker.life.capacity.cpu for worker in healthy)
        taken = sum(task.step.spec.size.cpu for task in self._pairs)
        return CopyBudget(capacity, spare, taken)

    def _admits(self, step: Step, now: float) -> bool:
        queue = step.job.queue.name
        undecided = sum(
            task.step.job.queue.name == queue for task in self._pairs
        )
        return self._history.admits(queue, undecided, now)

    def _place(
        self, found: _StragglingRun, healthy: Sequence[Worker], now: float
    ) -> Placement | None:
        task, original, straggler = found
        excluded = task.failed_on | {original.worker}
        places = HostList(
            [w for w in healthy if w.number not in excluded],
            self._rebalancer.view,
        )
        worker = places.choose(task, _rack_of(task.step, healthy))
        if worker is None:
            return None
        run = Run(task.last_run + 1, worker.number, now)
        task.add_run(run)
        worker.add(task, run)
        queue = task.step.job.queue.name
        self._learned.quarantine.note_started(
            worker.life.id, (task, run.number), now
        )
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
    """Returns whether copies of a step are allowed and may be needed.

    Steps that save checkpoints get no copies, as both runs would save theirs in
    turn. Neither do best-effort tasks, as they run at the pace that other tasks
    leave them.
    """
    spec = step.spec
    if not spec.copies or spec.lasting or spec.gang:
        return False
    if spec.saves or spec.fills or step.job.queue.asks_adviser:
        return False
    return not step.waiting_count and may_hold_up(step.undone, spec.width)


def _only_run(task: Task, now: float) -> Run | None:
    """Returns the only run of a task if it may get a copy, else None.

    Two attempts have to be left: if one of the runs fails, the job must not run
    out of attempts while the other run continues.
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
    # It is unknown how long a run that a former owner started has worked.
    return None if run.is_adopted or run.paced_at else run


def _rack_of(step: Step, workers: Sequence[Worker]) -> str:
    if not step.spec.same_rack:
        return ""
    racks = {worker.number: worker.life.rack for worker in workers}
    return rack_with_most_runs(step.tasks, racks)
