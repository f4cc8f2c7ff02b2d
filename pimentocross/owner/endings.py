"""Applies the endings of runs to their tasks."""

import trio

from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker
from pimentocross.work.state import Run, Task


def drop_run(task: Task, number: int, worker: Worker) -> Run | None:
    """Removes a run that surely is not on a worker any more.

    Returns:
        The run, or None if its task doesn't have it on this worker.
    """
    worker.remove(task, number)
    run = task.runs.get(number)
    if run is None or run.worker != worker.number:
        return None
    return task.drop_run(number)


def log_lost_runs(worker: Worker, reason: str) -> None:
    """Logs the runs on a worker that are given up and how long each lived."""
    life = worker.life.id
    note("runs_lost", worker=life, count=len(worker.runs), reason=reason)
    for (task, number), run in worker.runs.items():
        note(
            "run_lost",
            task=task.name,
            run=number,
            worker=life,
            state=run.state.name.lower(),
            lived=round(worker.lived(run), 3),
        )


def log_waiting_runs(worker: Worker) -> None:
    """Logs the runs on a silent worker, and until when their tasks wait."""
    left = worker.lapses_at - trio.current_time()
    for task, run in worker.runs:
        note(
            "run_waits",
            task=task.name,
            run=run,
            worker=worker.life.id,
            seconds=round(left, 3),
        )


def apply_ending(task: Task, ending: Ending, worker: Worker) -> Run | None:
    """Applies a listed ending to its task.

    Returns:
        The run that ended, or None if it was not known any more.
    """
    is_newest_run = ending.run >= task.last_run
    task.note_has_run()
    run = drop_run(task, ending.run, worker)
    if ending.checkpoint and is_newest_run and not task.done:
        task.note_checkpoint(ending.checkpoint)
    if ending.how is EndKind.DONE and not task.step.spec.lasting:
        _finish_task(task)
    elif ending.how is EndKind.FAILED:
        _count_failure(task, run, worker)
    note(
        "run_ended",
        task=task.name,
        run=ending.run,
        worker=worker.life.id,
        how=ending.how.value,
        failures=task.failures,
    )
    return run


def _count_failure(task: Task, run: Run | None, worker: Worker) -> None:
    """Counts a failed run, once.

    A lasting task has unlimited attempts. It still avoids the workers that it
    failed on, as a worker that fails everything would get it again and again.

    A run that is not known any more was counted when its ending was recorded,
    maybe by a former owner that ended before it acknowledged the ending. Or it
    was given up because its lease had lapsed, which voids the ending.
    """
    if run is None:
        return
    task.failed_on.add(worker.number)
    if not task.step.spec.lasting:
        task.failures += 1


def _finish_task(task: Task) -> None:
    if task.step.spec.gang:
        # The members of a gang end together: one ending applies to all.
        for member in task.step.tasks:
            member.finish()
    else:
        task.finish()
