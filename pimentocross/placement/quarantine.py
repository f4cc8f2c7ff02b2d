"""Workers that fail everything: left alone, and tried again now and then.

Load pattern: a part of the workers fails all that it starts, at once, so that
they look free and draw more work. Wide jobs fail on several of them while their
other tasks end well elsewhere; a job that can't be done fails wherever it goes.
The two are told apart by what else became of the job.
"""

from collections import OrderedDict
from typing import NamedTuple

from pimentocross.placement import const

_JOBS_REMEMBERED = 10_000
# A task, or a job of which hardly anything ends well, that fails on this many
# workers is at fault itself.
_WORKERS_THAT_CLEAR = 2


class QuarantineTerms(NamedTuple):
    """When a worker is left alone, and for how long, in seconds.

    Attributes:
        after: Jobs that failed in a row.
        first: The first term.
        most: The longest term; each failed try doubles it up to this.
    """

    after: int = const.QUARANTINE_AFTER_FAILURES
    first: float = const.FIRST_QUARANTINE_SECONDS
    most: float = const.MAX_QUARANTINE_SECONDS


DEFAULT_TERMS = QuarantineTerms()


class _Record:
    """What is held against one worker."""

    def __init__(self, term: float) -> None:
        # Tasks that failed in a row, by job.
        self.failures: dict[str, set[str]] = {}
        self.until = float("-inf")
        self.term = term
        self.on_probation = False
        self.trying = False


class _JobRecord:
    """What became of a job's tasks.

    Attributes:
        finished: How many ended well.
        failed_on: Workers on which any failed.
        tasks: Workers on which each failed.
    """

    def __init__(self) -> None:
        self.finished = 0
        self.failed_on: set[str] = set()
        self.tasks: dict[str, set[str]] = {}

    @property
    def is_sound(self) -> bool:
        """True if most of what it starts ends well."""
        return self.finished >= max(len(self.failed_on), _WORKERS_THAT_CLEAR)

    def note_failed(self, task: str, worker: str) -> None:
        """Notes where a task failed."""
        self.failed_on.add(worker)
        self.tasks.setdefault(task, set()).add(worker)

    def weight(self, tasks: set[str]) -> int:
        """Returns for how much failures on one worker count against it."""
        if self.is_sound:
            cleared = _WORKERS_THAT_CLEAR
            return sum(
                len(self.tasks.get(task, ())) < cleared for task in tasks
            )
        return int(len(self.failed_on) < _WORKERS_THAT_CLEAR)


class Quarantine:
    """Attributes failures to workers or to jobs.

    A job that fails alone speaks against the job. A worker on which tasks of
    several jobs fail in a row, without one that finishes, is left alone; so is
    one on which several tasks of a job fail that otherwise ends well. After a
    while one task is tried there, and each failure doubles the while.
    """

    def __init__(self, terms: QuarantineTerms = DEFAULT_TERMS) -> None:
        """Starts with nothing held against anyone."""
        self._terms = terms
        self._records: dict[str, _Record] = {}
        self._jobs: OrderedDict[str, _JobRecord] = OrderedDict()

    def note_finished(self, worker: str, job: str = "", now: float = 0) -> None:
        """Clears a worker: something finished there.

        Args:
            worker: The worker.
            job: The job, which speaks for itself by it, or "".
            now: Present time.
        """
        self._records.pop(worker, None)
        if not job:
            return
        record = self._job(job)
        was_sound = record.is_sound
        record.finished += 1
        if record.is_sound and not was_sound:
            # What it failed on before is to blame after all.
            for other in record.failed_on:
                self._judge(other, now)

    def note_failed(
        self, worker: str, job: str, now: float, task: str = ""
    ) -> None:
        """Holds a failure against a worker.

        Args:
            worker: The worker.
            job: Whose task failed.
            now: Present time.
            task: Which of its tasks, if that is known.
        """
        record = self._records.setdefault(worker, _Record(self._terms.first))
        record.trying = False
        record.failures.setdefault(job, set()).add(task)
        found = self._job(job)
        found.note_failed(task, worker)
        if record.on_probation and found.weight({task}):
            record.term = min(record.term * 2, self._terms.most)
            record.until = now + record.term
        self._judge(worker, now)

    def forget(self, worker: str) -> None:
        """Drops what was held against a worker whose life has ended."""
        self._records.pop(worker, None)

    def _job(self, job: str) -> _JobRecord:
        record = self._jobs.setdefault(job, _JobRecord())
        while len(self._jobs) > _JOBS_REMEMBERED:
            self._jobs.popitem(last=False)
        return record

    def _judge(self, worker: str, now: float) -> None:
        """Leaves a worker alone if enough is held against it."""
        record = self._records.get(worker)
        if record is None or record.on_probation:
            return
        weight = sum(
            self._jobs[job].weight(tasks)
            for job, tasks in record.failures.items()
            if job in self._jobs
        )
        if weight >= self._terms.after:
            record.on_probation = True
            record.until = now + record.term

    def note_started(self, worker: str) -> None:
        """Notes the one task that is tried on a worker on probation."""
        record = self._records.get(worker)
        if record is not None and record.on_probation:
            record.trying = True

    def note_lost(self, worker: str) -> None:
        """Notes that the try ended without a verdict."""
        record = self._records.get(worker)
        if record is not None:
            record.trying = False

    def admits(self, worker: str, now: float) -> bool:
        """True if a batch task may be placed on a worker."""
        record = self._records.get(worker)
        if record is None or not record.on_probation:
            return True
        return now >= record.until and not record.trying

    def explain(self, worker: str, now: float) -> str:
        """Returns why a worker is left alone, or ""."""
        record = self._records.get(worker)
        if record is None or not record.on_probation:
            return ""
        failed = len(record.failures)
        left = max(record.until - now, 0.0)
        return f"quarantined: {failed} jobs failed in a row, {left:.0f} s left"
