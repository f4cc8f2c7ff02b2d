"""Sends a late request a second time, with one timer for all requests.

Nearly every request is answered long before its hedge is due, so a request
costs an entry in a heap here, and no task of its own.
"""

from collections.abc import Awaitable, Callable
import heapq
import itertools
from typing import Generic, TypeVar

import trio

AnswerT = TypeVar("AnswerT")


class _Waiting(Generic[AnswerT]):
    """A request that waits for its answer."""

    def __init__(
        self,
        send_again: Callable[[], Awaitable[AnswerT | None]],
        is_good: Callable[[AnswerT], bool],
    ) -> None:
        self.send_again = send_again
        self.is_good = is_good
        self.scope = trio.CancelScope()
        self.hedge_scope = trio.CancelScope()
        self.hedge_ended = trio.Event()
        self.hedged = False
        self.done = False
        self.answer: AnswerT | None = None


class Hedger(Generic[AnswerT]):
    """Watches requests and hedges those whose answers are late."""

    def __init__(self) -> None:
        """Starts without requests; `run` sends the hedges."""
        self._due: list[tuple[float, int, _Waiting[AnswerT]]] = []
        self._numbers = itertools.count()
        self._added = trio.Event()

    async def run(self) -> None:
        """Sends hedges when they are due, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                self._drop_done()
                if not self._due:
                    self._added = trio.Event()
                    await self._added.wait()
                    continue
                await trio.sleep_until(self._due[0][0])
                self._send_due(nursery)

    async def send(
        self,
        send: Callable[[], Awaitable[AnswerT]],
        send_again: Callable[[], Awaitable[AnswerT | None]],
        delay: float,
        is_good: Callable[[AnswerT], bool],
    ) -> AnswerT:
        """Returns the first good answer of a request and its hedge.

        Args:
            send: Sends the request.
            send_again: Sends the hedge; None if none may be sent.
            delay: Seconds after which the hedge is due.
            is_good: Whether an answer ends the wait for the other.
        """
        waiting = _Waiting(send_again, is_good)
        due = trio.current_time() + delay
        heapq.heappush(self._due, (due, next(self._numbers), waiting))
        self._added.set()
        answer: AnswerT | None = None
        try:
            with waiting.scope:
                answer = await send()
            if answer is not None and is_good(answer):
                return answer
            if waiting.hedged:
                await waiting.hedge_ended.wait()
        finally:
            waiting.done = True
            waiting.hedge_scope.cancel()
        better = waiting.answer
        if better is not None and (answer is None or is_good(better)):
            return better
        assert answer is not None
        return answer

    def _drop_done(self) -> None:
        while self._due and self._due[0][2].done:
            heapq.heappop(self._due)

    def _send_due(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        while self._due and self._due[0][0] <= now:
            waiting = heapq.heappop(self._due)[2]
            if not waiting.done:
                waiting.hedged = True
                nursery.start_soon(self._hedge, waiting)

    async def _hedge(self, waiting: _Waiting[AnswerT]) -> None:
        with waiting.hedge_scope:
            waiting.answer = await waiting.send_again()
            answer = waiting.answer
            if answer is not None and waiting.is_good(answer):
                waiting.scope.cancel()
        waiting.hedge_ended.set()
