"""Bounds the cost of an owner's input and output in function calls.

Guards against an overloaded owner. With 246 workers of 25 runs each and 400
starts and ends per second, the owner's VM used all of its processor time.
Without decisions, each run cost 2.4 ms: 0.3 ms for each HTTP call, up to 0.5 ms
to decode and process a listing of 30 unchanged runs, and more to learn from it.
The end of a run took time in proportion to the size of its job, up to 4 ms. The
tests count function calls because times depend on the machine and its load.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import sys
from types import FrameType

import trio

from bench.large_jobs import QUEUE, best_effort_job
from bench.wire_parts import (
    encode_listing,
    make_owner_context,
    make_running_tasks,
)
from pimentocross.contracts.worker_link import (
    Ending,
    EndKind,
    HoldReply,
    ListedRun,
)
from pimentocross.links.asgi import HttpRequest
from pimentocross.links.target_connection import (
    TargetConnection,
    connect_target,
)
from pimentocross.owner.jobs import JobRegistry
from pimentocross.owner.keeper import LeaseKeeper
from pimentocross.owner.learned import LearnedEstimates
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.worker import Worker
from pimentocross.platform.wire import WireError, read_hold
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.spec import JobSpec, TaskName
from pimentocross.work.state import Job, Run
from tests.test_http import real_time

_RUNS = 30
_BODY = b'{"clock_ms":1000000,"running":[],"completions":[]}'


class _CallCounter:
    """Counts calls of functions, including built-in ones."""

    def __init__(self) -> None:
        self.calls = 0

    def note(self, _: FrameType, event: str, __: object) -> None:
        """Counts a call."""
        self.calls += event in ("call", "c_call")


@contextmanager
def _counting() -> Iterator[_CallCounter]:
    count = _CallCounter()
    sys.setprofile(count.note)
    try:
        yield count
    finally:
        sys.setprofile(None)


class _FixedReplyStream:
    """A stream that accepts all data and returns one reply in one piece."""

    def __init__(self, reply: bytes) -> None:
        self.sent = b""
        self._reply = reply

    async def send_all(self, data: bytes) -> None:
        """Records the request."""
        self.sent += data

    async def receive_some(self, _: int) -> bytes:
        """Returns the reply."""
        return self._reply


class _RepeatingLink:
    """Returns the same listing for some rounds, then blocks."""

    def __init__(self, reply: HoldReply, rounds: int) -> None:
        self.done = trio.Event()
        self._reply = reply
        self._rounds_left = rounds

    async def hold(self, *_: object) -> HoldReply:
        """Returns the listing, or blocks after the last round."""
        if not self._rounds_left:
            self.done.set()
            await trio.sleep_forever()
        self._rounds_left -= 1
        return self._reply


class _UnexpectedStops:
    """Fails the test at any stop, as nothing has to be stopped."""

    def stop(self, *_: object) -> None:
        """Fails the test."""
        raise AssertionError

    def stop_unknown(self, *_: object) -> None:
        """Fails the test."""
        raise AssertionError

    def start_again(self, *_: object) -> None:
        """Fails the test."""
        raise AssertionError


def _ledger() -> Ledger:
    return Ledger(StoreStandin().client("a"), "jobs", "owner", 1)


async def test_a_call_to_a_worker_takes_few_steps() -> None:
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    length = b"content-length: %d\r\n\r\n" % len(_BODY)
    stream = _FixedReplyStream(head + length + _BODY)
    connection = TargetConnection(stream, "10.0.0.1:80")  # type: ignore[arg-type]
    headers = [
        (b"content-type", b"application/json"),
        (b"x-expected-instance", b"i-5c0e7a21"),
    ]
    request = HttpRequest(
        "POST", "/pimentocross/hold", b"", headers, b'{"fencing_token":7}'
    )
    with _counting() as count:
        reply = await connection.exchange(request, [])
    assert reply.status == 200
    assert reply.body == _BODY
    assert connection.reusable
    assert count.calls <= 80, count.calls


async def test_a_listing_is_decoded_in_few_steps() -> None:
    _, tasks = make_running_tasks(JobRegistry(_ledger(), 150.0), _RUNS)
    body = encode_listing(tasks)
    read_hold(body)
    with _counting() as count:
        reply = read_hold(body)
    assert len(reply.running) == _RUNS
    assert count.calls <= 4 * _RUNS, count.calls


def test_rows_of_a_looser_form_are_read_as_well() -> None:
    reply = read_hold(
        b'{"clock_ms":1500.5,"running":[["j.0.1.2",3,"",37.9],'
        b'["a.b.0.1.2","4",5,"6",7.5,"new"],["j.0.0.0",1,"c",2,3,4]],'
        b'"completions":[[1,"j.0.1.2","3","done"]]}'
    )
    assert reply == HoldReply(
        1.5005,
        [
            ListedRun(TaskName("j", 0, 1, 2), 3, "", 37, 0),
            ListedRun(TaskName("a.b", 0, 1, 2), 4, "5", 6, 7),
            ListedRun(TaskName("j", 0, 0, 0), 1, "c", 2, 3),
        ],
        [Ending(1, TaskName("j", 0, 1, 2), 3, EndKind.DONE, "")],
    )
    for row in (b'["j.0.1"]', b'["j",1,"",1]', b'["j.0.1.x",1,"",1]', b"[]"):
        body = b'{"clock_ms":1,"running":[%b]}' % row
        try:
            read_hold(body)
        except WireError:
            continue
        raise AssertionError(row)


async def test_a_listing_of_unchanged_runs_is_taken_in_in_few_steps() -> None:
    ledger = _ledger()
    book = JobRegistry(ledger, 150.0)
    life, tasks = make_running_tasks(book, _RUNS)
    learned = LearnedEstimates()
    parts = make_owner_context(
        book, ledger, learned.on_ending, learned.on_listed
    )
    call_counts = []
    for rounds in (10, 20):
        link = _RepeatingLink(read_hold(encode_listing(tasks)), rounds)
        worker = Worker(life, 0, link)  # type: ignore[arg-type]
        for task, run in tasks:
            worker.add(task, run)
        async with trio.open_nursery() as nursery:
            keeper = LeaseKeeper(worker, parts, _UnexpectedStops())
            with _counting() as count:
                nursery.start_soon(keeper.run)
                await link.done.wait()
            nursery.cancel_scope.cancel()
        call_counts.append(count.calls)
    # The difference excludes the calls that start and end the keeper.
    calls = (call_counts[1] - call_counts[0]) / 10
    assert calls <= 15 * _RUNS, calls


async def test_an_end_costs_the_same_however_large_the_job_is() -> None:
    step = best_effort_job(0).steps[0]
    calls = []
    for repeats in (2, 50):
        book = JobRegistry(_ledger(), 150.0)
        job = Job("j", QUEUE, JobSpec("", (step,), repeats, 0.0, 1.0), 0.0)
        book.restore(job)
        # Opens all occurrences.
        book.ready_steps(1e9)
        first, *others = job.tasks()
        for task in others[: step.width]:
            task.add_run(Run(1, 0))
        first.add_run(Run(1, 0))
        first.drop_run(1)
        first.finish()
        with _counting() as count:
            book.changed(job)
            records.encode_progress(job)
        calls.append(count.calls)
    assert calls[1] <= calls[0] + 2 * 50, calls


@real_time
async def test_a_new_connection_takes_few_steps() -> None:
    # 10,000 connections to 246 workers were opened in a day, because one whose
    # reply is late is closed. Each cost as much as three calls.
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    calls = []
    for _ in range(3):
        with _counting() as count:
            connection = await connect_target(f"127.0.0.1:{port}")
        calls.append(count.calls)
        await connection.aclose()
    for listener in listeners:
        await listener.aclose()
    assert min(calls) <= 200, calls
