"""Workers of a large cell in a process of their own, for the owner's cost.

What they use of the processor doesn't count as the owner's.
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
# Every worker answers on the one listener: which of them is meant is in this.
_LIFE_HEADER: Final = b"x-expected-instance"


def lives(count: int, address: str) -> list[WorkerLife]:
    """Returns workers that all answer at one address."""
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
    """Returns the plan of a task; its job's name says of what kind it is."""
    if name.job.startswith("last"):
        return TaskPlan(RUNS_FOREVER, Size(1, 1, 0))
    seconds = random.Random(str(name)).uniform(0.5, 1.5)
    return TaskPlan(seconds, Size(1, 1, 0))


class _Worker(TaskWorkerStandin):
    """A stand-in that tells figures."""

    def figure(self, plan: TaskPlan) -> int:
        """Returns a figure of a task that serves or fills."""
        return random.randint(10, 30)


class _Surface(WorkerHandler):
    """Answers `hold` when something has ended, without looking often."""

    def __init__(self, worker: _Worker) -> None:
        super().__init__(worker)
        self._changing = worker

    async def _hold(self, body: dict[str, Any]) -> HttpReply:
        wait = body.pop("wait_ms", 0) / 1000
        reply = await super()._hold(body)
        until = trio.current_time() + wait
        while b'"completions":[]' in reply.body:
            left = until - trio.current_time()
            if left <= 0:
                break
            await trio.sleep(min(left, self._changing.next_change() + 0.01))
            reply = await super()._hold(body)
        return reply


async def _serve(count: int, told: Connection) -> None:
    surfaces = {
        life.id.encode(): _Surface(_Worker(life, plan_of, [], seed=number))
        for number, life in enumerate(lives(count, ""))
    }

    async def handle(request: HttpRequest) -> HttpReply:
        life = request.header(_LIFE_HEADER).encode()
        return await surfaces[life].handle(request)

    async with trio.open_nursery() as nursery:
        for handler in (handle, StoreHandler(StoreStandin()).handle):
            listener = HttpListener(handler, ListenerLimits)
            port = await nursery.start(listener.serve, f"{HOST}:0")
            told.send(f"{HOST}:{port}")


def _run(count: int, told: Connection) -> None:
    trio.run(_serve, count, told)


@contextmanager
def serving(count: int) -> Iterator[tuple[str, str]]:
    """Serves workers and a store; yields the addresses of both.

    Raises:
        TimeoutError: They did not start.
    """
    context = multiprocessing.get_context("spawn")
    mine, told = context.Pipe()
    process = context.Process(target=_run, args=(count, told), daemon=True)
    process.start()
    try:
        addresses = []
        for _ in range(2):
            if not mine.poll(_START_TIMEOUT):
                raise TimeoutError("the stand-ins did not start")
            addresses.append(mine.recv())
        yield addresses[0], addresses[1]
    finally:
        process.terminate()
        process.join()
