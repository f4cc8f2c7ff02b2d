"""In-memory fakes of a cell's workers, their directory and links to them."""

from collections.abc import Callable

import trio

from pimentocross.contracts.store import StoreUnavailableError
from pimentocross.contracts.worker_link import (
    HoldReply,
    StartOrder,
    StartReply,
    StartVerdict,
    WorkerFencedError,
    WorkerLife,
    WorkerReplacedError,
    WorkerUnreachableError,
)
from pimentocross.standins.task_worker import (
    RunEvent,
    TaskPlan,
    TaskWorkerStandin,
)
from pimentocross.work.spec import TaskName

_POLL_INTERVAL = 0.02


class TaskWorkerLink:
    """Access to a stand-in worker; see `WorkerLink`."""

    def __init__(self, worker: TaskWorkerStandin, cut: set[str]) -> None:
        """Initializes a link with the lives that this VM cannot reach."""
        self._worker = worker
        self._cut = cut
        # The life to which connections are open, by its birth time.
        self._connected_to: int | None = None
        self._connected_at = 0.0

    async def hold(
        self,
        token: int,
        seen: int,
        deadline: float | None,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Renews the lease; returns runs and endings, waiting for endings."""
        worker = self._worker
        await self._send_order(
            lambda: worker.handle_hold(
                token, self.seen_on_arrival(seen), deadline
            ),
            timeout,
        )
        born = worker.life.born
        until = trio.current_time() + wait
        reply = worker.listing()
        ends_at = trio.current_time() + timeout
        while not reply.endings and trio.current_time() < until:
            await trio.sleep(_POLL_INTERVAL)
            if worker.dark:
                await trio.sleep_until(ends_at)
                raise WorkerUnreachableError("no answer in time")
            worker.check_connected(born)
            reply = worker.listing()
        if self._unreachable():
            raise WorkerUnreachableError("no answer in time")
        return reply

    def seen_on_arrival(self, seen: int) -> int:
        """Returns the last ending that a listing acknowledges as it arrives.

        Args:
            seen: The last ending that it acknowledged when it was sent.
        """
        return seen

    async def start(self, order: StartOrder, timeout: float) -> StartReply:
        """Starts a run."""
        worker = self._worker
        verdicts: list[StartVerdict] = []
        await self._send_order(
            lambda: verdicts.append(worker.handle_start(order)), timeout
        )
        return StartReply(verdicts[0], worker.clock(), self._connected_at)

    async def stop(
        self, task: TaskName, run: int, token: int, timeout: float
    ) -> None:
        """Stops a run."""
        worker = self._worker
        await self._send_order(
            lambda: worker.handle_stop(task, run, token), timeout
        )

    async def pace(
        self, task: TaskName, run: int, percent: int, token: int, timeout: float
    ) -> None:
        """Changes nothing: pacing is not simulated."""
        await self._send_order(lambda: None, timeout)

    async def aclose(self) -> None:
        """Does nothing: there is no connection to close."""
        await trio.lowlevel.checkpoint()

    def _unreachable(self) -> bool:
        worker = self._worker
        return worker.faults.silent or worker.life.id in self._cut

    async def _send_order(
        self, carry_out: Callable[[], None], timeout: float
    ) -> None:
        faults = self._worker.faults
        await trio.sleep(0.002)
        with trio.move_on_after(timeout):
            while self._worker.dark:
                await trio.sleep(_POLL_INTERVAL)
        if self._worker.dark:
            raise WorkerUnreachableError("no answer in time")
        if self._unreachable():
            await trio.sleep(timeout)
            raise WorkerUnreachableError("no answer in time")
        if faults.random.random() < faults.late:
            trio.lowlevel.spawn_system_task(self._carry_out_late, carry_out)
            await trio.sleep(timeout)
            raise WorkerUnreachableError("no answer in time")
        if self._connected_to != self._worker.life.born:
            self._connected_to = self._worker.life.born
            self._connected_at = trio.current_time()
        carry_out()
        if faults.random.random() < faults.lost:
            await trio.sleep(timeout)
            raise WorkerUnreachableError("the answer was lost")

    async def _carry_out_late(self, carry_out: Callable[[], None]) -> None:
        await trio.sleep(self._worker.faults.random.uniform(2.0, 12.0))
        try:
            carry_out()
        except (
            WorkerFencedError,
            WorkerReplacedError,
            WorkerUnreachableError,
        ):
            # The caller of the late order has already timed out.
            return


class WorkerPool:
    """All workers of a cell and their directory.

    Attributes:
        workers: Lives that the directory lists or has listed, by id.
        unlisted: Ids of lives that the directory does not list.
        journal: Events of runs on all workers.
        cut: Ids of the lives that a VM cannot reach, by VM.
        directory_away: Whether the directory is unavailable.
        lingering_entries: Entries of ended lives that are still listed, by id.
        stale_entries: Outdated entries that are listed for these ids.
    """

    def __init__(self) -> None:
        """Initializes a pool without workers."""
        self.workers: dict[str, TaskWorkerStandin] = {}
        self.unlisted: set[str] = set()
        self.journal: list[RunEvent] = []
        self.cut: dict[str, set[str]] = {}
        self.directory_away = False
        self.lingering_entries: dict[str, WorkerLife] = {}
        self.stale_entries: dict[str, WorkerLife] = {}

    def add(self, worker: TaskWorkerStandin) -> None:
        """Adds a worker to the pool and its directory."""
        self.workers[worker.life.id] = worker

    def access(self, vm: str) -> "WorkerPoolAccess":
        """Returns a VM's access to the directory and the workers."""
        return WorkerPoolAccess(self, self.cut.setdefault(vm, set()))


class WorkerPoolAccess:
    """One VM's access; see `WorkerDirectory` and `WorkerDialer`."""

    def __init__(self, pool: WorkerPool, cut: set[str]) -> None:
        """Initializes access with the lives that the VM cannot reach."""
        self._pool = pool
        self._cut = cut

    async def poll(self, timeout: float) -> list[WorkerLife]:
        """Returns the listed lives, including stale and lingering entries."""
        await trio.sleep(0.004)
        if self._pool.directory_away:
            raise StoreUnavailableError("directory away", sent=True)
        living = [
            self._pool.stale_entries.get(life_id, worker.life)
            for life_id, worker in self._pool.workers.items()
            if life_id not in self._pool.unlisted
        ]
        return [*living, *self._pool.lingering_entries.values()]

    def link(self, life: WorkerLife) -> TaskWorkerLink:
        """Returns a link; an unknown life never answers."""
        worker = self._pool.workers.get(life.id)
        if worker is None:
            worker = TaskWorkerStandin(life, lambda _: TaskPlan(0.0), [])
            worker.faults.silent = True
        return TaskWorkerLink(worker, self._cut)
