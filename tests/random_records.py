"""Random records of other writers and versions in all topics.

An owner runs jobs and stores its records. Then records are changed at random,
as a version with other fields or a faulty writer would write them, and owners
take over one after the other. None of them may end, and what callers submit
has to run.

    python -m tests.random_records FIRST AFTER
"""

from collections.abc import Callable
import json
import random
import sys
from typing import Any
from unittest import mock

import msgspec
import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway.cluster import Cluster, claim_record, member_record
from pimentocross.owner import wall
from pimentocross.platform.topics import OperatorTopic, WorkerTopic
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import TaskPlan
from pimentocross.standins.users_platform import operator_config, worker_entry
from pimentocross.work.spec import JobSpec, StepSpec
from tests import run_virtual
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

_OWNERS = 3
# Records that are changed before each take-over.
_CHANGES = 12
_SECONDS = 20.0


def _odd_value(draw: random.Random) -> Any:
    """Returns a value that a field may hold by mistake."""
    nested: Any = []
    for _ in range(draw.choice((1, 50, 400))):
        nested = [nested]
    return draw.choice(
        (
            None,
            True,
            -1,
            0,
            2**31,
            2**53 + 1,
            2**63 - 1,
            2**64 - 1,
            -(2**63),
            1e308,
            float("inf"),
            float("nan"),
            "",
            "x" * 300,
            "é" * 20_000,
            b"\xff" * 9,
            [],
            {},
            nested,
        )
    )


def _change(draw: random.Random, value: Any) -> Any:
    """Returns decoded data with a random part replaced."""
    if not isinstance(value, list | dict) or not value or draw.random() < 0.1:
        return _odd_value(draw)
    if isinstance(value, dict):
        key = draw.choice(sorted(value))
        return {**value, key: _change(draw, value[key])}
    index = draw.randrange(len(value))
    changed = [*value[:index], _change(draw, value[index]), *value[index + 1 :]]
    if draw.random() < 0.1:
        del changed[-1]
    return changed


def _change_record(
    draw: random.Random,
    value: bytes,
    decode: Callable[[bytes], Any],
    encode: Callable[[Any], bytes],
) -> bytes:
    """Returns a record with changed bytes or a changed field."""
    chance = draw.random()
    if chance < 0.1:
        return draw.randbytes(draw.randrange(60))
    if chance < 0.2:
        at = draw.randrange(len(value) + 1)
        return value[:at] + draw.choice((b"\x91", b"[", b"{")) * 3_000
    try:
        return encode(_change(draw, decode(value)))
    except (
        msgspec.MsgspecError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return value[: draw.randrange(len(value) + 1)]


def _change_topic(
    draw: random.Random, store: StoreStandin, topic: str, *, is_json: bool
) -> None:
    """Appends changed records, under their keys or under new ones."""
    newest = {r.key: r for r in store.topic(topic).records if r.value}
    if not newest:
        return
    for _ in range(_CHANGES):
        record = newest[draw.choice(sorted(newest))]
        assert record.value is not None
        value = _change_record(
            draw,
            record.value,
            json.loads if is_json else msgspec.msgpack.decode,
            _encode_json if is_json else msgspec.msgpack.encode,
        )
        key = record.key
        if draw.random() < 0.5:
            key = key[:1] + draw.choice(("odd", "7", "é", ""))
        store.topic(topic).append([Record(key, value)])


def _encode_json(value: Any) -> bytes:
    return json.dumps(value).encode()


async def _read_topics(store: StoreStandin) -> None:
    """Reads all topics like an entry VM."""
    client = store.client("reader")
    await WorkerTopic(client).poll(1.0)
    await OperatorTopic(client).next_config(0.0, 1.0)
    await Cluster(client).refresh(0.0)


async def _write_valid(store: StoreStandin) -> None:
    writer = store.client("writer")
    for number in range(3):
        entry = worker_entry(life(number))
        await writer.append("servers", [Record(life(number).id, entry)], 1.0)
    config = operator_config(1, {"/plans/": "stock"})
    await writer.append("op", [Record("config", config)], 1.0)
    member = member_record("vm", "vm:1", "127.0.0.1:1", 0.5)
    claim = claim_record("vm", "vm:1", "127.0.0.1:1")
    await writer.append(
        "cluster",
        [
            Record("m/vm", msgspec.msgpack.encode(member)),
            Record("claim/cell-0", msgspec.msgpack.encode(claim)),
        ],
        1.0,
    )


async def _play(seed: int) -> None:
    draw = random.Random(seed)
    store = StoreStandin(seed)
    worker_pool = make_worker_pool(3, lambda _: TaskPlan(0.5, SMALL))
    await _write_valid(store)
    timed = JobSpec("x", chain(2, 1).steps, 200, 0.0, 1.0)
    saving = spec(StepSpec(3, SMALL, 0.5, saves=True, gang=True))
    lasting = spec(StepSpec(1, SMALL, lasting=True))
    for epoch in range(1, _OWNERS + 1):
        async with running(make_owner(store, worker_pool, epoch)) as owner:
            for name, job in (
                ("timed", timed),
                ("gang", saving),
                ("lasting", lasting),
                ("chain", chain()),
            ):
                await owner.job_api.submit(f"{name}-{epoch}", QUEUE, job)
            await wait_until(
                lambda owner=owner, epoch=epoch: (  # type: ignore[misc]
                    owner.job_api.state(f"chain-{epoch}").state == "completed"
                ),
                _SECONDS,
            )
            await trio.sleep(draw.uniform(0.0, 3.0))
        value = store.topic("jobs").records
        accepted = [r for r in value if r.key.startswith("j") and r.value]
        store.topic("intake").append(
            [draw.choice(accepted)._replace(key=f"jtaken-{epoch}")]
        )
        for topic in ("jobs", "intake", "cluster"):
            _change_topic(draw, store, topic, is_json=False)
        for topic in ("servers", "op"):
            _change_topic(draw, store, topic, is_json=True)
        await _read_topics(store)


def play(seed: int) -> None:
    """Plays one seed; raises if an owner ends or a job doesn't run."""

    async def run() -> None:
        with mock.patch.object(wall, "now", trio.current_time):
            await _play(seed)

    run_virtual(run, seed)


def main() -> int:
    """Plays the seeds from the first argument up to the second."""
    first, after = (int(word) for word in sys.argv[1:3])
    failed = 0
    for seed in range(first, after):
        try:
            play(seed)
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {error!r}", flush=True)
    print(f"{after - first - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
