"""Tests a whole cluster in virtual time with one kind of fault each."""

import trio

from pimentocross.backing.workers import TaskKind
from pimentocross.contracts.outbox import Outcome
from pimentocross.standins.checks import finished_tasks
from pimentocross.standins.faults import FaultPlan
from tests.fixtures import FILES, TIMING, Cluster, open_cluster, wait_for


def _count_running(cluster: Cluster, kind: TaskKind) -> int:
    return sum(
        spec.kind is kind
        for worker in cluster.workers.values()
        for spec in worker.running.values()
    )


async def test_services_watches_and_jobs_run() -> None:
    async with open_cluster() as cluster:
        await wait_for(lambda: _count_running(cluster, TaskKind.SERVICE) == 2)
        await wait_for(lambda: _count_running(cluster, TaskKind.WATCH) == 2)
        assert (await cluster.submit("north", "a")).accepted
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        assert finished_tasks(cluster.runs())["north.a/0"] == 1


async def test_job_survives_the_death_of_its_cells_owner() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=60.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        first = await cluster.wait_owner("north")
        cluster.kill_entry(first.peers.local_identity.name)
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        runs = [r for r in cluster.runs() if r.task == "north.a/0"]
        # The worker was reachable, so the new owner adopted its running task.
        assert len(runs) == 1


async def test_worker_dies_and_its_task_resumes_once_after_the_lease() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=30.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        run = next(r for r in cluster.runs() if r.task == "north.a/0")
        cluster.kill_worker(run.machine)
        killed = trio.current_time()
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        runs = [r for r in cluster.runs() if r.task == "north.a/0"]
        assert len(runs) == 2
        assert runs[1].started - killed >= TIMING.lease - 2.1


async def test_owner_and_worker_die_together() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=20.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        run = next(r for r in cluster.runs() if r.task == "north.a/0")
        owner = await cluster.wait_owner("north")
        cluster.cut(owner.peers.local_identity.name, run.machine)
        cluster.kill_entry(owner.peers.local_identity.name)
        # The worker goes on until its lease ends, but no VM can reach it.
        for entry in cluster.entries.values():
            entry.gate.cut.add(run.machine)
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        assert finished_tasks(cluster.runs())["north.a/0"] >= 1


