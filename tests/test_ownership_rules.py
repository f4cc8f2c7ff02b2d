"""Tests that the ownership rules prevent two owners at once.

Each rule is also switched off in turn, to show that it is needed.
"""

from tests.ownership_model import Rules, run_world

_RUNS = 60
_ABLATION_RUNS = 100


def _first_violation(rules: Rules) -> int | None:
    for seed in range(_ABLATION_RUNS):
        if run_world(seed, rules).violations:
            return seed
    return None


def test_two_owners_never_act_at_once() -> None:
    acts = 0
    for seed in range(_RUNS):
        world = run_world(seed, Rules())
        assert not world.violations, (seed, world.violations)
        acts += world.acts
    # The rules must not just keep everybody from acting: most of the time,
    # there is an owner that acts.
    assert acts > 50 * _RUNS


def test_without_confirmation_two_owners_act() -> None:
    assert _first_violation(Rules(confirm=False)) is not None


def test_without_the_takeover_wait_two_owners_act() -> None:
    assert _first_violation(Rules(wait_takeover=False)) is not None


def test_asking_any_member_instead_of_all_two_owners_act() -> None:
    assert _first_violation(Rules(ask_all=False)) is not None


def test_without_acknowledgements_two_owners_act() -> None:
    assert _first_violation(Rules(acknowledge=False)) is not None
