"""Two crashes of workers under a lasting task lock its third worker for good.

A lasting task runs for some seconds, its worker crashes, and the worker on
which it starts again crashes at once. It then runs on a third worker. Eight
lasting tasks of another job, at most one on a worker, fit on the eight workers.
"""

import os
from pathlib import Path
import sys
import time
from typing import Final

from stage import (
    BROKEN,
    HELD,
    NOT_RUN,
    CaseError,
    Deployment,
    deployment,
    wait_for,
)

WATCH: Final = "000001f400000001"  # lasts, 0.5 cores
WIDE: Final = "00000dac00000002"  # lasts, 3.5 cores
WORKERS: Final = 8
CPU: Final = 8000
WIDE_CPU: Final = 3500
# A lasting task has to run again 6 s after its last run, if the 4 s before and
# the 3 s of the check are calm.
PATIENCE: Final = 6.0 + 4.0 + 3.0


def _worker_of_watch(stage: Deployment, run: int) -> str:
    return stage.running().get((f"{WATCH}.0.0.0", run), "")


def _crash_and_return(stage: Deployment, life: str) -> None:
    worker = stage.worker_of(life)
    stage.crash(worker)
    time.sleep(0.5)
    stage.start_life(worker)


def _trouble(stage: Deployment) -> None:
    first = _worker_of_watch(stage, 1)
    _crash_and_return(stage, first)
    wait_for(lambda: _worker_of_watch(stage, 2), 12, "second run")
    time.sleep(0.1)
    _crash_and_return(stage, _worker_of_watch(stage, 2))
    wait_for(lambda: _worker_of_watch(stage, 3), 12, "third run")


def _play(stage: Deployment) -> int:
    stage.start_store()
    stage.start_workers(WORKERS, CPU)
    stage.start_vms(3)
    time.sleep(4)
    lasting = {"count": 1, "cpu": 500, "mem_mb": 10, "long_running": True}
    stage.submit(WATCH, lasting)
    wait_for(lambda: _worker_of_watch(stage, 1), 10, "first run")
    time.sleep(6)
    if os.environ.get("TROUBLE") != "0":
        _trouble(stage)
    time.sleep(8)
    wide = {
        **lasting,
        "count": WORKERS,
        "cpu": WIDE_CPU,
        "anti_affinity": 1,
    }
    stage.submit(WIDE, wide)
    time.sleep(PATIENCE + 7)
    running = {
        task: worker
        for (task, _), worker in stage.running().items()
        if task.startswith(WIDE)
    }
    stage.call(1, "GET", WIDE)
    if not running:
        raise CaseError("nothing of the second job runs")
    idle = {w.life for w in stage.workers} - set(running.values())
    stage.note(
        "verdict",
        running=len(running),
        wanted=WORKERS,
        workers_without=sorted(idle),
        watch_on=sorted(
            worker
            for (task, _), worker in stage.running().items()
            if task.startswith(WATCH)
        ),
    )
    return HELD if len(running) == WORKERS else BROKEN


def main() -> int:
    """Plays the case; returns 1 if LOST was broken."""
    with deployment(Path(__file__).parent / "record.txt") as stage:
        try:
            return _play(stage)
        except CaseError as error:
            stage.note("not_run", reason=str(error))
            return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
