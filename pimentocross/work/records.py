"""Encodes and decodes the records of jobs and workers in the store.

A job has two keys: its submission, which is written once, and its progress,
which is rewritten whole with each change. Values are msgpack arrays that begin
with the version of their format. Keys are short because the store charges for
each byte.
"""

from collections.abc import Callable, Sequence
import functools
from typing import Any, Final, NamedTuple, TypeVar

import msgspec

from pimentocross.decoding import FiniteNumber, Number, msgpack_decoder
from pimentocross.work.crash_history import CrashHistory
from pimentocross.work.limits import MAX_LISTED_CLOSED_STEPS
from pimentocross.work.number_ranges import NumberRanges
from pimentocross.work.queue import Queue
from pimentocross.work.spec import (
    JobSpec,
    SpecError,
    TaskName,
    check_structure,
)
from pimentocross.work.state import Job, JobState, Run, RunState, Step, Task

FORMAT_VERSION: Final = 1
SUBMISSION: Final = "j"
PROGRESS: Final = "p"
WORKER: Final = "w"
LEARNED_ESTIMATES: Final = "l"
# Kept apart from the worker's record, whose format earlier versions of the
# software must be able to read.
BORN: Final = "b"
# Kept apart from the job's progress, whose format earlier versions of the
# software must be able to read.
CRASHES: Final = "c"
LATE_STARTS: Final = "s"
# Key of an obsolete record of late starts: those that a worker may still carry
# out after the call got no answer. Earlier versions of the software stored
# until when that may happen, as times of their VM's clock. The record is
# removed: an earlier version would rely on it although it isn't updated any
# more.
OBSOLETE_LATE_STARTS_KEY: Final = "h"
LEASES: Final = "g"
SILENT_LIVES: Final = "d"
WORKER_ENDS: Final = "e"
LIVED_RUNS: Final = "v"
RESENT_STARTS: Final = "r"
WITNESSES: Final = "t"
NEXT_LIVES: Final = "n"
# Used in the topic in which entry VMs store jobs and cancels for an owner.
CANCEL: Final = "x"

# Longest record of an owner's estimates, which is written every few seconds.
_MAX_LEARNED_BYTES: Final = 64 * 1024
# A time whose encoded form is as long as any.
_LATEST_TIME: Final = 1e12
_encode: Final = msgspec.msgpack.Encoder().encode
_T = TypeVar("_T", bound=tuple[Any, ...])


class RecordError(Exception):
    """A record has a format that this version of the software can't read."""


class SubmissionRecord(NamedTuple):
    """A job as it was accepted."""

    form: Number
    queue: Queue
    spec: JobSpec
    accepted_at: FiniteNumber


class RunRecord(NamedTuple):
    """A run that may be on a worker.

    Attributes:
        number: Number of the run.
        worker: Number of the worker's life in the roster.
    """

    number: Number
    worker: Number


class TaskRecord(NamedTuple):
    """A task that was started.

    A task that is done has a record only while a run of it may be on a worker.
    """

    position: Number
    last_run: Number
    failures: Number
    checkpoint: str
    runs: tuple[RunRecord, ...]


class StepRecord(NamedTuple):
    """A step of which at least one task was started.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        done: A bit for each task that is done, the lowest bit of the first byte
            for task 0.
        tasks: Tasks that were started, except those that are done and have no
            run left on a worker.
    """

    occurrence: Number
    step: Number
    done: bytes
    tasks: tuple[TaskRecord, ...]


class ProgressRecord(NamedTuple):
    """Progress of a job.

    Attributes:
        form: Version of the format.
        state: State of the job.
        ended_at: When the job ended, in seconds since 1970, or 0.
        steps: Steps of which at least one task was started.
        closed: First and last number of each range of occurrences that are
            done and aren't listed in `steps`. Earlier versions of the software
            can't read a record with this field, so it is left out while the
            steps of all closed occurrences are few enough to be listed.
    """

    form: Number
    state: str
    ended_at: FiniteNumber
    steps: tuple[StepRecord, ...]
    closed: tuple[tuple[Number, Number], ...] = ()


class WorkerRecord(NamedTuple):
    """A worker life that has a number in the roster.

    Attributes:
        form: Version of the format.
        life: Id of the life.
        machine: Machine that the life runs on.
    """

    form: Number
    life: str
    machine: str


