"""Passes over what waits: decides what starts where, and what stops."""

from collections.abc import Callable, Mapping
from weakref import WeakKeyDictionary

import trio

from pimentocross.contracts.adviser import Adviser
from pimentocross.contracts.worker_link import Ending, EndKind, StartVerdict
from pimentocross.observe.decisions import note
from pimentocross.owner import const, wall
from pimentocross.owner.advice import AdviceDesk
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.ledger import Batch
from pimentocross.owner.orders import Orders, Placement
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.placement.disturbance import Disturbance, Pair
from pimentocross.placement.durations import Durations
from pimentocross.placement.headroom import HELD_BACK_MOST, Headroom
from pimentocross.placement.hosts import allows, choose, common_rack, left_over
from pimentocross.placement.pacing import (
    MOVE_BELOW,
    SETTLE,
    Filler,
    next_paces,
)
from pimentocross.placement.quarantine import Quarantine, QuarantineTerms
from pimentocross.placement.soundness import (
    Progress,
    Speeds,
    is_sick,
    may_take_away,
)
from pimentocross.placement.stalls import is_stalled
from pimentocross.placement.urgency import urgency
from pimentocross.work.queue import WorkConfig
from pimentocross.work.records import LearnedRecord, encode_learned
from pimentocross.work.state import Run, RunState, Step, Task

# Two jobs that fail in a row speak against a worker: ordinary tasks fail one
# time in twenty, two of different jobs in a row one time in 400.
_QUARANTINE = QuarantineTerms(after=2, first=3.0, most=12.0)
# Steps without room after which a pass gives up: those that follow are less
# urgent, and most are as large.
_MISSES_MOST = 40
# What serves alone on a sound worker stays under this share of its target.
_SOUND_ALONE = 1.2
# A filler that was slowed to a crawl for this long goes elsewhere: about what
# its stop and its start cost.
_STUCK_AFTER = 1.5
# A run that has done less than this, in percent, loses little by a move.
_LITTLE_DONE = 25
_LOAD_INTERVAL = 1.0
# A lasting task that is at work is listed with this percentage.
_AT_WORK = 100
# A worker that was seen in trouble gets nothing new for this long: faults of
# this kind were seen to last for 5 to 8 s.
UNSOUND_FOR = 2.0
# Workers with room and a ticket from which on no more are asked for.
_ADVISED_ENOUGH = 4
# What a stop and a new start cost a task, in seconds.
_MOVE_COST = 0.8


