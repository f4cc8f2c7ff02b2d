"""Quarantines workers on which every task fails, and retries them later.

Load pattern: some workers fail every task immediately, so that they look idle
and attract more work. Wide jobs fail on several of these workers while their
other tasks succeed elsewhere; a faulty job fails on every worker. The results
of the other tasks of the job tell whether the worker or the job is at fault.
"""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from typing import NamedTuple

from pimentocross.placement import const

_JOBS_REMEMBERED = 10_000
# A task that fails on this many workers is at fault itself, and so is a job
# that fails on as many while hardly any of its tasks succeed.
_WORKERS_TO_BLAME_JOB = 2


class QuarantineSettings(NamedTuple):
    """When a worker is quarantined, and for how long.

    Attributes:
        after: Number of jobs that have to fail in a row.
        first: Length of the first quarantine, seconds.
        most: Upper bound of the length, seconds; each failed trial doubles it.
        trial: Seconds after which a trial that goes on keeps no other task from
            the worker.
    """

    after: int = const.QUARANTINE_AFTER_FAILURES
    first: float = const.FIRST_QUARANTINE_SECONDS
    most: float = const.MAX_QUARANTINE_SECONDS
    trial: float = const.MAX_TRIAL_SECONDS


DEFAULT_SETTINGS = QuarantineSettings()


class Trial(NamedTuple):
    """A run on a quarantined worker, which keeps other tasks from it.

    Attributes:
        run: Identifies the run.
        until: When another task may be placed there in any case.
    """

    run: Hashable
    until: float


class _WorkerRecord:
    """The failures and the quarantine of one worker."""

    def __init__(self, length: float) -> None:
        # Tasks that failed since the last success, by job.
        self.failures: dict[str, set[str]] = {}
        # When the quarantine, or its part after a failed trial, began.
        self.since = float("-inf")
        self.until = float("-inf")
        self.length = length
        self.is_quarantined = False
        self.trial: Trial | None = None

    def is_on_trial(self, now: float) -> bool:
        """Returns whether a trial keeps other tasks from the worker."""
        return self.trial is not None and now < self.trial.until


class _JobRecord:
    """Results of the tasks of one job.

    Attributes:
        finished: Number of tasks that succeeded.
        failed_on: Workers on which any task failed.
        tasks: Workers on which each task failed, by task.
    """

    def __init__(self) -> None:
        self.finished = 0
        self.failed_on: set[str] = set()
        self.tasks: dict[str, set[str]] = {}

    @property
    def mostly_succeeds(self) -> bool:
        """Whether tasks finished at least as often as workers failed one."""
        return self.finished >= max(len(self.failed_on), _WORKERS_TO_BLAME_JOB)

    def note_failed(self, task: str, worker: str) -> None:
        """Records the worker on which a task failed."""
        self.failed_on.add(worker)
        self.tasks.setdefault(task, set()).add(worker)

    def weight(self, tasks: set[str]) -> int:
        """Returns how many failures count against a worker.

        Args:
            tasks: Tasks of the job that failed on the worker.
        """
        if self.mostly_succeeds:
            limit = _WORKERS_TO_BLAME_JOB
            return sum(len(self.tasks.get(task, ())) < limit for task in tasks)
        return int(len(self.failed_on) < _WORKERS_TO_BLAME_JOB)


