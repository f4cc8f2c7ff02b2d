"""Bodies of the platform's calls, and their translation to internal types.

Unknown fields are ignored, as the platform may add some.
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
from pimentocross.decoding import (
    MAX_NUMBER,
    FiniteNumber,
    Number,
    json_decoder,
    whole_number,
)
from pimentocross.work.queue import (
    CallerLimits,
    Queue,
    ServicePool,
    WorkConfig,
)
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName

_MS = 1000.0
# Maximum number of cached task names, as workers list the same ones repeatedly.
# More than twice the number on 246 workers with 25 runs each; takes 2 MB.
_TASK_NAME_CACHE_SIZE: Final = 16_384


class WireError(Exception):
    """A body does not have the expected format."""


# Upper bounds for a worker's capacity in thousandths of a core, megabytes and
# accelerators: far beyond any VM, so that only corrupt values are rejected.
_MAX_AMOUNT = 100_000_000
_MAX_GPUS = 1_000
# A day: workers announce that they leave at most that far in advance.
_MAX_REMAINING_MS = 86_400_000
_Amount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_AMOUNT)]
_HOST_AND_PORT = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\Z"
_MAX_PORT = 65_535
# Longest name of a service, zone, label, machine or image. Names are part of
# the owner's records.
_MAX_NAME_LENGTH = 256
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]
# Ids are used in headers and task records.
_LIFE_ID = re.compile(r"[A-Za-z0-9._-]{1,120}")


class _Capacity(msgspec.Struct):
    cpu: _Amount
    mem_mb: _Amount
    gpus: Annotated[int, msgspec.Meta(ge=0, le=_MAX_GPUS)] = 0


class _WorkerEntry(msgspec.Struct):
    """The entry that a worker writes about itself to the store.

    Other writers may add entries to the topic too. Fields that workers always
    write are required, so that an entry of another kind lists no worker.
    """

    # The service that the worker belongs to.
    backend: Annotated[
        str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)
    ]
    address: Annotated[str, msgspec.Meta(pattern=_HOST_AND_PORT)]
    zone: _Name
    state: Literal["ready", "draining"]
    capacity: _Capacity
    # The worker's kind, then its rack.
    labels: list[_Name]
    machine_id: _Name = ""
    # Start time of the worker, in milliseconds since 1970.
    born: Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)] = 0
    # While the worker drains: minimum time that remains until it leaves.
    remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_REMAINING_MS)] = 0


class _Route(msgspec.Struct):
    """A queue, which the platform calls a route."""

    name: str
    hostname: str
    path_prefix: str
    backend: str
    priority: Number = 0
    max_attempts: Number = 1
    # Maximum duration of a job, as a multiple of its critical path.
    slack_factor: FiniteNumber = 1.0
    target_latency_ms: FiniteNumber = 0
    # Present if only workers that the adviser permits may run its steps.
    recommendation: Any = None


class _Service(msgspec.Struct):
    name: str
    max_connections: Number = 64
    # Whether its workers reject tasks that exceed their capacity.
    enforces_capacity: bool = False
    standby: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: Number = 16384
    max_body_bytes: Number = 262144
    header_timeout_ms: FiniteNumber = 3000
    idle_timeout_ms: FiniteNumber = 15000


class _Config(msgspec.Struct):
    version: Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Step(msgspec.Struct):
    count: Number = 1
    cpu: Number = 0
    mem_mb: Number = 0
    gpus: Number = 0
    estimated_ms: FiniteNumber = 0
    after: list[Number] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the worker must have.
    requirements: _Name = ""
    # Rack that holds the step's data.
    affinity: _Name = ""
    # Maximum number of tasks of the step on one worker.
    anti_affinity: Number = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: _Name = ""
    target_ms: Number = 0
    # A flag despite its name: the tasks use only CPU time left by others.
    fill_count: bool = False
    max_unavailable: Number | None = None


class _Submission(msgspec.Struct):
    job_steps: list[_Step]
    spec: str = ""
    repeat_count: Number = 0
    start_at_ms: FiniteNumber = 0
    interval_ms: FiniteNumber = 0


class _RunRow(msgspec.Struct, array_like=True, gc=False):
    """A row of a listing, in the format of all but a few rows."""

    task: str
    run: Number
    checkpoint: str
    percent: Number
    # Tail latency in ms of a serving task, else CPU use in millicores.
    figure: Number = 0


class _HoldReply(msgspec.Struct):
    clock_ms: FiniteNumber
    born: FiniteNumber = 0
    running: list[_RunRow] = []
    # Rows of number, task, run, kind of ending and checkpoint.
    completions: list[list[str | int | float]] = []


class _LenientHoldReply(msgspec.Struct):
    """Like `_HoldReply`, but accepts numbers of other types in its rows."""

    clock_ms: FiniteNumber
    born: FiniteNumber = 0
    # Rows of task, run, checkpoint, percent and optionally a figure.
    running: list[list[str | int | float]] = []
    completions: list[list[str | int | float]] = []


class Refusal(msgspec.Struct):
    """Reason of a worker's refusal, and the worker's clock."""

    reason: str = ""
    clock_ms: FiniteNumber | None = None


_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_ALONE,
}

_decode_server = json_decoder(_WorkerEntry)
_decode_config = json_decoder(_Config)
_decode_submission = json_decoder(_Submission, strict=False)
_decode_hold = json_decoder(_HoldReply)
_decode_lenient_hold = json_decoder(_LenientHoldReply)
_decode_refusal = json_decoder(Refusal)


def read_worker(life_id: str, value: bytes) -> WorkerLife:
    """Decodes a worker's entry.

    Raises:
        WireError: The entry does not have the expected format.
    """
    if not _LIFE_ID.fullmatch(life_id):
        raise WireError("the key is not a valid worker id")
    try:
        server = _decode_server(value)
    except msgspec.DecodeError as error:
        raise WireError(f"entry of a worker: {error}") from error
    if int(server.address.rpartition(":")[2]) > _MAX_PORT:
        raise WireError(f"entry of a worker: address {server.address}")
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
    """Decodes a version of the configuration.

    Raises:
        WireError: The value does not have the expected format.
    """
    try:
        config = _decode_config(value)
    except msgspec.DecodeError as error:
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
    """Decodes the job that a caller submits.

    Raises:
        WireError: The body does not have the expected format.
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
    """Decodes a worker's listing of its runs and endings.

    Raises:
        WireError: The body does not have the expected format.
    """
    try:
        return _read_hold(body)
    except (msgspec.DecodeError, IndexError, KeyError, ValueError) as error:
        raise WireError(f"worker's list: {error!r}") from error