class BornRecord(NamedTuple):
    """Time at which a worker life started, in milliseconds since 1970."""

    form: Number
    born: Number


class CrashRecord(NamedTuple):
    """Crashes of workers that ran a task; see `work.crash_history`."""

    occurrence: Number
    step: Number
    position: Number
    crashes: Number
    sure: Number
    early: Number
    survived: FiniteNumber
    run: Number


class CrashHistoryRecord(NamedTuple):
    """Crash histories of a job's tasks whose workers have crashed."""

    form: Number
    tasks: tuple[CrashRecord, ...]


class ClockRow(NamedTuple):
    """The steady clock of a worker life when a record was written.

    Attributes:
        number: Number of the life in the roster.
        born: When the life started, as in `WorkerLife`.
        reading: The latest reading, in seconds, that its clock may have had.
    """

    number: Number
    born: Number
    reading: FiniteNumber


class LateStart(NamedTuple):
    """A start that may still be carried out.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        left: Seconds, counted from the write of the record, for which the start
            may still be carried out, or 0 while its call is in flight. Negative
            if it can't be any more, but the run may last. A duration is stored
            because the clocks of VMs differ.
        lasts: Most seconds for which the run may last, as far as the owner that
            wrote the record renewed its lease, or 0 while the call is in
            flight.
        life: The worker id that the start named if the run is held, else "".
    """

    task: TaskName
    run: Number
    left: FiniteNumber
    lasts: FiniteNumber = 0.0
    life: str = ""


class LateStartsRecord(NamedTuple):
    """Starts that may still be carried out although no call awaits them.

    Attributes:
        form: Version of the format.
        starts: The starts.
        clocks: As in `LeasesRecord`.
    """

    form: Number
    starts: tuple[LateStart, ...]
    clocks: tuple[ClockRow, ...] = ()


class SuspectRunRow(NamedTuple):
    """A run that may have crashed its worker; see `work.crash_history.Crash`.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        lived: Seconds for which the run was seen running.
        sure: Whether the run had certainly started and its worker ended soon
            after.
        isolated: Whether nothing else had just started on its worker.
    """

    task: TaskName
    run: Number
    lived: FiniteNumber
    sure: bool
    isolated: bool


class ResentStartsRecord(NamedTuple):
    """Starts that may have been sent more than once.

    Attributes:
        form: Version of the format.
        epoch: Epoch of the owner that wrote the record.
        runs: Names of the tasks and numbers of their runs.
    """

    form: Number
    epoch: Number
    runs: tuple[tuple[TaskName, Number], ...]


class LivedRunRow(NamedTuple):
    """Lifetime of a run that may crash its worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        worker: Number of the worker's life in the roster.
        lived: Seconds for which the run was seen running there.
    """

    task: TaskName
    run: Number
    worker: Number
    lived: FiniteNumber


class LivedRunsRecord(NamedTuple):
    """Lifetimes of the runs that may crash their workers."""

    form: Number
    rows: tuple[LivedRunRow, ...]


class WorkerEndRow(NamedTuple):
    """The end of a worker.

    Attributes:
        at: Time of the end, in seconds since 1970.
        rack: Rack of the worker.
        explained: Whether a run had just started on the worker, which may have
            crashed it.
    """

    at: FiniteNumber
    rack: str
    explained: bool


class WorkerEndsRecord(NamedTuple):
    """Workers that ended recently."""

    form: Number
    rows: tuple[WorkerEndRow, ...]


class SilentLifeRecord(NamedTuple):
    """A worker life that fell silent, and the runs that may have crashed it.

    Attributes:
        form: Version of the format.
        life: Id of the life.
        machine: Machine that the life runs on.
        born: Time at which the life started, in milliseconds since 1970, or 0
            if unknown.
        rows: Runs on the worker that may have crashed it.
    """

    form: Number
    life: str
    machine: str
    born: Number
    rows: tuple[SuspectRunRow, ...]


class LeaseRow(NamedTuple):
    """A worker life on which leases of former owners may still be in force.

    Attributes:
        number: Number of the life in the roster.
        left: Most seconds, counted from the write of the record, for which the
            leases may be in force.
        barred: Whether the owner that wrote the record starts nothing on this
            life until it has stored a record without this mark.
    """

    number: Number
    left: FiniteNumber
    barred: bool


