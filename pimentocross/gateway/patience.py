"""Extends the timeouts for an owner that has just claimed the cell.

A new owner reads the state and calls every worker. While it does, it is easily
mistaken for a dead one, and an owner that replaces it has to start over. Its
timeouts are therefore extended: to the duration of the last take-over that was
seen, and to twice as much after each take-over that failed. The silence timeout
is bounded by `MAX_SILENCE_TIMEOUT`.
"""

from pimentocross.gateway import const
from pimentocross.gateway.cluster import OwnerClaim
from pimentocross.gateway.messages import OwnerStatus
from pimentocross.gateway.own_time import LoopClock


class OwnerTimeouts:
    """Derives timeouts from the claims and take-overs seen so far."""

    def __init__(self, clock: LoopClock) -> None:
        """Initializes the timeouts with the clock that measures take-overs."""
        self._clock = clock
        self._claim: OwnerClaim | None = None
        self._claim_seen_at = clock.now()
        # Consecutive owners that were replaced soon after their claim.
        self._failed_takeovers = 0
        self._taking_over = False
        self._last_takeover_duration = 0.0

    @property
    def claim_age(self) -> float:
        """Seconds since the newest claim was first seen, by the loop clock."""
        return self._clock.now() - self._claim_seen_at

    def note_claim(self, claim: OwnerClaim | None) -> None:
        """Records the newest claim; must be called for every claim."""
        previous = self._claim
        if claim is previous:
            return
        if previous is not None and not previous.released:
            self._failed_takeovers = (
                self._failed_takeovers + 1 if self._is_claim_recent() else 0
            )
        self._claim = claim
        self._claim_seen_at = self._clock.now()
        self._taking_over = False

    def note_owner_status(self, owner_status: OwnerStatus) -> None:
        """Records a status reported by the process of the newest claim."""
        if owner_status.takeover_age > 0:
            self._taking_over = True
        elif self._taking_over and owner_status.ready:
            self._taking_over = False
            self._last_takeover_duration = self.claim_age

    def timeout_factor(self, owner_status: OwnerStatus | None) -> float:
        """Returns the factor by which timeouts for the owner are extended.

        Args:
            owner_status: The newest status that the owner has reported under
                its claim, or None.
        """
        timeout_factor = 1.0
        # An earlier version only reports whether it is ready.
        if (
            owner_status is None
            or not owner_status.ready
            or owner_status.takeover_age > 0
        ):
            timeout_factor = max(
                const.TAKEOVER_FACTOR,
                self._last_takeover_duration / const.SILENCE_TIMEOUT,
            )
        if self._is_claim_recent():
            timeout_factor *= 2.0**self._failed_takeovers
        return min(
            timeout_factor, const.MAX_SILENCE_TIMEOUT / const.SILENCE_TIMEOUT
        )

    def _is_claim_recent(self) -> bool:
        return self.claim_age < const.RECENT_CLAIM_AGE
