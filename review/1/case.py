"""Another writer's entry stands among those of the workers; see claim.txt."""

from pathlib import Path
import sys

import trio

from review.common.world import CannotRunError, Job, World, run_case

RACKS = 3
WORKERS = 12
VMS = 4
CALM_SECONDS = 5
WATCHED_SECONDS = 30
FINISH_SECONDS = 14.0
# Seconds without a run after which a submission counts as lost.
IDLE_SECONDS = 3.0
# Ends of processes by themselves on a machine, and the machines with so many,
# that break the rule: a tenth of the machines, two at least.
MOST_ENDS = 3
MOST_MACHINES = 2
# The entry: some 2 KB that no reader can read, as they break off within lists.
DEPTH = 2_000
FOREIGN_KEY = "i-7f3a91c2"
FOREIGN_ENTRY = b'{"note":' + b"[" * DEPTH


def small_job(number: int) -> Job:
    """Returns a submission of two short steps."""
    step = {"count": 2, "cpu": 500, "mem_mb": 50, "estimated_ms": 500}
    body = {"spec": "s", "job_steps": [step, step | {"after": [0]}]}
    return Job(f"{number:016x}", body, [0.5, 0.5])


async def play(world: World, trouble: bool) -> list[str]:
    """Hands in a submission a second, and writes the entry after some."""
    world.configure(1)
    for number in range(WORKERS):
        await world.add_worker(f"m{number}", f"r{number % RACKS}")
    vms = [await world.start_vm(f"vm{number}") for number in range(VMS)]
    for vm in vms:
        if not await vm.wait_until_ready():
            raise CannotRunError(f"{vm.name} isn't ready")
        world.supervise(vm)
    jobs = [small_job(number) for number in range(WATCHED_SECONDS)]
    for number, job in enumerate(jobs):
        if trouble and number == CALM_SECONDS:
            world.store.put_bytes("servers", FOREIGN_KEY, FOREIGN_ENTRY)
            world.note("entry of another writer", bytes=len(FOREIGN_ENTRY))
        first = number % VMS
        world.begin_submit(job, vms[first:] + vms[:first])
        await trio.sleep(1.0)
    await trio.sleep(FINISH_SECONDS)
    broken = world.find_idle(jobs, IDLE_SECONDS)
    often = [vm for vm in vms if len(vm.exits) >= MOST_ENDS]
    if len(often) >= MOST_MACHINES:
        broken += [
            f"Fault: the process of {vm.name} ended by itself"
            f" {len(vm.exits)} times"
            for vm in often
        ]
    return broken


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
