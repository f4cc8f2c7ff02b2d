"""Configuration of queues and of the services whose workers run their tasks."""

from collections.abc import Mapping
from typing import NamedTuple


class Queue(NamedTuple):
    """Settings of a queue of jobs.

    Attributes:
        name: Name of the queue, unique within a configuration.
        host: Host name of callers' requests to the queue.
        prefix: Start of the path of callers' requests, with a slash at the end.
        service: Service whose workers run the tasks.
        priority: Priority of the jobs; 0 is the highest.
        attempts: Number of failed runs of one task after which its job fails.
        slack: A job is in time if it ends within `slack` times its critical
            path, plus `target_latency`.
        target_latency: Seconds that a job may take in addition.
        asks_adviser: Whether only workers that the adviser names may run tasks.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    slack: float
    target_latency: float
    asks_adviser: bool


class ServicePool(NamedTuple):
    """Settings of a service and its workers.

    Attributes:
        name: Name of the service.
        enforces_capacity: Whether its workers refuse tasks that don't fit.
        connections: Connections that one worker accepts from all VMs together.
        standby: Whether its machines are off until they are moved elsewhere.
    """

    name: str
    enforces_capacity: bool
    connections: int
    standby: bool


class CallerLimits(NamedTuple):
    """Limits of callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class WorkConfig(NamedTuple):
    """A version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    services: Mapping[str, ServicePool]
    limits: CallerLimits

    def latest_queue(self, queue: Queue) -> Queue:
        """Returns the queue as configured now, unchanged if it was removed."""
        return next((q for q in self.queues if q.name == queue.name), queue)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda q: len(q.prefix), default=None)
