"""Answers what callers ask of a cell's owner."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.jobs import JobBook, shown_state
from pimentocross.owner.ledger import Ledger
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState


class Outcome(StrEnum):
    """What became of a caller's question."""

    OK = "ok"
    NO_SUCH_JOB = "no such job"
    STORE_AWAY = "store away"


class JobReply(NamedTuple):
    """An outcome, and the job's state if it is known."""

    outcome: Outcome
    state: JobState | None = None


class Desk:
    """Takes jobs in, cancels them and tells how they stand."""

    def __init__(
        self, book: JobBook, ledger: Ledger, wake: Callable[[], None]
    ) -> None:
        """Takes the jobs and where they are recorded."""
        self._book = book
        self._ledger = ledger
        self._wake = wake

    async def submit(
        self, job_id: str, queue: Queue, spec: JobSpec
    ) -> JobReply:
        """Takes a job in and returns once its record is stored.

        The same id again is the same job.
        """
        job = self._book.find(job_id)
        if job is not None:
            await self._ledger.barrier().stored.wait()
            return JobReply(Outcome.OK, job.state)
        if self._ledger.away:
            note("job_refused", job=job_id, reason="store away")
            return JobReply(Outcome.STORE_AWAY)
        batch = self._book.accept(job_id, queue, spec)
        self._wake()
        await batch.stored.wait()
        note("job_accepted", job=job_id, queue=queue.name, steps=spec.steps)
        return JobReply(Outcome.OK, JobState.QUEUED)

    def state(self, job_id: str) -> JobReply:
        """Returns a job's state."""
        job = self._book.find(job_id)
        if job is not None:
            return JobReply(Outcome.OK, shown_state(job))
        return self._unknown()

    async def cancel(self, job_id: str) -> JobReply:
        """Cancels a job and returns once that is recorded."""
        job = self._book.find(job_id)
        if job is None:
            return self._unknown()
        batch = self._book.cancel(job)
        self._wake()
        await batch.stored.wait()
        note("job_cancelled", job=job_id, state=job.state.value)
        return JobReply(Outcome.OK, job.state)

    def pending(self, queue: str) -> int | None:
        """Returns how many jobs of a queue wait, or None if unsure."""
        if self._ledger.age() > const.CURRENT_WITHIN:
            return None
        return self._book.pending(queue)

    def _unknown(self) -> JobReply:
        if self._ledger.age() > const.CURRENT_WITHIN:
            # A successor may have taken jobs in that aren't known here.
            return JobReply(Outcome.STORE_AWAY)
        return JobReply(Outcome.NO_SUCH_JOB)
