"""A clock that advances with processor time, and a large cell that uses it.

In plain virtual time code takes no time, so that tests can't show a process
that is overloaded. This clock advances while code runs, as on a VM that is
slower than this machine by a factor, and jumps when all tasks wait. Code of the
stand-ins takes no time; each call to a worker takes the processor time that the
product's HTTP client was measured to need.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
import gc
import random
import time
from typing import Final
from unittest import mock

import trio

from bench.large_jobs import (
    BEST_EFFORT_SIZE,
    QUICK_SIZE,
    SERVING_SIZE,
    TARGET_TAIL_MS,
)
from pimentocross.contracts.worker_link import (
    HoldReply,
    StartOrder,
    StartReply,
    WorkerLife,
    WorkerUnreachableError,
)
from pimentocross.owner import boot_clock
from pimentocross.platform import __main__ as process
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_pool import (
    TaskWorkerLink,
    WorkerPool,
    WorkerPoolAccess,
)
from pimentocross.work.spec import Size, TaskName

# Processor seconds of one call on the client side over loopback HTTP: half of
# what `python -m bench owner` reports for both sides.
CALL_COST: Final = 0.0001
CAPACITY: Final = Size(32_000, 128_000, 0)
_WORKERS_PER_RACK: Final = 20
# Processor seconds of `_measure_loop` on the machine to which factors refer.
_REFERENCE_LOOP_SECONDS: Final = 0.0095
_LOOP_ITERATIONS: Final = 60_000


class ChargingClock(trio.abc.Clock):
    """Clock that advances with used processor time and skips waits.

    Attributes:
        factor: How many times slower the VM is than this machine.
    """

    def __init__(self, factor: float) -> None:
        """Initializes a clock of a VM that is slower by `factor`."""
        self.factor = factor
        self._skipped = 1_000.0
        self._uncharged_seconds = 0.0
        self._excluded_block_depth = 0
        self._began = time.thread_time()

    def start_clock(self) -> None:
        """Starts to count processor time."""
        self._began = time.thread_time()

    def current_time(self) -> float:
        """Returns the virtual time in seconds."""
        used = time.thread_time() - self._began - self._uncharged_seconds
        return self._skipped + used * self.factor

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Advances the clock to a deadline, as no task can run before it."""
        left = deadline - self.current_time()
        if 0 < left < 1e9:
            self._skipped += left
        return 0.0 if left < 1e9 else 0.01

    def charge(self, seconds: float) -> None:
        """Advances the clock by processor time that isn't actually used."""
        self._skipped += seconds * self.factor

    @contextmanager
    def uncharged(self) -> Iterator[None]:
        """Excludes the processor time of the block from the clock."""
        began = time.thread_time()
        self._excluded_block_depth += 1
        try:
            yield
        finally:
            self._excluded_block_depth -= 1
            if not self._excluded_block_depth:
                self._uncharged_seconds += time.thread_time() - began


class UnchargedWorker(TaskWorkerStandin):
    """Stand-in worker that reports figures and takes no time on the clock."""

    def __init__(
        self,
        clock: ChargingClock,
        life: WorkerLife,
        plan: Callable[[TaskName], TaskPlan],
        journal: list[RunEvent],
        seed: int,
    ) -> None:
        """Initializes a worker on a clock; see `TaskWorkerStandin`."""
        super().__init__(life, plan, journal, seed=seed)
        self.charging = clock
        self._figures = random.Random(seed)

    def figure(self, plan: TaskPlan) -> int:
        """Returns a figure as a serving or best-effort task would report."""
        ratio = self._figures.uniform(0.3, 0.9)
        whole = (
            TARGET_TAIL_MS if plan.seconds == RUNS_FOREVER else plan.size.cpu
        )
        return int(whole * ratio)