class Dispatcher:
    """Decides, and has orders sent.

    Attributes:
        advice: Tickets for steps that only some workers may run.
    """

    def __init__(
        self,
        book: JobBook,
        roster: Roster,
        config: Callable[[], WorkConfig],
        adviser: Adviser | None,
    ) -> None:
        """Takes the jobs, the workers, the configuration and the adviser."""
        self.advice = AdviceDesk(adviser, self.wake)
        self._book = book
        self._roster = roster
        self._config = config
        self._durations = Durations()
        self._disturbance = Disturbance()
        self._headroom = Headroom()
        self._speeds = Speeds()
        self._held_back: WeakKeyDictionary[Step, float] = WeakKeyDictionary()
        self._quarantine = Quarantine(_QUARANTINE)
        self._applied_version = -1
        self._load_logged_at = 0.0
        self._wake = trio.Event()

    def wake(self) -> None:
        """Has decisions made anew."""
        self._wake.set()

    def encode_learned(self) -> bytes:
        """Returns the record of what was learned."""
        return encode_learned(
            self._disturbance.pairs(), self._durations.means()
        )

    def restore(self, learned: LearnedRecord) -> None:
        """Takes what a former owner had learned."""
        pairs = [Pair(*row) for row in learned.pairs]
        self._disturbance.restore(pairs, trio.current_time())
        self._durations.restore(learned.durations)

    async def run(self, orders: Orders) -> None:
        """Decides whenever something changed, for ever."""
        while True:
            with trio.move_on_after(const.PASS_INTERVAL):
                await self._wake.wait()
            await trio.sleep(const.PASS_PAUSE)
            self._wake = trio.Event()
            self._apply_config()
            self._disturbance.advance(trio.current_time())
            self._stop_unwanted(orders)
            self._pace_fillers(orders)
            self._start_waiting(orders)
            self._log_load()

    def judge(
        self, worker: Worker, task: Task, run: Run | None, ending: Ending
    ) -> None:
        """Learns from an ending."""
        if ending.how is EndKind.DONE:
            self._quarantine.note_finished(worker.life.id)
            if run is not None and run.decided_at and not run.paced_at:
                took = trio.current_time() - run.decided_at
                self._durations.note(task.step.job.queue.name, took)
        elif ending.how is EndKind.FAILED:
            self._hold_against(worker, task)
        elif not task.step.spec.lasting:
            self._quarantine.note_lost(worker.life.id)

    def on_refused(
        self, worker: Worker, task: Task, verdict: StartVerdict
    ) -> None:
        """Learns from a refused start."""
        if verdict is StartVerdict.NO_TICKET:
            self.advice.forget(task.step)
        if verdict is StartVerdict.UNHEALTHY:
            now = trio.current_time()
            self._quarantine.note_failed(worker.life.id, "unhealthy", now)
        self.wake()

    def _apply_config(self) -> None:
        config = self._config()
        if config.version != self._applied_version:
            self._book.apply_config(config)
            self._applied_version = config.version

    def _hold_against(self, worker: Worker, task: Task) -> None:
        now = trio.current_time()
        job = task.step.job.id
        self._quarantine.note_failed(worker.life.id, job, now)
        reason = self._quarantine.explain(worker.life.id, now)
        if reason:
            note("worker_suspect", worker=worker.life.id, reason=reason)

    def _start_waiting(self, orders: Orders) -> None:
        now, today = trio.current_time(), wall.now()
        steps = self._book.open_steps(today)
        if not steps:
            return
        ranked = sorted(
            (urgency(step, self._durations, today), number, step)
            for number, step in enumerate(steps)
        )
        usable = [w for w in self._roster.workers() if w.usable]
        workers = [
            w
            for w in usable
            if w.unsound_until <= now
            and self._quarantine.admits(w.life.id, now)
        ]
        racks = {worker.number: worker.life.rack for worker in workers}
        spare = self._spare(workers, steps, now)
        placements: list[Placement] = []
        misses = 0
        for _, _, step in ranked:
            if spare <= 0 and self._is_held_back(step, now):
                continue
            placed = self._place_step(step, workers, racks, now)
            if not placed and self._needs_any_worker(step, now):
                placed = self._place_step(step, usable, racks, now)
            placements.extend(placed)
            if not step.waiting_count:
                self._held_back.pop(step, None)
            spare -= sum(p.task.step.spec.committed.cpu for p in placed)
            misses += not placed
            if misses > _MISSES_MOST:
                break
        self._send(placements, orders)

    def _log_load(self) -> None:
        """Logs once a second what the workers carry and what waits."""
        now = trio.current_time()
        if now - self._load_logged_at < _LOAD_INTERVAL:
            return
        self._load_logged_at = now
        workers = [w for w in self._roster.workers() if w.usable]
        runs = [(t, r) for w in workers for t, r in w.running()]
        steps = self._book.open_steps(wall.now())
        note(
            "load",
            capacity=sum(w.life.capacity.cpu for w in workers),
            committed=sum(w.committed.cpu for w in workers),
            serving=sum(sum(w.serving.values()) for w in workers),
            filling=sum(w.filled for w in workers),
            filling_used=sum(r.figure for t, r in runs if t.step.spec.fills),
            left_over=sum(left_over(w) for w in workers),
            slowed=sum(
                t.step.spec.size.cpu * (100 - r.pace) // 100 for t, r in runs
            ),
            waiting=sum(s.waiting_count for s in steps),
            waiting_fillers=sum(s.waiting_count for s in steps if s.spec.fills),
        )

    def _is_held_back(self, step: Step, now: float) -> bool:
        """True for work that leaves the headroom free, for a while."""
        if not _leaves_headroom(step):
            return False
        since = self._held_back.setdefault(step, now)
        return now - since < HELD_BACK_MOST

    def _needs_any_worker(self, step: Step, now: float) -> bool:
        """True for tasks that last and have waited long for a sound worker."""
        if not step.spec.lasting:
            return False
        since = self._held_back.setdefault(step, now)
        return now - since >= HELD_BACK_MOST

    def _spare(
        self, workers: list[Worker], steps: list[Step], now: float
    ) -> float:
        """Returns what work that can wait may take of the free room."""
        taken = sum(
            task.step.spec.size.cpu
            for worker in workers
            for task, _ in worker.runs
            if _is_short(task.step)
        )
        waiting = sum(
            step.waiting_count * step.spec.size.cpu
            for step in steps
            if _is_short(step)
        )
        self._headroom.note(taken + waiting, now)
        capacity = sum(worker.life.capacity.cpu for worker in workers)
        free = sum(worker.free.cpu for worker in workers)
        return free - self._headroom.missing(capacity, taken)

    def _place_step(
        self,
        step: Step,
        workers: list[Worker],
        racks: dict[int, str],
        now: float,
    ) -> list[Placement]:
        if step.job.queue.asks_adviser:
            workers = self._advised(step, workers)
        if step.spec.gang:
            return self._place_gang(step, workers, now)
        rack = ""
        if step.spec.same_rack:
            rack = common_rack(step.tasks, racks)
        placed = []
        for task in step.waiting():
            if task.not_before > now:
                continue
            placement = self._place(task, task.last_run + 1, workers, rack, now)
            if placement is None:
                break
            rack = rack or placement.worker.life.rack
            placed.append(placement)
        return placed

    def _advised(self, step: Step, workers: list[Worker]) -> list[Worker]:
        """Returns the workers that may run a step; asks if there are few."""
        tickets = self.advice.tickets(step)
        found = [w for w in workers if w.life.id in tickets]
        room = sum(allows(w, step) for w in found)
        if room < min(step.waiting_count, _ADVISED_ENOUGH):
            able = [w for w in workers if allows(w, step)]
            able.sort(key=lambda w: -w.free.cpu)
            self.advice.want(step, [w.life.id for w in able])
        return found

    def _place_gang(
        self, step: Step, workers: list[Worker], now: float
    ) -> list[Placement]:
        """Places all members under one run number, or none."""
        tasks = list(step.waiting())
        if len(tasks) < step.spec.width:
            return []
        if any(task.not_before > now for task in tasks):
            return []
        number = max(task.last_run for task in tasks) + 1
        placed: list[Placement] = []
        rack = ""
        for task in tasks:
            placement = self._place(task, number, workers, rack, now)
            if placement is None:
                for taken in placed:
                    taken.worker.remove(taken.task, number)
                    taken.task.drop_run(number)
                return []
            rack = rack or placement.worker.life.rack
            placed.append(placement)
        return placed

    def _place(
        self,
        task: Task,
        number: int,
        workers: list[Worker],
        rack: str,
        now: float,
    ) -> Placement | None:
        worker = choose(task, workers, self._disturbance, rack)
        if worker is None:
            return None
        run = Run(number, worker.number, now)
        task.add_run(run)
        worker.add(task, run)
        self._quarantine.note_started(worker.life.id)
        if not self._quarantine.admits(worker.life.id, now):
            workers.remove(worker)
        ticket = self.advice.tickets(task.step).get(worker.life.id, "")
        return Placement(task, run, worker, ticket)

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

    def _stop_unwanted(self, orders: Orders) -> None:
        now = trio.current_time()
        for worker in self._roster.workers():
            for (task, _), run in list(worker.runs.items()):
                reason = self._why_stop(worker, task, run, now)
                if reason:
                    orders.stop(worker, task, run, reason)

    def _why_stop(
        self, worker: Worker, task: Task, run: Run, now: float
    ) -> str:
        if run.state is RunState.STOPPING:
            return ""
        if task.step.job.ended or task.done:
            return "not needed"
        if run.state is not RunState.RUNNING:
            return ""
        if worker.life.draining and self._should_leave(worker, task, run, now):
            return "the worker leaves"
        if worker.unsound_until > now and self._is_better_off(
            worker, task, run
        ):
            task.failed_on.add(worker.number)
            return "the worker is unsound"
        if worker.reached and is_stalled(task, run, worker.heard_at):
            self._hold_against(worker, task)
            task.failed_on.add(worker.number)
            return "no progress"
        return ""

    def _is_better_off(self, worker: Worker, task: Task, run: Run) -> bool:
        """True if a run on an unsound worker should go elsewhere."""
        spec = task.step.spec
        if spec.lasting:
            return run.percent >= _AT_WORK and may_take_away(task.step)
        for other, candidate, progress in self._progress(worker):
            if other is task and candidate is run:
                kept = progress.percent / 100 if spec.saves else 0.0
                again = progress.expected * (1 - kept) + _MOVE_COST
                return progress.left > again
        return False

    def _should_leave(
        self, worker: Worker, task: Task, run: Run, now: float
    ) -> bool:
        if task.step.spec.lasting:
            return True
        if not run.began_at or run.percent <= 0:
            return False
        elapsed = run.percent_at - run.state_at
        left = elapsed * (100 - run.percent) / run.percent
        return left > worker.drain_left(now)

    def on_listed(self, worker: Worker) -> None:
        """Learns from the figures of a new listing."""
        now = trio.current_time()
        loads = worker.filler_loads()
        self._check_soundness(worker, loads, now)
        if not worker.serves:
            return
        for reading in worker.readings(now):
            if loads or reading.ratio < _SOUND_ALONE:
                self._disturbance.learn(
                    reading.image, loads, reading.typical, now
                )

    def _check_soundness(
        self, worker: Worker, loads: Mapping[str, float], now: float
    ) -> None:
        """Marks a worker that is in trouble, for as long as it is seen."""
        explained = max(
            (self._disturbance.added(s, loads) for s in worker.serving),
            default=0.0,
        )
        sick = is_sick(worker.readings(now), explained)
        runs = [progress for _, _, progress in self._progress(worker)]
        slow = self._speeds.is_slow(worker.number, runs, now)
        if not sick and not slow:
            return
        if now > worker.unsound_until:
            note("worker_unsound", worker=worker.life.id, sick=sick, slow=slow)
        worker.unsound_until = now + UNSOUND_FOR

    def _progress(self, worker: Worker) -> list[tuple[Task, Run, Progress]]:
        """Returns how far the runs are that end and were never slowed."""
        found = []
        for task, run in worker.running():
            elapsed = run.percent_at - run.state_at
            if task.step.spec.lasting or run.paced_at or elapsed <= 0:
                continue
            if not run.decided_at:
                # Adopted: how long and how fast it worked isn't known.
                continue
            queue = task.step.job.queue.name
            expected = self._durations.task(queue, task.step.spec)
            found.append(
                (
                    task,
                    run,
                    Progress(task.step.job.id, expected, run.percent, elapsed),
                )
            )
        return found

    def _pace_fillers(self, orders: Orders) -> None:
        now = trio.current_time()
        for worker in self._roster.workers():
            if worker.filled and now - worker.paced_at >= SETTLE:
                self._pace_on(worker, orders, now)

    def _is_misplaced(self, worker: Worker, task: Task, run: Run) -> bool:
        """True if a filler surely disturbs, and loses little by a move."""
        spec = task.step.spec
        if not spec.saves and run.percent >= _LITTLE_DONE:
            return False
        if run.pace <= MOVE_BELOW:
            # It was slowed before, and that has not become better.
            return True
        return any(
            self._disturbance.is_bad(image, spec.image)
            for image in worker.serving
        )

    def _pace_on(self, worker: Worker, orders: Orders, now: float) -> None:
        capacity = max(worker.life.capacity.cpu, 1)
        runs = [
            (task, run)
            for task, run in worker.running()
            if task.step.spec.fills
        ]
        fillers = [
            Filler(
                task.step.spec.image,
                task.step.spec.size.cpu / capacity,
                run.pace,
            )
            for task, run in runs
        ]
        paces = next_paces(worker.readings(now), fillers, self._disturbance)
        for (task, run), pace in zip(runs, paces, strict=True):
            stuck = pace <= MOVE_BELOW and now - run.paced_at > _STUCK_AFTER
            if pace == run.pace and not (stuck and run.paced_at):
                continue
            worker.paced_at = run.paced_at = now
            if pace <= MOVE_BELOW and self._is_misplaced(worker, task, run):
                orders.stop(worker, task, run, "disturbs what serves")
            else:
                orders.pace(worker, task, run, pace)


def _is_short(step: Step) -> bool:
    """True for urgent work that reserves its room for a short time."""
    spec = step.spec
    return not (spec.fills or spec.lasting or step.job.queue.priority)


def _leaves_headroom(step: Step) -> bool:
    """True for work that reserves room and isn't urgent, or keeps it long."""
    return not step.spec.fills and not _is_short(step)
