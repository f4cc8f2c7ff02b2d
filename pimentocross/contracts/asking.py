"""Asks a store until one question is answered.

A question that a store never got is answered by nobody, and whoever waits for
it alone doesn't hear that the store is back. An overdue question is therefore
no reason to wait on: another one goes out beside it, on a connection of its
own, and the first answer counts. A slow store can still answer the first one.
"""

from collections.abc import Awaitable, Callable
from typing import Final, Generic, NamedTuple, TypeVar

import trio

from pimentocross.contracts.store import StoreUnavailableError

# A question unanswered for this long is overdue; a slow store answers within
# it.
AGAIN_AFTER: Final = 0.4
# Turns of the event loop that reading an answer takes once it is there.
_TURNS: Final = 5

T = TypeVar("T")


class Question(NamedTuple):
    """How to ask once.

    Attributes:
        wait: Seconds to wait for news.
        timeout: Seconds to wait for an answer.
        again: Whether an answer to one before is overdue: the connections used
            so far may have gone silent.
    """

    wait: float
    timeout: float
    again: bool


Ask = Callable[[Question], Awaitable[T]]


class Answered(NamedTuple, Generic[T]):
    """An answer.

    Attributes:
        value: What was answered.
        asked_at: When the question was sent, monotonic.
        wait: For how many seconds it could wait for news.
    """

    value: T
    asked_at: float
    wait: float


class _Asking(Generic[T]):
    """Questions on their way.

    Attributes:
        answer: The first answer, or None.
        error: Why a question failed, or None; of one that may have taken
            effect, if any may have.
        done: Set once there is an answer, or none can come.
    """

    def __init__(self, ask: Ask[T]) -> None:
        """Takes how to ask."""
        self.answer: Answered[T] | None = None
        self.error: StoreUnavailableError | None = None
        self.done = trio.Event()
        self._ask = ask
        self._open = 0

    def start(self, nursery: trio.Nursery, question: Question) -> None:
        """Sends one question more."""
        self._open += 1
        nursery.start_soon(self._run, question)

    async def _run(self, question: Question) -> None:
        asked_at = trio.current_time()
        try:
            value = await self._ask(question)
        except StoreUnavailableError as error:
            if self.error is None or not self.error.sent:
                self.error = error
        else:
            if self.answer is None:
                self.answer = Answered(value, asked_at, question.wait)
        self._open -= 1
        if self.answer is not None or not self._open:
            self.done.set()


async def first_answer(
    ask: Ask[T],
    wait: float,
    timeout: float,
    again_after: float,
    urgent: trio.Event | None = None,
) -> Answered[T]:
    """Returns the first answer to a question that is asked repeatedly.

    Args:
        ask: Asks once; idempotent, and keeps to its timeout.
        wait: Seconds that the first question may wait for news.
        timeout: Seconds beyond `wait` after which no answer is waited for.
        again_after: Seconds after which an unanswered question is overdue and
            the next one is asked. Those have no time to wait for news.
        urgent: Once set, the next question is asked at once.

    Raises:
        StoreUnavailableError: None was answered, or all were refused; `sent`
            tells whether any of them may have taken effect.
    """
    until = trio.current_time() + wait + timeout
    asking = _Asking(ask)
    async with trio.open_nursery() as nursery:
        asking.start(nursery, Question(wait, wait + timeout, again=False))
        await _wait_for_either(asking.done, urgent, wait + again_after)
        while True:
            await _take_what_is_there(asking.done)
            # A process that is late may find that no time is left.
            left = until - trio.current_time()
            if asking.done.is_set() or left <= 0:
                break
            asking.start(nursery, Question(0.0, left, again=True))
            with trio.move_on_after(again_after):
                await asking.done.wait()
        # Each question keeps to its timeout, as well as this process can.
        await asking.done.wait()
        nursery.cancel_scope.cancel()
    if asking.answer is not None:
        return asking.answer
    raise asking.error or StoreUnavailableError("no answer in time", sent=True)


async def _take_what_is_there(done: trio.Event) -> None:
    """Lets an answer be read that came while this process was late."""
    for _ in range(_TURNS):
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
