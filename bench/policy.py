"""Compares placement policies on simulated workers.

Measures tail latency, throughput, evictions and lost work for two deployments,
five scenarios and several seeds. The policies are first fit, least loaded, the
weighted policy ("ours"), and the weighted policy with the true interference
("told the matrix").
"""

from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
import random
import statistics
from typing import NamedTuple

from bench.fakes import (
    FakeClass,
    FakeTask,
    FakeUsage,
    FakeWorker,
    Matrix,
)
from pimentocross.backing.workers import Resources, TaskKind
from pimentocross.config.load import load_configuration, read_folder
from pimentocross.config.schema import Configuration
from pimentocross.placement.const import MOVE_INTERVAL_SECONDS
from pimentocross.placement.interference import Estimate, Interference
from pimentocross.placement.policy import (
    Choice,
    LeastLoaded,
    PlacementPolicy,
    PlacementRequest,
)
from pimentocross.placement.quarantine import Quarantine
from pimentocross.placement.rebalance import PlacedReplica, choose_move
from pimentocross.placement.weighted import WeightedPolicy, make_weighted_policy

_ROOT = Path(__file__).parent.parent
DURATION = 900
_WARM_UP = 240
_REQUESTS_A_SECOND = 24
_BASE_MS = 5.0
_LATENCY_SMOOTHING = 0.05
# Latency counted for a request if no replica runs.
_NO_REPLICA_MS = 800.0
SCENARIOS = ("quiet", "noisy wave", "load shift", "bad worker", "rack loss")
POLICIES = ("first fit", "least loaded", "ours", "told the matrix")


class FirstFit:
    """Chooses the first worker by name that has enough free resources."""

    def choose(
        self, wanted: PlacementRequest, workers: list[FakeWorker]
    ) -> Choice:
        """Returns the chosen worker; see `PlacementPolicy`."""
        for worker in sorted(workers, key=lambda w: w.name):
            if wanted.size.fits_in(worker.free):
                return Choice(worker.name, "first that fits")
        return Choice("", "no worker fits")


class OracleInterference(Interference):
    """Returns the true interference instead of estimates."""

    def __init__(self, matrix: Callable[[], Matrix]) -> None:
        """Initializes with a function that returns the current matrix."""
        super().__init__()
        self._matrix = matrix

    def estimate(self, victim: str, neighbour: str, band: int) -> Estimate:
        """Returns the true slowdown, without variance."""
        return Estimate(
            self._matrix().added_slowdown(victim, neighbour, band), 0.0, 0.0
        )


class Deployment(NamedTuple):
    """The workers, task classes and load of an example deployment.

    Attributes:
        name: Name of the example.
        config: Configuration of the example.
        classes: Task classes by name, with an added class of noisy tasks.
        load: Share of the processors that batch jobs request.
    """

    name: str
    config: Configuration
    classes: dict[str, FakeClass]
    load: float


class Figures(NamedTuple):
    """Results of a simulation.

    Attributes:
        p50: Median latency of requests, in milliseconds.
        p99: 99th percentile of the latency, in milliseconds.
        p999: 99.9th percentile of the latency, in milliseconds.
        finished: Processor-seconds of batch work finished per second.
        evictions: Number of tasks evicted.
        lost: Seconds of work lost by evictions.
    """

    p50: float
    p99: float
    p999: float
    finished: float
    evictions: float
    lost: float


def read_deployment(name: str) -> Deployment:
    """Reads an example deployment and adds a class of noisy tasks."""
    config = load_configuration(read_folder(_ROOT / "examples" / name)).ok
    classes = {
        n: FakeClass(n, TaskKind.SERVICE, s.size.resources)
        for n, s in config.services.items()
    }
    for n, batch in config.batch.items():
        size = batch.size.resources
        classes[n] = FakeClass(n, TaskKind.BATCH, size, batch.run_time)
    size = Resources(config.workers.processors / 8, 4 * 10**9, 0, 1)
    classes["noisy"] = FakeClass("noisy", TaskKind.BATCH, size, 25.0)
    return Deployment(name, config, classes, 0.35)


