"""State of jobs, steps, tasks and runs in the memory of the cell's owner."""

from collections.abc import Iterator
from enum import IntEnum, StrEnum
from typing import Final, NamedTuple

from pimentocross.work.crash_history import NO_CRASHES, CrashHistory
from pimentocross.work.limits import MAX_CHECKPOINT_BYTES, max_open_occurrences
from pimentocross.work.number_ranges import NumberRanges
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec, StepSpec, TaskName


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


# `Run.late_until` of a run whose start can't be carried out any more, or was
# carried out by the life that it was sent to.
SETTLED: Final = float("-inf")
TERMINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(IntEnum):
    """State of a run.

    `UNSURE`: no reply to its start came; it may be running or start later.
    `HELD`: like `UNSURE`, but it isn't on any worker at the moment.
    """

    DECIDED = 0
    SENT = 1
    UNSURE = 2
    RUNNING = 3
    STOPPING = 4
    HELD = 5


class Run:
    """One run of a task on a worker; times are on the monotonic clock.

    Attributes:
        number: Number of the run, which grows with each start of the task.
        worker: Number of the worker's life in the owner's roster.
        state: State of the run.
        decided_at: When the owner decided to start the run; 0 if a former owner
            did.
        state_at: When the run entered its state.
        began_at: When the run was first listed as running, or 0.
        percent: Progress as last listed; 100 for a serving task that works.
        percent_at: When the progress last changed.
        figure: Measured value of the run, by the kind of its task: tail of the
            response times in milliseconds of a serving task, else the processor
            time in use, in thousandths of a core.
        pace: Speed limit of the run in percent.
        paced_at: When the speed limit was last changed.
        stopped_at: When the worker confirmed that it is stopping the run, or 0.
        starts_sent: How often the start was sent.
        lived_before: Seconds for which former owners saw the run running.
        late_until: Until when a start of the run may still be carried out by a
            life with the id of its worker, or `SETTLED`. A start that was
            answered, but by a life that isn't known, can't be from then on.
        unanswered_until: The same, as far as starts without an answer tell.
        renewable_until: Until when a call may come to a life with the id of its
            worker that lengthens its lease there, or `SETTLED`.
    """

    def __init__(
        self, number: int, worker: int, decided_at: float = 0.0
    ) -> None:
        """Initializes a run whose start hasn't been sent yet."""
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
        self.late_until = SETTLED
        self.unanswered_until = SETTLED
        self.renewable_until = SETTLED

    @property
    def is_adopted(self) -> bool:
        """True if a former owner decided to start the run."""
        return not self.decided_at

    def enter(self, state: RunState, now: float) -> None:
        """Sets the state and the time at which the run entered it."""
        self.state = state
        self.state_at = now

    def may_start_late(self, now: float) -> bool:
        """True if a start of the run may still be carried out.

        As long as it may, the task isn't started again after the run has ended.
        """
        return self.late_until > now

    def note_start_settled(self) -> None:
        """Notes that a start was carried out or refused.

        If the start was sent repeatedly, another of these calls may still be
        carried out, unless that was answered as well.
        """
        if self.starts_sent <= 1:
            self.late_until = SETTLED
        else:
            self.late_until = min(self.late_until, self.unanswered_until)

    def note_start_unanswered(self, until: float) -> None:
        """Notes that a start may still be carried out until a time.

        Not if a listing has shown the run meanwhile and it was the only start.
        """
        if self.late_until != SETTLED:
            self.unanswered_until = max(self.unanswered_until, until)
            self.late_until = max(self.late_until, until)

    def note_start_answered(self, now: float) -> None:
        """Notes that a start was carried out by a life that isn't known."""
        self.late_until = max(self.unanswered_until, now)


class Destination(NamedTuple):
    """The worker that a task is being moved to.

    Attributes:
        worker: Number of the worker's life in the owner's roster.
        until: Time at which the move is given up, on the monotonic clock.
    """

    worker: int
    until: float