class Quarantine:
    """Attributes failures to workers or to jobs.

    The failures of a single failing job are attributed to the job. A worker is
    quarantined if tasks of several jobs fail on it in a row, without a success,
    or if several tasks of a job fail on it that succeeds elsewhere. When the
    quarantine expires, one task is placed there as a trial; each failed trial
    doubles the length of the quarantine. The next trial may start once this one
    has ended in any way, or after a time limit.
    """

    def __init__(self, settings: QuarantineSettings = DEFAULT_SETTINGS) -> None:
        """Initializes the quarantine without any failures."""
        self._settings = settings
        self._records: dict[str, _WorkerRecord] = {}
        self._jobs: OrderedDict[str, _JobRecord] = OrderedDict()

    def note_finished(self, worker: str, job: str = "", now: float = 0) -> None:
        """Records a success, which clears a worker.

        Args:
            worker: The worker.
            job: The job whose task succeeded, or "" if it is unknown.
            now: Present time.
        """
        self._records.pop(worker, None)
        if not job:
            return
        record = self._job(job)
        mostly_succeeded = record.mostly_succeeds
        record.finished += 1
        if record.mostly_succeeds and not mostly_succeeded:
            # Its earlier failures now count against the workers.
            for other in record.failed_on:
                self._update_quarantine(other, now)

    def note_failed(
        self, worker: str, job: str, now: float, task: str = ""
    ) -> None:
        """Records the failure of a task on a worker.

        Args:
            worker: The worker.
            job: The job whose task failed.
            now: Present time.
            task: The task, or "" if it is unknown.
        """
        record = self._records.setdefault(
            worker, _WorkerRecord(self._settings.first)
        )
        is_trial_over = record.trial is not None
        record.trial = None
        record.failures.setdefault(job, set()).add(task)
        found = self._job(job)
        found.note_failed(task, worker)
        if record.is_quarantined and found.weight({task}):
            record.length = min(record.length * 2, self._settings.most)
            if is_trial_over:
                record.since = now
            # Tasks that were there before may fail one after the other.
            record.until = min(
                now + record.length, record.since + self._settings.most
            )
        self._update_quarantine(worker, now)

    def forget(self, worker: str) -> None:
        """Drops the failures of a worker whose life has ended."""
        self._records.pop(worker, None)

    def _job(self, job: str) -> _JobRecord:
        record = self._jobs.setdefault(job, _JobRecord())
        while len(self._jobs) > _JOBS_REMEMBERED:
            self._jobs.popitem(last=False)
        return record

    def _update_quarantine(self, worker: str, now: float) -> None:
        """Quarantines a worker if enough failures count against it."""
        record = self._records.get(worker)
        if record is None or record.is_quarantined:
            return
        weight = sum(
            self._jobs[job].weight(tasks)
            for job, tasks in record.failures.items()
            if job in self._jobs
        )
        if weight >= self._settings.after:
            record.is_quarantined = True
            record.since = now
            record.until = now + record.length

    def note_started(self, worker: str, run: Hashable, now: float) -> None:
        """Records a run on a worker; on a quarantined one it is a trial.

        Args:
            worker: The worker.
            run: Identifies the run.
            now: Present time.
        """
        record = self._records.get(worker)
        if record is None or not record.is_quarantined:
            return
        if not record.is_on_trial(now):
            record.trial = Trial(run, now + self._settings.trial)

    def end_trial(self, worker: str) -> None:
        """Lets another trial start on a worker.

        Called when the trial ended without success or failure.
        """
        record = self._records.get(worker)
        if record is not None:
            record.trial = None

    def trials(self) -> Mapping[str, Trial]:
        """Returns the newest trial of each worker on which one has begun."""
        return {
            worker: record.trial
            for worker, record in self._records.items()
            if record.trial is not None
        }

    def admits(self, worker: str, now: float) -> bool:
        """Returns whether a batch task may be placed on a worker."""
        record = self._records.get(worker)
        if record is None or not record.is_quarantined:
            return True
        return now >= record.until and not record.is_on_trial(now)

    def is_on_trial(self, worker: str, now: float) -> bool:
        """Returns whether a trial keeps other tasks from a worker."""
        record = self._records.get(worker)
        return record is not None and record.is_on_trial(now)

    def explain(self, worker: str, now: float) -> str:
        """Returns why a worker is quarantined, or "" if it is not."""
        record = self._records.get(worker)
        if record is None or not record.is_quarantined:
            return ""
        failed = len(record.failures)
        left = max(record.until - now, 0.0)
        return f"quarantined: {failed} jobs failed in a row, {left:.0f} s left"
