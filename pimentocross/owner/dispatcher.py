"""Passes over what waits: decides what starts where."""

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
from pimentocross.owner.arranger import Arranger
from pimentocross.owner.backlog import Backlog
from pimentocross.owner.care import Care
from pimentocross.owner.copier import Copier
from pimentocross.owner.isolation import Isolation
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Batch
from pimentocross.owner.load_log import LoadLog
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.pass_share import PassShare, Round
from pimentocross.owner.placer import Placer
from pimentocross.owner.reclaimer import Reclaimer
from pimentocross.owner.room import RoomKeeper, is_short
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.placement.reclaim import SMALL_CELL_TASK_LIMIT
from pimentocross.placement.triage import Order
from pimentocross.placement.urgency import DeadlineClass, Urgency, urgency
from pimentocross.work.queue import WorkConfig
from pimentocross.work.state import Run, Step, Task

# Steps without room after which a pass gives up on their kind: what follows is
# less urgent, and most of it as large. Those that fill are of one kind if they
# run the same image: one that is shut out nearly everywhere holds up no other.
_MISSES_MOST: Final = 40
_MISSES_MOST_OF_IMAGE: Final = 8


class _Kind(NamedTuple):
    """Steps that find room in the same places."""

    lasting: bool
    filling_image: str

    @property
    def misses_most(self) -> int:
        """Steps without room after which the others aren't looked at."""
        return _MISSES_MOST_OF_IMAGE if self.filling_image else _MISSES_MOST


class _Ranked(NamedTuple):
    """A step that waits, and how urgent it is; sorts by that."""

    rank: Order
    number: int
    step: Step


