"""Limits and timeouts of connections. Durations are in seconds."""

from typing import Final

PROTOCOL_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
MAX_GREETING_FRAME_BYTES: Final = 4 * 1024
GREETING_TIMEOUT: Final = 3.0
NONCE_BYTES: Final = 16

HEARTBEAT_INTERVAL: Final = 1.0
HEARTBEAT_TIMEOUT: Final = 3.0
DIAL_TIMEOUT: Final = 2.0
FIRST_REDIAL_DELAY: Final = 0.2
MAX_REDIAL_DELAY: Final = 2.0
# Used unless a limit is derived from the process's file descriptors.
DEFAULT_MAX_PEER_CONNECTIONS: Final = 1024
MAX_CONCURRENT_ANSWERS: Final = 128
# A connection on which no request has arrived for this long is closed.
PEER_IDLE_TIMEOUT: Final = 10.0

TARGET_CONNECT_TIMEOUT: Final = 0.5
MAX_IDLE_TARGET_CONNECTIONS: Final = 8
TARGET_KEEP_ALIVE: Final = 20.0
# Maximum body size of a target's answer that is forwarded.
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
