"""Constants of the entry process. Durations are seconds."""

from typing import Final

OWNERSHIP_STREAM: Final = "ownership"
CONFIG_STREAM: Final = "config"
KEYS_STREAM: Final = "keys"

SYNC_INTERVAL: Final = 1.0
CLAIM_INTERVAL: Final = 0.5
SUSPECT_AFTER: Final = 3.5
# A loop that is later than this was paused.
PAUSE_LEAST: Final = 1.0
JOIN_TIMEOUT: Final = 5.0
CLAIM_TIMEOUT: Final = 5.0

SNAPSHOT_RECORDS: Final = 500
SNAPSHOT_CHECK: Final = 1.0

JOB_TIMEOUT: Final = 10.0
# Of the time that is left, what a cell's owner may take.
OWNER_SHARE: Final = 0.8
JOB_RETRY_PAUSE: Final = 0.2
JOB_TASKS_MOST: Final = 10_000
CONFIG_TIMEOUT: Final = 30.0
REQUEST_BODY_TIMEOUT: Final = 10.0
REQUEST_TIMEOUT_MOST: Final = 300.0
OPERATOR_BODY_MOST: Final = 4_000_000

KEYS_KEPT: Final = 50_000
KEY_BODY_MOST: Final = 16_000
KEY_LENGTH_MOST: Final = 255
KEY_WAIT: Final = 5.0

RETRY_AFTER_LOG: Final = 5.0
RETRY_AFTER_BUSY: Final = 1.0
EJECT_FAILURES: Final = 5
EJECT_FOR: Final = 5.0
EJECT_SHARE_MOST: Final = 0.34
