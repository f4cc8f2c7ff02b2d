"""Random restarts of workers under their ids, with fixed seeds."""

from contextlib import AbstractContextManager, ExitStack
from typing import Any, Final
from unittest import mock

from pimentocross.owner.late_starts import LateStarts
from pimentocross.owner.orders import Orders
from pimentocross.work.state import Run
from tests.random_restarts import run_seed

# Seeds with which a task runs twice as soon as a part of the wait is left out.
_SEEDS: Final = {"lease of late starts": 12, "answers": 12}
# A seed with restarts in series and owners that are cut off.
_OTHER_SEED: Final = 7

_init: Final = LateStarts.__init__


def _init_without_lease(self: LateStarts, *args: Any) -> None:
    _init(self, *args)
    self._lease_most = 0.0


def _settle_answered(_: Orders, run: Run, *__: Any) -> None:
    run.note_start_settled()


def without_lease_of_late_starts() -> AbstractContextManager[object]:
    """Holds tasks until their start can't come, but not for its lease."""
    stack = ExitStack()
    stack.enter_context(
        mock.patch.object(LateStarts, "__init__", _init_without_lease)
    )
    stack.enter_context(without_late_calls())
    return stack


def without_late_calls() -> AbstractContextManager[object]:
    """Leaves out other calls, which lengthen the lease of a late start."""
    return mock.patch.object(LateStarts, "note_renewal", lambda *_, **__: None)


def with_answers_that_settle() -> AbstractContextManager[object]:
    """Takes each answer for that of the life that was called."""
    return mock.patch.object(Orders, "_note_answered", _settle_answered)


def _assert_breaks(part: str, left_out: AbstractContextManager[object]) -> None:
    with left_out:
        found, _ = run_seed(_SEEDS[part])
    assert found.overlapping, (part, _SEEDS[part])


def test_restarted_workers_run_nothing_twice_and_no_wait_is_endless() -> None:
    for seed in {_OTHER_SEED, *_SEEDS.values()}:
        found, figures = run_seed(seed)
        assert not any(found), (seed, found)
        assert figures.lapsed


def test_each_part_of_the_wait_is_needed_in_random_restarts() -> None:
    _assert_breaks("lease of late starts", without_lease_of_late_starts())
    _assert_breaks("answers", with_answers_that_settle())
