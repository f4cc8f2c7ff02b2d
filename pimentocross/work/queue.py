"""Queues, the services whose workers run them, and who may be asked where."""

from collections.abc import Mapping
from typing import NamedTuple


class Queue(NamedTuple):
    """One queue of jobs.

    Attributes:
        name: Its name, unique within a configuration.
        host: Host that callers name.
        prefix: Path that callers' paths begin with, a slash at its end.
        service: Service whose workers run its tasks.
        priority: 0 comes first.
        attempts: Runs of one task that may fail.
        slack: A job is in time within this many times its longest chain of
            work, and `target_latency` more.
        target_latency: Seconds.
        asks_adviser: Whether only workers named by the adviser may run it.
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
    """One service.

    Attributes:
        name: Its name.
        guarded: Whether its workers refuse what does not fit.
        connections: Connections that one worker takes from all of us.
        standby: Whether its machines are off until moved elsewhere.
    """

    name: str
    guarded: bool
    connections: int
    standby: bool


class CallerLimits(NamedTuple):
    """Bounds of callers' requests; sizes in bytes, times in seconds."""

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

    def newest_form(self, queue: Queue) -> Queue:
        """Returns a queue as configured now; as it was if it was dropped."""
        return next((q for q in self.queues if q.name == queue.name), queue)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of the longest prefix that a path begins with."""
        fitting = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda q: len(q.prefix), default=None)