async def test_paused_owner_wakes_after_it_was_superseded() -> None:
    async with open_cluster() as cluster:
        owner = await cluster.wait_owner("north")
        name = owner.peers.local_identity.name
        assert (await cluster.submit("north", "a", seconds=40.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        cluster.entries[name].gate.pause()
        await wait_for(lambda: cluster.owner("north") not in (None, owner))
        await trio.sleep(TIMING.takeover_wait + 5)
        cluster.entries[name].gate.resume()
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        await trio.sleep(20)
        assert not owner.owned.get("north")


async def test_work_goes_on_while_the_log_is_away() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=5.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        cluster.log.faults.plan = FaultPlan(away=True)
        await trio.sleep(2)
        verdict = await cluster.submit("north", "b", timeout=3.0)
        assert verdict.outcome is Outcome.NOT_SENT
        await trio.sleep(30)
        # This is far longer than confidence and lease, and nothing expired.
        assert _count_running(cluster, TaskKind.WATCH) == 2
        assert cluster.job_state("north.a") == "accepted"
        cluster.log.faults.plan = FaultPlan()
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        runs = [r for r in cluster.runs() if r.task == "north.a/0"]
        assert len(runs) == 1
        assert cluster.job_state("north.b") == ""


async def test_only_the_owner_is_cut_off_from_the_log() -> None:
    async with open_cluster() as cluster:
        owner = await cluster.wait_owner("north")
        cluster.cut(owner.peers.local_identity.name, "log")
        # Its peers send it the records of the log, so it stays confirmed.
        await trio.sleep(40)
        assert cluster.owner("north") is owner


async def test_owner_cut_off_from_everyone_falls_silent() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=90.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        owner = await cluster.wait_owner("north")
        name = owner.peers.local_identity.name
        for other in [*cluster.entries, "log"]:
            if other != name:
                cluster.cut(name, other)
        await wait_for(lambda: cluster.owner("north") not in (None, owner))
        await trio.sleep(TIMING.confidence + 1)
        assert not owner.authority.may_act("cell:north")
        cluster.reconnect(name)
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        assert finished_tasks(cluster.runs())["north.a/0"] == 1


async def test_lost_replies_of_the_log_double_nothing() -> None:
    faults = FaultPlan(lose_replies=0.3, lose_requests=0.2)
    async with open_cluster(log_faults=faults) as cluster:
        for number in range(10):
            verdict = await cluster.submit("north", f"j{number}", timeout=60.0)
            assert verdict.accepted
        jobs = [f"north.j{number}" for number in range(10)]
        await wait_for(
            lambda: all(cluster.job_state(j) == "finished" for j in jobs)
        )
        done = finished_tasks(cluster.runs())
        assert all(done[f"{job}/0"] == 1 for job in jobs)


async def test_fresh_entry_vm_joins_while_the_log_is_away() -> None:
    async with open_cluster() as cluster:
        await cluster.wait_owner("north")
        version = cluster.nodes[0].config.state.version
        cluster.log.faults.plan = FaultPlan(away=True)
        await trio.sleep(5)
        fresh = cluster.add_entry("e9", "north")
        await wait_for(
            lambda: fresh.node.config.state.version == version, timeout=10
        )
        assert fresh.node.get_config() is not None
        assert not fresh.node.authority.may_claim()
        cluster.log.faults.plan = FaultPlan()
        await wait_for(fresh.node.authority.may_claim)


async def test_leaving_worker_is_emptied_and_its_task_resumes() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=30.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        await trio.sleep(15)
        run = next(r for r in cluster.runs() if r.task == "north.a/0")
        cluster.vms.leave(run.machine)
        worker = cluster.workers[run.machine]
        await wait_for(lambda: not worker.running, timeout=6)
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        runs = [r for r in cluster.runs() if r.task == "north.a/0"]
        assert len(runs) == 2
        # It resumed from its checkpoint with about 15 s remaining.
        assert runs[1].ended - runs[1].started < 20
        await trio.sleep(20)
        assert not worker.running


async def test_planned_stop_hands_cells_over_at_once() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=30.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        owner = await cluster.wait_owner("north")
        began = trio.current_time()
        await owner.drain()
        cluster.kill_entry(owner.peers.local_identity.name)
        await cluster.wait_owner("north")
        assert trio.current_time() - began < 3
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        runs = [r for r in cluster.runs() if r.task == "north.a/0"]
        assert len(runs) == 1


async def test_members_that_are_gone_are_removed_after_the_wait() -> None:
    async with open_cluster() as cluster:
        await cluster.wait_owner("north")
        await wait_for(
            lambda: len(cluster.nodes[0].authority.fold.state.members) == 3
        )
        gone = cluster.entries["e2"].node.process
        cluster.kill_entry("e2")
        cluster.vms.remove("e2")
        began = trio.current_time()
        members = cluster.nodes[0].authority.fold.state.members
        await wait_for(lambda: gone not in members)
        assert trio.current_time() - began >= TIMING.takeover_wait


async def test_racing_operators_one_wins_and_none_reverts() -> None:
    async with open_cluster() as cluster:
        base = cluster.nodes[0].config.state.version
        text = FILES["10.yaml"]
        verdicts = []

        async def change(replicas: int) -> None:
            changed = text.replace("replicas: 2", f"replicas: {replicas}")
            verdicts.append(
                await cluster.apply({"10.yaml": changed}, base=base)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, 3)
            nursery.start_soon(change, 4)
        assert sorted(v.outcome for v in verdicts) == ["accepted", "rejected"]
        version = max(v.offset for v in verdicts if v.accepted) + 1
        await wait_for(
            lambda: all(
                n.config.state.version == version for n in cluster.nodes
            ),
            timeout=1,
        )


async def test_replica_is_withdrawn_before_it_is_stopped() -> None:
    async with open_cluster() as cluster:
        await wait_for(lambda: _count_running(cluster, TaskKind.SERVICE) == 2)
        await wait_for(
            lambda: all(
                len(n.target_registry.services()["stock"]) == 2
                for n in cluster.nodes
            )
        )
        worker = next(
            w
            for w in cluster.workers.values()
            if w.service.running == {"stock"}
        )
        began = trio.current_time()
        cluster.vms.leave(worker.shape.name)
        await wait_for(
            lambda: all(
                t.worker != worker.shape.name
                for n in cluster.nodes
                for t in n.target_registry.services()["stock"]
            )
        )
        assert trio.current_time() - began < 5
        # Requests in flight can finish before the replica is stopped.
        assert worker.service.running == {"stock"}
        await wait_for(lambda: not worker.service.running)
        await wait_for(lambda: _count_running(cluster, TaskKind.SERVICE) == 2)


async def test_worker_that_fails_everything_gets_few_tasks() -> None:
    async with open_cluster() as cluster:
        await cluster.wait_owner("north")
        broken = cluster.workers["north-w0"]
        broken.fails_all = True
        for number in range(40):
            assert (await cluster.submit("north", f"j{number}", 2.0)).accepted
            await trio.sleep(1)
        jobs = [f"north.j{number}" for number in range(40)]
        await wait_for(
            lambda: all(cluster.job_state(j) == "finished" for j in jobs)
        )
        runs_on_broken = [r for r in cluster.runs() if r.machine == "north-w0"]
        assert sum(r.kind == "batch" for r in runs_on_broken) <= 5


async def test_job_that_can_never_run_ends_with_its_reason() -> None:
    async with open_cluster() as cluster:
        node = await cluster.wait_owner("north")
        verdict = await node.owned["north"].accept(
            "north.bad",
            "planning",
            "plan",
            1,
            '{"seconds": 1, "failure": "no such region"}',
            5.0,
        )
        assert verdict.accepted
        await wait_for(lambda: cluster.job_state("north.bad") == "failed")
        runs = [r for r in cluster.runs() if r.task == "north.bad/0"]
        assert len({r.machine for r in runs}) == len(runs) == 3
        job = node.owned["north"].fold.state.jobs["north.bad"]
        assert job.reason == "no such region"
        # The failure is the job's fault, so no worker is quarantined.
        assert all(
            not node.owned["north"].explain_worker(r.machine) for r in runs
        )


async def test_wave_of_cancellations() -> None:
    async with open_cluster() as cluster:
        node = await cluster.wait_owner("north")
        owner = node.owned["north"]
        names = [f"north.c{number}" for number in range(500)]
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(
                    owner.accept, name, "planning", "plan", 1, "", 30.0
                )
        appends = cluster.log.appends["cell-north"]
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(owner.cancel, name, 30.0)
        assert all(
            cluster.job_state(name) in ("cancelled", "finished")
            for name in names
        )
        assert cluster.log.appends["cell-north"] - appends <= 10
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 0)


async def test_tasks_that_use_more_than_declared_get_more_room() -> None:
    async with open_cluster() as cluster:
        await cluster.wait_owner("north")
        # Tasks declare 2 processors and 5 s but use 3 and run for a minute.
        for worker in cluster.workers.values():
            worker.usage_factor = 1.5
        assert (await cluster.submit("north", "first", 60.0)).accepted
        await trio.sleep(10)
        for worker in cluster.workers.values():
            worker.usage_factor = 1.0
        for number in range(12):
            await cluster.submit("north", f"j{number}", 60.0)
        await trio.sleep(5)
        placed = [
            spec
            for worker in cluster.workers.values()
            for spec in worker.running.values()
            if spec.kind is TaskKind.BATCH and spec.task != "north.first/0"
        ]
        assert placed
        assert all(spec.size.processors > 2.9 for spec in placed)
        assert len(placed) <= 6
        owner = await cluster.wait_owner("north")
        waiting = [
            task.reason
            for task in owner.owned["north"].tasks.values()
            if not task.worker
        ]
        assert waiting and "processors on 3" in waiting[0], waiting


async def test_finish_unrecorded_at_a_take_over_is_not_run_again() -> None:
    async with open_cluster() as cluster:
        assert (await cluster.submit("north", "a", seconds=5.0)).accepted
        await wait_for(lambda: _count_running(cluster, TaskKind.BATCH) == 1)
        cluster.log.faults.plan = FaultPlan(away=True)
        await wait_for(lambda: finished_tasks(cluster.runs())["north.a/0"] == 1)
        owner = await cluster.wait_owner("north")
        cluster.kill_entry(owner.peers.local_identity.name)
        await trio.sleep(5)
        cluster.log.faults.plan = FaultPlan()
        await wait_for(lambda: cluster.job_state("north.a") == "finished")
        await trio.sleep(5)
        assert len([r for r in cluster.runs() if r.kind == "batch"]) == 1
