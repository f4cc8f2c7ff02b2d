"""Tests of hedged requests to a store."""

import trio
from trio.testing import MockClock

from pimentocross.contracts.hedging import RequestAttempt, first_answer
from pimentocross.contracts.store import StoreUnavailableError


class _ScriptedStore:
    """Answers each attempt of a request after a given delay.

    Attributes:
        attempted_at: When each attempt arrived, in seconds.
        timeouts: The timeout of each attempt, in seconds.
    """

    def __init__(self, *delays: float | None) -> None:
        """Initializes the store.

        Args:
            delays: Seconds until the answer to each attempt in turn, or None
                to refuse the attempt. The last delay is used for all further
                attempts.
        """
        self.attempted_at: list[float] = []
        self.timeouts: list[float] = []
        self._delays = delays

    async def answer(self, attempt: RequestAttempt) -> int:
        """Returns the number of the attempt, from 0."""
        timeout = attempt.timeout
        assert attempt.is_hedge is bool(self.attempted_at)
        self.timeouts.append(timeout)
        number = len(self.attempted_at)
        self.attempted_at.append(trio.current_time())
        delay = self._delays[min(number, len(self._delays) - 1)]
        if delay is None:
            await trio.sleep(0.004)
            raise StoreUnavailableError("status 503", sent=False)
        if delay > timeout:
            await trio.sleep(max(timeout, 0.0))
            raise StoreUnavailableError("no answer in time", sent=True)
        await trio.sleep(delay)
        return number


_NEVER = 1e9


async def _time_to_failure(store: _ScriptedStore) -> float:
    """Returns the seconds until the request fails."""
    began = trio.current_time()
    try:
        await first_answer(store.answer, 1.0, 1.0, 0.4)
    except StoreUnavailableError:
        return trio.current_time() - began
    raise AssertionError("the request was answered")


async def test_a_question_that_got_lost_is_asked_again() -> None:
    store = _ScriptedStore(_NEVER, 0.004)
    began = trio.current_time()
    answered = await first_answer(store.answer, 1.0, 1.0, 0.4)
    assert answered.value == 1
    assert answered.wait == 0.0
    assert round(answered.asked_at - began, 3) == 1.4
    assert trio.current_time() - began < 1.41


async def test_a_slow_answer_counts_though_others_were_asked() -> None:
    store = _ScriptedStore(1.9, _NEVER)
    assert (await first_answer(store.answer, 1.0, 1.0, 0.4)).value == 0
    assert len(store.attempted_at) == 3


async def test_a_refusal_is_told_at_once() -> None:
    store = _ScriptedStore(None)
    assert await _time_to_failure(store) < 0.01
    assert len(store.attempted_at) == 1


async def test_refusals_beside_a_lost_question_are_not_repeated_at_once() -> (
    None
):
    store = _ScriptedStore(_NEVER, None)
    assert await _time_to_failure(store) <= 2.01
    assert len(store.attempted_at) == 3


async def test_an_urgent_question_goes_out_beside_a_waiting_one() -> None:
    store = _ScriptedStore(_NEVER, 0.004)
    urgent = trio.Event()
    async with trio.open_nursery() as nursery:
        began = trio.current_time()
        nursery.start_soon(_set_later, urgent)
        await first_answer(store.answer, 1.0, 1.0, 0.4, urgent)
        assert trio.current_time() - began < 0.21


async def test_a_process_that_is_late_asks_no_question_without_time() -> None:
    """Guards against an attempt with a negative timeout.

    On a busy VM, the remaining time ran out between the decision to send
    another attempt and the attempt itself. The process ended with "ValueError:
    `seconds` must be non-negative".
    """
    for step in range(60):
        store = _ScriptedStore(_NEVER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_slow_down_after, 1.4 + step * 0.01, 0.03)
            await _time_to_failure(store)
            nursery.cancel_scope.cancel()
        assert min(store.timeouts) > 0, store.timeouts


async def _slow_down_after(seconds: float, jump: float) -> None:
    """Makes each pass of the event loop take `jump` s, after `seconds`."""
    await trio.sleep(seconds)
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    while True:
        clock.jump(jump)
        await trio.lowlevel.checkpoint()


async def _set_later(event: trio.Event) -> None:
    await trio.sleep(0.2)
    event.set()


async def test_a_refused_repeat_does_not_make_a_lost_question_refused() -> None:
    # The first attempt may have taken effect, whichever attempt ends last.
    async def answer(attempt: RequestAttempt) -> int:
        if not attempt.is_hedge:
            await trio.sleep(0.5)
            raise StoreUnavailableError("no answer", sent=True)
        await trio.sleep(0.3)
        raise StoreUnavailableError("not connected", sent=False)

    try:
        await first_answer(answer, 0.0, 1.0, 0.4)
    except StoreUnavailableError as error:
        assert error.sent, "the first attempt may have taken effect"
    else:
        raise AssertionError("the request was answered")
