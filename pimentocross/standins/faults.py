"""Faults that a stand-in can be told to show."""

import random
from typing import NamedTuple

import trio


class FaultPlan(NamedTuple):
    """What goes wrong.

    Attributes:
        away: Refuse everything.
        delay: Seconds added to each answer.
        lose_replies: Share of operations that take effect unanswered.
        lose_requests: Share of operations that never take effect.
        silent: Answer nothing, ever: what comes in meanwhile is lost.
    """

    away: bool = False
    delay: float = 0.0
    lose_replies: float = 0.0
    lose_requests: float = 0.0
    silent: bool = False


class FaultError(Exception):
    """The stand-in fails as it was told to.

    Attributes:
        happened: True if the operation took effect.
    """

    def __init__(self, *, happened: bool) -> None:
        """Notes whether the operation took effect."""
        super().__init__("told to fail")
        self.happened = happened


class Faults:
    """The faults of one stand-in, drawn from a seeded generator."""

    def __init__(self, seed: int = 0) -> None:
        """Starts without faults."""
        self.plan = FaultPlan()
        self._random = random.Random(seed)

    async def before(self) -> None:
        """Delays or refuses an operation before it takes effect.

        Raises:
            FaultError: The operation did not happen.
        """
        if self.plan.delay:
            await trio.sleep(self.plan.delay)
        if self.plan.silent:
            await trio.sleep_forever()
        lost = self._random.random() < self.plan.lose_requests
        if self.plan.away or lost:
            raise FaultError(happened=False)

    def after(self) -> None:
        """Loses the reply of an operation that took effect.

        Raises:
            FaultError: The operation happened.
        """
        if self._random.random() < self.plan.lose_replies:
            raise FaultError(happened=True)