class Dispatcher:
    """Decides, and has orders sent.

    Attributes:
        advice: Tickets for steps that only some workers may run.
        backlog: What waits for room.
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
        """Takes what it decides on and by.

        Args:
            book: The jobs.
            roster: The workers.
            learned: What was learned of tasks and workers.
            config: Returns the configuration in force.
            adviser: Knows who may run some steps, if there is one.
            switches: Parts that are switched off.
        """
        self.advice = TicketCache(adviser, self.wake)
        self.backlog = Backlog(
            learned.durations, puts_back=switches.is_on(Part.TRIAGE)
        )
        self._book = book
        self._roster = roster
        self._config = config
        self._learned = learned
        self._care = Care(roster, learned)
        self._arranger = Arranger(learned)
        self._reclaimer = Reclaimer()
        self._room = RoomKeeper()
        self._copies = switches.is_on(Part.COPIES)
        self._copier = Copier(book, learned, self._arranger, self._room)
        self._load_log = LoadLog()
        self._isolation = Isolation()
        self._share = PassShare()
        self._round = Round()
        self._applied_version = -1
        self._wake = trio.Event()

    def wake(self) -> None:
        """Has decisions made anew."""
        self._wake.set()

    async def run(self, orders: Orders) -> None:
        """Decides whenever something changed, for ever."""
        while True:
            with trio.move_on_after(const.PASS_INTERVAL):
                await self._wake.wait()
            await self._share.rest()
            self._wake = trio.Event()
            with self._share.measured():
                self._pass_over(orders)
            meters.add_pass(self._share.took)
            if self._round.cut:
                self.wake()

    def _pass_over(self, orders: Orders) -> None:
        self._apply_config()
        self._learned.disturbance.advance(trio.current_time())
        self._care.pass_over(orders)
        if not self._round.cut:
            self._round = Round()
        self._round.begin_pass()
        self._start_waiting(orders)
        if self._copies and not self._round.cut:
            self._start_copies(orders)
        self._log_load()

    def on_ending(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        """Learns from an ending that was taken in."""
        self._learned.on_ending(worker, task, run, ending)
        self._copier.note_ended(task, run, ending)

    def forget_life(self, life: str) -> None:
        """Forgets what was known of a life, as the next one has its id."""
        self.advice.forget_life(life)
        self._learned.quarantine.forget(life)

    def on_refused(
        self, worker: Worker, task: Task, verdict: StartVerdict
    ) -> None:
        """Learns from a refused start."""
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
        """Places what waits, the most urgent first, and makes room for it."""
        now, today = trio.current_time(), wall.now()
        steps = self._book.ready_steps(today)
        if not steps:
            self.backlog.refresh((), (), 0.0, now)
            return
        usable = self._roster.usable()
        sound = self._sound(usable, now)
        spare = self._room.spare(sound, steps, now)
        ranked = self._ranked(steps, sound, now, today)
        worth_a_place = (
            step
            for rank, _, step in ranked
            if rank.chance < DeadlineClass.HOPELESS
        )
        self._arranger.pass_over(worth_a_place, sound, orders, now)
        self._arranger.renew_probes(sound, now)
        placer = Placer(
            sound,
            usable,
            self._learned,
            self._arranger,
            self.advice,
            self._isolation,
            now,
        )
        placements: list[Placement] = []
        missed_short = self._round.missed_short
        self._share.begin_placing()
        for rank, _, step in ranked:
            kind = _kind_of(step)
            if not self._round.wants(step, kind, kind.misses_most):
                continue
            if spare <= 0 and self._room.is_held_back(step, now):
                continue
            if self._reclaimer.has_to_wait(step, now):
                continue
            # Else renewals and heartbeats wait until all was looked at.
            if self._share.is_spent:
                self._round.cut = True
                break
            placed = placer.place(step)
            if not placed and self._room.needs_any_worker(step, now):
                placed = placer.place_anywhere(step)
            placements.extend(placed)
            if not step.waiting_count:
                self._room.forget(step)
            spare -= sum(p.task.step.spec.committed.cpu for p in placed)
            self._round.note(step, kind, found_room=bool(placed))
            if step.waiting_count and is_short(step) and _is_in_time(rank):
                missed_short.add(step)
        missed = [step for _, _, step in ranked if step in missed_short]
        if self._round.carried and not self._round.cut:
            # Room may have come since they were looked at, in a former pass.
            for step in missed[:SMALL_CELL_TASK_LIMIT]:
                placements.extend(placer.place(step))
        self._send(placements, orders)
        if not self._round.cut:
            self._reclaimer.pass_over(missed, sound, orders, self._room, now)

    def _start_copies(self, orders: Orders) -> None:
        """Starts copies of what lags, in room that is left over."""
        placements = self._copier.pass_over(
            lambda now: self._sound(self._roster.usable(), now),
            trio.current_time(),
        )
        self._send(placements, orders)

    def _ranked(
        self,
        steps: Sequence[Step],
        workers: Sequence[Worker],
        now: float,
        today: float,
    ) -> list[_Ranked]:
        """Returns steps in the order in which they are started."""
        ranks = [(self._rank(step, now, today), step) for step in steps]
        self.backlog.refresh(ranks, workers, self._room.share, now)
        return sorted(
            _Ranked(self.backlog.order(rank, step), number, step)
            for number, (rank, step) in enumerate(ranks)
        )

    def _rank(self, step: Step, now: float, today: float) -> Urgency:
        rank = urgency(step, self._learned.durations, today)
        if self._reclaimer.comes_after_short(step, now):
            return rank._replace(chance=DeadlineClass.TIGHT, spare=math.inf)
        return rank

    def _sound(self, workers: Sequence[Worker], now: float) -> list[Worker]:
        """Returns those that are in no trouble."""
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
                self._room,
                (task.step for task, _ in self._roster.runs_away()),
                now,
            )

    def _send(self, placements: list[Placement], orders: Orders) -> None:
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


def _kind_of(step: Step) -> _Kind:
    spec = step.spec
    return _Kind(spec.lasting, spec.image if spec.fills else "")


def _is_in_time(rank: Order) -> bool:
    """True if the job can still meet its objective."""
    return rank.chance <= DeadlineClass.TIGHT
