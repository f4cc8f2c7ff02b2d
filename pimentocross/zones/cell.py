"""A cell as its owner runs it: jobs, standing tasks and workers."""

from collections.abc import Callable, Sequence

import trio

from pimentocross.backing.vms import Vm
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
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome, Verdict
from pimentocross.placement.policy import PlacementPolicy
from pimentocross.vms.worker import Worker, cell_resource, is_exclusive
from pimentocross.zones import const
from pimentocross.zones.cell_records import CellRecorder
from pimentocross.zones.cell_roster import CellRoster
from pimentocross.zones.cell_state import (
    KINDS,
    CellOpened,
    CellState,
    JobAccepted,
    JobCancelled,
)
from pimentocross.zones.placer import Placer
from pimentocross.zones.rebalancing import rebalance
from pimentocross.zones.tasks import (
    TaskPhase,
    WantedTask,
    job_tasks,
    pending_in_order,
    sync_standing,
    task_id,
)
from pimentocross.zones.views import CellLoad, LoadGauge, Target, find_targets
from pimentocross.zones.withdrawals import Withdrawals

_CHANGING_HANDS = Verdict(Outcome.NOT_SENT, reason="the cell is changing hands")


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
        self._placer = Placer(policy)
        self._on_targets = on_targets
        self._tasks: dict[str, WantedTask] = {}
        self._opened = False
        self._opened_at = 0.0
        self._gauge = LoadGauge()
        self._stopped = False
        self._attempts = 0
        self._woken = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._config_version = -1
        self._withdrawals = Withdrawals(lambda: config.state.config, on_targets)
        self._recorder = CellRecorder(
            self._resource, authority, fold, self._tasks, self._wake
        )
        self._roster = CellRoster(
            name,
            self._epoch,
            authority,
            fold,
            dialer,
            list_vms,
            self._recorder,
            self,
        )

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
        return self._roster.workers

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
            self._nursery = self._recorder.nursery = nursery
            self._withdrawals.nursery = nursery
            if await self._open():
                nursery.start_soon(self._roster.follow)
                nursery.start_soon(self._follow_records)
                nursery.start_soon(
                    rebalance,
                    self._tasks,
                    self._roster.workers,
                    self._placer,
                    lambda: self._config.state.config,
                    self.evict,
                )
                await self._place_while_owner()
            self._end()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Stops acting at once; what runs goes on under its leases."""
        self._end()

    def load(self) -> CellLoad:
        """Returns how full the cell was a moment ago."""
        return self._gauge.read(self._tasks, self._roster.workers)

    def targets(self) -> list[Target]:
        """Returns where services answer, without leaving workers."""
        return find_targets(
            self._name,
            self._tasks.values(),
            self._roster.workers,
            self._config.state.config,
        )

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
            return _CHANGING_HANDS
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
            return _CHANGING_HANDS
        record = JobCancelled(self._epoch, job)
        return await self._fold.publish(
            KINDS.encode(record), timeout=timeout, fail_fast=True
        )

    def leave(self, worker: str) -> bool:
        """Empties a worker: nothing new, and what runs moves on."""
        found = self._roster.workers.get(worker)
        if found is None:
            return False
        found.leaving = True
        self.on_change(found)
        return True

    def evict(self, task: WantedTask, reason: str) -> None:
        """Stops a running task; it resumes from its checkpoint."""
        worker = self._roster.workers.get(task.worker)
        if worker is None or task.phase is not TaskPhase.RUNNING:
            return
        task.phase = TaskPhase.STOPPING
        task.reason = reason
        if task.kind is TaskKind.SERVICE:
            self._withdrawals.withdraw(worker, task.spec())
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
        if task is None or not task.may_be_on(worker.name, spec.attempt):
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

    def _on_ended(self, worker: Worker, report: TaskReport) -> None:
        spec = report.spec
        task = self._tasks.get(spec.task)
        if task is None or task.kind is not TaskKind.BATCH:
            worker.forget(spec.task, spec.attempt)
            if task is not None and task.worker == worker.name:
                task.requeue(trio.current_time(), "it ended by itself")
                task.not_before = trio.current_time() + const.FAILURE_BACKOFF
            return
        if task.may_be_on(worker.name, spec.attempt):
            # Also one that an earlier owner started and that ended meanwhile:
            # left pending, it would be run again before its end is recorded.
            task.worker = worker.name
            task.attempt = spec.attempt
            task.phase = TaskPhase.ENDING
            task.reason = "its end is being recorded"
        if self._recorder.record_end(worker, task, report):
            finished = report.state is TaskState.FINISHED
            self._placer.note_ended(worker.name, task.job, finished=finished)

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
            self._recorder.record_eviction(worker, task, report)
        else:
            worker.forget(spec.task, spec.attempt)

    # What the owner does by itself.

    async def _open(self) -> bool:
        """Makes earlier owners' records void; False if superseded."""
        verdict = await self._recorder.settle(CellOpened(self._epoch))
        if verdict is None:
            return False
        self._opened = True
        self._opened_at = trio.current_time()
        self._fold.state.take_touched()
        self._roster.sync()
        self._sync_tasks(list(self._fold.state.jobs))
        return True

    def _end(self) -> None:
        self._stopped = self._recorder.stopped = True
        for worker in self._roster.workers.values():
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

    def _sync_tasks(self, jobs: Sequence[str] | set[str]) -> None:
        config = self._config.state.config
        if config is None:
            return
        now = trio.current_time()
        if self._config_version != self._config.state.version:
            self._config_version = self._config.state.version
            for task in sync_standing(self._tasks, config, self._name, now):
                self._drop(task)
            jobs = list(self._fold.state.jobs)
        for name in jobs:
            job = self._fold.state.jobs.get(name)
            if job is None or job.ended:
                self._drop_job(name)
                continue
            for task_name, task in job_tasks(config, job, now).items():
                self._tasks.setdefault(task_name, task)

    def _drop_job(self, name: str) -> None:
        job = self._fold.state.jobs.get(name)
        width = job.accepted.tasks if job is not None else 0
        names = (task_id(name, index) for index in range(width))
        for task in [self._tasks[n] for n in names if n in self._tasks]:
            self._drop(task)

    def _drop(self, task: WantedTask) -> None:
        self._tasks.pop(task.task, None)
        worker = self._roster.workers.get(task.worker)
        if worker is not None and task.phase is not TaskPhase.ENDING:
            self._stop_unwanted(worker, task.spec())

    def _stop_unwanted(self, worker: Worker, spec: TaskSpec) -> None:
        if spec.kind is TaskKind.SERVICE:
            self._withdrawals.withdraw(worker, spec)
        else:
            worker.stop(spec.task, spec.attempt, checkpoint=False)

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
        blocked: set[tuple[str, Resources]] = set()
        for task in pending_in_order(self._tasks.values(), now):
            if (task.class_name, task.size) in blocked:
                continue
            if not self._may_start(task, now):
                continue
            if not self._place(task) and not task.avoid:
                blocked.add((task.class_name, task.size))

    def _may_start(self, task: WantedTask, now: float) -> bool:
        if now >= self._authority.takeover_done_at(self._resource):
            return True
        unmet = self._roster.unmet()
        patience = self._opened_at + const.MEETING_PATIENCE
        if not unmet or (not is_exclusive(task.kind) and now >= patience):
            return True
        task.reason = f"may still run on {', '.join(unmet)}"
        return False

    def _place(self, task: WantedTask) -> bool:
        config = self._config.state.config
        choice = self._placer.choose(
            task, self._roster.workers.values(), config
        )
        task.reason = choice.reason
        if not choice.worker:
            return False
        worker = self._roster.workers[choice.worker]
        self._attempts += 1
        task.attempt = Attempt(self._epoch, self._attempts)
        task.worker = worker.name
        task.phase = TaskPhase.STARTING
        worker.start(task.spec())
        self._placer.note_started(task, worker)
        return True
