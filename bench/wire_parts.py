"""The parts of an owner's input and output, one by one.

All figures are milliseconds of the owner's thread.
"""

from collections.abc import Callable
import itertools
import time
from typing import Final

import msgspec
import trio

from bench import wire_workers
from bench.large_jobs import (
    QUEUE,
    TimeByTask,
    filling_job,
    lasting_job,
    quick_job,
)
from pimentocross.contracts.worker_link import (
    Ending,
    HoldReply,
    StartOrder,
    StartVerdict,
    WorkerLife,
)
from pimentocross.links.asgi import HttpReply, HttpRequest
from pimentocross.links.listener import HttpListener, ListenerLimits
from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner.call_timeouts import CallTimeouts
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.crashes import Crashes
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.keeper import LeaseKeeper
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.resent_starts import ResentStarts
from pimentocross.owner.silent_lives import SilentLives
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.worker import Worker
from pimentocross.owner.worker_ends import WorkerEnds
from pimentocross.platform.wire import read_hold, write_task
from pimentocross.platform.workers import HttpWorker
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from pimentocross.work.state import Job, Run, RunState, Task

_CALLS: Final = 1_000
# The least of some rounds is told: others use this machine as well.
_ROUNDS: Final = 5
_MS: Final = 1000.0
_LEASE: Final = 5.0
_TIMEOUT: Final = 5.0
_KEPT: Final = 150.0
_WIDE = StepSpec(20, Size(1_000, 1_000, 0))


class _NoStops:
    def stop(self, *_: object) -> None:
        """Stops nothing."""

    def stop_unknown(self, *_: object) -> None:
        """Stops nothing."""

    def start_again(self, *_: object) -> None:
        """Repeats nothing."""


class _NoRestarts:
    def note_born(self, *_: object) -> None:
        """Has nothing to note."""

    def note_replaced(self, *_: object) -> None:
        """Has nothing to note."""


class _ListedAgain:
    """A link whose worker lists the same again; counts the listings."""

    def __init__(self, reply: HoldReply, calls: int) -> None:
        self._reply = reply
        self._left = calls
        self.done = trio.Event()

    async def hold(self, *_: object) -> HoldReply:
        """Lists the same."""
        await trio.lowlevel.checkpoint()
        self._left -= 1
        if not self._left:
            self.done.set()
            await trio.sleep_forever()
        return self._reply


