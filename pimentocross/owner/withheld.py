"""Ends what keeps new tasks from workers, and logs from when to when it did.

Failure pattern: a worker was reserved, quarantined or on trial, and the mark of
that was taken away on some of the paths on which its cause ends. With room, and
heard by its owner, the worker got no more work. So nothing here depends on a
call at the end: each scheduling pass looks for what still holds, and what ends
with a run or a listing ends in time as well.
"""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

from pimentocross.observe import meters
from pimentocross.observe.decisions import note
from pimentocross.owner import const
from pimentocross.owner.learned import (
    MAX_UNSOUND_SECONDS,
    QUARANTINE,
    LearnedEstimates,
)
from pimentocross.owner.roster import Roster
from pimentocross.owner.worker import Worker
from pimentocross.work.crash_history import MAX_RESERVATION


class Reason(StrEnum):
    """Why a worker that answers gets no new tasks, or a zone none.

    Attributes:
        ISOLATED: A run there may have crashed other workers.
        QUARANTINED: Too many of its tasks failed.
        ON_TRIAL: It was quarantined, and one task is there to try it.
        UNSOUND: Its figures are bad.
        BARRED: The stored lease record says that nothing may run there.
        UNLISTED: The directory doesn't list it.
        CLOSED_ZONE: The zone is evacuated, or it isn't known whether it is.
    """

    ISOLATED = "isolated"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on_trial"
    UNSOUND = "unsound"
    BARRED = "barred"
    UNLISTED = "unlisted"
    CLOSED_ZONE = "closed_zone"


class Withholding(NamedTuple):
    """One reason for one subject, as a log line names it.

    Attributes:
        subject: Id of the worker life, or name of the zone.
        reason: Why it gets no new tasks.
    """

    subject: str
    reason: Reason


# Most seconds on end for which a worker that answers gets no new tasks. A bar
# lasts until the store has taken a record. The directory and the operators of
# zones decide on the rest.
LIMITS: Final[Mapping[Reason, float]] = {
    # A run may be isolated there shortly before reservations have to pause.
    Reason.ISOLATED: 2 * MAX_RESERVATION,
    Reason.QUARANTINED: QUARANTINE.most,
    Reason.ON_TRIAL: QUARANTINE.trial,
    Reason.UNSOUND: MAX_UNSOUND_SECONDS,
    Reason.BARRED: const.ENDINGS_RECORD_TIMEOUT + const.APPEND_TIMEOUT,
}


class WithheldWorkers:
    """The workers that get no new tasks now.

    Attributes:
        since: When each reason began to hold, monotonic, as of the newest look.
    """

    def __init__(self, roster: Roster, learned: LearnedEstimates) -> None:
        """Initializes the set with the workers and what is learned of them."""
        self.since: dict[Withholding, float] = {}
        self._roster = roster
        self._learned = learned
        self._looked_at = float("-inf")

    def pass_over(self, now: float) -> None:
        """Ends what is over by now; called before tasks are placed.

        Args:
            now: Present time, monotonic.
        """
        for worker in self._roster.workers():
            if worker.is_isolating:
                worker.end_isolation(now)
        self._learned.settle_trials(self._roster.workers(), now)
        since_last_look = now - self._looked_at
        if since_last_look >= const.PASS_INTERVAL:
            self._looked_at = now
            for withholding in self.since:
                meters.add_withheld(withholding.reason, since_last_look)
            self._log_changes(now)

    def _log_changes(self, now: float) -> None:
        found = set(self._find(now))
        for ended in self.since.keys() - found:
            seconds = now - self.since.pop(ended)
            note(
                "withheld_ended",
                subject=ended.subject,
                reason=ended.reason,
                seconds=round(seconds, 3),
            )
        for begun in found - self.since.keys():
            self.since[begun] = now
            note(
                "withheld",
                subject=begun.subject,
                reason=begun.reason,
                at_most=LIMITS.get(begun.reason),
            )

    def _find(self, now: float) -> Iterator[Withholding]:
        for worker in self._roster.workers():
            if worker.gone or not worker.reachable:
                continue
            for reason in self._reasons(worker, now):
                yield Withholding(worker.life.id, reason)
        for zone in self._roster.closed_zones():
            yield Withholding(zone, Reason.CLOSED_ZONE)

    def _reasons(self, worker: Worker, now: float) -> Iterator[Reason]:
        if worker.is_isolating:
            yield Reason.ISOLATED
        quarantine = self._learned.quarantine
        if not quarantine.admits(worker.life.id, now):
            is_on_trial = quarantine.is_on_trial(worker.life.id, now)
            yield Reason.ON_TRIAL if is_on_trial else Reason.QUARANTINED
        if worker.unsound_until > now:
            yield Reason.UNSOUND
        if worker.unbar_recorded is not None:
            yield Reason.BARRED
        if not worker.listed:
            yield Reason.UNLISTED
