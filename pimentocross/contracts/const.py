"""Constants of the coordination parts. All durations are seconds."""

from typing import Final

# A log that has failed for this long is taken to be away.
AWAY_AFTER: Final = 1.0
LONG_POLL: Final = 5.0
# On top of the long poll; a read that takes longer has failed.
READ_PATIENCE: Final = 4.0
READ_BACKOFF_FIRST: Final = 0.05
READ_BACKOFF_MOST: Final = 1.0
APPEND_BACKOFF_FIRST: Final = 0.05
APPEND_BACKOFF_MOST: Final = 0.5
# Records that wait for the log while it is away; older ones are dropped.
OUTBOX_MOST: Final = 10_000
# Records that are not urgent gather for this long before an append.
LINGER: Final = 0.35
APPEND_BATCH_MOST: Final = 256

# Offsets behind the newest within which a repeated record id is folded once.
DEDUPLICATION_WINDOW: Final = 1_000
# Records kept in memory so that a peer that is behind can be fed.
RECENT_RECORDS: Final = 1_000

CONFIDENCE_WINDOW: Final = 30.0
LEASE: Final = 10.0
CLOCK_DRIFT: Final = 0.01
