"""How long a long-poll read may wait for new records."""

from typing import Final

# The first wait after new records, as a share of the longest wait.
_FIRST_SHARE: Final = 1 / 8
_GROWTH: Final = 2.0


class PollPace:
    """Long-poll waits, short after new records and growing without them.

    Records come in bursts, for example after an outage. A store may fail to
    wake a waiting read for a record that arrives while it accepts the read; a
    reader with a long wait then gets that record late.
    """

    def __init__(self, longest: float) -> None:
        """Initializes the pace with a short wait.

        Args:
            longest: The longest wait of a read, in seconds.
        """
        self._longest = longest
        self._initial_wait = longest * _FIRST_SHARE
        self._wait = self._initial_wait

    @property
    def wait(self) -> float:
        """Seconds for which the next read may wait."""
        return self._wait

    def note_answer(self, *, has_changes: bool) -> None:
        """Adjusts the wait after an answer with or without changes."""
        if has_changes:
            self.restart()
        else:
            self._wait = min(self._wait * _GROWTH, self._longest)

    def restart(self) -> None:
        """Resets the wait to its initial length."""
        self._wait = self._initial_wait
