"""Settings of an entry process, from flags and environment variables."""

from typing import NamedTuple

from pimentocross.contracts.authority import Timing
from pimentocross.links.greeting import Credentials


class EntrySettings(NamedTuple):
    """Settings of an entry process.

    Attributes:
        name: Name of the VM.
        zone: Availability zone of the VM.
        host: IP address that the listeners bind and that peers dial.
        caller_port: Port for callers, 0 for any free one.
        operator_port: Port for operators.
        peer_port: Port for peers.
        credentials: Cluster name and keys of the peer greeting.
        operator_token: Token that operators' requests have to carry.
        timing: Durations of the ownership rules, such as the lease.
        retention: How long the log service keeps records, in seconds.
        drain_notice: Seconds between failing the load balancer's health
            checks and the drain.
        drain_timeout: Longest time for requests in flight to finish, in
            seconds.
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
