"""Injects faults into a cluster of real processes and checks its invariants.

7 entry processes in 3 availability zones and 24 workers serve steady calls and
jobs. Meanwhile 2 entry processes are killed, 1 is paused for longer than its
leases, the log is unavailable for 30 s and then loses replies, and 3 workers
are killed. Exits with 0 only if all invariants hold.
"""

from collections import Counter
from pathlib import Path
import random
import sys
import time
from typing import NamedTuple

import trio

from bench.processes import Cluster, open_process_cluster, request_json
from pimentocross.config.load import read_folder
from pimentocross.standins.caller import CallerStandin, CallKind
from pimentocross.standins.checks import (
    find_concurrent_runs,
    find_duplicate_requests,
    find_overcommitted_workers,
    find_wrongly_refused,
    finished_tasks,
    read_runs,
)
from pimentocross.standins.journal import JournalEntry

_FOLDER = Path(__file__).parent.parent / "examples" / "quetzal"
_ENTRIES = 7
_TRAFFIC_SECONDS = 110.0
_CALLS_PER_SECOND = 30.0
_JOBS_PER_SECOND = 1.5
_POST_SHARE = 0.2
_RETRY_SHARE = 0.5
_CALL_TIMEOUT = 5.0
_SETTLE_TIMEOUT = 120.0
_SERVICE = "juguetes-stock"


class Fault(NamedTuple):
    """A fault to inject or a repair.

    Attributes:
        at: Seconds since the start of the traffic.
        action: Kind of fault or repair; see `_FaultInjector`.
        subject: Name of a worker, or of the cell whose owner is affected.
    """

    at: float
    action: str
    subject: str = ""


# The owner of a cell is looked up when its fault is due.
PLAN = [
    Fault(10.0, "kill owner", "zona-norte"),
    Fault(15.0, "kill worker", "zona-norte-w0"),
    Fault(20.0, "pause owner", "zona-sur"),
    Fault(25.0, "replace killed"),
    Fault(32.0, "log away"),
    Fault(40.0, "kill worker", "zona-sur-w1"),
    Fault(45.0, "kill owner", "zona-oeste"),
    Fault(62.0, "log loses replies"),
    Fault(65.0, "kill worker", "zona-oeste-w2"),
    Fault(70.0, "resume paused"),
    Fault(80.0, "log well"),
    Fault(85.0, "replace killed"),
]


class Traffic:
    """Callers behind a load balancer that checks the health of entry VMs."""

    def __init__(self, cluster: Cluster) -> None:
        """Initializes with all entry VMs regarded as healthy."""
        self.caller = CallerStandin()
        self.refused: list[str] = []
        self.jobs: list[str] = []
        self.retries: Counter[str] = Counter()
        self._cluster = cluster
        self._random = random.Random(7)
        self._healthy = list(cluster.entries)

    def pick(self) -> str:
        """Returns the caller address of a random healthy entry VM."""
        name = self._random.choice(self._healthy or list(self._cluster.entries))
        return self._cluster.entries[name].caller

    async def check_health(self) -> None:
        """Checks the entry VMs regularly, as the platform's balancer does."""
        while True:
            healthy = []
            for name, entry in self._cluster.entries.items():
                if await trio.to_thread.run_sync(_is_healthy, entry.caller):
                    healthy.append(name)
            self._healthy = healthy
            await trio.sleep(0.5)

    async def send(self, nursery: trio.Nursery) -> None:
        """Sends calls and jobs at steady rates until cancelled."""
        nursery.start_soon(self._send_jobs, nursery)
        number = 0
        while True:
            number += 1
            nursery.start_soon(self._call, number)
            await trio.sleep(1 / _CALLS_PER_SECOND)

    async def _send_jobs(self, nursery: trio.Nursery) -> None:
        number = 0
        while True:
            number += 1
            nursery.start_soon(self._submit, number)
            await trio.sleep(1 / _JOBS_PER_SECOND)

    async def _call(self, number: int) -> None:
        post = self._random.random() < _POST_SHARE
        method = "POST" if post else "GET"
        key = f"call-{number}"
        path = f"/shelf/{number}"
        outcomes = [await self._call_once(method, path, key)]
        if post and self._random.random() < _RETRY_SHARE:
            # The caller retries with the same key through any entry VM.
            outcomes.append(await self._call_once(method, path, key))
            self.retries[outcomes[-1]] += 1
        if all(kind == CallKind.NOT_RUN for kind in outcomes):
            self.refused.append(key)

    async def _call_once(self, method: str, path: str, key: str) -> str:
        outcome = await self.caller.call(
            self.pick(), _SERVICE, method, path, key, _CALL_TIMEOUT
        )
        return outcome.kind.value

    async def _submit(self, number: int) -> None:
        seconds = self._random.uniform(2.0, 12.0)
        class_name = self._random.choice(["restock-plan", "shelf-report"])
        job = await self.caller.submit(
            self.pick(), class_name, seconds, f"job-{number}"
        )
        if job is not None:
            self.jobs.append(job)


