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
        missed_short: Short steps without room that can still be in time.
        cut: Whether the last pass ended before it had looked at all.
        carried: Whether it goes on from a pass that was cut.
    """

    def __init__(self) -> None:
        """Has looked at nothing yet."""
        self.missed_short: set[Step] = set()
        self.cut = False
        self.carried = False
        # Steps without room by kind, in all passes and in the present one.
        self._misses: Counter[Hashable] = Counter()
        self._present: Counter[Hashable] = Counter()
        # Kinds of which the present pass has met a step looked at before.
        self._met: set[Hashable] = set()
        # How many tasks of a step were left waiting.
        self._left: dict[Step, int] = {}

    def begin_pass(self) -> None:
        """Begins a pass, anew or where the last one was cut."""
        self.carried = self.cut
        self.cut = False
        self._present.clear()
        self._met.clear()

    def wants(self, step: Step, kind: Hashable, misses_most: int) -> bool:
        """True if a step should be looked at; steps come by urgency.

        What is more urgent than all that was looked at of its kind is, also
        where the kind has used up its misses: it would else wait for seconds
        until the round ends.

        Args:
            step: The step.
            kind: What finds room in the same places.
            misses_most: Steps without room after which the others of the kind
                aren't looked at.
        """
        if step.waiting_count <= self._left.get(step, 0):
            # It was looked at, and has lost no task since.
            self._met.add(kind)
            return False
        if kind in self._met and self._misses[kind] >= misses_most:
            return False
        return self._present[kind] < misses_most

    def note(self, step: Step, kind: Hashable, *, found_room: bool) -> None:
        """Notes that a step was looked at."""
        self._misses[kind] += not found_room
        self._present[kind] += not found_room
        if step.waiting_count:
            self._left[step] = step.waiting_count


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
