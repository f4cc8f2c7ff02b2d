"""A retry budget: retries as a share of requests, not a count for each."""

import trio


class RetryBudget:
    """Lets retries be at most a share of recent requests.

    Each request earns `ratio` of a retry; unspent earnings decay with the
    window, so a quiet hour does not pay for a storm.
    """

    def __init__(
        self, ratio: float = 0.1, reserve: float = 5.0, window: float = 10.0
    ) -> None:
        """Sets the share, the retries kept for idle times, and seconds."""
        self._ratio = ratio
        self._most = reserve
        self._balance = reserve
        self._window = window
        self._earned_at = 0.0
        self._refill = reserve / window / 10

    @property
    def balance(self) -> float:
        """Retries that may be spent now."""
        return self._balance

    def note_request(self) -> None:
        """Earns a share of a retry."""
        now = trio.current_time()
        idle = min(max(now - self._earned_at, 0.0), self._window)
        self._earned_at = now
        earned = self._ratio + idle * self._refill
        self._balance = min(self._balance + earned, self._most)

    def try_spend(self) -> bool:
        """Takes one retry from the balance, if it holds one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
