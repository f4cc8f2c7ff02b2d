"""Jobs of callers: sent to the cell's owner, wherever that is."""

import secrets
from typing import Protocol

from expression import Error, Ok, Result
import trio

from pimentocross.config.state import ConfigState
from pimentocross.contracts.fold import StreamFold
from pimentocross.contracts.outbox import Outcome
from pimentocross.entry import const
from pimentocross.entry.membership import Peers
from pimentocross.entry.ownership import CellKeeper
from pimentocross.links.messages import (
    AskJob,
    CancelJob,
    JobAnswer,
    Judged,
    PeerMessage,
    Refused,
    SubmitJob,
)
from pimentocross.links.peer import PeerUnreachableError
from pimentocross.observe.logs import log_action, trace_id
from pimentocross.observe.problems import Problem, not_run, unknown
from pimentocross.zones.cell import CellOwner
from pimentocross.zones.views import CellLoad


class Loads(Protocol):
    """Tells how full cells are."""

    def cell_loads(self) -> dict[str, CellLoad]:
        """Returns the newest load known of each cell."""
        ...


class JobDesk:
    """Submits, cancels and looks up jobs at their cell's owner."""

    def __init__(
        self,
        peers: Peers,
        keeper: CellKeeper,
        config: StreamFold[ConfigState],
        loads: Loads,
    ) -> None:
        """Takes how owners are found."""
        self._peers = peers
        self._keeper = keeper
        self._config = config
        self._loads = loads

    def new_job_id(self) -> str:
        """Returns an id of a job for the cell that suits best now."""
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
        """Submits a job; accepted once its record was read back."""
        problem = self._check(tenant, class_name, tasks, input_text)
        if problem is not None:
            return Error(problem)
        cell = cell_of(job)
        deadline = trio.current_time() + timeout
        maybe_sent = False
        last = Judged(Outcome.NOT_SENT, f"nobody owns {cell} now")
        while trio.current_time() < deadline:
            left = deadline - trio.current_time()
            # The owner gives up first, so that its answer is still heard.
            theirs = left * const.OWNER_SHARE
            message = SubmitJob(
                cell,
                job,
                tenant,
                class_name,
                tasks,
                input_text,
                theirs,
                trace_id(),
            )
            try:
                reply = await self._ask_owner(cell, message, left)
            except PeerUnreachableError as error:
                maybe_sent |= error.sent
                reply = None
            if isinstance(reply, Judged):
                last = reply
                maybe_sent |= reply.outcome == Outcome.UNKNOWN
                if reply.outcome == Outcome.ACCEPTED:
                    return Ok(None)
                if "log service away" in reply.reason and not maybe_sent:
                    break
            await trio.sleep(const.JOB_RETRY_PAUSE)
        return Error(_judge(last, maybe_sent))

    async def cancel(self, job: str, timeout: float) -> Result[None, Problem]:
        """Cancels a job; idempotent."""
        cell = cell_of(job)
        message = CancelJob(cell, job, timeout * const.OWNER_SHARE)
        try:
            reply = await self._ask_owner(cell, message, timeout)
        except PeerUnreachableError as error:
            if error.sent:
                return Error(unknown(504, "no-owner", str(error)))
            detail = f"the owner of {cell!r} can't be reached"
            return Error(
                not_run(503, "no-owner", detail, const.RETRY_AFTER_BUSY)
            )
        if isinstance(reply, Judged) and reply.outcome == Outcome.ACCEPTED:
            return Ok(None)
        if isinstance(reply, Judged) and reply.outcome == Outcome.REJECTED:
            return Error(not_run(409, "not-cancelled", reply.reason))
        return Error(_judge(reply, False))

    async def look_up(
        self, job: str, timeout: float
    ) -> Result[JobAnswer, Problem]:
        """Returns what the cell's owner knows of a job."""
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
        owner = self._keeper.owned.get(cell)
        if owner is not None and self._keeper.owner_of(cell) == (
            self._peers.mine.process
        ):
            return await answer_for_cell(owner, message)
        link = self._peers.link_to(self._keeper.owner_of(cell))
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
        if not 1 <= tasks <= const.JOB_TASKS_MOST:
            detail = f"a job has 1 to {const.JOB_TASKS_MOST} tasks, not {tasks}"
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
        none = CellLoad(0, 0, 0)

        def cost(cell: str) -> tuple[bool, int, int]:
            load = loads.get(cell, none)
            unowned = not self._keeper.owner_of(cell)
            return unowned, load.pending, -load.free_slots

        return min(cells, key=cost)


def cell_of(job: str) -> str:
    """Returns the cell that a job's id names."""
    return job.partition(".")[0]


def _judge(reply: PeerMessage | Judged, maybe_sent: bool) -> Problem:
    reason = "the owner did not answer"
    if isinstance(reply, Judged | Refused):
        reason = reply.reason
    if maybe_sent:
        return unknown(504, "not-confirmed", reason)
    return not_run(503, "not-accepted", reason, const.RETRY_AFTER_LOG)


async def answer_for_cell(
    owner: CellOwner, message: PeerMessage
) -> PeerMessage:
    """Answers a question about a cell as its owner."""
    match message:
        case SubmitJob():
            return await _accept(owner, message)
        case CancelJob():
            verdict = await owner.cancel(message.job, message.timeout)
            return Judged(verdict.outcome.value, verdict.reason)
        case AskJob():
            return describe_job(owner, message.job)
        case _:
            return Refused("not a question about a cell")


async def _accept(owner: CellOwner, message: SubmitJob) -> Judged:
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
    return Judged(verdict.outcome.value, verdict.reason)


def describe_job(owner: CellOwner, name: str) -> JobAnswer | Refused:
    """Returns a job as its cell's owner knows it."""
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