def make_listed(
    book: JobRegistry, runs: int
) -> tuple[WorkerLife, list[tuple[Task, Run]]]:
    """Returns a worker's life and running tasks of all three kinds."""
    tasks: list[Task] = []
    kinds = [
        ("serve", lasting_job(0), runs // 6),
        ("serve2", lasting_job(1), runs // 6),
        ("fill", filling_job(0), runs - 2 * (runs // 6) - runs // 3),
        ("quick", quick_job(), runs // 3),
    ]
    for name, spec, count in kinds:
        job_id = f"{name}-5c0e7a21d94b36f8-{runs}"
        job = Job(job_id, QUEUE, spec, 0.0)
        book.restore(job)
        tasks += itertools.islice(job.tasks(), count)
    found = []
    for task in tasks:
        run = Run(1, 0, trio.current_time() - 1.5)
        run.enter(RunState.RUNNING, trio.current_time() - 1.5)
        task.add_run(run)
        found.append((task, run))
    return wire_workers.lives(1, "127.0.0.1:9")[0], found


def body_of(tasks: list[tuple[Task, Run]]) -> bytes:
    """Returns a listing of running tasks as the platform spells it."""
    return msgspec.json.encode(
        {
            "clock_ms": 1_000_000,
            "running": [
                [
                    write_task(task.name),
                    run.number,
                    "",
                    100 if task.step.spec.lasting else 80,
                    23,
                ]
                for task, run in tasks
            ],
            "completions": [],
        }
    )


def make_parts(
    book: JobRegistry,
    ledger: Ledger,
    on_ending: Callable[[Worker, Task, Run | None, Ending], None],
    listed: Callable[[Worker], None],
) -> OwnerContext:
    """Returns what the parts of an owner of one worker share."""
    lateness = LoopLateness()
    return OwnerContext(
        1,
        OwnerTerms(_LEASE),
        CallTimeouts(lateness, _LEASE),
        ListingPace(lateness, _LEASE, lambda: 1),
        book,
        ledger,
        lambda: None,
        on_ending,
        listed,
        Crashes(book, lambda: (), SilentLives(ledger), WorkerEnds(ledger)),
        lambda _: True,
        _NoRestarts(),
        LateStarts(book, ledger, lambda: None, ResentStarts(1, None, ledger)),
        FormerLeases(1, (), OwnerTerms(_LEASE), ledger, quiet=True),
    )


async def measure_taking_in(runs: int) -> tuple[float, float]:
    """Returns what decoding and taking in of an unchanged listing cost."""
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobRegistry(ledger, _KEPT)
    life, tasks = make_listed(book, runs)
    body = body_of(tasks)
    decoding = _time_of(lambda: read_hold(body))
    link = _ListedAgain(read_hold(body), _CALLS)
    worker = Worker(life, 0, link)  # type: ignore[arg-type]
    for task, run in tasks:
        worker.add(task, run)
    learned = LearnedEstimates()
    parts = make_parts(book, ledger, learned.on_ending, learned.on_listed)
    began = time.thread_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(LeaseKeeper(worker, parts, _NoStops()).run)
        await link.done.wait()
        nursery.cancel_scope.cancel()
    return decoding, (time.thread_time() - began) / _CALLS * _MS


def _time_of(function: Callable[[], object]) -> float:
    """Returns milliseconds of one call, the least of some rounds."""
    rounds = []
    for _ in range(_ROUNDS):
        began = time.thread_time()
        for _ in range(_CALLS // _ROUNDS):
            function()
        rounds.append(time.thread_time() - began)
    return min(rounds) / (_CALLS // _ROUNDS) * _MS


async def measure_calls(workers_at: str) -> dict[str, float]:
    """Returns what a link's calls cost the caller."""
    link = HttpWorker(wire_workers.lives(1, workers_at)[0])
    name = TaskName("other-5c0e7a21d94b36f8", 0, 0, 0)
    reply = await link.hold(1, 0, None, 0.0, _TIMEOUT)
    costs = {}
    order = StartOrder(name, 1, "", reply.clock + 1e6, 1, "")
    verdict = (await link.start(order, _TIMEOUT)).verdict
    assert verdict is StartVerdict.STARTED
    began = time.thread_time()
    for _ in range(_CALLS):
        await link.start(order, _TIMEOUT)
    costs["start"] = (time.thread_time() - began) / _CALLS * _MS
    began = time.thread_time()
    for _ in range(_CALLS):
        await link.stop(name, 1, 1, _TIMEOUT)
    costs["stop"] = (time.thread_time() - began) / _CALLS * _MS
    await link.aclose()
    return costs


async def measure_hold(body: bytes) -> float:
    """Returns what a call that gets a listing costs, decoding included."""

    async def answer(_: HttpRequest) -> HttpReply:
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        return HttpReply(200, headers, body)

    # The server's tasks are known by their names, and left out.
    timed = TimeByTask()
    async with trio.open_nursery() as nursery:
        listener = HttpListener(answer, ListenerLimits)
        port = await nursery.start(listener.serve, f"{wire_workers.HOST}:0")
        link = HttpWorker(
            wire_workers.lives(1, f"{wire_workers.HOST}:{port}")[0]
        )
        trio.lowlevel.add_instrument(timed)
        nursery.start_soon(_hold_often, link, nursery.cancel_scope)
    trio.lowlevel.remove_instrument(timed)
    return timed.used["bench.wire_parts._hold_often"] / _CALLS * _MS


async def _hold_often(link: HttpWorker, scope: trio.CancelScope) -> None:
    for _ in range(_CALLS):
        await link.hold(1, 0, 1e6, 0.5, _TIMEOUT)
    scope.cancel()


def measure_records(spec: JobSpec) -> tuple[float, float]:
    """Returns what an end of one of a job's tasks costs, and its record."""
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobRegistry(ledger, _KEPT)
    job = Job("fill-5c0e7a21d94b36f8", QUEUE, spec, 0.0)
    book.restore(job)
    for task in job.tasks():
        task.add_run(Run(1, 0))
    first = next(iter(job.tasks()))

    def change_and_encode() -> None:
        first.add_run(Run(2, 0))
        first.drop_run(2)
        records.encode_progress(job)

    return _time_of(lambda: book.changed(job)), _time_of(change_and_encode)


def print_parts() -> None:
    """Prints what listings and records cost, by their size."""
    for runs in (0, 10, 30):
        ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
        call = trio.run(_call_of, ledger, runs)
        taken = [trio.run(measure_taking_in, runs) for _ in range(_ROUNDS)]
        decoding, taking_in = map(min, zip(*taken, strict=True))
        print(
            f"listing of {runs} unchanged runs:"
            f" call {call - decoding:.3f}, decoding {decoding:.3f},"
            f" taking in {taking_in:.3f}: {call + taking_in:.3f} ms"
        )
    for spec in (quick_job(), filling_job(0)):
        steps = [step.width for step in spec.steps]
        changed, encoded = measure_records(spec)
        print(f"job of {steps}: change {changed:.4f}, record {encoded:.4f} ms")
    wide = JobSpec("", (_WIDE,), 50, 0.0, 1.0)
    changed, encoded = measure_records(wide)
    print(f"job of [20] * 50: change {changed:.4f}, record {encoded:.4f} ms")


async def _call_of(ledger: Ledger, runs: int) -> float:
    _, tasks = make_listed(JobRegistry(ledger, _KEPT), runs)
    return min([await measure_hold(body_of(tasks)) for _ in range(_ROUNDS)])
