"""A worker that failed for some seconds gets no batch work ever again.

One worker of twelve has the label that some jobs require. It fails all that it
starts for six seconds and is sound again. The first task that it gets then is
one that lasts. Jobs that require its label are accepted and never begin.
"""

import os
from pathlib import Path
import signal
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

WORKERS: Final = 12
CPU: Final = 8000
LABEL: Final = "b"
GREY_S: Final = 6.0
WATCH: Final = "000001f400000001"  # lasts, 0.5 cores
BATCH: Final = "000501f40000a00{}"  # 0.5 s, 0.5 cores
EARLY: Final = "000501f40000b00{}"
JOBS: Final = 4
# A task whose turn has come has to run within 3 s.
PATIENCE: Final = 14.0


def _step(*, lasts: bool = False) -> dict[str, object]:
    step: dict[str, object] = {
        "count": 1,
        "cpu": 500,
        "mem_mb": 10,
        "requirements": LABEL,
    }
    return {**step, "long_running": True} if lasts else step


def _grey(stage: Deployment) -> None:
    """Lets the labelled worker fail all that it starts for some seconds."""
    worker = stage.workers[0]
    assert worker.process is not None
    stage.note("worker_grey", worker=worker.life)
    worker.process.send_signal(signal.SIGUSR1)
    until = time.time() + GREY_S
    for number in range(JOBS):
        stage.submit(EARLY.format(number), _step())
    time.sleep(max(until - time.time(), 0))
    worker.process.send_signal(signal.SIGUSR2)
    stage.note("worker_sound", worker=worker.life)


def _play(stage: Deployment) -> int:
    stage.start_store()
    stage.start_workers(WORKERS, CPU, special=LABEL)
    stage.start_vms(3)
    time.sleep(4)
    if os.environ.get("TROUBLE") != "0":
        _grey(stage)
    time.sleep(4)
    stage.submit(WATCH, _step(lasts=True))
    wait_for(
        lambda: (f"{WATCH}.0.0.0", 1) in stage.running(), 20, "lasting task"
    )
    time.sleep(10)
    for number in range(JOBS):
        stage.submit(BATCH.format(number), _step())
    time.sleep(PATIENCE)
    started = {
        event["task"].partition(".")[0]
        for event in stage.events()
        if event["what"] == "start"
    }
    jobs = [BATCH.format(number) for number in range(JOBS)]
    states = {job: stage.call(1, "GET", job)[1].get("state") for job in jobs}
    late = [job for job in jobs if job not in started]
    stage.note("verdict", states=states, never_started=late)
    return BROKEN if late else HELD


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