class LeasesRecord(NamedTuple):
    """Leases of former owners that may still be in force.

    An owner doesn't learn of these leases from its own calls to the workers.

    Attributes:
        form: Version of the format.
        epoch: Epoch of the owner that wrote the record.
        rows: Worker lives with such leases. On all other lives only this owner
            has granted leases.
        formers: Epochs of the former owners whose leases may be in force; empty
            if they aren't known.
        clocks: Clocks that tell a successor how long ago the record was
            written. Left out without rows, so that earlier versions can read
            the record.
    """

    form: Number
    epoch: Number
    rows: tuple[LeaseRow, ...]
    formers: tuple[Number, ...]
    clocks: tuple[ClockRow, ...] = ()


class NextLifeRow(NamedTuple):
    """A life that may hold a lease for a call to a former life of its id.

    Attributes:
        number: Number of the life in the roster.
        left: Most seconds, counted from the write of the record, for which such
            a lease may be in force, or 0 for a life that isn't fenced.
        fenced: Whether an owner has called the life, so that it grants no more
            such leases.
    """

    number: Number
    left: FiniteNumber
    fenced: bool


class NextLivesRecord(NamedTuple):
    """Lives that may hold leases for calls to former lives of their ids.

    Attributes:
        form: Version of the format.
        epoch: Epoch of the owner that wrote the record.
        rows: The lives.
        clocks: As in `LeasesRecord`.
    """

    form: Number
    epoch: Number
    rows: tuple[NextLifeRow, ...]
    clocks: tuple[ClockRow, ...]


class WitnessesRecord(NamedTuple):
    """Worker lives that confirm an owner; see `owner.witnesses`.

    Attributes:
        form: Version of the format.
        epoch: Epoch of the owner that wrote the record.
        numbers: Numbers of the lives in the roster.
    """

    form: Number
    epoch: Number
    numbers: tuple[Number, ...]


class LearnedRecord(NamedTuple):
    """Estimates of an owner, stored for its successor.

    Attributes:
        form: Version of the format.
        pairs: Rows of a serving image, a best-effort image, and the mean and
            variance of the disturbance; see `placement.disturbance`.
        durations: Means of the logarithms of task durations by queue.
    """

    form: Number
    pairs: tuple[tuple[str, str, FiniteNumber, FiniteNumber], ...]
    durations: dict[str, FiniteNumber]


