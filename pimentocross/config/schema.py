"""Schema of the configuration, with units resolved and defaults applied."""

from typing import Annotated, NamedTuple

from pydantic import Field

from pimentocross.backing.workers import Resources
from pimentocross.config.units import Duration, Rate, Size

Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0)]
Positive = Annotated[int, Field(ge=1)]
Amount = Annotated[float, Field(gt=0)]


class SizeConfig(NamedTuple):
    """Resources that one task may use on its VM."""

    processors: Amount
    memory: Size
    accelerators: Count = 0
    slots: Positive = 1

    @property
    def resources(self) -> Resources:
        """The same values as `Resources`."""
        return Resources(*self)


class ZoneConfig(NamedTuple):
    """An availability zone: its region and how many workers it has."""

    region: str
    workers: Positive


class WorkersConfig(NamedTuple):
    """Capacity of every worker, and the number of workers per rack."""

    processors: Amount
    memory: Size
    slots: Positive
    connections: Positive
    per_rack: Positive
    accelerators: Count = 0

    @property
    def resources(self) -> Resources:
        """The same values as `Resources`."""
        return Resources(
            self.processors, self.memory, self.accelerators, self.slots
        )


class ServiceConfig(NamedTuple):
    """A latency-critical service.

    Attributes:
        tenant: Tenant that the service belongs to.
        replicas: Tasks that run the service, over all zones.
        size: Resources that one replica may use.
        concurrency: Requests that one replica runs at once.
        timeout: Longest time for an answer if the caller sets none.
        idempotent_methods: Methods that may be retried and hedged.
        hedge: Whether idempotent requests may be sent a second time early.
    """

    tenant: str
    replicas: Positive
    size: SizeConfig
    concurrency: Positive = 4
    timeout: Duration = 2.0
    idempotent_methods: list[str] = ["GET", "HEAD", "OPTIONS"]  # noqa: RUF012
    hedge: bool = True


class BatchConfig(NamedTuple):
    """A class of batch jobs.

    Attributes:
        tenant: Tenant that the jobs belong to.
        size: Resources that one task may use.
        run_time: How long one task is expected to take.
        tries: Failed attempts after which the job has failed.
        urgent: Whether its jobs go before others.
    """

    tenant: str
    size: SizeConfig
    run_time: Duration
    tries: Positive = 3
    urgent: bool = False


class WatchConfig(NamedTuple):
    """A watch: standing work whose instances keep running in one zone."""

    tenant: str
    size: SizeConfig
    zone: str
    instances: Positive = 1


class QuotaConfig(NamedTuple):
    """Limit of a tenant's batch tasks while other tenants need capacity."""

    processors: Amount
    memory: Size


class TenantConfig(NamedTuple):
    """A team: its weight relative to other tenants, and its quota."""

    weight: Amount = 1.0
    quota: QuotaConfig | None = None


class SharingRule(NamedTuple):
    """Limits tasks of a batch class on a VM that runs another class.

    Attributes:
        batch: The limited batch class.
        beside: The service, batch class or watch on the same VM.
        at_most: Number of tasks of `batch` allowed beside it.
    """

    batch: str
    beside: str
    at_most: Count


class ObjectiveConfig(NamedTuple):
    """Weights of the placement measures; only their proportions matter."""

    tail_latency: Share
    batch_throughput: Share
    evictions: Share


class LimitsConfig(NamedTuple):
    """Bounds on what callers may send.

    Attributes:
        body: Longest body of a request.
        input: Longest input of a job.
        queue: Requests of one service that wait for a target.
        retry_share: Retries as a share of requests.
        calls_per_tenant: Requests a second that one tenant may send to one
            entry VM; None for no bound.
        jobs: Unfinished jobs of one cell.
    """

    body: Size = 1_000_000
    input: Size = 16_000
    queue: Positive = 256
    retry_share: Share = 0.1
    calls_per_tenant: Rate | None = None
    jobs: Positive = 100_000


class Configuration(NamedTuple):
    """Everything that operators declare."""

    cluster: str
    zones: dict[str, ZoneConfig]
    workers: WorkersConfig
    tenants: dict[str, TenantConfig]
    objective: ObjectiveConfig
    services: dict[str, ServiceConfig] = {}  # noqa: RUF012
    batch: dict[str, BatchConfig] = {}  # noqa: RUF012
    watches: dict[str, WatchConfig] = {}  # noqa: RUF012
    sharing: dict[str, SharingRule] = {}  # noqa: RUF012
    limits: LimitsConfig = LimitsConfig()
