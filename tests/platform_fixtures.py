"""Fixtures for tests of the platform adapter: the platform on loopback."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
import os
from pathlib import Path
import socket
import tempfile

import msgspec
import trio

from pimentocross.contracts.store import Record
from pimentocross.gateway.node import GatewayNode
from pimentocross.links.asgi import HttpReply
from pimentocross.links.http_pool import HttpPool
from pimentocross.links.listener import HttpListener, ListenerLimits
from pimentocross.platform.__main__ import build_node
from pimentocross.platform.settings import read_settings
from pimentocross.standins.link import LinkStandin
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.users_platform import (
    StoreHandler,
    WorkerHandler,
    operator_config,
    worker_entry,
)
from tests.owner_fixtures import SMALL, life

HOST = "127.0.0.1"
PREFIX = "/plans/"
# Bytes that are forwarded over a slow link at once.
_LINK_CHUNK = 16 * 1024


class LoopbackPlatform:
    """Services of the platform that listen on loopback.

    Attributes:
        store: Stand-in for the platform's store.
        store_address: host:port at which the store listens.
        journal: Events of all runs.
        workers: Stand-ins for the workers.
    """

    def __init__(self) -> None:
        """Initializes a platform without workers."""
        self.store = StoreStandin()
        self.store_address = ""
        self.journal: list[RunEvent] = []
        self.workers: list[TaskWorkerStandin] = []

    async def configure(self, version: int, *prefixes: str) -> None:
        """Publishes a configuration like an operator."""
        value = operator_config(version, dict.fromkeys(prefixes, "stock"))
        await self.store.client("operator").append(
            "op", [Record("config", value)], 1.0
        )

    async def list_worker(self, worker: TaskWorkerStandin) -> None:
        """Writes the entry of a worker to the store."""
        record = Record(worker.life.id, worker_entry(worker.life))
        await self.store.client("worker").append("servers", [record], 1.0)


@asynccontextmanager
async def loopback_platform(
    workers: int = 3, seconds: float = 0.3
) -> AsyncIterator[LoopbackPlatform]:
    """Serves a platform with a configuration and workers for the block."""
    platform = LoopbackPlatform()
    async with trio.open_nursery() as nursery:

        async def serve(handler: object) -> str:
            listener = HttpListener(handler, ListenerLimits)  # type: ignore[arg-type]
            port = await nursery.start(listener.serve, f"{HOST}:0")
            return f"{HOST}:{port}"

        platform.store_address = await serve(
            StoreHandler(platform.store).handle
        )
        for number in range(workers):
            worker = TaskWorkerStandin(
                life(number),
                lambda _: TaskPlan(seconds, SMALL),
                platform.journal,
            )
            address = await serve(WorkerHandler(worker).handle)
            worker.life = worker.life._replace(address=address)
            platform.workers.append(worker)
            await platform.list_worker(worker)
        await platform.configure(1, PREFIX)
        yield platform
        nursery.cancel_scope.cancel()


class SlowLink:
    """A link of limited bandwidth.

    Attributes:
        address: host:port at which clients reach the other end.
        bytes_per_s: What the link carries towards the clients.
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Initializes the link without an address."""
        self.address = ""
        self.bytes_per_s = bytes_per_s


@asynccontextmanager
async def slow_link(
    address: str, bytes_per_s: float
) -> AsyncIterator[SlowLink]:
    """Serves an address over a link of limited bandwidth for the block.

    The answers that arrive at the same time share the bandwidth equally.

    Args:
        address: host:port that the connections are forwarded to.
        bytes_per_s: What the link carries towards the clients.
    """
    link = SlowLink(bytes_per_s)
    downlink = LinkStandin()

    async def receive(
        server: trio.SocketStream, client: trio.SocketStream
    ) -> None:
        while chunk := await server.receive_some(_LINK_CHUNK):
            await downlink.transfer(len(chunk), link.bytes_per_s)
            await client.send_all(chunk)

    async def forward(client: trio.SocketStream) -> None:
        host, _, port = address.rpartition(":")
        server = await trio.open_tcp_stream(host, int(port))
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(_send, client, server, nursery)
            with suppress(trio.BrokenResourceError):
                await receive(server, client)
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, forward, 0, host=HOST)
        )
        link.address = f"{HOST}:{listeners[0].socket.getsockname()[1]}"
        yield link
        nursery.cancel_scope.cancel()


async def _send(
    client: trio.SocketStream, server: trio.SocketStream, nursery: trio.Nursery
) -> None:
    """Forwards requests; cancels the nursery once the client has closed."""
    with suppress(trio.BrokenResourceError):
        while chunk := await client.receive_some(_LINK_CHUNK):
            await server.send_all(chunk)
    nursery.cancel_scope.cancel()


@asynccontextmanager
async def running_node(
    platform: LoopbackPlatform, name: str, store_address: str = ""
) -> AsyncIterator[tuple[GatewayNode, dict[str, str]]]:
    """Runs an entry VM in this process; cancels it at the end.

    Args:
        platform: The platform that the VM uses.
        name: Name of the VM.
        store_address: host:port at which it reaches the store, if not directly.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        values = write_settings(
            path, name, store_address or platform.store_address
        )
        node, handlers = build_node(read_settings(path))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run, handlers)
            yield node, values
            nursery.cancel_scope.cancel()


def write_settings(path: Path, name: str, store: str) -> dict[str, str]:
    """Writes a settings file like the platform; returns its values."""
    ports = _free_ports(4)
    os.environ["PIMENTOCROSS_METRICS_PORT"] = str(ports[3])
    values = {
        "node_name": name,
        "role": "entry",
        "zone": "north",
        "ip": HOST,
        "listen_addrs.frontend": f"{HOST}:{ports[0]}",
        "listen_addrs.ready": f"{HOST}:{ports[1]}",
        "internal_ports": f"{ports[2]},{ports[2]}",
        "platform.address": store,
        "bounds.grace_s": "6",
        "a.field.of.tomorrow": "1",
        "test.metrics": f"{HOST}:{ports[3]}",
    }
    lines = [f"{key}={value}" for key, value in values.items()]
    path.write_text("\n".join(lines) + "\n", "utf-8")
    return values


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for probe in sockets:
        probe.bind((HOST, 0))
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Caller:
    """A caller of an entry VM."""

    def __init__(self, address: str) -> None:
        """Initializes the caller with the VM's host:port for callers."""
        self._pool = HttpPool(address)

    async def call(
        self, method: str, path: str, body: object = None
    ) -> HttpReply:
        """Sends a request with the address, which is the queues' host."""
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._pool.call(method, path, content, 5.0)

    async def state(self, job: str) -> str:
        """Returns a job's state, or the HTTP status if it isn't 200."""
        reply = await self.call("GET", PREFIX + job)
        if reply.status != 200:
            return str(reply.status)
        return str(msgspec.json.decode(reply.body)["state"])


def job_body(width: int = 2) -> dict[str, object]:
    """Returns a submission with two steps."""
    step = {"count": width, "cpu": 1000, "mem_mb": 1000, "estimated_ms": 300}
    return {"spec": "x", "job_steps": [step, step | {"after": [0]}]}


async def wait_until_ready(
    values: dict[str, str], seconds: float = 10.0
) -> None:
    """Waits until a VM's readiness check succeeds."""
    caller = Caller(values["listen_addrs.ready"])
    with trio.fail_after(seconds):
        while True:
            await trio.sleep(0.05)
            try:
                reply = await caller.call("GET", "/pimentocross/readyz")
            except Exception:
                continue
            if reply.status == 200:
                return
