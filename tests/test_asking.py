"""Asking a store until one question is answered."""

import trio
from trio.testing import MockClock

from pimentocross.contracts.asking import Question, first_answer
from pimentocross.contracts.store import StoreUnavailableError


class _Scripted:
    """Answers the first question after so long, the next ones after so long.

    Attributes:
        asked: When each question came, in seconds.
        timeouts: For how many seconds each was to be answered.
    """

    def __init__(self, *takes: float | None) -> None:
        """Takes the seconds for each question in turn; None refuses it."""
        self.asked: list[float] = []
        self.timeouts: list[float] = []
        self._takes = takes

    async def ask(self, question: Question) -> int:
        """Answers with the question's number."""
        _, timeout, again = question
        assert again is bool(self.asked)
        self.timeouts.append(timeout)
        number = len(self.asked)
        self.asked.append(trio.current_time())
        takes = self._takes[min(number, len(self._takes) - 1)]
        if takes is None:
            await trio.sleep(0.004)
            raise StoreUnavailableError("status 503", sent=False)
        if takes > timeout:
            await trio.sleep(max(timeout, 0.0))
            raise StoreUnavailableError("no answer in time", sent=True)
        await trio.sleep(takes)
        return number


_NEVER = 1e9


async def _failed(scripted: _Scripted) -> float:
    """Returns how long it took until no answer was waited for."""
    began = trio.current_time()
    try:
        await first_answer(scripted.ask, 1.0, 1.0, 0.4)
    except StoreUnavailableError:
        return trio.current_time() - began
    raise AssertionError("it was answered")


async def test_a_question_that_got_lost_is_asked_again() -> None:
    scripted = _Scripted(_NEVER, 0.004)
    began = trio.current_time()
    answered = await first_answer(scripted.ask, 1.0, 1.0, 0.4)
    assert answered.value == 1
    assert answered.wait == 0.0
    assert round(answered.asked_at - began, 3) == 1.4
    assert trio.current_time() - began < 1.41


async def test_a_slow_answer_counts_though_others_were_asked() -> None:
    scripted = _Scripted(1.9, _NEVER)
    assert (await first_answer(scripted.ask, 1.0, 1.0, 0.4)).value == 0
    assert len(scripted.asked) == 3


async def test_a_refusal_is_told_at_once() -> None:
    scripted = _Scripted(None)
    assert await _failed(scripted) < 0.01
    assert len(scripted.asked) == 1


async def test_refusals_beside_a_lost_question_are_not_repeated_at_once() -> (
    None
):
    scripted = _Scripted(_NEVER, None)
    assert await _failed(scripted) <= 2.01
    assert len(scripted.asked) == 3


async def test_an_urgent_question_goes_out_beside_a_waiting_one() -> None:
    scripted = _Scripted(_NEVER, 0.004)
    urgent = trio.Event()
    async with trio.open_nursery() as nursery:
        began = trio.current_time()
        nursery.start_soon(_set_later, urgent)
        await first_answer(scripted.ask, 1.0, 1.0, 0.4, urgent)
        assert trio.current_time() - began < 0.21


async def test_a_process_that_is_late_asks_no_question_without_time() -> None:
    """Its time passed between the decision to ask and the question.

    A process ended by itself on a busy VM: "ValueError: `seconds` must be
    non-negative", as the question was to be answered before it was asked.
    """
    for step in range(60):
        scripted = _Scripted(_NEVER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_be_late_from, 1.4 + step * 0.01, 0.03)
            await _failed(scripted)
            nursery.cancel_scope.cancel()
        assert min(scripted.timeouts) > 0, scripted.timeouts


async def _be_late_from(seconds: float, jump: float) -> None:
    """Lets time pass with each turn of the loop, from then on."""
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
    # The first may have taken effect, whichever of them ends last.
    async def ask(question: Question) -> int:
        if not question.again:
            await trio.sleep(0.5)
            raise StoreUnavailableError("no answer", sent=True)
        await trio.sleep(0.3)
        raise StoreUnavailableError("not connected", sent=False)

    try:
        await first_answer(ask, 0.0, 1.0, 0.4)
    except StoreUnavailableError as error:
        assert error.sent, "it may have taken effect"
    else:
        raise AssertionError("answered")
