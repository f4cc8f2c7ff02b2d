"""Limits the trial of pairs of a best-effort image and a serving image.

Load pattern: a job with a new best-effort image arrives with sixteen tasks. If
all are placed at once, they run beside each serving image on several workers,
two on each, and where the pair disturbs, all these workers miss their targets
for a second: in simulated days, half of the time over target began like that.
One or two tasks tell as much. The others wait for the reading, or go to workers
on which the effect of their image is known.

A pair that was blamed for the effect of another one is never placed again, so
that the error lasts: in a simulated day, 380 tasks waited while 500 cores were
idle. If an image has hardly any capacity left, a pair that seems to disturb on
few readings is tried again with one task at a time.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import Host

# Workers on which a pair is tried at a time: a second one, as the first may be
# impaired for another reason.
MAX_TRIAL_WORKERS: Final = 2
# Scarcity of capacity for a best-effort image, 0 to 1, from which on its
# uncertain pairs are tried again.
RETRY_MIN_SCARCITY: Final = 0.9
# Seconds between two such trials of an image: the start of a task, two
# readings, and the time to recover from a target missed because of it.
RETRY_INTERVAL: Final = 2.0


class Probes:
    """Pairs of images that are on trial in a scheduling pass."""

    def __init__(
        self,
        disturbance: Disturbance,
        hosts: Iterable[Host] = (),
        retried: Iterable[str] = (),
    ) -> None:
        """Counts the workers on which untried pairs run at present.

        Args:
            disturbance: Learned effects of best-effort images.
            hosts: Workers in use.
            retried: Best-effort images with an uncertain pair that was tried
                again within the last `RETRY_INTERVAL`.
        """
        self._disturbance = disturbance
        self._retried = set(retried)
        self._workers: Counter[tuple[str, str]] = Counter()
        for host in hosts:
            for filling in host.filling:
                self._count(filling, host)

    def allows(self, filling: str, host: Host) -> bool:
        """Returns whether trials permit one more best-effort task.

        Args:
            filling: Image of the task.
            host: The worker.
        """
        if not host.serving:
            return True
        for serving in host.serving:
            if not self._disturbance.is_untried(serving, filling):
                continue
            if filling in host.filling:
                return False
            if self._workers[(serving, filling)] >= MAX_TRIAL_WORKERS:
                return False
        return True

    def is_on_trial(self, serving: str, filling: str) -> bool:
        """Returns whether a pair is on trial on the maximum of workers."""
        if not self._disturbance.is_untried(serving, filling):
            return False
        return self._workers[(serving, filling)] >= MAX_TRIAL_WORKERS

    def is_retry_due(self, filling: str, scarcity: float) -> bool:
        """Returns whether uncertain pairs of an image may be measured again.

        Args:
            filling: The best-effort image.
            scarcity: Scarcity of capacity for the image, 0 to 1.
        """
        return scarcity >= RETRY_MIN_SCARCITY and filling not in self._retried

    def may_remeasure(self, filling: str, host: Host, scarcity: float) -> bool:
        """Returns whether a task may measure uncertain pairs again on a worker.

        True only if every disturbing pair on the worker is uncertain.

        Args:
            filling: Best-effort image of the task.
            host: The worker.
            scarcity: Scarcity of capacity for the image, 0 to 1.
        """
        if not self.is_retry_due(filling, scarcity):
            return False
        if host.filling:
            # Beside other best-effort tasks, a reading would not tell the
            # effect of this pair.
            return False
        return all(
            self._disturbance.is_uncertain(serving, filling)
            for serving in host.serving
            if self._disturbance.disturbs(serving, filling)
        )

    def note(self, filling: str, host: Host) -> bool:
        """Records a best-effort task that is about to start.

        Returns:
            Whether the task measures an uncertain pair again.
        """
        self._count(filling, host)
        if any(self._disturbance.disturbs(i, filling) for i in host.serving):
            self._retried.add(filling)
            return True
        return False

    def _count(self, filling: str, host: Host) -> None:
        """Counts a worker for each untried pair of an image on it."""
        for serving in host.serving:
            if self._disturbance.is_untried(serving, filling):
                self._workers[(serving, filling)] += 1
