"""Tests crash loops in cells of several sizes while owners are killed."""

from tests import crash_loops
from tests.crash_loops import Outcome, Scenario
from tests.owner_fixtures import (
    find_crash_loops,
    find_overlapping_starts,
    find_starts_after_success,
)

# Users allow two more starts of a crashing task after its third crash. The aim
# is that it isn't started again.
_CRASHES_MOST = 3


def _simulate(scenario: Scenario, seeds: range) -> list[Outcome]:
    found = [crash_loops.simulate(scenario, seed) for seed in seeds]
    for outcome in found:
        assert not find_crash_loops(outcome.journal)
        assert not find_overlapping_starts(outcome.journal)
        assert not find_starts_after_success(outcome.journal)
    return found


def test_killed_owners_lose_no_crash_loop() -> None:
    for keeps_ids in (False, True):
        for outcome in _simulate(Scenario(24, keeps_ids, kills=True), range(2)):
            assert outcome.seconds < crash_loops.MAX_SECONDS


def test_killed_owners_give_no_bystander_up() -> None:
    # A new owner doesn't know how long a run had lived before the take-over.
    wrongly_given_up = [
        outcome.wrongly_given_up
        for keeps_ids in (False, True)
        for outcome in _simulate(Scenario(12, keeps_ids, kills=True), range(4))
    ]
    assert not any(wrongly_given_up), wrongly_given_up


def test_no_crashing_task_is_started_after_its_third_crash() -> None:
    most = {
        scenario: max(o.most_crashes for o in _simulate(scenario, range(3)))
        for scenario in (
            Scenario(12, keeps_ids=False, kills=False),
            Scenario(24, keeps_ids=True, kills=False),
            Scenario(24, keeps_ids=False, kills=True),
            Scenario(12, keeps_ids=False, kills=True),
            Scenario(24, keeps_ids=True, kills=True),
        )
    }
    assert max(most.values()) <= _CRASHES_MOST, most
