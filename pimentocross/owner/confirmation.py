"""For how long an owner may let leases run.

A lease ends at the latest `OwnerTerms.confirmed_lease` after the owner was last
confirmed, so that a successor that has ended all confirmation knows when the
last lease ends. See `owner.witnesses` for what confirms an owner.
"""

from pimentocross.owner import const
from pimentocross.owner.ledger import Ledger
from pimentocross.owner.terms import OwnerTerms
from pimentocross.owner.witnesses import Witnesses


class Confirmation:
    """Derives the length of leases from when the owner was confirmed."""

    def __init__(
        self, ledger: Ledger, witnesses: Witnesses, terms: OwnerTerms
    ) -> None:
        """Initializes it with what confirms the owner.

        Args:
            ledger: Tells when the store confirmed the owner.
            witnesses: Tell when workers did.
            terms: The limits for leases.
        """
        self._ledger = ledger
        self._witnesses = witnesses
        self._terms = terms

    def lease(self, now: float) -> float:
        """Returns the seconds for which leases may run from now on, or 0.

        Args:
            now: Present time on the boot clock.
        """
        confirmed_at = self._ledger.confirmed_at
        if now - confirmed_at > const.CONFIRMATION_SLACK:
            if now - confirmed_at > const.RENEWALS_WITHOUT_STORE:
                # Bounds the leases for a successor that reaches too few
                # witnesses.
                return 0.0
            confirmed_at = max(confirmed_at, self._witnesses.confirmed_at(now))
        left = confirmed_at + self._terms.confirmed_lease - now
        return min(max(left, 0.0), self._terms.lease)
