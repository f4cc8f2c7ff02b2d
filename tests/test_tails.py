"""Queues of which a few tasks take several times as long as the rest.

Load pattern: 3 of 100 tasks take seven times as long, on whatever worker.
"""

import math
import random

from pimentocross.placement.durations import Durations
from pimentocross.placement.soundness import (
    SLOW_BELOW,
    Progress,
    Speeds,
)
from pimentocross.work.spec import StepSpec
from tests.owner_fixtures import SMALL

_STEP = StepSpec(10, SMALL, 0.7)
_USUAL = 0.7


def _learn(durations: Durations, tail: float, times: float = 7.0) -> None:
    draw = random.Random(1)
    for _ in range(1500):
        took = _USUAL * math.exp(draw.gauss(0, 0.35))
        if draw.random() < tail:
            took *= times
        durations.note_ratio("q", took / durations.task("q", _STEP))
        durations.note("q", took)


def _with_tail(tail: float = 0.03) -> Durations:
    durations = Durations()
    _learn(durations, tail)
    return durations


def test_a_tail_is_told_from_ordinary_spread() -> None:
    assert not _with_tail(0.0).has_tail("q")
    assert _with_tail().has_tail("q")
    assert not _with_tail().has_tail("other")
    share = _with_tail().share_over("q", 4.0)
    assert 0.01 < share < 0.06, share


def test_few_tasks_show_no_tail() -> None:
    durations = Durations()
    for ratio in (1.0, 7.0, 7.0, 1.0):
        durations.note_ratio("q", ratio)
    assert not durations.has_tail("q")


def test_what_is_expected_does_not_change_without_a_tail() -> None:
    durations = _with_tail(0.0)
    assert abs(durations.task("q", _STEP) / _USUAL - 1) < 0.1
    started = durations.remaining("q", _STEP, 0.0, 0)
    assert abs(started / durations.task("q", _STEP) - 1) < 0.01


def test_progress_tells_what_is_left_of_a_long_run() -> None:
    durations = _with_tail()
    left = durations.remaining("q", _STEP, 1.0, 20)
    assert 3.2 < left < 4.2, left
    # Without any progress, what has come this far is most likely long.
    assert durations.remaining("q", _STEP, 2.0, 0) > 1.0
    assert durations.remaining("q", _STEP, 0.5, 70) < 0.4


def _is_slow(runs: list[Progress]) -> bool:
    speeds = Speeds()
    for number in range(1, 5):
        usual = [Progress(job, 1.0, 90, 1.0) for job in "ab"]
        speeds.is_slow(number, usual, 10.0)
    return speeds.is_slow(0, runs, 10.0)


def _progress(
    durations: Durations, job: str, percent: int, elapsed: float = 1.0
) -> Progress:
    return Progress(
        job,
        _USUAL,
        percent,
        elapsed,
        durations.share_over("q", 1 / SLOW_BELOW, elapsed / _USUAL),
    )


def test_a_sound_worker_is_not_blamed_for_long_tasks() -> None:
    durations = _with_tail()
    lone = [
        _progress(durations, "a", 20),
        _progress(durations, "b", 63, 1.1),
    ]
    assert not _is_slow(lone)
    # Short tasks end before they are measured, long ones stay to be seen.
    two = [_progress(durations, "a", 20), _progress(durations, "b", 18)]
    assert not _is_slow(two)


def test_a_worker_slow_for_all_is_found_beside_long_tasks() -> None:
    durations = _with_tail()
    all_slow = [
        _progress(durations, f"j{number}", 25, 0.7) for number in range(6)
    ]
    assert _is_slow(all_slow)
    mostly = [*all_slow, *all_slow, _progress(durations, "x", 70)]
    assert _is_slow(mostly)


def test_without_a_tail_two_slow_jobs_tell_as_before() -> None:
    durations = _with_tail(0.0)
    slow = [_progress(durations, job, 25, 1.0) for job in "ab"]
    assert _is_slow([run._replace(percent=20) for run in slow])
