"""Hedged requests to a store.

A request that never reached the store is never answered, and a caller that
waits for it alone doesn't notice that the store is back. After a delay, an
unanswered request is therefore repeated on a connection of its own while the
earlier ones stay open, and the first answer counts. A slow store can still
answer the first request.
"""

from collections.abc import Awaitable, Callable
from typing import Final, Generic, NamedTuple, TypeVar

import trio

from pimentocross.contracts.progress import AnswerProgress
from pimentocross.contracts.store import StoreUnavailableError

# Seconds after which an unanswered request is repeated; a store that is merely
# slow answers within this time.
HEDGE_DELAY: Final = 0.4
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


class _HedgedRequest(Generic[T]):
    """A request with all its attempts.

    Attributes:
        answer: The first answer, or None.
        error: The error of a failed attempt, or None. The error of an attempt
            that may have taken effect takes precedence.
        done: Set once there is an answer or all attempts have failed.
    """

    def __init__(self, send: SendAttempt[T]) -> None:
        """Initializes the request without attempts."""
        self.answer: FirstAnswer[T] | None = None
        self.error: StoreUnavailableError | None = None
        self.done = trio.Event()
        self._send = send
        self._open = 0
        self._progress: list[AnswerProgress] = []

    @property
    def received(self) -> int:
        """Bytes of answers that have arrived for all attempts."""
        return sum(progress.received for progress in self._progress)

    def start(
        self,
        nursery: trio.Nursery,
        wait: float,
        timeout: float,
        *,
        is_hedge: bool,
    ) -> None:
        """Starts one more attempt; see `RequestAttempt`."""
        progress = AnswerProgress()
        self._progress.append(progress)
        self._open += 1
        attempt = RequestAttempt(wait, timeout, is_hedge, progress)
        nursery.start_soon(self._run, attempt)

    async def _run(self, attempt: RequestAttempt) -> None:
        asked_at = trio.current_time()
        try:
            value = await self._send(attempt)
        except StoreUnavailableError as error:
            if self.error is None or not self.error.sent:
                self.error = error
        else:
            if self.answer is None:
                self.answer = FirstAnswer(
                    value, asked_at, attempt.wait, self.received
                )
        self._open -= 1
        if self.answer is not None or not self._open:
            self.done.set()


async def first_answer(
    send: SendAttempt[T],
    wait: float,
    timeout: float,
    hedge_delay: float,
    urgent: trio.Event | None = None,
) -> FirstAnswer[T]:
    """Sends a request, repeats it while overdue, returns the first answer.

    Args:
        send: Sends one attempt. It must be idempotent and keep to the
            attempt's timeout.
        wait: Seconds for which the store may hold the first attempt until it
            has new records.
        timeout: Seconds beyond `wait` after which the request fails.
        hedge_delay: Seconds after which an unanswered attempt is overdue and
            the next one is sent. The store must answer later attempts at
            once.
        urgent: Once set, the next attempt is sent at once.

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
            # No time may be left if this process was slow.
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
