"""Constants of the entry VM process. Durations are in seconds."""

from typing import Final

OWNERSHIP_STREAM: Final = "ownership"
CONFIG_STREAM: Final = "config"
KEYS_STREAM: Final = "keys"

SYNC_INTERVAL: Final = 1.0
CLAIM_INTERVAL: Final = 0.5
# A peer that has sent nothing for this long is not live.
SUSPECT_AFTER: Final = 3.5
# A loop pass that is later than this means that the process was paused.
MIN_PAUSE: Final = 1.0
JOIN_TIMEOUT: Final = 5.0
CLAIM_TIMEOUT: Final = 5.0

# Records after which a new snapshot of a stream is written.
SNAPSHOT_RECORDS: Final = 500
SNAPSHOT_CHECK_INTERVAL: Final = 1.0

JOB_TIMEOUT: Final = 10.0
# Share of the remaining time that a cell's owner gets to reply.
OWNER_TIMEOUT_SHARE: Final = 0.8
JOB_RETRY_PAUSE: Final = 0.2
MAX_JOB_TASKS: Final = 10_000
CONFIG_TIMEOUT: Final = 30.0
REQUEST_BODY_TIMEOUT: Final = 10.0
MAX_REQUEST_TIMEOUT: Final = 300.0
MAX_OPERATOR_BODY_BYTES: Final = 4_000_000

MAX_KEYS: Final = 50_000
MAX_KEPT_BODY_BYTES: Final = 16_000
MAX_KEY_LENGTH: Final = 255
KEY_PUBLISH_TIMEOUT: Final = 5.0

RETRY_AFTER_LOG_FAILURE: Final = 5.0
RETRY_AFTER_BUSY: Final = 1.0
# A target is ejected after this many failures in a row.
EJECT_AFTER_FAILURES: Final = 5
EJECT_DURATION: Final = 5.0
MAX_EJECTED_SHARE: Final = 0.34
