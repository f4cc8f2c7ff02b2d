"""An in-memory fake of a worker that runs tasks under a lease."""

from collections.abc import Callable
import random
from typing import NamedTuple

import trio

from pimentocross.contracts.worker_link import (
    Ending,
    EndKind,
    HoldReply,
    ListedRun,
    StartOrder,
    StartVerdict,
    WorkerFencedError,
    WorkerLife,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from pimentocross.work.spec import NO_SIZE, Size, TaskName

_PERCENT = 100
_MS = 1000
RUNS_FOREVER = float("inf")
NEVER = float("inf")
# Longest lease in seconds that a worker grants by default.
_GRANTED_MOST = 10.0


class TaskPlan(NamedTuple):
    """The simulated behaviour of a task.

    Attributes:
        seconds: Run time in seconds, or `RUNS_FOREVER`.
        size: Capacity that the task uses.
        fails: Whether the task fails at its end.
        crashes_after: Seconds after the start at which the task crashes its
            worker, or `NEVER`.
        alone: Whether the task ends with `GANG_ALONE`, as a member of a gang
            whose other members never started.
    """

    seconds: float
    size: Size = NO_SIZE
    fails: bool = False
    crashes_after: float = NEVER
    alone: bool = False


class RunEvent(NamedTuple):
    """A journal entry on a run, for later checks."""

    at: float
    worker: str
    task: TaskName
    run: int
    what: str


class WorkerFaults:
    """The faults of a worker; may be changed at any time.

    Attributes:
        silent: Calls neither arrive nor are answered.
        lost: Share of orders that are carried out but not answered.
        late: Share of orders that are carried out seconds later and not
            answered.
        hangs: Tasks are listed as running but make no progress.
        fails_all: Every task that the worker starts fails.
    """

    def __init__(self, seed: int = 0) -> None:
        """Initializes the settings without faults."""
        self.silent = False
        self.lost = 0.0
        self.late = 0.0
        self.hangs = False
        self.fails_all = False
        self.random = random.Random(seed)


class _Running:
    """A run that is in progress on the worker."""

    def __init__(self, order: StartOrder, plan: TaskPlan, now: float) -> None:
        self.order = order
        self.plan = plan
        self.started_at = now
        self.pace = _PERCENT

    @property
    def ends_at(self) -> float:
        return self.started_at + self.plan.seconds

    @property
    def crashes_at(self) -> float:
        return self.started_at + self.plan.crashes_after

    @property
    def changes_at(self) -> float:
        return min(self.ends_at, self.crashes_at)

    def percent(self, now: float) -> int:
        if self.plan.seconds == RUNS_FOREVER:
            return _PERCENT
        done = (now - self.started_at) / max(self.plan.seconds, 0.001)
        return min(int(done * _PERCENT), _PERCENT - 1)


class TaskWorkerStandin:
    """One life of a worker.

    Attributes:
        life: The life as the worker directory lists it.
        faults: The injected faults.
        dead: True once this life has crashed.
        down: True while connections to the worker's address are refused after
            a crash.
        dark: True while the worker's VM answers nothing after a crash. Calls
            wait for the next life.
    """

    def __init__(
        self,
        life: WorkerLife,
        plan: Callable[[TaskName], TaskPlan],
        journal: list[RunEvent],
        *,
        enforces_capacity: bool = True,
        seed: int = 0,
        granted_most: float = _GRANTED_MOST,
    ) -> None:
        """Initializes a worker without runs.

        Args:
            life: The life as the worker directory lists it.
            plan: Returns how a task behaves.
            journal: List to which events of runs are appended.
            enforces_capacity: Whether starts that exceed the capacity are
                refused.
            seed: Seed of the faults and of the clock's offset.
            granted_most: Longest lease in seconds that it grants.
        """
        self.life = life
        self.faults = WorkerFaults(seed)
        self.dead = False
        self.down = False
        self.dark = False
        self._granted_most = granted_most
        self._plan = plan
        self._journal = journal
        self._enforces_capacity = enforces_capacity
        self._offset = random.Random(seed).uniform(0, 1000)
        self._reset()

    def _reset(self) -> None:
        self._token = 0
        self._lease_end = 0.0
        self._runs: dict[tuple[TaskName, int], _Running] = {}
        self._barred: dict[TaskName, int] = {}
        self._endings: list[Ending] = []
        self._ending_count = 0
        self._lapsed = True
        self._lapses = 0
        self._lapse_counts_by_ending: dict[int, int] = {}

    @property
    def committed(self) -> Size:
        """Total size of the current runs."""
        total = NO_SIZE
        for running in self._runs.values():
            total = total.plus(running.plan.size)
        return total

    def clock(self) -> float:
        """Returns the worker's clock, in seconds."""
        return trio.current_time() + self._offset

    def crash(self) -> None:
        """Ends this life and all its runs."""
        self._advance()
        self._drop_runs()

    def restart(self, ahead: float | None = None) -> None:
        """Begins a new life under the same id, without the former state.

        Args:
            ahead: Seconds by which the new clock is ahead of the former one,
                negative if it is behind. If None, the new clock starts at 0.
        """
        if not self.dead:
            self.crash()
        now = trio.current_time()
        self.life = self.life._replace(born=self.life.born + 1 + int(now * _MS))
        self._offset = -now if ahead is None else self._offset + ahead
        self._reset()
        self.dead = self.down = self.dark = False

    def go_dark(self) -> None:
        """Ends this life without a notice to those who are connected."""
        self.crash()
        self.dark = True

    def advance(self) -> None:
        """Advances the simulation to now: ends runs and applies a due crash."""
        if not self.dead:
            self._advance()

    def _drop_runs(self, culprit: tuple[TaskName, int] | None = None) -> None:
        for task, run in list(self._runs):
            what = "crashed" if (task, run) == culprit else "lost"
            self._record_event(task, run, what)
        self._runs.clear()
        self.dead = True

    def next_change(self) -> float:
        """Returns the seconds until the next end, crash or lease expiry."""
        now = self.clock()
        changes = [running.changes_at for running in self._runs.values()]
        return max(min([*changes, self._lease_end], default=now) - now, 0.0)

    def figure(self, plan: TaskPlan) -> int:
        """Returns the figure that a run reports; see `ListedRun`."""
        return 0

    def check_connected(self, born: int) -> None:
        """Checks that the life that accepted a call has not ended.

        Args:
            born: `born` of the life that accepted the call.

        Raises:
            WorkerUnreachableError: That life has ended.
        """
        if self.dead or self.life.born != born:
            raise WorkerUnreachableError("the connection was closed")

    def handle_hold(
        self, token: int, seen: int, deadline: float | None
    ) -> None:
        """Handles a lease renewal.

        Args:
            token: Fencing token of the owner.
            seen: Highest number of an ending that the owner has recorded.
            deadline: New end of the lease on the worker's clock, or None to
                leave it as it is.
        """
        self._check_token(token)
        self._advance()
        for ending in self._endings:
            if ending.number <= seen:
                self._record_acknowledged(ending)
        self._endings = [e for e in self._endings if e.number > seen]
        if deadline is not None:
            self._extend_lease(deadline)

    def listing(self) -> HoldReply:
        """Returns the worker's clock, runs and unacknowledged endings."""
        self._advance()
        now = self.clock()
        running = [
            ListedRun(
                task,
                run,
                "",
                running.percent(now),
                self.figure(running.plan),
            )
            for (task, run), running in self._runs.items()
        ]
        return HoldReply(now, running, list(self._endings), self.life.born)

    def handle_start(self, order: StartOrder) -> StartVerdict:
        """Starts a run, or returns the reason for refusing it."""
        self._check_token(order.token)
        self._advance()
        now = self.clock()
        if (order.task, order.run) in self._runs:
            return StartVerdict.STARTED
        if order.run <= self._barred.get(order.task, 0):
            return StartVerdict.SUPERSEDED
        if order.deadline <= now:
            return StartVerdict.LATE
        plan = self._plan(order.task)
        free = self.life.capacity.minus(self.committed)
        if self._enforces_capacity and not plan.size.fits_in(free):
            return StartVerdict.NO_ROOM
        self._extend_lease(order.deadline)
        self._runs[(order.task, order.run)] = _Running(order, plan, now)
        self._record_event(order.task, order.run, "start")
        return StartVerdict.STARTED

    def handle_stop(self, task: TaskName, run: int, token: int) -> None:
        """Stops a run; bars it and earlier runs of the task from starting."""
        self._check_token(token)
        self._advance()
        self._barred[task] = max(self._barred.get(task, 0), run)
        if (task, run) in self._runs:
            self._end_run(task, run, EndKind.STOPPED, self.clock())

    def _extend_lease(self, deadline: float) -> None:
        longest = self.clock() + self._granted_most
        self._lease_end = max(self._lease_end, min(deadline, longest))
        self._lapsed = False

    def _check_token(self, token: int) -> None:
        self.advance()
        if self.down:
            raise WorkerUnreachableError("connection refused", sent=False)
        if self.dead:
            raise WorkerReplacedError
        if token < self._token:
            raise WorkerFencedError
        self._token = token

    def _advance(self) -> None:
        """Applies the crashes, ends and lease expiry that are due by now."""
        now = self.clock()
        work_until = min(now, self._lease_end)
        for key, running in self._runs.items():
            if running.crashes_at <= min(work_until, running.ends_at):
                self.down = True
                self._drop_runs(key)
                return
        for (task, run), running in list(self._runs.items()):
            if not self.faults.hangs and running.ends_at <= work_until:
                self._end_run(
                    task, run, self._end_kind(running), running.ends_at
                )
        if now >= self._lease_end and not self._lapsed:
            self._lapsed = True
            self._lapses += 1
            for task, run in list(self._runs):
                self._end_run(task, run, EndKind.LAPSED, self._lease_end)

    def _end_kind(self, running: _Running) -> EndKind:
        if running.plan.alone:
            return EndKind.GANG_ALONE
        failed = running.plan.fails or self.faults.fails_all
        return EndKind.FAILED if failed else EndKind.DONE

    def _end_run(
        self, task: TaskName, run: int, how: EndKind, clock: float
    ) -> None:
        """Ends a run; `clock` is its end time on the worker's clock."""
        del self._runs[(task, run)]
        self._ending_count += 1
        self._endings.append(Ending(self._ending_count, task, run, how, ""))
        self._lapse_counts_by_ending[self._ending_count] = self._lapses
        self._barred[task] = max(self._barred.get(task, 0), run)
        self._record_event(task, run, how.value, clock - self._offset)

    def _record_acknowledged(self, ending: Ending) -> None:
        """Journals an ending that the owner has recorded, unless it is void.

        An ending is void if the lease has lapsed since: the task may have been
        started on another worker in the meantime.
        """
        if self._lapse_counts_by_ending[ending.number] == self._lapses:
            what = f"noted {ending.how.value}"
            self._record_event(ending.task, ending.run, what)

    def _record_event(
        self, task: TaskName, run: int, what: str, at: float | None = None
    ) -> None:
        when = trio.current_time() if at is None else at
        event = RunEvent(when, self.life.id, task, run, what)
        self._journal.append(event)
