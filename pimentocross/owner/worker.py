"""State that the owner of a cell keeps about one worker life."""

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
from pimentocross.work.crash_history import (
    MAX_RESERVATION,
    STARTUP_CRASH_WINDOW,
)
from pimentocross.work.spec import NO_SIZE, Size, StepSpec
from pimentocross.work.state import Job, Run, RunState, Step, Task

RunKey = tuple[Task, int]
# Progress percentage that a worker lists for a lasting task that is at work.
AT_WORK_PERCENT: Final = 100
# Seconds for which a stopped best-effort run still affects the figures of other
# runs: a figure covers half a second, and a queue takes a moment to drain.
FIGURE_WINDOW: Final = 0.7
# Seconds over its target after which a serving image counts as suffering.
# Figures are read every half second and one in thirty is over the target by
# chance, so a second one in a row is needed.
SUFFERS_AFTER: Final = 0.8
# Seconds for which a worker that was reserved in series is open to all tasks.
_OPEN_AFTER_RESERVATIONS: Final = 1.0


class IsolatedRun(NamedTuple):
    """A run beside which nothing else may start.

    Attributes:
        least: Seconds that it has to live before that ends.
        until: When that ends in any case, monotonic seconds.
    """

    least: float
    until: float


class StoppedBestEffortRun(NamedTuple):
    """A run of a best-effort task that was removed from a worker.

    Attributes:
        at: When it was removed, monotonic seconds.
        image: Its image.
        figure: Processor time that it used, thousandths of a core.
    """

    at: float
    image: str
    figure: int