class _FaultInjector:
    """Injects the faults of a plan."""

    def __init__(self, cluster: Cluster) -> None:
        self.killed_workers: dict[str, float] = {}
        self._cluster = cluster
        self._killed: list[str] = []
        self._paused = ""

    async def run(self, plan: list[Fault]) -> None:
        """Injects each fault of the plan when it is due."""
        began = trio.current_time()
        for fault in plan:
            await trio.sleep_until(began + fault.at)
            done = await self._inject(fault)
            print(f"{fault.at:6.1f} s  {fault.action} {done}", flush=True)

    async def _inject(self, fault: Fault) -> str:
        processes = self._cluster.processes
        match fault.action:
            case "kill owner":
                name = await self._owner(fault.subject)
                processes.kill(name)
                self._killed.append(name)
                return name
            case "pause owner":
                self._paused = await self._owner(fault.subject)
                processes.pause(self._paused)
                return self._paused
            case "resume paused":
                processes.resume(self._paused)
                return self._paused
            case "kill worker":
                self.killed_workers[fault.subject] = processes.kill(
                    fault.subject
                )
                return fault.subject
            case "replace killed":
                for name in self._killed:
                    await trio.to_thread.run_sync(
                        self._cluster.start_entry, name
                    )
                done, self._killed = ", ".join(self._killed), []
                return done
            case "log away":
                await self._set_log({"away": True})
            case "log loses replies":
                await self._set_log({"lose_replies": 0.2, "delay": 0.05})
            case "log well":
                await self._set_log({})
        return ""

    async def _owner(self, cell: str) -> str:
        """Returns the live, not paused entry VM that owns a cell."""
        for entry in self._cluster.entries.values():
            if entry.name in (*self._killed, self._paused):
                continue
            url = f"http://{entry.operator}/status"
            _, rows = await trio.to_thread.run_sync(request_json, "GET", url)
            for row in rows or []:
                if any(c["cell"] == cell for c in row["cells"]):
                    return str(row["name"])
            alive = [row["name"] for row in rows or []]
            if alive:
                return str(alive[-1])
        raise LookupError(cell)

    async def _set_log(self, plan: dict[str, object]) -> None:
        url = f"http://{self._cluster.log}/faults"
        await trio.to_thread.run_sync(request_json, "POST", url, plan)


def _is_healthy(address: str) -> bool:
    import httpcore

    timeouts = dict.fromkeys(["connect", "read", "write", "pool"], 0.5)
    try:
        reply = httpcore.request(
            "GET",
            f"http://{address}/-/health",
            extensions={"timeout": timeouts},
        )
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ):
        return False
    return reply.status == 200


async def _wait_jobs(traffic: Traffic) -> dict[str, str]:
    """Waits for all jobs; returns the states of those not finished in time."""
    unfinished = dict.fromkeys(traffic.jobs, "")
    with trio.move_on_after(_SETTLE_TIMEOUT):
        while unfinished:
            for job in list(unfinished):
                state = await traffic.caller.job_state(traffic.pick(), job)
                unfinished[job] = state
                if state == "finished":
                    del unfinished[job]
            await trio.sleep(0.5)
    return unfinished


