"""Measures single parts of an owner's I/O: calls, listings and records.

All results are in milliseconds of the owner thread's CPU time.
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
    best_effort_job,
    quick_job,
    serving_job,
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
from pimentocross.owner.confirmation import Confirmation
from pimentocross.owner.context import OwnerContext
from pimentocross.owner.crashes import Crashes
from pimentocross.owner.former_leases import FormerLeases
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.keeper import LeaseKeeper
from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.listing_pace import ListingPace
from pimentocross.owner.next_lives import NextLives
from pimentocross.owner.resent_starts import ResentStarts
from pimentocross.owner.silent_lives import SilentLives
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.witnesses import Witnesses
from pimentocross.owner.worker import Worker
from pimentocross.owner.worker_ends import WorkerEnds
from pimentocross.platform.wire import read_hold, write_task
from pimentocross.platform.workers import HttpWorker
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from pimentocross.work.state import Job, Run, RunState, Task

_CALLS: Final = 1_000
# The minimum of the rounds is reported, as other processes slow down some.
_ROUNDS: Final = 5
_MS_PER_SECOND: Final = 1000.0
_LEASE_SECONDS: Final = 5.0
_TIMEOUT: Final = 5.0
_ENDED_JOB_RETENTION: Final = 150.0
_WIDE_STEP = StepSpec(20, Size(1_000, 1_000, 0))


class _NoRunStopper:
    def stop(self, *_: object) -> None:
        """Does nothing."""

    def stop_unknown(self, *_: object) -> None:
        """Does nothing."""

    def start_again(self, *_: object) -> None:
        """Does nothing."""


class _NoRestarts:
    def note_born(self, *_: object) -> None:
        """Does nothing."""

    def note_replaced(self, *_: object) -> None:
        """Does nothing."""

    def note_answer(self, *_: object) -> None:
        """Does nothing."""


class _UnchangedListingLink:
    """A worker link that always returns the same listing.

    Sets `done` after a number of calls.
    """

    def __init__(self, reply: HoldReply, calls: int) -> None:
        self._reply = reply
        self._left = calls
        self.done = trio.Event()

    async def hold(self, *_: object) -> HoldReply:
        """Returns the listing."""
        await trio.lowlevel.checkpoint()
        self._left -= 1
        if not self._left:
            self.done.set()
            await trio.sleep_forever()
        return self._reply


def make_running_tasks(
    book: JobRegistry, runs: int
) -> tuple[WorkerLife, list[tuple[Task, Run]]]:
    """Returns a worker life and running tasks.

    A third of the tasks each are serving, best-effort and short.
    """
    tasks: list[Task] = []
    kinds = [
        ("serve", serving_job(0), runs // 6),
        ("serve2", serving_job(1), runs // 6),
        ("fill", best_effort_job(0), runs - 2 * (runs // 6) - runs // 3),
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


def encode_listing(tasks: list[tuple[Task, Run]]) -> bytes:
    """Returns a listing of running tasks in the platform's wire format."""
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


def make_owner_context(
    book: JobRegistry,
    ledger: Ledger,
    on_ending: Callable[[Worker, Task, Run | None, Ending], None],
    listed: Callable[[Worker], None],
) -> OwnerContext:
    """Returns the shared context of an owner with one worker."""
    lateness = LoopLateness()
    terms = OwnerTerms(_LEASE_SECONDS)
    return OwnerContext(
        1,
        terms,
        CallTimeouts(lateness, _LEASE_SECONDS),
        ListingPace(lateness, _LEASE_SECONDS, lambda: 1),
        book,
        ledger,
        lambda: None,
        on_ending,
        listed,
        Crashes(book, lambda: (), SilentLives(ledger), WorkerEnds(ledger)),
        lambda _: True,
        _NoRestarts(),
        LateStarts(
            book,
            ledger,
            terms.granted_lease_most,
            lambda: None,
            ResentStarts(1, None, ledger),
        ),
        FormerLeases(1, (), terms, ledger, quiet=True),
        NextLives(1, ledger, terms, has_formers=False),
        Confirmation(ledger, Witnesses(1, ledger), terms),
    )


