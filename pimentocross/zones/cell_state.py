"""Records of a cell's stream, and the jobs and workers folded from them."""

from typing import NamedTuple

import msgspec

from pimentocross.backing.log import RecordBody
from pimentocross.backing.workers import Attempt
from pimentocross.contracts.records import RecordKinds
from pimentocross.zones.const import MAX_ENDED_JOBS


class CellOpened(NamedTuple):
    """A new owner opens the cell; records of lower epochs are now rejected."""

    epoch: int


class JobAccepted(NamedTuple):
    """A job is accepted; it ends exactly once."""

    epoch: int
    job: str
    tenant: str
    class_name: str
    tasks: int
    tries: int
    input: str


class TaskEnded(NamedTuple):
    """An attempt at a task finished or failed on a worker."""

    epoch: int
    job: str
    task_index: int
    attempt: Attempt
    finished: bool
    result: str
    worker: str


class TaskEvicted(NamedTuple):
    """A task was evicted and resumes from its checkpoint."""

    epoch: int
    job: str
    task_index: int
    attempt: Attempt
    checkpoint: str


class JobCancelled(NamedTuple):
    """A job is cancelled and ends without finishing."""

    epoch: int
    job: str


class WorkerRostered(NamedTuple):
    """A worker joins the cell; from this record on, tasks may start on it."""

    epoch: int
    worker: str
    address: str


class WorkerDropped(NamedTuple):
    """A worker holds no tasks any more and leaves the cell."""

    epoch: int
    worker: str


CellRecord = (
    CellOpened
    | JobAccepted
    | TaskEnded
    | TaskEvicted
    | JobCancelled
    | WorkerRostered
    | WorkerDropped
)

KINDS: RecordKinds[CellRecord] = RecordKinds(
    {
        "cell-opened": CellOpened,
        "job-accepted": JobAccepted,
        "task-ended": TaskEnded,
        "task-evicted": TaskEvicted,
        "job-cancelled": JobCancelled,
        "worker-rostered": WorkerRostered,
        "worker-dropped": WorkerDropped,
    }
)


class Job(NamedTuple):
    """A job's state, folded from the records of the cell.

    Attributes:
        accepted: The record that accepted the job.
        state: "accepted", "finished", "failed" or "cancelled".
        open: Indexes of tasks that have not finished.
        results: Results of finished tasks by index.
        failures: Failed attempts of open tasks by index.
        failed_on: Workers on which attempts failed.
        checkpoints: Checkpoints of evicted tasks by index.
        reason: Why the job failed, or "".
    """

    accepted: JobAccepted
    state: str
    open: set[int]
    results: dict[int, str]
    failures: dict[int, list[Attempt]]
    failed_on: list[str]
    checkpoints: dict[int, str]
    reason: str

    @property
    def ended(self) -> bool:
        """True once the job is finished, failed or cancelled."""
        return self.state != "accepted"


class _Dump(NamedTuple):
    epoch: int
    jobs: list[Job]
    roster: dict[str, str]


