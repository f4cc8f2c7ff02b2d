"""Tickets of the adviser, for steps that only some workers may run.

The adviser handles one call at a time and is slower the more workers a call
names. Steps therefore wait in order of urgency, and each call names few
workers: first those whose ticket for the step has expired, then some that the
adviser was never asked about.
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

# The users expect a call for a step to name this many workers.
_MAX_WORKERS_PER_CALL = 30
_CALL_TIMEOUT = 3.0
_RETRY_PAUSE = 0.2
# Seconds. A ticket that expires sooner isn't used, as a start first waits for
# its record and for the worker.
_MIN_REMAINING_VALIDITY = 0.5


class _Ticket(NamedTuple):
    """Permission for a worker to run a step, and its monotonic expiry."""

    text: str
    expires_at: float

    @property
    def is_valid(self) -> bool:
        return self.expires_at >= trio.current_time() + _MIN_REMAINING_VALIDITY


class _StepTickets:
    """Tickets of one step by worker life, and the lives asked about."""

    def __init__(self) -> None:
        self.tickets: dict[str, _Ticket] = {}
        self.asked: set[str] = set()


class TicketCache:
    """Caches tickets by step and requests missing ones from the adviser."""

    def __init__(
        self, adviser: Adviser | None, wake: Callable[[], None]
    ) -> None:
        """Initializes an empty cache.

        Args:
            adviser: The adviser, or None if there is none.
            wake: Triggers a scheduling pass.
        """
        self._adviser = adviser
        self._wake = wake
        self._by_step: WeakKeyDictionary[Step, _StepTickets] = (
            WeakKeyDictionary()
        )
        self._requested: dict[Step, list[str]] = {}
        self._changed = trio.Event()

    def tickets(self, step: Step) -> dict[str, str]:
        """Returns the valid tickets of a step by worker life."""
        step_tickets = self._by_step.get(step)
        if step_tickets is None:
            return {}
        return {
            worker: ticket.text
            for worker, ticket in step_tickets.tickets.items()
            if ticket.is_valid
        }

    def request_tickets(self, step: Step, workers: Sequence[str]) -> None:
        """Queues a request for tickets for a step on some of the workers.

        Args:
            step: The step.
            workers: Lives with capacity for its tasks, the best first.
        """
        if self._adviser is None or not workers:
            return
        self._requested.setdefault(step, list(workers))
        self._changed.set()

    def needs_no_request(self, step: Step) -> bool:
        """Whether requesting tickets for a step would have no effect."""
        return self._adviser is None or step in self._requested

    def forget(self, step: Step) -> None:
        """Expires all tickets of a step, after a worker refused one."""
        step_tickets = self._by_step.get(step)
        if step_tickets is not None:
            for worker, ticket in step_tickets.tickets.items():
                step_tickets.tickets[worker] = ticket._replace(
                    expires_at=float("-inf")
                )

    def forget_life(self, life: str) -> None:
        """Removes the tickets of a worker life that has ended."""
        for step_tickets in self._by_step.values():
            step_tickets.tickets.pop(life, None)
            step_tickets.asked.discard(life)

    async def run(self) -> None:
        """Requests tickets for one step after the other until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            while self._requested:
                step = next(iter(self._requested))
                workers = self._requested.pop(step)
                if step.undone and not step.job.ended:
                    await self._ask(step, workers)

    async def _ask(self, step: Step, workers: list[str]) -> None:
        assert self._adviser is not None
        step_tickets = self._by_step.setdefault(step, _StepTickets())
        chosen = _choose(step_tickets, workers)
        if not chosen:
            return
        name = StepName(step.job.id, step.occurrence.number, step.number)
        asked_at = trio.current_time()
        try:
            advice = await self._adviser.advise(name, chosen, _CALL_TIMEOUT)
        except AdviserUnavailableError as error:
            note("advice_missing", step=name, reason=str(error))
            await trio.sleep(_RETRY_PAUSE)
            return
        _store_advice(step_tickets, chosen, advice, asked_at)
        note(
            "advice", step=name, asked=len(chosen), allowed=len(advice.tickets)
        )
        self._wake()


def _choose(step_tickets: _StepTickets, workers: list[str]) -> list[str]:
    expired = [
        worker
        for worker in workers
        if worker in step_tickets.tickets
        and not step_tickets.tickets[worker].is_valid
    ]
    fresh = [worker for worker in workers if worker not in step_tickets.asked]
    return (expired + fresh)[:_MAX_WORKERS_PER_CALL]


def _store_advice(
    step_tickets: _StepTickets,
    chosen: list[str],
    advice: Advice,
    asked_at: float,
) -> None:
    expires_at = asked_at + advice.validity
    for worker, text in advice.tickets.items():
        step_tickets.tickets[worker] = _Ticket(text, expires_at)
    step_tickets.asked.update(chosen)
