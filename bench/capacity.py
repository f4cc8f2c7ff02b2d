"""Measures how the cost of each role grows with its size.

Each slope is fitted over at least three sizes. `bench.target` computes from the
slopes the costs at the target size, which `docs/CAPACITY.md` quotes.
"""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc
from typing import NamedTuple

import msgpack
import msgspec
import trio
from trio.testing import MockClock

from pimentocross.backing.log import RecordBody
from pimentocross.backing.workers import (
    COMMANDS,
    Attempt,
    Exchange,
    ExchangeReply,
    Resources,
    Start,
    TaskKind,
    TaskReport,
    TaskSpec,
    TaskState,
    Usage,
)
from pimentocross.config.load import load_configuration
from pimentocross.contracts.fold import StreamFold
from pimentocross.links.framing import FrameStream
from pimentocross.links.messages import (
    PEER_MESSAGES,
    Heartbeat,
    HeartbeatReply,
    PushTargets,
)
from pimentocross.placement.policy import LeastLoaded, PlacementRequest
from pimentocross.standins.log import LogStandin
from pimentocross.vms.commitments import Commitments
from pimentocross.zones.cell_state import (
    KINDS,
    CellOpened,
    CellState,
    JobAccepted,
    TaskEnded,
)
from pimentocross.zones.placer import WorkerView
from pimentocross.zones.views import Target

# Bytes of the start lines and the 13 headers of an HTTP request to a worker and
# its reply, counted on a real connection.
_HTTP_HEAD = 330
_FRAME_HEAD = 4
_ATTEMPT = Attempt(12_345, 678)
_SIZE = Resources(2.0, 4_000_000_000, 0, 1)
_REPEATS = 5


class Slope(NamedTuple):
    """A cost that grows linearly: value = fixed + each * size.

    Attributes:
        name: The measured cost and the size on which it depends.
        unit: Unit of the value.
        each: Increase of the value per unit of size.
        fixed: Value at size 0.
        error: Largest relative error of the fit.
        points: Measured (size, value) pairs.
    """

    name: str
    unit: str
    each: float
    fixed: float
    error: float
    points: list[tuple[int, float]]

    def at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return self.fixed + self.each * size