class Task:
    """A task of a step.

    Attributes:
        name: Name of the task.
        step: The step that the task is part of.
        done: Whether a run of the task succeeded.
        last_run: Number of the newest run, 0 before the first.
        runs: Runs that may be on a worker, by number.
        failed_on: Numbers of worker lives on which runs failed.
        not_before: Earliest time of the next start, on the monotonic clock.
        destination: Worker that the task is being moved to, or None.
        crash_history: Crashes of workers that ran the task.
    """

    def __init__(self, name: TaskName, step: "Step") -> None:
        """Initializes a task that was never started."""
        self.name = name
        self.step = step
        self.done = False
        self.last_run = 0
        self._failures = 0
        self._checkpoint = ""
        self.runs: dict[int, Run] = {}
        self.failed_on: set[int] = set()
        self.not_before = 0.0
        self.destination: Destination | None = None
        self.crash_history: CrashHistory = NO_CRASHES

    @property
    def failures(self) -> int:
        """Number of runs that failed."""
        return self._failures

    @failures.setter
    def failures(self, count: int) -> None:
        self._failures = count
        self.step.failed = self.step.failed or count > 0
        self.step.record = None

    @property
    def checkpoint(self) -> str:
        """Newest checkpoint, or ""; ones that are too long are ignored."""
        return self._checkpoint

    @checkpoint.setter
    def checkpoint(self, saved: str) -> None:
        if (
            saved != self._checkpoint
            and len(saved.encode()) <= MAX_CHECKPOINT_BYTES
        ):
            self._checkpoint = saved
            self.step.record = None

    def note_checkpoint(self, saved: str) -> None:
        """Sets the newest checkpoint, for a gang that of all members.

        All members of a gang have to start from the same checkpoint, and that
        of any member is valid for all.
        """
        if not self.step.spec.gang:
            self.checkpoint = saved
            return
        for member in self.step.tasks:
            member.checkpoint = saved

    @property
    def waiting(self) -> bool:
        """True if the task isn't done and no run of it may be on a worker."""
        return not self.done and not self.runs

    def add_run(self, run: Run) -> None:
        """Adds a run that may be on a worker."""
        if self.waiting:
            self.step.waiting_count -= 1
        if run.number not in self.runs:
            self.step.run_count += 1
        self.runs[run.number] = run
        self.note_started(run.number)

    def note_started(self, number: int) -> None:
        """Notes that the owner decided to start a run."""
        self.last_run = max(self.last_run, number)
        self.step.record = None
        self.step.started = True
        self.step.job.started = True

    def note_has_run(self) -> None:
        """Notes that a run of the task was carried out."""
        self.step.job.has_run = True

    def drop_run(self, number: int) -> Run | None:
        """Removes a run that certainly isn't on a worker any more."""
        run = self.runs.pop(number, None)
        if run is not None:
            self.step.record = None
            self.step.run_count -= 1
            if self.waiting:
                self.step.waiting_count += 1
        return run

    def finish(self) -> None:
        """Marks the task as done after a run succeeded."""
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
    """A step of an occurrence.

    Attributes:
        job: The job.
        occurrence: The occurrence that the step is part of.
        number: Number of the step within the job.
        spec: Specification of the step.
        tasks: Tasks of the step, by index.
        undone: Number of tasks that aren't done.
        waiting_count: Number of tasks that wait for a start.
        run_count: Number of runs of the tasks that may be on a worker.
        started: Whether the owner ever decided to start a run of a task.
        failed: Whether a run of a task ever failed.
        record: Encoded record of the step, or None if a task has changed since.
    """

    def __init__(
        self, job: "Job", occurrence: "Occurrence", number: int, spec: StepSpec
    ) -> None:
        """Initializes a step whose tasks were never started."""
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
    def dependencies_done(self) -> bool:
        """True once all steps that this one depends on are done."""
        steps = self.occurrence.steps
        return all(
            steps[dependency].undone == 0 for dependency in self.spec.after
        )

    def waiting(self) -> Iterator[Task]:
        """Yields the tasks that wait for a start, by index."""
        if self.waiting_count:
            for task in self.tasks:
                if task.waiting:
                    yield task


