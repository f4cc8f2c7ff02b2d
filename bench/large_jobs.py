"""Jobs of a large deployment, and an instrument for trio tasks' CPU time."""

from collections import defaultdict
import time

import trio

from pimentocross.work.queue import (
    CallerLimits,
    Queue,
    ServicePool,
    WorkConfig,
)
from pimentocross.work.spec import JobSpec, Size, StepSpec

QUEUE = Queue("plans", "host", "/plans/", "stock", 0, 3, 2.0, 1.0, False)
CONFIG = WorkConfig(
    1,
    (QUEUE,),
    {"stock": ServicePool("stock", True, 64, False)},
    CallerLimits(16384, 262144, 3.0, 15.0),
)
SERVING_SIZE = Size(6_400, 13_000, 0)
BEST_EFFORT_SIZE = Size(3_500, 6_400, 0)
QUICK_SIZE = Size(5_700, 11_000, 0)
# Target latency of serving tasks.
TARGET_TAIL_MS = 45


def serving_job(number: int) -> JobSpec:
    """Returns a job of fourteen lasting tasks that serve requests."""
    step = StepSpec(
        14,
        SERVING_SIZE,
        lasting=True,
        image=f"serve{number % 10}",
        target_tail=TARGET_TAIL_MS,
        away_most=2,
    )
    return JobSpec("", (step,))


def best_effort_job(number: int) -> JobSpec:
    """Returns a job of two steps of twenty best-effort tasks each."""
    step = StepSpec(
        20,
        BEST_EFFORT_SIZE,
        2.7,
        saves=True,
        image=f"fill{number % 18}",
        fills=True,
    )
    return JobSpec("", (step, step._replace(after=(0,))))


def quick_job() -> JobSpec:
    """Returns a job of one step of ten short tasks."""
    return JobSpec("", (StepSpec(10, QUICK_SIZE, 1.0),))


class TimeByTask(trio.abc.Instrument):
    """Sums the thread's CPU time by the function that a trio task runs."""

    def __init__(self) -> None:
        """Initializes the instrument without any time."""
        self.used: defaultdict[str, float] = defaultdict(float)
        # The instrument is added in the middle of a task step, for which
        # `before_task_step` is not called.
        self._began = time.thread_time()

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Records when the task step starts."""
        self._began = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Adds the time of the task step."""
        name = task.name.rpartition("pimentocross.owner.")[2]
        self.used[name] += time.thread_time() - self._began
