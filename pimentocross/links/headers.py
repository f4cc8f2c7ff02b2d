"""Names of HTTP headers between callers, entry VMs and targets."""

from typing import Final

IDEMPOTENCY_KEY: Final = b"idempotency-key"
REQUEST_ID: Final = b"pimentocross-request-id"
REQUEST_TIMEOUT: Final = b"pimentocross-timeout"
TENANT: Final = b"pimentocross-tenant"
CLASS: Final = b"pimentocross-class"
TRACE: Final = b"eliot-task-id"
SERVICE: Final = b"pimentocross-service"
