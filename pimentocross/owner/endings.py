"""What the end of a run means for its task."""

from pimentocross.contracts.worker_link import Ending, EndKind
from pimentocross.observe.decisions import note
from pimentocross.owner.worker import Worker
from pimentocross.work.state import Run, Task


def drop_run(task: Task, number: int, worker: Worker) -> Run | None:
    """Forgets a run that surely isn't on a worker any more."""
    worker.remove(task, number)
    run = task.runs.get(number)
    if run is None or run.worker != worker.number:
        return None
    return task.drop_run(number)


def note_lost(worker: Worker, reason: str) -> None:
    """Logs the runs on a worker that are given up, and how long each lived."""
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


def apply_ending(task: Task, ending: Ending, worker: Worker) -> Run | None:
    """Brings a task to where a listed ending leaves it; returns the run."""
    newest = ending.run >= task.last_run
    task.note_begun()
    run = drop_run(task, ending.run, worker)
    if ending.checkpoint and newest and not task.done:
        _keep_checkpoint(task, ending.checkpoint)
    if ending.how is EndKind.DONE and not task.step.spec.lasting:
        _finish(task)
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

    What lasts has any number of attempts; it goes elsewhere all the same, as a
    worker that fails all would get it again and again.

    A run that isn't known any more was counted when its ending was recorded,
    maybe by a former owner that did not come to take note of it; or it was
    given up since its lease had lapsed, which voids the ending.
    """
    if run is None:
        return
    task.failed_on.add(worker.number)
    if not task.step.spec.lasting:
        task.failures += 1


def _finish(task: Task) -> None:
    if task.step.spec.gang:
        # The members of a gang end together; one ending stands for all.
        for member in task.step.tasks:
            member.finish()
    else:
        task.finish()


def _keep_checkpoint(task: Task, checkpoint: str) -> None:
    if task.step.spec.gang:
        for member in task.step.tasks:
            member.checkpoint = checkpoint
    else:
        task.checkpoint = checkpoint
