"""Fixtures for tests of workers that start again under their ids."""

from typing import Final

import trio

from pimentocross.standins.task_worker import TaskPlan, TaskWorkerStandin
from pimentocross.standins.worker_pool import WorkerPool
from pimentocross.work.spec import JobSpec, Size, StepSpec, TaskName
from tests.owner_fixtures import find_overlapping_starts, spec

# Three tasks of this size fit on a worker.
TASK_SIZE: Final = Size(2500, 1000, 0)
WORKERS: Final = 4
# Longer than any wait for a lease, or for a late start and its lease.
LONG: Final = 40.0


def long_task(_: TaskName) -> TaskPlan:
    """Returns the plan of a task that outlasts all waits."""
    return TaskPlan(60.0, TASK_SIZE)


def long_tasks(number: int, *, lasting: bool = False) -> JobSpec:
    """Returns a job of some long tasks, which last for ever if asked."""
    return spec(StepSpec(number, TASK_SIZE, lasting=lasting))


def check_never_twice(pool: WorkerPool) -> None:
    """Checks that no two runs of a task were on workers at one time."""
    for worker in pool.workers.values():
        worker.advance()
    journal = sorted(pool.journal, key=lambda e: (e.at, e.what == "start"))
    found = find_overlapping_starts(journal)
    assert not found, found


def starts_on(pool: WorkerPool, worker: TaskWorkerStandin) -> int:
    """Returns how many runs have started on the lives of a worker's id."""
    return sum(
        event.what == "start" and event.worker == worker.life.id
        for event in pool.journal
    )


def cut_off(pool: WorkerPool, worker: TaskWorkerStandin, *vms: str) -> None:
    """Cuts a worker off from some VMs."""
    for vm in vms:
        pool.access(vm)
        pool.cut[vm].add(worker.life.id)


async def cut_off_soon(
    pool: WorkerPool, worker: TaskWorkerStandin, vm: str
) -> None:
    """Cuts a worker off from a VM once it has answered the present call."""
    await trio.sleep(0.001)
    cut_off(pool, worker, vm)
