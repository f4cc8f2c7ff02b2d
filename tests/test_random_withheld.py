"""Random causes for which workers get no new tasks, with fixed seeds."""

from contextlib import AbstractContextManager, ExitStack
import math
from typing import Final
from unittest import mock

from pimentocross.owner import learned
from pimentocross.owner.learned import QUARANTINE, LearnedEstimates
from pimentocross.owner.worker import Worker
from pimentocross.work.crash_history import CrashHistory
from tests.random_withheld import run_seed

# Seeds with which a worker is withheld for too long without one of the ends.
_TRIALS_SEED: Final = 6
_RESERVATIONS_SEED: Final = 10
_SERIES_SEED: Final = 1
_UNSOUND_SEED: Final = 12
# A seed with tasks that fail one after the other on a quarantined worker.
_OTHER_SEED: Final = 11


def _without_ends_of_trials() -> AbstractContextManager[object]:
    stack = ExitStack()
    endless = QUARANTINE._replace(trial=math.inf)
    stack.enter_context(mock.patch.object(learned, "QUARANTINE", endless))
    stack.enter_context(
        mock.patch.object(LearnedEstimates, "settle_trials", lambda *_: None)
    )
    return stack


def _assert_breaks(seed: int, left_out: AbstractContextManager[object]) -> None:
    with left_out:
        found = run_seed(seed)
    assert found.overdue, seed


def test_no_worker_is_withheld_past_the_limit_of_its_reason() -> None:
    # Guards against lost jobs: review/4 and review/5, workers with room that
    # get no work any more.
    seeds = {
        _TRIALS_SEED,
        _RESERVATIONS_SEED,
        _SERIES_SEED,
        _UNSOUND_SEED,
        _OTHER_SEED,
    }
    for seed in sorted(seeds):
        found = run_seed(seed)
        assert not found.overdue, (seed, found.overdue[:3])
        assert not found.idle, (seed, found.idle)


def test_each_end_is_needed_in_random_faults() -> None:
    _assert_breaks(_TRIALS_SEED, _without_ends_of_trials())
    _assert_breaks(
        _RESERVATIONS_SEED,
        mock.patch.object(CrashHistory, "reservation_seconds", math.inf),
    )
    _assert_breaks(
        _SERIES_SEED,
        mock.patch.object(Worker, "may_isolate", lambda *_: True),
    )
    _assert_breaks(
        _UNSOUND_SEED,
        mock.patch.object(learned, "MAX_UNSOUND_SECONDS", math.inf),
    )
