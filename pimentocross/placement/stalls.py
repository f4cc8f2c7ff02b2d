"""Which runs make no progress.

Load pattern: some workers accept tasks, list them as running, and do not work
on them, while their own health looks good.
"""

from typing import Final

from pimentocross.work.state import Run, Task

# A task of 5 s on a worker that is seven times slower moves by a percent in
# 0.35 s; one that doesn't for this long stands still.
STALL_AFTER: Final = 1.8
# Until its first percent a task restores a checkpoint or starts up.
STARTUP: Final = 1.0


def is_stalled(task: Task, run: Run, heard_at: float) -> bool:
    """True if a run stood still for too long.

    Args:
        task: The run's task.
        run: The run.
        heard_at: When the worker last listed it.
    """
    if task.step.spec.fills or not run.began_at or run.pace < 100:
        return False
    if task.step.spec.lasting and run.percent >= 100:
        return False
    patience = STALL_AFTER + (STARTUP if run.percent == 0 else 0.0)
    return heard_at - run.percent_at > patience
