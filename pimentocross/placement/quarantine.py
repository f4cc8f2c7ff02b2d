"""Workers that fail everything: left alone, and tried again now and then."""

from collections import OrderedDict
from typing import NamedTuple

from pimentocross.placement import const

_JOBS_REMEMBERED = 10_000
# A job that fails on this many workers is at fault itself.
_WORKERS_THAT_CLEAR = 2


class QuarantineTerms(NamedTuple):
    """When a worker is left alone, and for how long, in seconds.

    Attributes:
        after: Jobs that failed in a row.
        first: The first term.
        most: The longest term; each failed try doubles it up to this.
    """

    after: int = const.QUARANTINE_AFTER
    first: float = const.QUARANTINE_FIRST
    most: float = const.QUARANTINE_MOST


DEFAULT_TERMS = QuarantineTerms()


class _Record:
    """What is held against one worker."""

    def __init__(self, term: float) -> None:
        self.failed_jobs: set[str] = set()
        self.until = float("-inf")
        self.term = term
        self.on_probation = False
        self.trying = False


class Quarantine:
    """Attributes failures to workers or to jobs.

    A job that fails alone speaks against the job. A worker on which tasks of
    several jobs fail in a row, without one that finishes, is left alone; after
    a while one task is tried there, and each failure doubles the while.
    """

    def __init__(self, terms: QuarantineTerms = DEFAULT_TERMS) -> None:
        """Starts with nothing held against anyone."""
        self._terms = terms
        self._records: dict[str, _Record] = {}
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()

    def note_finished(self, worker: str) -> None:
        """Clears a worker: something finished there."""
        self._records.pop(worker, None)

    def note_failed(self, worker: str, job: str, now: float) -> None:
        """Holds a failure against a worker."""
        record = self._records.setdefault(worker, _Record(self._terms.first))
        record.trying = False
        if self._is_jobs_fault(worker, job):
            return
        record.failed_jobs.add(job)
        if record.on_probation:
            record.term = min(record.term * 2, self._terms.most)
            record.until = now + record.term
        elif len(record.failed_jobs) >= self._terms.after:
            record.on_probation = True
            record.until = now + record.term

    def _is_jobs_fault(self, worker: str, job: str) -> bool:
        """Takes a job's failures back once it fails on a second worker."""
        failed_on = self._failed_on.setdefault(job, set())
        failed_on.add(worker)
        while len(self._failed_on) > _JOBS_REMEMBERED:
            self._failed_on.popitem(last=False)
        if len(failed_on) < _WORKERS_THAT_CLEAR:
            return False
        for other in failed_on:
            record = self._records.get(other)
            if record is not None:
                record.failed_jobs.discard(job)
        return True

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
        failed = len(record.failed_jobs)
        left = max(record.until - now, 0.0)
        return f"quarantined: {failed} jobs failed in a row, {left:.0f} s left"
