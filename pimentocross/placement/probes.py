"""How many workers try a pair of images of which nothing is known yet.

Load pattern: a job of an image that was never seen comes with sixteen tasks.
Placed at once they fill beside each serving image on several workers, two on
each, and where the pair disturbs, all of these miss their targets for a second:
half of the time over target began so on played days. One or two tasks tell as
much. The others wait for the reading, or go where their image is known.

A pair that was blamed for what another one did is never seen again, so that
the mistake lasts: on a played day 380 tasks waited beside 500 idle cores. Where
an image has hardly any room, a pair that seems to disturb on little evidence
is tried again, by one task at a time.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from pimentocross.placement.disturbance import Disturbance
from pimentocross.placement.host import Host

# Workers on which a pair is tried at a time: a second one, as the first may
# be in trouble of its own.
WORKERS_MOST: Final = 2
# A doubtful pair is tried again if room for its image is as scarce as this.
RETRY_FROM: Final = 0.9
# Seconds between two such trials of an image: a task's start, two readings,
# and the time that a target missed by it takes to recover.
RETRY_INTERVAL: Final = 2.0


class Probes:
    """Pairs that are being tried now."""

    def __init__(
        self,
        disturbance: Disturbance,
        hosts: Iterable[Host] = (),
        retried: Iterable[str] = (),
    ) -> None:
        """Counts what fills now beside images that it was never seen with.

        Args:
            disturbance: What is known of pairs.
            hosts: Workers in use.
            retried: Filling images of which a doubtful pair was tried again a
                moment ago.
        """
        self._disturbance = disturbance
        self._retried = set(retried)
        self._workers: Counter[tuple[str, str]] = Counter()
        for host in hosts:
            for filling in host.filling:
                self._count(filling, host)

    def allows(self, filling: str, host: Host) -> bool:
        """True if one more task may fill on a worker, as far as is known."""
        if not host.serving:
            return True
        for serving in host.serving:
            if not self._disturbance.is_untried(serving, filling):
                continue
            if filling in host.filling:
                return False
            if self._workers[(serving, filling)] >= WORKERS_MOST:
                return False
        return True

    def is_on_trial(self, serving: str, filling: str) -> bool:
        """True if a pair is being tried on as many workers as it may be."""
        if not self._disturbance.is_untried(serving, filling):
            return False
        return self._workers[(serving, filling)] >= WORKERS_MOST

    def is_retry_due(self, filling: str, scarcity: float) -> bool:
        """True if a doubtful pair of an image may be tried again now.

        Args:
            filling: The image.
            scarcity: How scarce room is for it, 0 to 1.
        """
        return scarcity >= RETRY_FROM and filling not in self._retried

    def may_retry(self, filling: str, host: Host, scarcity: float) -> bool:
        """True if all that speaks against a worker is doubtful.

        Args:
            filling: Image of the task that would fill.
            host: The worker.
            scarcity: How scarce room is for the image, 0 to 1.
        """
        if not self.is_retry_due(filling, scarcity):
            return False
        if host.filling:
            # What is read has to speak of this pair alone.
            return False
        return all(
            self._disturbance.is_uncertain(serving, filling)
            for serving in host.serving
            if self._disturbance.disturbs(serving, filling)
        )

    def note(self, filling: str, host: Host) -> bool:
        """Notes a task that is about to fill; True if it is a new trial."""
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
