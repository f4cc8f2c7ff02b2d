"""Tests that the owner's records are stored soon after a store outage.

The ledger waited for the timeout of 1.5 s of an append that the store never
got, also after the store was back, and the owner accepted and started nothing
meanwhile. `test_config_current` guards against the same cause.

    52.493  log-append, no answer        (the store is back at 54.0)
    54.094  log-append: 200
"""

import trio

from pimentocross.owner.ledger import LazyRecord, Ledger
from pimentocross.standins.store import StoreStandin
from pimentocross.work import records
from pimentocross.work.limits import DEFAULT_RECORD_BYTES

# Seconds within which callers of short jobs expect them to start.
_MAX_RECORD_SECONDS = 1.0
# Bytes per second that the link of a weak VM carries.
_SLOW_LINK = 625_000.0
_LARGE_RECORDS = 240
_LARGE_RECORD_BYTES = 4_000


def _record(key: str) -> LazyRecord:
    return LazyRecord(key, lambda: b"value")


async def test_records_are_stored_in_time_after_an_outage() -> None:
    """The outage ends at different points of an append's timeout."""
    for step in range(40):
        store = StoreStandin()
        ledger = Ledger(store.client("vm"), "jobs", "owner", 1)
        async with trio.open_nursery() as nursery:
            await ledger.open()
            nursery.start_soon(ledger.run)
            store.faults.away = True
            ledger.put(_record("a"))
            await trio.sleep(4.0 + step * 0.1)
            store.faults.away = False
            began = trio.current_time()
            await ledger.put(_record("b")).stored.wait()
            assert trio.current_time() - began < _MAX_RECORD_SECONDS
            nursery.cancel_scope.cancel()
        keys = [r.key for r in store.topic("jobs").records if r.value]
        assert keys == ["a", "b"]


async def test_an_append_that_is_asked_again_is_done_once() -> None:
    """Answers are slow or lost, and some appends are applied late."""
    for seed in range(20):
        store = StoreStandin(seed)
        ledger = Ledger(store.client("vm"), "jobs", "owner", 1)
        async with trio.open_nursery() as nursery:
            await ledger.open()
            nursery.start_soon(ledger.run)
            store.faults.delay = 0.5
            store.faults.lost = store.faults.late = 0.3
            for number in range(20):
                await ledger.put(_record(f"r{number}")).stored.wait()
            await trio.sleep(10.0)
            nursery.cancel_scope.cancel()
        keys = [r.key for r in store.topic("jobs").records if r.value]
        assert keys == [f"r{number}" for number in range(20)], seed


async def test_many_records_are_stored_over_a_slow_link() -> None:
    """One append of them all took longer than its timeout, again and again."""
    store = StoreStandin()
    ledger = Ledger(store.client("vm"), "jobs", "owner", 1)
    async with trio.open_nursery() as nursery:
        await ledger.open()
        nursery.start_soon(ledger.run)
        store.faults.link_bytes_per_s = _SLOW_LINK
        for number in range(_LARGE_RECORDS):
            stored = ledger.put(
                LazyRecord(f"r{number}", lambda: b"x" * _LARGE_RECORD_BYTES)
            ).stored
        seconds = _LARGE_RECORDS * _LARGE_RECORD_BYTES / _SLOW_LINK
        with trio.fail_after(seconds + _MAX_RECORD_SECONDS):
            await stored.wait()
        nursery.cancel_scope.cancel()


async def test_a_record_that_the_store_refuses_holds_up_no_other() -> None:
    # The append was repeated for ever, and each successor did the same.
    store = StoreStandin()
    too_long = LazyRecord("long", lambda: b"x" * DEFAULT_RECORD_BYTES)
    for epoch in (1, 2):
        ledger = Ledger(store.client("vm"), "jobs", "owner", epoch)
        async with trio.open_nursery() as nursery:
            await ledger.open()
            nursery.start_soon(ledger.run)
            with trio.fail_after(_MAX_RECORD_SECONDS):
                ledger.put(too_long)
                await ledger.put(_record(f"a{epoch}")).stored.wait()
                await ledger.put(_record(f"b{epoch}")).stored.wait()
            nursery.cancel_scope.cancel()
    keys = [r.key for r in store.topic("jobs").records if r.value]
    assert keys == ["a1", "b1", "a2", "b2"], keys


def test_estimates_about_any_number_of_images_fit_into_a_record() -> None:
    names = [f"{number:0256}" for number in range(60)]
    pairs = [(a, b, 1.0, 1.0) for a in names for b in names]
    value = records.encode_learned(pairs, {"q": 1.0})
    kept = records.decode_learned(value).pairs
    assert len(value) <= DEFAULT_RECORD_BYTES
    assert kept and kept[-1] == pairs[-1]
