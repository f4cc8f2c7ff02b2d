"""Shows a retry budget and an adaptive limit while a target slows down."""

import trio

from pimentocross.contracts.limit import AdaptiveLimit
from pimentocross.contracts.retry_budget import RetryBudget


async def main() -> None:
    """Prints the retries granted in an outage and the limit when slow."""
    budget = RetryBudget(ratio=0.1, reserve=5.0)
    retries = 0
    for _ in range(1_000):
        budget.note_request()
        retries += budget.try_spend()
    print("1000 failed requests led to", retries, "retries")
    limit = AdaptiveLimit(max_limit=64)
    for latency in [0.01] * 200 + [0.2] * 200:
        limit.note_answer(latency)
    print("limit falls from 64 to", limit.limit)


if __name__ == "__main__":
    trio.run(main)
