"""Settings of an entry VM's process."""

from typing import NamedTuple

from pimentocross.contracts.switches import Switches
from pimentocross.work.limits import DEFAULT_RECORD_BYTES


class GatewaySettings(NamedTuple):
    """The settings that an entry VM's process is started with.

    Attributes:
        name: Name of this VM.
        zone: Availability zone of this VM.
        ip: IP address of this VM.
        caller_address: Address of the caller listener as host:port.
        ready_address: Address of the readiness endpoint for the load balancer
            as host:port.
        peer_port: Port of the peer listener.
        metrics_port: Port of the metrics page.
        store_address: Address of the store as host:port.
        adviser_address: Address as host:port of the service that advises which
            workers may run a step, or "" if there is none.
        lease_most: Longest lease in seconds that workers grant.
        ended_least: Seconds for which callers may ask for the state of an
            ended job.
        config_within: Seconds within which a change of the configuration has
            to be in force, from its acknowledgement on.
        evacuated_within: Seconds within which the evacuation of a zone has to
            be in force, from its acknowledgement on; infinite in deployments
            without evacuations.
        grace: Seconds between a request to stop and a kill.
        descriptors: Limit on open file descriptors of the process.
        cores: CPU of the VM in cores, or 0 if unknown.
        record_bytes: Longest record that the store takes.
        switches: Which optional parts are switched off.
    """

    name: str
    zone: str
    ip: str
    caller_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    adviser_address: str
    lease_most: float
    ended_least: float
    config_within: float
    evacuated_within: float
    grace: float
    descriptors: int
    cores: float = 0.0
    record_bytes: int = DEFAULT_RECORD_BYTES
    switches: Switches = Switches()
