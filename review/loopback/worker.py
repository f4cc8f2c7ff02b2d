"""One life of a worker as a process; see `main` for its arguments.

It serves the project's stand-in of a worker, writes its status reports to the
store, and prints each event of a run as a line of JSON.

A job's id says how its tasks behave: four hexadecimal digits for the run time
in tenths of a second (0: the tasks last), four for the processor time in
thousandths of a core, and eight that make it unique.
"""

import json
import signal
import sys
import time
from typing import Final

import trio

from pimentocross.contracts.store import Record, StoreUnavailableError
from pimentocross.contracts.worker_link import WorkerLife
from pimentocross.links.listener import HttpListener, ListenerLimits
from pimentocross.platform.store import StoreClient
from pimentocross.standins.task_worker import (
    RUNS_FOREVER,
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.standins.users_platform import WorkerHandler
from pimentocross.work.spec import Size, TaskName

HEARTBEAT: Final = 1.5
_MEMORY: Final = 1000


def plan_of(task: TaskName) -> TaskPlan:
    """Returns how a task behaves, from the id of its job."""
    tenths, cpu = int(task.job[:4], 16), int(task.job[4:8], 16)
    return TaskPlan(tenths / 10 or RUNS_FOREVER, Size(cpu, 10, 0))


def entry_of(life: WorkerLife, sequence: int) -> bytes:
    """Returns the worker's report about itself."""
    return json.dumps(
        {
            "backend": life.service,
            "address": life.address,
            "zone": life.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": life.capacity.cpu,
                "mem_mb": life.capacity.memory,
                "gpus": 0,
            },
            "labels": list(life.labels),
            "machine_id": life.machine,
            "sequence": sequence,
        }
    ).encode()


class _Journal(list[RunEvent]):
    """Prints each event at once."""

    def append(self, event: RunEvent) -> None:
        """Prints an event of a run."""
        name = event.task
        line = {
            "at": time.time(),
            "worker": event.worker,
            "task": f"{name.job}.{name.occurrence}.{name.step}.{name.position}",
            "run": event.run,
            "what": event.what,
        }
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()


async def _report(life: WorkerLife, store: StoreClient) -> None:
    sequence = 0
    while True:
        sequence += 1
        record = Record(life.id, entry_of(life, sequence))
        try:
            await store.append("servers", [record], 1.0)
        except StoreUnavailableError:
            await trio.sleep(0.2)
            continue
        await trio.sleep(HEARTBEAT)


async def _advance(worker: TaskWorkerStandin) -> None:
    while True:
        await trio.sleep(0.02)
        worker.advance()


async def _follow_signals(worker: TaskWorkerStandin) -> None:
    """Fails all that is started between SIGUSR1 and SIGUSR2."""
    signals = (signal.SIGUSR1, signal.SIGUSR2)
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            worker.faults.fails_all = number == signal.SIGUSR1


async def main(
    life_id: str,
    machine: str,
    rack: str,
    address: str,
    store: str,
    cpu: int,
    kind: str,
) -> None:
    """Runs one life of a worker until the process is killed."""
    size = Size(cpu, _MEMORY, 0)
    life = WorkerLife(
        id=life_id,
        machine=machine,
        service="stock",
        address=address,
        zone="north",
        labels=(kind, rack),
        capacity=size,
        draining=False,
        remaining=0.0,
    )
    worker = TaskWorkerStandin(life, plan_of, _Journal())
    listener = HttpListener(WorkerHandler(worker).handle, ListenerLimits)
    async with trio.open_nursery() as nursery:
        await nursery.start(listener.serve, address)
        nursery.start_soon(_follow_signals, worker)
        nursery.start_soon(_advance, worker)
        nursery.start_soon(_report, life, StoreClient(store))


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:6], int(sys.argv[6]), sys.argv[7])
