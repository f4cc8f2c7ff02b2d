"""How long a read that waits for news may wait."""

from typing import Final

# The first wait after news, as a share of the longest.
_FIRST_SHARE: Final = 1 / 8
_GROWTH: Final = 2.0


class PollPace:
    """Waits that are short after news and grow while there is none.

    Records come in series, as after an outage, and a store may not tell a read
    of one that comes while the read is being taken in. Whoever waits for long
    then has it late.
    """

    def __init__(self, longest: float) -> None:
        """Begins with a short wait.

        Args:
            longest: Seconds that a read may wait at most.
        """
        self._longest = longest
        self._first = longest * _FIRST_SHARE
        self._wait = self._first

    @property
    def wait(self) -> float:
        """Seconds that the next read may wait."""
        return self._wait

    def note_answer(self, *, news: bool) -> None:
        """Takes whether an answer brought news."""
        if news:
            self.restart()
        else:
            self._wait = min(self._wait * _GROWTH, self._longest)

    def restart(self) -> None:
        """Begins with a short wait again."""
        self._wait = self._first
