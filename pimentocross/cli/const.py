"""Exit codes and names shared by the commands."""

from enum import IntEnum
from typing import Final

ENV: Final = "PIMENTOCROSS_"


class ExitCode(IntEnum):
    """What a command's exit code means."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNREACHABLE = 5
