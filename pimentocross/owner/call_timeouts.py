"""Timeouts of calls to workers, adapted to the lateness of this thread.

A call that failed because this process was late to send it or to read the
answer says nothing about the worker. So timeouts grow with the recent lateness
of the event loop, and a call that failed by a sudden stall is repeated before
the worker counts as silent. Two bounds keep the guarantees of leases: no call
lasts into the last second of the lease that it requests, and own lateness is no
reason to request a lease more than three seconds after the worker last replied,
so that the leases of a silent worker lapse.
"""

from typing import Final

import trio

from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const

# Times that a call waits for the event loop: to get a connection, to send the
# request and to read the answer.
_WAITS_PER_CALL: Final = 3
# Seconds for which lateness counts. Stalls recur: passes follow each other, and
# jobs are swept every 5 s.
_LATENESS_WINDOW: Final = 5.0
# Seconds of lateness beyond the expected lateness that may make a call fail: a
# quarter of the time that it may take.
_SPOILING_LATENESS: Final = const.LISTING_SLACK / 4
# Least seconds left of a lease when the call that requests it times out.
_LEASE_LEFT: Final = 1.0
# Most seconds since the last reply of a worker after which a failed call is
# blamed on own lateness: a call of the usual length and a stall of a second.
# Later, the worker counts as silent: no lease is requested, and its leases
# lapse.
_REPLY_AGE_MOST: Final = 3.0


class CallTimeouts:
    """Timeouts of calls to workers; all times in seconds."""

    def __init__(self, lateness: LoopLateness, lease: float) -> None:
        """Initializes the timeouts.

        Args:
            lateness: Measures how late the event loop is.
            lease: Length of leases.
        """
        self._lateness = lateness
        self._lease = lease

    def for_call(self) -> float:
        """Returns the timeout of an order to start, stop or pace a run."""
        # Waiting longer than a start is valid serves no purpose.
        return const.CALL_TIMEOUT + min(
            self._extra_time(trio.current_time()), const.START_VALIDITY
        )

    def for_hold(self, wait: float, now: float) -> float:
        """Returns the timeout of a call that lists runs.

        Args:
            wait: How long the worker may wait for changes before it answers.
            now: Present time.
        """
        usual_timeout = wait + const.LISTING_SLACK
        most = max(self._lease - _LEASE_LEFT - usual_timeout, 0.0)
        return usual_timeout + min(self._extra_time(now), most)

    def is_own_lateness(
        self, sent_at: float, wait: float, timeout: float, last_reply_at: float
    ) -> bool:
        """True if a listing may have failed by a sudden stall of this thread.

        Args:
            sent_at: When the call was made.
            wait: How long the worker might wait for changes.
            timeout: Timeout of the call.
            last_reply_at: When the worker last replied.
        """
        now = trio.current_time()
        if now - sent_at < timeout:
            # Refused or broken off, by the worker or the network.
            return False
        if now - last_reply_at > _REPLY_AGE_MOST:
            return False
        expected = (timeout - wait - const.LISTING_SLACK) / _WAITS_PER_CALL
        return self._lateness.since(sent_at) >= expected + _SPOILING_LATENESS

    def _extra_time(self, now: float) -> float:
        return _WAITS_PER_CALL * self._lateness.between(
            now - _LATENESS_WINDOW, now
        )
