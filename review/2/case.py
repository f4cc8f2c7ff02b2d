"""Scheduled submissions come at once; see claim.txt."""

from pathlib import Path
import sys
import time

import trio

from review.common.world import CannotRunError, Job, World, run_case

RACKS = 3
WORKERS = 12
VMS = 4
# Scheduled submissions with and without the disruption, all within four
# seconds: every minute for a day, two steps of eight tasks each time.
SCHEDULED, USUAL = 24, 2
BURST_SECONDS = 4.0
OCCURRENCES = 1_440
INTERVAL_MS = 60_000
TASKS = 8
# Seconds until the first occurrence is due, after the script's end.
FIRST_DUE = 3_600.0
MEMORY_MB = 300
# Short submissions, one a second, before and after that.
CALM = 5
WATCHED = 35
FINISH_SECONDS = 14.0
# Seconds without a run after which a submission counts as lost.
IDLE_SECONDS = 3.0
# Ends of processes by themselves on a machine, and the machines with so many,
# that break the rule: a tenth of the machines, two at least.
MOST_ENDS = 3
MOST_MACHINES = 2


def scheduled_job(number: int) -> Job:
    """Returns a submission that is repeated every minute."""
    step = {"count": TASKS, "cpu": 1800, "mem_mb": 3200, "estimated_ms": 2200}
    body = {
        "spec": "s",
        "job_steps": [step, step | {"after": [0]}],
        "repeat_count": OCCURRENCES,
        "start_at_ms": int((time.time() + FIRST_DUE) * 1000),
        "interval_ms": INTERVAL_MS,
    }
    return Job(f"{0xA00 + number:016x}", body, [2.2, 2.2])


def short_job(number: int) -> Job:
    """Returns a submission of two short steps."""
    step = {"count": 2, "cpu": 500, "mem_mb": 50, "estimated_ms": 500}
    body = {"spec": "s", "job_steps": [step, step | {"after": [0]}]}
    return Job(f"{number:016x}", body, [0.5, 0.5])


async def play(world: World, trouble: bool) -> list[str]:
    """Hands in short submissions around the scheduled ones."""
    world.configure(1)
    for number in range(WORKERS):
        await world.add_worker(f"m{number}", f"r{number % RACKS}")
    vms = [await world.start_vm(f"vm{number}") for number in range(VMS)]
    for vm in vms:
        if not await vm.wait_until_ready():
            raise CannotRunError(f"{vm.name} isn't ready")
        world.supervise(vm, MEMORY_MB)
    jobs = [short_job(number) for number in range(WATCHED)]

    def submit(job: Job, number: int) -> None:
        first = number % VMS
        world.begin_submit(job, vms[first:] + vms[:first])

    for number in range(CALM):
        submit(jobs[number], number)
        await trio.sleep(1.0)
    count = SCHEDULED if trouble else USUAL
    for number in range(count):
        submit(scheduled_job(number), number)
        await trio.sleep(BURST_SECONDS / count)
    for number in range(CALM, WATCHED):
        submit(jobs[number], number)
        await trio.sleep(1.0)
    await trio.sleep(FINISH_SECONDS)
    broken = world.find_idle(jobs, IDLE_SECONDS)
    often = [vm for vm in vms if len(vm.exits) >= MOST_ENDS]
    if len(often) >= MOST_MACHINES:
        broken += [
            f"Fault: the process of {vm.name} was over its memory"
            f" {len(vm.exits)} times"
            for vm in often
        ]
    return broken


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
