"""A large submission, and small ones before and after it; see claim.txt."""

from pathlib import Path
import sys

import trio

from review.common.world import Job, World, run_case

RACKS = 3
WORKERS = 24
# Tasks of the large submission with and without the disruption, and the
# thousandths of a core that each asks for: they take less than half of the
# workers' capacity.
LARGE, ORDINARY = 11_000, 1_000
LARGE_CPU = 15
LARGE_SECONDS = 600.0
# Seconds for which small submissions are handed in after the large one.
WATCHED = 40
FINISH_SECONDS = 14.0
# Seconds without a run after which a submission counts as lost.
IDLE_SECONDS = 3.0


def small_job(number: int) -> Job:
    """Returns a submission of two short steps."""
    step = {"count": 2, "cpu": 100, "mem_mb": 50, "estimated_ms": 500}
    body = {"spec": "s", "job_steps": [step, step | {"after": [0]}]}
    return Job(f"{number:016x}", body, [0.5, 0.5])


def large_job(count: int) -> Job:
    """Returns a submission of many small tasks that save their progress."""
    step = {
        "count": count,
        "cpu": LARGE_CPU,
        "mem_mb": 50,
        "estimated_ms": LARGE_SECONDS * 1000,
        "checkpointing": True,
    }
    body = {"spec": "l", "job_steps": [step]}
    return Job("00000000000fffff", body, [LARGE_SECONDS])


async def play(world: World, trouble: bool) -> list[str]:
    """Hands in small submissions around a large one."""
    world.configure(1)
    for number in range(WORKERS):
        await world.add_worker(f"m{number}", f"r{number % RACKS}")
    vms = [await world.start_vm(f"vm{number}") for number in range(3)]
    for vm in vms:
        await vm.wait_until_ready()
    first = small_job(1)
    await world.submit(first, vms)
    await world.wait_for_state(first, "completed", 10, vms[0])
    large = large_job(LARGE if trouble else ORDINARY)
    await world.submit(large, vms)
    jobs = [small_job(2 + number) for number in range(WATCHED)]
    for job in jobs:
        world.begin_submit(job, vms)
        await trio.sleep(1.0)
    await trio.sleep(FINISH_SECONDS)
    return world.find_idle([first, large, *jobs], IDLE_SECONDS)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