class Worker:
    """A worker life, the runs committed to it and its lease.

    Attributes:
        life: Its newest directory entry.
        number: Its number in the roster.
        link: Sends calls to it.
        clock: Bounds of its steady clock.
        runs: Runs that may be on it.
        committed: Capacity committed to these runs.
        lease_end: Latest deadline of the leases granted to it, as a reading of
            its clock, or None if a former owner may have granted more.
        former_leases_until: Until when leases of former owners may last,
            monotonic.
        barred: Whether the stored lease record says that nothing may run on
            it; see `FormerLeases`.
        unbar_recorded: Set once a lease record that doesn't bar it is stored;
            None unless a record barred it.
        heard_asked_at: When the newest listing was asked for that this life has
            answered, monotonic.
        last_reply_at: When it last listed its runs, monotonic.
        newest_stored_ending: Number of the newest ending whose record is
            stored.
        paced_at: When its best-effort runs were last slowed or sped up,
            monotonic.
        unsound_until: Until when it gets no new runs, monotonic.
        unsound_since: Since when it has got none on end, monotonic.
        tried_until: Until when it gets new runs whatever its figures are,
            monotonic.
        draining_since: When it was first listed as draining, or None.
        calls: Limits the concurrent orders to it.
        adopted: Whether it has listed its runs to this owner.
        listed: Whether the directory lists it.
        newly_listed: Whether no life of its number was known before its entry
            was read: it is new, or it had ended for a former owner.
        gone: Whether this life has surely ended.
        replaced: Whether another life of its VM is known.
        restarts: How many earlier lives of its id this owner has met.
        unfenced: Whether perhaps no owner has called this life yet, so that it
            may still grant leases for calls to the former life of its id.
        long_lease_until: When leases that it granted for such calls must have
            ended, monotonic.
        may_get_former_orders: Whether it may receive orders that were sent to
            an earlier life of its id.
        reachable: False from the first failed call to the next answered one.
        silent_since: When it last became unreachable, monotonic.
        maybe_replaced: Whether another life of its id may have taken its
            place: a call failed, or its clock went back.
        late_until: Until when a start that it didn't answer may begin on it,
            monotonic.
        isolated: Runs beside which nothing else may start, and when that ends.
        suspects: Runs of tasks under which workers have crashed.
        version: Increases with each run that is added or removed, and with
            each listing.
    """

    def __init__(
        self,
        life: WorkerLife,
        number: int,
        link: WorkerLink,
        orders_at_once: int = const.MAX_CONCURRENT_ORDERS,
    ) -> None:
        """Initializes the state of a worker that has not been called yet.

        Args:
            life: Its directory entry.
            number: Its number in the roster.
            link: Sends calls to it.
            orders_at_once: Most concurrent orders to it.
        """
        self.life = life
        self.number = number
        self.link = link
        self.clock = WorkerClock()
        self.runs: dict[RunKey, Run] = {}
        self.isolated: dict[RunKey, IsolatedRun] = {}
        # When the newest isolation ended, and when the first of those began
        # that followed one another until then, monotonic.
        self._isolation_ended_at = float("-inf")
        self._isolating_since = float("-inf")
        self.suspects: set[RunKey] = set()
        self.committed = NO_SIZE
        self.lease_end: float | None = None
        self.former_leases_until = 0.0
        self.barred = False
        self.unbar_recorded: trio.Event | None = None
        self.heard_asked_at = float("-inf")
        self.last_reply_at = float("-inf")
        self.newest_stored_ending = 0
        self.adopted = False
        self.listed = True
        self.newly_listed = False
        self.gone = False
        self.replaced = False
        self.reachable = True
        self.silent_since = 0.0
        self.late_until = float("-inf")
        self.maybe_replaced = False
        self.restarts = 0
        self.may_get_former_orders = False
        self.unfenced = False
        self.long_lease_until = float("-inf")
        self.version = 0
        self.draining_since: float | None = None
        self.calls = trio.Semaphore(orders_at_once)
        self.paced_at = 0.0
        self.unsound_until = float("-inf")
        self.unsound_since = float("-inf")
        self.tried_until = float("-inf")
        self._stopped_best_effort: deque[StoppedBestEffortRun] = deque()
        self._step_counts: dict[Step, int] = {}
        self._short_run_counts: dict[Step, int] = {}
        self._over_target_since: dict[str, float] = {}
        self._serving: Counter[str] = Counter()
        self._filling: Counter[str] = Counter()
        self._filling_cpu = 0
        self._free = NO_SIZE
        # The capacity and commitments from which `_free` was computed.
        self._free_basis = (NO_SIZE, NO_SIZE)

    @property
    def free(self) -> Size:
        """Capacity that is not committed to runs."""
        capacity, committed = self._free_basis
        if (
            capacity is not self.life.capacity
            or committed is not self.committed
        ):
            self._free_basis = (self.life.capacity, self.committed)
            self._free = self.life.capacity.minus(self.committed)
        return self._free

    @contextmanager
    def calling(self) -> Iterator[None]:
        """Converts a fencing error into a replacement error if this life ended.

        The next life of the same id gets orders with a higher token of this
        owner, which fences later calls that were meant for this life.

        Raises:
            WorkerReplacedError: The next life has taken this one's place.
            WorkerFencedError: Another owner has taken over.
        """
        try:
            yield
        except WorkerFencedError as error:
            if not self.gone:
                raise
            raise WorkerReplacedError from error

    def has_capacity_for(self, spec: StepSpec) -> bool:
        """True if its capacity covers its commitments for a task sent to it.

        The task counts as committed already. Only resources that it takes are
        compared.
        """
        taken = zip(spec.committed, self.free, strict=True)
        return all(part <= 0 or free >= 0 for part, free in taken)

    @property
    def usable(self) -> bool:
        """True if new runs may be sent to it."""
        return (
            self.adopted
            and self.listed
            and self.reachable
            and self.unbar_recorded is None
            and not self.gone
            and not self.life.draining
        )

    @property
    def was_up(self) -> bool:
        """True if it surely was up recently, for this owner or a former one.

        A directory entry outlives its worker by seconds, and a new owner may
        read one of a worker that has ended already.
        """
        return not self.newly_listed or self.last_reply_at > float("-inf")

    @property
    def is_isolating(self) -> bool:
        """True while an isolated run lets nothing else start here."""
        return bool(self.isolated)

    def count_of(self, step: Step) -> int:
        """Returns how many runs of a step may be on it."""
        return self._step_counts.get(step, 0)

    def add(self, task: Task, run: Run) -> None:
        """Adds a run and commits capacity to it."""
        self.version += 1
        self.runs[(task, run.number)] = run
        if task.crash_history.crashes:
            self.suspects.add((task, run.number))
        self.committed = self.committed.plus(task.step.spec.committed)
        self._count_step(task.step, 1)
        self._count_image(task, 1)

    def remove(self, task: Task, number: int) -> None:
        """Removes a run and releases its capacity."""
        run = self.runs.pop((task, number), None)
        if run is None:
            return
        self.version += 1
        if self.isolated.pop((task, number), None) is not None:
            self._note_isolation_ended(trio.current_time())
        self.suspects.discard((task, number))
        if task.step.spec.fills and run.figure:
            now = trio.current_time()
            image = task.step.spec.image
            self._stopped_best_effort.append(
                StoppedBestEffortRun(now, image, run.figure)
            )
        self.committed = self.committed.minus(task.step.spec.committed)
        self._count_image(task, -1)
        self._count_step(task.step, -1)

    def lapsed(self, now: float) -> bool:
        """True once every lease granted to this worker must have ended."""
        return now > self.lapses_at

    @property
    def lapses_at(self) -> float:
        """When all its leases must have ended without renewal, monotonic."""
        if self.lease_end is None or not self.clock.known:
            return self.former_leases_until
        return self.clock.latest_time_of(self.lease_end)

    @property
    def serves(self) -> bool:
        """True if a task with a response time target is on it."""
        return bool(self._serving)

    @property
    def best_effort_cpu(self) -> int:
        """CPU requested by best-effort tasks, in thousandths of a core."""
        return self._filling_cpu

    @property
    def serving(self) -> Mapping[str, int]:
        """Processor time that serving tasks request, by image.

        The unit is a thousandth of a core.
        """
        return self._serving

    @property
    def filling(self) -> Mapping[str, int]:
        """CPU requested by best-effort tasks, by image as in `serving`."""
        return self._filling

    def short_run_counts(self) -> Mapping[Step, int]:
        """Returns run counts of steps that neither last nor fill."""
        return self._short_run_counts

    def _count_step(self, step: Step, sign: int) -> None:
        is_short = not (step.spec.lasting or step.spec.fills)
        counted = (self._step_counts, self._short_run_counts)
        for counts in counted if is_short else counted[:1]:
            counts[step] = counts.get(step, 0) + sign
            if not counts[step]:
                del counts[step]

    def _count_image(self, task: Task, sign: int) -> None:
        spec = task.step.spec
        if spec.fills:
            counter = self._filling
            self._filling_cpu += sign * spec.size.cpu
        elif spec.target_tail:
            counter = self._serving
        else:
            return
        counter[spec.image] += sign * spec.size.cpu
        if counter[spec.image] <= 0:
            del counter[spec.image]

    def best_effort_loads(self) -> dict[str, float]:
        """Returns the share of its CPU that best-effort tasks use, by image."""
        used: Counter[str] = Counter()
        for (task, _), run in self.runs.items():
            spec = task.step.spec
            if spec.fills:
                used[spec.image] += run.figure
        stopped_runs = self._stopped_best_effort
        now = trio.current_time() if stopped_runs else 0.0
        while stopped_runs and now - stopped_runs[0].at > FIGURE_WINDOW:
            stopped_runs.popleft()
        for stopped in stopped_runs:
            # The figures of runs that it disturbed still include a part of it.
            share = 1.0 - (now - stopped.at) / FIGURE_WINDOW
            used[stopped.image] += int(stopped.figure * share)
        capacity = max(self.life.capacity.cpu, 1)
        return {i: cpu / capacity for i, cpu in used.items() if cpu > 0}

    @property
    def misses_target(self) -> bool:
        """True if a serving image was over its target twice in a row."""
        if not self._over_target_since:
            return False
        return self.seconds_over_target(trio.current_time()) >= SUFFERS_AFTER

    def seconds_over_target(self, now: float) -> float:
        """Returns the most seconds that a serving image is over its target."""
        return now - min(self._over_target_since.values(), default=now)

    def readings(self, now: float) -> list[Reading]:
        """Returns each serving image's response times relative to target."""
        ratios: dict[str, list[float]] = {}
        for task, run in self.running():
            spec = task.step.spec
            if (
                spec.target_tail
                and run.percent >= AT_WORK_PERCENT
                and run.figure
            ):
                ratio = run.figure / spec.target_tail
                ratios.setdefault(spec.image, []).append(ratio)
        for image in list(self._over_target_since):
            if max(ratios.get(image, [0.0])) < 1.0:
                del self._over_target_since[image]
        return [
            Reading(
                image,
                max(found),
                statistics.median(found),
                self._update_over_target(image, max(found), now),
            )
            for image, found in ratios.items()
        ]

    def _update_over_target(
        self, image: str, ratio: float, now: float
    ) -> float:
        if ratio < 1.0:
            return 0.0
        return now - self._over_target_since.setdefault(image, now)

    def lived(self, run: Run) -> float:
        """Returns for how many seconds a run is known to have lived here.

        A run that this owner never saw listed may not have begun: only the time
        that a former owner recorded counts for it.
        """
        if not run.began_at:
            return run.lived_before
        running = run.state is RunState.RUNNING
        since = run.state_at if running else run.began_at
        return run.lived_before + max(self.last_reply_at - since, 0.0)

    def may_isolate(self, now: float) -> bool:
        """Returns whether this worker may be reserved for one more run.

        Reservations that follow one another leave it open to all tasks from
        time to time.
        """
        if now - self._isolation_ended_at >= _OPEN_AFTER_RESERVATIONS:
            return True
        return now - self._isolating_since < MAX_RESERVATION

    def isolate(self, task: Task, run: Run, now: float) -> None:
        """Lets nothing else start here until a run has lived long enough.

        It ends with the run and after a time limit as well.
        """
        is_series = (
            self.isolated
            or now - self._isolation_ended_at < _OPEN_AFTER_RESERVATIONS
        )
        if not is_series:
            self._isolating_since = now
        history = task.crash_history
        self.isolated[(task, run.number)] = IsolatedRun(
            history.isolation_seconds, now + history.reservation_seconds
        )

    def isolate_adopted(self, now: float) -> None:
        """Isolates the runs that a former owner had isolated here.

        These are runs of a single job. If runs of several jobs need isolation,
        the former owner had isolated none of them.

        Args:
            now: Present time, monotonic.
        """
        found = [
            (task, run)
            for (task, _), run in self.runs.items()
            if task.crash_history.needs_isolation
        ]
        if len({task.step.job for task, _ in found}) == 1:
            for task, run in found:
                self.isolate(task, run, now)

    def end_isolation(self, now: float) -> None:
        """Ends the isolation of runs that have lived long enough.

        Args:
            now: Present time, monotonic.
        """
        over = [
            key
            for key, isolated in self.isolated.items()
            if now >= isolated.until
            or self.lived(self.runs[key]) >= isolated.least
        ]
        for key in over:
            del self.isolated[key]
        if over:
            self._note_isolation_ended(now)

    def _note_isolation_ended(self, now: float) -> None:
        if not self.isolated:
            self._isolation_ended_at = now

    def is_proven(self, job: Job) -> bool:
        """True if all runs of other jobs here have outlived the crash window.

        See `STARTUP_CRASH_WINDOW`.
        """
        return all(
            task.step.job is job or self.lived(run) >= STARTUP_CRASH_WINDOW
            for (task, _), run in self.runs.items()
        )

    def running(self) -> list[tuple[Task, Run]]:
        """Returns the runs that were listed and are not being stopped."""
        return [
            (task, run)
            for (task, _), run in self.runs.items()
            if run.state is RunState.RUNNING
        ]

    def settled(self, now: float, least: float) -> list[Task]:
        """Returns the lasting tasks here that may be moved to another worker.

        These are in no gang and at work for at least `least` seconds. A run
        that a former owner started counts as long at work: otherwise a new
        owner could move nothing for seconds after each take-over. Runs that
        may not be started again at once are left out.

        Args:
            now: Present time.
            least: Seconds at work before a task may move. A task that has only
                just arrived would get no work done if it moved again.
        """
        return [
            task
            for task, run in self.running()
            if task.step.spec.lasting
            and not task.step.spec.gang
            and run.percent >= AT_WORK_PERCENT
            and (run.is_adopted or now - run.began_at >= least)
            and not run.may_start_late(now)
        ]

    def drain_left(self, now: float) -> float:
        """Returns the seconds that a draining worker surely has left."""
        since = self.draining_since if self.draining_since else now
        return max(self.life.remaining - (now - since), 0.0)
