"""How jobs and their progress are kept in the store.

A job has two keys: its submission, written once, and its progress, written
whole with each change. Values are msgpack arrays that begin with the version
of their form. Keys are short, as each byte of the store is paid for.
"""

from collections.abc import Sequence
from typing import Any, Final, NamedTuple, TypeVar

import msgspec

from pimentocross.work.crash_history import CrashHistory
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec, TaskName
from pimentocross.work.state import Job, JobState, Run, RunState, Step, Task

FORM: Final = 1
SUBMISSION: Final = "j"
PROGRESS: Final = "p"
WORKER: Final = "w"
LEARNED: Final = "l"
# Beside a worker's record, whose form a former version has to read.
BORN: Final = "b"
# Beside a job's progress, whose form a former version has to read.
CRASHES: Final = "c"
LATE_STARTS: Final = "s"
# Where a former version tells by its clock until when starts may come late. It
# is removed, as such a version would go by one that isn't written any more.
FORMER_LATE_STARTS: Final = "h"
LEASES: Final = "g"
DOUBTS: Final = "d"
ENDS: Final = "e"
LIVED: Final = "v"
REPEATS: Final = "r"
# In the topic of what entry VMs store for an owner.
CANCEL: Final = "x"

_encode: Final = msgspec.msgpack.Encoder().encode
_T = TypeVar("_T", bound=tuple[Any, ...])


class RecordError(Exception):
    """A record that this version can't read."""


class SubmissionRecord(NamedTuple):
    """A job as accepted."""

    form: int
    queue: Queue
    spec: JobSpec
    accepted_at: float


class RunRecord(NamedTuple):
    """A run that may be on a worker; `worker` is a number in the roster."""

    number: int
    worker: int


class TaskRecord(NamedTuple):
    """A task that has started and isn't done."""

    position: int
    last_run: int
    failures: int
    checkpoint: str
    runs: tuple[RunRecord, ...]


class StepRecord(NamedTuple):
    """A step of which something has started.

    Attributes:
        occurrence: Which occurrence.
        step: Which step.
        done: A bit for each task, the lowest of the first byte for task 0.
        tasks: Those that have started and aren't done.
    """

    occurrence: int
    step: int
    done: bytes
    tasks: tuple[TaskRecord, ...]


class ProgressRecord(NamedTuple):
    """How far a job is."""

    form: int
    state: str
    ended_at: float
    steps: tuple[StepRecord, ...]


class WorkerRecord(NamedTuple):
    """A worker's life that has a number in the roster.

    Attributes:
        form: Version of the form.
        life: The life's id.
        machine: The machine that it is a life of.
    """

    form: int
    life: str
    machine: str


class BornRecord(NamedTuple):
    """When a worker's life started, milliseconds since 1970."""

    form: int
    born: int


class CrashRecord(NamedTuple):
    """Crashes under one task; see `work.crash_history`."""

    occurrence: int
    step: int
    position: int
    crashes: int
    sure: int
    early: int
    survived: float
    run: int


class CrashHistoryRecord(NamedTuple):
    """Tasks of a job under which workers have crashed."""

    form: int
    tasks: tuple[CrashRecord, ...]


class LateStart(NamedTuple):
    """A start that may be carried out yet.

    Attributes:
        task: The task.
        run: The run's number.
        left: For how many seconds, from the record on, or 0 while it is on
            its way. Clocks of VMs differ, so no moment is told.
    """

    task: TaskName
    run: int
    left: float


class LateStartsRecord(NamedTuple):
    """Starts that may be carried out though nobody waits for the answer."""

    form: int
    starts: tuple[LateStart, ...]


class DoubtRow(NamedTuple):
    """A run that may have crashed its worker; see `work.crash_history.Crash`.

    Attributes:
        task: The task.
        run: The run's number.
        lived: Seconds for which it was seen to live.
        sure: Whether it had surely begun, and its worker was gone soon after.
        isolated: Whether nothing else had just started on its worker.
    """

    task: TaskName
    run: int
    lived: float
    sure: bool
    isolated: bool


class RepeatsRecord(NamedTuple):
    """Starts that may have been sent more than once.

    Attributes:
        form: Version of the form.
        epoch: Of the owner that wrote it.
        runs: Names of tasks and numbers of runs.
    """

    form: int
    epoch: int
    runs: tuple[tuple[TaskName, int], ...]


class LivedRow(NamedTuple):
    """A run that may crash its worker, and how long it has lived.

    Attributes:
        task: The task.
        run: The run's number.
        worker: Number of the worker's life in the roster.
        lived: Seconds for which it was seen to live there.
    """

    task: TaskName
    run: int
    worker: int
    lived: float


class LivedRecord(NamedTuple):
    """Runs that may crash their workers, and how long they have lived."""

    form: int
    rows: tuple[LivedRow, ...]


