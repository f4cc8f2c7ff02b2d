"""Tests message sizes and appends, and the output in `docs/CAPACITY.md`."""

from pathlib import Path

import msgspec

from bench.capacity import (
    exchange_bytes,
    heartbeat_bytes,
    job_records,
    measure_appends,
    push_bytes,
)

_DOCS = Path(__file__).parent.parent / "docs"


def test_page_quotes_the_committed_run() -> None:
    page = (_DOCS / "CAPACITY.md").read_text()
    measured = (_DOCS / "measured" / "capacity.txt").read_text()
    slopes, lines = measured.strip().split("\n\n")
    assert f"```\n{slopes}\n```" in page
    assert f"```\n{lines}\n```" in page


def test_messages_have_not_grown() -> None:
    assert heartbeat_bytes(0) <= 72
    assert heartbeat_bytes(8) - heartbeat_bytes(0) <= 8 * 18
    assert push_bytes(100) <= 4_300
    assert exchange_bytes(0, 0) <= 560
    assert exchange_bytes(64, 0) - exchange_bytes(0, 0) <= 64 * 290
    sizes = [len(msgspec.json.encode(body)) for body in job_records(1)]
    assert sum(sizes) <= 440


def test_ends_share_appends() -> None:
    # At 100 ends a second, the writer's linger batches about 35 in an append.
    assert measure_appends(400) <= 14
