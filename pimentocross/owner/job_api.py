"""Handles callers' requests to a cell's owner."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import trio

from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.admission import Admission
from pimentocross.owner.jobs import JobRegistry, reported_state
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.work.limits import JOBS_MEMORY, job_memory
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState


class Outcome(StrEnum):
    """Outcome of a caller's request.

    After `UNSURE` a change may be in the store or not: repeating the same
    request finds out.
    """

    OK = "ok"
    UNSURE = "the store has not answered"
    NO_SUCH_JOB = "no such job"
    STORE_AWAY = "store away"
    FULL = "no room in time"


class JobReply(NamedTuple):
    """Outcome of a request, and the job's state if it is known.

    Attributes:
        outcome: Outcome of the request.
        state: State of the job.
        retry_after: Seconds until there should be capacity for a refused job;
            0 for all outcomes but `FULL`.
    """

    outcome: Outcome
    state: JobState | None = None
    retry_after: float = 0.0


class JobApi:
    """Submits and cancels jobs and reports their state."""

    def __init__(
        self,
        registry: JobRegistry,
        ledger: Ledger,
        wake: Callable[[], None],
        admission: Admission,
        knows_all_jobs: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initializes the API of one owner.

        Args:
            registry: The owner's jobs.
            ledger: Ledger that records these jobs.
            wake: Triggers a scheduling pass.
            admission: Refuses jobs that would certainly end too late.
            knows_all_jobs: Returns whether every job that entry VMs accepted
                and that callers may ask for by now is in `registry`.
        """
        self._knows_all_jobs = knows_all_jobs
        self._registry = registry
        self._ledger = ledger
        self._wake = wake
        self._admission = admission
        # Batches, by job id, of accepted jobs that may not be stored yet.
        self._unstored_batches: dict[str, Batch] = {}

    async def submit(
        self, job_id: str, queue: Queue, spec: JobSpec
    ) -> JobReply:
        """Accepts a job and returns once its record is stored, or refuses it.

        Submitting the same id again confirms the same job. Replies
        `STORE_AWAY` if the store is unavailable, and `FULL` if the job would
        certainly end too late or if an owner can't hold it in memory; none of
        these accepts it. If the store becomes
        unavailable meanwhile, replies `UNSURE` well before the caller's
        timeout.
        """
        self._drop_stored_batches()
        if self._registry.find(job_id) is None:
            if self._ledger.store_away:
                note("job_refused", job=job_id, reason="store away")
                return JobReply(Outcome.STORE_AWAY)
            if self._registry.memory + job_memory(spec) > JOBS_MEMORY:
                note(
                    "job_refused",
                    job=job_id,
                    reason="no memory",
                    memory=self._registry.memory,
                )
                meters.add(f'jobs_refused_total{{queue="{queue.name}"}}')
                return JobReply(
                    Outcome.FULL, retry_after=const.MEMORY_RETRY_DELAY
                )
            wait = self._admission.refusal_retry_delay(job_id, queue, spec)
            if wait:
                return JobReply(Outcome.FULL, retry_after=wait)
            self._unstored_batches[job_id] = self._registry.accept(
                job_id, queue, spec
            )
            self._wake()
        batch = self._unstored_batches.get(job_id)
        if batch is not None and not await self._is_stored(batch):
            note("job_unsure", job=job_id, store_age=self._ledger.age())
            return JobReply(Outcome.UNSURE)
        note("job_accepted", job=job_id, queue=queue.name, steps=spec.steps)
        return JobReply(Outcome.OK, JobState.QUEUED)

    def knows(self, job_id: str) -> bool:
        """Returns whether a job is in the registry, stored or not."""
        return self._registry.find(job_id) is not None

    def state(self, job_id: str) -> JobReply:
        """Returns the state of a job as callers may see it."""
        job = self._registry.find(job_id)
        if job is not None:
            return JobReply(Outcome.OK, reported_state(job))
        return self._reply_unknown()

    async def cancel(self, job_id: str) -> JobReply:
        """Cancels a job and returns once that is stored."""
        job = self._registry.find(job_id)
        if job is None:
            return self._reply_unknown()
        batch = self._registry.cancel(job)
        self._wake()
        if not await self._is_stored(batch):
            note("cancel_unsure", job=job_id, store_age=self._ledger.age())
            return JobReply(Outcome.UNSURE)
        note("job_cancelled", job=job_id, state=job.state.value)
        return JobReply(Outcome.OK, job.state)

    def pending(self, queue: str) -> int | None:
        """Returns how many jobs of a queue wait, or None if unknown."""
        if self._ledger.age() > const.MAX_ACK_AGE:
            return None
        return self._registry.pending(queue)

    async def _is_stored(self, batch: Batch) -> bool:
        """Waits for a batch; returns False if the store is away for long."""
        asked_at = trio.current_time()
        while not batch.stored.is_set():
            waited = trio.current_time() - asked_at
            if self._ledger.store_away and waited >= const.UNSURE_AFTER:
                return False
            with trio.move_on_after(const.AWAY_CHECK_INTERVAL):
                await batch.stored.wait()
        return True

    def _drop_stored_batches(self) -> None:
        stored = [
            j for j, b in self._unstored_batches.items() if b.stored.is_set()
        ]
        for job_id in stored:
            del self._unstored_batches[job_id]

    def _reply_unknown(self) -> JobReply:
        if self._ledger.age() > const.MAX_ACK_AGE or not self._knows_all_jobs():
            # A successor or an entry VM may have accepted jobs that are not
            # known here.
            return JobReply(Outcome.STORE_AWAY)
        return JobReply(Outcome.NO_SUCH_JOB)