class ChargedLink(TaskWorkerLink):
    """Link that charges each call and times out as the product's client does.

    An answer after the caller's timeout doesn't count, even if it was the
    caller that read it late.
    """

    def __init__(self, worker: UnchargedWorker, cut: set[str]) -> None:
        """Initializes a link to a worker; lives in `cut` are unreachable."""
        super().__init__(worker, cut)
        self._uncharged_worker = worker

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Lists runs and endings."""
        worker = self._uncharged_worker
        with self._charged(timeout):
            await self._send_order(
                lambda: worker.handle_hold(token, seen, deadline), timeout
            )
            born = worker.life.born
            until = trio.current_time() + wait
            while True:
                with worker.charging.uncharged():
                    worker.check_connected(born)
                    reply = worker.listing()
                    pause = worker.next_change()
                left = until - trio.current_time()
                if reply.endings or left <= 0:
                    break
                await trio.sleep(min(left, pause + 0.01))
        return reply

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Starts a run."""
        with self._charged(timeout):
            return await super().start(order, timeout)

    async def stop(
        self, task: TaskName, run: int, token: int, timeout: float
    ) -> None:
        """Stops a run."""
        with self._charged(timeout):
            await super().stop(task, run, token, timeout)

    @contextmanager
    def _charged(self, timeout: float) -> Iterator[None]:
        self._uncharged_worker.charging.charge(CALL_COST)
        try:
            with trio.fail_after(timeout):
                yield
        except trio.TooSlowError as error:
            raise WorkerUnreachableError("no answer in time") from error

    async def _send_order(
        self, carry_out: Callable[[], None], timeout: float
    ) -> None:
        def carry_out_uncharged() -> None:
            with self._uncharged_worker.charging.uncharged():
                carry_out()

        await super()._send_order(carry_out_uncharged, timeout)


class _ChargedAccess(WorkerPoolAccess):
    """Access to workers over links that charge each call."""

    def link(self, life: WorkerLife) -> TaskWorkerLink:
        worker = self._pool.workers.get(life.id)
        if not isinstance(worker, UnchargedWorker):
            return super().link(life)
        return ChargedLink(worker, self._cut)


class LargeWorkerPool(WorkerPool):
    """Workers of a large cell, with calls charged to the clock."""

    def access(self, vm: str) -> WorkerPoolAccess:
        """Returns the access of a VM."""
        return _ChargedAccess(self, self.cut.setdefault(vm, set()))


def make_large_worker_pool(
    clock: ChargingClock, workers: int, plan: Callable[[TaskName], TaskPlan]
) -> LargeWorkerPool:
    """Returns stand-in workers of 32 cores each."""
    worker_pool = LargeWorkerPool()
    for number in range(workers):
        rack = f"r{number // _WORKERS_PER_RACK}"
        listed = WorkerLife(
            f"w{number}",
            f"m{number}",
            "stock",
            f"10.0.{number // 250}.{number % 250}:80",
            "north",
            ("kind", rack),
            CAPACITY,
            False,
            0.0,
            born=1,
        )
        worker = UnchargedWorker(
            clock, listed, plan, worker_pool.journal, number
        )
        worker_pool.add(worker)
    return worker_pool


def plan_of(name: TaskName) -> TaskPlan:
    """Returns the plan of a task, chosen by the prefix of its job's name."""
    if name.job.startswith("crash") and not name.position:
        return TaskPlan(1.0, QUICK_SIZE, crashes_after=0.01)
    if name.job.startswith("last"):
        return TaskPlan(RUNS_FOREVER, SERVING_SIZE)
    seconds = random.Random(str(name)).uniform(0.5, 1.5)
    if name.job.startswith("fill"):
        return TaskPlan(2.7 * seconds, Size(0, BEST_EFFORT_SIZE.memory, 0))
    return TaskPlan(seconds, QUICK_SIZE)


def _measure_loop() -> float:
    began = time.thread_time()
    counts: dict[int, tuple[int, int]] = {}
    for number in range(_LOOP_ITERATIONS):
        key = number % 97
        counts[key] = (counts.get(key, (0, 0))[0] + 1, number)
    return time.thread_time() - began


def run_on_slow_vm(
    factor: float, function: Callable[[ChargingClock], Awaitable[None]]
) -> None:
    """Runs a test as on a slow VM, independently of this machine's speed.

    The garbage collector is set up as in an entry VM's process that has just
    started, so that it doesn't examine objects of earlier tests.

    Args:
        factor: How many times slower the VM is than the reference machine.
        function: The test; it takes the clock.
    """
    took = min(_measure_loop() for _ in range(5))
    clock = ChargingClock(factor * _REFERENCE_LOOP_SECONDS / took)
    boot_time = mock.patch.object(boot_clock, "now", trio.current_time)
    with _process_gc_settings(), boot_time:
        trio.run(function, clock, clock=clock)


@contextmanager
def _process_gc_settings() -> Iterator[None]:
    thresholds = gc.get_threshold()
    gc.collect()
    process.configure_collector()
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
