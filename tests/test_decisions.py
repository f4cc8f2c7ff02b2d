"""Placement decisions, checked against naive implementations and by effect."""

from collections import Counter

from hypothesis import example, given, settings
from hypothesis import strategies as st

from pimentocross.backing.workers import Resources, TaskKind
from pimentocross.config.schema import ObjectiveConfig
from pimentocross.placement import const
from pimentocross.placement.interference import (
    Interference,
    NeighbourHistory,
    others,
)
from pimentocross.placement.policy import LeastLoaded, PlacementRequest
from pimentocross.placement.quarantine import Quarantine
from pimentocross.placement.weighted import WeightedPolicy
from pimentocross.vms.commitments import Commitments, OverCommitError
from pimentocross.zones.placer import WorkerView

_CAPACITY = Resources(16.0, 64, 0, 8)
_QUETZAL = ObjectiveConfig(0.7, 0.2, 0.1)
_OSTEND = ObjectiveConfig(0.2, 0.45, 0.35)


def _view(name: str, classes: dict[str, int], used: float = 0.0) -> WorkerView:
    free = _CAPACITY._replace(processors=16.0 - used)
    return WorkerView(name, free, _CAPACITY, classes)


def _trained_interference(pairs: dict[tuple[str, str], float]) -> Interference:
    interference = Interference()
    for now in range(200):
        for (victim, neighbour), added in pairs.items():
            for band in range(const.BANDS):
                interference.learn(
                    victim, {neighbour: 1}, band, added, float(now)
                )
    return interference


_amounts = st.tuples(
    st.integers(0, 20), st.integers(0, 80), st.integers(0, 3), st.integers(0, 5)
)


@given(st.lists(st.tuples(st.sampled_from("abcdef"), _amounts, st.booleans())))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_commitments_match_a_full_sum(
    steps: list[tuple[str, tuple[int, int, int, int], bool]],
) -> None:
    capacity = Resources(16.0, 64, 2, 8)
    commitments = Commitments()
    commitments.set_capacity(capacity)
    naive: dict[str, Resources] = {}
    for task, amounts, release in steps:
        size = Resources(*amounts)
        if release:
            commitments.release(task)
            naive.pop(task, None)
            continue
        held = [sum(part) for part in zip(*naive.values(), size, strict=True)]
        fits = all(h <= c for h, c in zip(held, capacity, strict=True))
        try:
            commitments.reserve(task, size)
            assert fits or task in naive
            naive.setdefault(task, size)
        except OverCommitError:
            assert not fits and task not in naive
        totals = [sum(p) for p in zip(*naive.values(), strict=True)] or [0] * 4
        free = commitments.free
        assert all(
            abs(c - t - f) < 1e-6
            for c, t, f in zip(capacity, totals, free, strict=True)
        )


_used = st.lists(st.integers(0, 16), min_size=1, max_size=12)


# One of 8 slots is a larger share than the processors in use: a tie.
@example(used=[1, 0], wanted=1)
@given(used=_used, wanted=st.integers(1, 8))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_least_loaded_matches_a_full_scan(used: list[int], wanted: int) -> None:
    views = [_view(f"w{n:02}", {}, float(u)) for n, u in enumerate(used)]
    size = Resources(float(wanted), 1, 0, 1)
    task = PlacementRequest("t", TaskKind.BATCH, "plan", size)
    choice = LeastLoaded().choose(task, views)
    # After placement, 1 of 64 units of memory and 1 of 8 slots are in use.
    fitting = [
        (max((u + wanted) / 16, 1 / 64, 1 / 8), n)
        for n, u in enumerate(used)
        if u + wanted <= 16
    ]
    expected = f"w{min(fitting)[1]:02}" if fitting else ""
    assert choice.worker == expected


def test_slowdowns_are_learned_and_attributed_to_the_culprit() -> None:
    interference = Interference()
    for now in range(400):
        beside = {"mild": 1 + now % 2, "noisy": now % 3}
        slowdown = 0.02 * beside["mild"] + 0.6 * beside["noisy"]
        interference.learn("stock", beside, 1, slowdown, float(now))
    assert abs(interference.estimate("stock", "noisy", 1).mean - 0.6) < 0.05
    assert interference.estimate("stock", "mild", 1).mean < 0.1
    # A pair without measurements in this band keeps the prior estimate.
    assert interference.estimate("stock", "noisy", 2).mean == 0.05


def test_late_reports_go_to_what_ran_when_they_were_measured() -> None:
    history = NeighbourHistory()
    history.note(10.0, {"stock": 1, "noisy": 2}, 1)
    history.note(20.0, {"stock": 1}, 0)
    then = history.at(15.0)
    assert then is not None
    assert others(then.classes, "stock") == {"noisy": 2}
    assert history.at(5.0) is None
    now = history.at(25.0)
    assert now is not None
    assert others(now.classes, "stock") == {}


def test_wave_of_noisy_tasks_is_kept_from_the_service() -> None:
    interference = _trained_interference(
        {("stock", "noisy"): 0.8, ("noisy", "noisy"): 0.1}
    )
    policy = WeightedPolicy(interference, _QUETZAL, {"stock": 2})
    classes = [Counter({"stock": 1}), Counter({"stock": 1}), Counter()]
    classes += [Counter(), Counter()]
    size = Resources(2.0, 1, 0, 1)
    for number in range(20):
        views = [
            _view(f"w{n}", dict(c), 2.0 * c.total())
            for n, c in enumerate(classes)
        ]
        task = PlacementRequest(f"t{number}", TaskKind.BATCH, "noisy", size)
        chosen = policy.choose(task, views).worker
        classes[int(chosen[1:])]["noisy"] += 1
    assert classes[0]["noisy"] == classes[1]["noisy"] == 0


def test_the_two_deployments_decide_differently_on_the_same_load() -> None:
    pairs = {
        ("stock", "plan"): 0.3,
        ("plan", "report"): 0.4,
        ("report", "plan"): 0.4,
    }
    views = [_view("quiet", {"stock": 1}), _view("busy", {"report": 1})]
    task = PlacementRequest(
        "t", TaskKind.BATCH, "plan", Resources(2.0, 1, 0, 1)
    )
    chosen = [
        WeightedPolicy(
            _trained_interference(pairs), objective, {"stock": 1}
        ).choose(task, views)
        for objective in (_QUETZAL, _OSTEND)
    ]
    assert [choice.worker for choice in chosen] == ["busy", "quiet"]


def test_broken_worker_gets_few_tasks_an_hour_and_comes_back() -> None:
    quarantine = Quarantine()
    tries = 0
    for second in range(3600):
        if quarantine.admits("w", float(second)):
            quarantine.note_started("w", second, float(second))
            tries += 1
            quarantine.note_failed("w", f"job{second}", float(second))
    assert tries <= 10
    assert not quarantine.admits("w", 3600.0)
    assert quarantine.admits("w", 3600.0 + const.MAX_QUARANTINE_SECONDS)
    quarantine.note_finished("w")
    assert quarantine.admits("w", 3600.0)


def test_bad_jobs_do_not_condemn_good_workers() -> None:
    quarantine = Quarantine()
    for number in range(20):
        for worker in ("w0", "w1", "w2"):
            quarantine.note_failed(worker, f"bad{number}", float(number))
    assert all(quarantine.admits(w, 20.0) for w in ("w0", "w1", "w2"))
