"""Tickets for steps that only some workers may run.

The adviser takes one call at a time and answers the slower the more workers
it is asked about, so steps wait in order of urgency and each call names few
workers: those that may run the step and need a new ticket, then some that
were never asked about.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple
from weakref import WeakKeyDictionary

import trio

from pimentocross.contracts.adviser import (
    Advice,
    Adviser,
    AdviserUnavailableError,
    StepName,
)
from pimentocross.observe.decisions import note
from pimentocross.work.state import Step

# Workers named in one call: as many as users reckon a step's call to name.
_ASKED_MOST = 30
_TIMEOUT = 3.0
_RETRY_PAUSE = 0.2
# A ticket is used only if it holds for this long yet, in seconds: a start
# waits for its record and for the worker.
_MARGIN = 0.5


class _Ticket(NamedTuple):
    """What lets a worker run a step, and until when, monotonic."""

    text: str
    until: float

    @property
    def holds(self) -> bool:
        return self.until >= trio.current_time() + _MARGIN


class _Known:
    """What is known of one step."""

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.asked: set[str] = set()


class TicketCache:
    """Keeps tickets by step and asks for those that are wanted."""

    def __init__(
        self, adviser: Adviser | None, wake: Callable[[], None]
    ) -> None:
        """Takes the adviser, if there is one, and what to call on news."""
        self._adviser = adviser
        self._wake = wake
        self._known: WeakKeyDictionary[Step, _Known] = WeakKeyDictionary()
        self._wanted: dict[Step, list[str]] = {}
        self._changed = trio.Event()

    def tickets(self, step: Step) -> dict[str, str]:
        """Returns tickets that hold, by worker life."""
        known = self._known.get(step)
        if known is None:
            return {}
        return {
            worker: ticket.text
            for worker, ticket in known.tickets.items()
            if ticket.holds
        }

    def request_tickets(self, step: Step, workers: Sequence[str]) -> None:
        """Asks for tickets for a step on some of these workers.

        Args:
            step: The step.
            workers: Lives with room for its tasks, the best first.
        """
        if self._adviser is None or not workers:
            return
        self._wanted.setdefault(step, list(workers))
        self._changed.set()

    def needs_no_request(self, step: Step) -> bool:
        """True if to want tickets for a step would change nothing."""
        return self._adviser is None or step in self._wanted

    def forget(self, step: Step) -> None:
        """Drops tickets that a worker has refused."""
        known = self._known.get(step)
        if known is not None:
            for worker, ticket in known.tickets.items():
                known.tickets[worker] = ticket._replace(until=float("-inf"))

    def forget_life(self, life: str) -> None:
        """Drops the tickets of a worker's life that has ended."""
        for known in self._known.values():
            known.tickets.pop(life, None)
            known.asked.discard(life)

    async def run(self) -> None:
        """Asks for what is wanted, one step after the other, for ever."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            while self._wanted:
                step = next(iter(self._wanted))
                workers = self._wanted.pop(step)
                if step.undone and not step.job.ended:
                    await self._ask(step, workers)

    async def _ask(self, step: Step, workers: list[str]) -> None:
        assert self._adviser is not None
        known = self._known.setdefault(step, _Known())
        named = _choose(known, workers)
        if not named:
            return
        name = StepName(step.job.id, step.occurrence.number, step.number)
        asked_at = trio.current_time()
        try:
            advice = await self._adviser.advise(name, named, _TIMEOUT)
        except AdviserUnavailableError as error:
            note("advice_missing", step=name, reason=str(error))
            await trio.sleep(_RETRY_PAUSE)
            return
        _take(known, named, advice, asked_at)
        note("advice", step=name, asked=len(named), allowed=len(advice.tickets))
        self._wake()


def _choose(known: _Known, workers: list[str]) -> list[str]:
    again = [
        worker
        for worker in workers
        if worker in known.tickets and not known.tickets[worker].holds
    ]
    fresh = [worker for worker in workers if worker not in known.asked]
    return (again + fresh)[:_ASKED_MOST]


def _take(
    known: _Known, named: list[str], advice: Advice, asked_at: float
) -> None:
    until = asked_at + advice.validity
    for worker, text in advice.tickets.items():
        known.tickets[worker] = _Ticket(text, until)
    known.asked.update(named)
