"""Scheduling passes: decides which waiting tasks start on which workers."""

from collections.abc import Callable, Sequence
import math
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.adviser import Adviser
from pimentocross.contracts.switches import ALL_ON, Part, Switches
from pimentocross.contracts.worker_link import Ending, StartVerdict
from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const, wall
from pimentocross.owner.advice import TicketCache
from pimentocross.owner.backlog import Backlog
from pimentocross.owner.capacity_reserve import CapacityReserve, is_short
from pimentocross.owner.copier import Copier
from pimentocross.owner.isolation import Isolation
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Batch
from pimentocross.owner.load_log import LoadLog
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.pass_share import PassShare, PlacementRound
from pimentocross.owner.placer import Placer
from pimentocross.owner.rebalancer import Rebalancer
from pimentocross.owner.reclaimer import Reclaimer
from pimentocross.owner.roster import Roster
from pimentocross.owner.run_control import RunController
from pimentocross.owner.withheld import WithheldWorkers
from pimentocross.owner.worker import Worker
from pimentocross.placement.reclaim import SMALL_CELL_TASK_LIMIT
from pimentocross.placement.triage import Order
from pimentocross.placement.urgency import DeadlineClass, Urgency, urgency
from pimentocross.work.queue import WorkConfig
from pimentocross.work.state import Run, Step, Task

# Steps that may fail to be placed before a pass skips the rest of their
# placement class: the remaining steps are less urgent, and most are as large.
# Best-effort steps share a class only if they run the same image, so that an
# image that is excluded from most workers doesn't hold up other images.
_MAX_MISSES: Final = 40
_MAX_MISSES_PER_IMAGE: Final = 8


class _PlacementClass(NamedTuple):
    """Key of steps that can be placed on the same workers."""

    lasting: bool
    filling_image: str

    @property
    def max_misses(self) -> int:
        """Failed placements after which a pass skips the rest of the class."""
        return _MAX_MISSES_PER_IMAGE if self.filling_image else _MAX_MISSES


class _RankedStep(NamedTuple):
    """A waiting step with its urgency; sorts by urgency."""

    rank: Order
    number: int
    step: Step


