"""Requests a second that each tenant may send."""

import trio

# Tenants beyond this many share one bucket.
_TENANTS_MOST = 2_000
_OTHER = "(other)"


class _Bucket:
    """A token bucket that holds one second's worth."""

    def __init__(self, rate: float) -> None:
        self.tokens = rate
        self.filled_at = trio.current_time()

    def take(self, rate: float) -> bool:
        """Takes a token if there is one."""
        now = trio.current_time()
        filled = self.tokens + (now - self.filled_at) * rate
        self.tokens = min(filled, max(rate, 1.0))
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TenantRates:
    """One bucket for each tenant."""

    def __init__(self) -> None:
        """Starts with full buckets."""
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, tenant: str, rate: float) -> bool:
        """True if the tenant may send one more request now."""
        if tenant not in self._buckets and len(self._buckets) >= _TENANTS_MOST:
            tenant = _OTHER
        if tenant not in self._buckets:
            self._buckets[tenant] = _Bucket(rate)
        return self._buckets[tenant].take(rate)
