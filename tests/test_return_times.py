"""Tests when refused callers are told to retry."""

from collections import Counter

from pimentocross.gateway import const
from pimentocross.gateway.return_times import ReturnTimes


def test_those_turned_away_return_apart_and_not_too_soon() -> None:
    times = ReturnTimes()
    assigned = [times.assign(1.2, 100.5) for _ in range(30)]
    assert assigned[0] == 2.0
    assert max(Counter(assigned).values()) <= const.MAX_RETURNS_PER_SECOND
    assert assigned == sorted(assigned)
    assert max(assigned) == 3.0


def test_a_time_that_is_known_is_told_however_late() -> None:
    assert ReturnTimes().assign(60.0, 100.5) == 60.0


def test_a_burst_is_not_told_to_stay_away_for_long() -> None:
    times = ReturnTimes()
    assigned = [times.assign(0.0, 100.5) for _ in range(500)]
    assert max(assigned) == const.RETRY_AFTER + const.MAX_RETURN_SPREAD


def test_those_told_before_do_not_count_for_ever() -> None:
    times = ReturnTimes()
    for _ in range(500):
        times.assign(0.0, 100.5)
    assert times.assign(0.0, 110.5) == const.RETRY_AFTER
