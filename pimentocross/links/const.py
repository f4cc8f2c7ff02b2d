"""Constants of links. Durations are seconds, sizes bytes."""

from typing import Final

PROTOCOL_VERSION: Final = 1
FRAME_MOST: Final = 8 * 1024 * 1024
GREETING_FRAME_MOST: Final = 4 * 1024
GREETING_TIMEOUT: Final = 3.0
NONCE_BYTES: Final = 16

HEARTBEAT_INTERVAL: Final = 1.0
HEARTBEAT_TIMEOUT: Final = 3.0
DIAL_TIMEOUT: Final = 2.0
REDIAL_FIRST: Final = 0.2
REDIAL_MOST: Final = 2.0
# Where nobody tells how many descriptors a process has.
PEER_CONNECTIONS_MOST: Final = 1024
ANSWERS_AT_ONCE: Final = 128
# A peer that asks nothing for this long is taken for silent.
PEER_IDLE_TIMEOUT: Final = 10.0

TARGET_CONNECT_TIMEOUT: Final = 0.5
TARGET_IDLE_KEPT: Final = 8
TARGET_KEEP_ALIVE: Final = 20.0
# Longest answer of a target that is passed on.
ANSWER_MOST: Final = 64 * 1024 * 1024
