"""Runs a cell as its owner: jobs, services, watches and workers."""

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
    sync_services_and_watches,
    task_id,
)
from pimentocross.zones.views import CellLoad, LoadGauge, Target, find_targets
from pimentocross.zones.withdrawals import Withdrawals

_OWNERSHIP_CHANGING = Verdict(
    Outcome.NOT_SENT, reason="the cell is changing hands"
)


class CellOwner:
    """Runs one cell until this process loses the ownership of it."""

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
        on_targets_changed: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the owner with the newest epoch of its ownership.

        Args:
            name: The cell's name, which is also its availability zone.
            authority: Ownerships of this process and their epochs.
            fold: The cell's stream and its state.
            config: The configuration stream and its state.
            dialer: Connects to workers.
            list_vms: Returns the VMs that the platform lists.
            policy: Placement policy; None for the configured one.
            on_targets_changed: Called when `targets` may have changed.
        """
        self._name = name
        self._resource = cell_resource(name)
        self._authority = authority
        self._epoch = authority.epoch(self._resource)
        self._fold = fold
        self._config = config
        self._placer = Placer(policy)
        self._on_targets_changed = on_targets_changed
        self._tasks: dict[str, WantedTask] = {}
        self._opened = False
        self._opened_at = 0.0
        self._gauge = LoadGauge()
        self._stopped = False
        self._attempts = 0
        self._wake_event = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._config_version = -1
        self._withdrawals = Withdrawals(
            lambda: config.state.config, on_targets_changed
        )
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
        """Epoch (fencing token) of this ownership."""
        return self._epoch

    @property
    def opened(self) -> bool:
        """True once the stream rejects records of earlier owners."""
        return self._opened

    @property
    def fold(self) -> StreamFold[CellState]:
        """The cell's stream and the state folded from it."""
        return self._fold

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by name."""
        return self._roster.workers

    def explain_worker(self, worker: str) -> str:
        """Returns why a worker is quarantined, or "" if it is not."""
        return self._placer.explain(worker)

    @property
    def tasks(self) -> dict[str, WantedTask]:
        """Tasks that should run or are ending, by id."""
        return self._tasks

    async def run(self) -> None:
        """Runs the cell until it has a newer owner or `stop` is called."""
        async with trio.open_nursery() as nursery:
            self._nursery = self._recorder.nursery = nursery
            self._withdrawals.nursery = nursery
            if await self._open():
                nursery.start_soon(self._roster.follow_vm_list)
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
            self._stop_acting()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Stops acting at once; running tasks continue under their leases."""
        self._stop_acting()

    def load(self) -> CellLoad:
        """Returns the cell's load, at most `LOAD_INTERVAL` seconds old."""
        return self._gauge.read(self._tasks, self._roster.workers)

    def targets(self) -> list[Target]:
        """Returns the running service replicas, except on leaving workers."""
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
        """Accepts a job; repeated calls with one id accept it once.

        Returns:
            The outcome; accepted once the job's record has been read back.
        """
        if self._stopped or not self._opened:
            return _OWNERSHIP_CHANGING
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
        """Cancels a job; a job that has ended is rejected."""
        if self._stopped or not self._opened:
            return _OWNERSHIP_CHANGING
        record = JobCancelled(self._epoch, job)
        return await self._fold.publish(
            KINDS.encode(record), timeout=timeout, fail_fast=True
        )

    def drain_worker(self, worker: str) -> bool:
        """Drains a worker: starts nothing new on it and moves its tasks away.

        Returns:
            False if the cell has no such worker.
        """
        found = self._roster.workers.get(worker)
        if found is None:
            return False
        found.leaving = True
        self.on_change(found)
        return True

    def evict(self, task: WantedTask, reason: str) -> None:
        """Evicts a running task: withdraws a replica, checkpoints others."""
        worker = self._roster.workers.get(task.worker)
        if worker is None or task.phase is not TaskPhase.RUNNING:
            return
        task.phase = TaskPhase.STOPPING
        task.reason = reason
        if task.kind is TaskKind.SERVICE:
            self._withdrawals.withdraw(worker, task.spec())
        else:
            worker.stop(task.task, task.attempt, checkpoint=True)

    # Events of the workers.

    def on_report(self, worker: Worker, report: TaskReport) -> None:
        """Handles a report that a task's state changed on a worker."""
        self._placer.count_classes(worker, self._tasks)
        if report.state is TaskState.RUNNING:
            self._on_running(worker, report)
        elif report.state in (TaskState.FINISHED, TaskState.FAILED):
            self._on_ended(worker, report)
        else:
            self._on_stopped(worker, report)
        self._wake()

    def on_not_started(self, worker: Worker, spec: TaskSpec) -> None:
        """Queues a task again whose start led to no running task."""
        self._placer.note_lost(worker.name)
        task = self._tasks.get(spec.task)
        if task is not None and task.attempt == spec.attempt:
            task.requeue(trio.current_time(), f"{worker.name} did not start it")
        self._placer.count_classes(worker, self._tasks)
        self._wake()

    def on_lapsed(self, worker: Worker) -> None:
        """Queues tasks again once all leases of their worker have lapsed.

        Tasks whose end is being recorded are left as they are.
        """
        now = trio.current_time()
        self._placer.note_lost(worker.name)
        for task in self._tasks.values():
            if (
                task.worker == worker.name
                and task.phase is not TaskPhase.ENDING
            ):
                task.requeue(now, f"lease on {worker.name} lapsed")
        self._wake()
        self._on_targets_changed()

    def on_usage(self, worker: Worker, usage: Sequence[Usage]) -> None:
        """Passes the measured usage of a worker's tasks to placement."""
        self._placer.learn(worker, usage)

    def on_change(self, worker: Worker) -> None:
        """Handles a change of reachability, draining or service address."""
        if worker.leaving:
            self._evict_all(worker)
        self._placer.count_classes(worker, self._tasks)
        self._wake()
        self._on_targets_changed()

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
            self._on_targets_changed()

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
            # This includes tasks that an earlier owner started and that ended
            # before this owner reached the worker: left pending, such a
            # task would run again before its end is recorded.
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
        is_current_attempt = (
            task is not None
            and task.worker == worker.name
            and task.attempt == spec.attempt
        )
        if task is None or not is_current_attempt:
            worker.forget(spec.task, spec.attempt)
            return
        task.checkpoint = report.checkpoint or task.checkpoint
        task.requeue(trio.current_time(), f"{report.state} on {worker.name}")
        if task.kind is TaskKind.BATCH and report.checkpoint:
            self._recorder.record_eviction(worker, task, report)
        else:
            worker.forget(spec.task, spec.attempt)

    # Methods that the owner's own tasks run, as opposed to worker events, and
    # helpers.

    async def _open(self) -> bool:
        """Opens the cell so that records of earlier owners are rejected.

        Returns:
            False if a newer owner has taken the cell over.
        """
        verdict = await self._recorder.publish_until_decided(
            CellOpened(self._epoch)
        )
        if verdict is None:
            return False
        self._opened = True
        self._opened_at = trio.current_time()
        self._fold.state.take_changed_jobs()
        self._roster.sync()
        self._sync_tasks(list(self._fold.state.jobs))
        return True

    def _stop_acting(self) -> None:
        self._stopped = self._recorder.stopped = True
        for worker in self._roster.workers.values():
            worker.end()
        self._wake()

    def _wake(self) -> None:
        self._wake_event.set()

    async def _follow_records(self) -> None:
        while True:
            changed_jobs = self._fold.state.take_changed_jobs()
            if changed_jobs:
                self._sync_tasks(changed_jobs)
                self._wake()
            await self._fold.wait_change()

    def _sync_tasks(self, jobs: Sequence[str] | set[str]) -> None:
        config = self._config.state.config
        if config is None:
            return
        now = trio.current_time()
        if self._config_version != self._config.state.version:
            self._config_version = self._config.state.version
            for task in sync_services_and_watches(
                self._tasks, config, self._name, now
            ):
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
        task_count = job.accepted.tasks if job is not None else 0
        names = (task_id(name, index) for index in range(task_count))
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

    def _evict_all(self, worker: Worker) -> None:
        for task in list(self._tasks.values()):
            if task.worker == worker.name:
                self.evict(task, f"{worker.name} is leaving")

    async def _place_while_owner(self) -> None:
        while not self._stopped and self._authority.owns(self._resource):
            self._wake_event = trio.Event()
            if self._config_version != self._config.state.version:
                self._sync_tasks([])
            if self._authority.may_act(self._resource):
                self._place_pending()
            with trio.move_on_after(const.PLACEMENT_INTERVAL):
                await self._wake_event.wait()
            await trio.sleep(const.MIN_PLACEMENT_PAUSE)

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
        uncontacted = self._roster.uncontacted()
        contact_deadline = self._opened_at + const.FIRST_CONTACT_TIMEOUT
        if not uncontacted or (
            not is_exclusive(task.kind) and now >= contact_deadline
        ):
            return True
        task.reason = f"may still run on {', '.join(uncontacted)}"
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