class EndRow(NamedTuple):
    """An end of a worker.

    Attributes:
        at: When it went, seconds since 1970.
        rack: The worker's.
        explained: Whether something had just started on it.
    """

    at: float
    rack: str
    explained: bool


class EndsRecord(NamedTuple):
    """Workers that have ended of late."""

    form: int
    rows: tuple[EndRow, ...]


class DoubtRecord(NamedTuple):
    """A worker life that fell silent, and what may have crashed it.

    Attributes:
        form: Version of the form.
        life: The life's id.
        machine: The machine that it is a life of.
        born: When it started, milliseconds since 1970, or 0.
        rows: Runs there.
    """

    form: int
    life: str
    machine: str
    born: int
    rows: tuple[DoubtRow, ...]


class LeaseRow(NamedTuple):
    """A worker life on which leases of former owners may last.

    Attributes:
        number: Its number in the roster.
        left: For how many seconds at most, from the record on.
        barred: Whether the owner that wrote it lets nothing run there before
            another record is stored that doesn't say so.
    """

    number: int
    left: float
    barred: bool


class LeasesRecord(NamedTuple):
    """Where leases may last that an owner's own calls don't tell of.

    Attributes:
        form: Version of the form.
        epoch: Of the owner that wrote it.
        rows: Those lives. On any other only this owner has granted leases.
        formers: Epochs of the former owners whose leases may last there; empty
            if they aren't known.
    """

    form: int
    epoch: int
    rows: tuple[LeaseRow, ...]
    formers: tuple[int, ...]


class LearnedRecord(NamedTuple):
    """What an owner has learned, so that its successor needn't anew.

    Attributes:
        form: Version of the form.
        pairs: Rows of a serving and a filling image, mean and variance; see
            `placement.disturbance`.
        durations: Mean logarithms of durations by queue.
    """

    form: int
    pairs: tuple[tuple[str, str, float, float], ...]
    durations: dict[str, float]


def encode_learned(
    pairs: Sequence[tuple[str, str, float, float]],
    durations: dict[str, float],
) -> bytes:
    """Returns the record of what was learned."""
    return _encode(LearnedRecord(FORM, tuple(pairs), durations))


def decode_learned(value: bytes) -> LearnedRecord:
    """Reads the record of what was learned.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, LearnedRecord)


def encode_submission(job: Job) -> bytes:
    """Returns a job's first record."""
    return encode_accepted(job.queue, job.spec, job.accepted_at)


def encode_accepted(queue: Queue, spec: JobSpec, accepted_at: float) -> bytes:
    """Returns the first record of a job that was accepted at a time."""
    return _encode(SubmissionRecord(FORM, queue, spec, accepted_at))


def decode_submission(job_id: str, value: bytes) -> Job:
    """Returns the job of a submission record.

    Raises:
        RecordError: It is of another form.
    """
    record = _decode(value, SubmissionRecord)
    return Job(job_id, record.queue, record.spec, record.accepted_at)


def encode_progress(job: Job) -> bytes:
    """Returns a job's progress record."""
    started = [
        step
        for occurrence in job.occurrences
        for step in occurrence.steps
        if step.started
    ]
    if job.ended and not any(step.run_count for step in started):
        started = []
    # In the form of a `ProgressRecord`. An end changes one step of a job, and
    # only that is encoded anew: a wide job changes with each end of a task.
    steps = [_encoded_step(step) for step in started]
    return _encode((FORM, job.state.value, job.ended_at, steps))


def decode_progress(job: Job, value: bytes) -> None:
    """Brings a job to where a progress record says.

    Raises:
        RecordError: It is of another form.
    """
    record = _decode(value, ProgressRecord)
    try:
        job.state = JobState(record.state)
    except ValueError as error:
        raise RecordError(str(error)) from error
    job.recorded_state = job.state
    job.ended_at = record.ended_at
    for step_record in record.steps:
        try:
            occurrence = job.occurrences[step_record.occurrence]
            _restore_step(occurrence.steps[step_record.step], step_record)
        except IndexError as error:
            raise RecordError("progress of a step unknown") from error


def encode_crashes(job: Job) -> bytes | None:
    """Returns the record of crashes under a job's tasks, None for none."""
    rows = tuple(
        CrashRecord(
            task.name.occurrence,
            task.name.step,
            task.name.position,
            *task.crash_history,
        )
        for task in job.tasks()
        if task.crash_history.crashes
    )
    return _encode(CrashHistoryRecord(FORM, rows)) if rows else None


def decode_crashes(job: Job, value: bytes) -> None:
    """Restores the crashes under a job's tasks.

    Raises:
        RecordError: It is of another form.
    """
    for row in _decode(value, CrashHistoryRecord).tasks:
        try:
            step = job.occurrences[row.occurrence].steps[row.step]
            task = step.tasks[row.position]
        except IndexError as error:
            raise RecordError("crashes of a task unknown") from error
        task.crash_history = CrashHistory(
            row.crashes, row.sure, row.early, row.survived, row.run
        )


