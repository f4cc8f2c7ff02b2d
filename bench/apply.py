"""Measures how long 9 entry VMs take to apply a configuration change.

Two operators submit changes concurrently until 200 are accepted, while the log
is fast. Then one submits 20 changes while each reply of the log takes a second.
Meanwhile every entry VM is polled for its version, which must never decrease.
"""

from pathlib import Path
import sys
import threading
import time
from typing import NamedTuple

from bench.processes import Cluster, open_process_cluster, request_json
from pimentocross.config.load import read_folder

_FOLDER = Path(__file__).parent.parent / "examples" / "quetzal"
_ENTRIES = 9
_CHANGES = 200
_SLOW_CHANGES = 20
_SLOW_LOG_DELAY = 1.0
BOUND = 1.0
SLOW_BOUND = 8.0


class Outcome(NamedTuple):
    """Results of an operator's changes.

    Attributes:
        seconds: Time until all entry VMs had applied each accepted change.
        conflicts: Changes rejected because of a concurrent change.
        late: Entry VMs reported as late, summed over all changes.
    """

    seconds: list[float]
    conflicts: int
    late: int


class _Watcher(threading.Thread):
    """Polls the configuration version of an entry VM."""

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        self.reverted = 0
        self.stopped = False
        self._url = f"http://{address}/config"

    def run(self) -> None:
        """Counts versions that are lower than an earlier one."""
        newest = 0
        while not self.stopped:
            _, body = request_json("GET", self._url)
            version = body["version"]
            self.reverted += version < newest
            newest = max(newest, version)
            time.sleep(0.05)


def _change(cluster: Cluster, number: int, results: list[Outcome]) -> None:
    """Applies half of the changes, as one of the two operators."""
    entries = list(cluster.entries.values())
    operator = f"http://{entries[number % len(entries)].operator}/config"
    seconds: list[float] = []
    conflicts = late = 0
    while sum(len(r.seconds) for r in results) + len(seconds) < _CHANGES // 2:
        _, current = request_json("GET", operator)
        text = f"# change {number} {len(seconds)} {time.monotonic()}\n"
        name = f"80-operator-{number}.yaml"
        change = {
            "base": current["version"],
            "files": {name: text},
            "removed": [],
        }
        status, body = request_json("POST", operator, change)
        if status == 200:
            seconds.append(body["seconds"])
            late += len(body["late"])
        else:
            conflicts += status == 409
    results.append(Outcome(seconds, conflicts, late))


def _race(cluster: Cluster) -> Outcome:
    outcomes: list[list[Outcome]] = [[], []]
    threads = [
        threading.Thread(target=_change, args=(cluster, i, outcomes[i]))
        for i in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    flat = [o for group in outcomes for o in group]
    return Outcome(
        sorted(s for o in flat for s in o.seconds),
        sum(o.conflicts for o in flat),
        sum(o.late for o in flat),
    )


def _change_with_slow_log(cluster: Cluster) -> list[float]:
    """Applies changes while each reply of the log is delayed by a second."""
    request_json(
        "POST", f"http://{cluster.log}/faults", {"delay": _SLOW_LOG_DELAY}
    )
    operator = next(iter(cluster.entries.values())).operator
    url = f"http://{operator}/config"
    seconds = []
    for number in range(_SLOW_CHANGES):
        _, current = request_json("GET", url)
        change = {
            "base": current["version"],
            "files": {"81-slow.yaml": f"# {number}\n"},
            "removed": [],
        }
        status, body = request_json("POST", url, change)
        if status == 200:
            seconds.append(body["seconds"])
    return sorted(seconds)


def main() -> int:
    """Prints the results; returns 1 if a bound is exceeded."""
    with open_process_cluster(_FOLDER, _ENTRIES) as cluster:
        entry = next(iter(cluster.entries.values()))
        change = {"base": 0, "files": read_folder(_FOLDER), "removed": []}
        time.sleep(5)
        request_json("POST", f"http://{entry.operator}/config", change)
        time.sleep(5)
        watchers = [_Watcher(e.operator) for e in cluster.entries.values()]
        for watcher in watchers:
            watcher.start()
        raced = _race(cluster)
        slow = _change_with_slow_log(cluster)
        for watcher in watchers:
            watcher.stopped = True
        for watcher in watchers:
            watcher.join()
    reverted = sum(w.reverted for w in watchers)
    p99 = raced.seconds[int(len(raced.seconds) * 0.99)]
    print(
        f"{len(raced.seconds)} changes applied on {_ENTRIES} entry VMs:"
        f" p50 {raced.seconds[len(raced.seconds) // 2] * 1000:.1f} ms,"
        f" p99 {p99 * 1000:.1f} ms, max {raced.seconds[-1] * 1000:.1f} ms"
        f" (bound {BOUND:g} s at p99)"
    )
    print(
        f"conflicts {raced.conflicts}, late {raced.late}, reverted {reverted}"
    )
    print(
        f"with a log that takes {_SLOW_LOG_DELAY:g} s per reply:"
        f" {len(slow)} changes, max {slow[-1]:.2f} s (bound {SLOW_BOUND:g} s)"
    )
    met = (
        len(raced.seconds) >= _CHANGES
        and p99 <= BOUND
        and len(slow) == _SLOW_CHANGES
        and slow[-1] <= SLOW_BOUND
        and not reverted
        and not raced.late
    )
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
