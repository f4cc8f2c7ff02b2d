"""What a task run costs stays within a ratio to one bare call."""

from bench.owner import RATIO_BOUND, measure
from tests.test_http import real_time


@real_time
async def test_a_run_costs_a_bounded_number_of_calls() -> None:
    cost = await measure()
    assert cost.ratio <= RATIO_BOUND, cost
    # Two records of a step's progress, shared by its tasks, and the job's own.
    assert cost.bytes_a_run < 60, cost
