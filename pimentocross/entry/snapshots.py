"""Writes snapshots of streams long before their records expire."""

from collections.abc import Callable
from typing import Any

import trio

from pimentocross.backing.log import LogUnavailableError
from pimentocross.contracts.fold import StreamFold
from pimentocross.entry import const

# A new snapshot is due after this share of the retention.
_RENEW_AFTER_SHARE = 0.25


async def write_snapshots(
    fold: StreamFold[Any],
    retention: float,
    is_writer: Callable[[], bool],
) -> None:
    """Writes a snapshot of a stream whenever one is due, until cancelled.

    Args:
        fold: The stream's fold.
        retention: How long the log keeps records, in seconds.
        is_writer: Returns True if this process should write now.
    """
    renewed_at = trio.current_time()
    last_count = fold.snapshots_read
    while True:
        await trio.sleep(const.SNAPSHOT_CHECK_INTERVAL)
        if fold.snapshots_read != last_count:
            last_count = fold.snapshots_read
            renewed_at = trio.current_time()
        age = trio.current_time() - renewed_at
        due = age >= retention * _RENEW_AFTER_SHARE and fold.position > 0
        due = due or fold.offsets_since_snapshot >= const.SNAPSHOT_RECORDS
        if due and fold.ready and is_writer():
            await _write(fold)


async def _write(fold: StreamFold[Any]) -> None:
    try:
        await fold.append_snapshot()
    except LogUnavailableError:
        # The next check tries again; a duplicate snapshot is harmless.
        return
