"""Settings of one entry process, from flags and environment variables."""

from typing import NamedTuple

from pimentocross.contracts.authority import Timing
from pimentocross.links.greeting import Credentials


class EntrySettings(NamedTuple):
    """Where an entry process stands and what it talks to.

    Attributes:
        name: Its VM's name.
        zone: Its availability zone.
        host: IP number that the listeners bind and peers dial.
        caller_port: Port for callers, 0 for any free one.
        operator_port: Port for operators.
        peer_port: Port for peers.
        credentials: Cluster name and keys of the peer greeting.
        operator_token: What operators have to show.
        timing: Durations of the ownership rules.
        retention: How long the log service keeps records, in seconds.
        drain_notice: Seconds between leaving the balancer and the drain.
        drain_timeout: Longest time for requests in flight to finish.
    """

    name: str
    zone: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    credentials: Credentials
    operator_token: str
    timing: Timing = Timing()
    retention: float = 3600.0
    drain_notice: float = 1.0
    drain_timeout: float = 30.0
