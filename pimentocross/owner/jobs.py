"""Registry of a cell's jobs and of the steps that can be started."""

from collections.abc import Iterator
from heapq import heappop, heappush
from typing import NamedTuple

from pimentocross.observe.decisions import note
from pimentocross.owner import wall
from pimentocross.owner.ledger import Batch, LazyRecord, Ledger
from pimentocross.work import records
from pimentocross.work.limits import ended_job_memory, job_memory
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
    """Progress record of a job."""

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


class _Due(NamedTuple):
    """When the next occurrence of a job is due; sorts by time.

    It names the job, which may be removed long before that time.
    """

    at: float
    job_id: str


class JobRegistry:
    """Jobs of a cell by id; writes every change to the ledger."""

    def __init__(self, ledger: Ledger, retention: float) -> None:
        """Initializes an empty registry.

        Args:
            ledger: Ledger to which changes are written.
            retention: Seconds for which an ended job is kept.
        """
        self._ledger = ledger
        self._retention = retention
        self._jobs: dict[str, Job] = {}
        self._memory = 0
        # Bytes of memory by job, as counted in `memory`.
        self._memory_of: dict[str, int] = {}
        # Unfinished steps of unfinished jobs whose preceding steps are done, in
        # order.
        self._active_steps: dict[Step, None] = {}
        # Steps whose preceding steps aren't all done.
        self._blocked_steps: dict[Step, None] = {}
        # When the next occurrence of a job is due that was never open.
        self._schedule: list[_Due] = []
        # Jobs with occurrences that are due, but may not be opened yet.
        self._overdue: set[Job] = set()

    def __len__(self) -> int:
        """Returns the number of jobs."""
        return len(self._jobs)

    @property
    def memory(self) -> int:
        """Bytes of memory that the jobs take at most."""
        return self._memory

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
        except (IndexError, KeyError):
            return None

    def accept(self, job_id: str, queue: Queue, spec: JobSpec) -> Batch:
        """Adds a newly submitted job; returns the batch of its record."""
        return self.add(Job(job_id, queue, spec, wall.now()))

    def add(self, job: Job) -> Batch:
        """Adds an accepted job; returns the batch of its record."""
        self.restore(job)
        return self._ledger.put(
            LazyRecord(
                records.SUBMISSION + job.id,
                lambda: records.encode_submission(job),
            )
        )

    def restore(self, job: Job) -> None:
        """Adds a job whose record is in the store already."""
        self._jobs[job.id] = job
        self._count_memory(job)
        if job.ended:
            self._drop_unneeded_tasks(job)
            return
        job.pop_completed_steps()
        for occurrence in job.occurrences.values():
            self._add_steps(occurrence)
        self._plan_next(job)

    def changed(self, job: Job) -> Batch:
        """Advances a job whose tasks changed; returns its record's batch."""
        was_open = not job.ended
        job.advance(wall.now())
        if job.ended:
            self._drop_steps(job)
            self._drop_unneeded_tasks(job)
            if was_open:
                took = round(job.ended_at - job.accepted_at, 3)
                note("job_ended", job=job.id, state=job.state, took=took)
        else:
            for step in job.pop_completed_steps():
                self._active_steps.pop(step, None)
                self._blocked_steps.pop(step, None)
                self._activate_steps(step.occurrence)
            self._close_done(job)
        return self._ledger.put(_Progress(job))

    def record_crashes(self, job: Job) -> None:
        """Records the crash histories of a job's tasks."""
        job.has_crashes = True
        self._ledger.put(
            LazyRecord(
                records.CRASHES + job.id,
                lambda: records.encode_crashes(job),
            )
        )

    def cancel(self, job: Job) -> Batch:
        """Cancels a job; returns the batch of its record."""
        job.cancel(wall.now())
        return self.changed(job)

    def ready_steps(self, today: float) -> list[Step]:
        """Returns the active steps that are due and have waiting tasks.

        Args:
            today: Current wall-clock time, seconds.
        """
        self._open_due(today)
        return [
            step
            for step in self._active_steps
            if step.waiting_count and step.occurrence.due <= today
        ]

    def active_steps(self) -> Iterator[Step]:
        """Yields the unfinished steps whose preceding steps are done."""
        yield from self._active_steps

    def pending(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue have not begun.

        A job whose first start orders weren't answered counts until a worker
        lists one of its runs.
        """
        return sum(
            1
            for job in self._jobs.values()
            if job.queue.name == queue and not job.ended and not job.has_run
        )

    def apply_config(self, config: WorkConfig) -> None:
        """Updates the queue settings of all jobs that have not ended."""
        queues = {queue.name: queue for queue in config.queues}
        for job in self._jobs.values():
            if not job.ended:
                job.queue = queues.get(job.queue.name, job.queue)

    def sweep(self) -> None:
        """Removes jobs that ended longer ago than the retention time."""
        before = wall.now() - self._retention
        old = [
            job
            for job in self._jobs.values()
            if job.recorded_state in TERMINAL and job.ended_at < before
        ]
        for job in old:
            if any(task.runs for task in job.tasks()):
                continue
            del self._jobs[job.id]
            self._overdue.discard(job)
            self._memory -= self._memory_of.pop(job.id, 0)
            for prefix in _record_kinds(job):
                self._ledger.put(LazyRecord(prefix + job.id, _no_value))
            job.drop_tasks()
        if len(self._schedule) > 2 * len(self._jobs):
            self._schedule = sorted(
                due for due in self._schedule if due.job_id in self._jobs
            )

    def _open_due(self, today: float) -> None:
        """Opens the occurrences that are due."""
        while self._schedule and self._schedule[0].at <= today:
            job = self._jobs.get(heappop(self._schedule).job_id)
            if job is None or job.ended:
                continue
            for occurrence in job.open_due(today):
                self._add_steps(occurrence)
            self._plan_next(job, today)

    def _plan_next(self, job: Job, today: float = float("-inf")) -> None:
        """Arranges for a job's next occurrence to be opened."""
        due = job.next_due
        if due is None:
            return
        if due <= today:
            self._overdue.add(job)
            return
        heappush(self._schedule, _Due(due, job.id))

    def _close_done(self, job: Job) -> None:
        for occurrence in job.close_done():
            occurrence.drop_tasks()
        if job in self._overdue and job.may_open_more:
            self._overdue.discard(job)
            self._plan_next(job)

    def _drop_unneeded_tasks(self, job: Job) -> None:
        """Drops the tasks of an ended job once it has no runs any more."""
        if not any(o.has_runs for o in job.occurrences.values()):
            job.drop_tasks()
            self._count_memory(job)

    def _count_memory(self, job: Job) -> None:
        if job.ended and not job.occurrences:
            memory = ended_job_memory(job.spec)
        else:
            memory = job_memory(job.spec)
        self._memory += memory - self._memory_of.get(job.id, 0)
        self._memory_of[job.id] = memory

    def _add_steps(self, occurrence: Occurrence) -> None:
        """Adds the unfinished steps of an occurrence that was opened."""
        for step in occurrence.steps:
            if step.undone:
                self._blocked_steps[step] = None
        self._activate_steps(occurrence)

    def _activate_steps(self, occurrence: Occurrence) -> None:
        for step in occurrence.steps:
            if step in self._blocked_steps and step.dependencies_done:
                del self._blocked_steps[step]
                self._active_steps[step] = None

    def _drop_steps(self, job: Job) -> None:
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                self._active_steps.pop(step, None)
                self._blocked_steps.pop(step, None)


def _record_kinds(job: Job) -> list[str]:
    """Returns the key prefixes of the records that a job has."""
    kinds = [records.SUBMISSION, records.PROGRESS]
    if job.has_crashes:
        kinds.append(records.CRASHES)
    return kinds


def _no_value() -> None:
    """Returns None, the value that removes a key."""


def reported_state(job: Job) -> JobState:
    """Returns the state shown to callers: a final one only once recorded."""
    if job.state in TERMINAL:
        if job.recorded_state in TERMINAL:
            return job.recorded_state
        return JobState.RUNNING if job.started else JobState.QUEUED
    return job.state
