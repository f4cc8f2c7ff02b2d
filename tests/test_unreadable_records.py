"""Tests that whatever other processes write ends no reader."""

from collections.abc import Callable
import json

from hypothesis import given, settings
from hypothesis import strategies as st
import msgspec
import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway.cluster import Cluster
from pimentocross.links.http_pool import HttpPool
from pimentocross.owner.former_leases import FormerLeases, Predecessor
from pimentocross.owner.intake import submission_key
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.terms import OwnerTerms
from pimentocross.platform.topics import WorkerTopic
from pimentocross.platform.wire import (
    WireError,
    read_config,
    read_hold,
    read_refusal,
    read_submission,
    read_worker,
)
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.users_platform import worker_entry
from pimentocross.work import records
from pimentocross.work.records import RecordError
from pimentocross.work.spec import JobSpec, StepSpec
from pimentocross.work.state import Job
from tests.owner_fixtures import (
    QUEUE,
    SMALL,
    chain,
    life,
    make_owner,
    make_worker_pool,
    running,
    spec,
    wait_until,
)
from tests.platform_fixtures import (
    PREFIX,
    loopback_platform,
    running_node,
    wait_until_ready,
)
from tests.test_http import real_time

_DEPTH = 2_000
_NESTED_JSON = b'{"note":' + b"[" * _DEPTH
_NESTED_MSGPACK = b"\x91" * _DEPTH + b"\x90"
_ID = life(0).id
_ENTRY = json.loads(worker_entry(life(0)))
_STEP_NUMBERS = (
    "count",
    "cpu",
    "mem_mb",
    "gpus",
    "estimated_ms",
    "anti_affinity",
    "target_ms",
    "max_unavailable",
)


def _read_worker(value: bytes) -> object:
    return read_worker(_ID, value)


_JSON_DECODERS: tuple[Callable[[bytes], object], ...] = (
    _read_worker,
    read_config,
    read_submission,
    read_hold,
)
_RECORD_DECODERS: tuple[Callable[[bytes], object], ...] = (
    records.decode_learned,
    records.decode_late_starts,
    records.decode_silent_life,
    records.decode_resent_starts,
    records.decode_lived_runs,
    records.decode_worker_ends,
    records.decode_leases,
    records.decode_witnesses,
    records.decode_worker,
    records.decode_born,
    lambda value: records.decode_submission("j", value),
    lambda value: records.decode_progress(Job("j", QUEUE, chain(), 0), value),
    lambda value: records.decode_crashes(Job("j", QUEUE, chain(), 0), value),
)


def _is_refused(
    decode: Callable[[bytes], object],
    value: bytes,
    error: type[Exception],
) -> bool:
    try:
        decode(value)
    except error:
        return True
    return False


def test_an_entry_of_nested_lists_ends_no_reader_of_the_directory() -> None:
    # An uncaught RecursionError ended the process of each owner in turn.
    async def read() -> list[str]:
        store = StoreStandin()
        topic = WorkerTopic(store.client("reader"))
        writer = store.client("writer")
        other = life(1)
        for record in (
            Record(_ID, _NESTED_JSON),
            Record(other.id, worker_entry(other)),
        ):
            await writer.append("servers", [record], 1.0)
        return [listed.id for listed in await topic.poll(1.0)]

    assert trio.run(read) == [life(1).id]


def test_nested_values_are_refused_by_each_decoder() -> None:
    for decode in _JSON_DECODERS:
        for value in (_NESTED_JSON, _NESTED_JSON + b"]" * _DEPTH + b"}"):
            assert _is_refused(decode, value, WireError), decode
    assert read_refusal(_NESTED_JSON).reason
    for decode_record in _RECORD_DECODERS:
        assert _is_refused(decode_record, _NESTED_MSGPACK, RecordError)


def test_numbers_that_no_record_can_hold_are_refused() -> None:
    # An uncaught OverflowError of the encoder ended the process.
    for number in (2**64, -(2**63) - 1, 10**300, 1e300):
        text = f"{number}".encode()
        entry = {**_ENTRY, "born": number}
        assert _is_refused(_read_worker, json.dumps(entry).encode(), WireError)
        for field in _STEP_NUMBERS:
            body = b'{"job_steps":[{"%s":%s}]}' % (field.encode(), text)
            assert _is_refused(read_submission, body, WireError), field
            # Numbers of submissions may also be given as strings.
            body = b'{"job_steps":[{"%s":"%s"}]}' % (field.encode(), text)
            assert _is_refused(read_submission, body, WireError), field
        for field in ("repeat_count", "start_at_ms", "interval_ms"):
            body = b'{"job_steps":[{}],"%s":%s}' % (field.encode(), text)
            assert _is_refused(read_submission, body, WireError), field
        for listing in (
            b'{"clock_ms":%s}',
            b'{"clock_ms":1,"born":%s}',
            b'{"clock_ms":1,"running":[["j.0.0.0",%s,"",0,0]]}',
            b'{"clock_ms":1,"running":[["j.0.0.0",1,"",%s,"0"]]}',
            b'{"clock_ms":1,"completions":[[%s,"j.0.0.0",1,"done",""]]}',
            b'{"clock_ms":1,"completions":[[1,"j.0.0.0",%s,"done",""]]}',
        ):
            assert _is_refused(read_hold, listing % text, WireError), listing


