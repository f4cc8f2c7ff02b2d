"""Fault injection for the stand-ins."""

import random
from typing import NamedTuple

import trio


class FaultPlan(NamedTuple):
    """The faults to inject.

    Attributes:
        away: Every operation is refused.
        delay: Seconds by which each operation is delayed.
        lose_replies: Share of operations that take effect but get no reply.
        lose_requests: Share of operations that never take effect.
        silent: Operations never get a reply; those received while this is set
            are lost.
    """

    away: bool = False
    delay: float = 0.0
    lose_replies: float = 0.0
    lose_requests: float = 0.0
    silent: bool = False


class FaultError(Exception):
    """An injected fault.

    Attributes:
        happened: True if the operation took effect.
    """

    def __init__(self, *, happened: bool) -> None:
        """Initializes the error."""
        super().__init__("injected fault")
        self.happened = happened


class Faults:
    """Injects the faults of one stand-in, using a seeded generator."""

    def __init__(self, seed: int = 0) -> None:
        """Initializes the injector without faults."""
        self.plan = FaultPlan()
        self._random = random.Random(seed)

    async def before(self) -> None:
        """Delays or refuses an operation before it takes effect.

        Raises:
            FaultError: The operation did not take effect.
        """
        if self.plan.delay:
            await trio.sleep(self.plan.delay)
        if self.plan.silent:
            await trio.sleep_forever()
        lost = self._random.random() < self.plan.lose_requests
        if self.plan.away or lost:
            raise FaultError(happened=False)

    def after(self) -> None:
        """Drops the reply of an operation that took effect, as planned.

        Raises:
            FaultError: The reply is lost; the operation took effect.
        """
        if self._random.random() < self.plan.lose_replies:
            raise FaultError(happened=True)
