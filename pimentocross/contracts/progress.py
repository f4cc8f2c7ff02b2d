"""How much of the answer to a request has arrived."""

from collections.abc import Callable

import trio


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

    def note_received(self, size: int) -> None:
        """Counts bytes that have arrived just now."""
        self.received += size
        self.arrived_at = trio.current_time()
        if self._listener is not None:
            self._listener(self, size)
