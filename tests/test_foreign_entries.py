"""Tests that invalid entries of other writers list no worker."""

from collections.abc import Sequence
import json
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
import trio

from pimentocross.contracts.store import Record
from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.owner import wall
from pimentocross.platform.store import StoreClient, _read_page
from pimentocross.platform.topics import WorkerTopic
from pimentocross.platform.wire import WireError, read_worker
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskWorkerStandin
from pimentocross.standins.users_platform import worker_entry
from pimentocross.standins.worker_pool import WorkerPoolAccess
from pimentocross.work.spec import Size, StepSpec
from tests import run_virtual
from tests.owner_fixtures import (
    QUEUE,
    life,
    make_owner,
    make_worker_pool,
    quick,
    running,
    spec,
)
from tests.platform_fixtures import loopback_platform
from tests.test_http import real_time

_VALID = json.loads(worker_entry(life(0)))
_ID = life(0).id
# Changes to a valid entry, each of which makes it invalid.
_INVALID_CHANGES: list[dict[str, object]] = [
    {"backend": 7},
    {"backend": ""},
    {"backend": None},
    {"address": None},
    {"address": 5},
    {"address": "somewhere"},
    {"zone": ["a"]},
    {"state": "retired"},
    {"state": 1},
    {"capacity": {}},
    {"capacity": {"cpu": "many", "mem_mb": 1}},
    {"capacity": {"cpu": -1, "mem_mb": 1}},
    {"capacity": {"cpu": 1, "mem_mb": 10**30}},
    {"capacity": [1, 2]},
    {"labels": "a"},
    {"labels": [1]},
    {"remaining_ms": -5},
    {"remaining_ms": "long"},
]
_REQUIRED_FIELDS = ("backend", "address", "zone", "state", "capacity", "labels")


def _listed(records: Sequence[Record]) -> list[WorkerLife]:
    """Returns the listed worker lives after the records are appended."""

    async def read() -> list[WorkerLife]:
        store = StoreStandin()
        topic = WorkerTopic(store.client("reader"))
        await topic.poll(1.0)
        for record in records:
            await store.client("w").append("servers", [record], 1.0)
        return await topic.poll(1.0)

    return trio.run(read)


def _after(value: bytes) -> list[str]:
    """Returns the listed ids after a value replaces a valid entry."""
    other = life(1)
    records = [
        Record(_ID, worker_entry(life(0))),
        Record(other.id, worker_entry(other)),
        Record(_ID, value),
    ]
    return [listed.id for listed in _listed(records)]


def test_a_broken_entry_names_no_worker_and_the_others_hold() -> None:
    for change in _INVALID_CHANGES:
        value = json.dumps({**_VALID, **change}).encode()
        assert _after(value) == [life(1).id], change
    for missing in _REQUIRED_FIELDS:
        entry = {key: v for key, v in _VALID.items() if key != missing}
        assert _after(json.dumps(entry).encode()) == [life(1).id], missing


def test_values_of_no_entry_at_all_name_no_worker() -> None:
    for value in (b"\xff\xfe", b"[]", b"{}", b"null", b"7", b'{"a":"\xff"}'):
        assert _after(value) == [life(1).id], value


def test_a_good_entry_after_a_broken_one_lists_the_worker_again() -> None:
    good = Record(_ID, worker_entry(life(0)))
    listed = _listed([good, Record(_ID, b"null"), good])
    assert [found.id for found in listed] == [_ID]


@settings(deadline=None, max_examples=200)
@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(value: bytes) -> None:
    try:
        found = read_worker(_ID, value)
    except WireError:
        return
    assert isinstance(found, WorkerLife)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


@settings(deadline=None, max_examples=200)
@given(st.sampled_from(sorted(_VALID)), _JSON)
def test_any_field_of_any_type_is_read_or_refused(
    field: str, value: object
) -> None:
    entry = json.dumps({**_VALID, field: value}).encode()
    try:
        found = read_worker(_ID, entry)
    except WireError:
        return
    assert found.capacity.cpu > 0 and found.capacity.memory > 0
    assert found.remaining >= 0


@real_time
async def test_records_with_keys_that_are_no_text_hide_no_others() -> None:
    # A reader over HTTP must neither stop nor miss the records that follow.
    async with loopback_platform(1) as platform:
        client = StoreClient(platform.store_address)
        topic = WorkerTopic(client)
        assert len(await topic.poll(1.0)) == 1
        end = (await client.newest("servers", 1.0)).end
        frames = b"".join(
            len(content).to_bytes(4, "big") + content
            for content in (b"\x02\xff\xfe{}", b"", b"\x09ab", b"\x00{}")
        )
        bounds = (end + 4).to_bytes(8, "big") + (0).to_bytes(8, "big")
        body = bounds + frames
        read = client._call

        async def call(*arguments: object) -> object:
            reply = await read(*arguments)  # type: ignore[arg-type]
            return reply._replace(body=body)

        with mock.patch.object(client, "_call", call):
            page = await client.read("servers", end, 0.0, 1.0)
        assert len(page.records) == 4
        for record in page.records:
            topic._apply_record(record)
        assert len(await topic.poll(1.0)) == 1


@settings(
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(st.binary(max_size=40), max_size=5))
def test_any_records_of_a_page_are_counted(contents: list[bytes]) -> None:
    frames = b"".join(len(c).to_bytes(4, "big") + c for c in contents)
    bounds = len(contents).to_bytes(8, "big") + (0).to_bytes(8, "big")
    page = _read_page(bounds + frames, 0)
    assert [r.offset for r in page.records] == list(range(len(contents)))


def test_an_owner_calls_no_worker_of_a_service_that_is_not_configured() -> None:
    worker_pool = make_worker_pool(1)
    stranger = life(1)._replace(service="strangers")
    worker_pool.add(
        TaskWorkerStandin(stranger, quick, worker_pool.journal, seed=1)
    )

    called: set[str] = set()
    link = WorkerPoolAccess.link

    def note_link(access: WorkerPoolAccess, called_life: WorkerLife) -> object:
        called.add(called_life.id)
        return link(access, called_life)

    async def play() -> None:
        with (
            mock.patch.object(wall, "now", trio.current_time),
            mock.patch.object(WorkerPoolAccess, "link", note_link),
        ):
            async with running(
                make_owner(StoreStandin(), worker_pool, 1)
            ) as owner:
                step = StepSpec(4, Size(1000, 500, 0), 0.2)
                await owner.job_api.submit("j", QUEUE, spec(step))
                await trio.sleep(3.0)

    run_virtual(play)
    assert called == {life(0).id}, called
