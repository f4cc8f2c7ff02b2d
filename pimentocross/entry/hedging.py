"""Hedges requests whose replies are late, with one timer for all requests.

Load pattern: nearly every request gets its reply long before its hedge is
due. So a request costs an entry in a heap and no task of its own.
"""

from collections.abc import Awaitable, Callable
import heapq
import itertools
from typing import Generic, TypeVar

import trio

AnswerT = TypeVar("AnswerT")


class _PendingRequest(Generic[AnswerT]):
    """A request without a reply yet."""

    def __init__(
        self,
        send_hedge: Callable[[], Awaitable[AnswerT | None]],
        is_good: Callable[[AnswerT], bool],
    ) -> None:
        self.send_hedge = send_hedge
        self.is_good = is_good
        self.request_scope = trio.CancelScope()
        self.hedge_scope = trio.CancelScope()
        self.hedge_ended = trio.Event()
        self.hedge_started = False
        self.done = False
        self.answer: AnswerT | None = None


class Hedger(Generic[AnswerT]):
    """Sends requests, and a hedge for each one whose reply is late."""

    def __init__(self) -> None:
        """Initializes an empty hedger; `run` sends the hedges."""
        self._due: list[tuple[float, int, _PendingRequest[AnswerT]]] = []
        self._numbers = itertools.count()
        self._request_added = trio.Event()

    async def run(self) -> None:
        """Sends hedges when they are due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._drop_done()
                if not self._due:
                    self._request_added = trio.Event()
                    await self._request_added.wait()
                    continue
                await trio.sleep_until(self._due[0][0])
                self._send_due(nursery)

    async def send(
        self,
        send: Callable[[], Awaitable[AnswerT]],
        send_hedge: Callable[[], Awaitable[AnswerT | None]],
        delay: float,
        is_good: Callable[[AnswerT], bool],
    ) -> AnswerT:
        """Sends a request and returns the first good reply.

        If neither the request nor its hedge gets a good reply, the reply to
        the request itself is returned.

        Args:
            send: Sends the request.
            send_hedge: Sends the hedge; returns None if it may not be sent.
            delay: Seconds after which the hedge is due.
            is_good: Whether a reply ends the wait for the other one.
        """
        pending = _PendingRequest(send_hedge, is_good)
        due = trio.current_time() + delay
        heapq.heappush(self._due, (due, next(self._numbers), pending))
        self._request_added.set()
        answer: AnswerT | None = None
        try:
            with pending.request_scope:
                answer = await send()
            if answer is not None and is_good(answer):
                return answer
            if pending.hedge_started:
                await pending.hedge_ended.wait()
        finally:
            pending.done = True
            pending.hedge_scope.cancel()
        hedge_answer = pending.answer
        if hedge_answer is not None and (
            answer is None or is_good(hedge_answer)
        ):
            return hedge_answer
        assert answer is not None
        return answer

    def _drop_done(self) -> None:
        while self._due and self._due[0][2].done:
            heapq.heappop(self._due)

    def _send_due(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        while self._due and self._due[0][0] <= now:
            pending = heapq.heappop(self._due)[2]
            if not pending.done:
                pending.hedge_started = True
                nursery.start_soon(self._hedge, pending)

    async def _hedge(self, pending: _PendingRequest[AnswerT]) -> None:
        with pending.hedge_scope:
            pending.answer = await pending.send_hedge()
            answer = pending.answer
            if answer is not None and pending.is_good(answer):
                pending.request_scope.cancel()
        pending.hedge_ended.set()