def test_times_that_are_no_numbers_are_refused() -> None:
    for text in (b'"nan"', b'"inf"', b'"-inf"'):
        for body in (
            b'{"job_steps":[{"estimated_ms":%s}]}',
            b'{"job_steps":[{}],"repeat_count":1,"start_at_ms":%s}',
            b'{"job_steps":[{}],"repeat_count":1,"interval_ms":%s}',
        ):
            assert _is_refused(read_submission, body % text, WireError), text


def test_an_address_without_a_valid_port_names_no_worker() -> None:
    # The call to such a worker raised OverflowError, which ended the owner.
    for port in (65_536, 99_999):
        entry = {**_ENTRY, "address": f"10.0.0.1:{port}"}
        assert _is_refused(_read_worker, json.dumps(entry).encode(), WireError)


def test_names_that_no_record_can_hold_are_refused() -> None:
    # The owner's estimates name the images of submissions.
    for field in ("image", "requirements", "affinity"):
        body = {"job_steps": [{field: "x" * 100_000}]}
        assert _is_refused(
            read_submission, json.dumps(body).encode(), WireError
        )


@real_time
async def test_a_submission_with_a_huge_integer_is_refused() -> None:
    async with loopback_platform(1) as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            pool = HttpPool(values["listen_addrs.frontend"])
            body = b'{"job_steps":[{"cpu":18446744073709551616}]}'
            reply = await pool.call("POST", f"{PREFIX}j", body, 3.0)
            assert reply.status == 400, reply


@settings(deadline=None, max_examples=200)
@given(st.binary(max_size=200))
def test_any_bytes_are_refused_or_decoded(value: bytes) -> None:
    for decode in _JSON_DECODERS:
        _is_refused(decode, value, WireError)
    for decode_record in _RECORD_DECODERS:
        _is_refused(decode_record, value, RecordError)


def test_a_record_of_a_job_that_no_memory_holds_is_refused() -> None:
    # Each owner that read it made its tasks, and was over its memory.
    for changed in (
        spec(StepSpec(2**31, SMALL)),
        spec(StepSpec(1, SMALL))._replace(repeats=2**40),
        spec(StepSpec(1, SMALL, after=(5,))),
        spec(),
    ):
        value = records.encode_accepted(QUEUE, changed, 0.0)
        assert _is_refused(
            lambda value: records.decode_submission("j", value),
            value,
            RecordError,
        )


def test_progress_of_occurrences_that_a_job_has_not_is_refused() -> None:
    timed = JobSpec("s", chain().steps, 100, 0.0, 1.0)
    for closed in (((0, 2**52),), ((-5, 3),), ((7, 3),), ((0, 3), (2, 5))):
        record = records.ProgressRecord(1, "running", 0.0, (), closed)
        value = msgspec.msgpack.encode(record)
        assert _is_refused(
            lambda value: records.decode_progress(
                Job("j", QUEUE, timed, 0.0), value
            ),
            value,
            RecordError,
        )


async def test_a_recorded_lease_of_any_length_is_not_waited_for() -> None:
    ledger = Ledger(StoreStandin().client("a"), "jobs", "o", 2)
    leases = FormerLeases(
        2, (Predecessor(1, False),), OwnerTerms(), ledger, quiet=False
    )
    row = records.LeaseRow(1, 1e9, False)
    leases.restore(records.encode_leases(1, [row], []))
    leases.begin()
    leases.apply_former_record()
    longest = OwnerTerms().unreleased_lease_most
    assert leases.until(1) <= trio.current_time() + longest


async def test_a_nested_record_of_a_job_ends_no_owner_in_turn() -> None:
    store, worker_pool = StoreStandin(), make_worker_pool(1)
    writer = store.client("writer")
    for topic, key in (
        ("jobs", records.PROGRESS + "j"),
        ("jobs", records.SUBMISSION + "k"),
        ("jobs", records.LEASES),
        ("jobs", records.WITNESSES),
        ("jobs", records.NEXT_LIVES),
        ("intake", submission_key("l")),
    ):
        await writer.append(topic, [Record(key, _NESTED_MSGPACK)], 1.0)
    for epoch in (1, 2):
        async with running(make_owner(store, worker_pool, epoch)) as owner:
            job_id = f"job-{epoch}"
            await owner.job_api.submit(job_id, QUEUE, spec(StepSpec(1, SMALL)))
            await wait_until(
                lambda owner=owner, job_id=job_id: (  # type: ignore[misc]
                    owner.job_api.state(job_id).state == "completed"
                )
            )


async def test_nested_records_of_the_cluster_end_no_vm() -> None:
    store = StoreStandin()
    writer = store.client("writer")
    for key in ("m/x", "cores/x", "claim/cell-0"):
        await writer.append("cluster", [Record(key, _NESTED_MSGPACK)], 1.0)
    cluster = Cluster(store.client("reader"))
    await cluster.refresh(0.0)
    assert not cluster.members and cluster.claim is None


@real_time
async def test_a_submission_of_nested_lists_is_refused() -> None:
    async with loopback_platform(1) as platform:
        async with running_node(platform, "vm1") as (_, values):
            await wait_until_ready(values)
            pool = HttpPool(values["listen_addrs.frontend"])
            body = b'{"job_steps":[{}],"note":' + b"[" * _DEPTH
            reply = await pool.call("POST", f"{PREFIX}j", body, 3.0)
            assert reply.status == 400, reply
