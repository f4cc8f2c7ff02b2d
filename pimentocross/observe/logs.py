"""Structured logs with `eliot`: an action tree per request and per job."""

from collections.abc import Iterator
from contextlib import contextmanager
import logging
from pathlib import Path
import sys
import time

import eliot

_STDERR = "-"
_REPEAT_INTERVAL = 10.0
_destinations: list[str] = []


class _RateLimitFilter(logging.Filter):
    """Passes a message every few seconds, without its stack trace."""

    def __init__(self) -> None:
        super().__init__()
        self._passed_at = float("-inf")

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the message is logged."""
        now = time.monotonic()
        if now - self._passed_at < _REPEAT_INTERVAL:
            return False
        self._passed_at = now
        record.exc_info = None
        return True


def limit_accept_error_logs() -> None:
    """Limits how often the accept loop logs that it can't accept.

    While all file descriptors are in use, it retries ten times a second and
    would log a stack trace each time.
    """
    logging.getLogger("trio.serve_listeners").addFilter(_RateLimitFilter())


class ActionFields:
    """Adds fields to the end message of an action while it runs."""

    def __init__(self, action: eliot.Action | None) -> None:
        """Initializes with the action, or None if logging is disabled."""
        self._action = action

    def add(self, **fields: object) -> None:
        """Adds fields, which must not contain secrets or bodies."""
        if self._action is not None:
            self._action.add_success_fields(**fields)


def log_to(file: str) -> None:
    """Logs to a file, to standard error for "-", or nowhere for ""."""
    if not file:
        return
    _destinations.append(file)
    if file == _STDERR:
        eliot.to_file(sys.stderr)
    else:
        eliot.to_file(Path(file).open("ab"))  # noqa: SIM115


def trace_id() -> str:
    """Returns the id to continue the action tree elsewhere, or ""."""
    action = eliot.current_action()
    if action is None:
        return ""
    continued: bytes = action.serialize_task_id()
    return continued.decode()


@contextmanager
def log_action(
    action_type: str, parent: str = "", **fields: object
) -> Iterator[ActionFields]:
    """Logs start and end of an action; costs nothing if logging is disabled.

    Args:
        action_type: Kind of the action, such as "call".
        parent: Id from `trace_id` of the process to continue from, or "".
        **fields: Fields that identify the action.
    """
    if not _destinations:
        yield ActionFields(None)
        return
    if parent:
        action = eliot.Action.continue_task(
            task_id=parent, action_type=action_type, **fields
        )
    else:
        action = eliot.start_action(action_type=action_type, **fields)
    with action:
        yield ActionFields(action)


def log_event(message_type: str, **fields: object) -> None:
    """Logs an event with its fields."""
    if _destinations:
        eliot.log_message(message_type=message_type, **fields)
