"""Jobs of a large deployment, and the processor time of single tasks."""

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
SERVING = Size(6_400, 13_000, 0)
FILLING = Size(3_500, 6_400, 0)
QUICK = Size(5_700, 11_000, 0)
# Milliseconds that what serves has to stay under.
TARGET = 45


def lasting_job(number: int) -> JobSpec:
    """Returns fourteen tasks that last and serve."""
    step = StepSpec(
        14,
        SERVING,
        lasting=True,
        image=f"serve{number % 10}",
        target_tail=TARGET,
        away_most=2,
    )
    return JobSpec("", (step,))


def filling_job(number: int) -> JobSpec:
    """Returns two steps of twenty tasks that fill."""
    step = StepSpec(
        20, FILLING, 2.7, saves=True, image=f"fill{number % 18}", fills=True
    )
    return JobSpec("", (step, step._replace(after=(0,))))


def quick_job() -> JobSpec:
    """Returns a step of ten short tasks."""
    return JobSpec("", (StepSpec(10, QUICK, 1.0),))


class TimeByTask(trio.abc.Instrument):
    """Adds the thread's time up by the function that a task runs."""

    def __init__(self) -> None:
        """Starts with nothing."""
        self.used: defaultdict[str, float] = defaultdict(float)
        # The step in which it is added has begun before.
        self._began = time.thread_time()

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Notes the time."""
        self._began = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Adds the step's time."""
        name = task.name.rpartition("pimentocross.owner.")[2]
        self.used[name] += time.thread_time() - self._began
