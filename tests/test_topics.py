"""Tests of the platform's topics after records have expired or an outage.

A reader whose position has expired starts over with the newest record of each
key. Guards against a directory that only adds these workers to those it knew
before: a worker whose removal had expired with other records stayed listed.
"""

import trio

from pimentocross.contracts.store import Record, StoreUnavailableError
from pimentocross.owner import const
from pimentocross.platform.topics import WorkerTopic
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.users_platform import worker_entry
from tests.owner_fixtures import life

# Seconds after which a worker that announces its drain must get no more starts,
# as the users' documentation demands.
_MAX_DRAIN_LAG = 2.0


async def _append_entries(store: StoreStandin, *records: Record) -> None:
    await store.client("worker").append("servers", list(records), 1.0)


def _entry(number: int) -> Record:
    return Record(life(number).id, worker_entry(life(number)))


async def test_a_worker_whose_removal_has_expired_is_not_listed() -> None:
    store = StoreStandin()
    directory = WorkerTopic(store.client("vm"))
    await _append_entries(store, _entry(0), _entry(1))
    assert len(await directory.poll(1.0)) == 2
    await _append_entries(store, Record(life(0).id, None), _entry(2))
    store.forget_history("servers")
    listed = await directory.poll(1.0)
    assert {worker.id for worker in listed} == {life(1).id, life(2).id}


async def test_the_directory_is_read_in_time_after_an_outage() -> None:
    """The delay holds at whatever moment of a poll the outage ends.

    A worker that is about to leave must get no start after 2.0 s.
    """
    for step in range(40):
        store = StoreStandin()
        directory = WorkerTopic(store.client("vm"))
        await _append_entries(store, _entry(0))
        await directory.poll(const.ROSTER_TIMEOUT)
        store.faults.away = True
        away_for = step * 0.1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_recover_after, store, away_for)
            began = trio.current_time()
            await _poll_until_answered(directory)
            assert trio.current_time() - began - away_for < _MAX_DRAIN_LAG


async def _poll_until_answered(directory: WorkerTopic) -> None:
    """Polls with the timeout and interval of an owner."""
    while True:
        try:
            await directory.poll(const.ROSTER_TIMEOUT)
        except StoreUnavailableError:
            await trio.sleep(const.ROSTER_INTERVAL)
        else:
            return


async def _recover_after(store: StoreStandin, seconds: float) -> None:
    await trio.sleep(seconds)
    store.faults.away = False
