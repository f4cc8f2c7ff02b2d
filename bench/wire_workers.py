"""Serves stand-ins for the workers of a large cell in a separate process.

Their processor time is thus not counted as the owner's.
"""

from collections.abc import Iterator
from contextlib import contextmanager
import multiprocessing
from multiprocessing.connection import Connection
import random
from typing import Any, Final

import trio

from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.links.asgi import HttpReply, HttpRequest
from pimentocross.links.listener import HttpListener, ListenerLimits
from pimentocross.standins.store import StoreStandin
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.users_platform import StoreHandler, WorkerHandler
from pimentocross.work.spec import Size, TaskName

HOST: Final = "127.0.0.1"
CAPACITY: Final = Size(64_000, 256_000, 0)
_RACK: Final = 20
_START_TIMEOUT: Final = 20.0
# All workers share a listener; this header names the addressed worker life.
_LIFE_HEADER: Final = b"x-expected-instance"


def lives(count: int, address: str) -> list[WorkerLife]:
    """Returns worker lives that all have the same address."""
    return [
        WorkerLife(
            f"i-{number:08x}",
            f"m{number}",
            "stock",
            address,
            "north",
            ("kind", f"r{number // _RACK}"),
            CAPACITY,
            False,
            0.0,
        )
        for number in range(count)
    ]


def plan_of(name: TaskName) -> TaskPlan:
    """Returns the plan of a task; its job's name starts with its kind."""
    if name.job.startswith("last"):
        return TaskPlan(RUNS_FOREVER, Size(1, 1, 0))
    seconds = random.Random(str(name)).uniform(0.5, 1.5)
    return TaskPlan(seconds, Size(1, 1, 0))


class _Worker(TaskWorkerStandin):
    """A worker stand-in that reports random load figures."""

    def figure(self, plan: TaskPlan) -> int:
        """Returns the figure of a serving or best-effort task."""
        return random.randint(10, 30)


class _LongPollSurface(WorkerHandler):
    """Answers `hold` as soon as a task has ended, without frequent polling."""

    def __init__(self, worker: _Worker) -> None:
        super().__init__(worker)
        self._changing_worker = worker

    async def _hold(self, body: dict[str, Any]) -> HttpReply:
        wait = body.pop("wait_ms", 0) / 1000
        reply = await super()._hold(body)
        until = trio.current_time() + wait
        while b'"completions":[]' in reply.body:
            left = until - trio.current_time()
            if left <= 0:
                break
            await trio.sleep(
                min(left, self._changing_worker.next_change() + 0.01)
            )
            reply = await super()._hold(body)
        return reply


async def _serve(count: int, address_pipe: Connection) -> None:
    surfaces = {
        life.id.encode(): _LongPollSurface(
            _Worker(life, plan_of, [], seed=number)
        )
        for number, life in enumerate(lives(count, ""))
    }

    async def handle(request: HttpRequest) -> HttpReply:
        life = request.header(_LIFE_HEADER).encode()
        return await surfaces[life].handle(request)

    async with trio.open_nursery() as nursery:
        for handler in (handle, StoreHandler(StoreStandin()).handle):
            listener = HttpListener(handler, ListenerLimits)
            port = await nursery.start(listener.serve, f"{HOST}:0")
            address_pipe.send(f"{HOST}:{port}")


def _run(count: int, address_pipe: Connection) -> None:
    trio.run(_serve, count, address_pipe)


@contextmanager
def serve_standins(count: int) -> Iterator[tuple[str, str]]:
    """Serves workers and a store; yields the addresses of both.

    Raises:
        TimeoutError: If the process does not start in time.
    """
    context = multiprocessing.get_context("spawn")
    parent_pipe, address_pipe = context.Pipe()
    process = context.Process(
        target=_run, args=(count, address_pipe), daemon=True
    )
    process.start()
    try:
        addresses = []
        for _ in range(2):
            if not parent_pipe.poll(_START_TIMEOUT):
                raise TimeoutError("the stand-ins did not start")
            addresses.append(parent_pipe.recv())
        yield addresses[0], addresses[1]
    finally:
        process.terminate()
        process.join()
