"""Queues in which a few tasks take several times as long as the others.

Load pattern: all tasks of 4 in 100 steps take seven times as long, on any
worker. Guards against predictions that miss such steps, and against blaming
healthy workers for them.
"""

import math
import random

from pimentocross.placement.durations import Durations
from pimentocross.placement.projections import Projections
from pimentocross.placement.soundness import (
    SLOW_BELOW,
    Progress,
    Speeds,
)
from pimentocross.work.spec import StepSpec
from pimentocross.work.state import Job, Step
from tests.owner_fixtures import QUEUE, SMALL
from tests.owner_fixtures import spec as spec_of

_SPEC = StepSpec(10, SMALL, 0.7)
_USUAL = 0.7


def _step(name: str, spec: StepSpec = _SPEC) -> Step:
    return Job(name, QUEUE, spec_of(spec), 0.0).occurrences[0].steps[0]


def _learn(durations: Durations, tail: float) -> None:
    """Records 300 steps with estimates that are off by half.

    Args:
        durations: Learns from the steps.
        tail: Share of steps whose tasks take seven times as long.
    """
    draw = random.Random(1)
    for number in range(300):
        usual = _USUAL * math.exp(draw.gauss(0, 0.3))
        if draw.random() < tail:
            usual *= 7
        estimate = usual * math.exp(draw.gauss(0, 0.5))
        step = _step(f"j{number}", _SPEC._replace(estimate=estimate))
        for _ in step.tasks:
            seconds = usual * math.exp(draw.gauss(0, 0.25))
            durations.note_task(step, seconds, seconds)


def _with_tail(tail: float = 0.04) -> Durations:
    durations = Durations()
    _learn(durations, tail)
    return durations


def test_a_tail_is_told_from_ordinary_spread() -> None:
    assert not _with_tail(0.0).has_tail(QUEUE.name)
    assert _with_tail().has_tail(QUEUE.name)
    assert not _with_tail().has_tail("other")
    assert not _with_tail().has_stragglers(QUEUE.name)


def test_single_long_tasks_are_told_from_long_steps() -> None:
    durations = Durations()
    for number in range(60):
        step = _step(f"j{number}")
        for position in range(10):
            seconds = 7 * _USUAL if position == 9 and number % 3 else _USUAL
            durations.note_task(step, seconds, seconds)
    assert durations.has_stragglers(QUEUE.name)
    assert not durations.has_tail(QUEUE.name)


def test_what_waits_for_its_record_shows_no_tail() -> None:
    durations = Durations()
    for number in range(60):
        delay = 4.0 if number % 10 == 0 else 0.0
        step = _step(f"j{number}")
        for _ in step.tasks:
            durations.note_task(step, _USUAL + delay, _USUAL)
    assert not durations.has_tail(QUEUE.name)


def test_few_tasks_show_no_tail() -> None:
    durations = Durations()
    for seconds in (0.7, 5.0, 5.0, 0.7):
        durations.note_task(_step("j"), seconds, seconds)
    assert not durations.has_tail(QUEUE.name)


def test_without_a_tail_all_is_expected_as_before() -> None:
    learned, plain = _with_tail(0.0), Durations()
    plain.restore(learned.means())
    step = _step("j")
    learned.note_task(step, 0.7, 0.7)
    plain.restore(learned.means())
    for estimate in (0.0, 0.2, 0.7, 5.0):
        spec = _SPEC._replace(estimate=estimate)
        assert learned.task(QUEUE.name, spec) == plain.task(QUEUE.name, spec)
    assert learned.expected_duration(step) == plain.expected_duration(step)
    assert not learned.probability_over(QUEUE.name, 2.0, 1.0)


def test_an_estimate_far_above_the_usual_is_believed() -> None:
    durations = _with_tail()
    usual = durations.task(QUEUE.name, _SPEC)
    long = durations.task(QUEUE.name, _SPEC._replace(estimate=5.0))
    assert 0.6 < usual < 1.0, usual
    assert 2.0 < long < 6.0, long
    # Without a known tail, the same estimate leads to a shorter duration.
    plain = Durations()
    plain.restore(durations.means())
    assert plain.task(QUEUE.name, _SPEC._replace(estimate=5.0)) < 1.6


def test_one_long_step_does_not_make_the_next_look_long() -> None:
    durations = _with_tail()
    usual = durations.task(QUEUE.name, _SPEC)
    for _ in range(20):
        durations.note_task(_step("long"), 5.0, 5.0)
    assert durations.task(QUEUE.name, _SPEC) < 1.3 * usual


def test_tasks_that_ended_tell_of_the_rest_of_their_step() -> None:
    durations, step = _with_tail(), _step("j")
    for _ in range(3):
        durations.note_task(step, 4.9, 4.9)
    assert 3.0 < durations.expected_duration(step) < 5.0


def test_the_slowest_of_a_step_is_told_by_the_spread_within_steps() -> None:
    durations, step = _with_tail(), _step("j")
    wide = durations.critical_path(
        step.occurrence
    ) / durations.expected_duration(step)
    # 1.5 standard deviations of 0.25 in the logarithm.
    assert 1.3 < wide < 1.7, wide


def test_progress_tells_what_is_left_of_a_long_run() -> None:
    durations, step = _with_tail(), _step("j")
    left = durations.remaining(step, 1.0, 20)
    assert 3.2 < left < 4.2, left
    assert durations.remaining(step, 0.5, 70) < 0.4
    whole = durations.remaining(step, 0.0, 0)
    assert whole == durations.expected_duration(step)


def test_others_of_a_long_step_speak_for_its_worker() -> None:
    projections, step = Projections(), _step("j")
    projections.note(step, 1, 4.8)
    assert projections.elsewhere(step, 0) is None
    projections.note(step, 2, 5.2)
    projections.note(step, 0, 30.0)
    assert projections.elsewhere(step, 0) == 5.0


def _is_slow(runs: list[Progress]) -> bool:
    speeds = Speeds()
    for number in range(1, 5):
        usual = [Progress(job, 1.0, 90, 1.0) for job in "ab"]
        speeds.is_slow(number, usual, 10.0)
    return speeds.is_slow(0, runs, 10.0)


def _progress(
    durations: Durations, job: str, percent: int, elapsed: float = 1.0
) -> Progress:
    long_task_probability = durations.probability_over(
        QUEUE.name, _USUAL / SLOW_BELOW, elapsed
    )
    return Progress(job, _USUAL, percent, elapsed, long_task_probability)


def test_a_sound_worker_is_not_blamed_for_long_tasks() -> None:
    durations = _with_tail()
    lone = [
        _progress(durations, "a", 20),
        _progress(durations, "b", 63, 1.1),
    ]
    assert not _is_slow(lone)
    # Short tasks end before they are measured, so that only long ones are seen.
    two = [
        _progress(durations, "a", 32, 1.6),
        _progress(durations, "b", 30, 1.6),
    ]
    assert not _is_slow(two)
    # Tasks of one job are long for the same reason, so they count as one piece
    # of evidence.
    assert not _is_slow([lone[0]] * 4 + [lone[1]])


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
