"""Bounds of what one job, and all jobs of a cell, take of memory and store.

An owner takes over all that its predecessors accepted, so that what it can't
hold or store is refused before it is accepted.
"""

from typing import Final

from pimentocross.work.spec import JobSpec, SpecError, StepSpec

# Longest record that the store takes, in bytes, where the settings name none.
DEFAULT_RECORD_BYTES: Final = 262_144
# Tasks that a job with repeats may have open at once, unless a single
# occurrence has more. An owner whose VMs were away for days finds thousands of
# occurrences due at the same moment.
MAX_OPEN_TASKS: Final = 1_024
# Longest checkpoint that is kept. A worker that saves longer ones resumes from
# the newest one within the limit.
MAX_CHECKPOINT_BYTES: Final = 128
# Steps of closed occurrences that a progress record lists one by one.
MAX_LISTED_CLOSED_STEPS: Final = 64

# Bytes of the owner's memory that all jobs may take. The smallest VM has
# 200 MB; an owner of 1,500 workers takes up to 97 MB without large jobs.
JOBS_MEMORY: Final = 56 * 2**20
# Bytes of memory that jobs may take beyond that which entry VMs store while no
# owner is reachable.
INTAKE_MEMORY: Final = 32 * 2**20

# Memory of an open task with a run, of a step and of a job without either.
_TASK_MEMORY: Final = 920
_STEP_MEMORY: Final = 400
_JOB_MEMORY: Final = 1_500
# Largest size in a progress record: of its head, of a step without its tasks,
# of a task with two runs and no checkpoint, and of a range of occurrences.
_HEAD_BYTES: Final = 64
_STEP_BYTES: Final = 16
_TASK_BYTES: Final = 40
_RANGE_BYTES: Final = 12


def max_open_occurrences(spec: JobSpec) -> int:
    """Returns how many occurrences of a job may be open at once."""
    tasks = sum(step.width for step in spec.steps)
    count = MAX_OPEN_TASKS // max(tasks, 1)
    return min(max(count, 1), max(spec.repeats, 1))


def job_memory(spec: JobSpec) -> int:
    """Returns the bytes of memory that a job takes at most."""
    tasks = sum(_STEP_MEMORY + step.width * _TASK_MEMORY for step in spec.steps)
    return ended_job_memory(spec) + tasks * max_open_occurrences(spec)


def ended_job_memory(spec: JobSpec) -> int:
    """Returns the bytes of memory that a job without open tasks takes.

    Its payload is counted twice, as its record is in memory at a take-over.
    """
    steps = len(spec.steps) * _STEP_MEMORY
    return _JOB_MEMORY + steps + 2 * len(spec.payload.encode())


def check_records(
    spec: JobSpec, submission_bytes: int, record_bytes: int
) -> None:
    """Checks that the store takes the records of a job at any time.

    Args:
        spec: What the job runs.
        submission_bytes: Size of its submission record with its key.
        record_bytes: Longest record that the store takes.

    Raises:
        SpecError: A record of the job may be too long.
    """
    findings = []
    if submission_bytes > record_bytes:
        findings.append(
            f"a record of {submission_bytes} bytes, at most {record_bytes}"
        )
    progress = _max_progress_bytes(spec)
    if progress > record_bytes:
        tasks = sum(step.width for step in spec.steps)
        findings.append(
            f"{tasks} tasks, whose progress takes up to {progress} bytes, at"
            f" most {record_bytes}"
        )
    if findings:
        raise SpecError(findings)


def _max_progress_bytes(spec: JobSpec) -> int:
    """Returns the largest size of a job's progress record."""
    count = max_open_occurrences(spec)
    open_bytes = count * sum(_max_step_bytes(step) for step in spec.steps)
    if not spec.repeats:
        return _HEAD_BYTES + open_bytes
    listed = sum(_done_step_bytes(step) for step in spec.steps)
    listed *= MAX_LISTED_CLOSED_STEPS // max(len(spec.steps), 1)
    closed = max(listed, (count + 1) * _RANGE_BYTES)
    return _HEAD_BYTES + open_bytes + closed


def _done_step_bytes(step: StepSpec) -> int:
    return _STEP_BYTES + step.width // 8


def _max_step_bytes(step: StepSpec) -> int:
    task = _TASK_BYTES + (MAX_CHECKPOINT_BYTES if step.saves else 0)
    return _done_step_bytes(step) + step.width * task
