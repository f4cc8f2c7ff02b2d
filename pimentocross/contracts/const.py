"""Constants of the coordination building blocks.

All durations are in seconds.
"""

from typing import Final

# A log that has failed for this long is considered unavailable.
LOG_UNAVAILABLE_AFTER: Final = 1.0
LONG_POLL_WAIT: Final = 5.0
# Added to the long poll's wait; a read that takes longer has failed.
READ_TIMEOUT_MARGIN: Final = 4.0
INITIAL_READ_BACKOFF: Final = 0.05
MAX_READ_BACKOFF: Final = 1.0
INITIAL_APPEND_BACKOFF: Final = 0.05
MAX_APPEND_BACKOFF: Final = 0.5
# Records queued while the log is unavailable; beyond this number the oldest
# are dropped.
MAX_OUTBOX_RECORDS: Final = 10_000
# Records that are not urgent are batched for this long before an append.
LINGER: Final = 0.35
MAX_APPEND_BATCH: Final = 256

# A record id is folded only once if it repeats within this many offsets.
DEDUPLICATION_WINDOW: Final = 1_000
# Records kept in memory to send to a peer whose fold is behind.
RECENT_RECORDS: Final = 1_000

CONFIDENCE_WINDOW: Final = 30.0
LEASE: Final = 10.0
CLOCK_DRIFT: Final = 0.01
