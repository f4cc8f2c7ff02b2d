"""Refused and failed requests as problem documents (RFC 9457)."""

from enum import StrEnum
import math
from typing import NamedTuple

from pimentocross.links.asgi import PROBLEM_JSON, HttpReply, json_reply


class RequestRunState(StrEnum):
    """Whether the work of a failed request may have run."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Problem(NamedTuple):
    """Reason for which a request got no answer from a target.

    Attributes:
        status: HTTP status.
        state: Whether the work certainly did not run.
        reason: Short name of the reason, stable for use by programs.
        detail: The reason in a sentence, with its numbers.
        retry_after: Seconds after which a retry may succeed, or None.
    """

    status: int
    state: RequestRunState
    reason: str
    detail: str
    retry_after: float | None = None

    def reply(self) -> HttpReply:
        """Returns the problem document."""
        extra = {}
        if self.retry_after is not None:
            extra["retry-after"] = str(max(math.ceil(self.retry_after), 1))
        body = {
            "type": f"urn:pimentocross:{self.reason}",
            "title": self.reason.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "state": self.state.value,
            "reason": self.reason,
        }
        return json_reply(body, self.status, PROBLEM_JSON, extra)


def not_run(
    status: int, reason: str, detail: str, retry_after: float | None = None
) -> Problem:
    """Returns the problem of a request whose work did not run."""
    return Problem(status, RequestRunState.NOT_RUN, reason, detail, retry_after)


def unknown(status: int, reason: str, detail: str) -> Problem:
    """Returns the problem of a request whose work may have run."""
    return Problem(status, RequestRunState.UNKNOWN, reason, detail)
