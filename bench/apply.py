"""How long a change of configuration takes to be in force on 9 entry VMs.

200 changes by two operators who race, with a quick log and with a slow one.
After each accepted change every entry VM is asked for its version, which
must never go back.
"""

from pathlib import Path
import sys
import threading
import time
from typing import NamedTuple

from bench.processes import Cluster, ask, open_process_cluster
from pimentocross.config.load import read_folder

_FOLDER = Path(__file__).parent.parent / "examples" / "quetzal"
_ENTRIES = 9
_CHANGES = 200
_SLOW_CHANGES = 20
_SLOW_DELAY = 1.0
BOUND = 1.0
SLOW_BOUND = 8.0


class Outcome(NamedTuple):
    """What came of the changes.

    Attributes:
        seconds: Until each accepted one was in force everywhere.
        conflicts: Changes that lost a race.
        late: Entry VMs that were late, over all changes.
    """

    seconds: list[float]
    conflicts: int
    late: int


class _Watcher(threading.Thread):
    """Asks an entry VM for its version all the time."""

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        self.reverted = 0
        self.ended = False
        self._url = f"http://{address}/config"

    def run(self) -> None:
        """Counts versions that are below an earlier one."""
        newest = 0
        while not self.ended:
            _, body = ask("GET", self._url)
            version = body["version"]
            self.reverted += version < newest
            newest = max(newest, version)
            time.sleep(0.05)


def _change(cluster: Cluster, number: int, results: list[Outcome]) -> None:
    """Applies one operator's share of the changes."""
    entries = list(cluster.entries.values())
    operator = f"http://{entries[number % len(entries)].operator}/config"
    seconds: list[float] = []
    conflicts = late = 0
    while sum(len(r.seconds) for r in results) + len(seconds) < _CHANGES // 2:
        _, current = ask("GET", operator)
        text = f"# change {number} {len(seconds)} {time.monotonic()}\n"
        name = f"80-operator-{number}.yaml"
        change = {
            "base": current["version"],
            "files": {name: text},
            "removed": [],
        }
        status, body = ask("POST", operator, change)
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


def _slowly(cluster: Cluster) -> list[float]:
    """Applies changes while each answer of the log takes a second."""
    ask("POST", f"http://{cluster.log}/faults", {"delay": _SLOW_DELAY})
    operator = next(iter(cluster.entries.values())).operator
    url = f"http://{operator}/config"
    seconds = []
    for number in range(_SLOW_CHANGES):
        _, current = ask("GET", url)
        change = {
            "base": current["version"],
            "files": {"81-slow.yaml": f"# {number}\n"},
            "removed": [],
        }
        status, body = ask("POST", url, change)
        if status == 200:
            seconds.append(body["seconds"])
    return sorted(seconds)


def main() -> int:
    """Prints the figures; returns 1 if a bound is missed."""
    with open_process_cluster(_FOLDER, _ENTRIES) as cluster:
        entry = next(iter(cluster.entries.values()))
        change = {"base": 0, "files": read_folder(_FOLDER), "removed": []}
        time.sleep(5)
        ask("POST", f"http://{entry.operator}/config", change)
        time.sleep(5)
        watchers = [_Watcher(e.operator) for e in cluster.entries.values()]
        for watcher in watchers:
            watcher.start()
        raced = _race(cluster)
        slow = _slowly(cluster)
        for watcher in watchers:
            watcher.ended = True
        for watcher in watchers:
            watcher.join()
    reverted = sum(w.reverted for w in watchers)
    p99 = raced.seconds[int(len(raced.seconds) * 0.99)]
    print(
        f"{len(raced.seconds)} changes in force on {_ENTRIES} entry VMs:"
        f" p50 {raced.seconds[len(raced.seconds) // 2] * 1000:.1f} ms,"
        f" p99 {p99 * 1000:.1f} ms, most {raced.seconds[-1] * 1000:.1f} ms"
        f" (bound {BOUND:g} s at p99)"
    )
    print(
        f"conflicts {raced.conflicts}, late {raced.late}, went back {reverted}"
    )
    print(
        f"with a log that takes {_SLOW_DELAY:g} s an answer:"
        f" {len(slow)} changes, most {slow[-1]:.2f} s (bound {SLOW_BOUND:g} s)"
    )
    held = (
        len(raced.seconds) >= _CHANGES
        and p99 <= BOUND
        and len(slow) == _SLOW_CHANGES
        and slow[-1] <= SLOW_BOUND
        and not reverted
        and not raced.late
    )
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
