"""What a request through an entry VM costs beside one sent straight.

Processor time of all processes involved, client included, for the same
requests; both ways in turn in one run, so that the machine's speed drops out.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
import tempfile
import time
from typing import NamedTuple

import httpcore

from bench.processes import Cluster, ask, open_process_cluster
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
    """Processor time a request, in milliseconds, and their ratio."""

    straight: float
    through: float
    ratio: float


@contextmanager
def open_small_cluster() -> Iterator[Cluster]:
    """Runs one entry process and one worker whose service answers at once."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "10.yaml").write_text(_CONFIG)
        with open_process_cluster(folder, 1, service_time=0.0) as cluster:
            entry = cluster.entries["entry-0"]
            change = {"base": 0, "files": read_folder(folder), "removed": []}
            ask("POST", f"http://{entry.operator}/config", change)
            _wait_service(entry.caller)
            yield cluster


def _wait_service(caller: str) -> None:
    deadline = time.monotonic() + 30
    while ask("GET", f"http://{caller}/services/echo/")[0] != 200:
        if time.monotonic() > deadline:
            raise TimeoutError("the service does not answer")
        time.sleep(0.1)


def measure() -> Costs:
    """Returns the costs of both ways."""
    with open_small_cluster() as cluster:
        caller = cluster.entries["entry-0"].caller
        through_url = f"http://{caller}/services/echo/shelf"
        _, body = ask("GET", f"http://{caller}/services/echo/")
        target = _target_address(cluster)
        straight_url = f"http://{target}/shelf"
        straight = through = 0.0
        with httpcore.ConnectionPool() as pool:
            for _ in range(_ROUNDS):
                straight += _cost(cluster, pool, straight_url)
                through += _cost(cluster, pool, through_url)
        requests = _ROUNDS * _REQUESTS / 1000
        assert body["service"] == "echo"
        return Costs(
            straight / requests, through / requests, through / straight
        )


def _target_address(cluster: Cluster) -> str:
    output = cluster.processes.folder / f"{cluster.workers[0]}.out"
    first = output.read_text().splitlines()[0]
    return first.rpartition(" ")[2]


def _cost(cluster: Cluster, pool: httpcore.ConnectionPool, url: str) -> float:
    """Returns the processor seconds that a round of requests takes."""
    headers = [(SERVICE, b"echo")]
    before = _used(cluster)
    for _ in range(_REQUESTS):
        reply = pool.request("GET", url, headers=headers)
        assert reply.status == 200
    return _used(cluster) - before


def _used(cluster: Cluster) -> float:
    others = sum(
        cluster.processes.used(name).cpu_seconds
        for name in ("entry-0", cluster.workers[0])
    )
    return others + time.process_time()


def main() -> int:
    """Prints the costs; returns 1 if the bound is missed."""
    costs = measure()
    print(f"straight to the target: {costs.straight:.3f} ms of CPU a request")
    print(f"through an entry VM:    {costs.through:.3f} ms of CPU a request")
    print(f"ratio {costs.ratio:.2f}, bound {BOUND}")
    return 0 if costs.ratio <= BOUND else 1