def _find_violations(
    cluster: Cluster,
    traffic: Traffic,
    killed: dict[str, float],
    unfinished: dict[str, str],
) -> list[str]:
    journal = cluster.journal()
    process_ends = _processes_of(journal, killed)
    runs = read_runs(journal, process_ends)
    violations = find_concurrent_runs(runs)
    violations += find_overcommitted_workers(
        journal, cluster.config.workers.resources
    )
    violations += find_duplicate_requests(journal)
    violations += find_wrongly_refused(journal, traffic.refused)
    violations += [
        f"job {job} is {state!r}" for job, state in unfinished.items()
    ]
    if traffic.caller.outcomes[(CallKind.MIXED_UP.value, "")]:
        violations.append("a reply was sent to another caller")
    finished = finished_tasks(r for r in runs if r.process not in process_ends)
    violations += [
        f"{t} finished {n} times" for t, n in finished.items() if n > 1
    ]
    finished_anywhere = finished_tasks(runs)
    for job in traffic.jobs:
        if not finished_anywhere[f"{job}/0"]:
            violations.append(f"{job} is reported as finished but never did")
    return violations


def _processes_of(
    journal: list[JournalEntry], killed: dict[str, float]
) -> dict[str, float]:
    found = {}
    for entry in journal:
        if entry.machine in killed:
            found[entry.process] = killed[entry.machine]
    return found


async def _rehearse(cluster: Cluster) -> int:
    traffic = Traffic(cluster)
    fault_injector = _FaultInjector(cluster)
    async with trio.open_nursery() as health:
        health.start_soon(traffic.check_health)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault_injector.run, PLAN)
            with trio.move_on_after(_TRAFFIC_SECONDS):
                await traffic.send(nursery)
            nursery.cancel_scope.deadline = trio.current_time() + 30.0
        unfinished = await _wait_jobs(traffic)
        health.cancel_scope.cancel()
    violations = _find_violations(
        cluster, traffic, fault_injector.killed_workers, unfinished
    )
    _print_report(cluster, traffic, fault_injector, violations)
    return 1 if violations else 0


def _print_report(
    cluster: Cluster,
    traffic: Traffic,
    fault_injector: _FaultInjector,
    violations: list[str],
) -> None:
    print("\ncalls and submissions by how they ended:")
    for (kind, reason), n in sorted(traffic.caller.outcomes.items()):
        print(f"  {n:6} {kind} {reason}".rstrip())
    print(f"retried calls by how the retry ended: {dict(traffic.retries)}")
    latencies = sorted(traffic.caller.latencies)
    for share in (0.5, 0.9, 0.99, 0.999):
        at = latencies[min(int(share * len(latencies)), len(latencies) - 1)]
        print(f"  p{share * 100:g} of answered calls: {at * 1000:.1f} ms")
    journal = cluster.journal()
    process_ends = _processes_of(journal, fault_injector.killed_workers)
    runs = [r for r in read_runs(journal, process_ends) if r.kind == "batch"]
    print(f"jobs accepted {len(traffic.jobs)}, task attempts {len(runs)}")
    states = Counter(run.state for run in runs)
    print(f"task attempts by how they ended: {dict(states)}")
    first = min((run.started for run in runs), default=0.0)
    for run in runs:
        if run.state in ("stopped", "lapsed"):
            print(
                f"  {run.state}: {run.task} attempt {run.attempt} on"
                f" {run.machine}, {run.started - first:.1f} to"
                f" {run.ended - first:.1f} s"
            )
    for line in violations:
        print(f"BROKEN: {line}")
    print(
        "every invariant held"
        if not violations
        else f"{len(violations)} broken"
    )


def main() -> int:
    """Runs the rehearsal; returns 1 if an invariant was violated."""
    began = time.monotonic()
    with open_process_cluster(_FOLDER, _ENTRIES) as cluster:
        entry = next(iter(cluster.entries.values()))
        change = {"base": 0, "files": read_folder(_FOLDER), "removed": []}
        status, body = request_json(
            "POST", f"http://{entry.operator}/config", change
        )
        print(f"configuration: {status} {body}", flush=True)
        time.sleep(8.0)
        code = trio.run(_rehearse, cluster)
    print(f"took {time.monotonic() - began:.0f} s")
    return code


if __name__ == "__main__":
    sys.exit(main())
