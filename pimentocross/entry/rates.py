"""Limits the requests per second of each tenant with token buckets."""

import trio

# Tenants beyond this number share one bucket.
_MAX_BUCKETS = 2_000
_SHARED_BUCKET = "(other)"


class _Bucket:
    """A token bucket that holds the tokens of one second."""

    def __init__(self, rate: float) -> None:
        self.tokens = rate
        self.filled_at = trio.current_time()

    def try_take(self, rate: float) -> bool:
        """Takes a token; returns False if there is none."""
        now = trio.current_time()
        filled = self.tokens + (now - self.filled_at) * rate
        self.tokens = min(filled, max(rate, 1.0))
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TenantRates:
    """Token buckets by tenant."""

    def __init__(self) -> None:
        """Initializes without buckets; new ones start full."""
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, tenant: str, rate: float) -> bool:
        """Returns True if the tenant may send one more request now.

        Args:
            tenant: Name of the tenant.
            rate: Allowed requests per second.
        """
        if tenant not in self._buckets and len(self._buckets) >= _MAX_BUCKETS:
            tenant = _SHARED_BUCKET
        if tenant not in self._buckets:
            self._buckets[tenant] = _Bucket(rate)
        return self._buckets[tenant].try_take(rate)
