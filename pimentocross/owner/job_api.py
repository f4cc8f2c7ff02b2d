"""Answers what callers ask of a cell's owner."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import trio

from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.admission import Admission
from pimentocross.owner.jobs import JobRegistry, shown_state
from pimentocross.owner.ledger import Batch, Ledger
from pimentocross.work.queue import Queue
from pimentocross.work.spec import JobSpec
from pimentocross.work.state import JobState


class Outcome(StrEnum):
    """What became of a caller's question.

    After `UNSURE` a change may be in the store or not: the same question again
    finds out.
    """

    OK = "ok"
    UNSURE = "the store has not answered"
    NO_SUCH_JOB = "no such job"
    STORE_AWAY = "store away"
    FULL = "no room in time"


class JobReply(NamedTuple):
    """An outcome, and the job's state if it is known.

    Attributes:
        outcome: What became of the question.
        state: The job's.
        retry_after: After how many seconds there should be room, 0 if that
            isn't the matter.
    """

    outcome: Outcome
    state: JobState | None = None
    retry_after: float = 0.0


class JobApi:
    """Takes jobs in, cancels them and tells how they stand."""

    def __init__(
        self,
        registry: JobRegistry,
        ledger: Ledger,
        wake: Callable[[], None],
        admission: Admission,
        knows_all: Callable[[], bool] = lambda: True,
    ) -> None:
        """Takes the jobs and where they are recorded.

        Args:
            registry: The jobs.
            ledger: Where they are recorded.
            wake: Has decisions made once there is more to decide.
            admission: Refuses what surely can't be of use.
            knows_all: Returns whether no job can be missing that was accepted
                elsewhere and that callers may ask for by now.
        """
        self._knows_all = knows_all
        self._registry = registry
        self._ledger = ledger
        self._wake = wake
        self._admission = admission
        # Batches of acceptances that may not be stored yet, by job.
        self._storing: dict[str, Batch] = {}

    async def submit(
        self, job_id: str, queue: Queue, spec: JobSpec
    ) -> JobReply:
        """Takes a job in and returns once its record is stored.

        The same id again is the same job. If the store goes away meanwhile,
        the caller is told so well before it gives up.
        """
        self._forget_stored()
        if self._registry.find(job_id) is None:
            if self._ledger.store_away:
                note("job_refused", job=job_id, reason="store away")
                return JobReply(Outcome.STORE_AWAY)
            wait = self._admission.refuse_for(job_id, queue, spec)
            if wait:
                return JobReply(Outcome.FULL, retry_after=wait)
            self._storing[job_id] = self._registry.accept(job_id, queue, spec)
            self._wake()
        batch = self._storing.get(job_id)
        if batch is not None and not await self._is_stored(batch):
            note("job_unsure", job=job_id, store_age=self._ledger.age())
            return JobReply(Outcome.UNSURE)
        note("job_accepted", job=job_id, queue=queue.name, steps=spec.steps)
        return JobReply(Outcome.OK, JobState.QUEUED)

    def knows(self, job_id: str) -> bool:
        """True if a job was taken in, or may have been."""
        return self._registry.find(job_id) is not None

    def state(self, job_id: str) -> JobReply:
        """Returns a job's state."""
        job = self._registry.find(job_id)
        if job is not None:
            return JobReply(Outcome.OK, shown_state(job))
        return self._unknown()

    async def cancel(self, job_id: str) -> JobReply:
        """Cancels a job and returns once that is recorded."""
        job = self._registry.find(job_id)
        if job is None:
            return self._unknown()
        batch = self._registry.cancel(job)
        self._wake()
        if not await self._is_stored(batch):
            note("cancel_unsure", job=job_id, store_age=self._ledger.age())
            return JobReply(Outcome.UNSURE)
        note("job_cancelled", job=job_id, state=job.state.value)
        return JobReply(Outcome.OK, job.state)

    def pending(self, queue: str) -> int | None:
        """Returns how many jobs of a queue wait, or None if unsure."""
        if self._ledger.age() > const.CURRENT_WITHIN:
            return None
        return self._registry.pending(queue)

    async def _is_stored(self, batch: Batch) -> bool:
        """Waits for a batch; False if the store is away for too long."""
        asked_at = trio.current_time()
        while not batch.stored.is_set():
            waited = trio.current_time() - asked_at
            if self._ledger.store_away and waited >= const.UNSURE_AFTER:
                return False
            with trio.move_on_after(const.AWAY_LOOK):
                await batch.stored.wait()
        return True

    def _forget_stored(self) -> None:
        stored = [j for j, b in self._storing.items() if b.stored.is_set()]
        for job_id in stored:
            del self._storing[job_id]

    def _unknown(self) -> JobReply:
        if self._ledger.age() > const.CURRENT_WITHIN or not self._knows_all():
            # A successor may have taken jobs in that aren't known here.
            return JobReply(Outcome.STORE_AWAY)
        return JobReply(Outcome.NO_SUCH_JOB)
