"""Constants of cells and their owners. All durations are seconds."""

from typing import Final

# Ended jobs whose results a cell still tells.
ENDED_JOBS_KEPT: Final = 2_000
RESULT_MOST: Final = 4_000

EXCHANGE_INTERVAL: Final = 2.0
# While batch tasks run on the worker, so that ends are seen early.
BUSY_EXCHANGE_INTERVAL: Final = 1.0
EXCHANGE_BACKOFF: Final = 0.5
COMMAND_TTL: Final = 5.0
SERVICE_LEASE: Final = 300.0
# A cell counts its tasks for its peers at most this often.
LOAD_INTERVAL: Final = 0.5
PLACEMENT_SPACING: Final = 0.02
PLACEMENT_INTERVAL: Final = 1.0
VM_LIST_INTERVAL: Final = 2.0
PUBLISH_TIMEOUT: Final = 5.0
FAILURE_BACKOFF: Final = 0.5
# A new owner lets workers tell what runs before it adds service tasks.
MEETING_PATIENCE: Final = 3.0
# From taking a replica out of the targets until no request is sent to it,
# and then the longest request if its service is not configured any more.
WITHDRAW_NOTICE: Final = 2.0
WITHDRAW_DEFAULT: Final = 5.0

# Commands of one exchange; the rest waits for the next.
COMMANDS_MOST: Final = 256
