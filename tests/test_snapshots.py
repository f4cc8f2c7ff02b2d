"""Tests that states survive dumps as JSON and the expiry of log records."""

from typing import Any

import msgspec
import trio

from pimentocross.backing.log import RecordBody
from pimentocross.config.state import ConfigState
from pimentocross.contracts.fold import FoldState
from pimentocross.contracts.ownership import OwnershipState
from pimentocross.entry.keys import KeysState
from pimentocross.zones.cell_state import CellState
from tests.fixtures import Cluster, open_cluster, wait_for

_STATES: dict[str, type[Any]] = {
    "ownership": OwnershipState,
    "config": ConfigState,
    "keys": KeysState,
    "cell-north": CellState,
}


def _refold(cluster: Cluster, stream: str) -> FoldState:
    state: FoldState = _STATES[stream]()
    for record in cluster.log.records(stream):
        body: RecordBody = msgspec.json.decode(msgspec.json.encode(record.body))
        if body["kind"] != "snapshot":
            state.apply(record.offset, body)
    return state


async def test_dumps_survive_json() -> None:
    async with open_cluster() as cluster:
        for number in range(3):
            verdict = await cluster.submit("north", f"j{number}", seconds=3.0)
            assert verdict.accepted
        node = await cluster.wait_owner("north")
        bad = '{"seconds": 1, "failure": "broken"}'
        await node.owned["north"].accept(
            "north.bad", "planning", "plan", 2, bad, 5.0
        )
        await wait_for(lambda: cluster.job_state("north.j2") == "finished")
        claimed = {"kind": "key-claimed", "key": "k", "process": "p"}
        await node.publish_key({**claimed, "digest": "d", "job": ""})
        for stream, cls in _STATES.items():
            state = _refold(cluster, stream)
            encoded = msgspec.json.encode(state.dump())
            loaded = cls()
            loaded.load(msgspec.json.decode(encoded))
            again = msgspec.json.encode(loaded.dump())
            assert again == encoded, (stream, again, encoded)
            assert len(encoded) > 30, encoded


async def test_jobs_and_owners_outlive_the_retention() -> None:
    async with open_cluster(retention=60.0) as cluster:
        assert (await cluster.submit("north", "a", seconds=400.0)).accepted
        assert (await cluster.submit("north", "b", seconds=1.0)).accepted
        await trio.sleep(200)
        first = cluster.log.records("cell-north")[0].offset
        assert first > 0
        owner = await cluster.wait_owner("north")
        cluster.kill_entry(owner.peers.local_identity.name)
        fresh = cluster.add_entry("e7", "north")
        await cluster.wait_owner("north")
        assert cluster.job_state("north.b") == "finished"
        await wait_for(lambda: fresh.node.config.state.version > 0)
        await wait_for(
            lambda: cluster.job_state("north.a") == "finished", timeout=400.0
        )
        assert len([r for r in cluster.runs() if r.task == "north.a/0"]) == 1
