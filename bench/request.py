"""Compares the cost of requests through an entry VM with direct requests.

The cost is the processor time of all processes involved, including the sender.
Rounds of direct requests and of requests through the entry VM alternate, so
that the speed of the computer cancels out of the ratio.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
import tempfile
import time
from typing import NamedTuple

import httpcore

from bench.processes import Cluster, open_process_cluster, request_json
from pimentocross.config.load import read_folder
from pimentocross.links.headers import SERVICE

BOUND = 2.6
_ROUNDS = 12
_REQUESTS = 400
_CONFIG = """\
cluster: bench
zones:
  here: {region: r, workers: 1}
workers: {processors: 8, memory: 8GB, slots: 8, connections: 64, per_rack: 8}
tenants:
  team: {}
objective: {tail_latency: 1, batch_throughput: 0, evictions: 0}
services:
  echo:
    tenant: team
    replicas: 1
    size: {processors: 1, memory: 1GB}
    concurrency: 8
"""


class Costs(NamedTuple):
    """Milliseconds of processor time per request by path, and the ratio."""

    direct: float
    via_entry: float
    ratio: float


@contextmanager
def open_small_cluster() -> Iterator[Cluster]:
    """Runs an entry process and a worker whose service replies at once."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "10.yaml").write_text(_CONFIG)
        with open_process_cluster(folder, 1, service_time=0.0) as cluster:
            entry = cluster.entries["entry-0"]
            change = {"base": 0, "files": read_folder(folder), "removed": []}
            request_json("POST", f"http://{entry.operator}/config", change)
            _wait_service(entry.caller)
            yield cluster


def _wait_service(caller: str) -> None:
    deadline = time.monotonic() + 30
    while request_json("GET", f"http://{caller}/services/echo/")[0] != 200:
        if time.monotonic() > deadline:
            raise TimeoutError("the service does not reply")
        time.sleep(0.1)


def measure() -> Costs:
    """Measures the costs of both paths."""
    with open_small_cluster() as cluster:
        caller = cluster.entries["entry-0"].caller
        entry_url = f"http://{caller}/services/echo/shelf"
        _, body = request_json("GET", f"http://{caller}/services/echo/")
        target = _target_address(cluster)
        direct_url = f"http://{target}/shelf"
        direct = via_entry = 0.0
        with httpcore.ConnectionPool() as pool:
            for _ in range(_ROUNDS):
                direct += _cost(cluster, pool, direct_url)
                via_entry += _cost(cluster, pool, entry_url)
        requests = _ROUNDS * _REQUESTS / 1000
        assert body["service"] == "echo"
        return Costs(
            direct / requests, via_entry / requests, via_entry / direct
        )


def _target_address(cluster: Cluster) -> str:
    output = cluster.processes.folder / f"{cluster.workers[0]}.out"
    first = output.read_text().splitlines()[0]
    return first.rpartition(" ")[2]


def _cost(cluster: Cluster, pool: httpcore.ConnectionPool, url: str) -> float:
    """Returns the processor seconds of a round of requests."""
    headers = [(SERVICE, b"echo")]
    before = _cpu_seconds(cluster)
    for _ in range(_REQUESTS):
        reply = pool.request("GET", url, headers=headers)
        assert reply.status == 200
    return _cpu_seconds(cluster) - before


def _cpu_seconds(cluster: Cluster) -> float:
    others = sum(
        cluster.processes.used(name).cpu_seconds
        for name in ("entry-0", cluster.workers[0])
    )
    return others + time.process_time()


def main() -> int:
    """Prints the costs; returns 1 if the bound is exceeded."""
    costs = measure()
    print(f"direct to the target: {costs.direct:.3f} ms of CPU a request")
    print(f"through an entry VM:  {costs.via_entry:.3f} ms of CPU a request")
    print(f"ratio {costs.ratio:.2f}, bound {BOUND}")
    return 0 if costs.ratio <= BOUND else 1
