"""The cost of a task run stays within a ratio to a bare call to a worker."""

from bench.owner import RATIO_BOUND, measure
from tests.test_http import real_time


@real_time
async def test_a_run_costs_a_bounded_number_of_calls() -> None:
    cost = await measure()
    assert cost.ratio <= RATIO_BOUND, cost
    # Two progress records of the step, shared by its tasks, and the job record.
    assert cost.bytes_a_run < 60, cost
