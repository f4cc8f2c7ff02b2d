"""One worker life as the owner of a cell knows it."""

from collections import Counter, deque
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
import statistics
from typing import Final, NamedTuple

import trio

from pimentocross.contracts.worker_link import (
    WorkerFencedError,
    WorkerLife,
    WorkerLink,
    WorkerReplacedError,
)
from pimentocross.owner import const
from pimentocross.owner.clock import WorkerClock
from pimentocross.placement.pacing import Reading
from pimentocross.work.crash_history import PROVEN_AFTER
from pimentocross.work.spec import NO_SIZE, Size, StepSpec
from pimentocross.work.state import Job, Run, RunState, Step, Task

RunKey = tuple[Task, int]
# A lasting task that is at work is listed with this percentage.
AT_WORK: Final = 100
# A figure covers half a second, and a queue takes a moment to drain.
FIGURE_SPAN: Final = 0.7
# Figures are read every half second, and one in thirty is over the target by
# chance: from the second on it is taken to last.
OVER_TWICE: Final = 0.8


class Departure(NamedTuple):
    """A filler that has left: when, its image, and what it used."""

    at: float
    image: str
    figure: int


class Worker:
    """A worker life, what it carries and its lease.

    Attributes:
        life: As last listed in the directory.
        number: Its number in the roster.
        link: How it is reached.
        clock: Its clock.
        runs: Runs that may be on it.
        committed: What those take of its capacity.
        lease_end: Latest reading of its clock up to which anything was let
            run, or None if a former owner may have granted more.
        blind_until: Until when a former owner's leases may last, monotonic.
        barred: Whether a record says that nothing may run there; see
            `FormerLeases`.
        cleared: Set once no record in force says so; None unless one did.
        heard_at: When it last listed what runs, monotonic.
        seen: Number of the newest ending whose record is stored.
        paced_at: When fillers on it were last slowed or sped up, monotonic.
        unsound_until: Until when it gets nothing new, monotonic.
        draining_since: When it was first listed as leaving, or None.
        calls: Bounds the orders that are on their way to it.
        adopted: Whether it has listed what runs to this owner.
        listed: Whether the directory lists it.
        unknown: Whether its entry was the first that was ever known of it, or
            a former owner had seen it end.
        gone: Whether this life has surely ended.
        replaced: Whether its machine is known to have another life.
        restarts: Lives of its id before it that this owner had met.
        follows: Whether orders that were meant for a former life of its id
            may reach it.
        reached: False from the first call without an answer to the next.
        silent_at: When that was last so, monotonic.
        doubtful: Whether another life of its id may have taken its place: a
            call failed, or its clock went back.
        late_until: Until when a start that it didn't answer may begin there,
            monotonic.
        isolated: Runs that keep other starts off it, and the seconds that each
            has to live.
        suspects: Runs of tasks under which workers have crashed.
        version: Rises with each run that is added or removed, and with each
            listing.
    """

    def __init__(
        self,
        life: WorkerLife,
        number: int,
        link: WorkerLink,
        orders_at_once: int = const.MAX_CONCURRENT_ORDERS,
    ) -> None:
        """Makes a worker that was not heard yet."""
        self.life = life
        self.number = number
        self.link = link
        self.clock = WorkerClock()
        self.runs: dict[RunKey, Run] = {}
        self.isolated: dict[RunKey, float] = {}
        self.suspects: set[RunKey] = set()
        self.committed = NO_SIZE
        self.lease_end: float | None = None
        self.blind_until = 0.0
        self.barred = False
        self.cleared: trio.Event | None = None
        self.heard_at = float("-inf")
        self.seen = 0
        self.adopted = False
        self.listed = True
        self.unknown = False
        self.gone = False
        self.replaced = False
        self.reached = True
        self.silent_at = 0.0
        self.late_until = float("-inf")
        self.doubtful = False
        self.restarts = 0
        self.follows = False
        self.version = 0
        self.draining_since: float | None = None
        self.calls = trio.Semaphore(orders_at_once)
        self.paced_at = 0.0
        self.unsound_until = float("-inf")
        self._left: deque[Departure] = deque()
        self._step_counts: dict[Step, int] = {}
        self._brief_counts: dict[Step, int] = {}
        self._over_since: dict[str, float] = {}
        self._serving: Counter[str] = Counter()
        self._filling: Counter[str] = Counter()
        self._filled = 0
        self._free = NO_SIZE
        # Of which capacity and commitments that is.
        self._free_of = (NO_SIZE, NO_SIZE)

    @property
    def free(self) -> Size:
        """What is not committed."""
        capacity, committed = self._free_of
        if (
            capacity is not self.life.capacity
            or committed is not self.committed
        ):
            self._free_of = (self.life.capacity, self.committed)
            self._free = self.life.capacity.minus(self.committed)
        return self._free

    @contextmanager
    def calling(self) -> Iterator[None]:
        """Has a call that our own token for the next life fenced fail rightly.

        Raises:
            WorkerReplacedError: That life has taken this one's place.
        """
        try:
            yield
        except WorkerFencedError as error:
            if not self.gone:
                raise
            raise WorkerReplacedError from error

    def carries(self, spec: StepSpec) -> bool:
        """True if it carries what is committed, of all that a task takes."""
        taken = zip(spec.committed, self.free, strict=True)
        return all(part <= 0 or free >= 0 for part, free in taken)

    @property
    def usable(self) -> bool:
        """True if new runs may be sent to it."""
        return (
            self.adopted
            and self.listed
            and self.reached
            and self.cleared is None
            and not self.gone
            and not self.life.draining
        )

    @property
    def was_up(self) -> bool:
        """True if it surely lived lately, for this owner or a former one.

        An entry outlives its worker by seconds, and a new owner meets it anew.
        """
        return not self.unknown or self.heard_at > float("-inf")

    @property
    def is_isolating(self) -> bool:
        """True while an isolated run keeps others off."""
        return bool(self.isolated)

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may be on it."""
        return self._step_counts.get(step, 0)

    def add(self, task: Task, run: Run) -> None:
        """Commits what a run takes."""
        self.version += 1
        self.runs[(task, run.number)] = run
        if task.crash_history.crashes:
            self.suspects.add((task, run.number))
        self.committed = self.committed.plus(task.step.spec.committed)
        self._count_step(task.step, 1)
        self._count_image(task, 1)

    def remove(self, task: Task, number: int) -> None:
        """Releases what a run took."""
        run = self.runs.pop((task, number), None)
        if run is None:
            return
        self.version += 1
        self.isolated.pop((task, number), None)
        self.suspects.discard((task, number))
        if task.step.spec.fills and run.figure:
            now = trio.current_time()
            image = task.step.spec.image
            self._left.append(Departure(now, image, run.figure))
        self.committed = self.committed.minus(task.step.spec.committed)
        self._count_image(task, -1)
        self._count_step(task.step, -1)

    def lapsed(self, now: float) -> bool:
        """True once every lease must have ended, and none can be renewed."""
        return now > self.lapses_at

    @property
    def lapses_at(self) -> float:
        """When every lease must have ended if none is renewed, monotonic."""
        if self.lease_end is None or not self.clock.known:
            return self.blind_until
        return self.clock.past_at(self.lease_end)

    @property
    def serves(self) -> bool:
        """True if a task with a target for its response times is on it."""
        return bool(self._serving)

    @property
    def filled(self) -> int:
        """Processor time that tasks that fill ask for, thousandths."""
        return self._filled

    @property
    def serving(self) -> Mapping[str, int]:
        """Processor time that serving tasks ask for, thousandths by image."""
        return self._serving

    @property
    def filling(self) -> Mapping[str, int]:
        """The same of tasks that fill."""
        return self._filling

    def brief(self) -> Mapping[Step, int]:
        """Returns runs by step of what neither lasts nor fills."""
        return self._brief_counts

    def _count_step(self, step: Step, sign: int) -> None:
        brief = not (step.spec.lasting or step.spec.fills)
        counted = (self._step_counts, self._brief_counts)
        for counts in counted if brief else counted[:1]:
            counts[step] = counts.get(step, 0) + sign
            if not counts[step]:
                del counts[step]

    def _count_image(self, task: Task, sign: int) -> None:
        spec = task.step.spec
        if spec.fills:
            counter = self._filling
            self._filled += sign * spec.size.cpu
        elif spec.target_tail:
            counter = self._serving
        else:
            return
        counter[spec.image] += sign * spec.size.cpu
        if counter[spec.image] <= 0:
            del counter[spec.image]

    def filler_loads(self) -> dict[str, float]:
        """Returns the share of its processors that each image fills."""
        used: Counter[str] = Counter()
        for (task, _), run in self.runs.items():
            spec = task.step.spec
            if spec.fills:
                used[spec.image] += run.figure
        now = trio.current_time()
        while self._left and now - self._left[0].at > FIGURE_SPAN:
            self._left.popleft()
        for departure in self._left:
            # The figures of those it disturbed still show a part of it.
            share = 1.0 - (now - departure.at) / FIGURE_SPAN
            used[departure.image] += int(departure.figure * share)
        capacity = max(self.life.capacity.cpu, 1)
        return {i: cpu / capacity for i, cpu in used.items() if cpu > 0}

    @property
    def misses_target(self) -> bool:
        """True if a serving task was over its target twice in a row."""
        if not self._over_since:
            return False
        return self.over_for(trio.current_time()) >= OVER_TWICE

    def over_for(self, now: float) -> float:
        """Returns for how many seconds a serving image has been over."""
        return now - min(self._over_since.values(), default=now)

    def readings(self, now: float) -> list[Reading]:
        """Returns how each serving image does that is at work."""
        ratios: dict[str, list[float]] = {}
        for task, run in self.running():
            spec = task.step.spec
            if spec.target_tail and run.percent >= AT_WORK and run.figure:
                ratio = run.figure / spec.target_tail
                ratios.setdefault(spec.image, []).append(ratio)
        for image in list(self._over_since):
            if max(ratios.get(image, [0.0])) < 1.0:
                del self._over_since[image]
        return [
            Reading(
                image,
                max(found),
                statistics.median(found),
                self._over_for(image, max(found), now),
            )
            for image, found in ratios.items()
        ]

    def _over_for(self, image: str, ratio: float, now: float) -> float:
        if ratio < 1.0:
            return 0.0
        return now - self._over_since.setdefault(image, now)

    def lived(self, run: Run) -> float:
        """Returns for how many seconds a run was seen to live here.

        A run that its worker never listed may have lived for no time at all.
        """
        if not run.began_at:
            return run.lived_before
        running = run.state is RunState.RUNNING
        since = run.state_at if running else run.began_at
        return run.lived_before + max(self.heard_at - since, 0.0)

    def isolate(self, task: Task, run: Run) -> None:
        """Lets nothing else start here until a run has proved harmless."""
        self.isolated[(task, run.number)] = task.crash_history.isolation

    def isolate_adopted(self) -> None:
        """Isolates what a former owner had: runs of one job that are to be.

        With those of several jobs it had none of them isolated.
        """
        found = [
            (task, run)
            for (task, _), run in self.runs.items()
            if task.crash_history.needs_isolation
        ]
        if len({task.step.job for task, _ in found}) == 1:
            for task, run in found:
                self.isolate(task, run)

    def end_isolation(self) -> None:
        """Ends isolation of runs that lived long enough."""
        over = [
            key
            for key, least in self.isolated.items()
            if self.lived(self.runs[key]) >= least
        ]
        for key in over:
            del self.isolated[key]

    def is_proven(self, job: Job) -> bool:
        """True if no run of another job has only just started here."""
        return all(
            task.step.job is job or self.lived(run) >= PROVEN_AFTER
            for (task, _), run in self.runs.items()
        )

    def running(self) -> list[tuple[Task, Run]]:
        """Returns the runs that were listed and aren't being stopped."""
        return [
            (task, run)
            for (task, _), run in self.runs.items()
            if run.state is RunState.RUNNING
        ]

    def settled(self, now: float, least: float) -> list[Task]:
        """Returns lasting tasks, in no gang, at work for at least some seconds.

        What a former owner had started counts as long at work: a new one would
        else have nothing give way for seconds after each take-over. What may
        not be started again at once stays where it is.

        Args:
            now: Present time.
            least: Seconds; what has just come does no work if it moves again.
        """
        return [
            task
            for task, run in self.running()
            if task.step.spec.lasting
            and not task.step.spec.gang
            and run.percent >= AT_WORK
            and (run.is_adopted or now - run.began_at >= least)
            and not run.may_come_late(now)
        ]

    def drain_left(self, now: float) -> float:
        """Returns the seconds that a draining worker surely still has."""
        since = self.draining_since if self.draining_since else now
        return max(self.life.remaining - (now - since), 0.0)
