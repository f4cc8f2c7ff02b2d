"""Constants of cells and their owners. All durations are seconds."""

from typing import Final

# Ended jobs whose results a cell keeps for callers.
MAX_ENDED_JOBS: Final = 2_000
MAX_RESULT_CHARS: Final = 4_000

EXCHANGE_INTERVAL: Final = 2.0
# Shorter while batch tasks run on the worker, to see their ends early.
BUSY_EXCHANGE_INTERVAL: Final = 1.0
EXCHANGE_BACKOFF: Final = 0.5
COMMAND_TTL: Final = 5.0
SERVICE_LEASE: Final = 300.0
# Minimum time between two counts of a cell's tasks for its peers.
LOAD_INTERVAL: Final = 0.5
MIN_PLACEMENT_PAUSE: Final = 0.02
PLACEMENT_INTERVAL: Final = 1.0
VM_LIST_INTERVAL: Final = 2.0
PUBLISH_TIMEOUT: Final = 5.0
FAILURE_BACKOFF: Final = 0.5
# A new owner waits up to this long for all workers to report what runs on them
# before it starts service tasks.
FIRST_CONTACT_TIMEOUT: Final = 3.0
# Time until entry VMs send no more requests to a replica that was removed from
# the targets.
TARGET_UPDATE_DELAY: Final = 2.0
# Longest request if the replica's service is no longer configured.
DEFAULT_REQUEST_TIMEOUT: Final = 5.0

# Further commands wait for the next exchange.
MAX_COMMANDS_PER_EXCHANGE: Final = 256
