"""Limits that the platform's settings impose on an owner."""

from typing import NamedTuple

from pimentocross.owner import const
from pimentocross.work.limits import DEFAULT_RECORD_BYTES


class OwnerTerms(NamedTuple):
    """Limits of one deployment; durations in seconds.

    Attributes:
        lease: Length of leases of runs, at most `granted_most`.
        ended_kept: How long a job is remembered after its end.
        granted_most: Longest lease that workers grant, even if a longer one
            is requested.
        descriptors: File descriptors that the process may have open.
        record_bytes: Longest record that the store takes.
    """

    lease: float = const.LEASE
    ended_kept: float = const.ENDED_JOB_RETENTION
    granted_most: float = const.GRANTED_MOST
    descriptors: int = const.DEFAULT_DESCRIPTORS
    record_bytes: int = DEFAULT_RECORD_BYTES

    @property
    def lease_most(self) -> float:
        """Longest duration of a lease on this process's clock.

        Includes the drift of a worker's clock.
        """
        return self.lease * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN

    @property
    def confirmed_lease(self) -> float:
        """Longest time from an owner's confirmation to the end of a lease.

        Measured on the worker's clock.
        """
        return self.lease + const.CONFIRMATION_SLACK

    @property
    def confirmed_lease_most(self) -> float:
        """Longest time that leases last once their owner isn't confirmed."""
        return (
            self.confirmed_lease * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN
        )

    @property
    def granted_lease_most(self) -> float:
        """Longest duration of any lease on this process's clock.

        A life grants it for a deadline that was meant for another life.
        """
        return self.granted_most * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN

    @property
    def unreleased_lease_most(self) -> float:
        """Longest time that leases of an owner last if it didn't hand over.

        It may have gone on renewing them without access to the store.
        """
        return self.lease_most + const.RENEWALS_WITHOUT_STORE

    def orders_at_once(self, workers: int) -> int:
        """Returns how many concurrent orders one worker may get.

        Load pattern: with more than a thousand workers, a few connections to
        each use up the file descriptors of a small VM, and new calls fail to
        connect. So the limit falls with the number of workers.

        Args:
            workers: Number of workers.
        """
        connections = (
            self.descriptors * const.WORKER_DESCRIPTOR_SHARE / max(workers, 1)
        )
        most = int(connections) - const.LISTING_CONNECTIONS
        return min(max(most, 1), const.MAX_CONCURRENT_ORDERS)


def make_terms(
    lease_most: float,
    ended_least: float,
    descriptors: int = const.DEFAULT_DESCRIPTORS,
    record_bytes: int = DEFAULT_RECORD_BYTES,
) -> OwnerTerms:
    """Returns the default limits adapted to a deployment's bounds.

    Args:
        lease_most: Longest lease that its workers grant.
        ended_least: Least time for which the state of an ended job has to be
            available.
        descriptors: File descriptors that the process may have open.
        record_bytes: Longest record that the store takes.
    """
    return OwnerTerms(
        min(const.LEASE, lease_most),
        max(
            const.ENDED_JOB_RETENTION,
            ended_least + const.ENDED_JOB_RETENTION_SLACK,
        ),
        lease_most,
        descriptors,
        record_bytes,
    )
