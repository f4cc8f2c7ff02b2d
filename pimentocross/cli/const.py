"""Exit codes and the prefix of environment variables."""

from enum import IntEnum
from typing import Final

ENV_PREFIX: Final = "PIMENTOCROSS_"


class ExitCode(IntEnum):
    """Exit code of a command.

    Attributes:
        DONE: The command succeeded.
        FINDINGS: A check found errors or differences, or nothing was found.
        USAGE: An argument or option is missing or wrong.
        NOT_RUN: The request was refused and has had no effect.
        UNKNOWN: Whether the request had its effect isn't known.
        UNREACHABLE: There was no reply.
    """

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNREACHABLE = 5
