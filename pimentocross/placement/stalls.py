"""Detects runs that make no progress.

Load pattern: some workers accept tasks and report them as running, but do not
work on them, while their own health reports are good.
"""

from typing import Final

from pimentocross.work.state import Run, Task

# A task of 5 s on a worker that is seven times slower advances by a percent in
# 0.35 s; a run that doesn't advance for this many seconds is stalled.
STALL_AFTER_SECONDS: Final = 1.8
# Additional seconds until the first percent, for the start of the task or the
# restore of its checkpoint.
STARTUP_SECONDS: Final = 1.0


def is_stalled(task: Task, run: Run, listed_at: float) -> bool:
    """Returns whether a run has made no progress for too long.

    Args:
        task: Task of the run.
        run: The run.
        listed_at: Time at which the worker last listed the run.
    """
    if task.step.spec.fills or not run.began_at or run.pace < 100:
        return False
    if task.step.spec.lasting and run.percent >= 100:
        return False
    limit = STALL_AFTER_SECONDS + (STARTUP_SECONDS if run.percent == 0 else 0.0)
    return listed_at - run.percent_at > limit
