"""All jobs of a cell, and which of their steps wait for a start."""

from collections.abc import Iterator

from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.ledger import Batch, Ledger, PlainRecord
from pimentocross.work import records
from pimentocross.work.queue import Queue, WorkConfig
from pimentocross.work.spec import JobSpec, TaskName
from pimentocross.work.state import (
    TERMINAL,
    Job,
    JobState,
    Occurrence,
    Step,
    Task,
)


class _Progress:
    """A job's progress record."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._encoded_state = job.state

    @property
    def key(self) -> str:
        return records.PROGRESS + self._job.id

    def encode(self) -> bytes:
        self._encoded_state = self._job.state
        return records.encode_progress(self._job)

    def stored(self) -> None:
        self._job.recorded_state = self._encoded_state


class JobBook:
    """Jobs by id; every change goes to the ledger."""

    def __init__(self, ledger: Ledger, ended_kept: float) -> None:
        """Starts empty.

        Args:
            ledger: Where changes are recorded.
            ended_kept: Seconds for which an ended job is remembered.
        """
        self._ledger = ledger
        self._ended_kept = ended_kept
        self._jobs: dict[str, Job] = {}
        # Steps of jobs that haven't ended, whose turn has come; in order.
        self._open_steps: dict[Step, None] = {}
        # Steps whose turn has not come.
        self._later_steps: dict[Step, None] = {}

    def __len__(self) -> int:
        """How many jobs are known."""
        return len(self._jobs)

    def find(self, job_id: str) -> Job | None:
        """Returns a job, or None."""
        return self._jobs.get(job_id)

    def jobs(self) -> Iterator[Job]:
        """Yields all jobs."""
        yield from self._jobs.values()

    def find_task(self, name: TaskName) -> Task | None:
        """Returns a task, or None."""
        job = self._jobs.get(name.job)
        if job is None:
            return None
        try:
            step = job.occurrences[name.occurrence].steps[name.step]
            return step.tasks[name.position]
        except IndexError:
            return None

    def accept(self, job_id: str, queue: Queue, spec: JobSpec) -> Batch:
        """Takes a job in; returns the batch of its first record."""
        return self.take_in(Job(job_id, queue, spec, wall.now()))

    def take_in(self, job: Job) -> Batch:
        """Takes in a job that was accepted; returns its record's batch."""
        self.restore(job)
        return self._ledger.put(
            PlainRecord(
                records.SUBMISSION + job.id,
                lambda: records.encode_submission(job),
            )
        )

    def restore(self, job: Job) -> None:
        """Takes in a job that is in the store."""
        self._jobs[job.id] = job
        if job.ended:
            return
        for occurrence in job.occurrences:
            for step in occurrence.steps:
                if step.undone:
                    self._later_steps[step] = None
        job.pop_completed_steps()
        for occurrence in job.occurrences:
            self._open_turns(occurrence)

    def changed(self, job: Job) -> Batch:
        """Notes that a job's tasks changed; returns the record's batch."""
        was_open = not job.ended
        job.advance(wall.now())
        if job.ended:
            self._close_steps(job)
            if was_open:
                took = round(job.ended_at - job.accepted_at, 3)
                note("job_ended", job=job.id, state=job.state, took=took)
        else:
            for step in job.pop_completed_steps():
                self._open_steps.pop(step, None)
                self._later_steps.pop(step, None)
                self._open_turns(step.occurrence)
        return self._ledger.put(_Progress(job))

    def note_crashes(self, job: Job) -> None:
        """Has the crashes under a job's tasks recorded."""
        self._ledger.put(
            PlainRecord(
                records.CRASHES + job.id,
                lambda: records.encode_crashes(job),
            )
        )

    def cancel(self, job: Job) -> Batch:
        """Cancels a job; returns the record's batch."""
        job.cancel(wall.now())
        return self.changed(job)

    def open_steps(self, today: float) -> list[Step]:
        """Returns the steps whose turn has come and of which tasks wait."""
        return [
            step
            for step in self._open_steps
            if step.waiting_count and step.occurrence.due <= today
        ]

    def steps_at_work(self) -> Iterator[Step]:
        """Yields the steps whose turn has come and that aren't done."""
        yield from self._open_steps

    def pending(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue have not begun.

        One whose first starts weren't answered counts until a run is seen.
        """
        return sum(
            1
            for job in self._jobs.values()
            if job.queue.name == queue and not job.ended and not job.has_run
        )

    def apply_config(self, config: WorkConfig) -> None:
        """Gives jobs the newest form of their queues."""
        queues = {queue.name: queue for queue in config.queues}
        for job in self._jobs.values():
            if not job.ended:
                job.queue = queues.get(job.queue.name, job.queue)

    def sweep(self) -> None:
        """Forgets jobs that ended long ago."""
        before = wall.now() - self._ended_kept
        old = [
            job
            for job in self._jobs.values()
            if job.recorded_state in TERMINAL and job.ended_at < before
        ]
        for job in old:
            if any(task.runs for task in job.tasks()):
                continue
            del self._jobs[job.id]
            for prefix in _prefixes(job):
                self._ledger.put(PlainRecord(prefix + job.id, _nothing))
            job.drop_tasks()

    def _open_turns(self, occurrence: Occurrence) -> None:
        for step in occurrence.steps:
            if step in self._later_steps and step.dependencies_done:
                del self._later_steps[step]
                self._open_steps[step] = None

    def _close_steps(self, job: Job) -> None:
        for occurrence in job.occurrences:
            for step in occurrence.steps:
                self._open_steps.pop(step, None)
                self._later_steps.pop(step, None)


def _prefixes(job: Job) -> list[str]:
    """Returns of what kinds a job has records."""
    kinds = [records.SUBMISSION, records.PROGRESS]
    if any(task.crash_history.crashes for task in job.tasks()):
        kinds.append(records.CRASHES)
    return kinds


def _nothing() -> None:
    """Returns what removes a key."""


def shown_state(job: Job) -> JobState:
    """Returns what callers are told: a final state only once recorded."""
    if job.state in TERMINAL:
        if job.recorded_state in TERMINAL:
            return job.recorded_state
        return JobState.RUNNING if job.started else JobState.QUEUED
    return job.state
