"""Settings of an entry VM's process."""

from typing import NamedTuple

from pimentocross.contracts.switches import Switches


class GatewaySettings(NamedTuple):
    """What a process learns before it starts.

    Attributes:
        name: This VM's name.
        zone: Its availability zone.
        ip: Its IP number.
        caller_address: host:port for callers.
        ready_address: host:port where the balancer asks.
        peer_port: Port for peers.
        metrics_port: Port of the metrics page.
        store_address: host:port of the store.
        adviser_address: host:port of the service that knows who may run a
            step, or "".
        lease_most: Longest lease in seconds that workers grant.
        ended_least: Seconds for which the state of an ended job is asked for.
        config_within: Seconds after its acknowledgement within which a change
            of the configuration has to be in force.
        evacuated_within: The same of an evacuation of a zone; infinite where
            none is ever asked for.
        grace: Seconds between a request to stop and a kill.
        descriptors: File descriptors that the process may have open.
        cores: The VM's processor in cores, or 0 if it isn't told.
        switches: Parts that are switched off.
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
    switches: Switches = Switches()
