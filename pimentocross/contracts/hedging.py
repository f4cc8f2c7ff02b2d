"""Hedged requests to a store.

A request that never reached the store is never answered, and a caller that
waits for it alone doesn't notice that the store is back. After a delay, an
unanswered request is therefore repeated on a connection of its own while the
earlier ones stay open, and the first answer counts. A slow store can still
answer the first request.

An answer may take seconds on a slow link. As long as it arrives, it is not
overdue: a repeated request would take a part of the link, and neither answer
might ever be complete.
"""

from collections.abc import Awaitable, Callable
from typing import Final, Generic, NamedTuple, TypeVar

import trio

from pimentocross.contracts.progress import AnswerProgress
from pimentocross.contracts.store import StoreUnavailableError

# Seconds after which an unanswered request is repeated; a store that is merely
# slow answers within this time.
HEDGE_DELAY: Final = 0.4
# An answer of this many bytes takes long on a slow link, so other attempts must
# not share the link with it.
_LARGE_ANSWER: Final = 16 * 1024
# Passes of the event loop that it takes to read an answer that has arrived.
_PASSES_TO_READ_ANSWER: Final = 5

T = TypeVar("T")


class RequestAttempt(NamedTuple):
    """Parameters of one attempt at a request.

    Attributes:
        wait: Seconds for which the store may hold the request until it has
            new records.
        timeout: Seconds to wait for an answer.
        is_hedge: Whether an earlier attempt is overdue, so that the
            connections used so far may be dead.
        progress: Counts the bytes of the answer as they arrive.
    """

    wait: float
    timeout: float
    is_hedge: bool
    progress: AnswerProgress


SendAttempt = Callable[[RequestAttempt], Awaitable[T]]


class FirstAnswer(NamedTuple, Generic[T]):
    """The first answer to a hedged request.

    Attributes:
        value: The answer.
        asked_at: When the answered attempt was sent, on the monotonic clock.
        wait: Seconds for which the store could hold that attempt.
        received: Bytes of answers that have arrived for all attempts.
    """

    value: T
    asked_at: float
    wait: float
    received: int


class _Attempt(NamedTuple):
    """An open attempt.

    Attributes:
        progress: How much of its answer has arrived.
        scope: Cancels the attempt.
    """

    progress: AnswerProgress
    scope: trio.CancelScope


class _HedgedRequest(Generic[T]):
    """A request with all its attempts.

    Attributes:
        answer: The first answer, or None.
        error: The error of a failed attempt, or None. The error of an attempt
            that may have taken effect takes precedence.
        done: Set once there is an answer or all attempts have failed.
        received: Bytes of answers that have arrived for all attempts.
    """

    def __init__(self, send: SendAttempt[T]) -> None:
        """Initializes the request without attempts."""
        self.answer: FirstAnswer[T] | None = None
        self.error: StoreUnavailableError | None = None
        self.done = trio.Event()
        self.received = 0
        self._send = send
        self._open: list[_Attempt] = []

    @property
    def arrived_at(self) -> float:
        """Time at which bytes last arrived for an open attempt, or -inf."""
        return max(
            (attempt.progress.arrived_at for attempt in self._open),
            default=float("-inf"),
        )

    def start(
        self,
        nursery: trio.Nursery,
        wait: float,
        timeout: float,
        *,
        is_hedge: bool,
    ) -> None:
        """Starts one more attempt; see `RequestAttempt`."""
        progress = AnswerProgress(self._note_received)
        attempt = _Attempt(progress, trio.CancelScope())
        self._open.append(attempt)
        nursery.start_soon(
            self._run,
            attempt,
            RequestAttempt(wait, timeout, is_hedge, progress),
        )

    async def _run(self, attempt: _Attempt, request: RequestAttempt) -> None:
        asked_at = trio.current_time()
        try:
            with attempt.scope:
                value = await self._send(request)
                if self.answer is None:
                    self.answer = FirstAnswer(
                        value, asked_at, request.wait, self.received
                    )
        except StoreUnavailableError as error:
            if self.error is None or not self.error.sent:
                self.error = error
        self._open.remove(attempt)
        if self.answer is not None or not self._open:
            self.done.set()

    def _note_received(self, progress: AnswerProgress, size: int) -> None:
        """Counts bytes; once an answer is large, cancels all other attempts."""
        self.received += size
        if progress.received < _LARGE_ANSWER:
            return
        for attempt in self._open:
            if attempt.progress is not progress:
                attempt.scope.cancel()


async def first_answer(
    send: SendAttempt[T],
    wait: float,
    timeout: float,
    hedge_delay: float,
    urgent: trio.Event | None = None,
) -> FirstAnswer[T]:
    """Sends a request, repeats it while overdue, returns the first answer.

    An answer that is arriving is not overdue, however long it takes.

    Args:
        send: Sends one attempt. It must be idempotent and keep to the
            attempt's timeout.
        wait: Seconds for which the store may hold the first attempt until it
            has new records.
        timeout: Seconds beyond `wait`, or after the last bytes of an answer,
            after which the request fails.
        hedge_delay: Seconds after which an unanswered attempt is overdue and
            the next one is sent. The store must answer later attempts at
            once.
        urgent: Once set, the next attempt is sent at once, unless an answer is
            arriving.

    Raises:
        StoreUnavailableError: No attempt was answered in time, or all of them
            failed; `sent` tells whether any may have taken effect.
    """
    until = trio.current_time() + wait + timeout
    request = _HedgedRequest(send)
    async with trio.open_nursery() as nursery:
        request.start(nursery, wait, wait + timeout, is_hedge=False)
        await _wait_for_either(request.done, urgent, wait + hedge_delay)
        while True:
            await _read_arrived_answer(request.done)
            overdue_at = request.arrived_at + hedge_delay
            if not request.done.is_set() and trio.current_time() < overdue_at:
                with trio.move_on_at(overdue_at):
                    await request.done.wait()
                continue
            # No time may be left if this process was slow.
            until = max(until, request.arrived_at + timeout)
            seconds_left = until - trio.current_time()
            if request.done.is_set() or seconds_left <= 0:
                break
            request.start(nursery, 0.0, seconds_left, is_hedge=True)
            with trio.move_on_after(hedge_delay):
                await request.done.wait()
        # Each attempt ends by its own timeout, or as soon after it as this
        # process gets to run.
        await request.done.wait()
        nursery.cancel_scope.cancel()
    if request.answer is not None:
        return request.answer
    error = request.error or StoreUnavailableError(
        "no answer in time", sent=True
    )
    error.received = request.received
    raise error


async def _read_arrived_answer(done: trio.Event) -> None:
    """Lets an answer be read that arrived while this process was slow."""
    for _ in range(_PASSES_TO_READ_ANSWER):
        if not done.is_set():
            await trio.lowlevel.checkpoint()


async def _wait_for_either(
    done: trio.Event, urgent: trio.Event | None, seconds: float
) -> None:
    async def end_with(event: trio.Event) -> None:
        await event.wait()
        nursery.cancel_scope.cancel()

    with trio.move_on_after(seconds):
        if urgent is None:
            await done.wait()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_with, done)
            nursery.start_soon(end_with, urgent)