def encode_learned(
    pairs: Sequence[tuple[str, str, float, float]],
    durations: dict[str, float],
) -> bytes:
    """Returns the record of an owner's estimates.

    Leaves out the earliest pairs if there are too many for a record: callers
    may name any number of images.
    """
    kept = tuple(pairs)
    while True:
        value = _encode(LearnedRecord(FORMAT_VERSION, kept, durations))
        if len(value) <= _MAX_LEARNED_BYTES or not kept:
            return value
        kept = kept[len(kept) // 2 + 1 :]


def decode_learned(value: bytes) -> LearnedRecord:
    """Returns the estimates of an encoded record.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, LearnedRecord)


def encode_submission(job: Job) -> bytes:
    """Returns the submission record of a job."""
    return encode_accepted(job.queue, job.spec, job.accepted_at)


def encode_accepted(queue: Queue, spec: JobSpec, accepted_at: float) -> bytes:
    """Returns the submission record of a job accepted at `accepted_at`."""
    return _encode(SubmissionRecord(FORMAT_VERSION, queue, spec, accepted_at))


def submission_bytes(job_id: str, queue: Queue, spec: JobSpec) -> int:
    """Returns the size of a job's submission record in the store.

    Includes its key and the length of the key.
    """
    key = (SUBMISSION + job_id).encode()
    return 1 + len(key) + len(encode_accepted(queue, spec, _LATEST_TIME))


def decode_submission(job_id: str, value: bytes) -> Job:
    """Returns the job of an encoded submission record.

    Raises:
        RecordError: The record has another format.
    """
    record = _decode(value, SubmissionRecord)
    try:
        check_structure(record.spec)
    except SpecError as error:
        raise RecordError(str(error)) from error
    return Job(job_id, record.queue, record.spec, record.accepted_at)


def encode_progress(job: Job) -> bytes:
    """Returns the progress record of a job."""
    started = [
        step
        for occurrence in job.occurrences.values()
        for step in occurrence.steps
        if step.started
    ]
    head = (FORMAT_VERSION, job.state.value, job.ended_at)
    if job.ended and not any(step.run_count for step in started):
        return _encode((*head, []))
    # The array has the format of a `ProgressRecord`. The end of a run changes
    # one step, and only that step is encoded again: a job with many tasks
    # changes with the end of each of them.
    steps = [_encoded_step(step) for step in started]
    if not job.closed:
        return _encode((*head, steps))
    if len(job.closed) * len(job.spec.steps) <= MAX_LISTED_CLOSED_STEPS:
        return _encode((*head, [*_closed_steps(job), *steps]))
    return _encode((*head, steps, job.closed.ranges()))


def decode_progress(job: Job, value: bytes) -> None:
    """Restores the progress of a job from an encoded record.

    Raises:
        RecordError: The record has another format.
    """
    record = _decode(value, ProgressRecord)
    try:
        job.state = JobState(record.state)
    except ValueError as error:
        raise RecordError(str(error)) from error
    job.recorded_state = job.state
    job.ended_at = record.ended_at
    try:
        job.restore_closed(NumberRanges(record.closed))
        for step_record in record.steps:
            occurrence = job.open(step_record.occurrence)
            _restore_step(occurrence.steps[step_record.step], step_record)
    except (IndexError, ValueError) as error:
        raise RecordError(f"progress of an unknown step: {error}") from error
    job.close_done()


def encode_crashes(job: Job) -> bytes | None:
    """Returns the crash histories of a job's tasks, or None without any."""
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
    return _encode(CrashHistoryRecord(FORMAT_VERSION, rows)) if rows else None


def decode_crashes(job: Job, value: bytes) -> None:
    """Restores the crash histories of a job's tasks.

    Raises:
        RecordError: The record has another format.
    """
    for row in _decode(value, CrashHistoryRecord).tasks:
        if row.occurrence in job.closed:
            continue
        try:
            step = job.open(row.occurrence).steps[row.step]
            task = step.tasks[row.position]
        except IndexError as error:
            raise RecordError("crashes of an unknown task") from error
        job.has_crashes = True
        task.crash_history = CrashHistory(
            row.crashes, row.sure, row.early, row.survived, row.run
        )


def encode_late_starts(
    starts: Sequence[LateStart], clocks: Sequence[ClockRow] = ()
) -> bytes:
    """Returns the record of starts that may still be carried out."""
    record = LateStartsRecord(FORMAT_VERSION, tuple(starts), tuple(clocks))
    return _encode(record if starts else record[:-1])


def decode_late_starts(value: bytes) -> LateStartsRecord:
    """Returns the record of starts that may still be carried out.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, LateStartsRecord)


def encode_silent_life(
    life: str, machine: str, born: int, rows: Sequence[SuspectRunRow]
) -> bytes:
    """Returns the record of a worker life that fell silent."""
    return _encode(
        SilentLifeRecord(FORMAT_VERSION, life, machine, born, tuple(rows))
    )


def decode_silent_life(value: bytes) -> SilentLifeRecord:
    """Returns the record of a worker life that fell silent.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, SilentLifeRecord)


def encode_resent_starts(
    epoch: int, runs: tuple[tuple[TaskName, int], ...]
) -> bytes:
    """Returns the record of starts that may have been sent repeatedly."""
    return _encode(ResentStartsRecord(FORMAT_VERSION, epoch, runs))


def decode_resent_starts(value: bytes) -> ResentStartsRecord:
    """Returns the starts that may have been sent repeatedly.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, ResentStartsRecord)


def encode_lived_runs(rows: Sequence[LivedRunRow]) -> bytes:
    """Returns the record of the lifetimes of runs."""
    return _encode(LivedRunsRecord(FORMAT_VERSION, tuple(rows)))


def decode_lived_runs(value: bytes) -> tuple[LivedRunRow, ...]:
    """Returns the lifetimes of runs.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, LivedRunsRecord).rows


def encode_worker_ends(rows: Sequence[WorkerEndRow]) -> bytes:
    """Returns the record of workers that ended recently."""
    return _encode(WorkerEndsRecord(FORMAT_VERSION, tuple(rows)))


