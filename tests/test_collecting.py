"""An entry VM's process looks for cycles seldom, and an owner in little.

An owner of 246 workers and some hundred jobs takes in so many runs that Python,
by its own settings, looked for cycles thirty times a second, and once in four
seconds through all that it holds: 0.23 of the 1.95 ms that a run cost it, and
0.1 s at once in which nothing else was done. With all jobs that a large cell
remembers, a full collection stopped it for longer than peers wait.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import gc
from pathlib import Path
import tempfile
from unittest import mock
import weakref

import trio

from pimentocross.contracts.store import Record
from pimentocross.owner import wall
from pimentocross.owner.collector import survivors_left_out
from pimentocross.owner.jobs import JobBook
from pimentocross.owner.ledger import Ledger
from pimentocross.platform import __main__ as process
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.state import Job, JobState
from tests.owner_fixtures import QUEUE, chain, make_hall, make_owner, running
from tests.platform_fixtures import write_settings

_MADE = 100_000
_JOBS = 300
# Objects that an owner of little and its stand-ins are made of; the jobs are
# many times as many.
_LOOKED_THROUGH_MOST = 4_000


@contextmanager
def _settings_kept() -> Iterator[None]:
    thresholds = gc.get_threshold()
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def _collections() -> int:
    return sum(generation["collections"] for generation in gc.get_stats())


def test_an_entry_vm_looks_for_cycles_seldom() -> None:
    seen: list[int] = []

    def run(*_: object) -> None:
        gc.collect()
        before = _collections()
        kept = [[number] for number in range(_MADE)]
        seen.append(_collections() - before)
        assert len(kept) == _MADE

    with tempfile.TemporaryDirectory() as folder, _settings_kept():
        path = Path(folder) / "settings"
        write_settings(path, "a", "127.0.0.1:1")
        with (
            mock.patch.object(process, "settings_path", lambda: path),
            mock.patch.object(process, "enable"),
            mock.patch.object(trio, "run", run),
        ):
            assert process.main() == 0
    assert seen
    assert seen[0] <= 12, seen


def test_full_collections_look_through_little_however_much_there_is() -> None:
    looked_through: list[int] = []

    def note(phase: str, info: dict[str, int]) -> None:
        if phase == "start" and info["generation"] == 2:
            looked_through.append(len(gc.get_objects()))

    gc.collect()
    with _settings_kept(), survivors_left_out():
        process.configure_collector()
        gc.freeze()
        gc.callbacks.append(note)
        kept = [[number] for number in range(10 * _MADE)]
        gc.callbacks.remove(note)
    assert len(kept) == 10 * _MADE
    assert len(looked_through) > 1
    assert max(looked_through) < 1.5 * _MADE, looked_through


def _submissions() -> list[Record]:
    jobs = [Job(f"old{n}", QUEUE, chain(), wall.now()) for n in range(_JOBS)]
    for job in jobs:
        job.cancel(wall.now())
    encoded = [
        (records.SUBMISSION + job.id, records.encode_submission(job))
        for job in jobs
    ]
    encoded += [
        (records.PROGRESS + job.id, records.encode_progress(job))
        for job in jobs
    ]
    return [Record(key, value) for key, value in encoded]


async def test_an_owner_looks_for_cycles_only_in_what_is_new() -> None:
    store = StoreStandin()
    store.append_now("jobs", _submissions(), None, None)
    owner = make_owner(store, make_hall(), 1)
    gc.collect()
    async with running(owner):
        taken_over = len(gc.get_objects())
        for number in range(_JOBS):
            job = f"new{number}"
            await owner.desk.submit(job, QUEUE, chain())
            await owner.desk.cancel(job)
        # The first looks through these jobs, and no later one does.
        gc.collect()
        grown = len(gc.get_objects())
    assert taken_over < _LOOKED_THROUGH_MOST, taken_over
    assert grown < _LOOKED_THROUGH_MOST, grown


async def test_what_an_owner_left_is_collected_under_the_next() -> None:
    was_enabled = gc.isenabled()
    async with running(make_owner(StoreStandin(), make_hall(), 1)) as owner:
        await owner.desk.submit("j", QUEUE, chain())
        kept = [o for o in gc.get_objects() if isinstance(o, Job)]
        left = [weakref.ref(job) for job in kept if job.id == "j"]
        del kept
        gc.collect()
    # No collection comes between the two.
    gc.disable()
    try:
        owner = make_owner(StoreStandin(), make_hall(), 1)
        async with running(owner):
            assert [job for job in left if job() is not None]
            gc.collect()
            assert not [job for job in left if job() is not None]
    finally:
        if was_enabled:
            gc.enable()
    assert not gc.get_freeze_count()


def test_a_job_that_is_forgotten_is_freed_without_a_look_for_cycles() -> None:
    ledger = Ledger(StoreStandin().client("a"), "jobs", "owner", 1)
    book = JobBook(ledger, 0.0)
    book.accept("j", QUEUE, chain())
    job = book.find("j")
    assert job is not None
    book.cancel(job)
    job.recorded_state = JobState.CANCELLED
    job.ended_at -= 1.0
    kept = weakref.ref(job)
    del job
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        book.sweep()
        assert kept() is None
    finally:
        if was_enabled:
            gc.enable()
