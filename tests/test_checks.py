"""Tests that each check of the cluster's guarantees detects a violation.

A check that never fails would hide violations in all tests that rely on it.
"""

from pimentocross.backing.workers import Resources
from pimentocross.standins.checks import (
    find_concurrent_runs,
    find_duplicate_requests,
    find_overcommitted_workers,
    find_wrongly_refused,
    finished_tasks,
    read_runs,
)
from pimentocross.standins.journal import JournalEntry, JournalEvent


def _entry(
    at: float, machine: str, event: JournalEvent, subject: str, detail: str = ""
) -> JournalEntry:
    kind = "request" if event is JournalEvent.SERVED else "batch"
    attempt = "POST" if event is JournalEvent.SERVED else f"1.{machine}"
    return JournalEntry(
        at, machine, machine, event, kind, subject, attempt, detail, (9.0, 9)
    )


_STARTED, _ENDED = JournalEvent.STARTED, JournalEvent.ENDED


def test_two_places_at_once_are_found() -> None:
    entries = [
        _entry(1, "w0", _STARTED, "t"),
        _entry(5, "w0", _ENDED, "t", "lapsed"),
        _entry(4, "w1", _STARTED, "t"),
    ]
    assert find_concurrent_runs(read_runs(entries, {}))
    assert not find_concurrent_runs(read_runs(entries, {"w0": 3.0}))
    entries[2] = entries[2]._replace(at=5.5)
    assert not find_concurrent_runs(read_runs(entries, {}))


def test_over_commit_is_found() -> None:
    entries = [_entry(1, "w0", _STARTED, "t")]
    assert find_overcommitted_workers(entries, Resources(8, 9, 0, 8))
    assert not find_overcommitted_workers(entries, Resources(9, 9, 0, 8))


def test_orders_run_twice_and_false_refusals_are_found() -> None:
    served = _entry(1, "w0", JournalEvent.SERVED, "k")
    assert not find_duplicate_requests([served])
    assert find_duplicate_requests([served, served._replace(machine="w1")])
    assert find_wrongly_refused([served], ["k"])
    assert not find_wrongly_refused([served], ["other"])


def test_finishes_are_counted() -> None:
    entries = [
        _entry(1, "w0", _STARTED, "t"),
        _entry(2, "w0", _ENDED, "t", "finished"),
        _entry(3, "w1", _STARTED, "t"),
        _entry(4, "w1", _ENDED, "t", "finished"),
    ]
    assert finished_tasks(read_runs(entries, {}))["t"] == 2
