"""Tests the examples of the coordination building blocks.

The building blocks must not depend on a deployment or on another layer.
"""

from pathlib import Path
import subprocess
import sys

from hypothesis import given, settings
from hypothesis import strategies as st
import trio
from trio.testing import MockClock

from pimentocross.contracts.limit import AdaptiveLimit
from pimentocross.contracts.retry_budget import RetryBudget

_ROOT = Path(__file__).parent.parent
_CONTRACTS = _ROOT / "pimentocross" / "contracts"
_EXPECTED = {
    "log_fold": "reader sees {'kite': 2}",
    "ownership": "may act: [False, True]",
    "budgets": "1000 failed requests led to 104 retries",
    "drain": "left over: 0",
}


def test_every_example_runs() -> None:
    examples = sorted((_ROOT / "examples" / "parts").glob("*.py"))
    assert {path.stem for path in examples} == set(_EXPECTED)
    for path in examples:
        output = subprocess.run(
            [sys.executable, str(path)],
            check=True,
            capture_output=True,
            text=True,
            timeout=30,
        ).stdout
        assert _EXPECTED[path.stem] in output, output


def test_parts_name_no_deployment_and_no_other_layer() -> None:
    for path in _CONTRACTS.glob("*.py"):
        text = path.read_text().lower()
        for word in ("quetzal", "ostend", "http", "yaml", "pimentocross.entry"):
            assert word not in text, (path.name, word)


_steps = st.lists(
    st.tuples(st.sampled_from(["request", "retry", "wait"]), st.floats(0, 5)),
    max_size=200,
)


@given(_steps)
@settings(max_examples=100, derandomize=True, deadline=None)
def test_retries_stay_within_their_share(
    steps: list[tuple[str, float]],
) -> None:
    async def run() -> None:
        budget = RetryBudget(ratio=0.1, reserve=5.0, window=10.0)
        requests = retries = 0
        idle = 0.0
        for step, seconds in steps:
            if step == "request":
                budget.note_request()
                requests += 1
            elif step == "retry":
                retries += budget.try_spend()
            else:
                await trio.sleep(seconds)
                idle += seconds
            # A tenth of the reserve is refilled per window without requests.
            assert retries <= 0.1 * requests + 5.0 + idle * 0.05 + 1e-6

    trio.run(run, clock=MockClock(autojump_threshold=0))


@given(st.lists(st.one_of(st.none(), st.floats(0.0001, 10.0)), max_size=300))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_limit_stays_in_its_range(latencies: list[float | None]) -> None:
    limit = AdaptiveLimit(max_limit=16, min_limit=2)
    for latency in latencies:
        if latency is None:
            limit.note_failure()
        else:
            limit.note_answer(latency)
        assert 2 <= limit.limit <= 16