class Occurrence:
    """One pass through the steps of a job.

    Attributes:
        number: Number of the occurrence, from 0.
        due: Earliest time of a start, in seconds since 1970.
    """

    def __init__(self, job: "Job", number: int, due: float) -> None:
        """Initializes an occurrence whose tasks were never started."""
        self.number = number
        self.due = due
        self.steps: list[Step] = []
        for index, spec in enumerate(job.spec.steps):
            self.steps.append(Step(job, self, index, spec))

    @property
    def is_done(self) -> bool:
        """True once all tasks are done."""
        return not any(step.undone for step in self.steps)

    @property
    def has_runs(self) -> bool:
        """True if a run of a task may be on a worker."""
        return any(step.run_count for step in self.steps)

    def drop_tasks(self) -> None:
        """Drops the tasks, so that the garbage collector needn't free cycles.

        Nothing may read the occurrence's tasks any more.
        """
        for step in self.steps:
            step.tasks.clear()
        self.steps.clear()


class Job:
    """An accepted job.

    Only some of the occurrences of a job with repeats have tasks in memory:
    those that are due or were started, until all their tasks are done. They are
    called open.

    Attributes:
        id: Id that the caller has chosen.
        queue: Queue of the job, as in the newest configuration that had it.
        spec: Specification of the job.
        accepted_at: When the job was accepted, in seconds since 1970.
        occurrences: Open passes through the steps, by number.
        closed: Numbers of the occurrences whose tasks are all done, and that
            aren't open any more.
        state: State of the job.
        recorded_state: State in the newest stored record.
        ended_at: When the job reached a final state, in seconds since 1970.
        started: Whether the owner ever decided to start a run of a task.
        has_run: Whether a run of a task is known to have been carried out.
        given_up: Whether a task was given up because it crashes its workers.
        has_crashes: Whether a task has a crash history.
    """

    def __init__(
        self, job_id: str, queue: Queue, spec: JobSpec, accepted_at: float
    ) -> None:
        """Initializes a job whose tasks were never started.

        The only occurrence of a job without repeats is open at once.
        """
        self.id = job_id
        self.queue = queue
        self.spec = spec
        self.accepted_at = accepted_at
        self.state = JobState.QUEUED
        self.recorded_state = JobState.QUEUED
        self.ended_at = 0.0
        self.started = False
        self.has_run = False
        self.given_up = False
        self.has_crashes = False
        self.occurrences: dict[int, Occurrence] = {}
        self.closed = NumberRanges()
        # All occurrences with lower numbers are open or closed.
        self._next_to_open = 0
        # Steps of open occurrences that aren't done. Counted rather than
        # recomputed: it is read at each end of a run, and a scan would take
        # time proportional to the number of steps.
        self._steps_left = 0
        self._steps_done: list[Step] = []
        # Open occurrences whose tasks are all done, by number.
        self._done_occurrences: dict[int, Occurrence] = {}
        if not self.has_due_times:
            self.open(0)

    @property
    def occurrence_count(self) -> int:
        """Number of all occurrences, open or not."""
        return max(self.spec.repeats, 1)

    @property
    def next_due(self) -> float | None:
        """When the next occurrence is due that was never open, or None.

        In seconds since 1970.
        """
        if self._next_to_open >= self.occurrence_count:
            return None
        return self._due(self._next_to_open)

    @property
    def may_open_more(self) -> bool:
        """Whether another occurrence may be opened once it is due."""
        return len(self.occurrences) < max_open_occurrences(self.spec)

    def open(self, number: int) -> Occurrence:
        """Opens an occurrence, or returns it if it is open.

        Raises:
            IndexError: The job has no such occurrence, or it is closed.
        """
        found = self.occurrences.get(number)
        if found is not None:
            return found
        if not 0 <= number < self.occurrence_count or number in self.closed:
            raise IndexError(f"occurrence {number} can't be opened")
        occurrence = Occurrence(self, number, self._due(number))
        self.occurrences[number] = occurrence
        self._steps_left += sum(step.undone > 0 for step in occurrence.steps)
        self._skip_opened()
        return occurrence

    def open_due(self, today: float) -> list[Occurrence]:
        """Opens the occurrences that are due, as many as may be open at once.

        Args:
            today: Current time in seconds since 1970.

        Returns:
            The occurrences that weren't open before.
        """
        opened = []
        while (due := self.next_due) is not None and due <= today:
            if not self.may_open_more:
                break
            opened.append(self.open(self._next_to_open))
        return opened

    def close_done(self) -> list[Occurrence]:
        """Closes and returns the open occurrences that need no more orders.

        Their tasks are all done, and no run of them may be on a worker. A job
        without repeats keeps its occurrence.
        """
        if not self.has_due_times:
            return []
        closed = [o for o in self._done_occurrences.values() if not o.has_runs]
        for occurrence in closed:
            del self._done_occurrences[occurrence.number]
            del self.occurrences[occurrence.number]
            self.closed.add(occurrence.number)
        return closed

    def restore_closed(self, closed: NumberRanges) -> None:
        """Sets which occurrences a former owner closed.

        Raises:
            IndexError: The job has no such occurrences.
        """
        ranges = closed.ranges()
        if ranges and not 0 <= ranges[0][0] <= ranges[-1][1] < (
            self.occurrence_count
        ):
            raise IndexError("unknown occurrences are closed")
        self.closed = closed
        if ranges:
            self.started = True
            self.has_run = True
        self._skip_opened()

    def _skip_opened(self) -> None:
        while True:
            after = self.closed.next_gap(self._next_to_open)
            if after in self.occurrences:
                after += 1
            if after == self._next_to_open:
                return
            self._next_to_open = after

    def _due(self, number: int) -> float:
        if not self.has_due_times:
            return self.accepted_at
        return self.spec.first_due + number * self.spec.interval

    @property
    def has_due_times(self) -> bool:
        """True if the occurrences have due times."""
        return self.spec.repeats > 0

    @property
    def ended(self) -> bool:
        """True once the job is in a final state."""
        return self.state in TERMINAL

    def tasks(self) -> Iterator[Task]:
        """Yields all tasks of the open occurrences."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                yield from step.tasks

    def note_step_done(self, step: Step) -> None:
        """Notes that all tasks of a step are done."""
        self._steps_left -= 1
        self._steps_done.append(step)
        if step.occurrence.is_done:
            self._done_occurrences[step.occurrence.number] = step.occurrence

    def pop_completed_steps(self) -> list[Step]:
        """Returns the steps completed since the last call."""
        completed, self._steps_done = self._steps_done, []
        return completed

    def advance(self, now: float) -> None:
        """Updates the state of the job from that of its tasks.

        Args:
            now: Current time in seconds since 1970.
        """
        if self.ended:
            return
        if self.given_up or self._out_of_attempts():
            self._end(JobState.FAILED, now)
        elif not self._steps_left and self.next_due is None:
            self._end(JobState.COMPLETED, now)
        elif self.started:
            self.state = JobState.RUNNING

    def cancel(self, now: float) -> None:
        """Ends the job as cancelled, unless it has ended already."""
        if not self.ended:
            self._end(JobState.CANCELLED, now)

    def drop_tasks(self) -> None:
        """Drops the tasks of all occurrences; see `Occurrence.drop_tasks`.

        The job has ended or is forgotten, and nothing reads its tasks any more.
        """
        for occurrence in self.occurrences.values():
            occurrence.drop_tasks()
        self.occurrences.clear()
        self._done_occurrences.clear()

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
            for occurrence in self.occurrences.values()
            for step in occurrence.steps
        )


def _failures(step: Step) -> int:
    """Returns the most failures of an undone task, or the sum for a gang."""
    failures = [task.failures for task in step.tasks if not task.done]
    if step.spec.gang:
        return sum(failures)
    return max(failures, default=0)
