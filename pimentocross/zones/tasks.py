"""Tasks that a cell's owner has to run, and their phases."""

from collections.abc import Iterable, Iterator
from enum import StrEnum
import heapq

from pimentocross.backing.workers import (
    Attempt,
    Resources,
    TaskKind,
    TaskSpec,
)
from pimentocross.config.schema import Configuration
from pimentocross.zones.cell_state import Job


class TaskPhase(StrEnum):
    """Phase of a task that should run."""

    PENDING = "pending"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDING = "ending"


class WantedTask:
    """One task that should run, or whose end is being recorded.

    Attributes:
        phase: Phase of the task.
        worker: Name of the worker that holds the task, or "".
        attempt: The newest attempt.
        not_before: Earliest time of the next attempt.
        queued_at: When the task became pending.
        reason: Why the task is in its phase, for operators.
        checkpoint: Where the next attempt resumes, or "".
        avoid: Workers on which the task failed.
        size: Resources to reserve: as declared, or as observed.
    """

    def __init__(
        self,
        task: str,
        kind: TaskKind,
        class_name: str,
        tenant: str,
        size: Resources,
        *,
        job: str = "",
        index: int = 0,
        input_text: str = "",
        urgent: bool = False,
        queued_at: float = 0.0,
    ) -> None:
        """Initializes a pending task with the size that its class declares."""
        self.phase = TaskPhase.PENDING
        self.worker = ""
        self.attempt = Attempt(0, 0)
        self.not_before = 0.0
        self.queued_at = queued_at
        self.reason = "queued"
        self.checkpoint = ""
        self.avoid: set[str] = set()
        self._task = task
        self._kind = kind
        self._class_name = class_name
        self._tenant = tenant
        self.size = size
        self._declared = size
        self._job = job
        self._index = index
        self._input = input_text
        self._urgent = urgent

    @property
    def task(self) -> str:
        """The task's id."""
        return self._task

    @property
    def kind(self) -> TaskKind:
        """Whether the task belongs to a service, a job or a watch."""
        return self._kind

    @property
    def class_name(self) -> str:
        """Name of the task's service, batch class or watch."""
        return self._class_name

    @property
    def tenant(self) -> str:
        """The tenant that the task belongs to."""
        return self._tenant

    @property
    def declared(self) -> Resources:
        """Resources that the task's class declares."""
        return self._declared

    @property
    def job(self) -> str:
        """Id of the task's job, or "" for services and watches."""
        return self._job

    @property
    def index(self) -> int:
        """The task's index in its job."""
        return self._index

    @property
    def urgent(self) -> bool:
        """True if the task is started before other batch tasks."""
        return self._urgent

    def spec(self) -> TaskSpec:
        """Returns the specification that is sent to a worker."""
        return TaskSpec(
            self._task,
            self.attempt,
            self._kind,
            self._class_name,
            self._tenant,
            self.size,
            self._input,
            self.checkpoint,
        )

    def may_be_on(self, worker: str, attempt: Attempt) -> bool:
        """Returns True if a worker may hold the task under an attempt."""
        if self.phase is TaskPhase.PENDING:
            return attempt >= self.attempt
        return self.worker == worker and self.attempt == attempt

    def requeue(self, now: float, reason: str) -> None:
        """Makes the task pending again."""
        self.phase = TaskPhase.PENDING
        self.worker = ""
        self.queued_at = now
        self.reason = reason


def task_id(job: str, index: int) -> str:
    """Returns the id of a job's task."""
    return f"{job}/{index}"


def service_and_watch_tasks(
    config: Configuration, cell: str, now: float
) -> dict[str, WantedTask]:
    """Returns the tasks of services and watches that a cell has to run."""
    tasks: dict[str, WantedTask] = {}
    for name, service in config.services.items():
        for i in range(replicas_of(config, name, cell)):
            task = f"service:{name}/{cell}/{i}"
            tasks[task] = WantedTask(
                task,
                TaskKind.SERVICE,
                name,
                service.tenant,
                service.size.resources,
                queued_at=now,
            )
    for name, watch in config.watches.items():
        if watch.zone != cell:
            continue
        for i in range(watch.instances):
            task = f"watch:{name}/{i}"
            tasks[task] = WantedTask(
                task,
                TaskKind.WATCH,
                name,
                watch.tenant,
                watch.size.resources,
                queued_at=now,
            )
    return tasks


def replicas_of(config: Configuration, service: str, cell: str) -> int:
    """Returns a cell's share of a service's replicas, spread over all zones."""
    cells = sorted(config.zones)
    if cell not in cells:
        return 0
    share, remainder = divmod(config.services[service].replicas, len(cells))
    return share + (cells.index(cell) < remainder)


def job_tasks(
    config: Configuration, job: Job, now: float
) -> dict[str, WantedTask]:
    """Returns the tasks of a job that have not finished."""
    accepted = job.accepted
    batch = config.batch.get(accepted.class_name)
    if batch is None or job.ended:
        return {}
    tasks: dict[str, WantedTask] = {}
    for index in sorted(job.open):
        task = task_id(accepted.job, index)
        wanted = WantedTask(
            task,
            TaskKind.BATCH,
            accepted.class_name,
            accepted.tenant,
            batch.size.resources,
            job=accepted.job,
            index=index,
            input_text=accepted.input,
            urgent=batch.urgent,
            queued_at=now,
        )
        wanted.checkpoint = job.checkpoints.get(index, "")
        wanted.avoid = set(job.failed_on)
        tasks[task] = wanted
    return tasks


def sync_services_and_watches(
    tasks: dict[str, WantedTask],
    config: Configuration,
    zone: str,
    now: float,
) -> list[WantedTask]:
    """Adds the configured tasks of services and watches that are missing.

    Returns:
        The tasks of services and watches that are no longer configured; they
        stay in `tasks`.
    """
    configured = service_and_watch_tasks(config, zone, now)
    for name, task in configured.items():
        tasks.setdefault(name, task)
    return [
        task
        for task in tasks.values()
        if task.kind is not TaskKind.BATCH and task.task not in configured
    ]


def pending_in_order(
    tasks: Iterable[WantedTask], now: float
) -> Iterator[WantedTask]:
    """Yields the pending tasks that may start now, the most urgent first."""
    queue = [
        (_start_rank(task), task.queued_at, task.task, task)
        for task in tasks
        if task.phase is TaskPhase.PENDING and task.not_before <= now
    ]
    heapq.heapify(queue)
    while queue:
        yield heapq.heappop(queue)[-1]


def _start_rank(task: WantedTask) -> int:
    if task.kind is TaskKind.SERVICE:
        return 0
    if task.kind is TaskKind.WATCH:
        return 1
    return 2 if task.urgent else 3
