"""Tests the HTTP APIs of callers, operators and workers over loopback."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import httpcore
import msgspec
import trio

from pimentocross.backing.clients import HttpWorkerLink
from pimentocross.backing.workers import (
    Exchange,
    Refusal,
    WorkerRefusedError,
)
from pimentocross.entry.idempotency import hash_key
from pimentocross.entry.keys import KINDS, KeyClaimed
from pimentocross.links.http_server import HttpListener, serve_http
from pimentocross.standins.dev import (
    DevCluster,
    apply_files,
    open_dev_cluster,
    wait_services,
)
from pimentocross.standins.faults import FaultPlan
from pimentocross.standins.worker import make_worker_app
from tests.fixtures import FILES, configuration

_HOST = "127.0.0.1"


def real_time(function: Callable[[], Any]) -> Callable[[], Any]:
    """Marks a test that uses the real clock, because it uses real sockets."""
    function.real_time = True  # type: ignore[attr-defined]
    return function


class Reply(NamedTuple):
    """Status, headers and decoded body of an HTTP reply."""

    status: int
    headers: dict[bytes, bytes]
    body: Any


class Client:
    """HTTP client for the entry VMs of a cluster."""

    def __init__(self, cluster: DevCluster) -> None:
        """Initializes the client with the cluster to send requests to."""
        self._cluster = cluster
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)

    async def ask(
        self,
        method: str,
        path: str,
        *,
        entry: int = 0,
        headers: dict[str, str] | None = None,
        content: bytes = b"",
        operator: bool = False,
    ) -> Reply:
        """Sends a request to the caller or operator API of one entry VM."""
        ports = self._cluster.ports[entry]
        port = ports.operator if operator else ports.caller
        reply = await self._pool.request(
            method,
            f"http://{_HOST}:{port}{path}",
            headers=list((headers or {}).items()),
            content=content,
        )
        try:
            body = msgspec.json.decode(reply.content)
        except msgspec.DecodeError:
            body = reply.content
        return Reply(reply.status, dict(reply.headers), body)


@asynccontextmanager
async def open_served(
    extra_config: str = "",
) -> AsyncIterator[tuple[DevCluster, Client]]:
    """Runs a small cluster on real sockets and waits for its services."""
    files = {**FILES, "20.yaml": extra_config} if extra_config else FILES
    async with open_dev_cluster(configuration(files)) as cluster:
        await apply_files(cluster, files)
        await wait_services(cluster)
        yield cluster, Client(cluster)


def _count_served(cluster: DevCluster, key: str) -> int:
    return sum(entry.subject == key for entry in cluster.journal.entries)


@real_time
async def test_request_is_passed_on_and_its_answer_comes_back_whole() -> None:
    async with open_served() as (_, client):
        reply = await client.ask(
            "PUT",
            "/services/stock/shelf/3?x=1",
            content=b"dolls" * 10_000,
            headers={"Pimentocross-Request-Id": "r1"},
        )
        assert reply.status == 200
        assert reply.body["path"] == "/shelf/3"
        assert reply.body["body"] == "dolls" * 10_000
        assert reply.body["key"] == "r1"


@real_time
async def test_order_repeated_through_another_entry_vm_runs_once() -> None:
    async with open_served() as (cluster, client):
        replies: list[Reply] = []

        async def order(entry: int) -> None:
            replies.append(
                await client.ask(
                    "POST",
                    "/services/stock/order",
                    entry=entry,
                    headers={"Idempotency-Key": "k1"},
                    content=b"12 kites",
                )
            )

        async with trio.open_nursery() as nursery:
            for entry in (0, 1, 0, 1):
                nursery.start_soon(order, entry)
        await order(1)
        assert [r.status for r in replies] == [200] * 5
        assert len({str(r.body) for r in replies}) == 1
        assert _count_served(cluster, "k1") == 1
        reused_key_reply = await client.ask(
            "POST",
            "/services/stock/order",
            headers={"Idempotency-Key": "k1"},
            content=b"13 kites",
        )
        assert (reused_key_reply.status, reused_key_reply.body["reason"]) == (
            422,
            "key-reused",
        )


@real_time
async def test_key_whose_claimant_died_is_answered_as_unknown() -> None:
    async with open_served() as (cluster, client):
        call = {"Idempotency-Key": "k2"}
        node = cluster.entries[0]
        first = await client.ask(
            "POST", "/services/stock/o", headers={"Idempotency-Key": "probe"}
        )
        assert first.status == 200
        digest = node.key_state.get(hash_key("counter", "probe"))
        assert digest is not None
        claimed = KeyClaimed(
            hash_key("counter", "k2"), "gone:1:x", digest.claimed.digest, ""
        )
        await node.publish_key(KINDS.encode(claimed))
        reply = await client.ask("POST", "/services/stock/o", headers=call)
        assert reply.status == 504
        assert reply.body["state"] == "unknown"
        assert _count_served(cluster, "k2") == 0


@real_time
async def test_refusals_say_not_run_and_when_to_come_back() -> None:
    async with open_served() as (cluster, client):
        unknown = await client.ask("GET", "/services/nothing/x")
        assert (unknown.status, unknown.body["state"]) == (404, "not run")
        cluster.log.faults.plan = FaultPlan(away=True)
        await trio.sleep(1.5)
        order = await client.ask(
            "POST", "/services/stock/o", headers={"Idempotency-Key": "k3"}
        )
        job = await client.ask(
            "POST",
            "/jobs",
            content=b'{"class": "plan"}',
            headers={"Pimentocross-Timeout": "1"},
        )
        for reply in (order, job):
            assert (reply.status, reply.body["state"]) == (503, "not run")
            assert int(reply.headers[b"retry-after"]) >= 1
        assert reply.headers[b"content-type"] == b"application/problem+json"
        # Requests that need no log are still served.
        assert (await client.ask("GET", "/services/stock/x")).status == 200
        assert _count_served(cluster, "k3") == 0
        cluster.log.faults.plan = FaultPlan()


@real_time
async def test_bad_input_is_refused_and_the_process_goes_on() -> None:
    async with open_served() as (cluster, client):
        too_long = await client.ask(
            "POST", "/services/stock/x", content=b"x" * 1_000_001
        )
        assert (too_long.status, too_long.body["state"]) == (413, "not run")
        for content in (b"", b"[", b"[1]", b'{"class": 3}', b'{"tasks": 0}'):
            reply = await client.ask("POST", "/jobs", content=content)
            assert 400 <= reply.status < 500, content
        for timeout in ("soon", "-1", "nan", "inf", "1e9"):
            headers = {"Pimentocross-Timeout": timeout}
            reply = await client.ask("GET", "/services/stock/", headers=headers)
            assert reply.status == 400, timeout
        port = cluster.ports[0].caller
        for raw in (
            b"GET / HTTP/1.1\r\nx: " + b"y" * 40_000 + b"\r\n\r\n",
            b"\x16\x03\x01 not http at all\r\n\r\n",
            b"GET /" + b"z" * 60_000,
        ):
            stream = await trio.open_tcp_stream(_HOST, port)
            await stream.send_all(raw)
            with trio.fail_after(10):
                answer = await stream.receive_some()
            assert answer == b"" or answer.startswith(b"HTTP/1.1 4")
        assert (await client.ask("GET", "/services/stock/")).status == 200


@real_time
async def test_operators_need_the_token() -> None:
    async with open_served() as (cluster, client):
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            for method, path in (
                ("GET", "/status"),
                ("POST", "/config"),
                ("POST", "/drain?vm=north-w0"),
            ):
                reply = await client.ask(
                    method, path, headers=headers, operator=True
                )
                assert reply.status == 401
        assert not any(worker.leaving for worker in cluster.workers)
        good = {"Authorization": "Bearer dev"}
        reply = await client.ask("GET", "/status", headers=good, operator=True)
        assert [row["name"] for row in reply.body] == [
            "entry-north",
            "entry-south",
        ]


@real_time
async def test_worker_refuses_commands_without_key_or_epoch() -> None:
    async with open_served() as (cluster, _):
        worker = cluster.workers[0]
        async with trio.open_nursery() as nursery:
            port = await nursery.start(
                serve_http,
                make_worker_app(worker, "right"),
                HttpListener(_HOST, 0),
                trio.sleep_forever,
            )
            cell = worker.shape.cell
            request = Exchange(cell, 0, 9, "", 0.0, 0.0, 0.0, 0, [])
            for key, refusal in (
                ("wrong", Refusal.KEY),
                ("", Refusal.KEY),
                ("right", Refusal.STALE_EPOCH),
            ):
                link = HttpWorkerLink(f"{_HOST}:{port}", key)
                try:
                    await link.exchange(request)
                except WorkerRefusedError as error:
                    assert error.refusal is refusal
                else:
                    raise AssertionError(key)
            nursery.cancel_scope.cancel()


@real_time
async def test_planned_stop_cuts_off_no_request_in_flight() -> None:
    statuses: list[int] = []
    async with open_served() as (cluster, client):
        for worker in cluster.workers:
            worker.service.faults.plan = FaultPlan(delay=0.5)

        async def call() -> None:
            reply = await client.ask("GET", "/services/stock/slow")
            statuses.append(reply.status)

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call)
            await trio.sleep(0.1)
            assert await cluster.entries[0].drain() == 0
        late = await client.ask("GET", "/services/stock/late")
        assert (late.status, late.body["reason"]) == (503, "draining")
        assert (await client.ask("GET", "/-/health")).status == 503
    assert statuses == [200] * 5


@real_time
async def test_target_that_goes_silent_is_left_for_another() -> None:
    async with open_served() as (cluster, client):
        silent, *_ = [w for w in cluster.workers if w.service.running]
        silent.service.faults.plan = FaultPlan(delay=60.0)
        began = trio.current_time()
        for _ in range(20):
            headers = {"Pimentocross-Timeout": "3"}
            reply = await client.ask("GET", "/services/stock/", headers=headers)
            assert reply.status == 200
        # The target is ejected after a few late replies, so that it delays
        # only those requests.
        assert trio.current_time() - began < 10
        order = {"Pimentocross-Timeout": "0.3"}
        states = set()
        for _ in range(12):
            reply = await client.ask("POST", "/services/stock/o", headers=order)
            states.add(reply.status)
        # A request that may have arrived is never reported as not run.
        assert states <= {200, 504}
        links = cluster.entries[0].target_registry.links.values()
        assert sum(link.timeout_count for link in links) > 0


@real_time
async def test_sudden_load_is_refused_early_and_nothing_is_lost() -> None:
    async with open_served("limits: {queue: 8}\n") as (cluster, client):
        for worker in cluster.workers:
            # Much longer than 60 callers need to send, also on a busy machine:
            # with 0.2 s the targets had finished some requests and took more:
            # they served 24 instead of 16.
            worker.service.faults.plan = FaultPlan(delay=0.6)
        replies: list[Reply] = []

        async def order(number: int) -> None:
            replies.append(
                await client.ask(
                    "POST",
                    "/services/stock/o",
                    headers={"Pimentocross-Request-Id": f"load-{number}"},
                )
            )

        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(order, number)
        answered = [r for r in replies if r.status == 200]
        refused = [r for r in replies if r.status == 503]
        assert len(answered) + len(refused) == 60
        # Two targets serve four requests each, and eight more are queued.
        assert 8 <= len(answered) <= 16 + 4, len(answered)
        assert {r.body["state"] for r in refused} == {"not run"}
        assert {r.body["reason"] for r in refused} == {"queue-full"}
        # Three rounds of 0.6 s, and 1.4 s for everything else.
        assert trio.current_time() - began < 3.2
        served = [e for e in cluster.journal.entries if e.kind == "request"]
        assert len(served) == len(answered)
