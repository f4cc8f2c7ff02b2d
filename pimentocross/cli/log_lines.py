"""Parses the lines of a decision log."""

import re
from typing import Any, Final, NamedTuple

import msgspec

from pimentocross.observe.tables import unpack

# A log collector may put its own time and host name before the JSON.
_LINE: Final = re.compile(r"^[^{]*(\{.*\})\s*$")


class LogLine(NamedTuple):
    """One line of a decision log.

    Attributes:
        at: Seconds since 1970.
        vm: Name of the VM that wrote it.
        kind: What was decided or seen, such as "run_decided".
        fields: All fields of the line, also the above.
    """

    at: float
    vm: str
    kind: str
    fields: dict[str, Any]

    def concerns(self, job: str) -> bool:
        """True if the line is about the job or one of its tasks."""
        task = self.fields.get("task") or self.fields.get("step") or [""]
        return self.fields.get("job") == job or task[0] == job


def read_lines(text: str) -> list[LogLine]:
    """Returns the parsed lines of a log; lines of other forms are skipped."""
    lines: list[LogLine] = []
    for raw in text.splitlines():
        match = _LINE.match(raw)
        if match is None:
            continue
        try:
            decoded = msgspec.json.decode(match.group(1))
            found = [
                LogLine(fields["t"], fields["vm"], fields["is"], fields)
                for fields in unpack(decoded)
            ]
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        lines.extend(found)
    return lines
