"""Routes job requests to the owner of the job's cell."""

import secrets
from typing import Protocol

from expression import Error, Ok, Result
import trio

from pimentocross.config.state import ConfigState
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome
from pimentocross.entry import const
from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellManager
from pimentocross.links.messages import (
    AskJob,
    CancelJob,
    JobAnswer,
    PeerMessage,
    RecordOutcome,
    Refused,
    SubmitJob,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe.logs import log_action, trace_id
from pimentocross.observe.problems import Problem, not_run, unknown
from pimentocross.zones.cell import CellOwner
from pimentocross.zones.views import CellLoad


class CellLoadSource(Protocol):
    """Reports the load of cells."""

    def cell_loads(self) -> dict[str, CellLoad]:
        """Returns the newest known load of each cell, by name."""
        ...


class JobRouter:
    """Submits, cancels and queries jobs at the owner of their cell."""

    def __init__(
        self,
        peers: Peers,
        cell_manager: CellManager,
        config: StreamFold[ConfigState],
        loads: CellLoadSource,
    ) -> None:
        """Initializes the router.

        Args:
            peers: Links to the other entry VMs.
            cell_manager: Knows each cell's owner and runs the cells owned by
                this process.
            config: The configuration stream's fold.
            loads: Load of the cells, to place new jobs.
        """
        self._peers = peers
        self._cell_manager = cell_manager
        self._config = config
        self._loads = loads

    def new_job_id(self) -> str:
        """Returns an id for a new job, which also chooses its cell.

        Cells with an owner come first, then those with the fewest pending
        tasks.
        """
        return f"{self._choose_cell()}.{secrets.token_hex(10)}"

    async def submit(
        self,
        job: str,
        tenant: str,
        class_name: str,
        tasks: int,
        input_text: str,
        timeout: float,
    ) -> Result[None, Problem]:
        """Submits a job.

        Tries again until the timeout, or until the owner replies that the
        log is unavailable and no earlier attempt may have been stored.

        Returns:
            Ok once the owner has read the job's record back from the log.
        """
        problem = self._check(tenant, class_name, tasks, input_text)
        if problem is not None:
            return Error(problem)
        cell = cell_of(job)
        deadline = trio.current_time() + timeout
        maybe_sent = False
        last_reply = RecordOutcome(Outcome.NOT_SENT, f"nobody owns {cell} now")
        while trio.current_time() < deadline:
            remaining = deadline - trio.current_time()
            # The owner's timeout is shorter, so that its reply arrives in time.
            owner_timeout = remaining * const.OWNER_TIMEOUT_SHARE
            message = SubmitJob(
                cell,
                job,
                tenant,
                class_name,
                tasks,
                input_text,
                owner_timeout,
                trace_id(),
            )
            try:
                reply = await self._ask_owner(cell, message, remaining)
            except PeerUnreachableError as error:
                maybe_sent |= error.sent
                reply = None
            if isinstance(reply, RecordOutcome):
                last_reply = reply
                maybe_sent |= reply.outcome == Outcome.UNKNOWN
                if reply.outcome == Outcome.ACCEPTED:
                    return Ok(None)
                if "log service away" in reply.reason and not maybe_sent:
                    break
            await trio.sleep(const.JOB_RETRY_PAUSE)
        return Error(_to_problem(last_reply, maybe_sent))

    async def cancel(self, job: str, timeout: float) -> Result[None, Problem]:
        """Cancels a job; this is idempotent."""
        cell = cell_of(job)
        message = CancelJob(cell, job, timeout * const.OWNER_TIMEOUT_SHARE)
        try:
            reply = await self._ask_owner(cell, message, timeout)
        except PeerUnreachableError as error:
            if error.sent:
                return Error(unknown(504, "no-owner", str(error)))
            detail = f"the owner of {cell!r} can't be reached"
            return Error(
                not_run(503, "no-owner", detail, const.RETRY_AFTER_BUSY)
            )
        if (
            isinstance(reply, RecordOutcome)
            and reply.outcome == Outcome.ACCEPTED
        ):
            return Ok(None)
        if (
            isinstance(reply, RecordOutcome)
            and reply.outcome == Outcome.REJECTED
        ):
            return Error(not_run(409, "not-cancelled", reply.reason))
        return Error(_to_problem(reply, False))

    async def get_job(
        self, job: str, timeout: float
    ) -> Result[JobAnswer, Problem]:
        """Returns a job's state from the owner of its cell."""
        cell = cell_of(job)
        try:
            reply = await self._ask_owner(cell, AskJob(cell, job), timeout)
        except PeerUnreachableError:
            reply = None
        if isinstance(reply, JobAnswer) and reply.state:
            return Ok(reply)
        if isinstance(reply, JobAnswer):
            return Error(not_run(404, "no-such-job", f"no job {job!r}"))
        detail = f"the owner of {cell!r} can't be reached"
        return Error(not_run(503, "no-owner", detail, const.RETRY_AFTER_BUSY))

    async def _ask_owner(
        self, cell: str, message: PeerMessage, timeout: float
    ) -> PeerMessage:
        owner = self._cell_manager.owned.get(cell)
        if owner is not None and self._cell_manager.owner_of(cell) == (
            self._peers.local_identity.process
        ):
            return await answer_for_cell(owner, message)
        link = self._peers.link_to(self._cell_manager.owner_of(cell))
        if link is None:
            raise PeerUnreachableError("the owner is not live", sent=False)
        return await link.ask(message, timeout)

    def _check(
        self, tenant: str, class_name: str, tasks: int, input_text: str
    ) -> Problem | None:
        config = self._config.state.config
        batch = config.batch.get(class_name) if config else None
        if config is None or batch is None:
            detail = f"no batch class {class_name!r} is configured"
            return not_run(404, "no-such-class", detail)
        if tenant and tenant != batch.tenant:
            detail = f"{class_name!r} belongs to tenant {batch.tenant!r}"
            return not_run(403, "other-tenant", detail)
        if not 1 <= tasks <= const.MAX_JOB_TASKS:
            detail = f"a job has 1 to {const.MAX_JOB_TASKS} tasks, not {tasks}"
            return not_run(422, "bad-tasks", detail)
        if len(input_text) > config.limits.input:
            detail = f"the input has over {config.limits.input} characters"
            return not_run(413, "input-too-long", detail)
        return None

    def _choose_cell(self) -> str:
        config = self._config.state.config
        cells = sorted(config.zones) if config is not None else []
        if not cells:
            return ""
        loads = self._loads.cell_loads()
        unknown_load = CellLoad(0, 0, 0)

        def cost(cell: str) -> tuple[bool, int, int]:
            load = loads.get(cell, unknown_load)
            unowned = not self._cell_manager.owner_of(cell)
            return unowned, load.pending, -load.free_slots

        return min(cells, key=cost)


def cell_of(job: str) -> str:
    """Returns the name of the cell that a job's id starts with."""
    return job.partition(".")[0]


def _to_problem(
    reply: PeerMessage | RecordOutcome, maybe_sent: bool
) -> Problem:
    reason = "the owner did not answer"
    if isinstance(reply, RecordOutcome | Refused):
        reason = reply.reason
    if maybe_sent:
        return unknown(504, "not-confirmed", reason)
    return not_run(503, "not-accepted", reason, const.RETRY_AFTER_LOG_FAILURE)


async def answer_for_cell(
    owner: CellOwner, message: PeerMessage
) -> PeerMessage:
    """Serves a job request for a cell that this process owns."""
    match message:
        case SubmitJob():
            return await _accept(owner, message)
        case CancelJob():
            verdict = await owner.cancel(message.job, message.timeout)
            return RecordOutcome(verdict.outcome.value, verdict.reason)
        case AskJob():
            return describe_job(owner, message.job)
        case _:
            return Refused("not a question about a cell")


async def _accept(owner: CellOwner, message: SubmitJob) -> RecordOutcome:
    with log_action("accept", message.trace, job=message.job) as fields:
        verdict = await owner.accept(
            message.job,
            message.tenant,
            message.class_name,
            message.tasks,
            message.input,
            message.timeout,
        )
        fields.add(outcome=verdict.outcome.value)
    return RecordOutcome(verdict.outcome.value, verdict.reason)


def describe_job(owner: CellOwner, name: str) -> JobAnswer | Refused:
    """Returns a job's state; an empty state means an unknown job."""
    if not owner.opened:
        return Refused("the cell is changing hands")
    job = owner.fold.state.jobs.get(name)
    if job is None:
        return JobAnswer("")
    results = [job.results[i] for i in sorted(job.results)]
    return JobAnswer(
        job.state,
        job.accepted.class_name,
        job.accepted.tasks,
        len(job.results),
        results,
        job.reason,
    )
