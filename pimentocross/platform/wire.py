"""Bodies of the platform's calls, with its names, and their meaning here.

Fields that these types leave out are ignored: the platform may add some.
"""

import functools
import re
from typing import Annotated, Any, Final, Literal

import msgspec

from pimentocross.contracts.worker_link import (
    Ending,
    EndKind,
    HoldReply,
    ListedRun,
    WorkerLife,
)
from pimentocross.work.queue import (
    CallerLimits,
    Queue,
    ServicePool,
    WorkConfig,
)
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName

_MS = 1000.0
# Names of tasks that are listed again and again: more than twice what 246
# workers of 25 runs have, in 2 MB.
_NAMES_KEPT: Final = 16_384


class WireError(Exception):
    """A body that does not have the expected form."""


# The most that is believed of a worker, in thousandths of a core, megabytes and
# accelerators: far beyond any machine, so that a wild figure is refused.
_AMOUNT_MOST = 100_000_000
_GPUS_MOST = 1_000
# A day: no worker announces its leaving earlier.
_REMAINING_MS_MOST = 86_400_000
_Amount = Annotated[int, msgspec.Meta(gt=0, le=_AMOUNT_MOST)]
_HOST_AND_PORT = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
# Ids stand in headers and task records.
_LIFE_ID = re.compile(r"[A-Za-z0-9._-]{1,120}")


class _Capacity(msgspec.Struct):
    cpu: _Amount
    mem_mb: _Amount
    gpus: Annotated[int, msgspec.Meta(ge=0, le=_GPUS_MOST)] = 0


class _Server(msgspec.Struct):
    """A worker's report about itself in the store.

    Other writers may put entries there too: what a worker always writes is
    demanded, so that such an entry names no worker.
    """

    # The service whose worker it is.
    backend: Annotated[str, msgspec.Meta(min_length=1)]
    address: Annotated[str, msgspec.Meta(pattern=_HOST_AND_PORT)]
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    # The kind, then the rack.
    labels: list[str]
    machine_id: str = ""
    # When it started, in milliseconds since 1970.
    born: float = 0
    # Only while it drains: the time that is left at least.
    remaining_ms: Annotated[
        float, msgspec.Meta(ge=0, le=_REMAINING_MS_MOST)
    ] = 0


class _Route(msgspec.Struct):
    """A queue."""

    name: str
    hostname: str
    path_prefix: str
    backend: str
    priority: int = 0
    max_attempts: int = 1
    # How many times its longest chain of work a job may take.
    slack_factor: float = 1.0
    target_latency_ms: float = 0
    # Present if only the workers that the adviser names may run it.
    recommendation: Any = None


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 64
    # Whether its workers refuse what does not fit.
    enforces_capacity: bool = False
    standby: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Step(msgspec.Struct):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimated_ms: float = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    requirements: str = ""
    # The rack where the data is.
    affinity: str = ""
    # The most tasks of the step on one worker.
    anti_affinity: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    # Not a count: that its tasks take only processor time left over.
    fill_count: bool = False
    max_unavailable: int | None = None


class _Submission(msgspec.Struct):
    job_steps: list[_Step]
    spec: str = ""
    repeat_count: int = 0
    start_at_ms: float = 0
    interval_ms: float = 0


class _Running(msgspec.Struct, array_like=True, gc=False):
    """A row of a listing, in the form that all but a few have."""

    task: str
    run: int
    checkpoint: str
    percent: int
    figure: int = 0


class _HoldReply(msgspec.Struct):
    clock_ms: float
    born: float = 0
    running: list[_Running] = []
    # Rows of number, task, run, how it ended and saved progress.
    completions: list[list[str | int | float]] = []


class _LooseHoldReply(msgspec.Struct):
    """The same, with rows whose numbers may have another form."""

    clock_ms: float
    born: float = 0
    # Rows of task, run, saved progress, percent and a figure.
    running: list[list[str | int | float]] = []
    completions: list[list[str | int | float]] = []


class Refusal(msgspec.Struct):
    """Why a worker refused, and its clock."""

    reason: str = ""
    clock_ms: float | None = None


_ENDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_ALONE,
}

_decode_server = msgspec.json.Decoder(_Server).decode
_decode_config = msgspec.json.Decoder(_Config).decode
_decode_submission = msgspec.json.Decoder(_Submission, strict=False).decode
_decode_hold = msgspec.json.Decoder(_HoldReply).decode
_decode_loose_hold = msgspec.json.Decoder(_LooseHoldReply).decode
_decode_refusal = msgspec.json.Decoder(Refusal).decode


