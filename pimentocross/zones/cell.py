"""A cell as its owner runs it: jobs, standing tasks and workers."""

from collections.abc import Callable, Sequence
import heapq
from typing import NamedTuple

import trio

from pimentocross.backing.vms import Vm, VmRole, VmState
from pimentocross.backing.workers import (
    Attempt,
    Resources,
    TaskKind,
    TaskReport,
    TaskSpec,
    TaskState,
    Usage,
    WorkerDialer,
)
from pimentocross.config.state import ConfigState
from pimentocross.contracts.authority import Authority
from pimentocross.contracts.fold import Outcome, StreamFold, Verdict
from pimentocross.placement.const import MOVE_INTERVAL
from pimentocross.placement.policy import PlacementPolicy
from pimentocross.vms.worker import Worker, cell_resource, is_exclusive
from pimentocross.zones import const
from pimentocross.zones.cell_state import (
    KINDS,
    CellOpened,
    CellRecord,
    CellState,
    JobAccepted,
    JobCancelled,
    TaskEnded,
    TaskEvicted,
    WorkerRostered,
)
from pimentocross.zones.placer import Placer
from pimentocross.zones.tasks import (
    TaskPhase,
    WantedTask,
    job_tasks,
    standing_tasks,
    task_id,
)


class Target(NamedTuple):
    """Where a service answers.

    Attributes:
        service: Its name.
        worker: The worker that runs it.
        address: host:port.
        concurrency: Requests that it runs at once.
        connections: Connections that it accepts from all entry VMs.
        zone: Its availability zone.
    """

    service: str
    worker: str
    address: str
    concurrency: int
    connections: int
    zone: str


class CellLoad(NamedTuple):
    """How full a cell is, for the choice of a cell for a new job."""

    pending: int
    running: int
    free_slots: int


