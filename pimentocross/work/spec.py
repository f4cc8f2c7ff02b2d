"""Specification of a job, as a caller submits it."""

from typing import Final, NamedTuple


class Size(NamedTuple):
    """An amount of a worker's resources.

    Attributes:
        cpu: Processor time in thousandths of a core.
        memory: Memory in megabytes.
        gpus: Number of accelerators.
    """

    cpu: int
    memory: int
    gpus: int

    def plus(self, other: "Size") -> "Size":
        """Returns the sum of both."""
        return Size(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Size") -> "Size":
        """Returns the difference."""
        return Size(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpus - other.gpus,
        )

    def fits_in(self, free: "Size") -> bool:
        """True if no resource exceeds that of `free`."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.gpus <= free.gpus
        )


NO_SIZE = Size(0, 0, 0)


class StepSpec(NamedTuple):
    """A step of a job: tasks of the same kind that may run in parallel.

    Attributes:
        width: Number of tasks.
        size: Resources that each task requests.
        estimate: Estimated duration of a task in seconds, 0 if unknown.
        after: Numbers of the steps that must be done before.
        saves: Whether the tasks save checkpoints.
        gang: Whether the tasks can only run all at the same time.
        same_rack: Whether the tasks run slower when spread over racks.
        label: Label that the worker must have, or "".
        rack: Rack that holds the data, or "".
        per_worker: Maximum number of tasks of the step on one worker, 0 for no
            limit.
        copies: Whether copies of a task may run in parallel.
        lasting: Whether the tasks run until the job is cancelled.
        image: Image that the tasks run, or "".
        target_tail: Milliseconds below which the tail of a serving task's
            response times must stay, 0 for a task that serves no requests.
        fills: Whether the tasks are best-effort and only use processor time
            that other tasks leave.
        away_most: Maximum number of tasks of a lasting step that may be absent
            because of the scheduler's own decisions, or None for no limit.
    """

    width: int
    size: Size
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    saves: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    target_tail: int = 0
    fills: bool = False
    away_most: int | None = None

    @property
    def committed(self) -> Size:
        """Resources that a task reserves on its worker."""
        return self.size._replace(cpu=0) if self.fills else self.size


class JobSpec(NamedTuple):
    """A submitted job.

    Attributes:
        payload: Text that is passed to every task at its start.
        steps: Steps of the job, by number.
        repeats: Number of occurrences, each of which runs all steps; 0 for one
            that starts immediately.
        first_due: Due time of the first occurrence, in seconds since 1970.
        interval: Seconds between the due times of two occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due: float = 0.0
    interval: float = 0.0


# Counts the tasks of all occurrences.
MAX_TASKS_PER_JOB: Final = 100_000


class SpecError(Exception):
    """A submission is invalid.

    Attributes:
        findings: Descriptions of the errors, each with the path of its field.
    """

    def __init__(self, findings: list[str]) -> None:
        """Initializes the error with at least one finding."""
        super().__init__("; ".join(findings))
        self.findings = findings


def check_spec(spec: JobSpec) -> None:
    """Validates the values that the types don't constrain.

    Raises:
        SpecError: The specification is invalid; the error has all findings.
    """
    findings = _structure_findings(spec)
    for number, step in enumerate(spec.steps):
        if step.estimate < 0:
            findings.append(f"steps[{number}].estimate: below 0")
    if spec.repeats > 0 and spec.interval < 0:
        findings.append("interval: below 0")
    if findings:
        raise SpecError(findings)


def check_structure(spec: JobSpec) -> None:
    """Validates what the owner's state of a job relies on.

    Raises:
        SpecError: The specification is invalid; the error has all findings.
    """
    findings = _structure_findings(spec)
    if findings:
        raise SpecError(findings)


def _structure_findings(spec: JobSpec) -> list[str]:
    findings = []
    task_count = sum(step.width for step in spec.steps) * max(spec.repeats, 1)
    if task_count > MAX_TASKS_PER_JOB:
        findings.append(
            f"{task_count} tasks in all, at most {MAX_TASKS_PER_JOB}"
        )
    if not spec.steps:
        findings.append("steps: none")
    for number, step in enumerate(spec.steps):
        path = f"steps[{number}]"
        if step.width < 1:
            findings.append(f"{path}.width: {step.width}, at least 1")
        if min(step.size) < 0:
            findings.append(f"{path}.size: below 0")
        if any(not 0 <= dependency < number for dependency in step.after):
            findings.append(f"{path}.after: not an earlier step")
    return findings


class TaskName(NamedTuple):
    """Unique name of a task.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step within the job.
        position: Number of the task within the step.
    """

    job: str
    occurrence: int
    step: int
    position: int