def _read_hold(body: bytes) -> HoldReply:
    reply: _HoldReply | _LenientHoldReply
    try:
        reply = _decode_hold(body)
    except msgspec.ValidationError:
        reply = _decode_lenient_hold(body)
        running = [_listed_run(row) for row in reply.running]
    else:
        # Rows are built inline, as listings are most of the decoded data.
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


def _listed_run(row: list[Any]) -> ListedRun:
    figure = row[4] if len(row) > 4 else 0
    return ListedRun(
        read_task(row[0]),
        whole_number(row[1]),
        str(row[2]),
        whole_number(row[3]),
        whole_number(figure),
    )


def _ending(row: list[Any]) -> Ending:
    saved = str(row[4]) if len(row) > 4 else ""
    return Ending(
        whole_number(row[0]),
        read_task(row[1]),
        whole_number(row[2]),
        _END_KINDS[row[3]],
        saved,
    )


@functools.lru_cache(maxsize=_TASK_NAME_CACHE_SIZE)
def read_task(name: str) -> TaskName:
    """Parses a task's name, "job.occurrence.step.index".

    Raises:
        ValueError: The name does not have this format.
    """
    job, occurrence, step, index = name.rsplit(".", 3)
    return TaskName(job, int(occurrence), int(step), int(index))


def write_task(name: TaskName) -> str:
    """Returns a task's name in the platform's format."""
    return f"{name.job}.{name.occurrence}.{name.step}.{name.position}"


def read_refusal(body: bytes) -> Refusal:
    """Decodes the reason of a refusal; an empty body has no reason."""
    if not body:
        return Refusal()
    try:
        return _decode_refusal(body)
    except msgspec.DecodeError:
        # Refusals by the HTTP layer may have a body of another format.
        return Refusal(body[:80].decode("latin-1"))