def fit(name: str, unit: str, points: list[tuple[int, float]]) -> Slope:
    """Fits a line to (size, value) pairs by least squares."""
    sizes = [float(size) for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    error = max(
        abs(line.intercept + line.slope * size - value) / max(value, 1e-9)
        for size, value in zip(sizes, values, strict=True)
    )
    return Slope(name, unit, line.slope, line.intercept, error, points)


def frame_bytes(array: list[object]) -> int:
    """Returns the bytes of a frame between entry VMs."""
    return len(msgpack.packb(array)) + _FRAME_HEAD


def heartbeat_bytes(in_flight: int) -> int:
    """Returns the bytes of one heartbeat and its reply."""
    busy = [(f"10.1.{n % 250}.7:31000", 3) for n in range(in_flight)]
    heartbeat = Heartbeat(81_234, busy, [("zone-a-0", 712, 31, 208)], False)
    reply = HeartbeatReply(10_321, 2.125, [], 81_234)
    request_frame = [100_000, *PEER_MESSAGES.pack(heartbeat)]
    reply_frame = [100_000, *PEER_MESSAGES.pack(reply)]
    return frame_bytes(request_frame) + frame_bytes(reply_frame)


def push_bytes(targets: int) -> int:
    """Returns the bytes of a message that sends targets to a peer."""
    target = Target("stock", "zone-a-w17", "10.1.2.3:31000", 4, 64, "zone-a")
    push = PushTargets("zone-a-0", 712, 5, [target] * targets)
    return frame_bytes([1, *PEER_MESSAGES.pack(push)])


def _spec(number: int) -> TaskSpec:
    return TaskSpec(
        f"zone-a-0.0123456789abcdef0123/{number}",
        _ATTEMPT,
        TaskKind.BATCH,
        "restock-plan",
        "planning",
        _SIZE,
        '{"seconds": 5}',
        "",
    )


def exchange_bytes(starts: int, running: int) -> int:
    """Returns the bytes of an exchange with task starts and usage reports."""
    commands = [COMMANDS.pack(Start(_spec(n))) for n in range(starts)]
    request = Exchange(
        "zone-a-0",
        712,
        1_000,
        "0123456789abcdef0123456789abcdef",
        1234567.123456,
        1234567.123456,
        1234567.123456,
        900,
        commands,
    )
    reports = [
        TaskReport(_spec(n), TaskState.RUNNING, "", "", 1.0)
        for n in range(starts)
    ]
    usage = [
        Usage(_spec(n).task, "restock-plan", 1234567.1, 2.0, 4 * 10**9, 1.0)
        for n in range(running)
    ]
    reply = ExchangeReply(
        "0123456789abcdef0123456789abcdef",
        1234567.123456,
        Resources(16.0, 60_000_000_000, 0, 8),
        "10.1.2.3:31000",
        64,
        False,
        901,
        reports,
        usage,
    )
    bodies = msgspec.json.encode(request), msgspec.json.encode(reply)
    return _HTTP_HEAD + sum(len(body) for body in bodies)


def job_records(job: int) -> list[RecordBody]:
    """Returns the accept and end records of a job with one task."""
    name = f"zone-a-0.{job:020x}"
    accepted = JobAccepted(
        712, name, "planning", "restock-plan", 1, 3, '{"seconds": 5}'
    )
    ended = TaskEnded(712, name, 0, _ATTEMPT, True, f"done {name}", "w-17")
    return [
        {"id": f"{job:032x}", **KINDS.encode(accepted)},
        {"id": f"{job:032x}e", **KINDS.encode(ended)},
    ]


def _fold(jobs: int, *, ended: bool) -> CellState:
    state = CellState()
    state.apply(0, KINDS.encode(CellOpened(712)))
    for job in range(jobs):
        for body in job_records(job)[: 2 if ended else 1]:
            state.apply(0, body)
    return state


def _seconds(run: Callable[[], object]) -> float:
    """Returns the minimum processor seconds of several calls."""
    best = float("inf")
    for _ in range(_REPEATS):
        began = time.process_time()
        run()
        best = min(best, time.process_time() - began)
    return best


def _memory(build: Callable[[], object]) -> float:
    """Returns the bytes of memory that the built object uses."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(held)


def _views(workers: int) -> list[WorkerView]:
    capacity = Resources(16.0, 60_000_000_000, 0, 8)
    return [
        WorkerView(
            f"w{n}", Resources(n % 9 + 2.0, 10**10, 0, n % 7 + 1), capacity, {}
        )
        for n in range(workers)
    ]


def _decide(workers: int) -> float:
    """Returns microseconds for one placement decision."""
    views = _views(workers)
    wanted = PlacementRequest("t", TaskKind.BATCH, "plan", _SIZE)
    policy = LeastLoaded()

    def run() -> None:
        for _ in range(20):
            policy.choose(wanted, views)

    return _seconds(run) / 20 * 1e6


def _commitments(tasks: int) -> Commitments:
    held = Commitments()
    held.set_capacity(Resources(1e9, 10**18, 10**6, 10**9))
    for number in range(tasks):
        held.reserve(_spec(number).task, _SIZE)
    return held


def _configuration_seconds(tenants: int) -> float:
    lines = [
        "cluster: c",
        "zones: {a: {region: r, workers: 5000}}",
        "workers: {processors: 64, memory: 256GB, slots: 64,"
        " connections: 64, per_rack: 8}",
        "objective: {tail_latency: 1, batch_throughput: 0, evictions: 0}",
        "tenants:",
    ]
    lines += [f"  team-{n}: {{weight: 1}}" for n in range(tenants)]
    lines.append("batch:")
    for n in range(tenants):
        lines.append(
            f"  class-{n}: {{tenant: team-{n}, run_time: 5s,"
            " size: {processors: 1, memory: 1GB}}"
        )
    files = {"10.yaml": "\n".join(lines)}
    assert load_configuration(files).is_ok()
    return _seconds(lambda: load_configuration(files)) * 1000


async def _peer_seconds(requests: int) -> float:
    """Returns processor seconds of requests over TCP, client and server."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    heartbeat = Heartbeat(81_234, [], [], False)
    reply = HeartbeatReply(10_321, 2.125, [], 81_234)

    async def answer(stream: trio.abc.Stream) -> None:
        frames = FrameStream(stream)
        while (array := await frames.receive(1000)) is not None:
            PEER_MESSAGES.unpack(array[1:])
            await frames.send([array[0], *PEER_MESSAGES.pack(reply)])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        frames = FrameStream(await trio.open_tcp_stream("127.0.0.1", port))
        began = time.process_time()
        for number in range(requests):
            await frames.send([number, *PEER_MESSAGES.pack(heartbeat)])
            got = await frames.receive(1000)
            assert got is not None
            PEER_MESSAGES.unpack(got[1:])
        took = time.process_time() - began
        nursery.cancel_scope.cancel()
    return took


def _measure_points(
    sizes: tuple[int, ...], measure: Callable[[int], float]
) -> list[tuple[int, float]]:
    return [(size, measure(size)) for size in sizes]


def measure_slopes() -> dict[str, Slope]:
    """Measures and returns all slopes by name."""
    jobs = (500, 1_000, 2_000)
    slopes = [
        fit(
            "heartbeat, by targets in flight",
            "B",
            _measure_points((0, 8, 64), heartbeat_bytes),
        ),
        fit(
            "targets told, by targets",
            "B",
            _measure_points((10, 100, 1_000), push_bytes),
        ),
        fit(
            "exchange, by tasks started in it",
            "B",
            _measure_points((0, 8, 64), lambda n: exchange_bytes(n, 0)),
        ),
        fit(
            "exchange, by tasks with usage",
            "B",
            _measure_points((0, 8, 32), lambda n: exchange_bytes(0, n)),
        ),
        fit(
            "records of a job in the log, by jobs",
            "B",
            _measure_points(
                (1, 10, 100),
                lambda n: sum(
                    len(msgspec.json.encode(body))
                    for job in range(n)
                    for body in job_records(job)
                ),
            ),
        ),
        fit(
            "appends for ends at 100/s, by ends",
            "appends",
            _measure_points((200, 400, 800), measure_appends),
        ),
        fit(
            "folding a job's records, by jobs",
            "us",
            _measure_points(
                jobs, lambda n: _seconds(lambda: _fold(n, ended=True)) * 1e6
            ),
        ),
        fit(
            "memory of open jobs, by jobs",
            "B",
            _measure_points(
                jobs, lambda n: _memory(lambda: _fold(n, ended=False))
            ),
        ),
        fit(
            "snapshot of open jobs, by jobs",
            "B",
            _measure_points(
                jobs,
                lambda n: len(
                    msgspec.json.encode(_fold(n, ended=False).dump())
                ),
            ),
        ),
        fit(
            "making a snapshot, by jobs",
            "us",
            _measure_points(
                jobs,
                lambda n: _seconds(_fold(n, ended=False).dump) * 1e6,
            ),
        ),
        fit(
            "memory of commitments, by tasks",
            "B",
            _measure_points(jobs, lambda n: _memory(lambda: _commitments(n))),
        ),
        fit(
            "a placement decision, by workers",
            "us",
            _measure_points((24, 190, 1_000), _decide),
        ),
        fit(
            "checking a configuration, by teams",
            "ms",
            _measure_points((10, 100, 310), _configuration_seconds),
        ),
        fit(
            "a question to a peer, both ends, by questions",
            "us",
            _measure_points(
                (500, 1_000, 2_000), lambda n: trio.run(_peer_seconds, n) * 1e6
            ),
        ),
    ]
    return {slope.name: slope for slope in slopes}


async def _appends(ends: int) -> float:
    """Returns the number of appends for task ends at one per 10 ms."""
    log = LogStandin()
    fold = StreamFold(log, "cell", CellState())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fold.run)
        nursery.start_soon(fold.run_writer)
        for number in range(ends):
            fold.publish_later(job_records(number)[1])
            await trio.sleep(0.01)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    return log.appends["cell"]


def measure_appends(ends: int) -> float:
    """Returns the number of appends for task ends, in virtual time."""
    return trio.run(_appends, ends, clock=MockClock(autojump_threshold=0))


def print_slopes(slopes: dict[str, Slope]) -> None:
    """Prints the slopes as a table."""
    print("slope | each | fixed | unit | largest error of the fit | points")
    for slope in slopes.values():
        points = ", ".join(f"{s}: {v:.4g}" for s, v in slope.points)
        print(
            f"{slope.name} | {slope.each:.4g} | {slope.fixed:.4g} |"
            f" {slope.unit} | {slope.error * 100:.1f} % | {points}"
        )
