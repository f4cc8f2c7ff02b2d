"""Measures CPU, control traffic and memory of nine idle entry processes."""

from pathlib import Path
import time

from bench.processes import Cluster, open_process_cluster, request_json
from pimentocross.config.load import read_folder

_FOLDER = Path(__file__).parent.parent / "examples" / "quetzal"
_ENTRIES = 9
_SETTLE_SECONDS = 20.0
_DURATION = 40.0
CORE_BOUND = 0.016
BYTES_BOUND = 6_000.0
MEMORY_BOUND = 256_000_000


def _control_bytes(cluster: Cluster, name: str) -> int:
    url = f"http://{cluster.entries[name].operator}/counters"
    _, body = request_json("GET", url)
    return int(body["control_bytes"])


def main() -> int:
    """Prints the use of each process; returns 1 if a bound is exceeded."""
    with open_process_cluster(_FOLDER, _ENTRIES) as cluster:
        entry = next(iter(cluster.entries.values()))
        change = {"base": 0, "files": read_folder(_FOLDER), "removed": []}
        time.sleep(3)
        request_json("POST", f"http://{entry.operator}/config", change)
        time.sleep(_SETTLE_SECONDS)
        names = list(cluster.entries)
        cells = _cells(entry.operator)
        used_before = {name: cluster.processes.used(name) for name in names}
        bytes_before = {name: _control_bytes(cluster, name) for name in names}
        began = time.monotonic()
        time.sleep(_DURATION)
        took = time.monotonic() - began
        worst = [0.0, 0.0, 0.0]
        print("entry    cells  core %  bytes/s  memory MB")
        for name in names:
            now = cluster.processes.used(name)
            core = (now.cpu_seconds - used_before[name].cpu_seconds) / took
            rate = (_control_bytes(cluster, name) - bytes_before[name]) / took
            print(
                f"{name}  {len(cells.get(name, [])):5}  {core * 100:6.2f}"
                f"  {rate:7.0f}  {now.memory / 1e6:9.0f}"
            )
            figures = [core, rate, float(now.memory)]
            worst = [max(a, b) for a, b in zip(worst, figures, strict=True)]
    print(
        f"worst: {worst[0] * 100:.2f} % of a core (bound"
        f" {CORE_BOUND * 100:g}), {worst[1]:.0f} bytes/s (bound"
        f" {BYTES_BOUND:g}), {worst[2] / 1e6:.0f} MB (bound 256)"
    )
    bounds = [CORE_BOUND, BYTES_BOUND, float(MEMORY_BOUND)]
    missed = any(a > b for a, b in zip(worst, bounds, strict=True))
    return 1 if missed else 0


def _cells(operator: str) -> dict[str, list[str]]:
    _, rows = request_json("GET", f"http://{operator}/status")
    return {r["name"]: [c["cell"] for c in r["cells"]] for r in rows}
