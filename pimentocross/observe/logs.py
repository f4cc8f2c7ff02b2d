"""Structured logs by `eliot`: one action tree per request and per job."""

from collections.abc import Iterator
from contextlib import contextmanager
import logging
from pathlib import Path
import sys
import time

import eliot

_STDERR = "-"
_REPEAT_AFTER = 10.0
_destinations: list[str] = []


class _OncePerWhile(logging.Filter):
    """Passes one message in a while, without its stack."""

    def __init__(self) -> None:
        super().__init__()
        self._passed_at = float("-inf")

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the message passes."""
        now = time.monotonic()
        if now - self._passed_at < _REPEAT_AFTER:
            return False
        self._passed_at = now
        record.exc_info = None
        return True


def quiet_listeners() -> None:
    """Keeps the accept loop from logging a stack for each refusal.

    While all files are in use it tries ten times a second.
    """
    logging.getLogger("trio.serve_listeners").addFilter(_OncePerWhile())


class ActionFields:
    """Fields of an action's end, added while it runs."""

    def __init__(self, action: eliot.Action | None) -> None:
        """Takes the action, or None while nothing is logged."""
        self._action = action

    def add(self, **fields: object) -> None:
        """Adds fields; never secrets or bodies."""
        if self._action is not None:
            self._action.add_success_fields(**fields)


def log_to(file: str) -> None:
    """Sends logs to a file, to standard error for "-", or nowhere."""
    if not file:
        return
    _destinations.append(file)
    if file == _STDERR:
        eliot.to_file(sys.stderr)
    else:
        eliot.to_file(Path(file).open("ab"))  # noqa: SIM115


def trace_id() -> str:
    """Returns where the next process continues the tree, or ""."""
    action = eliot.current_action()
    if action is None:
        return ""
    continued: bytes = action.serialize_task_id()
    return continued.decode()


@contextmanager
def log_action(
    action_type: str, parent: str = "", **fields: object
) -> Iterator[ActionFields]:
    """Logs the start and the end of an action; free if nobody listens.

    Args:
        action_type: Its kind, such as "call".
        parent: Where another process's tree goes on, or "".
        **fields: What identifies it.
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
    """Logs something that happened."""
    if _destinations:
        eliot.log_message(message_type=message_type, **fields)
