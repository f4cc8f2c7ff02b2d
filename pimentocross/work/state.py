"""Where each task of a job stands, as its owner knows it."""

from collections.abc import Iterator
from enum import IntEnum, StrEnum
from typing import NamedTuple

from pimentocross.work.crash_history import NO_CRASHES, CrashHistory
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec, StepSpec, TaskName


class JobState(StrEnum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(IntEnum):
    """How far a run is.

    `UNSURE`: its start was not answered; it may run, or begin later.
    `HELD`: the same, and it is on no worker for now.
    """

    DECIDED = 0
    SENT = 1
    UNSURE = 2
    RUNNING = 3
    STOPPING = 4
    HELD = 5


class Run:
    """One run of a task on a worker.

    Attributes:
        number: Rises with each start of the task.
        worker: Number of the worker's life in the owner's roster.
        state: How far it is.
        decided_at: When the owner decided on it, monotonic; 0 if a former
            owner did.
        state_at: When it came to that, monotonic.
        began_at: When it was first listed as running, monotonic, or 0.
        percent: Progress as last listed; a serving task works at 100.
        percent_at: When the progress last changed, monotonic.
        figure: Tail of response times in ms, or processor time in use.
        pace: Percent at which it is let work.
        paced_at: When that was last changed, monotonic.
        stopped_at: When the worker confirmed that it stops it, or 0.
        starts_sent: How often its start was sent.
        lived_before: Seconds for which former owners saw it live.
        late_until: Until when a start of it that wasn't answered may be carried
            out by a life that has its worker's id, monotonic, or 0.
    """

    def __init__(
        self, number: int, worker: int, decided_at: float = 0.0
    ) -> None:
        """Notes a decision that is not yet sent."""
        self.number = number
        self.worker = worker
        self.state = RunState.DECIDED
        self.decided_at = decided_at
        self.state_at = decided_at
        self.began_at = 0.0
        self.percent = 0
        self.percent_at = 0.0
        self.figure = 0
        self.pace = 100
        self.paced_at = 0.0
        self.stopped_at = 0.0
        self.starts_sent = 0
        self.lived_before = 0.0
        self.late_until = 0.0

    @property
    def is_adopted(self) -> bool:
        """True if a former owner had decided on it."""
        return not self.decided_at

    def enter(self, state: RunState, now: float) -> None:
        """Notes how far it is now."""
        self.state = state
        self.state_at = now

    def may_come_late(self, now: float) -> bool:
        """True if a start of it may be carried out yet.

        Once it ends, its task starts nowhere before that can't be any more.
        """
        return self.late_until > now

    def note_start_settled(self) -> None:
        """Notes that a start was carried out or refused.

        If it was sent more often, the others may be carried out yet.
        """
        if self.starts_sent <= 1:
            self.late_until = 0.0


class Destination(NamedTuple):
    """The worker that a task is moved to, and until when that is waited for.

    Attributes:
        worker: Number of the worker's life in the owner's roster.
        until: Monotonic.
    """

    worker: int
    until: float


class Task:
    """One task.

    Attributes:
        name: Its name.
        step: The step that it is part of.
        done: Whether a run of it ended well.
        last_run: Number of the newest run, 0 before the first.
        runs: Runs that may be on a worker, by number.
        failed_on: Numbers of worker lives on which runs failed.
        not_before: Not started again before this time, monotonic.
        bound_for: Where it is being moved to, or None.
        crash_history: Crashes of workers under it.
    """

    def __init__(self, name: TaskName, step: "Step") -> None:
        """Makes a task that was never started."""
        self.name = name
        self.step = step
        self.done = False
        self.last_run = 0
        self._failures = 0
        self._checkpoint = ""
        self.runs: dict[int, Run] = {}
        self.failed_on: set[int] = set()
        self.not_before = 0.0
        self.bound_for: Destination | None = None
        self.crash_history: CrashHistory = NO_CRASHES

    @property
    def failures(self) -> int:
        """Runs that ended as failed."""
        return self._failures

    @failures.setter
    def failures(self, count: int) -> None:
        self._failures = count
        self.step.failed = self.step.failed or count > 0
        self.step.record = None

    @property
    def checkpoint(self) -> str:
        """Newest saved progress, or ""."""
        return self._checkpoint

    @checkpoint.setter
    def checkpoint(self, saved: str) -> None:
        if saved != self._checkpoint:
            self._checkpoint = saved
            self.step.record = None

    @property
    def waiting(self) -> bool:
        """True if it is not done and no run of it may be anywhere."""
        return not self.done and not self.runs

    def add_run(self, run: Run) -> None:
        """Notes a run that may be on a worker."""
        if self.waiting:
            self.step.waiting_count -= 1
        if run.number not in self.runs:
            self.step.run_count += 1
        self.runs[run.number] = run
        self.note_started(run.number)

    def note_started(self, number: int) -> None:
        """Notes that a run was decided on."""
        self.last_run = max(self.last_run, number)
        self.step.record = None
        self.step.started = True
        self.step.job.started = True

    def note_begun(self) -> None:
        """Notes that a run of it was carried out."""
        self.step.job.begun = True

    def drop_run(self, number: int) -> Run | None:
        """Forgets a run that surely is on no worker any more."""
        run = self.runs.pop(number, None)
        if run is not None:
            self.step.record = None
            self.step.run_count -= 1
            if self.waiting:
                self.step.waiting_count += 1
        return run

    def finish(self) -> None:
        """Notes that a run of it ended well."""
        if self.done:
            return
        if self.waiting:
            self.step.waiting_count -= 1
        self.done = True
        self.step.record = None
        self.step.undone -= 1
        if not self.step.undone:
            self.step.job.note_step_done(self.step)


class Step:
    """One step of one occurrence.

    Attributes:
        job: The job.
        occurrence: The occurrence that it is part of.
        number: Its number within the job.
        spec: What was asked for.
        tasks: Its tasks, by index.
        undone: How many are not done.
        waiting_count: How many wait for a start.
        run_count: Runs of them that may be on a worker.
        started: Whether a run of any was ever decided on.
        failed: Whether a run of any ever failed.
        record: How it was last encoded, or None if a task has changed.
    """

    def __init__(
        self, job: "Job", occurrence: "Occurrence", number: int, spec: StepSpec
    ) -> None:
        """Makes a step of which nothing has started."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.undone = spec.width
        self.waiting_count = spec.width
        self.run_count = 0
        self.started = False
        self.failed = False
        self.record: bytes | None = None
        self.tasks = [
            Task(TaskName(job.id, occurrence.number, number, index), self)
            for index in range(spec.width)
        ]

    @property
    def turn(self) -> bool:
        """True once all steps that it comes after are done."""
        steps = self.occurrence.steps
        return all(steps[before].undone == 0 for before in self.spec.after)

    def waiting(self) -> Iterator[Task]:
        """Yields the tasks that wait for a start."""
        if self.waiting_count:
            for task in self.tasks:
                if task.waiting:
                    yield task


class Occurrence:
    """One pass through a job's steps.

    Attributes:
        number: From 0.
        due: Seconds since 1970 before which nothing starts.
    """

    def __init__(self, job: "Job", number: int, due: float) -> None:
        """Makes an occurrence of which nothing has started."""
        self.number = number
        self.due = due
        self.steps: list[Step] = []
        for index, spec in enumerate(job.spec.steps):
            self.steps.append(Step(job, self, index, spec))


class Job:
    """One job.

    Attributes:
        id: Chosen by the caller.
        queue: Its queue, as of the newest configuration that had it.
        spec: What was asked for.
        accepted_at: Seconds since 1970.
        occurrences: Passes through the steps, by number.
        state: Where it stands.
        recorded_state: The state that its newest stored record has.
        ended_at: When it came to a final state, seconds since 1970.
        started: Whether any task of it was ever decided on.
        begun: Whether any task of it surely ran, as far as is known.
        given_up: Whether a task of it crashes the workers that start it.
    """

    def __init__(
        self, job_id: str, queue: Queue, spec: JobSpec, accepted_at: float
    ) -> None:
        """Makes a job of which nothing has started."""
        self.id = job_id
        self.queue = queue
        self.spec = spec
        self.accepted_at = accepted_at
        self.state = JobState.QUEUED
        self.recorded_state = JobState.QUEUED
        self.ended_at = 0.0
        self.occurrences = [
            Occurrence(self, number, due)
            for number, due in enumerate(_due_times(spec, accepted_at))
        ]
        self.started = False
        self.begun = False
        self.given_up = False
        # Counted, as each end of a run asks: looking at all tasks would take
        # the longer the wider a job is.
        self._steps_left = sum(
            step.undone > 0
            for occurrence in self.occurrences
            for step in occurrence.steps
        )
        self._steps_done: list[Step] = []

    @property
    def timed(self) -> bool:
        """True if its occurrences have times of their own."""
        return self.spec.repeats > 0

    @property
    def ended(self) -> bool:
        """True once it is in a final state."""
        return self.state in TERMINAL

    def tasks(self) -> Iterator[Task]:
        """Yields all its tasks."""
        for occurrence in self.occurrences:
            for step in occurrence.steps:
                yield from step.tasks

    def note_step_done(self, step: Step) -> None:
        """Notes that all tasks of a step are done."""
        self._steps_left -= 1
        self._steps_done.append(step)

    def take_steps_done(self) -> list[Step]:
        """Returns the steps that were done since this was last asked."""
        taken, self._steps_done = self._steps_done, []
        return taken

    def advance(self, now: float) -> None:
        """Moves to running or to a final state, as its tasks say.

        Args:
            now: Seconds since 1970.
        """
        if self.ended:
            return
        if self.given_up or self._out_of_attempts():
            self._end(JobState.FAILED, now)
        elif not self._steps_left:
            self._end(JobState.COMPLETED, now)
        elif self.started:
            self.state = JobState.RUNNING

    def cancel(self, now: float) -> None:
        """Ends as cancelled, unless it has ended."""
        if not self.ended:
            self._end(JobState.CANCELLED, now)

    def take_apart(self) -> None:
        """Drops its tasks, so that it is freed without a look for cycles.

        It has been forgotten, and nothing asks it for its tasks any more.
        """
        for occurrence in self.occurrences:
            for step in occurrence.steps:
                step.tasks.clear()
            occurrence.steps.clear()
        self.occurrences.clear()

    def _end(self, state: JobState, now: float) -> None:
        self.state = state
        self.ended_at = now

    def _out_of_attempts(self) -> bool:
        attempts = self.queue.attempts
        return any(
            step.failed
            and step.undone
            and not step.spec.lasting
            and _failures(step) >= attempts
            for occurrence in self.occurrences
            for step in occurrence.steps
        )


def _failures(step: Step) -> int:
    """Returns the most failures of one task, or those of a gang together."""
    failures = [task.failures for task in step.tasks if not task.done]
    if step.spec.gang:
        return sum(failures)
    return max(failures, default=0)


def _due_times(spec: JobSpec, accepted_at: float) -> list[float]:
    if spec.repeats <= 0:
        return [accepted_at]
    return [
        spec.first_due + number * spec.interval
        for number in range(spec.repeats)
    ]
