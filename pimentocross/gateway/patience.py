"""How long others wait for an owner that has just claimed.

A new owner reads the state and calls every worker; it looks more like one that
is gone than at any other time, and whoever replaces it begins from nothing. So
it is given longer, as long as take-overs were seen to last, and twice as long
after each that failed. The bound on all of it is `SILENCE_MOST`.
"""

from pimentocross.gateway import const
from pimentocross.gateway.cluster import OwnerClaim
from pimentocross.gateway.messages import Standing
from pimentocross.gateway.own_time import OwnTime


class OwnerPatience:
    """What this process has seen of claims and take-overs."""

    def __init__(self, time: OwnTime) -> None:
        """Takes the time to count in."""
        self._time = time
        self._claim: OwnerClaim | None = None
        self._since = time.now()
        # Owners on end that were replaced soon after they had claimed.
        self._failed = 0
        self._taking_over = False
        self._usual = 0.0

    @property
    def age(self) -> float:
        """Own time since the newest claim was first seen."""
        return self._time.now() - self._since

    def note_claim(self, claim: OwnerClaim | None) -> None:
        """Notes the newest claim; to be told of each."""
        former = self._claim
        if claim is former:
            return
        if former is not None and not former.released:
            self._failed = self._failed + 1 if self._is_young() else 0
        self._claim = claim
        self._since = self._time.now()
        self._taking_over = False

    def note_standing(self, standing: Standing) -> None:
        """Notes what the newest claim's process tells."""
        if standing.takeover_age > 0:
            self._taking_over = True
        elif self._taking_over and standing.ready:
            self._taking_over = False
            self._usual = self.age

    def factor(self, standing: Standing | None) -> float:
        """Returns how many times longer than usual its owner is waited for.

        Args:
            standing: What it told last under its claim, or None.
        """
        factor = 1.0
        # One of the former version tells only whether it is ready.
        if standing is None or not standing.ready or standing.takeover_age > 0:
            factor = max(const.TAKEOVER_FACTOR, self._usual / const.SILENCE)
        if self._is_young():
            factor *= 2.0**self._failed
        return min(factor, const.SILENCE_MOST / const.SILENCE)

    def _is_young(self) -> bool:
        return self.age < const.YOUNG