class CellState:
    """Jobs and workers of a cell, folded from its stream."""

    def __init__(self) -> None:
        """Initializes a state without jobs and workers, at epoch 0."""
        self._epoch = 0
        self._jobs: dict[str, Job] = {}
        self._ended: dict[str, None] = {}
        self._roster: dict[str, str] = {}
        self._changed_jobs: set[str] = set()

    @property
    def epoch(self) -> int:
        """Epoch of the newest owner that opened the cell."""
        return self._epoch

    @property
    def jobs(self) -> dict[str, Job]:
        """Jobs by id: all that have not ended, and the newest ended ones."""
        return self._jobs

    @property
    def open_jobs(self) -> int:
        """Number of jobs that have not ended."""
        return len(self._jobs) - len(self._ended)

    @property
    def roster(self) -> dict[str, str]:
        """Addresses of the workers that may hold tasks, by name."""
        return self._roster

    def take_changed_jobs(self) -> set[str]:
        """Returns and clears the ids of jobs changed since the last call."""
        changed_jobs, self._changed_jobs = self._changed_jobs, set()
        return changed_jobs

    def apply(self, offset: int, body: RecordBody) -> str | None:
        """Applies one record; returns why it is rejected, or None."""
        record = KINDS.decode(body)
        if record is None:
            return "unknown record"
        if isinstance(record, CellOpened):
            return self._apply_opened(record)
        if record.epoch != self._epoch:
            return f"epoch {self._epoch} has begun"
        match record:
            case JobAccepted():
                return self._apply_accepted(record)
            case TaskEnded():
                return self._apply_ended(record)
            case TaskEvicted():
                return self._apply_evicted(record)
            case JobCancelled():
                return self._apply_cancelled(record)
            case WorkerRostered():
                self._roster[record.worker] = record.address
            case WorkerDropped():
                self._roster.pop(record.worker, None)
        return None

    def dump(self) -> RecordBody:
        """Returns the whole state as JSON values."""
        return {
            "epoch": self._epoch,
            "jobs": [msgspec.to_builtins(job) for job in self._jobs.values()],
            "roster": dict(self._roster),
        }

    def load(self, dump: RecordBody) -> None:
        """Replaces the state with a dumped one."""
        field_values = [dump[name] for name in _Dump._fields]
        loaded = msgspec.convert(field_values, _Dump, strict=False)
        self._epoch = loaded.epoch
        self._jobs = {job.accepted.job: job for job in loaded.jobs}
        self._ended = {i: None for i, job in self._jobs.items() if job.ended}
        self._roster = loaded.roster
        self._changed_jobs = set(self._jobs)

    def _apply_opened(self, opened: CellOpened) -> str | None:
        if opened.epoch <= self._epoch:
            return f"epoch {self._epoch} has begun"
        self._epoch = opened.epoch
        return None

    def _apply_accepted(self, accepted: JobAccepted) -> str | None:
        if accepted.job in self._jobs:
            return None
        tasks = set(range(accepted.tasks))
        job = Job(accepted, "accepted", tasks, {}, {}, [], {}, "")
        self._put(job)
        return None

    def _apply_ended(self, ended: TaskEnded) -> str | None:
        job = self._jobs.get(ended.job)
        if job is None or job.ended or ended.task_index not in job.open:
            return "the task has ended already"
        if ended.finished:
            self._finish_task(job, ended)
            return None
        failures = job.failures.setdefault(ended.task_index, [])
        if ended.attempt in failures:
            return "this try is known to have failed"
        failures.append(ended.attempt)
        job.failed_on.append(ended.worker)
        if len(failures) >= job.accepted.tries:
            job = job._replace(state="failed", reason=ended.result)
        self._put(job)
        return None

    def _finish_task(self, job: Job, ended: TaskEnded) -> None:
        job.open.discard(ended.task_index)
        job.results[ended.task_index] = ended.result
        job.failures.pop(ended.task_index, None)
        job.checkpoints.pop(ended.task_index, None)
        self._put(job if job.open else job._replace(state="finished"))

    def _apply_evicted(self, evicted: TaskEvicted) -> str | None:
        job = self._jobs.get(evicted.job)
        if job is None or job.ended or evicted.task_index not in job.open:
            return "the task has ended already"
        job.checkpoints[evicted.task_index] = evicted.checkpoint
        self._put(job)
        return None

    def _apply_cancelled(self, cancelled: JobCancelled) -> str | None:
        job = self._jobs.get(cancelled.job)
        if job is None:
            return "no such job"
        if job.ended:
            return f"the job is {job.state}"
        self._put(job._replace(state="cancelled"))
        return None

    def _put(self, job: Job) -> None:
        name = job.accepted.job
        self._jobs[name] = job
        self._changed_jobs.add(name)
        if not job.ended:
            return
        self._ended[name] = None
        while len(self._ended) > MAX_ENDED_JOBS:
            oldest = next(iter(self._ended))
            del self._ended[oldest]
            del self._jobs[oldest]
