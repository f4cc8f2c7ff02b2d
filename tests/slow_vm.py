"""A clock on which processor time counts, and a large cell of stand-ins on it.

In virtual time code costs nothing, so that no test sees a process that has
more to do than its VM carries. On this clock time passes while code runs, as
on a VM that is slower than this machine by a factor, and it jumps when every
task waits. What stand-ins do costs nothing; each call to a worker costs what
the product's HTTP client was measured to need.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
import gc
import random
import time
from typing import Final

import trio

from bench.large_jobs import FILLING, QUICK, SERVING, TARGET
from pimentocross.contracts.worker_link import (
    HoldReply,
    StartOrder,
    StartReply,
    WorkerLife,
    WorkerUnreachableError,
)
from pimentocross.platform import __main__ as process
from pimentocross.standins.task_worker import (
    LASTS,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.worker_hall import (
    HallAccess,
    TaskWorkerLink,
    WorkerHall,
)
from pimentocross.work.spec import Size, TaskName

# Processor seconds of one call at the caller's end over loopback HTTP: half of
# what `python -m bench owner` gives for both ends.
CALL_COST: Final = 0.0001
CAPACITY: Final = Size(32_000, 128_000, 0)
_RACK: Final = 20
# Processor seconds of the loop below on the machine that factors refer to.
_LOOP_REFERENCE: Final = 0.0095
_LOOPS: Final = 60_000


class ChargingClock(trio.abc.Clock):
    """Time that passes by the processor time used, and jumps over waits.

    Attributes:
        factor: By how much the VM is slower than this machine.
    """

    def __init__(self, factor: float) -> None:
        """Takes the factor."""
        self.factor = factor
        self._skipped = 1_000.0
        self._free = 0.0
        self._free_depth = 0
        self._began = time.thread_time()

    def start_clock(self) -> None:
        """Begins to charge."""
        self._began = time.thread_time()

    def current_time(self) -> float:
        """Returns the time."""
        used = time.thread_time() - self._began - self._free
        return self._skipped + used * self.factor

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Jumps to a deadline, as nothing can happen before it."""
        left = deadline - self.current_time()
        if 0 < left < 1e9:
            self._skipped += left
        return 0.0 if left < 1e9 else 0.01

    def charge(self, seconds: float) -> None:
        """Charges processor time that this machine does not use."""
        self._skipped += seconds * self.factor

    @contextmanager
    def free(self) -> Iterator[None]:
        """Charges nothing for what is done in the block."""
        began = time.thread_time()
        self._free_depth += 1
        try:
            yield
        finally:
            self._free_depth -= 1
            if not self._free_depth:
                self._free += time.thread_time() - began


class FreeWorker(TaskWorkerStandin):
    """A stand-in whose own work isn't charged, and that gives figures."""

    def __init__(
        self,
        clock: ChargingClock,
        life: WorkerLife,
        plan: Callable[[TaskName], TaskPlan],
        journal: list[RunEvent],
        seed: int,
    ) -> None:
        """Takes the clock; the rest is the stand-in's."""
        super().__init__(life, plan, journal, seed=seed)
        self.charging = clock
        self._figures = random.Random(seed)

    def figure(self, plan: TaskPlan) -> int:
        """Returns figures as of tasks that serve or fill."""
        ratio = self._figures.uniform(0.3, 0.9)
        whole = TARGET if plan.seconds == LASTS else plan.size.cpu
        return int(whole * ratio)


class ChargedLink(TaskWorkerLink):
    """Charges each call, and gives a call up as the product's client does.

    What has come too late for the caller's timeout is no answer, also if it was
    the caller that was late to look.
    """

    def __init__(self, worker: FreeWorker, cut: set[str]) -> None:
        """Takes the worker, and lives that can't be reached."""
        super().__init__(worker, cut)
        self._free_worker = worker

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Lists runs and endings."""
        worker = self._free_worker
        with self._charged(timeout):
            await self._order(
                lambda: worker.take_hold(token, seen, deadline), timeout
            )
            born = worker.life.born
            until = trio.current_time() + wait
            while True:
                with worker.charging.free():
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
        self._free_worker.charging.charge(CALL_COST)
        try:
            with trio.fail_after(timeout):
                yield
        except trio.TooSlowError as error:
            raise WorkerUnreachableError("no answer in time") from error

    async def _order(
        self, carry_out: Callable[[], None], timeout: float
    ) -> None:
        def carry_out_free() -> None:
            with self._free_worker.charging.free():
                carry_out()

        await super()._order(carry_out_free, timeout)


class _ChargedAccess(HallAccess):
    """Access whose calls are charged."""

    def link(self, life: WorkerLife) -> TaskWorkerLink:
        worker = self._hall.workers.get(life.id)
        if not isinstance(worker, FreeWorker):
            return super().link(life)
        return ChargedLink(worker, self._cut)


class LargeHall(WorkerHall):
    """Workers as many as a grown deployment has."""

    def access(self, vm: str) -> HallAccess:
        """Returns a VM's access."""
        return _ChargedAccess(self, self.cut.setdefault(vm, set()))


def make_large_hall(
    clock: ChargingClock, workers: int, plan: Callable[[TaskName], TaskPlan]
) -> LargeHall:
    """Returns workers of 32 cores each."""
    hall = LargeHall()
    for number in range(workers):
        rack = f"r{number // _RACK}"
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
        worker = FreeWorker(clock, listed, plan, hall.journal, number)
        hall.add(worker)
    return hall


def plan_of(name: TaskName) -> TaskPlan:
    """Returns the plan of a task; its job's name says of what kind it is."""
    if name.job.startswith("crash") and not name.position:
        return TaskPlan(1.0, QUICK, crashes_after=0.01)
    if name.job.startswith("last"):
        return TaskPlan(LASTS, SERVING)
    seconds = random.Random(str(name)).uniform(0.5, 1.5)
    if name.job.startswith("fill"):
        return TaskPlan(2.7 * seconds, Size(0, FILLING.memory, 0))
    return TaskPlan(seconds, QUICK)


def _time_of_loop() -> float:
    began = time.thread_time()
    counts: dict[int, tuple[int, int]] = {}
    for number in range(_LOOPS):
        key = number % 97
        counts[key] = (counts.get(key, (0, 0))[0] + 1, number)
    return time.thread_time() - began


def run_on_slow_vm(
    factor: float, function: Callable[[ChargingClock], Awaitable[None]]
) -> None:
    """Runs a test on a VM of given slowness, whatever machine this is.

    Cycles are looked for as in an entry VM's process, and as in one that has
    just started: not in what the tests before left.

    Args:
        factor: By how much the VM is slower than the machine of reference.
        function: The test; it takes the clock.
    """
    took = min(_time_of_loop() for _ in range(5))
    clock = ChargingClock(factor * _LOOP_REFERENCE / took)
    with _collecting_as_the_process():
        trio.run(function, clock, clock=clock)


@contextmanager
def _collecting_as_the_process() -> Iterator[None]:
    thresholds = gc.get_threshold()
    gc.collect()
    process.configure_collector()
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