async def measure_processing(runs: int) -> tuple[float, float]:
    """Measures the decoding and the processing of an unchanged listing."""
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobRegistry(ledger, _ENDED_JOB_RETENTION)
    life, tasks = make_running_tasks(book, runs)
    body = encode_listing(tasks)
    decoding = _time_call(lambda: read_hold(body))
    link = _UnchangedListingLink(read_hold(body), _CALLS)
    worker = Worker(life, 0, link)  # type: ignore[arg-type]
    for task, run in tasks:
        worker.add(task, run)
    learned = LearnedEstimates()
    owner_context = make_owner_context(
        book, ledger, learned.on_ending, learned.on_listed
    )
    began = time.thread_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            LeaseKeeper(worker, owner_context, _NoRunStopper()).run
        )
        await link.done.wait()
        nursery.cancel_scope.cancel()
    return decoding, (time.thread_time() - began) / _CALLS * _MS_PER_SECOND


def _time_call(function: Callable[[], object]) -> float:
    """Returns the milliseconds of a call, the minimum of several rounds."""
    rounds = []
    for _ in range(_ROUNDS):
        began = time.thread_time()
        for _ in range(_CALLS // _ROUNDS):
            function()
        rounds.append(time.thread_time() - began)
    return min(rounds) / (_CALLS // _ROUNDS) * _MS_PER_SECOND


async def measure_calls(workers_at: str) -> dict[str, float]:
    """Returns the owner's costs of the calls to a worker, by call."""
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
    costs["start"] = (time.thread_time() - began) / _CALLS * _MS_PER_SECOND
    began = time.thread_time()
    for _ in range(_CALLS):
        await link.stop(name, 1, 1, _TIMEOUT)
    costs["stop"] = (time.thread_time() - began) / _CALLS * _MS_PER_SECOND
    await link.aclose()
    return costs


async def measure_hold(body: bytes) -> float:
    """Returns the owner's cost of a call for a listing, with its decoding."""

    async def answer(_: HttpRequest) -> HttpReply:
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        return HttpReply(200, headers, body)

    # Only the task of the calling side is counted, not those of the server.
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
    return timed.used["bench.wire_parts._hold_often"] / _CALLS * _MS_PER_SECOND


async def _hold_often(link: HttpWorker, scope: trio.CancelScope) -> None:
    for _ in range(_CALLS):
        await link.hold(1, 0, 1e6, 0.5, _TIMEOUT)
    scope.cancel()


def measure_records(spec: JobSpec) -> tuple[float, float]:
    """Measures marking a job as changed, and a change with its record.

    Returns:
        The milliseconds of both.
    """
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobRegistry(ledger, _ENDED_JOB_RETENTION)
    job = Job("fill-5c0e7a21d94b36f8", QUEUE, spec, 0.0)
    book.restore(job)
    for task in job.tasks():
        task.add_run(Run(1, 0))
    first = next(iter(job.tasks()))

    def change_and_encode() -> None:
        first.add_run(Run(2, 0))
        first.drop_run(2)
        records.encode_progress(job)

    return _time_call(lambda: book.changed(job)), _time_call(change_and_encode)


def print_call_costs() -> None:
    """Prints the costs of listings and records by size."""
    for runs in (0, 10, 30):
        ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
        call = trio.run(_measure_call, ledger, runs)
        measured = [trio.run(measure_processing, runs) for _ in range(_ROUNDS)]
        decoding, processing = map(min, zip(*measured, strict=True))
        print(
            f"listing of {runs} unchanged runs:"
            f" call {call - decoding:.3f}, decoding {decoding:.3f},"
            f" processing {processing:.3f}: {call + processing:.3f} ms"
        )
    for spec in (quick_job(), best_effort_job(0)):
        steps = [step.width for step in spec.steps]
        changed, encoded = measure_records(spec)
        print(f"job of {steps}: change {changed:.4f}, record {encoded:.4f} ms")
    wide = JobSpec("", (_WIDE_STEP,), 50, 0.0, 1.0)
    changed, encoded = measure_records(wide)
    print(f"job of [20] * 50: change {changed:.4f}, record {encoded:.4f} ms")


async def _measure_call(ledger: Ledger, runs: int) -> float:
    _, tasks = make_running_tasks(
        JobRegistry(ledger, _ENDED_JOB_RETENTION), runs
    )
    return min(
        [await measure_hold(encode_listing(tasks)) for _ in range(_ROUNDS)]
    )
