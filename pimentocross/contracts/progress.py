"""How much of the answer to a request has arrived."""

from collections.abc import Callable
from typing import Final

import trio

# Seconds without new bytes after which an answer counts as stalled. A lost
# packet is sent again after some tenths of a second.
STALL_TIMEOUT: Final = 1.0


class AnswerProgress:
    """Counts the bytes of an answer while they arrive.

    Attributes:
        received: Bytes that have arrived so far.
        arrived_at: Monotonic time at which the last of them arrived; -inf
            before the first.
    """

    def __init__(
        self, listener: Callable[["AnswerProgress", int], None] | None = None
    ) -> None:
        """Initializes the progress of a request without an answer.

        Args:
            listener: Called with this object and the number of new bytes
                whenever some have arrived.
        """
        self.received = 0
        self.arrived_at = float("-inf")
        self._listener = listener
        self._scope: trio.CancelScope | None = None

    def extend(self, scope: trio.CancelScope) -> None:
        """Keeps a scope open while the answer arrives.

        Whenever bytes arrive, the scope's deadline is moved to `STALL_TIMEOUT`
        from then, unless it is later already.
        """
        self._scope = scope

    def note_received(self, size: int) -> None:
        """Counts bytes that have arrived just now."""
        now = trio.current_time()
        self.received += size
        self.arrived_at = now
        if self._scope is not None:
            self._scope.deadline = max(
                self._scope.deadline, now + STALL_TIMEOUT
            )
        if self._listener is not None:
            self._listener(self, size)
