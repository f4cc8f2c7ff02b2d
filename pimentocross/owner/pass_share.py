"""Bounds what passes of decisions take of the owner's one thread.

Load pattern: hundreds of workers and steps, so that looking at all that waits
takes longer than renewals, heartbeats and callers can be kept waiting. A pass
places for some tens of milliseconds at most, then rests as long as it took, and
the next one goes on where it ended: with the state as it is by then, and what
has become urgent meanwhile first.
"""

from collections import Counter
from collections.abc import Hashable, Iterator
from contextlib import contextmanager

import trio

from pimentocross.owner import const
from pimentocross.work.state import Step


class Round:
    """What passes have looked at since one began with all that waits.

    Attributes:
        misses: Steps without room, by kind.
        missed_short: Short steps without room that can still be in time.
        cut: Whether the last pass ended before it had looked at all.
    """

    def __init__(self) -> None:
        """Has looked at nothing yet."""
        self.misses: Counter[Hashable] = Counter()
        self.missed_short: set[Step] = set()
        self.cut = False
        # How many tasks of a step were left waiting.
        self._left: dict[Step, int] = {}

    def note(self, step: Step) -> None:
        """Notes that a step was looked at."""
        if step.waiting_count:
            self._left[step] = step.waiting_count

    def is_new(self, step: Step) -> bool:
        """True if a step wasn't looked at, or has lost a task since."""
        return step.waiting_count > self._left.get(step, 0)


class PassShare:
    """Measures passes and has them rest."""

    def __init__(self) -> None:
        """Knows no pass yet."""
        self._began = 0.0
        self._until = 0.0
        self._took = 0.0

    @property
    def took(self) -> float:
        """Seconds that the last pass took."""
        return self._took

    @property
    def is_spent(self) -> bool:
        """True once the pass has to give the thread up."""
        return trio.current_time() >= self._until

    @contextmanager
    def measured(self) -> Iterator[None]:
        """Measures the pass that is made in the block."""
        self._began = trio.current_time()
        try:
            yield
        finally:
            self._took = trio.current_time() - self._began

    def begin_placing(self) -> None:
        """Notes that all is ready to place.

        Placing has at least as long as that took: else a pass in a large cell
        would do little but get ready.
        """
        now = trio.current_time()
        self._until = now + max(const.PASS_SLICE, now - self._began)

    async def rest(self) -> None:
        """Leaves the thread to others for as long as the last pass took."""
        rest = min(max(self._took, const.PASS_PAUSE), const.PASS_REST_MOST)
        await trio.sleep(rest)
