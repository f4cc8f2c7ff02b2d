"""Tests a few seeds of the random records in each run of all tests."""

from tests import random_records

_SEEDS = (*range(16), 36, 72)


def test_owners_outlive_random_records_of_other_writers() -> None:
    for seed in _SEEDS:
        random_records.play(seed)