def read_worker(life_id: str, value: bytes) -> WorkerLife:
    """Reads a worker's entry.

    Raises:
        WireError: It has another form.
    """
    if not _LIFE_ID.fullmatch(life_id):
        raise WireError("its key is no id")
    try:
        server = _decode_server(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"entry of a worker: {error}") from error
    capacity = server.capacity
    return WorkerLife(
        life_id,
        server.machine_id,
        server.backend,
        server.address,
        server.zone,
        tuple(server.labels),
        Size(capacity.cpu, capacity.mem_mb, capacity.gpus),
        server.state == "draining",
        server.remaining_ms / _MS,
        int(server.born),
    )


def read_config(value: bytes) -> WorkConfig:
    """Reads a version of the configuration.

    Raises:
        WireError: It has another form.
    """
    try:
        config = _decode_config(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"configuration: {error}") from error
    limits = config.limits
    return WorkConfig(
        config.version,
        tuple(_queue(route) for route in config.routes),
        {s.name: _pool(s) for s in config.services},
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MS,
            limits.idle_timeout_ms / _MS,
        ),
    )


def _queue(route: _Route) -> Queue:
    return Queue(
        route.name,
        route.hostname,
        route.path_prefix,
        route.backend,
        route.priority,
        route.max_attempts,
        route.slack_factor,
        route.target_latency_ms / _MS,
        route.recommendation is not None,
    )


def _pool(service: _Service) -> ServicePool:
    return ServicePool(
        service.name,
        service.enforces_capacity,
        service.max_connections,
        service.standby,
    )


def read_submission(body: bytes) -> JobSpec:
    """Reads what a caller submits.

    Raises:
        WireError: It has another form.
    """
    try:
        submission = _decode_submission(body)
    except msgspec.DecodeError as error:
        raise WireError(str(error)) from error
    return JobSpec(
        submission.spec,
        tuple(_step(step) for step in submission.job_steps),
        submission.repeat_count,
        submission.start_at_ms / _MS,
        submission.interval_ms / _MS,
    )


def _step(step: _Step) -> StepSpec:
    return StepSpec(
        step.count,
        Size(step.cpu, step.mem_mb, step.gpus),
        step.estimated_ms / _MS,
        tuple(step.after),
        step.checkpointing,
        step.gang,
        step.same_rack,
        step.requirements,
        step.affinity,
        step.anti_affinity,
        step.allow_duplicates,
        step.long_running,
        step.image,
        step.target_ms,
        step.fill_count,
        step.max_unavailable,
    )


def read_hold(body: bytes) -> HoldReply:
    """Reads what a worker lists.

    Raises:
        WireError: It has another form.
    """
    try:
        return _read_hold(body)
    except (msgspec.DecodeError, IndexError, KeyError, ValueError) as error:
        raise WireError(f"worker's list: {error!r}") from error


def _read_hold(body: bytes) -> HoldReply:
    reply: _HoldReply | _LooseHoldReply
    try:
        reply = _decode_hold(body)
    except msgspec.ValidationError:
        reply = _decode_loose_hold(body)
        running = [_listed(row) for row in reply.running]
    else:
        # Each row is made in one step: listings are most of what is decoded.
        running = [
            ListedRun(
                read_task(row.task),
                row.run,
                row.checkpoint,
                row.percent,
                row.figure,
            )
            for row in reply.running
        ]
    endings = [_ending(row) for row in reply.completions]
    return HoldReply(reply.clock_ms / _MS, running, endings, int(reply.born))


def _listed(row: list[Any]) -> ListedRun:
    figure = row[4] if len(row) > 4 else 0
    return ListedRun(
        read_task(row[0]), int(row[1]), str(row[2]), int(row[3]), int(figure)
    )


def _ending(row: list[Any]) -> Ending:
    saved = str(row[4]) if len(row) > 4 else ""
    return Ending(
        int(row[0]), read_task(row[1]), int(row[2]), _ENDS[row[3]], saved
    )


@functools.lru_cache(maxsize=_NAMES_KEPT)
def read_task(name: str) -> TaskName:
    """Reads a task's name, "job.occurrence.step.index".

    Raises:
        ValueError: It has another form.
    """
    job, occurrence, step, index = name.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(index))


def write_task(name: TaskName) -> str:
    """Returns a task's name as the platform spells it."""
    return f"{name.job}.{name.occurrence}.{name.step}.{name.position}"


def read_refusal(body: bytes) -> Refusal:
    """Reads why a worker refused; an empty body gives no reason."""
    if not body:
        return Refusal()
    try:
        return _decode_refusal(body)
    except msgspec.DecodeError:
        # Refusals of the HTTP layer may come without a body of this form.
        return Refusal(body[:80].decode("latin-1"))