class Dispatcher:
    """Decides which runs to start, stop, pace or copy, and sends the orders.

    Attributes:
        advice: Tickets for steps that only some workers may run.
        backlog: The steps that wait for free capacity.
        withheld: The workers that get no new tasks.
    """

    def __init__(
        self,
        book: JobRegistry,
        roster: Roster,
        learned: LearnedEstimates,
        config: Callable[[], WorkConfig],
        adviser: Adviser | None,
        switches: Switches = ALL_ON,
    ) -> None:
        """Initializes the dispatcher of a cell.

        Args:
            book: The jobs.
            roster: The workers.
            learned: Statistics about tasks and workers.
            config: Returns the configuration in force.
            adviser: Decides which workers may run the steps of some queues;
                None if there is no adviser.
            switches: Parts that are switched off.
        """
        self.advice = TicketCache(adviser, self.wake)
        self.backlog = Backlog(
            learned.durations, puts_back=switches.is_on(Part.TRIAGE)
        )
        self.withheld = WithheldWorkers(roster, learned)
        self._book = book
        self._roster = roster
        self._config = config
        self._learned = learned
        self._run_controller = RunController(roster, learned)
        self._rebalancer = Rebalancer(learned)
        self._reclaimer = Reclaimer()
        self._reserve = CapacityReserve()
        self._copies = switches.is_on(Part.COPIES)
        self._copier = Copier(book, learned, self._rebalancer, self._reserve)
        self._load_log = LoadLog()
        self._isolation = Isolation()
        self._share = PassShare()
        self._round = PlacementRound()
        self._applied_version = -1
        self._wake = trio.Event()

    def wake(self) -> None:
        """Requests a scheduling pass."""
        self._wake.set()

    async def run(self, orders: Orders) -> None:
        """Runs a pass on each wake-up and each PASS_INTERVAL, forever."""
        while True:
            with trio.move_on_after(const.PASS_INTERVAL):
                await self._wake.wait()
            await self._share.pause()
            self._wake = trio.Event()
            with self._share.measured():
                self._run_pass(orders)
            meters.add_pass(self._share.duration)
            if self._round.interrupted:
                self.wake()

    def _run_pass(self, orders: Orders) -> None:
        self._apply_config()
        self._learned.disturbance.advance(trio.current_time())
        self.withheld.pass_over(trio.current_time())
        self._run_controller.pass_over(orders)
        if not self._round.interrupted:
            self._round = PlacementRound()
        self._round.begin_pass()
        self._start_waiting(orders)
        if self._copies and not self._round.interrupted:
            self._start_copies(orders)
        self._log_load()

    def on_ending(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        """Updates the statistics from an ending that has been recorded."""
        self._learned.on_ending(worker, task, run, ending)
        self._copier.note_ended(task, run, ending)

    def forget_life(self, life: str) -> None:
        """Drops the state of a worker life that has ended."""
        self.advice.forget_life(life)
        self._learned.quarantine.forget(life)

    def on_refused(
        self, worker: Worker, task: Task, verdict: StartVerdict
    ) -> None:
        """Updates tickets and quarantine after a worker refused a start."""
        if verdict is StartVerdict.NO_TICKET:
            self.advice.forget(task.step)
        if verdict is StartVerdict.UNHEALTHY:
            now = trio.current_time()
            self._learned.quarantine.note_failed(
                worker.life.id, f"unhealthy: {worker.life.id}", now
            )
        self.wake()

    def _apply_config(self) -> None:
        config = self._config()
        if config.version != self._applied_version:
            self._book.apply_config(config)
            self._applied_version = config.version

    def _start_waiting(self, orders: Orders) -> None:
        """Places waiting tasks, most urgent first, and frees capacity."""
        now, wall_time = trio.current_time(), wall.now()
        steps = self._book.ready_steps(wall_time)
        if not steps:
            self.backlog.refresh((), (), 0.0, now)
            return
        usable = self._roster.usable()
        healthy = self._healthy_workers(usable, now)
        spare = self._reserve.spare(healthy, steps, now)
        ranked = self._ranked(steps, healthy, now, wall_time)
        feasible = (
            step
            for rank, _, step in ranked
            if rank.chance < DeadlineClass.HOPELESS
        )
        self._rebalancer.pass_over(feasible, healthy, orders, now)
        self._rebalancer.renew_probes(healthy, now)
        placer = Placer(
            healthy,
            usable,
            self._learned,
            self._rebalancer,
            self.advice,
            self._isolation,
            now,
        )
        placements: list[Placement] = []
        unplaced_short = self._round.unplaced_short
        self._share.begin_placing()
        for rank, _, step in ranked:
            kind = _placement_class_of(step)
            if not self._round.should_try(step, kind, kind.max_misses):
                continue
            if spare <= 0 and self._reserve.is_held_back(step, now):
                continue
            if self._reclaimer.has_to_wait(step, now):
                continue
            # Otherwise lease renewals and heartbeats would wait until the
            # pass has tried all steps.
            if self._share.is_spent:
                self._round.interrupted = True
                break
            placed = placer.place(step)
            if not placed and self._reserve.needs_any_worker(step, now):
                placed = placer.place_anywhere(step)
            placements.extend(placed)
            if not step.waiting_count:
                self._reserve.forget(step)
            spare -= sum(p.task.step.spec.committed.cpu for p in placed)
            self._round.note(step, kind, found_room=bool(placed))
            if (
                step.waiting_count
                and is_short(step)
                and _can_meet_objective(rank)
            ):
                unplaced_short.add(step)
        unplaced = [step for _, _, step in ranked if step in unplaced_short]
        if self._round.is_continuation and not self._round.interrupted:
            # Capacity may have become free since an earlier pass of the round
            # tried these steps.
            for step in unplaced[:SMALL_CELL_TASK_LIMIT]:
                placements.extend(placer.place(step))
        self._send_starts(placements, orders)
        if not self._round.interrupted:
            self._reclaimer.pass_over(
                unplaced, healthy, orders, self._reserve, now
            )

    def _start_copies(self, orders: Orders) -> None:
        """Starts copies of straggling runs in the capacity left over."""
        placements = self._copier.pass_over(
            lambda now: self._healthy_workers(self._roster.usable(), now),
            trio.current_time(),
        )
        self._send_starts(placements, orders)

    def _ranked(
        self,
        steps: Sequence[Step],
        workers: Sequence[Worker],
        now: float,
        wall_time: float,
    ) -> list[_RankedStep]:
        """Returns the steps in the order in which they are tried."""
        ranks = [(self._rank(step, now, wall_time), step) for step in steps]
        self.backlog.refresh(ranks, workers, self._reserve.share, now)
        return sorted(
            _RankedStep(self.backlog.order(rank, step), number, step)
            for number, (rank, step) in enumerate(ranks)
        )

    def _rank(self, step: Step, now: float, wall_time: float) -> Urgency:
        rank = urgency(step, self._learned.durations, wall_time)
        if self._reclaimer.comes_after_short(step, now):
            return rank._replace(chance=DeadlineClass.TIGHT, spare=math.inf)
        return rank

    def _healthy_workers(
        self, workers: Sequence[Worker], now: float
    ) -> list[Worker]:
        """Returns the workers that are neither unsound nor quarantined."""
        return [
            worker
            for worker in workers
            if worker.unsound_until <= now
            and self._learned.quarantine.admits(worker.life.id, now)
        ]

    def _log_load(self) -> None:
        now = trio.current_time()
        if self._load_log.is_due(now):
            steps = self._book.ready_steps(wall.now())
            self._load_log.write(
                self._roster.usable(),
                self._roster.closed_capacity(),
                steps,
                self._reserve,
                (task.step for task, _ in self._roster.unreachable_runs()),
                now,
            )

    def _send_starts(self, placements: list[Placement], orders: Orders) -> None:
        batch: Batch | None = None
        for job in {p.task.step.job: None for p in placements}:
            batch = self._book.changed(job)
        if batch is None:
            return
        for task, run, worker, _ in placements:
            note(
                "run_decided",
                task=task.name,
                run=run.number,
                worker=worker.life.id,
                free=worker.free,
            )
        orders.start(placements, batch)


def _placement_class_of(step: Step) -> _PlacementClass:
    spec = step.spec
    return _PlacementClass(spec.lasting, spec.image if spec.fills else "")


def _can_meet_objective(rank: Order) -> bool:
    """Returns whether the job can still meet its objective."""
    return rank.chance <= DeadlineClass.TIGHT
