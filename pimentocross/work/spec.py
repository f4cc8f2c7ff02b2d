"""What a caller asks for when it submits a job."""

from typing import Final, NamedTuple


class Size(NamedTuple):
    """An amount of what a worker carries.

    Attributes:
        cpu: Thousandths of a core.
        memory: Megabytes.
        gpus: Accelerators.
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
        """True if no part exceeds that of `free`."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.gpus <= free.gpus
        )


NO_SIZE = Size(0, 0, 0)


class StepSpec(NamedTuple):
    """One step of a job: like tasks that may run beside each other.

    Attributes:
        width: How many tasks.
        size: What each asks for.
        estimate: Rough seconds that a task takes, 0 if unknown.
        after: Numbers of the steps that have to be done first.
        saves: Whether tasks save their progress.
        gang: Whether the tasks work only all together.
        same_rack: Whether tasks are slower on more than one rack.
        label: Label that the worker must have, or "".
        rack: Rack where the data is, or "".
        per_worker: Most tasks of the step on one worker, 0 for any.
        copies: Whether copies of a task may run in parallel.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run, or "".
        target_tail: Milliseconds that the tail of a serving task's response
            times must stay under, 0 if it serves nobody.
        fills: Whether the tasks take only what processor time is left over.
        away_most: Tasks of a lasting step that may be away by our doing, or
            None if that is not bounded.
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
        """What a task takes of a worker's capacity."""
        return self.size._replace(cpu=0) if self.fills else self.size


class JobSpec(NamedTuple):
    """One submission.

    Attributes:
        payload: Text that every task is started with.
        steps: Its steps, by number.
        repeats: How often the steps run; 0 for once, at once.
        first_due: When the first of several runs is due, seconds since 1970.
        interval: Seconds between one and the next.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_due: float = 0.0
    interval: float = 0.0


# Tasks of one job over all occurrences, each of which takes about 400 bytes of
# the owner's memory.
TASKS_MOST: Final = 100_000


class SpecError(Exception):
    """A submission that can't be meant.

    Attributes:
        findings: What is wrong, each with its place.
    """

    def __init__(self, findings: list[str]) -> None:
        """Takes the findings."""
        super().__init__("; ".join(findings))
        self.findings = findings


def check_spec(spec: JobSpec) -> None:
    """Checks what the types don't.

    Raises:
        SpecError: With all findings.
    """
    findings = []
    whole = sum(step.width for step in spec.steps) * max(spec.repeats, 1)
    if whole > TASKS_MOST:
        findings.append(f"{whole} tasks in all, at most {TASKS_MOST}")
    if not spec.steps:
        findings.append("steps: none")
    for number, step in enumerate(spec.steps):
        place = f"steps[{number}]"
        if step.width < 1:
            findings.append(f"{place}.width: {step.width}, at least 1")
        if min(step.size) < 0:
            findings.append(f"{place}.size: below 0")
        if any(not 0 <= before < number for before in step.after):
            findings.append(f"{place}.after: not an earlier step")
    if findings:
        raise SpecError(findings)


class TaskName(NamedTuple):
    """Names one task.

    Attributes:
        job: The job's id.
        occurrence: Which of the job's repeated runs, from 0.
        step: The step's number.
        position: The task's number within the step.
    """

    job: str
    occurrence: int
    step: int
    position: int
