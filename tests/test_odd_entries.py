"""Tests that an odd entry among those of the workers harms nobody.

Whole owners run with the entries, also with those that are read, dialled and
recorded: none ends, and the list is followed further.
"""

from collections import Counter
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Mapping,
    Sequence,
)
from contextlib import asynccontextmanager
import json
from unittest import mock

import trio

from pimentocross.contracts.store import Record, Store
from pimentocross.contracts.worker_link import WorkerDialer, WorkerLife
from pimentocross.owner import wall
from pimentocross.owner.former_leases import Predecessor
from pimentocross.owner.owner import CellPlatform, Claim, Owner
from pimentocross.platform.store import StoreClient
from pimentocross.platform.topics import WorkerTopic
from pimentocross.platform.wire import WireError, read_worker
from pimentocross.platform.workers import HttpWorkerDialer
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskPlan, TaskWorkerStandin
from pimentocross.standins.users_platform import worker_entry
from pimentocross.work.spec import StepSpec, TaskName
from tests import run_virtual
from tests.owner_fixtures import (
    CONFIG,
    QUEUE,
    SMALL,
    find_overlapping_starts,
    find_starts_after_success,
    life,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.platform_fixtures import (
    HOST,
    PREFIX,
    Caller,
    LoopbackPlatform,
    job_body,
    loopback_platform,
    running_node,
    wait_until_ready,
)
from tests.test_http import real_time

_ODD = life(9)
# A time between the least and the greatest that odd entries give.
_BORN = 1_000
# For so long odd entries stand in the place of a good one.
_ODD_SECONDS = 3.0
_ODD_KEYS = (
    "",
    " ",
    ".",
    "..",
    "../odd",
    "odd/9",
    "x" * 121,
    "x" * 300,
    "\\xff\\xfe",
    "odd\0",
    "odd\r\nx-header: 1",
    "odd\x1b[2J",
    "\u0669",
    "\u00e9" * 100,
)
_DEPTHS = (1_000, 1_100, 5_000, 100_000)
_FUTURE = 2**53
_BYTES = 1_000_000
_LONG_JOB = "long"
_LONG_SECONDS = 8.0
# More than fit on one worker of eight cores.
_LONG_TASKS = 12


def _entry(of: WorkerLife, **changes: object) -> bytes:
    """Returns a worker's entry with some fields changed."""
    return json.dumps({**json.loads(worker_entry(of)), **changes}).encode()


def _raw(of: WorkerLife, field: str, text: bytes) -> bytes:
    """Returns a worker's entry with a field given as JSON text."""
    entry = json.loads(worker_entry(of))
    entry.pop(field, None)
    head = json.dumps(entry).encode()[:-1]
    return head + b',"%b":%b}' % (field.encode(), text)


def _nested(of: WorkerLife) -> dict[str, bytes]:
    kinds = {}
    for depth in _DEPTHS:
        for name, opening, inner, closing in (
            ("lists", b"[", b"", b"]"),
            ("maps", b'{"a":', b"1", b"}"),
        ):
            text = opening * depth + inner + closing * depth
            for field in ("note", "labels", "capacity", "born", "address"):
                kinds[f"{depth} {name} in {field}"] = _raw(of, field, text)
            kinds[f"{depth} open {name}"] = _raw(of, "note", opening * depth)
            kinds[f"{depth} {name} alone"] = text
    return kinds


def _numbers(of: WorkerLife) -> dict[str, bytes]:
    """Returns entries with numbers that their fields can't hold."""
    kinds = {}
    digits = {"10^400": b"1" + b"0" * 400, "10^5000": b"1" + b"0" * 5_000}
    for name, text in {
        "2^63": b"%d" % 2**63,
        "2^64": b"%d" % 2**64,
        "-2^64": b"-%d" % 2**64,
        **digits,
        "1e400": b"1e400",
        "-1e400": b"-1e400",
        "NaN": b"NaN",
        "Infinity": b"Infinity",
    }.items():
        for field in ("born", "remaining_ms"):
            kinds[f"{field} {name}"] = _raw(of, field, text)
        for part in ("cpu", "mem_mb", "gpus"):
            amounts = {b"cpu": b"1", b"mem_mb": b"1", part.encode(): text}
            size = b",".join(b'"%b":%b' % pair for pair in amounts.items())
            kinds[f"{part} {name}"] = _raw(of, "capacity", b"{%b}" % size)
    for amount in (0, -1, 2**53):
        capacity = {"cpu": amount, "mem_mb": 1}
        kinds[f"cpu {amount}"] = _entry(of, capacity=capacity)
    kinds["remaining_ms 2^53"] = _entry(of, remaining_ms=2**53)
    for born in (-1, -(2**53)):
        kinds[f"born {born}"] = _entry(of, born=born)
    kinds["remaining_ms -1"] = _entry(of, remaining_ms=-1)
    for name, text in (("NaN", b"NaN"), ("Infinity", b"Infinity")):
        kinds[f"{name} in an unknown field"] = _raw(of, "note", text)
    return kinds


def _addresses(of: WorkerLife) -> dict[str, bytes]:
    """Returns entries with addresses that can't be dialled."""
    return {
        f"address {address[:30]!r}": _entry(of, address=address)
        for address in (
            "",
            ":",
            ":80",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:-1",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:99999",
            "10.0.0.1:8_0",
            "10.0.0.1: 80",
            "10.0.0.1 :80",
            "10.0.0.1:80\n",
            "\n10.0.0.1:80",
            "10.0.0.1\n:80",
            "10.0.0.1\0:80",
            "[::1]:80",
            "::1:80",
            "\u0661\u0660.0.0.1:80",
            "10.0.0.1:\u0668\u0660",
            "1" * 100_000 + ":80",
            "999.999.999.999:80",
            "host:80",
        )
    }


def _texts(of: WorkerLife) -> dict[str, bytes]:
    """Returns entries that can't be read as text, or are far too long."""
    good = worker_entry(of)
    kinds = {
        "an empty value": b"",
        "a space": b" ",
        "a mark of the byte order": b"\xef\xbb\xbf" + good,
        "UTF-16": good.decode().encode("utf-16"),
        "1 MB of one letter": b"x" * _BYTES,
        "1 MB of spaces": b" " * _BYTES,
        "1 MB in the zone": _entry(of, zone="x" * _BYTES),
        "labels of 1 MB": _entry(of, labels=["x" * _BYTES]),
        "two entries": good + good,
    }
    for field in ("zone", "machine_id", "backend", "address", "note"):
        kinds[f"a lone surrogate in {field}"] = _raw(of, field, b'"\\ud800"')
        if field == "note":
            continue
        kinds[f"no UTF-8 in {field}"] = _raw(of, field, b'"\xff\xed\xa0\x80"')
        kinds[f"300 characters in {field}"] = _entry(of, **{field: "x" * 300})
    return kinds


def _unreadable(of: WorkerLife) -> dict[str, bytes]:
    return {**_nested(of), **_numbers(of), **_texts(of)}


def _listed(of: WorkerLife) -> dict[str, bytes]:
    """Returns odd entries that are read, and whose worker is dialled."""
    kinds = {
        "nesting of 500 levels": _raw(of, "note", b"[" * 500 + b"]" * 500),
        "10^5000 in an unknown field": _raw(of, "note", b"1" + b"0" * 5_000),
        "1e400 in an unknown field": _raw(of, "note", b"1e400"),
        "1 MB in an unknown field": _entry(of, note="x" * _BYTES),
        "no UTF-8 in an unknown field": _raw(of, "note", b'"\xff"'),
        "10,000 labels": _entry(of, labels=["x"] * 10_000),
        "10,000 long labels": _entry(of, labels=["x" * 200] * 10_000),
        "labels with NUL": _entry(of, labels=["\0", "\n"]),
        "no labels": _entry(of, labels=[]),
        "no machine": _entry(of, machine_id=""),
        "a machine of 256 characters": _entry(of, machine_id="\u00e9" * 256),
        "a machine with NUL": _entry(of, machine_id="\0\n"),
        "a zone with NUL": _entry(of, zone="\0\n\u2028"),
        "no zone": _entry(of, zone=""),
        "keys given twice": worker_entry(of)[:-1] + b',"zone":"south"}',
        "capacity 1": _entry(of, capacity={"cpu": 1, "mem_mb": 1}),
        "huge capacity": _entry(
            of, capacity={"cpu": 10**8, "mem_mb": 10**8, "gpus": 1_000}
        ),
        "remaining_ms a day": _entry(of, state="draining", remaining_ms=86.4e6),
        "cold_remaining_ms": _entry(of, cold_remaining_ms=10**400),
        "another service": _entry(of, backend="strangers"),
        "service with NUL": _entry(of, backend="\0"),
    }
    for born in (0, 0.5, 2, 10**12, _FUTURE):
        kinds[f"born {born}"] = _entry(of, born=born)
    return kinds


class _Cell:
    """A cell whose owners read the list of workers from the store.

    Attributes:
        store: The store.
        worker_pool: Workers that answer.
        epoch: The epoch of the newest owner.
    """

    def __init__(self) -> None:
        """Initializes a cell without listed workers."""
        self.store = StoreStandin()
        self.worker_pool = make_worker_pool(0)
        self.epoch = 0

    def write(self, key: str, value: bytes | None) -> None:
        """Appends a record to the list of workers."""
        self.store.topic("servers").append([Record(key, value)])

    def join(self, joining: WorkerLife) -> TaskWorkerStandin:
        """Adds a worker and lists it."""
        worker = TaskWorkerStandin(joining, _plan, self.worker_pool.journal)
        self.worker_pool.add(worker)
        self.write(joining.id, worker_entry(joining))
        return worker

    @asynccontextmanager
    async def owner(self) -> AsyncIterator[Owner]:
        """Runs the next owner; fails if it ends before the block does."""
        self.epoch += 1
        client = self.store.client("a")
        dialer = self.worker_pool.access("a")
        async with _next_owner(client, dialer, self.epoch) as owner:
            yield owner

    def starts(self, job: str) -> Counter[TaskName]:
        """Returns how often the tasks of a job were started."""
        return Counter(
            event.task
            for event in self.worker_pool.journal
            if event.what == "start" and event.task.job == job
        )


@asynccontextmanager
async def _next_owner(
    client: Store, dialer: WorkerDialer, epoch: int
) -> AsyncIterator[Owner]:
    """Runs an owner; fails if it ends before the block does."""
    formers = tuple(
        Predecessor(e, False, True) for e in range(epoch - 1, 0, -1)
    )
    owner = Owner(
        Claim("jobs", epoch, True, formers),
        CellPlatform(client, WorkerTopic(client), dialer),
        lambda: CONFIG,
    )
    async with running(owner):
        yield owner
        # Appends go on only while the owner runs.
        with trio.fail_after(5.0):
            await owner.ledger.barrier().stored.wait()


def _plan(task: TaskName) -> TaskPlan:
    is_long = task.job == _LONG_JOB
    return TaskPlan(_LONG_SECONDS if is_long else 0.3, SMALL)


def _usable(owner: Owner) -> set[str]:
    """Returns the ids of the workers that an owner uses."""
    return {worker.life.id for worker in owner._roster.usable()}


async def _complete(owner: Owner, job: str, width: int = 2) -> None:
    """Submits a job and waits until it has completed."""
    await owner.job_api.submit(job, QUEUE, spec(StepSpec(width, SMALL, 0.3)))
    await _wait_for_job(owner, job)


async def _wait_for_job(owner: Owner, job: str) -> None:
    await wait_until(lambda: owner.job_api.state(job).state == "completed")


async def _wait_until_used(owner: Owner, *ids: str) -> None:
    await wait_until(lambda: set(ids) <= _usable(owner))


async def _check_followed(cell: _Cell, owner: Owner) -> None:
    """Checks that one worker that joins is used, and its leaving noticed."""
    joining = life(70 + cell.epoch)
    cell.join(joining)
    await _wait_until_used(owner, joining.id)
    cell.write(joining.id, None)
    await wait_until(lambda: joining.id not in _usable(owner))


async def _play_new_keys(odd: Iterable[Record]) -> None:
    """Plays two owners with odd entries beside those of good workers."""
    cell = _Cell()
    good = [cell.join(life(number)).life.id for number in range(2)]
    async with cell.owner() as owner:
        await _wait_until_used(owner, *good)
        step = StepSpec(_LONG_TASKS, SMALL, _LONG_SECONDS)
        await owner.job_api.submit(_LONG_JOB, QUEUE, spec(step))
        await wait_until(lambda: len(cell.starts(_LONG_JOB)) == _LONG_TASKS)
        for record in odd:
            cell.write(record.key, record.value)
        await trio.sleep(2.0)
        await _complete(owner, "first")
        await _check_followed(cell, owner)
        assert set(good) <= _usable(owner)
    async with cell.owner() as owner:
        await _wait_until_used(owner, *good)
        await _complete(owner, "second")
        await _check_followed(cell, owner)
        await _wait_for_job(owner, _LONG_JOB)
    _check_runs(cell)


async def _play_replaced(odd: Sequence[bytes]) -> None:
    """Plays two owners with odd entries in the place of a good one."""
    cell = _Cell()
    other = cell.join(life(0)).life.id
    good = life(1)._replace(born=_BORN)
    cell.join(good)
    async with cell.owner() as owner:
        await _wait_until_used(owner, other, good.id)
        step = StepSpec(_LONG_TASKS, SMALL, _LONG_SECONDS)
        await owner.job_api.submit(_LONG_JOB, QUEUE, spec(step))
        await wait_until(lambda: len(cell.starts(_LONG_JOB)) == _LONG_TASKS)
        for value in odd:
            cell.write(good.id, value)
            await trio.sleep(_ODD_SECONDS / len(odd))
        cell.write(good.id, worker_entry(good))
        await _wait_until_used(owner, other, good.id)
        await _check_followed(cell, owner)
        assert set(cell.starts(_LONG_JOB).values()) == {1}
        assert not _count_restarts(owner)
        cell.write(good.id, odd[-1])
        await trio.sleep(1.0)
    async with cell.owner() as owner:
        await _wait_until_used(owner, other)
        await _complete(owner, "second")
        await _check_followed(cell, owner)
        cell.write(good.id, worker_entry(good))
        await _wait_until_used(owner, other, good.id)
        await _wait_for_job(owner, _LONG_JOB)
    _check_runs(cell)


def _count_restarts(owner: Owner) -> int:
    """Returns how many lives an owner took for the next ones of their ids."""
    return sum(count - 1 for count in owner._roster._met_lives.values())


def _check_runs(cell: _Cell) -> None:
    """Checks that no task ran twice."""
    journal = cell.worker_pool.journal
    assert not find_overlapping_starts(journal)
    assert not find_starts_after_success(journal)


def _play(play: Callable[..., Awaitable[None]], *arguments: object) -> None:
    async def run() -> None:
        with mock.patch.object(wall, "now", trio.current_time):
            await play(*arguments)

    run_virtual(run)


def _check_each(kinds: Mapping[str, bytes]) -> None:
    """Plays each kind of entry by itself, in the place of a good one."""
    failed = {}
    for name, value in kinds.items():
        try:
            _play(_play_replaced, [value])
        except (AssertionError, ExceptionGroup) as error:
            failed[name] = repr(error)
    assert not failed, failed


def test_entries_that_cannot_be_read_end_no_owner_beside_good_ones() -> None:
    # An uncaught error of one entry ended the process of each owner in turn.
    kinds = [*_unreadable(_ODD).values(), *_addresses(_ODD).values()]
    records = [Record(f"odd-{n}", value) for n, value in enumerate(kinds)]
    _play(_play_new_keys, records)


def test_entries_that_cannot_be_read_name_no_worker() -> None:
    # One that is taken for a worker is dialled, and its numbers are recorded.
    for name, value in _unreadable(_ODD).items():
        try:
            read_worker(_ODD.id, value)
        except WireError:
            continue
        raise AssertionError(name)


def test_odd_keys_end_no_owner_and_hide_no_worker() -> None:
    # A key that is no id of a worker must not get into headers and records.
    good = worker_entry(_ODD)
    _play(_play_new_keys, [Record(key, good) for key in _ODD_KEYS])


def test_odd_entries_that_are_listed_end_no_owner() -> None:
    # What is dialled and recorded must be readable for the next owner too.
    records = [
        Record(f"odd-{n}", value)
        for n, value in enumerate(_listed(_ODD).values())
    ]
    _play(_play_new_keys, records)


def test_unreadable_entries_in_the_place_of_a_good_one_harm_no_run() -> None:
    # The worker goes on with its runs, and is used again with its next entry.
    kinds = _unreadable(life(1)._replace(born=_BORN))
    _play(_play_replaced, list(kinds.values()))


def test_odd_entries_in_the_place_of_a_good_one_harm_no_run() -> None:
    # A far later `born` locked the living worker out;
    # a negative one had it taken for restarted at each poll.
    _check_each(_listed(life(1)._replace(born=_BORN)))


def test_an_entry_with_the_machine_of_a_good_worker_ends_no_life() -> None:
    # A later `born` ended the life on that VM.
    machine = life(0).machine
    failed = {}
    for born in (0, 1, 2, 10**12, _FUTURE):
        for service in ("stock", "strangers"):
            changes = {"machine_id": machine, "born": born, "backend": service}
            value = _entry(_ODD, **changes)
            try:
                _play(_play_new_keys, [Record(_ODD.id, value)])
            except (AssertionError, ExceptionGroup) as error:
                failed[born, service] = repr(error)
    assert not failed, failed


def test_a_good_entry_that_names_another_machine_ends_no_life() -> None:
    # The worker answers, but so does the one whose VM its entry names.
    good = life(1)._replace(born=_BORN)
    _check_each(
        {
            f"born {born}": _entry(good, machine_id=life(0).machine, born=born)
            for born in (0, 1, 2, _BORN, 10**12, _FUTURE)
        }
    )


async def test_later_lives_are_used_after_an_entry_born_in_the_future() -> None:
    # Each later life of the id was taken for an earlier one, without a line.
    cell = _Cell()
    other = cell.join(life(0)).life.id
    good = life(1)._replace(born=_BORN)
    worker = cell.join(good)
    async with cell.owner() as owner:
        await _wait_until_used(owner, other, good.id)
        cell.write(good.id, _entry(good, born=_FUTURE))
        await trio.sleep(2.0)
        worker.restart()
        await trio.sleep(2.0)
        cell.write(good.id, worker_entry(worker.life))
        await _wait_until_used(owner, other, good.id)
        assert _count_restarts(owner) == 1
        worker.restart()
        cell.write(good.id, worker_entry(worker.life))
        await wait_until(lambda: _count_restarts(owner) == 2)
        await _wait_until_used(owner, other, good.id)
        cell.write(good.id, _entry(good, born=_FUTURE))
    async with cell.owner() as owner:
        await _wait_until_used(owner, other)
        worker.restart()
        cell.write(good.id, worker_entry(worker.life))
        await _wait_until_used(owner, other, good.id)
        await _complete(owner, "last")


@real_time
async def test_odd_addresses_that_are_dialled_end_no_owner() -> None:
    # The call to a port out of range raised an error that ended each owner.
    async with loopback_platform(3) as platform:
        good = [worker.life for worker in platform.workers]
        addresses = (
            good[0].address,
            platform.store_address,
            "0.0.0.0:1",
            "127.0.0.1:1",
            "127.0.0.1:00001",
            "127.0.0.1:0",
            "127.0.0.1:65535",
            "255.255.255.255:80",
            "224.0.0.1:80",
            "240.0.0.1:80",
            "010.0.0.1:80",
            "256.0.0.1:80",
            "999.999.999.999:80",
        )
        values = [_entry(_ODD, address=address) for address in addresses]
        values += _addresses(_ODD).values()
        for number, value in enumerate(values):
            _write(platform, f"odd-{number}", value)
        for epoch in (1, 2):
            client = StoreClient(platform.store_address)
            dialer = HttpWorkerDialer()
            async with _next_owner(client, dialer, epoch) as owner:
                await trio.sleep(1.0)
                await _wait_until_used(owner, *(g.id for g in good))
                await _complete(owner, f"job-{epoch}")
                assert _usable(owner) == {g.id for g in good}
                _write(platform, good[2].id, None)
                while good[2].id in _usable(owner):
                    await trio.sleep(0.05)
                _write(platform, good[2].id, worker_entry(good[2]))
                await _wait_until_used(owner, good[2].id)
        assert not find_overlapping_starts(platform.journal)


@real_time
async def test_entries_with_addresses_of_entry_vms_end_no_vm() -> None:
    # A VM that is called like a worker, perhaps by itself, must go on.
    async with loopback_platform(2) as platform:
        for name in ("vm1", "vm2"):
            async with running_node(platform, name) as (_, values):
                await wait_until_ready(values)
                port = values["internal_ports"].partition(",")[0]
                for number, address in enumerate(
                    (
                        values["listen_addrs.frontend"],
                        values["listen_addrs.ready"],
                        values["test.metrics"],
                        f"{HOST}:{port}",
                    )
                ):
                    entry = _entry(_ODD, address=address)
                    _write(platform, f"odd-{name}-{number}", entry)
                await trio.sleep(0.7)
                caller = Caller(values["listen_addrs.frontend"])
                with trio.fail_after(15.0):
                    reply = await caller.call("POST", PREFIX + name, job_body())
                    assert reply.status < 300, reply
                    while await caller.state(name) != "completed":
                        await trio.sleep(0.05)
        assert not find_overlapping_starts(platform.journal)


@real_time
async def test_an_entry_with_the_address_of_another_worker_harms_no_run() -> (
    None
):
    # The next owner took the answer there for the end of the worker.
    async with loopback_platform(2, seconds=2.0) as platform:
        client = StoreClient(platform.store_address)
        first, second = (worker.life for worker in platform.workers)
        dialer = HttpWorkerDialer()
        async with _next_owner(client, dialer, 1) as owner:
            await _wait_until_used(owner, first.id, second.id)
            step = StepSpec(_LONG_TASKS, SMALL, 2.0)
            await owner.job_api.submit("j", QUEUE, spec(step))
            await wait_until(lambda: len(platform.journal) >= _LONG_TASKS)
            entry = _entry(second, address=first.address)
            _write(platform, second.id, entry)
            await trio.sleep(0.7)
        async with _next_owner(client, dialer, 2) as owner:
            await trio.sleep(1.0)
            _write(platform, second.id, worker_entry(second))
            await _wait_until_used(owner, first.id, second.id)
            await _wait_for_job(owner, "j")
        for worker in platform.workers:
            worker.advance()
        journal = sorted(platform.journal)
        assert not find_overlapping_starts(journal)
        assert not find_starts_after_success(journal)


def _write(platform: LoopbackPlatform, key: str, value: bytes | None) -> None:
    """Appends a record to the list of workers."""
    platform.store.topic("servers").append([Record(key, value)])
