"""Bounds the share of the owner's single thread that scheduling passes take.

Load pattern: with hundreds of workers and steps, trying to place all waiting
steps takes longer than renewals, heartbeats and callers can be kept waiting. A
pass places for some tens of milliseconds at most and is followed by a pause as
long as the pass. The next pass continues where the last one ended, on the
current state, and tries steps that have become urgent meanwhile first.
"""

from collections import Counter
from collections.abc import Hashable, Iterator
from contextlib import contextmanager

import trio

from pimentocross.owner import const
from pimentocross.work.state import Step


class PlacementRound:
    """A round over all waiting steps, made by one or more passes.

    Attributes:
        unplaced_short: Short steps that could not be placed and can still meet
            their objective.
        interrupted: Whether the last pass ended before it had tried all steps.
        is_continuation: Whether the present pass continues an interrupted one.
    """

    def __init__(self) -> None:
        """Initializes a round in which no step has been tried."""
        self.unplaced_short: set[Step] = set()
        self.interrupted = False
        self.is_continuation = False
        # Failed placements by kind, of the whole round and of this pass.
        self._round_misses: Counter[Hashable] = Counter()
        self._pass_misses: Counter[Hashable] = Counter()
        # Kinds of which this pass has reached a step that was tried before.
        self._reached_kinds: set[Hashable] = set()
        # Number of tasks of each tried step that were left waiting.
        self._left_waiting: dict[Step, int] = {}

    def begin_pass(self) -> None:
        """Begins the first pass, or the one after an interrupted pass."""
        self.is_continuation = self.interrupted
        self.interrupted = False
        self._pass_misses.clear()
        self._reached_kinds.clear()

    def should_try(self, step: Step, kind: Hashable, max_misses: int) -> bool:
        """Returns whether a step should be tried in this pass.

        Callers ask for steps in order of urgency. A step that is more urgent
        than all tried steps of its kind is tried even if the round has used up
        the failed placements of that kind; otherwise it would wait for seconds
        until the round ends.

        Args:
            step: The step.
            kind: Key shared by steps that can be placed on the same workers.
            max_misses: Failed placements after which the remaining steps of
                the kind are skipped.
        """
        if step.waiting_count <= self._left_waiting.get(step, 0):
            # It was tried, and no more of its tasks wait since.
            self._reached_kinds.add(kind)
            return False
        if (
            kind in self._reached_kinds
            and self._round_misses[kind] >= max_misses
        ):
            return False
        return self._pass_misses[kind] < max_misses

    def note(self, step: Step, kind: Hashable, *, found_room: bool) -> None:
        """Notes that the placement of a step was tried."""
        self._round_misses[kind] += not found_room
        self._pass_misses[kind] += not found_room
        if step.waiting_count:
            self._left_waiting[step] = step.waiting_count


class PassShare:
    """Measures passes, limits their length and pauses between them."""

    def __init__(self) -> None:
        """Initializes the share before the first pass."""
        self._began = 0.0
        self._until = 0.0
        self._duration = 0.0

    @property
    def duration(self) -> float:
        """Duration of the last pass in seconds."""
        return self._duration

    @property
    def is_spent(self) -> bool:
        """Whether the pass has used up its time and has to end."""
        return trio.current_time() >= self._until

    @contextmanager
    def measured(self) -> Iterator[None]:
        """Measures the duration of the pass that runs in the block."""
        self._began = trio.current_time()
        try:
            yield
        finally:
            self._duration = trio.current_time() - self._began

    def begin_placing(self) -> None:
        """Starts the time limit of placing, once preparations are done.

        Placing gets at least as long as the preparations took; otherwise a
        pass in a large cell would do little but prepare.
        """
        now = trio.current_time()
        self._until = now + max(const.PASS_SLICE, now - self._began)

    async def pause(self) -> None:
        """Sleeps as long as the last pass took, within fixed limits."""
        pause = min(
            max(self._duration, const.MIN_PASS_PAUSE), const.MAX_PASS_PAUSE
        )
        await trio.sleep(pause)
