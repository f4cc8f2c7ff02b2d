"""A worker as its cell's owner sees it, and the exchanges with it."""

from collections.abc import Sequence
from typing import Protocol

import trio

from pimentocross.backing.workers import (
    COMMANDS,
    Attempt,
    Command,
    Exchange,
    ExchangeReply,
    Forget,
    Refusal,
    Start,
    Stop,
    TaskKind,
    TaskReport,
    TaskSpec,
    TaskState,
    Throttle,
    Usage,
    WorkerLink,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from pimentocross.contracts.authority import Authority
from pimentocross.vms.commitments import Commitments
from pimentocross.zones import const


class WorkerEvents(Protocol):
    """Callbacks by which the owner learns of changes of a worker."""

    def on_report(self, worker: "Worker", report: TaskReport) -> None:
        """Handles a task that changed on the worker."""
        ...

    def on_not_started(self, worker: "Worker", spec: TaskSpec) -> None:
        """Handles a start after which the worker doesn't run the task."""
        ...

    def on_lapsed(self, worker: "Worker") -> None:
        """Handles lapsed leases of a silent worker, or tasks that it lost."""
        ...

    def on_usage(self, worker: "Worker", usage: Sequence[Usage]) -> None:
        """Handles reported usage; its times are on this process's clock."""
        ...

    def on_change(self, worker: "Worker") -> None:
        """Handles a change of reachability, draining or service address."""
        ...


class Worker:
    """A worker: its reservations, its leases and the exchanges with it.

    Attributes:
        commitments: Resources that are reserved on the worker.
        leaving: Whether the worker is draining and gets no new tasks.
        service_address: Address of its service tasks, as host:port.
        connections: Number of connections that its service tasks accept.
    """

    def __init__(
        self,
        name: str,
        cell: str,
        link: WorkerLink,
        authority: Authority,
        epoch: int,
    ) -> None:
        """Initializes a worker for an ownership of its cell, with its epoch."""
        self.commitments = Commitments()
        self.leaving = False
        self.service_address = ""
        self.connections = 0
        self._name = name
        self._cell = cell
        self._link = link
        self._authority = authority
        self._epoch = epoch
        self._resource = cell_resource(cell)
        self._sequence = 0
        self._incarnation = ""
        self._clock = 0.0
        self._clock_read_at = 0.0
        self._last_seen_change = 0
        self._synced = False
        self._ever_synced = False
        self._lease_ends_at = float("-inf")
        self._granted_until = 0.0
        self._service_granted_until = 0.0
        self._reply_missing = False
        self._starts: dict[str, Start] = {}
        self._commands: list[Command] = []
        self._command_queued = trio.Event()
        self._batch_running: set[str] = set()
        self._stopped = False

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self._name

    @property
    def is_synced(self) -> bool:
        """True while the owner knows which tasks run on the worker."""
        return self._synced

    @property
    def ever_synced(self) -> bool:
        """True once it has answered this ownership and rejects lower epochs."""
        return self._ever_synced

    @property
    def lease_ends_at(self) -> float:
        """When all leases that may be in force have lapsed, monotonic."""
        return self._lease_ends_at

    @property
    def incarnation(self) -> str:
        """Id of the worker process that answered the newest synchronization."""
        return self._incarnation

    def start(self, spec: TaskSpec) -> None:
        """Reserves resources for a task and queues its start.

        Raises:
            OverCommitError: The task doesn't fit; nothing is queued.
        """
        self.commitments.reserve(spec.task, spec.size)
        self._starts[spec.task] = Start(spec)
        self._command_queued.set()

    def stop(self, task: str, attempt: Attempt, *, checkpoint: bool) -> None:
        """Queues the stop of a task."""
        self._queue(Stop(task, attempt, checkpoint))

    def throttle(self, task: str, attempt: Attempt, share: float) -> None:
        """Queues a limit on a task's processors."""
        self._queue(Throttle(task, attempt, share))

    def forget(self, task: str, attempt: Attempt) -> None:
        """Queues the message that the end of a task is recorded."""
        self._queue(Forget(task, attempt))

    def end(self) -> None:
        """Stops the exchanges, as the ownership ends."""
        self._stopped = True

    async def run(self, events: WorkerEvents) -> None:
        """Runs exchanges with the worker until the ownership ends."""
        while not self._stopped:
            if not self._authority.may_act(self._resource):
                await trio.sleep(const.EXCHANGE_BACKOFF)
            elif await self._exchange_once(events):
                await self._wait_for_next_exchange()
            else:
                self._check_lapsed(events)
                await trio.sleep(const.EXCHANGE_BACKOFF)

    def _queue(self, command: Command) -> None:
        queued = any(
            type(other) is type(command) and other == command
            for other in self._commands
        )
        if not queued:
            self._commands.append(command)
            self._command_queued.set()

    async def _wait_for_next_exchange(self) -> None:
        interval = const.EXCHANGE_INTERVAL
        if self._batch_running:
            interval = const.BUSY_EXCHANGE_INTERVAL
        if not self._starts and not self._commands:
            self._command_queued = trio.Event()
        with trio.move_on_after(interval):
            await self._command_queued.wait()

    async def _exchange_once(self, events: WorkerEvents) -> bool:
        commands = self._next_commands()
        request = self._build_request(commands)
        try:
            reply = await self._link.exchange(request)
        except WorkerUnreachableError:
            self._reply_missing = True
            return False
        except WorkerRefusedError as error:
            self._note_refusal(error.refusal, events)
            return False
        self._reply_missing = False
        if self._stopped:
            return True
        self._note_reply(request, reply, events)
        self._complete_commands(commands, reply, events)
        return True

    def _next_commands(self) -> list[Command]:
        if not self._synced:
            return []
        # No lease is granted while replies are missing, and nothing may start
        # without one.
        starts = [] if self._reply_missing else list(self._starts.values())
        return [*starts, *self._commands][: const.MAX_COMMANDS_PER_EXCHANGE]

    def _build_request(self, commands: Sequence[Command]) -> Exchange:
        self._sequence += 1
        now = trio.current_time()
        not_after = min(self._authority.may_act_until, now + const.COMMAND_TTL)
        if self._synced and not self._reply_missing:
            self._extend_leases(now)
        return Exchange(
            self._cell,
            self._epoch,
            self._sequence,
            self._incarnation if self._synced else "",
            self._to_worker_clock(not_after),
            self._to_worker_clock(self._granted_until),
            self._to_worker_clock(self._service_granted_until),
            self._last_seen_change if self._synced else 0,
            [COMMANDS.pack(command) for command in commands],
        )

    def _extend_leases(self, now: float) -> None:
        # Not called while replies are missing: each try could still arrive and
        # renew the lease, so that the owner could never wait for its end.
        timing = self._authority.timing
        self._granted_until = now + timing.lease
        self._service_granted_until = now + const.SERVICE_LEASE
        lease_end = now + timing.lease_wait
        self._lease_ends_at = max(self._lease_ends_at, lease_end)

    def _to_worker_clock(self, at: float) -> float:
        # The worker read its clock before its reply arrived, so the result is
        # never later than the intended time.
        ahead = at - self._clock_read_at
        return self._clock + ahead * (1 - self._authority.timing.drift)

    def _note_refusal(self, refusal: Refusal, events: WorkerEvents) -> None:
        if refusal in (Refusal.INCARNATION, Refusal.TOO_LATE):
            self._synced = False
            events.on_change(self)

    def _note_reply(
        self, request: Exchange, reply: ExchangeReply, events: WorkerEvents
    ) -> None:
        self._clock = reply.clock
        self._clock_read_at = trio.current_time()
        self._last_seen_change = reply.seen
        previous = (self._synced, self.leaving, self.service_address)
        self.commitments.set_capacity(reply.capacity)
        self.service_address = reply.service_address
        self.connections = reply.connections
        self.leaving = self.leaving or reply.leaving
        if not request.incarnation:
            self._sync(reply, events)
        for report in reply.changes:
            self._note_report(report, events)
        self._forward_usage(reply, events)
        if previous != (self._synced, self.leaving, self.service_address):
            events.on_change(self)

    def _sync(self, reply: ExchangeReply, events: WorkerEvents) -> None:
        reported = {report.spec.task for report in reply.changes}
        missing = [t for t in self.commitments.tasks if t not in reported]
        self._incarnation = reply.incarnation
        self._synced = self._ever_synced = True
        # A former owner may have granted leases until this exchange fenced it.
        lease_end = trio.current_time() + self._authority.timing.lease_wait
        self._lease_ends_at = max(self._lease_ends_at, lease_end)
        self._batch_running.clear()
        for task in missing:
            # The process that ran the task ended, or its start never arrived.
            self.commitments.release(task)
            start = self._starts.pop(task, None)
            if start is not None:
                events.on_not_started(self, start.spec)
        if missing:
            events.on_lapsed(self)

    def _note_report(self, report: TaskReport, events: WorkerEvents) -> None:
        spec = report.spec
        if report.state is TaskState.RUNNING:
            self.commitments.adopt(spec.task, spec.size)
            if spec.kind is TaskKind.BATCH:
                self._batch_running.add(spec.task)
        else:
            self.commitments.release(spec.task)
            self._batch_running.discard(spec.task)
        events.on_report(self, report)

    def _complete_commands(
        self,
        commands: Sequence[Command],
        reply: ExchangeReply,
        events: WorkerEvents,
    ) -> None:
        reported_attempts = {
            (r.spec.task, r.spec.attempt) for r in reply.changes
        }
        sent = {id(command) for command in commands}
        self._commands = [c for c in self._commands if id(c) not in sent]
        for command in commands:
            if not isinstance(command, Start):
                continue
            spec = command.spec
            self._starts.pop(spec.task, None)
            if (spec.task, spec.attempt) not in reported_attempts:
                self.commitments.release(spec.task)
                events.on_not_started(self, spec)

    def _forward_usage(
        self, reply: ExchangeReply, events: WorkerEvents
    ) -> None:
        if not reply.usage:
            return
        shift = self._clock_read_at - reply.clock
        shifted = [
            usage._replace(measured_at=usage.measured_at + shift)
            for usage in reply.usage
        ]
        events.on_usage(self, shifted)

    def _check_lapsed(self, events: WorkerEvents) -> None:
        if self._synced and trio.current_time() > self._lease_ends_at:
            self._synced = False
            self._starts.clear()
            self._commands.clear()
            events.on_lapsed(self)
            events.on_change(self)


def cell_resource(cell: str) -> str:
    """Returns the name of the resource whose owner owns the cell."""
    return f"cell:{cell}"


def is_exclusive(kind: TaskKind) -> bool:
    """True for kinds of tasks that must never run on two workers at once."""
    return kind is not TaskKind.SERVICE
