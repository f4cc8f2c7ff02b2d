"""One worker as its cell's owner sees it, and the task that talks to it."""

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
    """What the owner wants to hear of a worker."""

    def on_report(self, worker: "Worker", report: TaskReport) -> None:
        """A task changed on the worker."""
        ...

    def on_not_started(self, worker: "Worker", spec: TaskSpec) -> None:
        """A start was taken, yet the worker does not run the task."""
        ...

    def on_lapsed(self, worker: "Worker") -> None:
        """All leases of the worker have lapsed in silence."""
        ...

    def on_usage(self, worker: "Worker", usage: Sequence[Usage]) -> None:
        """The worker reported usage, times on this process's clock."""
        ...

    def on_change(self, worker: "Worker") -> None:
        """The worker's reachability, capacity or address changed."""
        ...


class Worker:
    """A worker: its commitments, its health and the exchanges with it.

    Attributes:
        commitments: What is reserved on it.
        leaving: True once it gets nothing new.
        service_address: Where its service tasks answer, as host:port.
        connections: Connections that its service tasks accept.
    """

    def __init__(
        self,
        name: str,
        cell: str,
        link: WorkerLink,
        authority: Authority,
        epoch: int,
    ) -> None:
        """Binds the worker to the epoch of one ownership of its cell."""
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
        self._seen = 0
        self._met = False
        self._ever_met = False
        self._lease_ends_at = float("-inf")
        self._granted_until = 0.0
        self._service_granted_until = 0.0
        self._doubtful = False
        self._starts: dict[str, Start] = {}
        self._commands: list[Command] = []
        self._commanded = trio.Event()
        self._batch_running: set[str] = set()
        self._stopped = False

    @property
    def name(self) -> str:
        """Its name."""
        return self._name

    @property
    def met(self) -> bool:
        """True while what runs on it is known."""
        return self._met

    @property
    def ever_met(self) -> bool:
        """True once it has rejected lower epochs under this ownership."""
        return self._ever_met

    @property
    def lease_ends_at(self) -> float:
        """When all leases granted under this ownership have lapsed."""
        return self._lease_ends_at

    @property
    def incarnation(self) -> str:
        """Id of its process, as last met."""
        return self._incarnation

    def start(self, spec: TaskSpec) -> None:
        """Reserves for a task and queues its start.

        Raises:
            OverCommitError: It does not fit; nothing is queued.
        """
        self.commitments.reserve(spec.task, spec.size)
        self._starts[spec.task] = Start(spec)
        self._commanded.set()

    def stop(self, task: str, attempt: Attempt, *, checkpoint: bool) -> None:
        """Queues the stop of a task."""
        self._queue(Stop(task, attempt, checkpoint))

    def throttle(self, task: str, attempt: Attempt, share: float) -> None:
        """Queues a limit on a task's processors."""
        self._queue(Throttle(task, attempt, share))

    def forget(self, task: str, attempt: Attempt) -> None:
        """Queues that a task's end is recorded."""
        self._queue(Forget(task, attempt))

    def end(self) -> None:
        """Sends nothing any more: the ownership ends."""
        self._stopped = True

    async def run(self, events: WorkerEvents) -> None:
        """Exchanges with the worker until the ownership ends."""
        while not self._stopped:
            if not self._authority.may_act(self._resource):
                await trio.sleep(const.EXCHANGE_BACKOFF)
            elif await self._exchange_once(events):
                await self._wait_turn()
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
            self._commanded.set()

    async def _wait_turn(self) -> None:
        interval = const.EXCHANGE_INTERVAL
        if self._batch_running:
            interval = const.BUSY_EXCHANGE_INTERVAL
        if not self._starts and not self._commands:
            self._commanded = trio.Event()
        with trio.move_on_after(interval):
            await self._commanded.wait()

    async def _exchange_once(self, events: WorkerEvents) -> bool:
        commands = self._next_commands()
        request = self._build(commands)
        try:
            reply = await self._link.exchange(request)
        except WorkerUnreachableError:
            self._doubtful = True
            return False
        except WorkerRefusedError as error:
            self._note_refusal(error.refusal, events)
            return False
        self._doubtful = False
        if self._stopped:
            return True
        self._note_reply(request, reply, events)
        self._settle_commands(commands, reply, events)
        return True

    def _next_commands(self) -> list[Command]:
        if not self._met:
            return []
        # In doubt no lease is granted, and without one nothing may start.
        starts = [] if self._doubtful else list(self._starts.values())
        return [*starts, *self._commands][: const.MAX_COMMANDS_PER_EXCHANGE]

    def _build(self, commands: Sequence[Command]) -> Exchange:
        self._sequence += 1
        now = trio.current_time()
        not_after = min(self._authority.may_act_until, now + const.COMMAND_TTL)
        if self._met and not self._doubtful:
            self._grant(now)
        return Exchange(
            self._cell,
            self._epoch,
            self._sequence,
            self._incarnation if self._met else "",
            self._to_worker_clock(not_after),
            self._to_worker_clock(self._granted_until),
            self._to_worker_clock(self._service_granted_until),
            self._seen if self._met else 0,
            [COMMANDS.pack(command) for command in commands],
        )

    def _grant(self, now: float) -> None:
        # While answers fail, none is granted: each try could land and renew,
        # and the lease that has to lapse would move on for ever.
        timing = self._authority.timing
        self._granted_until = now + timing.lease
        self._service_granted_until = now + const.SERVICE_LEASE
        lease_end = now + timing.lease_wait
        self._lease_ends_at = max(self._lease_ends_at, lease_end)

    def _to_worker_clock(self, at: float) -> float:
        # The worker read its clock before its reply came in, so the result
        # is at the latest the moment meant, never after it.
        ahead = at - self._clock_read_at
        return self._clock + ahead * (1 - self._authority.timing.drift)

    def _note_refusal(self, refusal: Refusal, events: WorkerEvents) -> None:
        if refusal in (Refusal.INCARNATION, Refusal.TOO_LATE):
            self._met = False
            events.on_change(self)

    def _note_reply(
        self, request: Exchange, reply: ExchangeReply, events: WorkerEvents
    ) -> None:
        self._clock = reply.clock
        self._clock_read_at = trio.current_time()
        self._seen = reply.seen
        was = (self._met, self.leaving, self.service_address)
        self.commitments.set_capacity(reply.capacity)
        self.service_address = reply.service_address
        self.connections = reply.connections
        self.leaving = self.leaving or reply.leaving
        if not request.incarnation:
            self._meet(reply, events)
        for report in reply.changes:
            self._note_report(report, events)
        self._pass_usage(reply, events)
        if was != (self._met, self.leaving, self.service_address):
            events.on_change(self)

    def _meet(self, reply: ExchangeReply, events: WorkerEvents) -> None:
        reported = {report.spec.task for report in reply.changes}
        held = [t for t in self.commitments.tasks if t not in reported]
        self._incarnation = reply.incarnation
        self._met = self._ever_met = True
        # An earlier owner may have granted leases until it was fenced here.
        lease_end = trio.current_time() + self._authority.timing.lease_wait
        self._lease_ends_at = max(self._lease_ends_at, lease_end)
        self._batch_running.clear()
        for task in held:
            # Its process is gone, or a start never arrived there.
            self.commitments.release(task)
            start = self._starts.pop(task, None)
            if start is not None:
                events.on_not_started(self, start.spec)
        if held:
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

    def _settle_commands(
        self,
        commands: Sequence[Command],
        reply: ExchangeReply,
        events: WorkerEvents,
    ) -> None:
        known = {(r.spec.task, r.spec.attempt) for r in reply.changes}
        sent = {id(command) for command in commands}
        self._commands = [c for c in self._commands if id(c) not in sent]
        for command in commands:
            if not isinstance(command, Start):
                continue
            spec = command.spec
            self._starts.pop(spec.task, None)
            if (spec.task, spec.attempt) not in known:
                self.commitments.release(spec.task)
                events.on_not_started(self, spec)

    def _pass_usage(self, reply: ExchangeReply, events: WorkerEvents) -> None:
        if not reply.usage:
            return
        shift = self._clock_read_at - reply.clock
        shifted = [
            usage._replace(measured_at=usage.measured_at + shift)
            for usage in reply.usage
        ]
        events.on_usage(self, shifted)

    def _check_lapsed(self, events: WorkerEvents) -> None:
        if self._met and trio.current_time() > self._lease_ends_at:
            self._met = False
            self._starts.clear()
            self._commands.clear()
            events.on_lapsed(self)
            events.on_change(self)


def cell_resource(cell: str) -> str:
    """Returns the name under which a cell is owned."""
    return f"cell:{cell}"


def is_exclusive(kind: TaskKind) -> bool:
    """True for tasks that must never run in two places."""
    return kind is not TaskKind.SERVICE
