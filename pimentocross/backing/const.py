"""Constants of the platform clients. All durations are seconds."""

from typing import Final

CONNECT_TIMEOUT: Final = 1.0
KEEP_ALIVE: Final = 30.0
MAX_CONNECTIONS: Final = 8

APPEND_TIMEOUT: Final = 3.0
# Added to the wait that the read requests.
READ_TIMEOUT: Final = 3.0
VM_LIST_TIMEOUT: Final = 2.0
EXCHANGE_TIMEOUT: Final = 2.0
