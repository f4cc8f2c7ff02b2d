"""How long calls to workers are waited for while this thread is late itself.

A call that failed because its caller came late to send it, or to read the
answer, says nothing of the worker. So calls have longer the later the thread
was of late, and one that a sudden stall has spoilt is made again before the
worker is taken for silent. The bounds keep what leases promise: no call lasts
into the last second of the lease that it asks for, and a lease isn't asked for
once more than three seconds after the worker was last heard.
"""

from typing import Final

import trio

from pimentocross.observe.lateness import LoopLateness
from pimentocross.owner import const

# A call waits for the thread when it connects or takes a connection, when it is
# sent and when its answer is read.
_TURNS: Final = 3
# Stalls come again: passes follow each other, jobs are swept every 5 s.
_REMEMBERED: Final = 5.0
# Lateness beyond what was foreseen that may spoil a call: a quarter of what it
# may take.
_SPOILS_FROM: Final = const.HOLD_SLACK / 4
# What of a lease is left at least when a call for the next one is given up.
_LEASE_LEFT: Final = 1.0
# A worker that was last heard longer ago has no lease asked for on our account:
# a call of the usual length and a stall of a second.
_HEARD_WITHIN: Final = 3.0


class CallPatience:
    """Timeouts of calls to workers; all times in seconds."""

    def __init__(self, lateness: LoopLateness, lease: float) -> None:
        """Takes how late the thread is and how long leases last."""
        self._lateness = lateness
        self._lease = lease

    def for_call(self) -> float:
        """Returns the timeout of an order."""
        # Longer than a start is valid there is nothing to wait for.
        return const.CALL_TIMEOUT + min(
            self._extra(trio.current_time()), const.START_VALIDITY
        )

    def for_hold(self, wait: float, now: float) -> float:
        """Returns the timeout of a listing.

        Args:
            wait: For how long the worker may wait for news before it answers.
            now: Present time.
        """
        usual = wait + const.HOLD_SLACK
        most = max(self._lease - _LEASE_LEFT - usual, 0.0)
        return usual + min(self._extra(now), most)

    def excuses(
        self, sent_at: float, wait: float, timeout: float, heard_at: float
    ) -> bool:
        """True if a listing may have failed by lateness that wasn't foreseen.

        Args:
            sent_at: When it was asked for.
            wait: For how long the worker might wait for news.
            timeout: What the call had.
            heard_at: When the worker was last heard.
        """
        now = trio.current_time()
        if now - sent_at < timeout:
            # Refused or broken off: that was the worker or the path to it.
            return False
        if now - heard_at > _HEARD_WITHIN:
            return False
        foreseen = (timeout - wait - const.HOLD_SLACK) / _TURNS
        return self._lateness.since(sent_at) >= foreseen + _SPOILS_FROM

    def _extra(self, now: float) -> float:
        return _TURNS * self._lateness.between(now - _REMEMBERED, now)
