"""A retry budget, which limits retries to a share of all requests."""

import trio


class RetryBudget:
    """Limits retries to a share of recent requests.

    Each request adds `ratio` to a balance that never exceeds the reserve, so a
    long quiet period does not allow a burst of retries. The time between two
    requests, up to one window, refills a tenth of the reserve per window.
    """

    def __init__(
        self, ratio: float = 0.1, reserve: float = 5.0, window: float = 10.0
    ) -> None:
        """Initializes the budget with a full reserve.

        Args:
            ratio: Retries that each request adds to the balance.
            reserve: The largest balance.
            window: Seconds without requests that refill a tenth of the
                reserve.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve
        self._window = window
        self._refilled_at = 0.0
        self._refill = reserve / window / 10

    @property
    def balance(self) -> float:
        """Number of retries that are allowed now."""
        return self._balance

    def note_request(self) -> None:
        """Adds what one request and the time since the last one earn."""
        now = trio.current_time()
        idle = min(max(now - self._refilled_at, 0.0), self._window)
        self._refilled_at = now
        earned = self._ratio + idle * self._refill
        self._balance = min(self._balance + earned, self._reserve)

    def try_spend(self) -> bool:
        """Takes one retry from the balance; returns False if there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