def draw_matrix(deployment: Deployment, seed: int) -> Matrix:
    """Draws a random matrix: most pairs interfere little, some strongly."""
    rng = random.Random(f"{deployment.name} {seed}")
    values: dict[str, dict[str, list[float]]] = {}
    for victim in deployment.classes:
        values[victim] = {}
        for neighbour in deployment.classes:
            low = rng.uniform(0.0, 0.05)
            if neighbour == "noisy":
                low = rng.uniform(0.6, 1.5)
            elif rng.random() < 0.4:
                low = rng.uniform(0.4, 1.2)
            if deployment.classes[neighbour].kind is TaskKind.SERVICE:
                low *= 0.3
            values[victim][neighbour] = [low, low * 1.3, low * 1.8]
    return Matrix(values)


class Run:
    """A simulation of a deployment with a scenario, policy and seed."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: str,
        policy: str,
        seed: int,
        matrix: Matrix | None,
        duration: int,
    ) -> None:
        """Initializes the simulation; draws a matrix if none is given.

        Args:
            deployment: Simulated deployment.
            scenario: One of `SCENARIOS`.
            policy: One of `POLICIES`.
            seed: Seed of all random numbers.
            matrix: True interference, or None for a random one.
            duration: Simulated seconds.
        """
        self._deployment = deployment
        self._scenario = scenario
        self._rng = random.Random(f"{scenario} {seed}")
        self._request_rng = random.Random(f"requests {seed}")
        self._matrix = matrix or draw_matrix(deployment, seed)
        self._later_matrix = matrix or draw_matrix(deployment, seed + 1_000)
        self._duration = duration
        self._uses_weighted = policy in ("ours", "told the matrix")
        self._interference = Interference()
        if policy == "told the matrix":
            self._interference = OracleInterference(lambda: self._matrix)
        self._policy = self._make_policy(policy)
        self._quarantine = Quarantine()
        self._usage = FakeUsage(self._matrix, random.Random(f"usage {seed}"))
        self._workers = self._make_workers()
        self._queue: list[FakeTask] = []
        self._number = 0
        self._replicas: dict[str, list[FakeTask]] = defaultdict(list)
        self._latency: dict[str, float] = {}
        self._latencies: list[float] = []
        self.moves = 0
        self._finished = self._evictions = self._lost = 0.0

    def run(self) -> Figures:
        """Runs the simulation and returns its results."""
        self._start_services()
        for now in range(self._duration):
            self._apply_event(now)
            self._arrive(now)
            self._place(now)
            self._advance_batch(now)
            self._serve_requests(now)
            self._learn(now)
            if now % int(MOVE_INTERVAL_SECONDS) == 0:
                self._rebalance(now)
        ordered = sorted(self._latencies)
        measured = self._duration - self._duration * _WARM_UP / DURATION
        return Figures(
            _percentile(ordered, 0.5),
            _percentile(ordered, 0.99),
            _percentile(ordered, 0.999),
            self._finished / measured,
            self._evictions,
            self._lost,
        )

    def _make_policy(self, name: str) -> PlacementPolicy:
        if name == "first fit":
            return FirstFit()  # type: ignore[return-value]
        if name == "least loaded":
            return LeastLoaded()
        return make_weighted_policy(self._interference, self._deployment.config)

    def _make_workers(self) -> list[FakeWorker]:
        config = self._deployment.config
        total = sum(zone.workers for zone in config.zones.values())
        per_rack = config.workers.per_rack
        return [
            FakeWorker(f"w{n:02}", n // per_rack, config.workers.resources)
            for n in range(total)
        ]

    def _is_measured(self, now: int) -> bool:
        return now >= self._duration * _WARM_UP / DURATION

    def _start_services(self) -> None:
        for name, service in self._deployment.config.services.items():
            for _ in range(service.replicas):
                self._queue.append(self._new_task(name, 0))
        self._place(0)

    def _new_task(self, class_name: str, now: int) -> FakeTask:
        self._number += 1
        task_class = self._deployment.classes[class_name]
        return FakeTask(f"{class_name}-{self._number}", task_class, now)

    def _apply_event(self, now: int) -> None:
        """Applies the events of the scenario that are due now."""
        if now == self._duration // 2:
            if self._scenario == "load shift":
                self._matrix = self._later_matrix
                self._usage._matrix = self._later_matrix
            elif self._scenario == "rack loss":
                for worker in self._workers:
                    if worker.rack == 0:
                        self._kill(worker, now)
        if now == self._duration * 3 // 4 and self._scenario == "rack loss":
            for worker in self._workers:
                worker.alive = True
        if now == 1 and self._scenario == "bad worker":
            self._workers[len(self._workers) // 2].fails_all = True

    def _kill(self, worker: FakeWorker, now: int) -> None:
        worker.alive = False
        for task in list(worker.tasks.values()):
            worker.remove(task)
            self._evict(task, now)

    def _evict(self, task: FakeTask, now: int) -> None:
        if self._is_measured(now):
            self._evictions += 1
            self._lost += task.task_class.seconds - task.seconds_left
        task.seconds_left = task.task_class.seconds
        if task.task_class.kind is TaskKind.SERVICE:
            self._queue.insert(0, task)
        else:
            self._queue.append(task)

    def _arrive(self, now: int) -> None:
        processors = self._deployment.config.workers.processors
        capacity = processors * len(self._workers) * self._deployment.load
        batch = [
            c
            for c in self._deployment.classes.values()
            if c.kind is TaskKind.BATCH and c.name != "noisy"
        ]
        if self._scenario == "load shift" and now >= self._duration // 2:
            capacity *= 1.3
        for task_class in batch:
            share = (
                capacity
                / len(batch)
                / (task_class.size.processors * task_class.seconds)
            )
            for _ in range(_poisson(self._rng, share)):
                self._queue.append(self._new_task(task_class.name, now))
        wave = now % (self._duration // 3) < self._duration // 9
        if self._scenario == "noisy wave" and wave:
            for _ in range(_poisson(self._rng, len(self._workers) / 60)):
                self._queue.append(self._new_task("noisy", now))

    def _place(self, now: int) -> None:
        waiting: list[FakeTask] = []
        blocked: set[str] = set()
        for task in self._queue:
            if task.task_class.name in blocked or not self._place_one(
                task, now
            ):
                blocked.add(task.task_class.name)
                waiting.append(task)
        self._queue = waiting

    def _place_one(self, task: FakeTask, now: int) -> bool:
        usable = [w for w in self._workers if w.alive]
        if task.task_class.kind is TaskKind.BATCH and self._uses_weighted:
            usable = [w for w in usable if self._quarantine.admits(w.name, now)]
            not_avoided = [w for w in usable if w.name not in task.avoid]
            usable = not_avoided or usable
        task_class = task.task_class
        wanted = PlacementRequest(
            task.name, task_class.kind, task_class.name, task_class.size
        )
        choice = self._policy.choose(wanted, usable)
        if not choice.worker:
            return False
        worker = next(w for w in usable if w.name == choice.worker)
        worker.add(task)
        self._quarantine.note_started(worker.name, task.name, now)
        if task_class.kind is TaskKind.SERVICE:
            self._replicas[task_class.name].append(task)
        return True

    def _advance_batch(self, now: int) -> None:
        for worker in self._workers:
            for task in list(worker.tasks.values()):
                if task.task_class.kind is not TaskKind.BATCH:
                    continue
                if worker.fails_all:
                    self._fail(task, worker, now)
                    continue
                slow = self._matrix.slowdown(
                    task.task_class.name, worker.classes, worker.band
                )
                task.seconds_left -= 1 / (1 + slow)
                if task.seconds_left <= 0:
                    worker.remove(task)
                    self._quarantine.note_finished(worker.name)
                    if self._is_measured(now):
                        work = (
                            task.task_class.seconds
                            * task.task_class.size.processors
                        )
                        self._finished += work

    def _fail(self, task: FakeTask, worker: FakeWorker, now: int) -> None:
        worker.remove(task)
        task.avoid.add(worker.name)
        self._quarantine.note_failed(worker.name, task.name, now)
        task.seconds_left = task.task_class.seconds
        self._queue.insert(0, task)

    def _serve_requests(self, now: int) -> None:
        for name, replicas in self._replicas.items():
            running = [t for t in replicas if t.worker is not None]
            self._replicas[name] = running
            slow = {
                t.name: self._matrix.slowdown(
                    name, t.worker.classes, t.worker.band
                )
                for t in running
                if t.worker is not None
            }
            for _ in range(_REQUESTS_A_SECOND):
                self._send_request(running, slow, now)

    def _send_request(
        self, running: list[FakeTask], slow: dict[str, float], now: int
    ) -> None:
        rng = self._request_rng
        if not running:
            if self._is_measured(now):
                self._latencies.append(_NO_REPLICA_MS)
            return
        first, second = (rng.choice(running), rng.choice(running))
        smoothed = self._latency
        task = min(first, second, key=lambda t: smoothed.get(t.name, _BASE_MS))
        latency = _BASE_MS * (1 + slow[task.name]) * rng.lognormvariate(0, 0.25)
        before = smoothed.get(task.name, _BASE_MS)
        smoothed[task.name] = before + _LATENCY_SMOOTHING * (latency - before)
        if self._is_measured(now):
            self._latencies.append(latency)

    def _rebalance(self, now: int) -> None:
        """Moves at most one replica, as the owner of a cell does."""
        if not isinstance(self._policy, WeightedPolicy):
            return
        usable = [w for w in self._workers if w.alive]
        tasks = {
            t.name: t
            for replicas in self._replicas.values()
            for t in replicas
            if t.worker is not None
        }
        placed = [
            PlacedReplica(
                PlacementRequest(
                    t.name,
                    t.task_class.kind,
                    t.task_class.name,
                    t.task_class.size,
                ),
                t.worker.name,
            )
            for t in tasks.values()
            if t.worker is not None
        ]
        move = choose_move(placed, usable, self._policy)
        if move is None:
            return
        task = tasks[move.task]
        assert task.worker is not None
        task.worker.remove(task)
        next(w for w in usable if w.name == move.to).add(task)
        self._latency.pop(task.name, None)
        self.moves += self._is_measured(now)

    def _learn(self, now: int) -> None:
        self._usage.measure(now, [w for w in self._workers if w.alive])
        for report in self._usage.pop_known(now):
            self._interference.learn(
                report.victim, report.others, report.band, report.slowdown, now
            )


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _poisson(rng: random.Random, mean: float) -> int:
    """Draws a Poisson-distributed number of arrivals."""
    total, elapsed = 0, rng.expovariate(1.0)
    while elapsed < mean:
        total += 1
        elapsed += rng.expovariate(1.0)
    return total


Table = dict[tuple[str, str, str], Figures]


def measure(seeds: range, matrix: Matrix | None, duration: int) -> Table:
    """Returns the mean results by deployment, scenario and policy."""
    table: Table = {}
    for name in ("quetzal", "ostend"):
        deployment = read_deployment(name)
        for scenario in SCENARIOS:
            for policy in POLICIES:
                runs = [
                    Run(deployment, scenario, policy, s, matrix, duration).run()
                    for s in seeds
                ]
                means = [statistics.mean(c) for c in zip(*runs, strict=True)]
                table[(name, scenario, policy)] = Figures(*means)
    return table