class CellOwner:
    """Runs one cell for as long as its ownership stands."""

    def __init__(
        self,
        name: str,
        authority: Authority,
        fold: StreamFold[CellState],
        config: StreamFold[ConfigState],
        dialer: WorkerDialer,
        list_vms: Callable[[], list[Vm]],
        *,
        policy: PlacementPolicy | None = None,
        on_targets: Callable[[], None] = lambda: None,
    ) -> None:
        """Takes the ownership's newest epoch; `run` acts on it."""
        self._name = name
        self._resource = cell_resource(name)
        self._authority = authority
        self._epoch = authority.epoch(self._resource)
        self._fold = fold
        self._config = config
        self._dialer = dialer
        self._list_vms = list_vms
        self._placer = Placer(policy)
        self._on_targets = on_targets
        self._workers: dict[str, Worker] = {}
        self._tasks: dict[str, WantedTask] = {}
        self._opened = False
        self._opened_at = 0.0
        self._load = CellLoad(0, 0, 0)
        self._loaded_at = float("-inf")
        self._stopped = False
        self._attempts = 0
        self._woken = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._config_version = -1
        self._recording: set[tuple[str, Attempt]] = set()

    @property
    def name(self) -> str:
        """The cell's name."""
        return self._name

    @property
    def epoch(self) -> int:
        """Epoch of this ownership."""
        return self._epoch

    @property
    def opened(self) -> bool:
        """True once records of earlier owners are rejected."""
        return self._opened

    @property
    def fold(self) -> StreamFold[CellState]:
        """The fold of the cell's stream."""
        return self._fold

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by name."""
        return self._workers

    def explain_worker(self, worker: str) -> str:
        """Returns why a worker gets no batch tasks, or ""."""
        return self._placer.explain(worker)

    @property
    def tasks(self) -> dict[str, WantedTask]:
        """Wanted tasks by id."""
        return self._tasks

    async def run(self) -> None:
        """Acts until the ownership is superseded or `stop` is called."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if await self._open():
                nursery.start_soon(self._follow_vm_list)
                nursery.start_soon(self._follow_records)
                nursery.start_soon(self._rebalance)
                await self._place_while_owner()
            self._end()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Stops acting at once; what runs goes on under its leases."""
        self._end()

    def load(self) -> CellLoad:
        """Returns how full the cell was a moment ago."""
        now = trio.current_time()
        if now - self._loaded_at >= const.LOAD_INTERVAL:
            self._load, self._loaded_at = self._count_load(), now
        return self._load

    def _count_load(self) -> CellLoad:
        pending = sum(
            t.phase is TaskPhase.PENDING for t in self._tasks.values()
        )
        free = sum(
            max(w.commitments.free.slots, 0)
            for w in self._workers.values()
            if w.met
        )
        return CellLoad(pending, len(self._tasks) - pending, free)

    def targets(self) -> list[Target]:
        """Returns where services answer, without leaving workers."""
        config = self._config.state.config
        found: list[Target] = []
        if config is None:
            return found
        for task in self._tasks.values():
            worker = self._workers.get(task.worker)
            runs = task.phase is TaskPhase.RUNNING
            service = config.services.get(task.class_name)
            if worker is None or service is None or not runs or worker.leaving:
                continue
            found.append(
                Target(
                    task.class_name,
                    worker.name,
                    worker.service_address,
                    service.concurrency,
                    worker.connections,
                    self._name,
                )
            )
        return found

    async def accept(
        self,
        job: str,
        tenant: str,
        class_name: str,
        tasks: int,
        input_text: str,
        timeout: float,
    ) -> Verdict:
        """Accepts a job once its record was read back; idempotent by id."""
        if self._stopped or not self._opened:
            return Verdict(
                Outcome.NOT_SENT, reason="the cell is changing hands"
            )
        config = self._config.state.config
        batch = config.batch.get(class_name) if config else None
        if config is None or batch is None:
            return Verdict(Outcome.REJECTED, reason=f"no class {class_name!r}")
        if job in self._fold.state.jobs:
            return Verdict(Outcome.ACCEPTED)
        if self._fold.state.open_jobs >= config.limits.jobs:
            return Verdict(Outcome.NOT_SENT, reason="too many jobs wait")
        record = JobAccepted(
            self._epoch, job, tenant, class_name, tasks, batch.tries, input_text
        )
        return await self._fold.publish(
            KINDS.encode(record), timeout=timeout, fail_fast=True
        )

    async def cancel(self, job: str, timeout: float) -> Verdict:
        """Cancels a job that has not ended."""
        if self._stopped or not self._opened:
            return Verdict(
                Outcome.NOT_SENT, reason="the cell is changing hands"
            )
        record = JobCancelled(self._epoch, job)
        return await self._fold.publish(
            KINDS.encode(record), timeout=timeout, fail_fast=True
        )

    def leave(self, worker: str) -> bool:
        """Empties a worker: nothing new, and what runs moves on."""
        found = self._workers.get(worker)
        if found is None:
            return False
        found.leaving = True
        self.on_change(found)
        return True

    def evict(self, task: WantedTask, reason: str) -> None:
        """Stops a running task; it resumes from its checkpoint."""
        worker = self._workers.get(task.worker)
        if worker is None or task.phase is not TaskPhase.RUNNING:
            return
        task.phase = TaskPhase.STOPPING
        task.reason = reason
        if task.kind is TaskKind.SERVICE:
            self._withdraw(worker, task.task, task.attempt, task.class_name)
        else:
            worker.stop(task.task, task.attempt, checkpoint=True)

    # What the workers tell.

    def on_report(self, worker: Worker, report: TaskReport) -> None:
        """Takes in that a task changed on a worker."""
        self._placer.count_classes(worker, self._tasks)
        if report.state is TaskState.RUNNING:
            self._on_running(worker, report)
        elif report.state in (TaskState.FINISHED, TaskState.FAILED):
            self._on_ended(worker, report)
        else:
            self._on_stopped(worker, report)
        self._wake()

    def on_not_started(self, worker: Worker, spec: TaskSpec) -> None:
        """Takes in that a start did not lead to a running task."""
        self._placer.note_lost(worker.name)
        task = self._tasks.get(spec.task)
        if task is not None and task.attempt == spec.attempt:
            task.requeue(trio.current_time(), f"{worker.name} did not start it")
        self._placer.count_classes(worker, self._tasks)
        self._wake()

    def on_lapsed(self, worker: Worker) -> None:
        """Takes in that all leases of a worker have lapsed."""
        now = trio.current_time()
        self._placer.note_lost(worker.name)
        for task in self._tasks.values():
            if (
                task.worker == worker.name
                and task.phase is not TaskPhase.ENDING
            ):
                task.requeue(now, f"lease on {worker.name} lapsed")
        self._wake()
        self._on_targets()

    def on_usage(self, worker: Worker, usage: Sequence[Usage]) -> None:
        """Takes in what a worker's tasks were seen to use."""
        self._placer.learn(worker, usage)

    def on_change(self, worker: Worker) -> None:
        """Takes in that a worker's health or address changed."""
        if worker.leaving:
            self._empty(worker)
        self._placer.count_classes(worker, self._tasks)
        self._wake()
        self._on_targets()

    def _on_running(self, worker: Worker, report: TaskReport) -> None:
        spec = report.spec
        task = self._tasks.get(spec.task)
        if task is None or not self._may_hold(task, worker, spec.attempt):
            if self._opened:
                self._stop_unwanted(worker, spec)
            return
        if task.phase is TaskPhase.STOPPING:
            return
        changed = task.phase is not TaskPhase.RUNNING
        task.worker = worker.name
        task.attempt = spec.attempt
        task.phase = TaskPhase.RUNNING
        task.reason = f"runs on {worker.name}"
        if changed and task.kind is TaskKind.SERVICE:
            self._on_targets()

    @staticmethod
    def _may_hold(task: WantedTask, worker: Worker, attempt: Attempt) -> bool:
        if task.phase is TaskPhase.PENDING:
            return attempt >= task.attempt
        return task.worker == worker.name and task.attempt == attempt

    def _on_ended(self, worker: Worker, report: TaskReport) -> None:
        spec = report.spec
        task = self._tasks.get(spec.task)
        if task is None or task.kind is not TaskKind.BATCH:
            worker.forget(spec.task, spec.attempt)
            if task is not None and task.worker == worker.name:
                task.requeue(trio.current_time(), "it ended by itself")
                task.not_before = trio.current_time() + const.FAILURE_BACKOFF
            return
        if self._may_hold(task, worker, spec.attempt):
            # Also one that an earlier owner started and that ended meanwhile:
            # left pending, it would be run again before its end is recorded.
            task.worker = worker.name
            task.attempt = spec.attempt
            task.phase = TaskPhase.ENDING
            task.reason = "its end is being recorded"
        self._record_end(worker, task, report)

    def _record_end(
        self, worker: Worker, task: WantedTask, report: TaskReport
    ) -> None:
        attempt = report.spec.attempt
        if (task.task, attempt) in self._recording or self._nursery is None:
            return
        self._recording.add((task.task, attempt))
        finished = report.state is TaskState.FINISHED
        self._placer.note_ended(worker.name, task.job, finished=finished)
        record = TaskEnded(
            self._epoch,
            task.job,
            task.index,
            attempt,
            finished,
            report.result[: const.RESULT_MOST],
            worker.name,
        )
        self._nursery.start_soon(self._publish_end, worker, task, record)

    async def _publish_end(
        self, worker: Worker, task: WantedTask, record: TaskEnded
    ) -> None:
        # The worker keeps the end until it is recorded, so it can wait.
        verdict = await self._publish_until_settled(record, urgent=False)
        self._recording.discard((task.task, record.attempt))
        if verdict is None:
            return
        worker.forget(task.task, record.attempt)
        wanted = self._tasks.get(task.task)
        if wanted is not None and wanted.phase is TaskPhase.ENDING:
            if record.finished:
                del self._tasks[task.task]
            else:
                self._retry_failed(wanted, record)
        self._wake()

    def _retry_failed(self, task: WantedTask, record: TaskEnded) -> None:
        now = trio.current_time()
        task.requeue(now, f"failed on {record.worker}: {record.result}")
        task.not_before = now + const.FAILURE_BACKOFF
        task.avoid.add(record.worker)

    def _on_stopped(self, worker: Worker, report: TaskReport) -> None:
        spec = report.spec
        self._placer.note_lost(worker.name)
        task = self._tasks.get(spec.task)
        held = (
            task is not None
            and task.worker == worker.name
            and task.attempt == spec.attempt
        )
        if task is None or not held:
            worker.forget(spec.task, spec.attempt)
            return
        task.checkpoint = report.checkpoint or task.checkpoint
        task.requeue(trio.current_time(), f"{report.state} on {worker.name}")
        if task.kind is TaskKind.BATCH and report.checkpoint:
            self._record_eviction(worker, task, report)
        else:
            worker.forget(spec.task, spec.attempt)

    def _record_eviction(
        self, worker: Worker, task: WantedTask, report: TaskReport
    ) -> None:
        if self._nursery is None:
            return
        record = TaskEvicted(
            self._epoch,
            task.job,
            task.index,
            report.spec.attempt,
            report.checkpoint,
        )
        self._nursery.start_soon(self._publish_eviction, worker, task, record)

    async def _publish_eviction(
        self, worker: Worker, task: WantedTask, record: TaskEvicted
    ) -> None:
        await self._publish_until_settled(record, urgent=False)
        worker.forget(task.task, record.attempt)

    # What the owner does by itself.

    async def _open(self) -> bool:
        """Makes earlier owners' records void; False if superseded."""
        verdict = await self._publish_until_settled(CellOpened(self._epoch))
        if verdict is None:
            return False
        self._opened = True
        self._opened_at = trio.current_time()
        self._fold.state.take_touched()
        self._sync_roster()
        self._sync_tasks(list(self._fold.state.jobs))
        return True

    async def _publish_until_settled(
        self, record: CellRecord, *, urgent: bool = True
    ) -> Verdict | None:
        """Publishes until every reader has judged the record.

        Returns:
            None if the ownership ended first.
        """
        body = self._fold.new_body(KINDS.encode(record))
        while not self._stopped and self._authority.owns(self._resource):
            verdict = await self._fold.publish(
                body, timeout=const.PUBLISH_TIMEOUT, urgent=urgent
            )
            if self._fold.state.epoch > self._epoch:
                # Superseded, though the claim may not have been read yet.
                return None
            if verdict.outcome in (Outcome.ACCEPTED, Outcome.REJECTED):
                return verdict
        return None

    def _end(self) -> None:
        self._stopped = True
        for worker in self._workers.values():
            worker.end()
        self._wake()

    def _wake(self) -> None:
        self._woken.set()

    async def _follow_records(self) -> None:
        while True:
            touched = self._fold.state.take_touched()
            if touched:
                self._sync_tasks(touched)
                self._wake()
            await self._fold.wait_change()

    async def _follow_vm_list(self) -> None:
        while True:
            self._sync_roster()
            await trio.sleep(const.VM_LIST_INTERVAL)

    def _sync_roster(self) -> None:
        listed = {
            vm.name: vm
            for vm in self._list_vms()
            if vm.role is VmRole.WORKER and vm.zone == self._name
        }
        for name, address in self._fold.state.roster.items():
            current = listed[name].address if name in listed else address
            self._add_worker(name, current)
        for name, vm in listed.items():
            if name not in self._fold.state.roster and self._nursery:
                self._nursery.start_soon(self._roster, name, vm.address)
            worker = self._workers.get(name)
            leaving = vm.state is VmState.LEAVING
            if worker is not None and leaving and not worker.leaving:
                worker.leaving = True
                self.on_change(worker)

    async def _roster(self, name: str, address: str) -> None:
        if (name, Attempt(0, 0)) in self._recording:
            return
        self._recording.add((name, Attempt(0, 0)))
        record = WorkerRostered(self._epoch, name, address)
        verdict = await self._publish_until_settled(record)
        self._recording.discard((name, Attempt(0, 0)))
        if verdict is not None and verdict.accepted:
            self._add_worker(name, address)

    def _add_worker(self, name: str, address: str) -> None:
        if name in self._workers or self._nursery is None or self._stopped:
            return
        worker = Worker(
            name,
            self._name,
            self._dialer.link(address),
            self._authority,
            self._epoch,
        )
        self._workers[name] = worker
        self._nursery.start_soon(worker.run, self)

    def _sync_tasks(self, jobs: Sequence[str] | set[str]) -> None:
        config = self._config.state.config
        if config is None:
            return
        now = trio.current_time()
        if self._config_version != self._config.state.version:
            self._config_version = self._config.state.version
            self._sync_standing(now)
            jobs = list(self._fold.state.jobs)
        for name in jobs:
            job = self._fold.state.jobs.get(name)
            if job is None or job.ended:
                self._drop_job(name)
                continue
            for task_name, task in job_tasks(config, job, now).items():
                self._tasks.setdefault(task_name, task)

    def _sync_standing(self, now: float) -> None:
        config = self._config.state.config
        assert config is not None
        standing = standing_tasks(config, self._name, now)
        for name, task in standing.items():
            self._tasks.setdefault(name, task)
        dropped = [
            task
            for task in self._tasks.values()
            if task.kind is not TaskKind.BATCH and task.task not in standing
        ]
        for task in dropped:
            self._drop(task)

    def _drop_job(self, name: str) -> None:
        job = self._fold.state.jobs.get(name)
        for index in range(job.accepted.tasks if job is not None else 0):
            task = self._tasks.get(task_id(name, index))
            if task is not None:
                self._drop(task)

    def _drop(self, task: WantedTask) -> None:
        self._tasks.pop(task.task, None)
        worker = self._workers.get(task.worker)
        if worker is not None and task.phase is not TaskPhase.ENDING:
            self._stop_unwanted(worker, task.spec())

    def _stop_unwanted(self, worker: Worker, spec: TaskSpec) -> None:
        if spec.kind is TaskKind.SERVICE:
            name = spec.class_name
            self._withdraw(worker, spec.task, spec.attempt, name)
        else:
            worker.stop(spec.task, spec.attempt, checkpoint=False)

    def _withdraw(
        self, worker: Worker, task: str, attempt: Attempt, service: str
    ) -> None:
        """Stops a replica once nobody sends to it and all have answers."""
        self._on_targets()
        config = self._config.state.config
        declared = config.services.get(service) if config else None
        longest = declared.timeout if declared else const.WITHDRAW_DEFAULT
        if self._nursery is not None:
            self._nursery.start_soon(
                self._stop_later,
                worker,
                task,
                attempt,
                longest + const.WITHDRAW_NOTICE,
            )

    async def _stop_later(
        self, worker: Worker, task: str, attempt: Attempt, delay: float
    ) -> None:
        await trio.sleep(delay)
        worker.stop(task, attempt, checkpoint=False)

    async def _rebalance(self) -> None:
        """Moves one replica at a time away from what slows it."""
        while True:
            await trio.sleep(MOVE_INTERVAL)
            settled = all(
                task.phase is TaskPhase.RUNNING
                for task in self._tasks.values()
                if task.kind is TaskKind.SERVICE
            )
            if settled:
                self._move_replica()

    def _move_replica(self) -> None:
        move = self._placer.choose_move(
            self._tasks.values(),
            self._workers.values(),
            self._config.state.config,
        )
        if move is not None:
            gain = f"moves to {move.to}, cost falls by {move.gain:.2f}"
            self.evict(self._tasks[move.task], gain)

    def _empty(self, worker: Worker) -> None:
        for task in list(self._tasks.values()):
            if task.worker == worker.name:
                self.evict(task, f"{worker.name} is leaving")

    async def _place_while_owner(self) -> None:
        while not self._stopped and self._authority.owns(self._resource):
            self._woken = trio.Event()
            if self._config_version != self._config.state.version:
                self._sync_tasks([])
            if self._authority.may_act(self._resource):
                self._place_pending()
            with trio.move_on_after(const.PLACEMENT_INTERVAL):
                await self._woken.wait()
            await trio.sleep(const.PLACEMENT_SPACING)

    def _place_pending(self) -> None:
        now = trio.current_time()
        queue = [
            (_urgency(task), task.queued_at, task.task)
            for task in self._tasks.values()
            if task.phase is TaskPhase.PENDING and task.not_before <= now
        ]
        heapq.heapify(queue)
        blocked: set[tuple[str, Resources]] = set()
        while queue:
            task = self._tasks[heapq.heappop(queue)[2]]
            if (task.class_name, task.size) in blocked:
                continue
            if not self._may_start(task, now):
                continue
            if not self._place(task) and not task.avoid:
                blocked.add((task.class_name, task.size))

    def _may_start(self, task: WantedTask, now: float) -> bool:
        if now >= self._authority.takeover_done_at(self._resource):
            return True
        unmet = [w.name for w in self._workers.values() if not w.ever_met]
        if not unmet:
            return True
        patience = self._opened_at + const.MEETING_PATIENCE
        if not is_exclusive(task.kind) and now >= patience:
            return True
        task.reason = f"may still run on {', '.join(unmet)}"
        return False

    def _place(self, task: WantedTask) -> bool:
        config = self._config.state.config
        choice = self._placer.choose(task, self._workers.values(), config)
        task.reason = choice.reason
        if not choice.worker:
            return False
        worker = self._workers[choice.worker]
        self._attempts += 1
        task.attempt = Attempt(self._epoch, self._attempts)
        task.worker = worker.name
        task.phase = TaskPhase.STARTING
        worker.start(task.spec())
        self._placer.note_started(task, worker)
        return True


def _urgency(task: WantedTask) -> int:
    if task.kind is TaskKind.SERVICE:
        return 0
    if task.kind is TaskKind.WATCH:
        return 1
    return 2 if task.urgent else 3