def encode_late_starts(starts: Sequence[LateStart]) -> bytes:
    """Returns the record of starts that may be carried out yet."""
    return _encode(LateStartsRecord(FORM, tuple(starts)))


def decode_late_starts(value: bytes) -> tuple[LateStart, ...]:
    """Reads which starts may be carried out yet.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, LateStartsRecord).starts


def encode_doubt(
    life: str, machine: str, born: int, rows: Sequence[DoubtRow]
) -> bytes:
    """Returns the record of a worker life that fell silent."""
    return _encode(DoubtRecord(FORM, life, machine, born, tuple(rows)))


def decode_doubt(value: bytes) -> DoubtRecord:
    """Reads which worker life fell silent.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, DoubtRecord)


def encode_repeats(epoch: int, runs: tuple[tuple[TaskName, int], ...]) -> bytes:
    """Returns the record of starts that may have been sent again."""
    return _encode(RepeatsRecord(FORM, epoch, runs))


def decode_repeats(value: bytes) -> RepeatsRecord:
    """Reads which starts may have been sent again.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, RepeatsRecord)


def encode_lived(rows: Sequence[LivedRow]) -> bytes:
    """Returns the record of how long runs have lived."""
    return _encode(LivedRecord(FORM, tuple(rows)))


def decode_lived(value: bytes) -> tuple[LivedRow, ...]:
    """Reads how long runs have lived.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, LivedRecord).rows


def encode_ends(rows: Sequence[EndRow]) -> bytes:
    """Returns the record of workers that have ended of late."""
    return _encode(EndsRecord(FORM, tuple(rows)))


def decode_ends(value: bytes) -> tuple[EndRow, ...]:
    """Reads which workers have ended of late.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, EndsRecord).rows


def encode_leases(
    epoch: int, rows: Sequence[LeaseRow], formers: Sequence[int]
) -> bytes:
    """Returns the record of leases that may last."""
    return _encode(LeasesRecord(FORM, epoch, tuple(rows), tuple(formers)))


def decode_leases(value: bytes) -> LeasesRecord:
    """Reads where leases may last.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, LeasesRecord)


def encode_worker(life: str, machine: str) -> bytes:
    """Returns the record of a worker's number."""
    return _encode(WorkerRecord(FORM, life, machine))


def encode_born(born: int) -> bytes:
    """Returns the record of when a worker's life started."""
    return _encode(BornRecord(FORM, born))


def decode_born(value: bytes) -> int:
    """Reads when a worker's life started.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, BornRecord).born


def decode_worker(value: bytes) -> WorkerRecord:
    """Reads the record of a worker's number.

    Raises:
        RecordError: It is of another form.
    """
    return _decode(value, WorkerRecord)


def _decode(value: bytes, cls: type[_T]) -> _T:
    try:
        record: _T = msgspec.msgpack.decode(value, type=cls)
    except msgspec.DecodeError as error:
        raise RecordError(f"{cls.__name__}: {error}") from error
    if record[0] != FORM:
        raise RecordError(f"{cls.__name__} of form {record[0]}")
    return record


def _encoded_step(step: Step) -> msgspec.Raw:
    if step.record is None:
        step.record = _encode(_step_record(step))
    return msgspec.Raw(step.record)


def _step_record(step: Step) -> StepRecord:
    width = step.spec.width
    done = (1 << width) - 1
    tasks: list[TaskRecord] = []
    if step.undone or step.run_count:
        done, tasks = _tasks_record(step)
    bits = done.to_bytes((width + 7) // 8, "little")
    return StepRecord(step.occurrence.number, step.number, bits, tuple(tasks))


def _tasks_record(step: Step) -> tuple[int, list[TaskRecord]]:
    """Returns the bits of tasks that are done, and those that aren't."""
    done = 0
    tasks = []
    for index, task in enumerate(step.tasks):
        if task.done:
            done |= 1 << index
        if task.last_run and (task.runs or not task.done):
            tasks.append(_task_record(index, task))
    return done, tasks


def _task_record(index: int, task: Task) -> TaskRecord:
    runs = tuple(
        [RunRecord(run.number, run.worker) for run in task.runs.values()]
    )
    return TaskRecord(
        index, task.last_run, task.failures, task.checkpoint, runs
    )


def _restore_step(step: Step, record: StepRecord) -> None:
    done = int.from_bytes(record.done, "little")
    for index, task in enumerate(step.tasks):
        if done >> index & 1:
            task.note_started(1)
            task.note_begun()
            task.finish()
    for saved in record.tasks:
        task = step.tasks[saved.position]
        task.note_started(saved.last_run)
        task.failures = saved.failures
        task.checkpoint = saved.checkpoint
        if saved.failures or saved.checkpoint:
            task.note_begun()
        for run_record in saved.runs:
            run = Run(run_record.number, run_record.worker)
            run.state = RunState.UNSURE
            task.add_run(run)
