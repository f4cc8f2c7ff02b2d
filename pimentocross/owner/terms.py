"""What the platform lets an owner do, as its settings tell."""

from typing import NamedTuple

from pimentocross.owner import const


class OwnerTerms(NamedTuple):
    """Durations in seconds that differ from one deployment to the next.

    Attributes:
        lease: Lease of what runs, no longer than workers grant.
        ended_kept: How long a job that has ended is remembered.
        granted_most: Longest lease that workers grant, whatever is asked for.
        descriptors: File descriptors that the process may have open.
    """

    lease: float = const.LEASE
    ended_kept: float = const.ENDED_JOB_RETENTION
    granted_most: float = const.LEASE
    descriptors: int = const.DEFAULT_DESCRIPTORS

    @property
    def lease_most(self) -> float:
        """How long a lease lasts at most by our clock."""
        return self.lease * (1 + const.CLOCK_DRIFT) + const.LAPSE_MARGIN

    @property
    def loud_for(self) -> float:
        """How long leases of an owner may last that left without a word."""
        return self.lease_most + const.RENEWALS_WITHOUT_STORE

    def orders_at_once(self, workers: int) -> int:
        """Returns how many orders may be on their way to one worker.

        Load pattern: more than a thousand workers, to each of which a few
        connections would use up the descriptors of a small VM, so that no call
        connects any more. With so many each gets few orders.

        Args:
            workers: How many there are.
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
) -> OwnerTerms:
    """Returns the terms within a deployment's bounds.

    Args:
        lease_most: Longest lease that its workers grant.
        ended_least: How long the state of an ended job has to be told.
        descriptors: File descriptors that the process may have open.
    """
    return OwnerTerms(
        min(const.LEASE, lease_most),
        max(
            const.ENDED_JOB_RETENTION,
            ended_least + const.ENDED_JOB_RETENTION_SLACK,
        ),
        lease_most,
        descriptors,
    )