def decode_worker_ends(value: bytes) -> tuple[WorkerEndRow, ...]:
    """Returns the workers that ended recently.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, WorkerEndsRecord).rows


def encode_leases(
    epoch: int,
    rows: Sequence[LeaseRow],
    formers: Sequence[int],
    clocks: Sequence[ClockRow] = (),
) -> bytes:
    """Returns the record of former owners' leases."""
    record = LeasesRecord(
        FORMAT_VERSION, epoch, tuple(rows), tuple(formers), tuple(clocks)
    )
    return _encode(record if rows else record[:-1])


def decode_leases(value: bytes) -> LeasesRecord:
    """Returns the former owners' leases of an encoded record.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, LeasesRecord)


def encode_next_lives(
    epoch: int, rows: Sequence[NextLifeRow], clocks: Sequence[ClockRow]
) -> bytes:
    """Returns the record of lives that may hold leases for former lives."""
    return _encode(
        NextLivesRecord(FORMAT_VERSION, epoch, tuple(rows), tuple(clocks))
    )


def decode_next_lives(value: bytes) -> NextLivesRecord:
    """Returns the lives that may hold leases for former lives.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, NextLivesRecord)


def encode_witnesses(epoch: int, numbers: Sequence[int]) -> bytes:
    """Returns the record of the worker lives that confirm an owner."""
    return _encode(WitnessesRecord(FORMAT_VERSION, epoch, tuple(numbers)))


def decode_witnesses(value: bytes) -> WitnessesRecord:
    """Returns the worker lives of an encoded record.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, WitnessesRecord)


def encode_worker(life: str, machine: str) -> bytes:
    """Returns the record of a worker life that has a number."""
    return _encode(WorkerRecord(FORMAT_VERSION, life, machine))


def encode_born(born: int) -> bytes:
    """Returns the record of the time at which a worker life started."""
    return _encode(BornRecord(FORMAT_VERSION, born))


def decode_born(value: bytes) -> int:
    """Returns when a worker life started, in milliseconds since 1970.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, BornRecord).born


def decode_worker(value: bytes) -> WorkerRecord:
    """Returns the worker life of an encoded record.

    Raises:
        RecordError: The record has another format.
    """
    return _decode(value, WorkerRecord)


@functools.cache
def _decoder(cls: type[_T]) -> Callable[[bytes], _T]:
    return msgpack_decoder(cls)


def _decode(value: bytes, cls: type[_T]) -> _T:
    try:
        record: _T = _decoder(cls)(value)
    except msgspec.DecodeError as error:
        raise RecordError(f"{cls.__name__}: {error}") from error
    if record[0] != FORMAT_VERSION:
        raise RecordError(f"{cls.__name__} of format {record[0]}")
    return record


def _closed_steps(job: Job) -> list[StepRecord]:
    """Returns the records of all steps of closed occurrences."""
    return [
        StepRecord(occurrence, number, _bits((1 << s.width) - 1, s.width), ())
        for occurrence in job.closed
        for number, s in enumerate(job.spec.steps)
    ]


def _bits(done: int, width: int) -> bytes:
    return done.to_bytes((width + 7) // 8, "little")


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
    return StepRecord(
        step.occurrence.number, step.number, _bits(done, width), tuple(tasks)
    )


def _tasks_record(step: Step) -> tuple[int, list[TaskRecord]]:
    """Returns a bit mask of the done tasks, and the records of tasks.

    A started task has a record until it is done and none of its runs may be on
    a worker any more.
    """
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
            task.note_has_run()
            task.finish()
    for saved in record.tasks:
        task = step.tasks[saved.position]
        task.note_started(saved.last_run)
        task.failures = saved.failures
        task.checkpoint = saved.checkpoint
        if saved.failures or saved.checkpoint:
            task.note_has_run()
        for run_record in saved.runs:
            run = Run(run_record.number, run_record.worker)
            run.state = RunState.UNSURE
            task.add_run(run)
    if step.spec.gang:
        # Earlier versions recorded for each member what it had saved itself.
        saved_by_any = [task for task in step.tasks if task.checkpoint]
        if saved_by_any:
            saved_by_any[0].note_checkpoint(saved_by_any[0].checkpoint)
