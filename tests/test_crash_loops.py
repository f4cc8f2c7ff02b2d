"""Crash loops in cells of several sizes, while owners are killed."""

from tests import crash_loops
from tests.crash_loops import Outcome, Scene
from tests.owner_fixtures import (
    find_crash_loops,
    find_overlapping_starts,
    find_starts_after_success,
)

# Users let a crashing task be started twice more after its third crash; the aim
# is that it isn't started again.
_CRASHES_MOST = 3


def _play(scene: Scene, seeds: range) -> list[Outcome]:
    found = [crash_loops.play(scene, seed) for seed in seeds]
    for outcome in found:
        assert not find_crash_loops(outcome.journal)
        assert not find_overlapping_starts(outcome.journal)
        assert not find_starts_after_success(outcome.journal)
    return found


def test_killed_owners_lose_no_crash_loop() -> None:
    for keeps_ids in (False, True):
        for outcome in _play(Scene(24, keeps_ids, kills=True), range(2)):
            assert outcome.seconds < crash_loops.LONGEST


def test_killed_owners_give_no_bystander_up() -> None:
    # A new owner doesn't know for how long a run had lived.
    innocent = [
        outcome.innocent
        for keeps_ids in (False, True)
        for outcome in _play(Scene(12, keeps_ids, kills=True), range(4))
    ]
    assert not any(innocent), innocent


def test_no_crashing_task_is_started_after_its_third_crash() -> None:
    most = {
        scene: max(o.most_crashes for o in _play(scene, range(3)))
        for scene in (
            Scene(12, keeps_ids=False, kills=False),
            Scene(24, keeps_ids=True, kills=False),
            Scene(24, keeps_ids=False, kills=True),
            Scene(12, keeps_ids=False, kills=True),
            Scene(24, keeps_ids=True, kills=True),
        )
    }
    assert max(most.values()) <= _CRASHES_MOST, most
